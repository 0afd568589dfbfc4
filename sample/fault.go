package sample

import (
	"net"
	"sync"
	"time"
)

// Fault is the set of faults injected into a server. The zero value injects none.
// EveryNth limits Status, Delay and TruncateAfter to every n-th request; 0 and 1
// select all requests.
type Fault struct {
	EveryNth      uint64        `json:"every"`
	Status        int           `json:"status"`    // HTTP status of the response after the run; 0 is off
	Delay         time.Duration `json:"delay"`     // added to the service time, in nanoseconds in JSON
	TruncateAfter int           `json:"cut_after"` // bytes of the body after which the connection is closed; 0 is off
	ReportedLoad  *uint32       `json:"load"`      // number of running requests to report; nil reports the real one
	ReportedReady *bool         `json:"ready"`     // readiness to report; nil reports the real one
}

// gate blocks callers of wait while it is shut. The zero value is open.
type gate struct {
	mu       sync.Mutex
	reopened chan struct{} // closed when the gate opens; nil while it is open
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reopened == nil {
		g.reopened = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reopened != nil {
		close(g.reopened)
		g.reopened = nil
	}
}

func (g *gate) wait() {
	for {
		g.mu.Lock()
		c := g.reopened
		g.mu.Unlock()
		if c == nil {
			return
		}
		<-c
	}
}

// gatedConn blocks reads and writes while its server is frozen, so that requests
// stay in the socket buffer as they do with a stopped process.
type gatedConn struct {
	net.Conn
	gate      *gate
	onClose   func()
	closeOnce sync.Once
}

func (c *gatedConn) Read(b []byte) (int, error) {
	c.gate.wait()
	n, err := c.Conn.Read(b)
	c.gate.wait()
	return n, err
}

func (c *gatedConn) Write(b []byte) (int, error) {
	c.gate.wait()
	return c.Conn.Write(b)
}

func (c *gatedConn) Close() error {
	c.closeOnce.Do(c.onClose)
	return c.Conn.Close()
}

// limitListener accepts up to maxConns open connections and closes those beyond at
// once.
type limitListener struct {
	net.Listener
	gate     *gate
	maxConns int
	mu       sync.Mutex
	open     int
	peakOpen int
}

func (l *limitListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.acquire() {
			return &gatedConn{Conn: c, gate: l.gate, onClose: l.release}, nil
		}
		_ = c.Close()
	}
}

// acquire counts a new connection. It returns false at the limit.
func (l *limitListener) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.maxConns {
		return false
	}
	l.open++
	l.peakOpen = max(l.peakOpen, l.open)
	return true
}

func (l *limitListener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

// peak returns the maximum number of connections that were open at once.
func (l *limitListener) peak() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.peakOpen
}
