package script

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
)

// Network carries every connection between daemons and can cut them. Nothing
// of a cut connection is lost or closed: its bytes wait until it is healed, so
// that old messages arrive late, as they do over a mended network.
type Network struct {
	ln net.Listener

	mu    sync.Mutex
	names map[string]string // instance by link address
	cuts  map[string]bool   // by pair of names, or one name for all of its connections
	moved chan struct{}     // closed when cuts change
	conns map[net.Conn]bool
	ended bool
}

// OpenNetwork listens on a loopback address.
func OpenNetwork() (*Network, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Network{
		ln: ln, names: make(map[string]string), cuts: make(map[string]bool),
		moved: make(chan struct{}), conns: make(map[net.Conn]bool),
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

// Name tells whose link address it is.
func (n *Network) Name(addr, name string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.names[addr] = name
}

// Cut stops everything between two instances, or between one and all others
// when b is empty.
func (n *Network) Cut(a, b string) { n.set(a, b, true) }

// Heal ends a cut that was made with the same arguments.
func (n *Network) Heal(a, b string) { n.set(a, b, false) }

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

func pair(a, b string) string {
	if a > b {
		a, b = b, a
	}
	return a + " " + b
}

func (n *Network) set(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.cuts[pair(a, b)] = true
	} else {
		delete(n.cuts, pair(a, b))
	}
	close(n.moved)
	n.moved = make(chan struct{})
}

// wait returns when nothing is cut between a and b. It reports whether the
// network still runs.
func (n *Network) wait(a, b string) bool {
	for {
		n.mu.Lock()
		cut := n.cuts[pair(a, b)] || n.cuts[pair(a, "")] || n.cuts[pair(b, "")]
		ended, moved := n.ended, n.moved
		n.mu.Unlock()
		if ended || !cut {
			return !ended
		}
		<-moved
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
func (n *Network) keep(c net.Conn) (forget func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.ended {
		_ = c.Close()
	}
	n.conns[c] = true
	return func() {
		_ = c.Close()
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.conns, c)
	}
}

func (n *Network) carry(c net.Conn) {
	defer n.keep(c)()
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	if err != nil {
		return
	}
	from, addr, _ := strings.Cut(strings.TrimSpace(line), " ")
	n.mu.Lock()
	to := n.names[addr]
	n.mu.Unlock()
	if !n.wait(from, to) {
		return
	}
	far, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer n.keep(far)()
	ended := make(chan struct{}, 2)
	pump := func(w io.Writer, r io.Reader) {
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
	go pump(far, r)
	go pump(c, far)
	<-ended
}
