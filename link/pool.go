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
	// A session for requests has one stream for signals: cancellations from
	// the dialling side, drain from the accepting side. It is the first one.
	signalStream = 1

	// idleStreams is how many streams without an exchange a session keeps. A
	// short exchange takes less than half the time on a stream that exists
	// (BenchmarkForward).
	idleStreams = 32
	// acceptBacklog is how many streams of a session may be opened without an
	// answer of the peer. Above it yamux would wait, without regard to a deadline.
	acceptBacklog = 256
	// maxStreams bounds the exchanges of one session at a time, and its streams
	// with those that were given up and that the peer has not closed. It leaves
	// room for streams that are opened at the same moment.
	maxStreams = acceptBacklog - 32
	// bigExchange is the size in bytes of a body after which the buffers of a
	// stream are given back before it waits for its next exchange.
	bigExchange  = 64 << 10
	streamBuffer = 4 << 10
)

// pool holds the dialled sessions for requests, one for each address. Only the
// dialling side closes a session, and only while no exchange is on it, so a
// request is never sent into a session that its peer is closing.
type pool struct {
	mu       sync.Mutex
	sessions map[string]*dataSession
}

// dataSession is one dialled session for requests.
type dataSession struct {
	node *Node
	addr string

	ready chan struct{} // closed when the dial has ended
	err   error         // of the dial; read after ready
	mux   *mux
	sig   *yamux.Stream
	sigMu sync.Mutex

	// Guarded by the pool's mutex.
	active  int       // exchanges, and callers that wait for the dial
	used    time.Time // end of the last exchange
	closing bool      // takes no new exchange
	idle    []*stream
}

// stream is the dialling side's end of a stream for exchanges.
type stream struct {
	*yamux.Stream
	r      *bufio.Reader
	number uint32 // of the present exchange
}

// acquire returns the session for addr with one more active exchange, and
// dials if need be, until the deadline.
func (n *Node) acquire(ctx context.Context, addr string, deadline time.Time) (*dataSession, error) {
	s, err := n.lookup(addr)
	if err != nil {
		return nil, err
	}
	select {
	case <-s.ready:
	default:
		ctx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		select {
		case <-s.ready:
		case <-ctx.Done():
			n.release(s, nil)
			return nil, ended(ctx.Err(), false)
		}
	}
	if s.err != nil {
		n.release(s, nil)
		return nil, unreachable("daemon %s: %v", addr, s.err)
	}
	return s, nil
}

// lookup finds or adds the session for addr.
func (n *Node) lookup(addr string) (*dataSession, error) {
	p := &n.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.sessions[addr]; s != nil && !s.closing && !s.lost() {
		if s.active >= maxStreams {
			f := unreachable("daemon %s: %d requests are on their way to it", addr, s.active)
			f.Reason = pollenlatch.ReasonQueueFull
			return nil, f
		}
		s.active++
		return s, nil
	} else if s != nil {
		p.dropLocked(s)
	}
	if len(p.sessions) >= n.cfg.MaxRequestSessions && !p.evictLocked(n) {
		return nil, unreachable("daemon %s: all %d sessions are in use", addr, n.cfg.MaxRequestSessions)
	}
	s := &dataSession{node: n, addr: addr, ready: make(chan struct{}), active: 1, used: time.Now()}
	if !n.spawn(s.run) {
		return nil, unreachable("daemon %s: %v", addr, ErrClosed)
	}
	p.sessions[addr] = s
	return s, nil
}

// lost reports whether the session was established and has ended.
func (s *dataSession) lost() bool {
	select {
	case <-s.ready:
		return s.err != nil || s.mux.IsClosed()
	default:
		return false
	}
}

// dropLocked lets a session take no further exchange.
func (p *pool) dropLocked(s *dataSession) {
	s.closing = true
	if p.sessions[s.addr] == s {
		delete(p.sessions, s.addr)
	}
}

// evictLocked closes the least recently used idle session.
func (p *pool) evictLocked(n *Node) bool {
	var oldest *dataSession
	for _, s := range p.sessions {
		if s.active == 0 && (oldest == nil || s.used.Before(oldest.used)) {
			oldest = s
		}
	}
	if oldest == nil {
		return false
	}
	p.dropLocked(oldest)
	n.spawn(oldest.close)
	return true
}

// release ends one exchange. st is kept for the next one if it is not nil.
func (n *Node) release(s *dataSession, st *stream) {
	p := &n.pool
	p.mu.Lock()
	s.active--
	s.used = time.Now()
	if st != nil && !s.closing && len(s.idle) < n.idleStreams {
		s.idle = append(s.idle, st)
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

// take returns a stream that no exchange is on.
func (s *dataSession) take() (*stream, error) {
	p := &s.node.pool
	p.mu.Lock()
	if l := len(s.idle); l > 0 {
		st := s.idle[l-1]
		s.idle[l-1] = nil
		s.idle = s.idle[:l-1]
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
	return &stream{Stream: y, r: bufio.NewReaderSize(y, streamBuffer)}, nil
}

// run dials, then reads signals until the session ends.
func (s *dataSession) run() {
	s.err = s.open()
	close(s.ready)
	p := &s.node.pool
	if s.err != nil {
		if suppressed, ok := s.node.refusals.Allow(time.Now()); ok {
			klog.InfoS("request link not opened", "addr", s.addr, "err", s.err, "suppressed", suppressed)
		}
	} else {
		klog.InfoS("request link opened", "addr", s.addr)
		stop := context.AfterFunc(s.node.ctx, s.close)
		p.mu.Lock()
		unwanted := s.closing && s.active == 0 // evicted while it was dialled
		p.mu.Unlock()
		if !unwanted {
			s.signals()
		}
		stop()
		s.close()
		klog.InfoS("request link ended", "addr", s.addr)
	}
	p.mu.Lock()
	p.dropLocked(s)
	p.mu.Unlock()
}

func (s *dataSession) open() error {
	_, mux, err := s.node.dial(s.node.ctx, s.addr, forData)
	if err != nil {
		return err
	}
	sig, err := mux.OpenStream()
	if err != nil {
		_ = mux.Close()
		return err
	}
	s.mux, s.sig = mux, sig
	return nil
}

// signals reads what the accepting side signals.
func (s *dataSession) signals() {
	r := bufio.NewReaderSize(s.sig, maxSignal)
	for {
		k, _, err := readFrame(r, maxSignal)
		if err != nil {
			return
		}
		if k != kindDrain {
			klog.Warningf("request link to %s: unexpected signal of kind %d", s.addr, k)
			return
		}
		p := &s.node.pool
		p.mu.Lock()
		p.dropLocked(s)
		last := s.active == 0
		p.mu.Unlock()
		if last {
			return
		}
	}
}

// giveUp tells the accepting side that nobody waits for the exchange on a
// stream. It does not depend on the stream's window, which a body that nobody
// reads may have filled.
func (s *dataSession) giveUp(id uint32) {
	b := appendFrame(nil, kindCancel, binary.BigEndian.AppendUint32(nil, id))
	s.sigMu.Lock()
	defer s.sigMu.Unlock()
	_ = s.sig.SetWriteDeadline(time.Now().Add(s.node.cfg.RequestWriteTimeout))
	if _, err := s.sig.Write(b); err != nil {
		_ = s.mux.Close()
	}
}

// close ends an established session. A session that is being dialled ends by
// itself when it finds that it is closing.
func (s *dataSession) close() {
	select {
	case <-s.ready:
		if s.mux != nil {
			_ = s.mux.Close()
		}
	default:
	}
}

// reapData closes the sessions that no exchange has used for long enough.
func (n *Node) reapData(now time.Time) {
	p := &n.pool
	p.mu.Lock()
	var idle []*dataSession
	for _, s := range p.sessions {
		if s.active == 0 && now.Sub(s.used) >= n.cfg.IdleTimeout {
			p.dropLocked(s)
			idle = append(idle, s)
		}
	}
	p.mu.Unlock()
	for _, s := range idle {
		s.close()
	}
}
