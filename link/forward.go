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
	// smallBody is the size in bytes up to which a body travels in the same
	// write as the head.
	smallBody = 16 << 10
	// answerSlack is how much longer than the deadline the sender of a request
	// waits, so that the owner's own account of a passed deadline arrives.
	answerSlack = 20 * time.Millisecond
)

// buffers holds scratch space for one chunk with its head and end mark.
var buffers = sync.Pool{New: func() any {
	b := make([]byte, 0, maxChunk+4<<10)
	return &b
}}

// past is a deadline that has passed.
var past = time.Unix(1, 0)

// Forward implements pollenlatch.Forwarder. It sends the request to the daemon
// at addr. The deadline holds until the head of the answer; its body lasts
// until ctx ends. r.Body may still be read until its Read returns after Forward has
// returned an error, or after the response's body was closed; the caller must
// then make Read return.
func (n *Node) Forward(ctx context.Context, addr string, r *pollenlatch.Request) (*pollenlatch.Response, error) {
	left := time.Until(r.Deadline)
	if left <= 0 {
		return nil, ended(context.DeadlineExceeded, false)
	}
	s, err := n.acquire(ctx, addr, r.Deadline)
	if err != nil {
		return nil, err
	}
	st, err := s.take()
	if err != nil {
		n.release(s, nil)
		return nil, unreachable("daemon %s: open a stream: %v", addr, err)
	}
	x := &exchange{session: s, stream: st, head: &r.RequestHead, ctx: ctx, armed: make(chan struct{})}
	x.timer = time.AfterFunc(left+answerSlack, x.expire)
	x.stop = context.AfterFunc(ctx, x.abort)
	close(x.armed)
	if f := x.sendRequest(r); f != nil {
		x.abort()
		return nil, f
	}
	return x.answer()
}

// exchange is one request and its answer, at the side that sent the request.
type exchange struct {
	session *dataSession
	stream  *stream
	head    *pollenlatch.RequestHead
	ctx     context.Context
	stop    func() bool   // of the context
	timer   *time.Timer   // runs until the head of the answer
	armed   chan struct{} // closed when both are set; either may end the exchange before

	expired atomic.Bool
	over    atomic.Bool // finished or aborted
	pumped  atomic.Bool // the whole request was written
}

// expire gives the exchange up at its deadline.
func (x *exchange) expire() {
	x.expired.Store(true)
	x.abort()
}

// err returns why the exchange was given up from outside, or nil.
func (x *exchange) err() error {
	if x.expired.Load() {
		return context.DeadlineExceeded
	}
	return x.ctx.Err()
}

// abort gives the exchange up. The stream serves no other.
func (x *exchange) abort() {
	if !x.over.CompareAndSwap(false, true) {
		return
	}
	_ = x.stream.SetDeadline(past)
	if !x.session.node.spawn(x.discard) {
		x.discard()
	}
}

// discard tells the accepting side and closes the stream. On a full link it
// waits for its turn to write, which the request does not.
func (x *exchange) discard() {
	<-x.armed
	x.stop()
	x.timer.Stop()
	x.session.giveUp(x.stream.StreamID())
	_ = x.stream.Close()
	x.session.node.release(x.session, nil)
}

// finish ends the exchange after its last frame. keep is the accepting side's
// word that it reads the next head from the stream.
func (x *exchange) finish(keep bool, bytes int64) {
	if !x.over.CompareAndSwap(false, true) {
		return
	}
	st := x.stream
	if !x.stop() || !keep || !x.pumped.Load() {
		_ = st.SetDeadline(past)
		_ = st.Close()
		st = nil
	} else if bytes > bigExchange {
		st.Shrink()
	}
	x.session.node.release(x.session, st)
}

// sendRequest writes the head, with the body if that is at hand and short.
// A longer body follows from a goroutine.
func (x *exchange) sendRequest(r *pollenlatch.Request) *pollenlatch.Failure {
	h := r.RequestHead
	h.Timeout = time.Until(r.Deadline)
	if !r.SoftDeadline.IsZero() {
		h.LatencyLeft = time.Until(r.SoftDeadline)
	}
	if r.Body == nil {
		h.Length = 0
	}
	b, err := pollenlatch.Encode(&h)
	if err != nil || len(b) > maxHead {
		f := unreachable("head of %d bytes: %v", len(b), err)
		f.Reason, f.Status, f.RetryAfter = pollenlatch.ReasonTooLarge, http.StatusRequestHeaderFieldsTooLarge, 0
		return f
	}
	p := buffers.Get().(*[]byte)
	defer buffers.Put(p)
	out := appendNumbered((*p)[:0], kindHead, x.stream.number, b)
	whole := r.Body == nil || h.Length == 0
	if !whole {
		out, whole = appendSmall(out, r.Body, h.Length)
	}
	if whole {
		out = appendFrame(out, kindEnd, nil)
	}
	if n, err := x.stream.Write(out); err != nil {
		return x.writeFailed(n, err)
	}
	if whole {
		x.pumped.Store(true)
		return nil
	}
	if !x.session.node.spawn(func() { x.pump(r.Body, h.Length) }) {
		return broken("%v", ErrClosed)
	}
	return nil
}

// appendSmall appends a short body whose bytes are at hand: reading it cannot
// wait for the caller.
func appendSmall(out []byte, body io.Reader, length int64) ([]byte, bool) {
	l, ok := body.(interface{ Len() int })
	if !ok || l.Len() > smallBody || int64(l.Len()) != length {
		return out, false
	}
	start := len(out)
	out = appendFrame(out, kindChunk, nil)
	out = append(out, make([]byte, length)...)
	if _, err := io.ReadFull(body, out[start+frameHeader:]); err != nil {
		return out[:start], false
	}
	putLength(out[start:], int(length))
	return out, true
}

// writeFailed converts the error of writing the head. These errors of yamux
// are found before the first byte is queued; every other one leaves it open.
func (x *exchange) writeFailed(n int, err error) *pollenlatch.Failure {
	unsent := n == 0 && (errors.Is(err, yamux.ErrStreamClosed) || errors.Is(err, yamux.ErrConnectionReset) || errors.Is(err, yamux.ErrTimeout))
	if e := x.err(); e != nil {
		return ended(e, !unsent)
	}
	if unsent {
		return unreachable("daemon %s: %v", x.session.addr, err)
	}
	return broken("daemon %s: send the head: %v", x.session.addr, err)
}

// pump writes the body in chunks. A body that ends early or late is never
// followed by an end mark.
func (x *exchange) pump(body io.Reader, length int64) {
	p := buffers.Get().(*[]byte)
	defer buffers.Put(p)
	out := (*p)[:frameHeader+maxChunk]
	var sent int64
	for !x.over.Load() {
		n, err := body.Read(out[frameHeader:])
		sent += int64(n)
		if length >= 0 && (sent > length || (errors.Is(err, io.EOF) && sent != length)) {
			err = io.ErrUnexpectedEOF
		}
		frames := out[:0]
		if n > 0 {
			frames = out[:frameHeader+n]
			putHeader(frames, kindChunk, n)
		}
		if errors.Is(err, io.EOF) {
			frames = appendFrame(frames, kindEnd, nil)
		} else if err != nil {
			x.abort()
			return
		}
		if len(frames) > 0 {
			if _, err := x.stream.Write(frames); err != nil {
				return // the reader of the answer sees the stream's end
			}
		}
		if errors.Is(err, io.EOF) {
			x.pumped.Store(true)
			return
		}
	}
}

// answer reads the head of the answer.
func (x *exchange) answer() (*pollenlatch.Response, error) {
	k, b, err := readFrame(x.stream.r, numberBytes+maxHead)
	if err != nil {
		return nil, x.lost(err)
	}
	x.timer.Stop()
	number, b, err := cutNumber(b)
	if err != nil || number != x.stream.number {
		return nil, x.lost(fmt.Errorf("%w: answer %d to exchange %d", errFrame, number, x.stream.number))
	}
	switch k {
	case kindFailure:
		f := new(failure)
		if len(b) < 1 {
			return nil, x.lost(errFrame)
		}
		if err := pollenlatch.Decode(b[1:], f); err != nil {
			return nil, x.lost(err)
		}
		x.finish(b[0] == keepStream, 0)
		return nil, f.fromWire()
	case kindAnswer:
		w := &pollenlatch.Response{}
		if err := pollenlatch.Decode(b, &w.ResponseHead); err != nil {
			return nil, x.lost(err)
		}
		w.Body = &answerBody{x: x, length: bodyLength(x.head.Method, &w.ResponseHead)}
		return w, nil
	default:
		return nil, x.lost(errFrame)
	}
}

// lost gives the exchange up after the head was sent, and converts the error.
func (x *exchange) lost(err error) *pollenlatch.Failure {
	ctxErr := x.err()
	x.abort()
	if ctxErr != nil {
		return ended(ctxErr, true)
	}
	return broken("daemon %s: read the answer: %v", x.session.addr, noEOF(err))
}

// bodyLength returns the bytes that must follow the head of an answer, or -1.
func bodyLength(method string, h *pollenlatch.ResponseHead) int64 {
	if method == http.MethodHead || h.Status == http.StatusNoContent || h.Status == http.StatusNotModified {
		return 0
	}
	return h.Length
}

// answerBody reads the body of an answer. It returns io.EOF only after the end
// mark, and only if the body has the length that its head states.
type answerBody struct {
	x      *exchange
	length int64 // -1 when unknown
	read   int64
	left   int // bytes of the present chunk
	err    error
}

// Read implements io.Reader. Its error other than io.EOF is a *Failure.
func (a *answerBody) Read(p []byte) (int, error) {
	if a.err != nil {
		return 0, a.err
	}
	if len(p) == 0 {
		return 0, nil
	}
	if a.left == 0 {
		if err := a.next(); err != nil {
			a.err = err
			return 0, err
		}
	}
	n, err := a.x.stream.r.Read(p[:min(len(p), a.left)])
	a.left -= n
	a.read += int64(n)
	if err != nil {
		a.err = a.x.lost(err)
		return n, a.err
	}
	return n, nil
}

// next reads the header of the next chunk, or the end mark.
func (a *answerBody) next() error {
	k, n, err := readHeader(a.x.stream.r)
	if err != nil {
		return a.x.lost(err)
	}
	switch {
	case k == kindChunk && n > 0 && n <= maxChunk:
		a.left = n
		if a.length >= 0 && a.read+int64(n) > a.length {
			return a.x.lost(errFrame)
		}
		return nil
	case k == kindEnd && n == 1:
		keep, err := a.x.stream.r.ReadByte()
		if err != nil {
			return a.x.lost(err)
		}
		if a.length >= 0 && a.read != a.length {
			return a.x.lost(io.ErrUnexpectedEOF)
		}
		a.x.finish(keep == keepStream, a.read)
		return io.EOF
	default:
		return a.x.lost(errFrame)
	}
}

// Close implements io.Closer. Before the end of the body it gives the exchange up.
func (a *answerBody) Close() error {
	a.x.abort()
	return nil
}
