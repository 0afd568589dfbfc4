package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"k8s.io/klog/v2"
)

// hardLimitFactor times MaxRequestSessions is the hard limit of inbound sessions,
// above which none is accepted. Above MaxRequestSessions itself, idle sessions are
// asked to close.
const hardLimitFactor = 4

// maxEarlyCancels is the number of cancellations that a session remembers for
// streams that it has not accepted yet.
const maxEarlyCancels = 64

// inboundSession is an accepted request session.
type inboundSession struct {
	node    *Node
	from    string
	mux     *muxSession
	removed chan struct{} // closed when the session is removed from the node

	mu              sync.Mutex
	signalStream    *yamux.Stream
	drainRequested  bool
	drainSent       bool // the drain signal was sent to the dialling side
	streams         map[uint32]*inboundStream
	earlyCancels    [maxEarlyCancels]uint32 // ring of stream IDs
	nextEarlyCancel int
	lastUsed        time.Time
	running         int // requests in the handler
}

// serveRequests serves an accepted request session until it ends.
func (n *Node) serveRequests(mux *muxSession, h *hello) {
	s := &inboundSession{node: n, from: h.Name, mux: mux, streams: make(map[uint32]*inboundStream), removed: make(chan struct{}), lastUsed: time.Now()}
	defer func() { _ = mux.Close() }()
	if !n.addInbound(s) {
		return
	}
	defer n.removeInbound(s)
	for {
		y, err := mux.AcceptStream()
		if err != nil {
			return
		}
		if y.StreamID() == signalStreamID {
			if !n.spawn(func() { s.readSignals(y) }) {
				return
			}
			continue
		}
		if !s.startStream(y) {
			return
		}
	}
}

// addInbound registers an accepted session. Above MaxRequestSessions it asks the
// least recently used idle session to close. It returns false when the node is
// closed.
func (n *Node) addInbound(s *inboundSession) bool {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return false
	}
	n.inbound[s] = struct{}{}
	var others []*inboundSession
	if len(n.inbound) > n.cfg.MaxRequestSessions {
		for o := range n.inbound {
			others = append(others, o)
		}
	}
	drain := n.draining
	n.mu.Unlock()
	if drain {
		s.requestDrain()
	}
	var oldest *inboundSession
	var oldestUsed time.Time
	for _, o := range others {
		if used, idle := o.idleSince(); idle && o != s && (oldest == nil || used.Before(oldestUsed)) {
			oldest, oldestUsed = o, used
		}
	}
	if oldest != nil {
		oldest.requestDrain()
	}
	return true
}

func (n *Node) removeInbound(s *inboundSession) {
	n.mu.Lock()
	delete(n.inbound, s)
	n.mu.Unlock()
	close(s.removed)
}

func (s *inboundSession) idleSince() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastUsed, s.running == 0 && !s.drainRequested
}

// requestDrain asks the dialling side to close the session once it has no exchange.
func (s *inboundSession) requestDrain() {
	s.mu.Lock()
	s.drainRequested = true
	stream := s.signalStream
	sendNow := stream != nil && !s.drainSent
	s.drainSent = s.drainSent || sendNow
	s.mu.Unlock()
	if sendNow {
		_ = stream.SetWriteDeadline(time.Now().Add(s.node.cfg.RequestWriteTimeout))
		_, _ = stream.Write(appendFrame(nil, kindDrain, nil))
	}
}

// readSignals reads the signals of the dialling side.
func (s *inboundSession) readSignals(y *yamux.Stream) {
	defer func() { _ = s.mux.Close() }()
	s.mu.Lock()
	s.signalStream = y
	drain := s.drainRequested
	s.mu.Unlock()
	if drain {
		s.requestDrain()
	}
	r := bufio.NewReaderSize(y, maxSignalBytes)
	for {
		k, b, err := readFrame(r, maxSignalBytes)
		if err != nil {
			return
		}
		if k != kindCancel || len(b) != 4 {
			klog.Warningf("request link from %s: unexpected signal of kind %d", s.from, k)
			return
		}
		s.cancelExchange(binary.BigEndian.Uint32(b))
	}
}

// cancelExchange cancels the exchange on a stream, or remembers the cancellation
// for a stream that has not been accepted yet.
func (s *inboundSession) cancelExchange(id uint32) {
	s.mu.Lock()
	st := s.streams[id]
	if st == nil {
		s.earlyCancels[s.nextEarlyCancel%maxEarlyCancels] = id
		s.nextEarlyCancel++
	}
	s.mu.Unlock()
	if st != nil {
		st.abort()
	}
}

// startStream starts the goroutines of an accepted stream. It returns false when
// the session must end.
func (s *inboundSession) startStream(y *yamux.Stream) bool {
	st := &inboundStream{session: s, stream: y, r: bufio.NewReaderSize(y, streamBufferBytes), requests: make(chan *inboundRequest, 1)}
	st.ctx, st.cancel = context.WithCancel(s.node.ctx)
	s.mu.Lock()
	tooMany := len(s.streams) > 2*maxStreams
	s.streams[y.StreamID()] = st
	for _, id := range s.earlyCancels {
		if id == y.StreamID() {
			st.cancel()
		}
	}
	s.mu.Unlock()
	if tooMany {
		klog.Warningf("request link from %s: more than %d streams", s.from, 2*maxStreams)
		return false
	}
	return s.node.spawn(st.handleRequests) && s.node.spawn(st.readRequests)
}
