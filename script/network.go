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

// Network is a proxy for all connections between daemons, which it can cut, delay and
// reset. A cut connection is not closed and loses no data: its bytes wait until the
// cut is healed, so that old messages arrive late, as they do after a real network
// partition.
type Network struct {
	ln net.Listener

	mu      sync.Mutex
	names   map[string]string        // instance by link address
	cuts    map[direction]bool       // directions in which no data passes
	delays  map[string]time.Duration // of data from and to an instance
	changed chan struct{}            // closed when cuts change or the network closes
	conns   map[net.Conn]direction
	closed  bool
}

// direction is the direction from one instance to another. An empty name stands for
// any instance.
type direction struct{ from, to string }

// NewNetwork returns a network that listens on a loopback address.
func NewNetwork() (*Network, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Network{
		ln: ln, names: make(map[string]string), cuts: make(map[direction]bool), delays: make(map[string]time.Duration),
		changed: make(chan struct{}), conns: make(map[net.Conn]direction),
	}
	go n.accept()
	return n, nil
}

// Addr returns the address to which daemons connect with DialThrough, instead of to
// each other.
func (n *Network) Addr() string { return n.ln.Addr().String() }

// DialThrough returns a dial function with which the daemon name reaches other
// daemons through the network at an address.
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

// Register sets the name of the instance with a link address.
func (n *Network) Register(addr, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[addr] = name
}

// Cut stops all data between two instances, or between a and all others when b is
// empty.
func (n *Network) Cut(a, b string) { n.setCut(true, direction{a, b}, direction{b, a}) }

// Heal ends a Cut with the same arguments.
func (n *Network) Heal(a, b string) { n.setCut(false, direction{a, b}, direction{b, a}) }

// CutOneWay stops all data from one instance to another, or to all others when to is
// empty, but not in the opposite direction.
func (n *Network) CutOneWay(from, to string) { n.setCut(true, direction{from, to}) }

// HealOneWay ends a CutOneWay with the same arguments.
func (n *Network) HealOneWay(from, to string) { n.setCut(false, direction{from, to}) }

// Delay delays all data from and to an instance; 0 ends the delay.
func (n *Network) Delay(name string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[name] = d
}

// Reset resets all connections of an instance. Data in flight is lost.
func (n *Network) Reset(name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c, dir := range n.conns {
		if dir.from != name && dir.to != name {
			continue
		}
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// Close stops the listener and closes all connections.
func (n *Network) Close() {
	_ = n.ln.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for c := range n.conns {
		_ = c.Close()
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Network) setCut(cut bool, directions ...direction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, dir := range directions {
		if cut {
			n.cuts[dir] = true
		} else {
			delete(n.cuts, dir)
		}
	}
	close(n.changed)
	n.changed = make(chan struct{})
}

// waitOpen waits until data may pass in a direction. It returns false when the
// network is closed.
func (n *Network) waitOpen(from, to string) bool {
	for {
		n.mu.Lock()
		cut := n.cuts[direction{from, to}] || n.cuts[direction{from, ""}] || n.cuts[direction{"", to}]
		delay := n.delays[from] + n.delays[to]
		closed, changed := n.closed, n.changed
		n.mu.Unlock()
		switch {
		case closed:
			return false
		case cut:
			<-changed
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
		go n.proxy(c)
	}
}

// track registers a connection, so that Reset and Close reach it. untrack closes and
// removes it.
func (n *Network) track(c net.Conn, dir direction) (untrack func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		_ = c.Close()
	}
	n.conns[c] = dir
	return func() {
		_ = c.Close()
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.conns, c)
	}
}

// proxy reads the header that DialThrough writes, connects to the daemon and forwards
// data in both directions until one of them ends.
func (n *Network) proxy(c net.Conn) {
	defer n.track(c, direction{})()
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	from, addr, _ := strings.Cut(strings.TrimSpace(line), " ")
	n.mu.Lock()
	to := n.names[addr]
	n.conns[c] = direction{from, to}
	n.mu.Unlock()
	if !n.waitOpen(from, to) {
		return
	}
	upstream, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer n.track(upstream, direction{from, to})()
	done := make(chan struct{}, 2)
	forward := func(w io.Writer, r io.Reader, from, to string) {
		defer func() { done <- struct{}{} }()
		b := make([]byte, 32<<10)
		for {
			count, err := r.Read(b)
			if !n.waitOpen(from, to) {
				return
			}
			if _, writeErr := w.Write(b[:count]); writeErr != nil || err != nil {
				return
			}
		}
	}
	go forward(upstream, r, from, to)
	go forward(c, upstream, to, from)
	<-done
}
