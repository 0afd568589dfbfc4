package link

import (
	"bufio"
	"context"
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
	// A control session has two streams, called lanes, so that a lease renewal
	// never waits behind a snapshot.
	laneMain = 0
	laneBulk = 1
	numLanes = 2

	// minBulkQuorumBytes is the minimum size of a message between voters that is
	// sent on the bulk lane.
	minBulkQuorumBytes = 32 << 10

	maxQueueLength = 256     // messages for one peer and lane
	maxQueueBytes  = 1 << 20 // for one peer and lane
	maxQueueAge    = time.Second

	// bulkTimeoutFactor times ControlWriteTimeout is the write timeout of the bulk
	// lane, because a peer that is processing a snapshot reads slowly.
	bulkTimeoutFactor = 8
	// saturatedDialFactor times DialTimeout is the timeout of a dial after one that has
	// timed out. On a saturated network link packets wait for up to half a second each
	// way, and without a control link the daemon keeps an outdated configuration. Only
	// every second dial waits for so long, since a dial to an instance that was cut off
	// does not notice when it returns.
	saturatedDialFactor = 5

	minRedialInterval = 10 * time.Millisecond
	maxRedialInterval = 250 * time.Millisecond
	controlReadBuffer = 1 << 10 // bytes; most control messages are shorter
)

// Peer is the sender of a control message.
type Peer struct {
	Name        string
	Incarnation pollenlatch.Incarnation
	Addr        string // the dialled address, or the remote socket address of an accepted session

	send func(m *pollenlatch.Message)
}

// NewPeer returns a peer whose Send calls send.
func NewPeer(name string, i pollenlatch.Incarnation, addr string, send func(m *pollenlatch.Message)) Peer {
	return Peer{Name: name, Incarnation: i, Addr: addr, send: send}
}

// Send queues a message on the session that the peer's message came from. It never
// blocks. The message is lost when that session ends.
func (p Peer) Send(m *pollenlatch.Message) {
	if p.send != nil {
		p.send(m)
	}
}

// Send queues a message for the daemon at addr. It never blocks. When the queue is
// full, the oldest message is dropped. A message that could not be sent within a
// second is dropped too. m may be changed after the call unless it is preencoded.
func (n *Node) Send(addr string, m *pollenlatch.Message) {
	lane, b, ok := n.encode(m)
	if !ok {
		return
	}
	n.mu.Lock()
	p := n.peers[addr]
	if p == nil && !n.closed {
		p = &outboundPeer{node: n, addr: addr}
		n.peers[addr] = p
	}
	n.mu.Unlock()
	if p == nil {
		return
	}
	p.lastSend.Store(time.Now().UnixNano())
	if p.queues[lane].push(b) && !n.spawn(func() { p.sendQueued(lane) }) {
		p.queues[lane].clear()
	}
}

// sharedFrame is the frame of a preencoded message that is sent to many peers.
type sharedFrame struct {
	m     *pollenlatch.Message
	lane  int
	frame []byte
}

// encode returns the frame of a message and its lane. The frame of a preencoded
// message is built once for consecutive peers.
func (n *Node) encode(m *pollenlatch.Message) (lane int, frame []byte, ok bool) {
	if m.Encoded() == nil {
		b, err := pollenlatch.Encode(m)
		if err != nil {
			klog.Errorf("control message could not be encoded and is dropped: %v", err)
			return 0, nil, false
		}
		return controlFrame(m, b)
	}
	if s := n.lastShared.Load(); s != nil && s.m == m {
		return s.lane, s.frame, true
	}
	lane, frame, ok = controlFrame(m, m.Encoded())
	if ok {
		n.lastShared.Store(&sharedFrame{m: m, lane: lane, frame: frame})
	}
	return lane, frame, ok
}

func controlFrame(m *pollenlatch.Message, b []byte) (lane int, frame []byte, ok bool) {
	if len(b) > maxMessageBytes {
		klog.Errorf("control message of %d bytes exceeds the limit of %d and is dropped", len(b), maxMessageBytes)
		return 0, nil, false
	}
	bulk := m.Records != nil || m.EventsReply != nil || (m.Delta != nil && m.Delta.Chunk != nil) || len(m.Quorum) >= minBulkQuorumBytes
	if bulk {
		lane = laneBulk
	}
	return lane, appendFrame(make([]byte, 0, frameHeaderBytes+len(b)), kindMessage, b), true
}

// outboundPeer is a daemon to which this daemon sends control messages.
type outboundPeer struct {
	node     *Node
	addr     string
	lastSend atomic.Int64 // Unix nanoseconds of the last Send
	queues   [numLanes]queue

	mu           sync.Mutex // held while dialling
	session      *controlSession
	backoff      *backoff.ExponentialBackOff
	nextDial     time.Time // earliest time of the next dial
	dialFailed   bool      // the last dial failed
	dialTimedOut bool      // the last dial timed out after DialTimeout
}

// sendQueued sends the queued frames of a lane, and first connects if necessary.
func (p *outboundPeer) sendQueued(lane int) {
	q := &p.queues[lane]
	for {
		s, wait := p.connect()
		if s == nil {
			if q.dropExpired(time.Now()) {
				return
			}
			if !p.node.sleep(wait) {
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

// connect returns the session, which it opens if necessary, or the time to wait
// before the next dial.
func (p *outboundPeer) connect() (*controlSession, time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session != nil && !p.session.mux.IsClosed() {
		return p.session, 0
	}
	p.session = nil
	now := time.Now()
	if wait := p.nextDial.Sub(now); wait > 0 {
		return nil, wait
	}
	if p.backoff == nil {
		p.backoff = backoff.NewExponentialBackOff()
		p.backoff.InitialInterval = minRedialInterval
		p.backoff.MaxInterval = maxRedialInterval
	}
	s, err := p.open()
	if err != nil {
		wait := p.backoff.NextBackOff()
		p.nextDial = time.Now().Add(wait)
		if !p.dialFailed {
			p.dialFailed = true
			klog.InfoS("control link not opened", "addr", p.addr, "err", err)
		}
		return nil, wait
	}
	klog.InfoS("control link opened", "addr", p.addr, "again", p.dialFailed)
	p.dialFailed = false
	p.backoff.Reset()
	p.session = s
	return s, 0
}

func (p *outboundPeer) open() (*controlSession, error) {
	timeout := p.node.cfg.DialTimeout
	if p.dialTimedOut {
		timeout *= saturatedDialFactor
	}
	h, y, err := p.node.dial(p.node.ctx, p.addr, purposeControl, timeout)
	p.dialTimedOut = !p.dialTimedOut && errors.Is(err, context.DeadlineExceeded)
	if err != nil {
		return nil, err
	}
	s := &controlSession{node: p.node, mux: y, peer: p}
	for i := range s.streams {
		if s.streams[i], err = y.OpenStream(); err != nil {
			_ = y.Close()
			return nil, err
		}
	}
	if !p.node.addControl(s) {
		_ = y.Close()
		return nil, ErrClosed
	}
	from := Peer{Name: h.Name, Incarnation: h.Incarnation, Addr: p.addr, send: s.send}
	for i := range s.streams {
		if !p.node.spawn(func() { s.readMessages(i, from) }) {
			s.close()
			return nil, ErrClosed
		}
	}
	return s, nil
}

// controlSession is a control session, dialled or accepted.
type controlSession struct {
	node       *Node
	mux        *muxSession
	peer       *outboundPeer // nil when accepted
	streams    [numLanes]*yamux.Stream
	writeLocks [numLanes]sync.Mutex // each is held while a frame is written
	replies    [numLanes]queue      // messages sent through Peer.Send
}

// serveControl serves an accepted control session until it ends.
func (n *Node) serveControl(y *muxSession, h *hello) {
	s := &controlSession{node: n, mux: y}
	if !n.addControl(s) {
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
	if !n.spawn(func() { s.readMessages(laneBulk, from) }) {
		return
	}
	s.readMessages(laneMain, from)
}

func (n *Node) addControl(s *controlSession) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.controlSessions[s] = struct{}{}
	return true
}

// readMessages passes the messages of one stream to the handler until the session
// ends.
func (s *controlSession) readMessages(lane int, from Peer) {
	defer s.close()
	r := bufio.NewReaderSize(s.streams[lane], controlReadBuffer)
	for {
		k, b, err := readFrame(r, maxMessageBytes)
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

// send queues a message on this session.
func (s *controlSession) send(m *pollenlatch.Message) {
	lane, b, ok := s.node.encode(m)
	if !ok || s.mux.IsClosed() {
		return
	}
	if s.peer != nil {
		s.peer.lastSend.Store(time.Now().UnixNano())
	}
	q := &s.replies[lane]
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

// write writes one frame in chunks, so that frames of the other lane can be sent in
// between. When a write times out, the session is closed, because a part of the
// frame may have been sent.
func (s *controlSession) write(lane int, frame []byte) {
	s.writeLocks[lane].Lock()
	defer s.writeLocks[lane].Unlock()
	st := s.streams[lane]
	timeout := s.node.cfg.ControlWriteTimeout
	if lane == laneBulk {
		timeout *= bulkTimeoutFactor
	}
	for len(frame) > 0 {
		part := frame[:min(len(frame), pollenlatch.ChunkBytes)]
		frame = frame[len(part):]
		_ = st.SetWriteDeadline(time.Now().Add(timeout))
		if _, err := st.Write(part); err != nil {
			if !errors.Is(err, yamux.ErrSessionShutdown) {
				klog.InfoS("control link lost", "addr", s.mux.RemoteAddr().String(), "lane", lane, "err", err)
			}
			s.close()
			return
		}
	}
}

func (s *controlSession) close() {
	s.node.mu.Lock()
	delete(s.node.controlSessions, s)
	s.node.mu.Unlock()
	_ = s.mux.Close()
}

// closeIdleControl closes the dialled control sessions on which nothing has been
// sent for the idle timeout.
func (n *Node) closeIdleControl(now time.Time) {
	limit := now.Add(-n.cfg.IdleTimeout).UnixNano()
	n.mu.Lock()
	var idle []*controlSession
	for s := range n.controlSessions {
		if s.peer != nil && s.peer.lastSend.Load() < limit {
			idle = append(idle, s)
		}
	}
	for addr, p := range n.peers {
		if p.lastSend.Load() < limit && p.idle() {
			delete(n.peers, addr)
		}
	}
	n.mu.Unlock()
	for _, s := range idle {
		s.close()
	}
}

// idle reports whether nothing is queued for the peer or being sent to it.
func (p *outboundPeer) idle() bool {
	for i := range p.queues {
		p.queues[i].mu.Lock()
		busy := p.queues[i].sending
		p.queues[i].mu.Unlock()
		if busy {
			return false
		}
	}
	return true
}
