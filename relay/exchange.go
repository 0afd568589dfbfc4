package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"pollenlatch"
)

// writeSlice is how long a write may block before the connection is checked for
// an answer.
const writeSlice = 50 * time.Millisecond

// maxRefusal bounds the body of a refusal that is read to keep the connection.
const maxRefusal = 4 << 10

var (
	errCheck = errors.New("check failed")
	errBody  = errors.New("body of the request cannot be read")
	errProto = errors.New("answer is not usable HTTP")
	errEarly = errors.New("server answered before it had the whole request")
)

// exchange is one request on its connection. It is the writer below the
// connection's buffer, so that it sees the first write.
type exchange struct {
	relay *Relay
	ctx   context.Context
	r     *pollenlatch.Request
	check func() error
	limit time.Time // the server may run it until then
	last  time.Time // the body of the answer must have been read by then

	stop    func() bool // ends watching ctx
	wrote   bool        // a byte may have reached the server
	whole   bool        // the request was written to its end
	refused *pollenlatch.Failure
	source  error // of reading the request's body

	mu   sync.Mutex // guards conn against cancellation
	conn *conn
	over bool // cancelled
}

func (x *exchange) run() (*pollenlatch.Response, error) {
	c, err := x.relay.pool.get(x.ctx, x.last)
	if err != nil {
		return nil, err
	}
	// Waiting for a connection is no part of the run. The check comes later
	// than this, so that the limit is never too late.
	if t := time.Now().Add(x.relay.maxRun(x.r.Service)); t.Before(x.last) {
		x.limit = t
	}
	if err := x.own(c); err != nil {
		return nil, err
	}
	x.stop = context.AfterFunc(x.ctx, x.cancel)
	wrong := x.send()
	if wrong != nil && (!x.wrote || x.source != nil) {
		return nil, wrong
	}
	// A server may answer and close before it has read the whole body.
	resp, err := x.receive()
	if err != nil {
		return nil, errors.Join(err, wrong)
	}
	return resp, nil
}

// own makes c the connection of the exchange.
func (x *exchange) own(c *conn) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	if x.over {
		return context.Canceled
	}
	c.w.Reset(x)
	_ = c.SetDeadline(x.limit) // fails only on a closed connection; so does writing
	return nil
}

// cancel closes the connection, which stops the request at the server.
func (x *exchange) cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.over = true
	if x.conn != nil {
		_ = x.conn.Close()
	}
}

// end gives the connection back, or closes it.
func (x *exchange) end(reuse bool) {
	if x.stop != nil && !x.stop() {
		reuse = false
	}
	x.mu.Lock()
	c := x.conn
	x.conn = nil
	x.mu.Unlock()
	if c == nil {
		return
	}
	c.w.Reset(nil)
	if reuse {
		x.relay.pool.put(c)
		return
	}
	x.relay.pool.drop(c)
}

// send writes the request.
func (x *exchange) send() error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	x.fill(req, x.conn.host)
	if x.r.Body != nil && x.r.Length != 0 {
		req.SetBodyStream(source{x}, int(x.r.Length))
	}
	w := x.conn.w
	if err := req.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	x.whole = true
	return nil
}

// source reads the body of the request and remembers its error.
type source struct{ x *exchange }

func (s source) Read(b []byte) (int, error) {
	n, err := s.x.r.Body.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		s.x.source = err
		return n, errBody
	}
	return n, err
}

// Write passes bytes of the request to the server. Before the first of them it
// makes the check.
func (x *exchange) Write(b []byte) (int, error) {
	if !x.wrote {
		return x.begin(b)
	}
	return x.proceed(b)
}

// proceed writes further bytes of a long request. It stops when the server
// answers before it has read them: a server that refuses a request may never
// do so, and the answer would be lost behind a write that blocks.
func (x *exchange) proceed(b []byte) (int, error) {
	done := 0
	for {
		if x.conn.pending() {
			return done, errEarly
		}
		by := time.Now().Add(writeSlice)
		if x.limit.Before(by) {
			by = x.limit
		}
		_ = x.conn.SetWriteDeadline(by)
		n, err := x.conn.Write(b[done:])
		done += n
		if err == nil || !isTimeout(err) || !time.Now().Before(x.limit) {
			return done, err
		}
	}
}

// begin writes the first bytes. A reused connection that takes none of them
// was closed before, so that the same bytes go to a new one.
func (x *exchange) begin(b []byte) (int, error) {
	for {
		if err := x.check(); err != nil {
			x.refused = asFailure(err)
			return 0, errCheck
		}
		if s := x.conn.service; s != "" && s != x.r.Service {
			x.refused = failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonServerReplaced, http.StatusServiceUnavailable, "a server of service "+s+" has the address now")
			return 0, errCheck
		}
		n, err := x.conn.Write(b)
		if n > 0 || err == nil {
			x.wrote = true
			return n, err
		}
		if !x.conn.reused || x.ctx.Err() != nil || isTimeout(err) {
			return 0, err
		}
		if err := x.replace(); err != nil {
			return 0, err
		}
	}
}

// replace opens a new connection in place of a closed one. It takes over the
// buffer that is being written.
func (x *exchange) replace() error {
	_ = x.conn.Close()
	c, err := x.relay.pool.open(x.ctx, x.limit)
	if err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	c.w = x.conn.w
	x.conn = c
	if x.over {
		return context.Canceled
	}
	_ = c.SetDeadline(x.limit)
	return nil
}

// receive reads the head of the answer.
func (x *exchange) receive() (*pollenlatch.Response, error) {
	resp, err := x.readHead()
	if err != nil {
		return nil, err
	}
	b := &body{x: x, resp: resp, stream: resp.BodyStream(), keep: x.whole && !resp.Header.ConnectionClose()}
	empty := b.stream == nil
	if empty {
		b.stream = http.NoBody
	}
	if f := x.refusal(resp.StatusCode(), &resp.Header); f != nil {
		x.refused = f
		_, _ = io.CopyN(io.Discard, b, maxRefusal+1)
		_ = b.Close()
		return nil, f
	}
	head := pollenlatch.ResponseHead{
		Status: int32(resp.StatusCode()),
		Header: responseHeader(&resp.Header),
		Length: int64(max(resp.Header.ContentLength(), -1)),
	}
	if empty {
		if !resp.SkipBody { // an answer to HEAD keeps the length that GET would have
			head.Length = 0
		}
		b.finish(nil)
		return &pollenlatch.Response{ResponseHead: head, Body: http.NoBody}, nil
	}
	if !x.last.Equal(x.limit) {
		_ = x.conn.SetReadDeadline(x.last) // reading reports a broken connection
	}
	return &pollenlatch.Response{ResponseHead: head, Body: b}, nil
}

// readHead reads the head of the answer to this request.
func (x *exchange) readHead() (*fasthttp.Response, error) {
	for skipped := 0; ; skipped++ {
		resp := fasthttp.AcquireResponse()
		resp.StreamBody = true
		resp.SkipBody = x.r.Method == http.MethodHead
		resp.Header.SetNoDefaultContentType(true)
		err := resp.ReadLimitBody(x.conn.r, 0)
		if err == nil && resp.StatusCode() == http.StatusSwitchingProtocols {
			err = errProto
		}
		if err == nil {
			err = x.judge(resp)
		}
		if err == nil {
			return resp, nil
		}
		again := errors.Is(err, errOther) && skipped < maxOther && x.skip(resp)
		_ = resp.CloseBodyStream()
		fasthttp.ReleaseResponse(resp)
		if !again {
			return nil, err
		}
	}
}

// fail returns what is known of the request after an error.
func (x *exchange) fail(err error) *pollenlatch.Failure {
	if x.refused != nil {
		return x.refused
	}
	outcome := pollenlatch.OutcomeNotRun
	if x.wrote {
		outcome = pollenlatch.OutcomeUnknown
	}
	switch {
	case errors.Is(x.ctx.Err(), context.Canceled):
		return failure(outcome, pollenlatch.ReasonCancelled, StatusClientClosedRequest, "the caller went away")
	case x.ctx.Err() != nil || x.late(err):
		return failure(outcome, pollenlatch.ReasonDeadlineExceeded, http.StatusGatewayTimeout, "deadline has passed")
	case x.source != nil && !x.wrote:
		return failure(outcome, pollenlatch.ReasonBadRequest, http.StatusBadRequest, x.source.Error())
	case x.source != nil: // no fault of the server
		return failure(outcome, pollenlatch.ReasonCancelled, StatusClientClosedRequest, "body of the request broke off: "+x.source.Error())
	case x.wrote && (errors.Is(err, errOther) || errors.Is(err, errFaith)):
		return failure(outcome, pollenlatch.ReasonInvalidResponse, http.StatusBadGateway, err.Error())
	case x.wrote:
		return failure(outcome, pollenlatch.ReasonConnectionLost, http.StatusBadGateway, err.Error())
	default:
		return failure(outcome, pollenlatch.ReasonUnreachable, http.StatusServiceUnavailable, err.Error())
	}
}

// late reports whether err says that the deadline has passed. Connecting has a
// shorter limit of its own.
func (x *exchange) late(err error) bool {
	return isTimeout(err) && (x.wrote || !time.Now().Before(x.limit))
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool } // not net.Error: the codec's timeout is none
	return errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &t) && t.Timeout())
}
