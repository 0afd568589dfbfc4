package front

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/pace"
)

// responder writes the response to one request of a caller, and records it in
// metrics, the log and the Recorder.
type responder struct {
	server  *Server
	writer  http.ResponseWriter
	request *pollenlatch.Request // nil when it could not be parsed
	body    *replayBody          // body of the request; nil when it has none or was read completely
	start   time.Time
	conn    lingeringConn // nil when the connection is always closed at once

	pipeline *pipelineConn // nil if no further requests are read ahead

	outcome    pollenlatch.Outcome
	reason     pollenlatch.Reason
	endpoint   string
	remote     string // address of the caller; this and the following fields are for the log
	status     int
	detail     string
	retryAfter time.Duration
	left       bool // the caller had disconnected when the request was read
}

// recordLeft records whether the caller has disconnected already.
func (rs *responder) recordLeft(ctx context.Context) {
	if rs.left = pollenlatch.CallerLeft(ctx); rs.left {
		rs.server.metrics.leftUnread.Inc()
	}
}

// failureBody is the JSON body of a response to a request that failed.
type failureBody struct {
	Outcome string `json:"outcome"`
	*pollenlatch.Failure
	RetryAfterSeconds int64 `json:"retry_after,omitempty"`
}

// ceilSeconds rounds d up to whole seconds.
func ceilSeconds(d time.Duration) int64 { return int64((d + time.Second - 1) / time.Second) }

// formatRetryAfter formats d for the Retry-After header. Fractions of a second
// are used only with configured Headers, where callers understand them.
func (s *Server) formatRetryAfter(d time.Duration) string {
	if s.cfg.Headers == nil {
		return strconv.FormatInt(ceilSeconds(d), 10)
	}
	return strconv.FormatFloat(d.Round(time.Millisecond).Seconds(), 'f', -1, 64)
}

// writeFailure responds with a failure.
func (rs *responder) writeFailure(f *pollenlatch.Failure) {
	rs.outcome, rs.reason = f.Outcome, f.Reason
	status := f.Status
	if rs.server.cfg.Headers != nil {
		status = routedStatus(f)
		f = rs.withRetryAfter(f, status)
	}
	rs.status, rs.detail, rs.retryAfter = status, f.Detail, f.RetryAfter
	b, err := json.Marshal(failureBody{Outcome: f.Outcome.String(), Failure: f, RetryAfterSeconds: ceilSeconds(f.RetryAfter)})
	if err != nil {
		klog.Errorf("Cannot encode a failure response: %v", err)
	}
	h := rs.writer.Header()
	h.Set(headerOutcome, f.Outcome.String())
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	h.Set("Cache-Control", "no-store")
	if f.RetryAfter > 0 {
		h.Set("Retry-After", rs.server.formatRetryAfter(f.RetryAfter))
	}
	rs.closeAfterUnreadBody()
	rs.closeWhenStopping()
	rs.extendWriteDeadline()
	rs.writer.WriteHeader(status)
	_, _ = rs.writer.Write(b)
}

// routedStatus returns the status of a failure for callers who rely on the
// status alone. To them 408, 421, 429 and 503 mean that the request has not
// run. So a failure with OutcomeNotRun that is not the fault of the request
// uses one of these, and a failure with another outcome none of them.
func routedStatus(f *pollenlatch.Failure) int {
	promisesNotRun := f.Status == http.StatusRequestTimeout || f.Status == http.StatusMisdirectedRequest ||
		f.Status == http.StatusTooManyRequests || f.Status == http.StatusServiceUnavailable
	switch {
	case f.Outcome == pollenlatch.OutcomeNotRun && !promisesNotRun && (f.Status >= http.StatusInternalServerError || f.Status == statusClientClosedRequest):
		return http.StatusServiceUnavailable
	case f.Outcome != pollenlatch.OutcomeNotRun && (promisesNotRun || f.Status == statusClientClosedRequest):
		return http.StatusBadGateway
	default:
		return f.Status
	}
}

// withRetryAfter returns a failure with a Retry-After if it has status 503 and the parts for
// overload apply: the request was not run, and the caller needs to know when to send it
// again. Without a better estimate
// that is after defaultRetryAfter, or a third of the time that the caller had.
func (rs *responder) withRetryAfter(f *pollenlatch.Failure, status int) *pollenlatch.Failure {
	if status != http.StatusServiceUnavailable || f.RetryAfter > 0 || rs.server.cfg.Adaptive == nil || !rs.server.cfg.Adaptive() {
		return f
	}
	g := *f
	g.RetryAfter = defaultRetryAfter
	if rs.request != nil && rs.request.Timeout > 0 {
		g.RetryAfter = min(g.RetryAfter, max(time.Millisecond, rs.request.Timeout/3))
	}
	return &g
}

// statusClientClosedRequest is recorded when the caller disconnected before the
// response.
const statusClientClosedRequest = 499

// rejectAndClose responds with a failure and closes the connection. Before it
// writes a response, net/http reads part of an unread body; the expired read
// deadline keeps it from waiting for a slow caller.
func (rs *responder) rejectAndClose(f *pollenlatch.Failure) {
	rs.closeAfterResponse()
	_ = http.NewResponseController(rs.writer).SetReadDeadline(expiredDeadline)
	rs.writeFailure(f)
}

// closeAfterResponse closes the connection after this response, which leaves a body
// unread.
func (rs *responder) closeAfterResponse() {
	rs.writer.Header().Set("Connection", "close")
	if rs.conn != nil {
		rs.conn.lingerAfterClose()
	}
}

// closeWhenStopping closes the connection after this response while the server shuts down.
// That would leave the requests behind it without a response, so it waits for those that
// were read.
func (rs *responder) closeWhenStopping() {
	if rs.server.keepAlivesDisabled.Load() && !rs.pipeline.hasRequest() {
		rs.writer.Header().Set("Connection", "close")
	}
}

var expiredDeadline = time.Unix(1, 0)

func (rs *responder) extendWriteDeadline() {
	_ = http.NewResponseController(rs.writer).SetWriteDeadline(time.Now().Add(rs.server.cfg.StallTimeout))
}

// copyBufferBytes is the size of the buffers that response bodies are copied
// with.
const copyBufferBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBufferBytes)
	return &b
}}

// writeResult writes the response or the failure of a request.
func (rs *responder) writeResult(ctx context.Context, resp *pollenlatch.Response, err error, cancel func()) {
	if err != nil {
		rs.writeFailure(asFailure(err))
		return
	}
	rs.writeResponse(ctx, resp, cancel)
}

// writeResponse copies the server's response to the caller until ctx ends.
// cancel aborts the request.
func (rs *responder) writeResponse(ctx context.Context, resp *pollenlatch.Response, cancel func()) {
	defer func() { _ = resp.Body.Close() }()
	rs.endpoint = resp.OwnerAddr
	rs.status = int(resp.Status)
	if resp.Status < http.StatusOK || !pollenlatch.ValidStatus(int(resp.Status)) {
		rs.writeFailure(asFailure(errors.New("server responded with invalid status " + strconv.Itoa(int(resp.Status)))))
		return
	}
	// Abort a response that makes no progress, so that neither a server nor a
	// caller can hold a connection indefinitely.
	stall := time.AfterFunc(rs.server.cfg.StallTimeout, cancel)
	defer stall.Stop()
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	b := *buf
	n, err := resp.Body.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		rs.writeFailure(asFailure(err)) // nothing has been written to the caller yet
		return
	}
	transfer := pace.NewTransfer(rs.server.cfg.Pacer, rs.request, resp.Length)
	defer transfer.End()
	rs.writeHead(resp)
	rc := http.NewResponseController(rs.writer)
	for {
		stall.Reset(rs.server.cfg.StallTimeout)
		if n > 0 {
			if transfer.Wait(ctx, n) != nil {
				rs.abort(pollenlatch.ReasonCancelled)
			}
			rs.extendWriteDeadline()
			if _, err := rs.writer.Write(b[:n]); err != nil {
				rs.abort(pollenlatch.ReasonCancelled)
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			rs.abort(pollenlatch.ReasonConnectionLost)
		}
		if resp.Length < 0 && n > 0 && rc.Flush() != nil {
			rs.abort(pollenlatch.ReasonCancelled)
		}
		n, err = resp.Body.Read(b)
	}
	rs.outcome = pollenlatch.OutcomeRan
	if resp.Status >= http.StatusInternalServerError {
		rs.reason = pollenlatch.ReasonServerError
	}
}

// writeHead writes the status and the headers of the server's response.
func (rs *responder) writeHead(resp *pollenlatch.Response) {
	h := rs.writer.Header()
	for _, field := range resp.Header {
		name := http.CanonicalHeaderKey(field.Name)
		if !hopHeaders[name] && !strings.HasPrefix(name, pollenPrefix) {
			h[name] = append(h[name], field.Value)
		}
	}
	if resp.Length >= 0 && bodyAllowed(resp.Status) {
		h.Set("Content-Length", strconv.FormatInt(resp.Length, 10))
	}
	if resp.OwnerAddr != "" {
		h.Set(headerOwner, resp.OwnerAddr)
	}
	rs.closeAfterUnreadBody()
	rs.closeWhenStopping()
	rs.extendWriteDeadline()
	rs.writer.WriteHeader(int(resp.Status))
}

func bodyAllowed(status int32) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// abort closes the connection in the middle of a response, so that the caller
// does not take it for a complete one.
func (rs *responder) abort(r pollenlatch.Reason) {
	rs.outcome, rs.reason = pollenlatch.OutcomeUnknown, r
	panic(http.ErrAbortHandler)
}

// closeAfterUnreadBody makes net/http close the connection after this response
// if the request's body has not been read completely. Otherwise the rest of the
// body would be parsed as the next request.
func (rs *responder) closeAfterUnreadBody() {
	if rs.body != nil && !rs.body.fullyRead.Load() {
		rs.closeAfterResponse()
	}
}

// stopReadingBody makes further reads of a partly read request body fail. After
// the handler returns, net/http reads the rest of the body, for as long as the
// caller takes to send it, unless the read deadline has passed. If net/http
// finds a read of an abandoned attempt in progress, it also clears that
// deadline, so such a read must end first.
func (rs *responder) stopReadingBody() {
	if rs.body == nil || rs.body.fullyRead.Load() {
		return
	}
	_ = http.NewResponseController(rs.writer).SetReadDeadline(expiredDeadline)
	rs.body.stop()
}

// record adds the response to the metrics, the log and the Recorder.
func (rs *responder) record() {
	if rs.outcome == 0 { // the handler panicked
		rs.outcome, rs.reason = pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost
	}
	took := time.Since(rs.start)
	name, class := "", pollenlatch.ClassRoutine
	if req := rs.request; req != nil {
		if s, ok := rs.server.cfg.Control.View().Service(req.Service); ok {
			name, class = s.Name, s.ClassOf(req.Caller, req.Kind)
		}
	}
	rs.server.metrics.record(name, rs.outcome, rs.reason, took)
	rs.log(took)
	if r := rs.server.cfg.Recorder; r != nil {
		r.Record(name, class, rs.outcome, rs.reason, rs.endpoint, took)
	}
}

// errorLogWriter passes net/http's own log lines on at a higher verbosity. They
// report lost connections, which are normal.
type errorLogWriter struct{}

func (errorLogWriter) Write(b []byte) (int, error) {
	klog.V(2).Infof("HTTP server for callers: %s", strings.TrimSpace(string(b)))
	return len(b), nil
}

func newErrorLog() *log.Logger { return log.New(errorLogWriter{}, "", 0) }
