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

// hardCap is how many times the session cap the accepted sessions may reach.
// Idle ones are asked to end at the cap; beyond the hard cap no session is
// accepted.
const hardCap = 4

// tombstones is how many cancellations of streams that are not accepted yet a
// session remembers.
const tombstones = 64

// inSession is one accepted session for requests.
type inSession struct {
	node *Node
	from string
	mux  *mux
	left chan struct{} // closed when the node no longer counts the session

	mu      sync.Mutex
	sig     *yamux.Stream
	drain   bool // wanted
	drained bool // signalled
	streams map[uint32]*inStream
	gone    [tombstones]uint32 // cancelled before they were accepted
	goneAt  int
	used    time.Time
	running int
}

// serveData runs an accepted session for requests until it ends.
func (n *Node) serveData(mux *mux, h *hello) {
	s := &inSession{node: n, from: h.Name, mux: mux, streams: make(map[uint32]*inStream), left: make(chan struct{}), used: time.Now()}
	defer func() { _ = mux.Close() }()
	if !n.enter(s) {
		return
	}
	defer n.leave(s)
	for {
		y, err := mux.AcceptStream()
		if err != nil {
			return
		}
		if y.StreamID() == signalStream {
			if !n.spawn(func() { s.signals(y) }) {
				return
			}
			continue
		}
		if !s.start(y) {
			return
		}
	}
}

// enter registers an accepted session. Above the cap the least recently used
// idle one is asked to end.
func (n *Node) enter(s *inSession) bool {
	n.mu.Lock()
	if n.closed {
		n.mu.Unlock()
		return false
	}
	n.accepted[s] = struct{}{}
	var others []*inSession
	if len(n.accepted) > n.cfg.MaxRequestSessions {
		for o := range n.accepted {
			others = append(others, o)
		}
	}
	drain := n.draining
	n.mu.Unlock()
	if drain {
		s.askDrain()
	}
	var oldest *inSession
	var since time.Time
	for _, o := range others {
		if used, idle := o.idleSince(); idle && o != s && (oldest == nil || used.Before(since)) {
			oldest, since = o, used
		}
	}
	if oldest != nil {
		oldest.askDrain()
	}
	return true
}

func (n *Node) leave(s *inSession) {
	n.mu.Lock()
	delete(n.accepted, s)
	n.mu.Unlock()
	close(s.left)
}

func (s *inSession) idleSince() (time.Time, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.used, s.running == 0 && !s.drain
}

// askDrain asks the dialling side to end the session once no exchange is on it.
func (s *inSession) askDrain() {
	s.mu.Lock()
	s.drain = true
	sig := s.sig
	send := sig != nil && !s.drained
	s.drained = s.drained || send
	s.mu.Unlock()
	if send {
		_ = sig.SetWriteDeadline(time.Now().Add(s.node.cfg.RequestWriteTimeout))
		_, _ = sig.Write(appendFrame(nil, kindDrain, nil))
	}
}

// signals reads what the dialling side signals.
func (s *inSession) signals(y *yamux.Stream) {
	defer func() { _ = s.mux.Close() }()
	s.mu.Lock()
	s.sig = y
	drain := s.drain
	s.mu.Unlock()
	if drain {
		s.askDrain()
	}
	r := bufio.NewReaderSize(y, maxSignal)
	for {
		k, b, err := readFrame(r, maxSignal)
		if err != nil {
			return
		}
		if k != kindCancel || len(b) != 4 {
			klog.Warningf("request link from %s: unexpected signal of kind %d", s.from, k)
			return
		}
		s.giveUp(binary.BigEndian.Uint32(b))
	}
}

// giveUp cancels the exchange on a stream.
func (s *inSession) giveUp(id uint32) {
	s.mu.Lock()
	st := s.streams[id]
	if st == nil {
		s.gone[s.goneAt%tombstones] = id
		s.goneAt++
	}
	s.mu.Unlock()
	if st != nil {
		st.end()
	}
}

// start runs the exchanges of an accepted stream. It reports false when the
// session must end.
func (s *inSession) start(y *yamux.Stream) bool {
	st := &inStream{session: s, y: y, r: bufio.NewReaderSize(y, streamBuffer), work: make(chan *incoming, 1)}
	st.ctx, st.cancel = context.WithCancel(s.node.ctx)
	s.mu.Lock()
	over := len(s.streams) > 2*maxStreams
	s.streams[y.StreamID()] = st
	for _, id := range s.gone {
		if id == y.StreamID() {
			st.cancel()
		}
	}
	s.mu.Unlock()
	if over {
		klog.Warningf("request link from %s: more than %d streams", s.from, 2*maxStreams)
		return false
	}
	return s.node.spawn(st.run) && s.node.spawn(st.feed)
}
