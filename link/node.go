// Package link connects daemons. Each connection is a yamux session between two
// daemons that have proved to each other that they have the group's shared key.
// Control messages and requests use separate sessions, so that a large response
// never delays a lease renewal.
package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"pollenlatch/logs"
)

const (
	// maxHandshakes limits the accepted connections in the handshake.
	maxHandshakes = 64
	// dialFailureLogRate is the maximum number of log lines a second on request
	// sessions that could not be opened. A lost instance is dialled for every
	// request.
	dialFailureLogRate = 5
)

// ErrClosed says that the node is closed.
var ErrClosed = errors.New("node is closed")

// Node is the local end of all links of a process. It is safe for concurrent use.
type Node struct {
	cfg            Config
	ctx            context.Context // cancelled by Close
	cancel         context.CancelFunc
	wg             sync.WaitGroup
	done           chan struct{}
	handshakeSlots chan struct{} // one element for each handshake in progress

	mu              sync.Mutex
	closed          bool
	listeners       []net.Listener
	peers           map[string]*outboundPeer     // receivers of control messages, by dialled address
	controlSessions map[*controlSession]struct{} // dialled and accepted
	inbound         map[*inboundSession]struct{} // accepted request sessions
	draining        bool                         // request sessions are refused

	lastShared atomic.Pointer[sharedFrame] // frame of the last preencoded message

	outbound       outboundPool // dialled request sessions
	maxIdleStreams int          // of one outbound session
	receipts       *receipts
	revocations    atomic.Uint64 // answered ones
	revokedNotRun  atomic.Uint64 // revocations of requests that had not run
	revokeLog      *logs.Limiter // for log lines on revoked requests
	dialFailureLog *logs.Limiter // for log lines on request sessions that could not be opened

	bodiesOffered   *metrics.Counter // heads that were sent without their large bodies
	bodiesRequested *metrics.Counter // those of them whose bodies were requested
	bodyBytes       *metrics.Counter // bytes sent of these bodies
}

// New returns a node that does not listen and has no connections. The caller must
// call Close.
func New(cfg Config) (*Node, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	n := &Node{
		cfg:             cfg.withDefaults(),
		ctx:             ctx,
		cancel:          cancel,
		done:            make(chan struct{}),
		handshakeSlots:  make(chan struct{}, maxHandshakes),
		peers:           make(map[string]*outboundPeer),
		controlSessions: make(map[*controlSession]struct{}),

		inbound:        make(map[*inboundSession]struct{}),
		outbound:       outboundPool{sessions: make(map[string]*outboundSession)},
		maxIdleStreams: defaultMaxIdleStreams,
		receipts:       newReceipts(time.Now()),
		revokeLog:      logs.NewLimiter(dialFailureLogRate, dialFailureLogRate),
		dialFailureLog: logs.NewLimiter(dialFailureLogRate, dialFailureLogRate),
	}
	n.bodiesOffered = n.cfg.Metrics.GetOrCreateCounter("pollenlatch_link_bodies_offered_total")
	n.bodiesRequested = n.cfg.Metrics.GetOrCreateCounter("pollenlatch_link_bodies_requested_total")
	n.bodyBytes = n.cfg.Metrics.GetOrCreateCounter("pollenlatch_link_body_bytes_total")
	n.spawn(n.closeIdleLoop)
	return n, nil
}

func (n *Node) recordReceived(bytes int) { n.cfg.RecordReceived(bytes) }

// spawn runs f in a goroutine that Close waits for. It returns false when the node
// is closed.
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
// address of the listener.
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

// Serve starts a goroutine that accepts connections of other daemons from l until
// Close.
func (n *Node) Serve(l net.Listener) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.spawnLocked(func() { n.acceptLoop(l) }) {
		_ = l.Close()
		return ErrClosed
	}
	n.listeners = append(n.listeners, l)
	return nil
}

func (n *Node) acceptLoop(l net.Listener) {
	for {
		select {
		case n.handshakeSlots <- struct{}{}:
		case <-n.ctx.Done():
			return
		}
		c, err := l.Accept()
		if err != nil {
			<-n.handshakeSlots
			if n.ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			klog.Warningf("link could not be accepted: %v", err)
			if !n.sleep(acceptRetryDelay) {
				return
			}
			continue
		}
		if !n.spawn(func() { n.serveConn(c) }) {
			_ = c.Close()
			return
		}
	}
}

// acceptRetryDelay prevents a busy loop in a process without free file descriptors.
const acceptRetryDelay = 10 * time.Millisecond

// sleep waits for d. It returns false when the node is closed.
func (n *Node) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-n.ctx.Done():
		return false
	}
}

// serveConn opens a session on an accepted connection and serves it until it ends.
func (n *Node) serveConn(c net.Conn) {
	h, s, err := n.acceptSession(c)
	<-n.handshakeSlots
	if err != nil {
		_ = c.Close()
		klog.V(1).Infof("link from %s refused: %v", c.RemoteAddr(), err)
		return
	}
	if h.Purpose == purposeControl {
		n.serveControl(s, h)
		return
	}
	n.serveRequests(s, h)
}

// checkAdmission returns an error when a session for p is not accepted. It is called
// before the handshake completes, when the dialling side has sent no request yet.
func (n *Node) checkAdmission(p sessionPurpose) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case p == purposeControl && n.cfg.ControlHandler == nil, p == purposeRequests && n.cfg.RequestHandler == nil:
		return errors.New("node has no handler for such sessions")
	case p == purposeRequests && n.draining:
		return errors.New("node is draining")
	case p == purposeRequests && len(n.inbound) >= hardLimitFactor*n.cfg.MaxRequestSessions:
		return fmt.Errorf("limit reached: %d request sessions are open", len(n.inbound))
	default:
		return nil
	}
}

func (n *Node) acceptSession(c net.Conn) (*hello, *muxSession, error) {
	if err := setSocketOptions(c, n.cfg.TCPUserTimeout); err != nil {
		return nil, nil, err
	}
	stop := context.AfterFunc(n.ctx, func() { _ = c.Close() })
	defer stop()
	h, err := n.handshake(c, false, 0)
	if err != nil {
		return nil, nil, err
	}
	s, err := n.newSession(c, false, h.Purpose)
	return h, s, err
}

// dial connects to another daemon and opens a session.
func (n *Node) dial(ctx context.Context, addr string, p sessionPurpose, timeout time.Duration) (*hello, *muxSession, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c, err := n.cfg.Dial(ctx, addr)
	if err != nil {
		return nil, nil, fmt.Errorf("dial: %w", err)
	}
	stop := context.AfterFunc(n.ctx, func() { _ = c.Close() })
	defer stop()
	if err := setSocketOptions(c, n.cfg.TCPUserTimeout); err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	h, err := n.handshake(c, true, p)
	if err != nil {
		_ = c.Close()
		return nil, nil, fmt.Errorf("connect to %s: %w", addr, err)
	}
	s, err := n.newSession(c, true, p)
	if err != nil {
		_ = c.Close()
		return nil, nil, err
	}
	return h, s, nil
}

// closeIdleLoop closes idle sessions periodically.
func (n *Node) closeIdleLoop() {
	t := time.NewTicker(max(n.cfg.IdleTimeout/4, time.Millisecond))
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			n.closeIdle(now)
		case <-n.ctx.Done():
			return
		}
	}
}

// closeIdle closes the dialled sessions whose idle timeout has passed at now.
func (n *Node) closeIdle(now time.Time) {
	n.closeIdleControl(now)
	n.closeIdleOutbound(now)
}

// Drain refuses new request sessions, asks the dialling sides of the existing ones
// to start no new exchange and to close them, and waits until they are closed.
// Control sessions are not affected.
func (n *Node) Drain(ctx context.Context) error {
	n.mu.Lock()
	n.draining = true
	n.mu.Unlock()
	for {
		s := n.drainInbound()
		if s == nil {
			return nil
		}
		select {
		case <-s.removed:
		case <-ctx.Done():
			return fmt.Errorf("drain links: %w", ctx.Err())
		}
	}
}

// drainInbound asks the dialling sides of all inbound sessions to close them. It
// returns one of the sessions, or nil if there is none.
func (n *Node) drainInbound() *inboundSession {
	n.mu.Lock()
	open := make([]*inboundSession, 0, len(n.inbound))
	for s := range n.inbound {
		open = append(open, s)
	}
	n.mu.Unlock()
	for _, s := range open {
		s.requestDrain()
	}
	if len(open) == 0 {
		return nil
	}
	return open[0]
}

// Close closes all connections and waits for the node's goroutines, including those
// that run a handler.
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
	open := make([]*controlSession, 0, len(n.controlSessions))
	for s := range n.controlSessions {
		open = append(open, s)
	}
	in := make([]*inboundSession, 0, len(n.inbound))
	for s := range n.inbound {
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

// Stats holds the numbers of open sessions.
type Stats struct {
	Control  int // control sessions, dialled and accepted
	Outbound int // request sessions that were dialled or are being dialled
	Inbound  int // request sessions that were accepted
}

// Stats returns the current numbers of sessions.
func (n *Node) Stats() Stats {
	n.mu.Lock()
	s := Stats{Control: len(n.controlSessions), Inbound: len(n.inbound)}
	n.mu.Unlock()
	n.outbound.mu.Lock()
	s.Outbound = len(n.outbound.sessions)
	n.outbound.mu.Unlock()
	return s
}

// Done returns a channel that is closed when Close has finished.
func (n *Node) Done() <-chan struct{} { return n.done }
