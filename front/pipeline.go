package front

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"pollenlatch"
	"pollenlatch/logs"
)

const (
	// maxEarlyPerConn limits the requests of one connection that run before their
	// turn, and maxEarlyRequests those of all connections.
	maxEarlyPerConn  = 16
	maxEarlyRequests = 512
	// maxLookaheadBytes limits the bytes that are read ahead of the request in
	// progress. Beyond it, the caller's next bytes stay in the socket.
	maxLookaheadBytes = 32 << 10
	// readBufferBytes is the size of one read.
	readBufferBytes = 4 << 10
)

// pipelineConn is a caller's connection to net/http, which serves the requests of a
// connection one after the other. While a request without a body is served,
// pipelineConn reads on, and starts the idempotent requests that the caller has
// pipelined behind it, so that they neither wait for the requests in front nor lose
// their time. Their responses are written when net/http reaches them, so in the order
// of the requests.
//
// A request that must not run twice is never started early: if a response in front of
// it closes the connection, the caller sends it again.
//
// It passes each head to net/http separately and never any byte behind the head, so
// that both agree on where a request ends. net/http reads the connection while a
// handler runs, to notice that the caller disconnects; reading on is done in that
// read, so there is at most one reader at a time.
type pipelineConn struct {
	*limitedConn
	server *Server
	ctx    context.Context // ends with the connection
	cancel context.CancelFunc

	mu       sync.Mutex
	buf      []byte // read from the caller and not passed to net/http
	spare    []byte // buffer that is used again when buf is empty
	scanned  int    // bytes of buf that belong to early requests
	blocked  bool   // the request at scanned must not be started early
	head     []byte // part of the present head that was passed to net/http
	bodyLeft int64  // bytes of the present body that were not passed to net/http
	raw      bool   // the rest of the connection is passed on as it is
	serving  bool   // a request without a body is being served
	busy     bool   // a request is being served
	early    []*earlyRequest
	current  *earlyRequest // of the request that net/http serves next; may be nil
	closed   bool
}

func newPipelineConn(c *limitedConn, s *Server) *pipelineConn {
	p := &pipelineConn{limitedConn: c, server: s}
	p.ctx, p.cancel = context.WithCancel(pollenlatch.WithPresence(context.Background(), c))
	s.pipelines.Store(p, struct{}{})
	return p
}

// pipelineKey is the context key of the pipelineConn of a request.
type pipelineKey struct{}

// lingeringConn is a connection that can be closed after a response that leaves a body
// unread.
type lingeringConn interface{ lingerAfterClose() }

// lingerKey is the context key of the lingeringConn of a request.
type lingerKey struct{}

// connContext is an http.Server.ConnContext.
func connContext(ctx context.Context, c net.Conn) context.Context {
	if l, ok := c.(lingeringConn); ok {
		ctx = context.WithValue(ctx, lingerKey{}, l)
	}
	if p, ok := c.(*pipelineConn); ok {
		ctx = context.WithValue(ctx, pipelineKey{}, p)
	}
	if p, ok := c.(pollenlatch.Presence); ok {
		ctx = pollenlatch.WithPresence(ctx, p)
	}
	return ctx
}

// pipelineOf returns the connection of a request, or nil if it reads no further
// requests ahead.
func pipelineOf(r *http.Request) *pipelineConn {
	p, _ := r.Context().Value(pipelineKey{}).(*pipelineConn)
	return p
}

// Read implements net.Conn.
func (p *pipelineConn) Read(b []byte) (int, error) {
	for {
		p.mu.Lock()
		ahead := p.readsAhead()
		if ahead {
			p.startEarly()
		}
		if !ahead || len(p.buf) >= maxLookaheadBytes {
			if n := p.passOn(b); n > 0 || len(b) == 0 {
				p.mu.Unlock()
				return n, nil
			}
		}
		direct := p.raw || p.bodyLeft > 0
		p.mu.Unlock()
		if direct {
			return p.readDirect(b)
		}
		if err := p.fill(); err != nil {
			return 0, err
		}
	}
}

// readsAhead reports whether the present read serves only to notice that the caller
// disconnects, so that requests may be read ahead.
func (p *pipelineConn) readsAhead() bool {
	return p.serving && !p.raw && p.bodyLeft == 0 && len(p.head) == 0
}

// fill reads more bytes into the buffer. Only the reader of the connection changes
// the buffer, so mu is not held while it waits.
func (p *pipelineConn) fill() error {
	if len(p.buf) == cap(p.buf) {
		p.mu.Lock()
		p.buf = slices.Grow(p.buf, readBufferBytes)
		p.mu.Unlock()
	}
	n, err := p.limitedConn.Read(p.buf[len(p.buf):cap(p.buf)])
	p.mu.Lock()
	p.buf = p.buf[:len(p.buf)+n]
	p.mu.Unlock()
	if n > 0 {
		return nil
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		p.cancel() // the caller has disconnected
	}
	return err
}

// readDirect reads a part of a body without the buffer.
func (p *pipelineConn) readDirect(b []byte) (int, error) {
	p.mu.Lock()
	if !p.raw {
		b = b[:min(int64(len(b)), p.bodyLeft)]
	}
	p.mu.Unlock()
	n, err := p.limitedConn.Read(b)
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.raw {
		p.bodyLeft -= int64(n)
	}
	return n, err
}

// passOn passes buffered bytes on to net/http, up to the end of the present head or
// body, and returns their number.
func (p *pipelineConn) passOn(b []byte) int {
	switch {
	case p.raw:
		n := copy(b, p.buf)
		p.consume(n)
		return n
	case p.bodyLeft > 0:
		n := copy(b, p.buf[:min(int64(len(p.buf)), p.bodyLeft)])
		p.consume(n)
		p.bodyLeft -= int64(n)
		return n
	}
	passed := len(p.head)
	p.head = append(p.head, p.buf...)
	end := headEnd(p.head, max(0, passed-3))
	complete := end >= 0
	if !complete {
		end = len(p.head)
	}
	n := copy(b, p.head[passed:end])
	p.head = p.head[:passed+n]
	p.consume(n)
	if complete && passed+n == end {
		p.endHead()
	} else if len(p.head) > p.server.cfg.MaxHeaderBytes+readBufferBytes {
		p.raw = true // net/http rejects the request and closes the connection
	}
	return n
}

func (p *pipelineConn) consume(n int) {
	p.buf = p.buf[n:]
	p.scanned = max(0, p.scanned-n)
	if len(p.buf) == 0 {
		if p.spare == nil {
			p.spare = make([]byte, 0, readBufferBytes)
		}
		p.buf = p.spare
	}
}

// endHead is called when a complete head has been passed on to net/http.
func (p *pipelineConn) endHead() {
	head := p.head
	p.head, p.blocked, p.current, p.busy = p.head[:0], false, nil, true
	if len(p.early) > 0 {
		p.current, p.early = p.early[0], p.early[1:]
		p.serving = true
		return
	}
	r, err := parseRequest(head)
	switch {
	case err != nil || r.ContentLength < 0 || r.Header.Get("Upgrade") != "" || r.Header.Get("Expect") != "":
		p.raw = true
	case r.ContentLength > 0:
		p.bodyLeft = r.ContentLength
	default:
		p.serving = r.Method == http.MethodGet || r.Method == http.MethodHead
	}
}

// headEnd returns the index behind the empty line that ends a head, or -1. from is
// the index at which the search begins.
func headEnd(b []byte, from int) int {
	for n := from; n < len(b); n++ {
		if b[n] != '\n' {
			continue
		}
		switch rest := b[n+1:]; {
		case bytes.HasPrefix(rest, []byte("\n")):
			return n + 2
		case bytes.HasPrefix(rest, []byte("\r\n")):
			return n + 3
		}
	}
	return -1
}

// parseRequest parses a head with net/http's own parser.
func parseRequest(head []byte) (*http.Request, error) {
	return http.ReadRequest(bufio.NewReaderSize(bytes.NewReader(head), len(head)+16))
}

// startEarly starts the idempotent requests in the buffer.
func (p *pipelineConn) startEarly() {
	for !p.blocked && !p.closed && len(p.early) < maxEarlyPerConn {
		end := headEnd(p.buf[p.scanned:], 0)
		if end < 0 {
			return
		}
		r, err := parseRequest(p.buf[p.scanned : p.scanned+end])
		if err != nil {
			p.blocked = true
			return
		}
		r.RemoteAddr = p.RemoteAddr().String()
		e := p.server.startEarly(p.ctx, r)
		if e == nil {
			p.blocked = true
			return
		}
		p.early = append(p.early, e)
		p.scanned += end
	}
}

// beginServing returns the early request that net/http serves now, or nil.
func (p *pipelineConn) beginServing(r *http.Request) *earlyRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.current
	p.current = nil
	if e != nil && (e.head.Method != r.Method || e.head.RequestURI != r.RequestURI || e.head.Host != r.Host) {
		e.abandon()
		e = nil
	}
	return e
}

// endServing is called when a request has its response.
func (p *pipelineConn) endServing() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.serving, p.busy = false, false
}

// hasRequest reports whether the head of a further request was read from the caller. p may
// be nil.
func (p *pipelineConn) hasRequest() bool {
	if p == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.hasRequestLocked()
}

func (p *pipelineConn) hasRequestLocked() bool {
	if p.raw || p.bodyLeft > 0 || p.closed {
		return false
	}
	return len(p.early) > 0 || headEnd(p.head, 0) >= 0 || headEnd(slices.Concat(p.head, p.buf), 0) >= 0
}

// isBusy reports whether a request is being served, or was read and is served next.
func (p *pipelineConn) isBusy() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.closed && (p.busy || p.hasRequestLocked())
}

// Close implements net.Conn. The early requests whose turn has not come end with the
// connection; the caller counts them as not read.
func (p *pipelineConn) Close() error {
	p.server.pipelines.Delete(p)
	p.mu.Lock()
	p.closed = true
	abandoned := p.early
	p.early = nil
	if p.current != nil {
		abandoned = append(abandoned, p.current)
		p.current = nil
	}
	p.mu.Unlock()
	p.cancel()
	for _, e := range abandoned {
		e.abandon()
	}
	return p.limitedConn.Close()
}

// earlyRequest is a request that runs before the responses to the requests in front
// of it have been written.
type earlyRequest struct {
	server  *Server
	head    *http.Request
	request *pollenlatch.Request
	arrival time.Time
	cancel  context.CancelFunc
	done    chan struct{} // closed when resp and err are set
	resp    *pollenlatch.Response
	err     error
}

// startEarly starts a request of a caller before its turn. It returns nil if the
// request has to wait for its turn.
func (s *Server) startEarly(ctx context.Context, r *http.Request) *earlyRequest {
	if s.keepAlivesDisabled.Load() || !s.mayStartEarly(r) {
		return nil
	}
	if s.earlyRequests.Add(1) > maxEarlyRequests {
		s.earlyRequests.Add(-1)
		return nil
	}
	now := time.Now()
	req, f := s.parseHead(r, now)
	if f != nil {
		s.earlyRequests.Add(-1)
		return nil
	}
	req.Length = 0
	e := &earlyRequest{server: s, head: r, request: req, arrival: now, done: make(chan struct{})}
	ctx, e.cancel = context.WithCancel(ctx)
	go func() {
		defer close(e.done)
		e.resp, e.err = logs.HandleRecovered(ctx, s.cfg.Handler, req)
	}()
	return e
}

// mayStartEarly reports whether a request is idempotent, has no body and leaves the
// connection open.
func (s *Server) mayStartEarly(r *http.Request) bool {
	if (r.Method != http.MethodGet && r.Method != http.MethodHead) || !r.ProtoAtLeast(1, 1) || r.ContentLength != 0 ||
		r.Close || r.Host == "" || r.Header.Get("Upgrade") != "" || r.Header.Get("Expect") != "" {
		return false
	}
	config, ok := s.cfg.Control.View().(pollenlatch.ConfigView)
	if !ok || !config.Configured() {
		return false
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route, ok := config.Route(hostOf(r), path)
	return ok && route.Idempotent
}

// end is called once the response to the request has been written.
func (e *earlyRequest) end() {
	e.cancel()
	e.server.earlyRequests.Add(-1)
}

// abandon ends a request whose connection has ended before its turn.
func (e *earlyRequest) abandon() {
	e.cancel()
	go func() {
		<-e.done
		if e.resp != nil {
			_ = e.resp.Body.Close()
		}
		rs := &responder{server: e.server, request: e.request, start: e.arrival, remote: e.head.RemoteAddr}
		rs.outcome, rs.reason = pollenlatch.OutcomeUnknown, pollenlatch.ReasonCancelled
		rs.record()
		e.end()
	}()
}
