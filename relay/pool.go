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
	"pollenlatch/sock"
)

const (
	writeBufferBytes = 4 << 10  // of a request, before the first write
	maxHeadBytes     = 16 << 10 // of a response; a longer head gives an unknown outcome
	// maxIdle is shorter than the idle timeout of common servers, so that few
	// connections are found closed.
	maxIdle     = 30 * time.Second
	dialTimeout = 500 * time.Millisecond
	// idleMargin allows for the server's clock and the network latency.
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
	received          int64 // bytes read from the server
	r                 *bufio.Reader
	w                 *bufio.Writer
	raw               syscall.RawConn // nil when there is no file descriptor
	host              string          // Host header of requests that have none
	generation        uint64          // the pool's generation when it was opened
	reused            bool
	idleSince         time.Time
	incarnation       pollenlatch.Incarnation
	serverID          string          // the server's own ID when the connection was opened
	service           string          // and its service
	serverIdleTimeout time.Duration   // after which the server closes it; 0 is unknown
	refused           map[string]bool // IDs of the requests that the server refused on it
}

// maxRefusedIDs limits the refusals that are remembered for a connection.
const maxRefusedIDs = 64

// recordRefusal records that the server refused the request with an ID, and reports
// whether the connection may be reused. A server in trouble may send a refusal twice,
// which must not be taken for one of a later request.
func (c *conn) recordRefusal(id string) bool {
	if id == "" || len(c.refused) >= maxRefusedIDs {
		return false
	}
	if c.refused == nil {
		c.refused = make(map[string]bool)
	}
	c.refused[id] = true
	return true
}

// alive reports whether an idle connection is open and has no unread data.
func (c *conn) alive() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return aliveByRead(c.Conn)
	}
	return sock.Peek(c.raw) == sock.Idle
}

// idleLimit returns the idle time up to which a connection may be reused. It ends
// before the server closes the connection, because a request that is sent at that
// moment may be lost.
func (c *conn) idleLimit() time.Duration {
	if c.serverIdleTimeout > 0 {
		return min(maxIdle, c.serverIdleTimeout-idleMargin)
	}
	return maxIdle
}

// readable reports whether the connection has unread data. It is always false for
// connections without a file descriptor.
func (c *conn) readable() bool {
	if c.raw == nil {
		return false
	}
	return sock.Peek(c.raw) == sock.Readable
}

func newConn(nc net.Conn, host string, generation uint64) *conn {
	c := &conn{Conn: nc, w: bufio.NewWriterSize(nil, writeBufferBytes), host: host, generation: generation, raw: sock.Raw(nc)}
	c.r = bufio.NewReaderSize(c, maxHeadBytes)
	return c
}

// Read reads from the server and counts the bytes.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.received += int64(n)
	return n, err
}

// aliveByRead is alive for connections without a file descriptor: reading must time
// out.
func aliveByRead(c net.Conn) bool {
	if c.SetReadDeadline(time.Unix(1, 0)) != nil {
		return false
	}
	var b [1]byte
	_, err := c.Read(b[:])
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// pool opens connections to the server and keeps idle ones for reuse. The
// connections in use and the idle ones together never exceed maxConns.
type pool struct {
	dial DialFunc

	mu          sync.Mutex
	addr        string
	incarnation pollenlatch.Incarnation // of the server
	generation  uint64                  // number of changes of the server
	serverID    string                  // the server's own ID
	service     string                  // service of the server
	maxConns    int
	inUse       int
	idle        []*conn // the most recently used is last
	waiters     []chan struct{}
	closed      bool
}

// setEndpoint sets the server. Idle connections to an earlier server are closed.
func (p *pool) setEndpoint(e pollenlatch.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns, p.serverID, p.service = int(e.MaxConns), e.ID, e.Service
	if e.Addr != p.addr || e.Incarnation != p.incarnation {
		p.generation++
		p.addr = e.Addr
		p.incarnation = e.Incarnation
		p.closeIdleLocked()
	}
	for range len(p.waiters) {
		p.wakeOneLocked()
	}
}

// isCurrent reports whether a connection leads to the present server.
func (p *pool) isCurrent(c *conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && c.generation == p.generation
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdleLocked()
	for range len(p.waiters) {
		p.wakeOneLocked()
	}
}

func (p *pool) closeIdleLocked() {
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// closeIdleSince closes the connections that have been idle since t. After a
// request that was sent at t has got no response, the path of these may be broken too.
func (p *pool) closeIdleSince(t time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for n < len(p.idle) && !p.idle[n].idleSince.After(t) {
		_ = p.idle[n].Close()
		n++
	}
	p.idle = p.idle[n:]
}

// wakeOneLocked wakes the first waiting request. The caller holds mu.
func (p *pool) wakeOneLocked() {
	if len(p.waiters) == 0 {
		return
	}
	close(p.waiters[0])
	p.waiters = p.waiters[1:]
}

// get returns a connection for the request with an ID, which the caller must pass to
// put or discard. It waits until the deadline.
func (p *pool) get(ctx context.Context, deadline time.Time, id string) (*conn, error) {
	c, wake, err := p.reserve()
	if wake != nil {
		c, err = p.wait(ctx, deadline, wake)
	}
	if err != nil {
		return nil, err
	}
	for ; c != nil; c = p.popIdle() {
		if time.Since(c.idleSince) < c.idleLimit() && !c.refused[id] && c.alive() {
			c.reused = true
			return c, nil
		}
		_ = c.Close()
	}
	if c, err = p.open(ctx, deadline); err != nil {
		p.unreserve()
		return nil, err
	}
	return c, nil
}

// reserve counts one connection as in use and returns an idle connection, if there
// is any. While all are in use, it returns a channel to wait on.
func (p *pool) reserve() (c *conn, wake chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.closed:
		return nil, nil, errClosed
	case p.addr == "":
		return nil, nil, errNoServer
	case p.inUse < p.maxConns:
		p.inUse++
		return p.popIdleLocked(), nil, nil
	}
	wake = make(chan struct{})
	p.waiters = append(p.waiters, wake)
	return nil, wake, nil
}

// popIdleLocked removes and returns the most recently used idle connection, or nil.
// The caller holds mu.
func (p *pool) popIdleLocked() *conn {
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
	return p.popIdleLocked()
}

// wait waits until a connection can be reserved.
func (p *pool) wait(ctx context.Context, deadline time.Time, wake chan struct{}) (*conn, error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for {
		select {
		case <-wake:
		case <-ctx.Done():
			p.stopWaiting(wake)
			return nil, ctx.Err()
		}
		var c *conn
		var err error
		if c, wake, err = p.reserve(); wake == nil {
			return c, err
		}
	}
}

// stopWaiting removes a waiting request. If it has been woken already, the next
// request is woken instead.
func (p *pool) stopWaiting(wake chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, w := range p.waiters {
		if w == wake {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			return
		}
	}
	p.wakeOneLocked()
}

func (p *pool) unreserve() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
	p.wakeOneLocked()
}

func (p *pool) open(ctx context.Context, deadline time.Time) (*conn, error) {
	p.mu.Lock()
	addr, generation, id, service, incarnation := p.addr, p.generation, p.serverID, p.service, p.incarnation
	p.mu.Unlock()
	if addr == "" {
		return nil, errNoServer
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	nc, err := p.dial(ctx, addr)
	if err != nil {
		return nil, err
	}
	c := newConn(nc, addr, generation)
	c.serverID, c.service, c.incarnation = id, service, incarnation
	return c, nil
}

// put returns a connection to the pool for reuse.
func (p *pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
	if p.closed || c.generation != p.generation || p.inUse+len(p.idle) >= p.maxConns {
		_ = c.Close()
	} else {
		c.idleSince = time.Now()
		p.idle = append(p.idle, c)
	}
	if len(p.idle) > 0 && time.Since(p.idle[0].idleSince) >= p.idle[0].idleLimit() {
		_ = p.idle[0].Close()
		p.idle = p.idle[1:]
	}
	p.wakeOneLocked()
}

// discard closes a connection that is not reused.
func (p *pool) discard(c *conn) {
	_ = c.Close()
	p.unreserve()
}
