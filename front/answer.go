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

// answer is one answer to a caller, and what is recorded of it.
type answer struct {
	server  *Server
	writer  http.ResponseWriter
	request *pollenlatch.Request // nil when it could not be parsed
	body    *replay              // of the request; nil when it was read already
	start   time.Time

	outcome  pollenlatch.Outcome
	reason   pollenlatch.Reason
	endpoint string
	remote   string // address of the caller, for the log as the next three
	status   int
	detail   string
	after    time.Duration
}

// document is the JSON body of an answer of ours.
type document struct {
	Outcome string `json:"outcome"`
	*pollenlatch.Failure
	After int64 `json:"retry_after,omitempty"` // seconds
}

// wholeSeconds rounds a time up.
func wholeSeconds(d time.Duration) int64 { return int64((d + time.Second - 1) / time.Second) }

// after returns the value of Retry-After. Fractions are used only where callers
// understand them.
func (s *Server) after(d time.Duration) string {
	if s.cfg.Headers == nil {
		return strconv.FormatInt(wholeSeconds(d), 10)
	}
	return strconv.FormatFloat(d.Round(time.Millisecond).Seconds(), 'f', -1, 64)
}

// fail answers with a failure.
func (a *answer) fail(f *pollenlatch.Failure) {
	a.outcome, a.reason = f.Outcome, f.Reason
	status := f.Status
	if a.server.cfg.Headers != nil {
		status = routedStatus(f)
	}
	a.status, a.detail, a.after = status, f.Detail, f.RetryAfter
	b, err := json.Marshal(document{Outcome: f.Outcome.String(), Failure: f, After: wholeSeconds(f.RetryAfter)})
	if err != nil {
		klog.Errorf("encode a failure: %v", err)
	}
	h := a.writer.Header()
	h.Set(headerOutcome, f.Outcome.String())
	h.Set("Content-Type", "application/json")
	h.Set("Content-Length", strconv.Itoa(len(b)))
	h.Set("Cache-Control", "no-store")
	if f.RetryAfter > 0 {
		h.Set("Retry-After", a.server.after(f.RetryAfter))
	}
	a.oneOff()
	a.writeDeadline()
	a.writer.WriteHeader(status)
	_, _ = a.writer.Write(b)
}

// routedStatus returns the status of a failure for callers who go by it alone:
// 408, 421, 429 and 503 promise that the request has not run, and a refusal of
// work that has not run says so with one of them.
func routedStatus(f *pollenlatch.Failure) int {
	promise := f.Status == http.StatusRequestTimeout || f.Status == http.StatusMisdirectedRequest ||
		f.Status == http.StatusTooManyRequests || f.Status == http.StatusServiceUnavailable
	switch {
	case f.Outcome == pollenlatch.OutcomeNotRun && !promise && (f.Status >= http.StatusInternalServerError || f.Status == statusClosed):
		return http.StatusServiceUnavailable
	case f.Outcome != pollenlatch.OutcomeNotRun && (promise || f.Status == statusClosed):
		return http.StatusBadGateway
	default:
		return f.Status
	}
}

// statusClosed is recorded for callers that went away.
const statusClosed = 499

// refuse answers with a failure and ends the connection. net/http reads what
// it can of a body before it answers; it must not wait for a slow caller there.
func (a *answer) refuse(f *pollenlatch.Failure) {
	a.writer.Header().Set("Connection", "close")
	_ = http.NewResponseController(a.writer).SetReadDeadline(past)
	a.fail(f)
}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

func (a *answer) writeDeadline() {
	_ = http.NewResponseController(a.writer).SetWriteDeadline(time.Now().Add(a.server.cfg.StallTimeout))
}

// copyBytes is the size of the buffers between an answer and its caller.
const copyBytes = 32 << 10

var copyBuffers = sync.Pool{New: func() any {
	b := make([]byte, copyBytes)
	return &b
}}

// send passes the server's answer on, until ctx ends. cancel abandons the
// request.
func (a *answer) send(ctx context.Context, w *pollenlatch.Response, cancel func()) {
	defer func() { _ = w.Body.Close() }()
	a.endpoint = w.OwnerAddr
	a.status = int(w.Status)
	if w.Status < http.StatusOK || w.Status > 999 {
		a.fail(asFailure(errors.New("the server answered with status " + strconv.Itoa(int(w.Status)))))
		return
	}
	// An answer that stands still is given up, so that neither a server nor a
	// caller holds a connection for good.
	stall := time.AfterFunc(a.server.cfg.StallTimeout, cancel)
	defer stall.Stop()
	p := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(p)
	b := *p
	n, err := w.Body.Read(b)
	if err != nil && !errors.Is(err, io.EOF) {
		a.fail(asFailure(err)) // nothing of the answer has left yet
		return
	}
	turn := pace.For(a.server.cfg.Pacer, a.request, w.Length)
	defer turn.End()
	a.head(w)
	rc := http.NewResponseController(a.writer)
	for {
		stall.Reset(a.server.cfg.StallTimeout)
		if n > 0 {
			if turn.Wait(ctx, n) != nil {
				a.abort(pollenlatch.ReasonCancelled)
			}
			a.writeDeadline()
			if _, err := a.writer.Write(b[:n]); err != nil {
				a.abort(pollenlatch.ReasonCancelled)
			}
		}
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			a.abort(pollenlatch.ReasonConnectionLost)
		}
		if w.Length < 0 && n > 0 && rc.Flush() != nil {
			a.abort(pollenlatch.ReasonCancelled)
		}
		n, err = w.Body.Read(b)
	}
	a.outcome = pollenlatch.OutcomeRan
	if w.Status >= http.StatusInternalServerError {
		a.reason = pollenlatch.ReasonServerError
	}
}

// head writes the head of the server's answer.
func (a *answer) head(w *pollenlatch.Response) {
	h := a.writer.Header()
	for _, x := range w.Header {
		name := http.CanonicalHeaderKey(x.Name)
		if !hopHeaders[name] && !strings.HasPrefix(name, ownPrefix) {
			h[name] = append(h[name], x.Value)
		}
	}
	if w.Length >= 0 && bodyAllowed(w.Status) {
		h.Set("Content-Length", strconv.FormatInt(w.Length, 10))
	}
	if w.OwnerAddr != "" {
		h.Set(headerOwner, w.OwnerAddr)
	}
	a.oneOff()
	a.writeDeadline()
	a.writer.WriteHeader(int(w.Status))
}

func bodyAllowed(status int32) bool {
	return status != http.StatusNoContent && status != http.StatusNotModified
}

// abort ends the connection in the middle of an answer, so that the caller
// does not take it for a complete one.
func (a *answer) abort(r pollenlatch.Reason) {
	a.outcome, a.reason = pollenlatch.OutcomeUnknown, r
	panic(http.ErrAbortHandler)
}

// oneOff makes this the last answer on its connection if the request's body
// has not been read to its end. net/http would take the rest of it for the
// next request.
func (a *answer) oneOff() {
	if a.body != nil && !a.body.ended.Load() {
		a.writer.Header().Set("Connection", "close")
	}
}

// unblock ends the reading of a body that was not read to its end. net/http
// reads on in it after the handler, for as long as the caller likes unless the
// deadline has passed. It also clears that deadline if it finds a read of an
// abandoned attempt in progress, so such a read has to end first.
func (a *answer) unblock() {
	if a.body == nil || a.body.ended.Load() {
		return
	}
	_ = http.NewResponseController(a.writer).SetReadDeadline(past)
	a.body.stop()
}

// record counts the answer.
func (a *answer) record() {
	if a.outcome == 0 { // a handler panicked
		a.outcome, a.reason = pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost
	}
	took := time.Since(a.start)
	name, class := "", pollenlatch.ClassRoutine
	if q := a.request; q != nil {
		if s, ok := a.server.cfg.Control.View().Service(q.Service); ok {
			name, class = s.Name, s.ClassOf(q.Caller, q.Kind)
		}
	}
	a.server.meter.answer(name, a.outcome, a.reason, took)
	a.log(took)
	if r := a.server.cfg.Recorder; r != nil {
		r.Record(name, class, a.outcome, a.reason, a.endpoint, took)
	}
}

// errorWriter passes net/http's own log lines on. They tell of connections
// that broke, which is ordinary.
type errorWriter struct{}

func (errorWriter) Write(b []byte) (int, error) {
	klog.V(2).Infof("callers: %s", strings.TrimSpace(string(b)))
	return len(b), nil
}

func newErrorLog() *log.Logger { return log.New(errorWriter{}, "", 0) }
