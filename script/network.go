package script

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

// Network carries every connection between daemons and can cut, delay and reset
// them. Nothing of a cut connection is lost or closed: its bytes wait until it is
// healed, so that old messages arrive late, as they do over a mended network.
type Network struct {
	ln net.Listener

	mu     sync.Mutex
	names  map[string]string        // instance by link address
	cuts   map[way]bool             // what goes nowhere
	delays map[string]time.Duration // of what an instance sends and receives
	moved  chan struct{}            // closed when cuts change
	conns  map[net.Conn]way
	ended  bool
}

// way is the direction between two instances. An empty name is any.
type way struct{ from, to string }

// NewNetwork listens on a loopback address.
func NewNetwork() (*Network, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Network{
		ln: ln, names: make(map[string]string), cuts: make(map[way]bool), delays: make(map[string]time.Duration),
		moved: make(chan struct{}), conns: make(map[net.Conn]way),
	}
	go n.accept()
	return n, nil
}

// Addr is where daemons connect to instead of each other, with DialThrough.
func (n *Network) Addr() string { return n.ln.Addr().String() }

// DialThrough returns a dialler that reaches other daemons through a network.
func DialThrough(network, name string) func(ctx context.Context, addr string) (net.Conn, error) {
	return func(ctx context.Context, addr string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", network)
		if err != nil {
			return nil, err
		}
		if _, err := fmt.Fprintf(c, "%s %s\n", name, addr); err != nil {
			_ = c.Close()
			return nil, err
		}
		return c, nil
	}
}

// Register tells whose link address it is.
func (n *Network) Register(addr, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[addr] = name
}

// Cut stops everything between two instances, or between one and all others
// when b is empty.
func (n *Network) Cut(a, b string) { n.set(true, way{a, b}, way{b, a}) }

// Heal ends a cut that was made with the same arguments.
func (n *Network) Heal(a, b string) { n.set(false, way{a, b}, way{b, a}) }

// CutOneWay stops what goes from one instance to another, or to all others when
// to is empty, but not the other direction.
func (n *Network) CutOneWay(from, to string) { n.set(true, way{from, to}) }

// HealOneWay ends a cut that CutOneWay made with the same arguments.
func (n *Network) HealOneWay(from, to string) { n.set(false, way{from, to}) }

// Delay holds back all that an instance sends and receives; 0 ends that.
func (n *Network) Delay(name string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[name] = d
}

// Reset breaks all connections of an instance. What is under way is lost.
func (n *Network) Reset(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c, w := range n.conns {
		if w.from != name && w.to != name {
			continue
		}
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close ends all connections.
func (n *Network) Close() {
	_ = n.ln.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.ended = true
	for c := range n.conns {
		_ = c.Close()
	}
	close(n.moved)
	n.moved = make(chan struct{})
}

func (n *Network) set(cut bool, ways ...way) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, w := range ways {
		if cut {
			n.cuts[w] = true
		} else {
			delete(n.cuts, w)
		}
	}
	close(n.moved)
	n.moved = make(chan struct{})
}

// wait returns when something may go one way. It reports whether the network
// still runs.
func (n *Network) wait(from, to string) bool {
	for {
		n.mu.Lock()
		cut := n.cuts[way{from, to}] || n.cuts[way{from, ""}] || n.cuts[way{"", to}]
		delay := n.delays[from] + n.delays[to]
		ended, moved := n.ended, n.moved
		n.mu.Unlock()
		switch {
		case ended:
			return false
		case cut:
			<-moved
		default:
			time.Sleep(delay)
			return true
		}
	}
}

func (n *Network) accept() {
	for {
		c, err := n.ln.Accept()
		if err != nil {
			return
		}
		go n.carry(c)
	}
}

// keep closes the connection with the network.
func (n *Network) keep(c net.Conn, w way) (forget func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended {
		_ = c.Close()
	}
	n.conns[c] = w
	return func() {
		_ = c.Close()
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.conns, c)
	}
}

func (n *Network) carry(c net.Conn) {
	defer n.keep(c, way{})()
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	from, addr, _ := strings.Cut(strings.TrimSpace(line), " ")
	n.mu.Lock()
	to := n.names[addr]
	n.conns[c] = way{from, to}
	n.mu.Unlock()
	if !n.wait(from, to) {
		return
	}
	far, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer n.keep(far, way{from, to})()
	ended := make(chan struct{}, 2)
	pump := func(w io.Writer, r io.Reader, from, to string) {
		defer func() { ended <- struct{}{} }()
		b := make([]byte, 32<<10)
		for {
			k, err := r.Read(b)
			if !n.wait(from, to) {
				return
			}
			if _, werr := w.Write(b[:k]); werr != nil || err != nil {
				return
			}
		}
	}
	go pump(far, r, from, to)
	go pump(c, far, to, from)
	<-ended
}
