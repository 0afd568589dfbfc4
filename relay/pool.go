package relay

import (
	"bufio"
	"context"
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"pollenlatch"
)

const (
	bufferBytes = 4 << 10  // of a request before the first write
	headBytes   = 16 << 10 // bound of the head of an answer; a longer one is an unknown outcome
	// maxIdle is below the time after which usual servers close idle
	// connections, so that few are found closed.
	maxIdle     = 30 * time.Second
	dialTimeout = 500 * time.Millisecond
	// idleMargin covers the server's clock and the way to it.
	idleMargin = time.Second
)

// Errors of the pool.
var (
	errNoServer = errors.New("no server has announced itself")
	errClosed   = errors.New("relay is closed")
)

// DialFunc opens a connection to the server.
type DialFunc func(ctx context.Context, addr string) (net.Conn, error)

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", addr)
}

// conn is one connection to the server with its buffers.
type conn struct {
	net.Conn
	r       *bufio.Reader
	w       *bufio.Writer
	raw     syscall.RawConn // nil when there is no file descriptor
	host    string          // what the Host header says unless the request does
	target  uint64          // the server that it was opened to
	reused  bool
	since   time.Time     // when it became idle
	id      string        // the server's own name when the connection was opened
	service string        // and its service
	idle    time.Duration // the server closes it after this; 0 is unknown
}

// alive reports whether an idle connection is open and has nothing to read.
func (c *conn) alive() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return aliveByDeadline(c.Conn)
	}
	// The deadline of the last exchange would end the read of a good connection.
	_ = c.SetReadDeadline(time.Time{})
	open, _ := c.peek()
	return open
}

// lasts returns how long an idle connection may be used again. It ends before
// the server closes it, since a request that crosses the close may be lost.
func (c *conn) lasts() time.Duration {
	if c.idle > 0 {
		return min(maxIdle, c.idle-idleMargin)
	}
	return maxIdle
}

// pending reports whether there is something to read. It is false for
// connections without a file descriptor.
func (c *conn) pending() bool {
	if c.raw == nil {
		return false
	}
	_, data := c.peek()
	return data
}

// peek reports whether the connection is open with nothing to read, or has
// data. Neither holds for a closed one.
func (c *conn) peek() (open, data bool) {
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = errors.Is(err, syscall.EAGAIN)
		data = err == nil && n > 0
		return true
	})
	if err != nil {
		return false, false
	}
	return open, data
}

func newConn(nc net.Conn, host string, target uint64) *conn {
	c := &conn{Conn: nc, r: bufio.NewReaderSize(nc, headBytes), w: bufio.NewWriterSize(nil, bufferBytes), host: host, target: target}
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	return c
}

// aliveByDeadline is for connections without a file descriptor.
func aliveByDeadline(c net.Conn) bool {
	if c.SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	var b [1]byte
	_, err := c.Read(b[:])
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// pool opens and keeps connections to one server. Those in use and the idle
// ones together never exceed limit.
type pool struct {
	dial DialFunc

	mu      sync.Mutex
	addr    string
	life    pollenlatch.Incarnation // of the server
	target  uint64                  // counts changes of the server
	id      string                  // the server's own name
	service string                  // that it runs
	limit   int
	used    int
	idle    []*conn // the newest is last
	waiting []chan struct{}
	closed  bool
}

// use sets the server. Idle connections to another one are closed.
func (p *pool) use(e pollenlatch.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.limit, p.id, p.service = int(e.MaxConns), e.ID, e.Service
	if e.Addr != p.addr || e.Incarnation != p.life {
		p.target++
		p.addr = e.Addr
		p.life = e.Incarnation
		p.dropIdle()
	}
	for range len(p.waiting) {
		p.wakeOne()
	}
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.dropIdle()
	for range len(p.waiting) {
		p.wakeOne()
	}
}

func (p *pool) dropIdle() {
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// wakeOne lets the first waiting request try again. The caller holds mu.
func (p *pool) wakeOne() {
	if len(p.waiting) == 0 {
		return
	}
	close(p.waiting[0])
	p.waiting = p.waiting[1:]
}

// get returns a connection that the caller owns until put or drop. It waits
// until the time by at most.
func (p *pool) get(ctx context.Context, by time.Time) (*conn, error) {
	c, turn, err := p.reserve()
	if turn != nil {
		c, err = p.wait(ctx, by, turn)
	}
	if err != nil {
		return nil, err
	}
	for ; c != nil; c = p.popIdle() {
		if time.Since(c.since) < c.lasts() && c.alive() {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	if c, err = p.open(ctx, by); err != nil {
		p.unreserve()
		return nil, err
	}
	return c, nil
}

// reserve counts one connection as used and returns an idle one, if there is
// any. While all are used, it returns a turn to wait for.
func (p *pool) reserve() (c *conn, turn chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return nil, nil, errClosed
	case p.addr == "":
		return nil, nil, errNoServer
	case p.used < p.limit:
		p.used++
		return p.pop(), nil, nil
	}
	turn = make(chan struct{})
	p.waiting = append(p.waiting, turn)
	return nil, turn, nil
}

// pop removes and returns the newest idle connection, or nil. The caller holds
// mu.
func (p *pool) pop() *conn {
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

func (p *pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pop()
}

// wait waits for turns until one of them reserves a connection.
func (p *pool) wait(ctx context.Context, by time.Time, turn chan struct{}) (*conn, error) {
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	for {
		select {
		case <-turn:
		case <-ctx.Done():
			p.leave(turn)
			return nil, ctx.Err()
		}
		var c *conn
		var err error
		if c, turn, err = p.reserve(); turn == nil {
			return c, err
		}
	}
}

// leave ends the wait for a turn. A turn that was given meanwhile goes to the
// next request.
func (p *pool) leave(turn chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range p.waiting {
		if w == turn {
			p.waiting = append(p.waiting[:i], p.waiting[i+1:]...)
			return
		}
	}
	p.wakeOne()
}

func (p *pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used--
	p.wakeOne()
}

func (p *pool) open(ctx context.Context, by time.Time) (*conn, error) {
	p.mu.Lock()
	addr, target, id, service := p.addr, p.target, p.id, p.service
	p.mu.Unlock()
	if addr == "" {
		return nil, errNoServer
	}
	ctx, cancel := context.WithDeadline(ctx, by)
	defer cancel()
	nc, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	c := newConn(nc, addr, target)
	c.id, c.service = id, service
	return c, nil
}

// put makes the connection available to other requests.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.used--
	if p.closed || c.target != p.target || p.used+len(p.idle) >= p.limit {
		_ = c.Close()
	} else {
		c.since = time.Now()
		p.idle = append(p.idle, c)
	}
	if len(p.idle) > 0 && time.Since(p.idle[0].since) >= p.idle[0].lasts() {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
	p.wakeOne()
}

// drop closes the connection for good.
func (p *pool) drop(c *conn) {
	_ = c.Close()
	p.unreserve()
}
