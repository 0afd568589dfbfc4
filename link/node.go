// Package link connects daemons. A connection is a yamux session between two
// holders of the group's shared key. Control messages and request bodies use
// separate sessions, so that a download never delays a renewal.
package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch/logs"
)

const (
	// handshakes bounds the connections that have not proved the key yet.
	handshakes = 64
	// refusalLines bounds the lines on sessions for requests that could not be
	// opened, a second: an instance that is lost is dialled for every request.
	refusalLines = 5
)

// ErrClosed says that the node was closed.
var ErrClosed = errors.New("node is closed")

// Node is this process's end of all links. It is safe for concurrent use.
type Node struct {
	cfg    Config
	ctx    context.Context // ends with Close
	cancel context.CancelFunc
	wg     sync.WaitGroup
	done   chan struct{}
	slots  chan struct{} // handshakes in progress

	mu        sync.Mutex
	closed    bool
	listeners []net.Listener
	peers     map[string]*peer         // control, by dialled address
	control   map[*ctlSession]struct{} // control sessions, dialled and accepted
	accepted  map[*inSession]struct{}  // sessions for requests
	draining  bool                     // accepts no session for requests

	shared atomic.Pointer[shared] // the packed message sent last

	pool        pool // dialled sessions for requests
	idleStreams int
	refusals    *logs.Limit // of the lines on sessions for requests that could not be opened
}

// New returns a node that neither listens nor has connections. Close ends it.
func New(cfg Config) (*Node, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg:     cfg.withDefaults(),
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
		slots:   make(chan struct{}, handshakes),
		peers:   make(map[string]*peer),
		control: make(map[*ctlSession]struct{}),

		accepted:    make(map[*inSession]struct{}),
		pool:        pool{sessions: make(map[string]*dataSession)},
		idleStreams: idleStreams,
		refusals:    logs.NewLimit(refusalLines, refusalLines),
	}
	n.spawn(n.janitor)
	return n, nil
}

// spawn runs f in a goroutine that Close waits for. It reports false when the
// node is closed.
func (n *Node) spawn(f func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.spawnLocked(f)
}

func (n *Node) spawnLocked(f func()) bool {
	if n.closed {
		return false
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		f()
	}()
	return true
}

// Listen accepts connections of other daemons at a TCP address and returns the
// address it got.
func (n *Node) Listen(addr string) (net.Addr, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("listen for links: %w", err)
	}
	if err := n.Serve(l); err != nil {
		return nil, err
	}
	return l.Addr(), nil
}

// Serve accepts connections of other daemons from l until Close, in the
// background.
func (n *Node) Serve(l net.Listener) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.spawnLocked(func() { n.accept(l) }) {
		_ = l.Close()
		return ErrClosed
	}
	n.listeners = append(n.listeners, l)
	return nil
}

func (n *Node) accept(l net.Listener) {
	for {
		select {
		case n.slots <- struct{}{}:
		case <-n.ctx.Done():
			return
		}
		c, err := l.Accept()
		if err != nil {
			<-n.slots
			if n.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			klog.Warningf("accept a link: %v", err)
			if !n.pause(acceptPause) {
				return
			}
			continue
		}
		if !n.spawn(func() { n.welcome(c) }) {
			_ = c.Close()
			return
		}
	}
}

// acceptPause keeps a process without free file descriptors from spinning.
const acceptPause = 10 * time.Millisecond

// pause waits for d. It reports false when the node is closed.
func (n *Node) pause(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-n.ctx.Done():
		return false
	}
}

// welcome makes a session of an accepted connection. It returns when the
// session ends.
func (n *Node) welcome(c net.Conn) {
	h, s, err := n.admit(c)
	<-n.slots
	if err != nil {
		_ = c.Close()
		klog.V(1).Infof("link from %s refused: %v", c.RemoteAddr(), err)
		return
	}
	if h.Purpose == forControl {
		n.serveControl(s, h)
		return
	}
	n.serveData(s, h)
}

// refuses reports why no session for p is accepted. It is asked before this
// side proves itself, so that the dialling side has sent no request yet.
func (n *Node) refuses(p purpose) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case p == forControl && n.cfg.ControlHandler == nil, p == forData && n.cfg.RequestHandler == nil:
		return errors.New("this node serves no such sessions")
	case p == forData && n.draining:
		return errors.New("this node is draining")
	case p == forData && len(n.accepted) >= hardCap*n.cfg.MaxRequestSessions:
		return fmt.Errorf("%d sessions are open", len(n.accepted))
	default:
		return nil
	}
}

func (n *Node) admit(c net.Conn) (*hello, *mux, error) {
	if err := tune(c, n.cfg.TCPUserTimeout); err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(n.ctx, func() { _ = c.Close() })
	defer stop()
	h, err := n.handshake(c, false, 0)
	if err != nil {
		return nil, nil, err
	}
	s, err := n.session(c, false, h.Purpose)
	return h, s, err
}

// dial opens a session to another daemon.
func (n *Node) dial(ctx context.Context, addr string, p purpose) (*hello, *mux, error) {
	ctx, cancel := context.WithTimeout(ctx, n.cfg.DialTimeout)
	defer cancel()
	c, err := n.cfg.Dial(ctx, addr)
	if err != nil {
		return nil, nil, fmt.Errorf("dial: %w", err)
	}
	stop := context.AfterFunc(n.ctx, func() { _ = c.Close() })
	defer stop()
	if err := tune(c, n.cfg.TCPUserTimeout); err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	h, err := n.handshake(c, true, p)
	if err != nil {
		_ = c.Close()
		return nil, nil, fmt.Errorf("connect to %s: %w", addr, err)
	}
	s, err := n.session(c, true, p)
	if err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	return h, s, nil
}

// janitor closes idle sessions.
func (n *Node) janitor() {
	t := time.NewTicker(max(n.cfg.IdleTimeout/4, time.Millisecond))
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			n.reap(now)
		case <-n.ctx.Done():
			return
		}
	}
}

// reap closes the sessions that have been idle for long enough at now.
func (n *Node) reap(now time.Time) {
	n.reapControl(now)
	n.reapData(now)
}

// Drain lets the daemons that have sessions for requests open no new exchange
// on them, accepts no further ones, and waits until the requests that run have
// been answered. Control sessions go on.
func (n *Node) Drain(ctx context.Context) error {
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	for {
		s := n.anyAccepted()
		if s == nil {
			return nil
		}
		select {
		case <-s.left:
		case <-ctx.Done():
			return fmt.Errorf("drain links: %w", ctx.Err())
		}
	}
}

// anyAccepted asks all accepted sessions to end and returns one of them.
func (n *Node) anyAccepted() *inSession {
	n.mu.Lock()
	open := make([]*inSession, 0, len(n.accepted))
	for s := range n.accepted {
		open = append(open, s)
	}
	n.mu.Unlock()
	for _, s := range open {
		s.askDrain()
	}
	if len(open) == 0 {
		return nil
	}
	return open[0]
}

// Close ends all connections and waits for the node's goroutines, also for
// those that run a handler.
func (n *Node) Close() error {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		<-n.done
		return nil
	}
	n.closed = true
	n.cancel()
	for _, l := range n.listeners {
		_ = l.Close()
	}
	open := make([]*ctlSession, 0, len(n.control))
	for s := range n.control {
		open = append(open, s)
	}
	in := make([]*inSession, 0, len(n.accepted))
	for s := range n.accepted {
		in = append(in, s)
	}
	n.mu.Unlock()
	for _, s := range open {
		s.close()
	}
	for _, s := range in {
		_ = s.mux.Close()
	}
	n.wg.Wait()
	close(n.done)
	return nil
}

// Stats are the numbers of open sessions.
type Stats struct {
	Control  int // dialled and accepted
	Outbound int // for requests, also those that are being dialled
	Inbound  int // for requests
}

// Stats returns the present numbers.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	s := Stats{Control: len(n.control), Inbound: len(n.accepted)}
	n.mu.Unlock()
	n.pool.mu.Lock()
	s.Outbound = len(n.pool.sessions)
	n.pool.mu.Unlock()
	return s
}

// Done returns a channel that is closed when Close has finished.
func (n *Node) Done() <-chan struct{} { return n.done }
