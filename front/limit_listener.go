package front

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"pollenlatch/sock"
)

// hardLimitFactor is the hard limit of open connections as a multiple of
// Config.MaxConns. Above MaxConns requests are rejected and their connections
// closed; at the hard limit no connection is accepted until another one closes.
const hardLimitFactor = 2

// limitListener is a listener with a maximum number of open connections.
type limitListener struct {
	net.Listener
	slots   chan struct{}
	closed  chan struct{}
	once    sync.Once
	stopped atomic.Bool
	wrap    func(*limitedConn) net.Conn // wraps accepted connections; nil does not
}

func newLimitListener(l net.Listener, n int) *limitListener {
	return &limitListener{Listener: l, slots: make(chan struct{}, n), closed: make(chan struct{})}
}

// stopAccepting closes the inner listener. Accept then blocks until Close, so
// that the HTTP server keeps serving the connections that it has.
func (l *limitListener) stopAccepting() {
	l.stopped.Store(true)
	_ = l.Listener.Close()
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	select {
	case l.slots <- struct{}{}:
	case <-l.closed:
		return nil, net.ErrClosed
	}
	c, err := l.Listener.Accept()
	if err != nil {
		<-l.slots
		if l.stopped.Load() {
			<-l.closed
		}
		return nil, err
	}
	limited := &limitedConn{Conn: c, slots: l.slots, raw: sock.Raw(c)}
	if l.wrap != nil {
		return l.wrap(limited), nil
	}
	return limited, nil
}

// Close implements net.Listener.
func (l *limitListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	err := l.Listener.Close()
	if l.stopped.Load() {
		return nil
	}
	return err
}

// lingerTime is how long a connection stays open after a response that left a part of the
// request's body unread. Closing it at once resets it, which can destroy the response
// while the caller still sends. It is longer than a round trip to another continent.
const lingerTime = 500 * time.Millisecond

// limitedConn frees its slot in the listener when it is closed.
type limitedConn struct {
	net.Conn
	slots  chan struct{}
	once   sync.Once
	raw    syscall.RawConn // nil when there is no socket
	unread atomic.Bool     // its last response left a body unread
}

// Left implements pollenlatch.Presence.
func (c *limitedConn) Left() bool { return c.raw != nil && sock.PeerClosed(c.raw) }

// lingerAfterClose makes Close end the sending direction only, and close the connection
// after lingerTime. Nothing more is read, so the caller can send no more than fits in
// the buffers.
func (c *limitedConn) lingerAfterClose() { c.unread.Store(true) }

// Close implements net.Conn.
func (c *limitedConn) Close() error {
	if w, ok := c.Conn.(closeWriter); ok && c.unread.Swap(false) && w.CloseWrite() == nil {
		time.AfterFunc(lingerTime, func() { _ = c.Close() })
		return nil
	}
	c.once.Do(func() { <-c.slots })
	return c.Conn.Close()
}

// closeWriter is a connection whose sending direction can be closed separately.
type closeWriter interface{ CloseWrite() error }

// CloseWrite lets net/http close a connection without losing the response that
// is still in flight. net/http itself waits before it calls Close.
func (c *limitedConn) CloseWrite() error {
	c.unread.Store(false)
	if w, ok := c.Conn.(closeWriter); ok {
		return w.CloseWrite()
	}
	return nil
}
