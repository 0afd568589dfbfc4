package link

import (
	"bufio"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/hashicorp/yamux"
	"k8s.io/klog/v2"

	"pollenlatch"
)

const (
	// A control session has two streams, so that a renewal never waits behind
	// a snapshot.
	laneMain = 0
	laneBulk = 1
	lanes    = 2

	// bulkQuorum is the size in bytes from which a message between voters
	// counts as bulk.
	bulkQuorum = 32 << 10

	queueLength = 256     // messages that wait for one peer on one lane
	queueBytes  = 1 << 20 // bytes that wait for one peer on one lane
	queueAge    = time.Second

	// bulkPatience is how many write timeouts a peer may take to make room on
	// the bulk lane: it may be busy with a snapshot without being lost.
	bulkPatience = 8

	redialFirst = 10 * time.Millisecond
	redialMost  = 250 * time.Millisecond
	readBuffer  = 1 << 10 // bytes; most control messages are shorter
)

// Peer is the sender of a control message.
type Peer struct {
	Name        string
	Incarnation pollenlatch.Incarnation
	Addr        string // the dialled address, or the peer's socket when it dialled

	send func(m *pollenlatch.Message)
}

// NewPeer returns a peer whose Send calls send.
func NewPeer(name string, i pollenlatch.Incarnation, addr string, send func(m *pollenlatch.Message)) Peer {
	return Peer{Name: name, Incarnation: i, Addr: addr, send: send}
}

// Send answers on the connection that the message came from. It never blocks;
// the message is lost when that connection ends.
func (p Peer) Send(m *pollenlatch.Message) {
	if p.send != nil {
		p.send(m)
	}
}

// Send queues a message for the daemon at addr. It never blocks. When the
// queue is full the oldest message is dropped; a message that could not be
// sent within a second is dropped too. m may be changed after the call unless
// it is packed.
func (n *Node) Send(addr string, m *pollenlatch.Message) {
	lane, b, ok := n.encode(m)
	if !ok {
		return
	}
	n.mu.Lock()
	p := n.peers[addr]
	if p == nil && !n.closed {
		p = &peer{node: n, addr: addr}
		n.peers[addr] = p
	}
	n.mu.Unlock()
	if p == nil {
		return
	}
	p.used.Store(time.Now().UnixNano())
	if p.queues[lane].push(b) && !n.spawn(func() { p.drain(lane) }) {
		p.queues[lane].clear()
	}
}

// shared is the frame of a packed message that goes to many peers.
type shared struct {
	m     *pollenlatch.Message
	lane  int
	frame []byte
}

// encode returns the frame of a message and the lane that it travels on. Peers
// that are sent the same packed message share its frame.
func (n *Node) encode(m *pollenlatch.Message) (lane int, frame []byte, ok bool) {
	if m.Encoded() == nil {
		b, err := pollenlatch.Encode(m)
		if err != nil {
			klog.Errorf("encode a control message: %v", err)
			return 0, nil, false
		}
		return frameOf(m, b)
	}
	if s := n.shared.Load(); s != nil && s.m == m {
		return s.lane, s.frame, true
	}
	lane, frame, ok = frameOf(m, m.Encoded())
	if ok {
		n.shared.Store(&shared{m: m, lane: lane, frame: frame})
	}
	return lane, frame, ok
}

func frameOf(m *pollenlatch.Message, b []byte) (lane int, frame []byte, ok bool) {
	if len(b) > maxMessage {
		klog.Errorf("control message of %d bytes exceeds the limit of %d and is dropped", len(b), maxMessage)
		return 0, nil, false
	}
	bulk := m.Records != nil || m.EventsReply != nil || (m.Delta != nil && m.Delta.Chunk != nil) || len(m.Quorum) >= bulkQuorum
	if bulk {
		lane = laneBulk
	}
	return lane, appendFrame(make([]byte, 0, frameHeader+len(b)), kindMessage, b), true
}

// peer is a daemon that this one sends control messages to.
type peer struct {
	node   *Node
	addr   string
	used   atomic.Int64 // Unix nanoseconds of the last Send
	queues [lanes]queue

	mu      sync.Mutex // held while dialling
	current *ctlSession
	backoff *backoff.ExponentialBackOff
	after   time.Time // no dial before
	down    bool      // the last dial failed
}

// drain sends what waits on a lane, and connects first if need be.
func (p *peer) drain(lane int) {
	q := &p.queues[lane]
	for {
		s, wait := p.connect()
		if s == nil {
			if q.stale(time.Now()) {
				return
			}
			if !p.node.pause(wait) {
				q.clear()
				return
			}
			continue
		}
		frame, ok := q.pop(time.Now())
		if !ok {
			return
		}
		s.write(lane, frame)
	}
}

// connect returns the open session, or how long to wait before the next try.
func (p *peer) connect() (*ctlSession, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != nil && !p.current.session.IsClosed() {
		return p.current, 0
	}
	p.current = nil
	now := time.Now()
	if wait := p.after.Sub(now); wait > 0 {
		return nil, wait
	}
	if p.backoff == nil {
		p.backoff = backoff.NewExponentialBackOff()
		p.backoff.InitialInterval = redialFirst
		p.backoff.MaxInterval = redialMost
	}
	s, err := p.open()
	if err != nil {
		wait := p.backoff.NextBackOff()
		p.after = time.Now().Add(wait)
		if !p.down {
			p.down = true
			klog.InfoS("control link not opened", "addr", p.addr, "err", err)
		}
		return nil, wait
	}
	klog.InfoS("control link opened", "addr", p.addr, "again", p.down)
	p.down = false
	p.backoff.Reset()
	p.current = s
	return s, 0
}

func (p *peer) open() (*ctlSession, error) {
	h, y, err := p.node.dial(p.node.ctx, p.addr, forControl)
	if err != nil {
		return nil, err
	}
	s := &ctlSession{node: p.node, session: y, peer: p}
	for i := range s.streams {
		if s.streams[i], err = y.OpenStream(); err != nil {
			_ = y.Close()
			return nil, err
		}
	}
	if !p.node.register(s) {
		_ = y.Close()
		return nil, ErrClosed
	}
	from := Peer{Name: h.Name, Incarnation: h.Incarnation, Addr: p.addr, send: s.send}
	for i := range s.streams {
		if !p.node.spawn(func() { s.read(i, from) }) {
			s.close()
			return nil, ErrClosed
		}
	}
	return s, nil
}

// ctlSession is one control session, dialled or accepted.
type ctlSession struct {
	node    *Node
	session *mux
	peer    *peer // nil when accepted
	streams [lanes]*yamux.Stream
	locks   [lanes]sync.Mutex // one writer of a stream at a time
	queues  [lanes]queue      // answers
}

// serveControl runs an accepted control session until it ends.
func (n *Node) serveControl(y *mux, h *hello) {
	s := &ctlSession{node: n, session: y}
	if !n.register(s) {
		_ = y.Close()
		return
	}
	defer s.close()
	from := Peer{Name: h.Name, Incarnation: h.Incarnation, Addr: y.RemoteAddr().String(), send: s.send}
	for i := range s.streams {
		st, err := y.AcceptStream()
		if err != nil {
			return
		}
		s.streams[i] = st
	}
	if !n.spawn(func() { s.read(laneBulk, from) }) {
		return
	}
	s.read(laneMain, from)
}

func (n *Node) register(s *ctlSession) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.control[s] = struct{}{}
	return true
}

// read hands the messages of one stream to the handler until the session ends.
func (s *ctlSession) read(lane int, from Peer) {
	defer s.close()
	r := bufio.NewReaderSize(s.streams[lane], readBuffer)
	for {
		k, b, err := readFrame(r, maxMessage)
		if err != nil {
			if lane == laneMain {
				klog.InfoS("control link ended", "peer", from.Name, "addr", from.Addr, "err", err)
			}
			return
		}
		if k != kindMessage {
			klog.Warningf("control link from %s (%s): unexpected frame of kind %d", from.Name, from.Addr, k)
			return
		}
		m := new(pollenlatch.Message)
		if err := pollenlatch.Decode(b, m); err != nil {
			klog.Warningf("control link from %s (%s): %v", from.Name, from.Addr, err)
			return
		}
		if s.node.cfg.ControlHandler != nil {
			s.node.cfg.ControlHandler(from, m)
		}
	}
}

// send queues an answer.
func (s *ctlSession) send(m *pollenlatch.Message) {
	lane, b, ok := s.node.encode(m)
	if !ok || s.session.IsClosed() {
		return
	}
	if s.peer != nil {
		s.peer.used.Store(time.Now().UnixNano())
	}
	q := &s.queues[lane]
	if !q.push(b) {
		return
	}
	started := s.node.spawn(func() {
		for {
			frame, ok := q.pop(time.Now())
			if !ok {
				return
			}
			s.write(lane, frame)
		}
	})
	if !started {
		q.clear()
	}
}

// write sends one frame, in parts that are short enough for the other lane to
// get in between. A session whose peer does not take it in time is
// closed, because a part of the frame may be on the wire.
func (s *ctlSession) write(lane int, frame []byte) {
	s.locks[lane].Lock()
	defer s.locks[lane].Unlock()
	st := s.streams[lane]
	timeout := s.node.cfg.ControlWriteTimeout
	if lane == laneBulk {
		timeout *= bulkPatience
	}
	for len(frame) > 0 {
		part := frame[:min(len(frame), pollenlatch.ChunkBytes)]
		frame = frame[len(part):]
		_ = st.SetWriteDeadline(time.Now().Add(timeout))
		if _, err := st.Write(part); err != nil {
			if !errors.Is(err, yamux.ErrSessionShutdown) {
				klog.InfoS("control link lost", "addr", s.session.RemoteAddr().String(), "lane", lane, "err", err)
			}
			s.close()
			return
		}
	}
}

func (s *ctlSession) close() {
	s.node.mu.Lock()
	delete(s.node.control, s)
	s.node.mu.Unlock()
	_ = s.session.Close()
}

// reapControl closes dialled control sessions that nothing was sent on.
func (n *Node) reapControl(now time.Time) {
	limit := now.Add(-n.cfg.IdleTimeout).UnixNano()
	n.mu.Lock()
	var idle []*ctlSession
	for s := range n.control {
		if s.peer != nil && s.peer.used.Load() < limit {
			idle = append(idle, s)
		}
	}
	for addr, p := range n.peers {
		if p.used.Load() < limit && p.idle() {
			delete(n.peers, addr)
		}
	}
	n.mu.Unlock()
	for _, s := range idle {
		s.close()
	}
}

// idle reports whether nothing waits for the peer.
func (p *peer) idle() bool {
	for i := range p.queues {
		p.queues[i].mu.Lock()
		busy := p.queues[i].drained
		p.queues[i].mu.Unlock()
		if busy {
			return false
		}
	}
	return true
}
