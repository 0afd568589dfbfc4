package front

import (
	"net"
	"sync"
	"sync/atomic"
)

// hardConns is how many times the bound on connections may be reached. Above
// the bound callers get an answer and are closed; at the hard bound no more
// are accepted until one closes.
const hardConns = 2

// bounded is a listener whose open connections are bounded.
type bounded struct {
	net.Listener
	slots  chan struct{}
	closed chan struct{}
	once   sync.Once
	left   atomic.Bool
}

func newBounded(l net.Listener, n int) *bounded {
	return &bounded{Listener: l, slots: make(chan struct{}, n), closed: make(chan struct{})}
}

// leave refuses new connections from now on. Accept waits until Close, so that
// the server goes on with the connections that it has.
func (b *bounded) leave() {
	b.left.Store(true)
	_ = b.Listener.Close()
}

// Accept implements net.Listener.
func (b *bounded) Accept() (net.Conn, error) {
	select {
	case b.slots <- struct{}{}:
	case <-b.closed:
		return nil, net.ErrClosed
	}
	c, err := b.Listener.Accept()
	if err != nil {
		<-b.slots
		if b.left.Load() {
			<-b.closed
		}
		return nil, err
	}
	return &counted{Conn: c, slots: b.slots}, nil
}

// Close implements net.Listener.
func (b *bounded) Close() error {
	b.once.Do(func() { close(b.closed) })
	err := b.Listener.Close()
	if b.left.Load() {
		return nil
	}
	return err
}

// counted gives its slot back when it closes.
type counted struct {
	net.Conn
	slots chan struct{}
	once  sync.Once
}

// Close implements net.Conn.
func (c *counted) Close() error {
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}

// CloseWrite lets net/http end a connection without losing the answer in it.
func (c *counted) CloseWrite() error {
	if w, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return w.CloseWrite()
	}
	return nil
}
