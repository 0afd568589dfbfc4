package sample

import (
	"net"
	"sync"
	"time"
)

// Fault makes a server misbehave. The zero value is a healthy server. EveryNth
// limits Status, Delay and TruncateAfter to each n-th request; 0 and 1 are all.
type Fault struct {
	EveryNth      uint64        `json:"every"`
	Status        int           `json:"status"`    // answer this status after running; 0 is off
	Delay         time.Duration `json:"delay"`     // added to the service time
	TruncateAfter int           `json:"cut_after"` // close the connection after this many bytes of the body; 0 is off
	ReportedLoad  *uint32       `json:"load"`      // reported number of running requests instead of the true one
	ReportedReady *bool         `json:"ready"`     // reported readiness instead of the true one
}

// gate blocks its users while it is closed. The zero value is open.
type gate struct {
	mu     sync.Mutex
	thawed chan struct{} // nil while open
}

func (g *gate) shut() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thawed == nil {
		g.thawed = make(chan struct{})
	}
}

func (g *gate) open() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.thawed != nil {
		close(g.thawed)
		g.thawed = nil
	}
}

func (g *gate) wait() {
	for {
		g.mu.Lock()
		c := g.thawed
		g.mu.Unlock()
		if c == nil {
			return
		}
		<-c
	}
}

// conn reads and writes nothing while its server is frozen, so that requests
// stay in the socket buffer as they do with a stopped process.
type conn struct {
	net.Conn
	gate *gate
	gone func()
	once sync.Once
}

func (c *conn) Read(b []byte) (int, error) {
	c.gate.wait()
	n, err := c.Conn.Read(b)
	c.gate.wait()
	return n, err
}

func (c *conn) Write(b []byte) (int, error) {
	c.gate.wait()
	return c.Conn.Write(b)
}

func (c *conn) Close() error {
	c.once.Do(c.gone)
	return c.Conn.Close()
}

// listener closes connections beyond the server's limit at once.
type listener struct {
	net.Listener
	gate  *gate
	limit int
	mu    sync.Mutex
	n     int
	max   int
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.add() {
			return &conn{Conn: c, gate: l.gate, gone: l.drop}, nil
		}
		_ = c.Close()
	}
}

func (l *listener) add() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.n >= l.limit {
		return false
	}
	l.n++
	l.max = max(l.max, l.n)
	return true
}

func (l *listener) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.n--
}

func (l *listener) peak() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.max
}
