package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"pollenlatch"
)

const (
	// maxInlineBody is the maximum size in bytes of a body that is written together
	// with the head.
	maxInlineBody = 16 << 10
	// deadlineMargin is how long after the deadline the sender of a request
	// waits, so that the owner's own failure for a passed deadline still arrives.
	deadlineMargin = 20 * time.Millisecond
)

// chunkBuffers holds buffers for one chunk with its head and end mark.
var chunkBuffers = sync.Pool{New: func() any {
	b := make([]byte, 0, maxChunkBytes+4<<10)
	return &b
}}

// aLongTimeAgo is a deadline that interrupts reads and writes in progress.
var aLongTimeAgo = time.Unix(1, 0)

// Forward implements pollenlatch.Forwarder. It sends the request to the daemon
// at addr. The deadline applies until the head of the response has arrived; its
// body can be read until ctx ends. After Forward has returned an error, or the body
// of the response was closed, a Read of r.Body may still be in progress. The caller
// must then make it return.
func (n *Node) Forward(ctx context.Context, addr string, r *pollenlatch.Request) (*pollenlatch.Response, error) {
	remaining := time.Until(r.Deadline)
	if remaining <= 0 {
		return nil, contextEnded(context.DeadlineExceeded, false)
	}
	s, err := n.acquireSession(ctx, addr, r.Deadline)
	if err != nil {
		return nil, err
	}
	st, err := s.acquireStream()
	if err != nil {
		n.releaseSession(s, nil)
		return nil, unreachable("daemon %s: stream could not be opened: %v", addr, err)
	}
	if pollenlatch.CallerLeft(ctx) { // while the session or the stream was opened
		n.releaseSession(s, st)
		return nil, contextEnded(context.Canceled, false)
	}
	x := &exchange{session: s, stream: st, head: &r.RequestHead, ctx: ctx, timersSet: make(chan struct{})}
	if r.Body != nil && sentOnRequest(&r.RequestHead) {
		x.request, x.credit = r, newBodyCredit()
	}
	x.deadlineTimer = time.AfterFunc(remaining+deadlineMargin, x.expire)
	x.stopWatch = context.AfterFunc(ctx, x.abort)
	x.deadline, x.sentAt = r.Deadline, time.Now()
	end := x.registerEnd()
	if x.receipt != 0 && n.isAdaptive() {
		x.startRevoking(remaining)
	}
	close(x.timersSet)
	if f := x.sendRequest(r, end); f != nil {
		return nil, x.revokeFailed(f)
	}
	return x.readResponse()
}

// exchange is a request with its response, on the side that sends the request.
type exchange struct {
	session       *outboundSession
	stream        *outboundStream
	head          *pollenlatch.RequestHead
	ctx           context.Context
	stopWatch     func() bool   // stops watching ctx
	deadlineTimer *time.Timer   // runs until the head of the response has arrived
	timersSet     chan struct{} // closed when all are set; either may abort the exchange earlier
	receipt       uint64        // 0: the request can't be revoked
	sentAt        time.Time
	deadline      time.Time
	revokeTimer   *time.Timer // nil unless the request is revoked near its deadline
	endTimer      atomic.Pointer[time.Timer]
	revoked       atomic.Bool // it is certain that the request has not run and never will

	expired        atomic.Bool
	ended          atomic.Bool // finished or aborted
	requestWritten atomic.Bool // the complete request was written

	request   *pollenlatch.Request // nil unless the accepting side requests the body
	credit    *bodyCredit          // nil unless the accepting side requests the body
	requested bool                 // it has requested the body; used by the reader of the response

	callerLeft bool // before the body was sent; used by the reader of the response
}

// expire aborts the exchange at its deadline.
func (x *exchange) expire() {
	x.expired.Store(true)
	x.abort()
}

// abortCause returns the error of the deadline or of the context that ended the
// exchange, or nil.
func (x *exchange) abortCause() error {
	switch {
	case x.expired.Load():
		return context.DeadlineExceeded
	case x.callerLeft:
		return context.Canceled
	default:
		return x.ctx.Err()
	}
}

// abort ends the exchange early. The stream is not reused.
func (x *exchange) abort() {
	if !x.ended.CompareAndSwap(false, true) {
		return
	}
	x.credit.close()
	_ = x.stream.SetDeadline(aLongTimeAgo)
	if !x.session.node.spawn(x.closeStream) {
		x.closeStream()
	}
}

// closeStream sends a cancellation to the accepting side and closes the stream. It
// may block on a saturated link, so the caller of abort does not wait for it.
func (x *exchange) closeStream() {
	<-x.timersSet
	x.stopWatch()
	x.stopTimers()
	x.session.sendCancel(x.stream.StreamID())
	_ = x.stream.Close()
	x.session.node.releaseSession(x.session, nil)
}

// stopTimers stops the timers of the wait for the response.
func (x *exchange) stopTimers() {
	x.deadlineTimer.Stop()
	if x.revokeTimer != nil {
		x.revokeTimer.Stop()
	}
	if t := x.endTimer.Load(); t != nil {
		t.Stop()
	}
}

// finish ends the exchange after its last frame. reusable says that the accepting
// side reads the next head from the stream. bytes is the size of the response body.
func (x *exchange) finish(reusable bool, bytes int64) {
	if !x.ended.CompareAndSwap(false, true) {
		return
	}
	x.credit.close()
	st := x.stream
	written := x.requestWritten.Load() || x.unrequested()
	if !x.stopWatch() || !reusable || !written {
		_ = st.SetDeadline(aLongTimeAgo)
		_ = st.Close()
		st = nil
	} else if bytes > shrinkThreshold {
		st.Shrink()
	}
	x.session.node.releaseSession(x.session, st)
}

// registerEnd returns the time by which the response must be complete; zero is none. One
// that is set later is sent to the accepting side.
func (x *exchange) registerEnd() time.Time {
	state := pollenlatch.RevocableOf(x.ctx)
	x.receipt = x.session.node.receiptNumber(state != nil)
	end := state.Forward(x.endBy)
	if !end.IsZero() {
		x.revokeAtEnd(end)
	}
	return end
}

// sendRequest writes the head, together with a body that is short and in memory.
// Other bodies are written by a goroutine. end is when the response must be complete; zero
// is none.
func (x *exchange) sendRequest(r *pollenlatch.Request, end time.Time) *pollenlatch.Failure {
	h := r.RequestHead
	h.Timeout, h.Receipt = time.Until(r.Deadline), x.receipt
	if !r.SoftDeadline.IsZero() {
		h.LatencyLeft = time.Until(r.SoftDeadline)
	}
	if !end.IsZero() {
		h.ResponseLeft = max(1, time.Until(end))
	}
	if r.Body == nil {
		h.Length = 0
	}
	b, err := pollenlatch.Encode(&h)
	if err != nil || len(b) > maxHeadBytes {
		f := unreachable("request head of %d bytes cannot be sent: %v", len(b), err)
		f.Reason, f.Status, f.RetryAfter = pollenlatch.ReasonTooLarge, http.StatusRequestHeaderFieldsTooLarge, 0
		return f
	}
	p := chunkBuffers.Get().(*[]byte)
	defer chunkBuffers.Put(p)
	out := appendNumbered((*p)[:0], kindHead, x.stream.number, b)
	dispatchBytes := len(out) // that the other side reads before it dispatches the request
	if x.credit != nil {
		x.session.node.bodiesOffered.Inc()
		if n, err := x.stream.Write(out); err != nil {
			return x.headWriteFailure(n < dispatchBytes, err)
		}
		return nil
	}
	complete := r.Body == nil || h.Length == 0
	if !complete {
		out, complete = appendInlineBody(out, r.Body, h.Length)
	}
	if complete {
		out = appendFrame(out, kindEnd, nil)
		dispatchBytes = len(out)
	}
	if x.session.mux.IsClosed() {
		return unreachable("daemon %s: session has ended", x.session.addr)
	}
	if n, err := x.stream.Write(out); err != nil {
		return x.headWriteFailure(n < dispatchBytes, err)
	}
	if complete {
		x.requestWritten.Store(true)
		return nil
	}
	if !x.session.node.spawn(func() { x.writeBody(r.Body, h.Length) }) {
		return connectionLost("%v", ErrClosed)
	}
	return nil
}

// appendInlineBody appends a short body that is in memory, so that reading it does
// not wait for the caller. It returns false for other bodies.
func appendInlineBody(out []byte, body io.Reader, length int64) ([]byte, bool) {
	l, ok := body.(interface{ Len() int })
	if !ok || l.Len() > maxInlineBody || int64(l.Len()) != length {
		return out, false
	}
	start := len(out)
	out = appendFrame(out, kindChunk, nil)
	out = append(out, make([]byte, length)...)
	if _, err := io.ReadFull(body, out[start+frameHeaderBytes:]); err != nil {
		return out[:start], false
	}
	putLength(out[start:], int(length))
	return out, true
}

// headWriteFailure converts an error of writing the head. yamux returns the errors
// named here before it queues any of the remaining bytes; after any other error they may
// have been sent. incomplete says that the other side needs some of them to dispatch the
// request.
func (x *exchange) headWriteFailure(incomplete bool, err error) *pollenlatch.Failure {
	unsent := x.unrequested() || incomplete && (errors.Is(err, yamux.ErrStreamClosed) || errors.Is(err, yamux.ErrConnectionReset) || errors.Is(err, yamux.ErrTimeout))
	if e := x.abortCause(); e != nil {
		return contextEnded(e, !unsent)
	}
	if unsent {
		return unreachable("daemon %s: %v", x.session.addr, err)
	}
	return connectionLost("daemon %s: request head could not be sent: %v", x.session.addr, err)
}

// writeBody writes the body in chunks. A body that is shorter or longer than stated
// gets no end mark.
func (x *exchange) writeBody(body io.Reader, length int64) {
	transfer := x.beginBody(length)
	defer transfer.End()
	p := chunkBuffers.Get().(*[]byte)
	defer chunkBuffers.Put(p)
	out := (*p)[:frameHeaderBytes+maxChunkBytes]
	var sent int64
	for !x.ended.Load() {
		limit, ok := x.chunkLimit(sent, length)
		if !ok {
			return
		}
		n, err := body.Read(out[frameHeaderBytes : frameHeaderBytes+limit])
		sent += int64(n)
		x.returnCredit(limit - n)
		if length >= 0 && (sent > length || (errors.Is(err, io.EOF) && sent != length)) {
			err = io.ErrUnexpectedEOF
		}
		frames := out[:0]
		if n > 0 {
			frames = out[:frameHeaderBytes+n]
			putHeader(frames, kindChunk, n)
		}
		if errors.Is(err, io.EOF) {
			frames = appendFrame(frames, kindEnd, nil)
		} else if err != nil {
			x.abort()
			return
		}
		if transfer.Wait(x.ctx, n) != nil {
			x.abort()
			return
		}
		if len(frames) > 0 {
			if _, err := x.stream.Write(frames); err != nil {
				return // the reader of the response sees that the stream has ended
			}
			if x.credit != nil {
				x.session.node.bodyBytes.Add(n)
				x.session.node.recordReceived(n) // the caller has sent them over the same link
			}
		}
		if errors.Is(err, io.EOF) {
			x.requestWritten.Store(true)
			return
		}
	}
}

// readNumbered reads a frame of this exchange.
func (x *exchange) readNumbered() (frameKind, []byte, error) {
	k, b, err := readFrame(x.stream.r, exchangeNumberBytes+maxHeadBytes)
	if err != nil {
		return 0, nil, err
	}
	number, b, err := splitNumber(b)
	if err != nil || number != x.stream.number {
		return 0, nil, fmt.Errorf("%w: response has exchange number %d, expected %d", errMalformedFrame, number, x.stream.number)
	}
	return k, b, nil
}

// readResponse reads the head of the response, or a failure, after any requests for
// bytes of the body.
func (x *exchange) readResponse() (*pollenlatch.Response, error) {
	k, b, err := x.readNumbered()
	for err == nil && k == kindBodyRequest {
		if err = x.handleBodyRequest(b); err == nil {
			k, b, err = x.readNumbered()
		}
	}
	if err != nil {
		return nil, x.revokeFailed(x.fail(err))
	}
	x.stopTimers()
	x.session.node.recordReceived(len(b))
	switch k {
	case kindFailure:
		f := new(failure)
		if len(b) < 1 {
			return nil, x.fail(errMalformedFrame)
		}
		if err := pollenlatch.Decode(b[1:], f); err != nil {
			return nil, x.fail(err)
		}
		x.finish(b[0] == reuseStream, 0)
		return nil, f.fromWire()
	case kindResponse:
		resp := &pollenlatch.Response{}
		if err := pollenlatch.Decode(b, &resp.ResponseHead); err != nil {
			return nil, x.fail(err)
		}
		resp.Body = &responseBody{x: x, length: bodyLength(x.head.Method, &resp.ResponseHead)}
		return resp, nil
	default:
		return nil, x.fail(errMalformedFrame)
	}
}

// revokeFailed aborts the exchange and returns its failure. Where the outcome is unknown,
// the daemon may be able to tell that the request has not run and never will.
func (x *exchange) revokeFailed(f *pollenlatch.Failure) *pollenlatch.Failure {
	lost := x.abortCause() == nil && !x.revoked.Load()
	x.abort()
	if f.Outcome == pollenlatch.OutcomeUnknown && (x.revoked.Load() || (lost && x.revokeAfterLoss())) {
		return x.notRun(lost)
	}
	return f
}

// notRun returns the failure of a request that was revoked: near its deadline, or after
// its connection was lost.
func (x *exchange) notRun(lost bool) *pollenlatch.Failure {
	if !lost {
		return revoked()
	}
	return unreachable("daemon %s: connection was lost before the request was sent to a server", x.session.addr)
}

// fail aborts the exchange after the head was sent, and converts the error.
func (x *exchange) fail(err error) *pollenlatch.Failure {
	ctxErr := x.abortCause()
	x.abort()
	if ctxErr != nil {
		return contextEnded(ctxErr, !x.unrequested())
	}
	if x.unrequested() {
		return unreachable("daemon %s: request ended before its body was requested: %v", x.session.addr, unexpectedEOF(err))
	}
	return connectionLost("daemon %s: response could not be read: %v", x.session.addr, unexpectedEOF(err))
}

// bodyLength returns the length in bytes of the body of a response, or -1 when it
// is unknown.
func bodyLength(method string, h *pollenlatch.ResponseHead) int64 {
	if method == http.MethodHead || h.Status == http.StatusNoContent || h.Status == http.StatusNotModified {
		return 0
	}
	return h.Length
}

// responseBody reads the body of a response. It returns io.EOF only after the end
// mark, and only if the body has the length that the head states.
type responseBody struct {
	x      *exchange
	length int64 // -1 when unknown
	read   int64
	left   int // unread bytes of the current chunk
	err    error
}

// Read implements io.Reader. Errors other than io.EOF are *Failure.
func (a *responseBody) Read(p []byte) (int, error) {
	if a.err != nil {
		return 0, a.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	if a.left == 0 {
		if err := a.nextChunk(); err != nil {
			a.err = err
			return 0, err
		}
	}
	n, err := a.x.stream.r.Read(p[:min(len(p), a.left)])
	a.left -= n
	a.read += int64(n)
	if err != nil {
		a.err = a.x.fail(err)
		return n, a.err
	}
	return n, nil
}

// nextChunk reads the header of the next chunk, or the end mark.
func (a *responseBody) nextChunk() error {
	k, n, err := readHeader(a.x.stream.r)
	if err != nil {
		return a.x.fail(err)
	}
	switch {
	case k == kindChunk && n > 0 && n <= maxChunkBytes:
		a.left = n
		a.x.session.node.recordReceived(n)
		if a.length >= 0 && a.read+int64(n) > a.length {
			return a.x.fail(errMalformedFrame)
		}
		return nil
	case k == kindEnd && n == 1:
		keep, err := a.x.stream.r.ReadByte()
		if err != nil {
			return a.x.fail(err)
		}
		if a.length >= 0 && a.read != a.length {
			return a.x.fail(io.ErrUnexpectedEOF)
		}
		a.x.finish(keep == reuseStream, a.read)
		return io.EOF
	default:
		return a.x.fail(errMalformedFrame)
	}
}

// Close implements io.Closer. Before the end of the body it aborts the exchange.
func (a *responseBody) Close() error {
	a.x.abort()
	return nil
}
