package link

import (
	"bufio"
	"context"
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"k8s.io/klog/v2"

	"pollenlatch"
)

const (
	// signalStreamID is the ID of the first stream of a request session. It carries
	// signals: cancellations from the dialling side, a drain from the accepting side.
	signalStreamID = 1

	// defaultMaxIdleStreams is the maximum number of idle streams that a session
	// keeps. A short exchange takes less than half the time on an existing stream
	// (BenchmarkForward).
	defaultMaxIdleStreams = 32
	// acceptBacklog is the number of streams of a session that can be open without
	// an acknowledgement of the peer. Above it OpenStream of yamux blocks, without
	// regard to deadlines.
	acceptBacklog = 256
	// maxStreams limits the concurrent exchanges of a session, and its streams
	// including those of aborted exchanges that the peer has not closed yet. It
	// leaves room for streams that are opened concurrently.
	maxStreams = acceptBacklog - 32
	// shrinkThreshold is the size in bytes of a response body above which a stream
	// releases its buffers before it becomes idle.
	shrinkThreshold   = 64 << 10
	streamBufferBytes = 4 << 10
)

// outboundPool holds the dialled request sessions, one for each address. Only the
// dialling side closes a session, and only while it has no exchange. So a request
// is never sent on a session that the peer is closing.
type outboundPool struct {
	mu       sync.Mutex
	sessions map[string]*outboundSession
}

// outboundSession is a dialled request session.
type outboundSession struct {
	node *Node
	addr string

	dialled      chan struct{} // closed when the dial has ended
	dialErr      error         // may be read after dialled is closed
	mux          *muxSession
	signalStream *yamux.Stream
	signalMu     sync.Mutex

	// The following fields are guarded by the pool's mutex.
	active      int       // exchanges, including those that wait for the dial
	lastUsed    time.Time // end of the last exchange
	closing     bool      // no new exchange may start
	idleStreams []*outboundStream
}

// outboundStream is the dialling side's end of a stream for exchanges.
type outboundStream struct {
	*yamux.Stream
	r      *bufio.Reader
	number uint32 // of the current exchange
}

// acquireSession returns the session for addr, with one more active exchange. It
// dials if necessary, until the deadline.
func (n *Node) acquireSession(ctx context.Context, addr string, deadline time.Time) (*outboundSession, error) {
	s, err := n.reserveSession(addr)
	if err != nil {
		return nil, err
	}
	select {
	case <-s.dialled:
	default:
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		select {
		case <-s.dialled:
		case <-ctx.Done():
			n.releaseSession(s, nil)
			return nil, contextEnded(ctx.Err(), false)
		}
	}
	if s.dialErr != nil {
		n.releaseSession(s, nil)
		return nil, unreachable("daemon %s: %v", addr, s.dialErr)
	}
	return s, nil
}

// reserveSession returns the session for addr, with one more active exchange, or
// adds a session and starts to dial.
func (n *Node) reserveSession(addr string) (*outboundSession, error) {
	p := &n.outbound
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.sessions[addr]; s != nil && !s.closing && !s.ended() {
		if s.active >= maxStreams {
			f := unreachable("daemon %s: maximum of %d concurrent requests reached", addr, s.active)
			f.Reason = pollenlatch.ReasonQueueFull
			return nil, f
		}
		s.active++
		return s, nil
	} else if s != nil {
		p.removeLocked(s)
	}
	if len(p.sessions) >= n.cfg.MaxRequestSessions && !p.evictLocked(n) {
		return nil, unreachable("daemon %s: all %d sessions are in use", addr, n.cfg.MaxRequestSessions)
	}
	s := &outboundSession{node: n, addr: addr, dialled: make(chan struct{}), active: 1, lastUsed: time.Now()}
	if !n.spawn(s.dialAndRead) {
		return nil, unreachable("daemon %s: %v", addr, ErrClosed)
	}
	p.sessions[addr] = s
	return s, nil
}

// ended reports whether the dial has failed or the session has ended.
func (s *outboundSession) ended() bool {
	select {
	case <-s.dialled:
		return s.dialErr != nil || s.mux.IsClosed()
	default:
		return false
	}
}

// removeLocked removes a session from the pool, so that it gets no new exchange.
func (p *outboundPool) removeLocked(s *outboundSession) {
	s.closing = true
	if p.sessions[s.addr] == s {
		delete(p.sessions, s.addr)
	}
}

// evictLocked closes the least recently used idle session. It returns false when
// there is none.
func (p *outboundPool) evictLocked(n *Node) bool {
	var oldest *outboundSession
	for _, s := range p.sessions {
		if s.active == 0 && (oldest == nil || s.lastUsed.Before(oldest.lastUsed)) {
			oldest = s
		}
	}
	if oldest == nil {
		return false
	}
	p.removeLocked(oldest)
	n.spawn(oldest.close)
	return true
}

// releaseSession ends an exchange. A stream that is not nil may be kept for the
// next one.
func (n *Node) releaseSession(s *outboundSession, st *outboundStream) {
	p := &n.outbound
	p.mu.Lock()
	s.active--
	s.lastUsed = time.Now()
	if st != nil && !s.closing && len(s.idleStreams) < n.maxIdleStreams {
		s.idleStreams = append(s.idleStreams, st)
		st = nil
	}
	last := s.closing && s.active == 0
	p.mu.Unlock()
	if st != nil {
		_ = st.Close()
	}
	if last {
		s.close()
	}
}

// acquireStream returns an idle stream or a new one.
func (s *outboundSession) acquireStream() (*outboundStream, error) {
	p := &s.node.outbound
	p.mu.Lock()
	if l := len(s.idleStreams); l > 0 {
		st := s.idleStreams[l-1]
		s.idleStreams[l-1] = nil
		s.idleStreams = s.idleStreams[:l-1]
		p.mu.Unlock()
		st.number++
		return st, nil
	}
	p.mu.Unlock()
	if n := s.mux.NumStreams(); n >= maxStreams {
		return nil, fmt.Errorf("%d streams are open", n)
	}
	y, err := s.mux.OpenStream()
	if err != nil {
		return nil, err
	}
	return &outboundStream{Stream: y, r: bufio.NewReaderSize(y, streamBufferBytes)}, nil
}

// dialAndRead dials, and then reads signals until the session ends.
func (s *outboundSession) dialAndRead() {
	s.dialErr = s.dial()
	close(s.dialled)
	p := &s.node.outbound
	if s.dialErr != nil {
		if suppressed, ok := s.node.dialFailureLog.Allow(time.Now()); ok {
			klog.InfoS("request link not opened", "addr", s.addr, "err", s.dialErr, "suppressed", suppressed)
		}
	} else {
		klog.InfoS("request link opened", "addr", s.addr)
		stop := context.AfterFunc(s.node.ctx, s.close)
		p.mu.Lock()
		evicted := s.closing && s.active == 0 // while it was being dialled
		p.mu.Unlock()
		if !evicted {
			s.readSignals()
		}
		stop()
		s.close()
		klog.InfoS("request link ended", "addr", s.addr)
	}
	p.mu.Lock()
	p.removeLocked(s)
	p.mu.Unlock()
}

func (s *outboundSession) dial() error {
	_, mux, err := s.node.dial(s.node.ctx, s.addr, purposeRequests, s.node.cfg.DialTimeout)
	if err != nil {
		return err
	}
	stream, err := mux.OpenStream()
	if err != nil {
		_ = mux.Close()
		return err
	}
	s.mux, s.signalStream = mux, stream
	return nil
}

// readSignals reads the signals of the accepting side.
func (s *outboundSession) readSignals() {
	r := bufio.NewReaderSize(s.signalStream, maxSignalBytes)
	for {
		k, _, err := readFrame(r, maxSignalBytes)
		if err != nil {
			return
		}
		if k != kindDrain {
			klog.Warningf("request link to %s: unexpected signal of kind %d", s.addr, k)
			return
		}
		p := &s.node.outbound
		p.mu.Lock()
		p.removeLocked(s)
		last := s.active == 0
		p.mu.Unlock()
		if last {
			return
		}
	}
}

// sendCancel cancels the exchange on a stream at the accepting side. It uses the
// signal stream because the window of the other may be full with a body that nobody
// reads.
func (s *outboundSession) sendCancel(id uint32) {
	b := appendFrame(nil, kindCancel, binary.BigEndian.AppendUint32(nil, id))
	s.signalMu.Lock()
	defer s.signalMu.Unlock()
	_ = s.signalStream.SetWriteDeadline(time.Now().Add(s.node.cfg.RequestWriteTimeout))
	if _, err := s.signalStream.Write(b); err != nil {
		_ = s.mux.Close()
	}
}

// close closes an established session. A session that is being dialled closes
// itself when the dial has completed and closing is set.
func (s *outboundSession) close() {
	select {
	case <-s.dialled:
		if s.mux != nil {
			_ = s.mux.Close()
		}
	default:
	}
}

// closeIdleOutbound closes the outbound sessions that have had no exchange for the
// idle timeout.
func (n *Node) closeIdleOutbound(now time.Time) {
	p := &n.outbound
	p.mu.Lock()
	var idle []*outboundSession
	for _, s := range p.sessions {
		if s.active == 0 && now.Sub(s.lastUsed) >= n.cfg.IdleTimeout {
			p.removeLocked(s)
			idle = append(idle, s)
		}
	}
	p.mu.Unlock()
	for _, s := range idle {
		s.close()
	}
}
