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
	"pollenlatch/gauge"
)

// earlyResponseInterval is the time for which a write may block before the
// connection is checked for an early response.
const earlyResponseInterval = 50 * time.Millisecond

// maxRefusalBytes is the maximum size of the body of a refusal that is read so that
// the connection can be reused.
const maxRefusalBytes = 4 << 10

var (
	errCheckFailed       = errors.New("check before the first write failed")
	errRequestBody       = errors.New("request body could not be read")
	errSwitchedProtocols = errors.New("server switched protocols")
	errEarlyResponse     = errors.New("server responded before it received the complete request")
)

// exchange is one request and its response on a connection. It implements io.Writer
// below the write buffer of the connection, so that it can call check immediately
// before the first write.
type exchange struct {
	relay       *Relay
	ctx         context.Context
	r           *pollenlatch.Request
	check       func() error
	runDeadline time.Time // end of the maximum run time, or deadline if that is earlier
	deadline    time.Time // the response body must have been read by then

	stopWatch      func() bool          // stops watching ctx
	sent           bool                 // a byte may have reached the server
	sentAt         time.Time            // when the first bytes were written
	requestWritten bool                 // the complete request was written
	rejection      *pollenlatch.Failure // by check, or by the server
	bodyErr        error                // of reading the request body
	inFlight       *gauge.Sent          // nil without a Gauge, and before the first byte was sent

	mu        sync.Mutex // guards conn against cancellation
	conn      *conn
	cancelled bool
}

func (x *exchange) run() (*pollenlatch.Response, error) {
	c, err := x.relay.pool.get(x.ctx, x.deadline, x.r.ID)
	if err != nil {
		return nil, err
	}
	// The run time doesn't include the wait for a connection. It is counted from
	// before the check, so that runDeadline is never too late.
	if t := time.Now().Add(x.relay.maxRun(x.r.Service)); t.Before(x.deadline) {
		x.runDeadline = t
	}
	if err := x.attach(c); err != nil {
		return nil, err
	}
	x.stopWatch = context.AfterFunc(x.ctx, x.cancel)
	sendErr := x.sendRequest()
	if sendErr != nil && (!x.sent || x.bodyErr != nil) {
		return nil, sendErr
	}
	// A server may respond and close the connection before it has read the
	// complete body.
	resp, err := x.receiveResponse()
	if err != nil {
		return nil, errors.Join(err, sendErr)
	}
	return resp, nil
}

// attach sets c as the connection of the exchange.
func (x *exchange) attach(c *conn) error {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conn = c
	if x.cancelled {
		return context.Canceled
	}
	c.w.Reset(x)
	_ = c.SetDeadline(x.runDeadline) // fails only on a closed connection, on which writes fail too
	return nil
}

// cancel closes the connection, which stops the request at the server.
func (x *exchange) cancel() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.cancelled = true
	if x.conn != nil {
		_ = x.conn.Close()
	}
}

// release returns the connection to the pool, or closes it.
func (x *exchange) release(reuse bool) {
	if x.stopWatch != nil && !x.stopWatch() {
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
	x.relay.pool.discard(c)
}

// sendRequest writes the request.
func (x *exchange) sendRequest() error {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	x.setHeaders(req, x.conn.host)
	if x.r.Body != nil && x.r.Length != 0 {
		req.SetBodyStream(requestBody{x}, int(x.r.Length))
	}
	w := x.conn.w
	if err := req.Write(w); err != nil {
		return err
	}
	if err := w.Flush(); err != nil {
		return err
	}
	x.requestWritten = true
	if x.inFlight != nil {
		x.relay.cfg.Gauge.Written(x.inFlight, time.Now())
	}
	return nil
}

// requestBody reads the request body and keeps its error in the exchange.
type requestBody struct{ x *exchange }

func (s requestBody) Read(b []byte) (int, error) {
	n, err := s.x.r.Body.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		s.x.bodyErr = err
		return n, errRequestBody
	}
	return n, err
}

// Write writes bytes of the request to the server. Before the first write it calls
// check.
func (x *exchange) Write(b []byte) (int, error) {
	if !x.sent {
		return x.writeFirst(b)
	}
	return x.writeMore(b)
}

// writeMore writes further bytes of a long request. It stops when the server
// responds early: a server that refuses a request may never read the rest of it,
// and its response would be lost while the write blocks.
func (x *exchange) writeMore(b []byte) (int, error) {
	done := 0
	for {
		if x.conn.readable() {
			return done, errEarlyResponse
		}
		until := time.Now().Add(earlyResponseInterval)
		if x.runDeadline.Before(until) {
			until = x.runDeadline
		}
		_ = x.conn.SetWriteDeadline(until)
		n, err := x.conn.Write(b[done:])
		done += n
		if err == nil || !isTimeout(err) || !time.Now().Before(x.runDeadline) {
			return done, err
		}
	}
}

// writeFirst writes the first bytes. When a reused connection accepts none of them,
// the server had closed it, and the same bytes are written to a new connection.
func (x *exchange) writeFirst(b []byte) (int, error) {
	for {
		if err := x.check(); err != nil {
			x.rejection = asFailure(err)
			return 0, errCheckFailed
		}
		if s := x.conn.service; s != "" && s != x.r.Service {
			x.rejection = failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonServerReplaced, http.StatusServiceUnavailable, "a server of service "+s+" has taken over the address")
			return 0, errCheckFailed
		}
		x.sentAt = time.Now()
		n, err := x.conn.Write(b)
		if n > 0 || err == nil {
			x.sent = true
			if g := x.relay.cfg.Gauge; g != nil {
				x.inFlight = g.Begin(x.sentAt)
			}
			return n, err
		}
		if !x.conn.reused || x.ctx.Err() != nil || isTimeout(err) {
			return 0, err
		}
		if err := x.reconnect(); err != nil {
			return 0, err
		}
	}
}

// reconnect replaces a closed connection by a new one, which takes over the write
// buffer that is being flushed.
func (x *exchange) reconnect() error {
	_ = x.conn.Close()
	c, err := x.relay.pool.open(x.ctx, x.runDeadline)
	if err != nil {
		return err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	c.w = x.conn.w
	x.conn = c
	if x.cancelled {
		return context.Canceled
	}
	_ = c.SetDeadline(x.runDeadline)
	return nil
}

// receiveResponse reads the head of the response.
func (x *exchange) receiveResponse() (*pollenlatch.Response, error) {
	if err := x.awaitResponse(); err != nil {
		return nil, err
	}
	resp, err := x.readHead()
	if err != nil {
		return nil, err
	}
	b := &responseBody{x: x, resp: resp, conn: x.conn, from: x.conn.received, stream: resp.BodyStream(), reusable: x.requestWritten && !resp.Header.ConnectionClose()}
	empty := b.stream == nil
	if empty {
		b.stream = http.NoBody
	}
	x.observe(&resp.Header)
	if x.inFlight != nil {
		x.relay.cfg.Gauge.End(x.inFlight)
		x.inFlight = nil
	}
	if f := x.refusal(resp.StatusCode(), &resp.Header); f != nil {
		x.rejection = f
		b.reusable = b.reusable && x.conn.recordRefusal(x.responseID(&resp.Header))
		_, _ = io.CopyN(io.Discard, b, maxRefusalBytes+1)
		_ = b.Close()
		return nil, f
	}
	head := pollenlatch.ResponseHead{
		Status: int32(resp.StatusCode()),
		Header: responseHeaders(&resp.Header),
		Length: int64(max(resp.Header.ContentLength(), -1)),
	}
	if names := x.relay.cfg.Headers; names != nil {
		head.Leaving = isLeaving(names, &resp.Header)
	}
	if empty {
		if !resp.SkipBody { // a response to HEAD keeps the length that GET would have
			head.Length = 0
		}
		b.finish(nil)
		return &pollenlatch.Response{ResponseHead: head, Body: http.NoBody}, nil
	}
	if !x.deadline.Equal(x.runDeadline) {
		_ = x.conn.SetReadDeadline(x.deadline) // on a broken connection the next read fails
	}
	return &pollenlatch.Response{ResponseHead: head, Body: b}, nil
}

// readHead reads the head of the response, and skips responses to other requests.
func (x *exchange) readHead() (*fasthttp.Response, error) {
	for skipped := 0; ; skipped++ {
		resp := fasthttp.AcquireResponse()
		resp.StreamBody = true
		resp.SkipBody = x.r.Method == http.MethodHead
		resp.Header.SetNoDefaultContentType(true)
		err := readFinal(x.conn.r, resp, 0)
		if err == nil && resp.StatusCode() == http.StatusSwitchingProtocols {
			err = errSwitchedProtocols
		}
		if err == nil {
			err = x.validate(resp)
		}
		if err == nil {
			return resp, nil
		}
		skip := errors.Is(err, errOtherRequest) && skipped < maxSkippedResponses && x.skipResponse(resp)
		_ = resp.CloseBodyStream()
		fasthttp.ReleaseResponse(resp)
		if !skip {
			return nil, err
		}
	}
}

// toFailure converts the error of an exchange, according to how far the request got.
func (x *exchange) toFailure(err error) *pollenlatch.Failure {
	if x.rejection != nil {
		return x.rejection
	}
	outcome := pollenlatch.OutcomeNotRun
	if x.sent {
		outcome = pollenlatch.OutcomeUnknown
	}
	switch {
	case errors.Is(x.ctx.Err(), context.Canceled):
		return failure(outcome, pollenlatch.ReasonCancelled, StatusClientClosedRequest, "caller disconnected")
	case x.ctx.Err() != nil || x.deadlineExceeded(err):
		return failure(outcome, pollenlatch.ReasonDeadlineExceeded, http.StatusGatewayTimeout, "deadline has passed")
	case x.bodyErr != nil && !x.sent:
		return failure(outcome, pollenlatch.ReasonBadRequest, http.StatusBadRequest, x.bodyErr.Error())
	case x.bodyErr != nil: // not a failure of the server
		return failure(outcome, pollenlatch.ReasonCancelled, StatusClientClosedRequest, "request body could not be read to its end: "+x.bodyErr.Error())
	case x.sent && invalidResponse(err):
		return failure(outcome, pollenlatch.ReasonInvalidResponse, http.StatusBadGateway, err.Error())
	case errors.Is(err, errSilent):
		return failure(outcome, pollenlatch.ReasonConnectionLost, http.StatusGatewayTimeout, err.Error())
	case x.sent:
		return failure(outcome, pollenlatch.ReasonConnectionLost, http.StatusBadGateway, err.Error())
	default:
		return failure(outcome, pollenlatch.ReasonUnreachable, http.StatusServiceUnavailable, err.Error())
	}
}

// deadlineExceeded reports whether err is a timeout at the run deadline. The timeout
// of a dial is shorter than that.
func (x *exchange) deadlineExceeded(err error) bool {
	return isTimeout(err) && (x.sent || !time.Now().Before(x.runDeadline))
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool } // not net.Error, which the timeout of fasthttp does not implement
	return errors.Is(err, context.DeadlineExceeded) || (errors.As(err, &t) && t.Timeout())
}
