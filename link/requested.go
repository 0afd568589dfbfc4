package link

import (
	"context"
	"encoding/binary"
	"io"
	"sync"

	"pollenlatch"
	"pollenlatch/pace"
)

// A large body is not sent together with its head: the accepting side requests its bytes
// once it has admitted the request, and a refusal costs no byte of the body.

// bodyRequestBytes is the length of the payload of a body request behind the exchange
// number: the number of bytes.
const bodyRequestBytes = 4

// sentOnRequest reports whether the body of a request is sent only when the accepting
// side requests it. Both sides derive it from the head.
func sentOnRequest(h *pollenlatch.RequestHead) bool {
	return h.LargeBody && (h.Length < 0 || h.Length > maxInlineBody)
}

// bodyCredit counts the bytes that the accepting side has requested and that have not
// been sent, on the side that sends them.
type bodyCredit struct {
	mu      sync.Mutex
	changed sync.Cond
	bytes   int64
	closed  bool
}

func newBodyCredit() *bodyCredit {
	c := new(bodyCredit)
	c.changed.L = &c.mu
	return c
}

func (c *bodyCredit) add(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bytes += n
	c.changed.Signal()
}

// take waits until bytes are requested, and takes at most limit of them. It returns
// false when the exchange has ended.
func (c *bodyCredit) take(limit int) (int, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.bytes == 0 && !c.closed {
		c.changed.Wait()
	}
	n := int(min(int64(limit), c.bytes))
	c.bytes -= int64(n)
	return n, !c.closed
}

// close ends the wait of take. c may be nil.
func (c *bodyCredit) close() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.changed.Signal()
}

// unrequested reports whether the accepting side requests the body and has not done so.
// The request cannot have reached a server then.
func (x *exchange) unrequested() bool { return x.credit != nil && !x.requested }

// handleBodyRequest sends further bytes of the body, unless the caller has disconnected:
// while its body stands unread, nothing reads its connection to its end. The first request
// starts the goroutine that sends them.
func (x *exchange) handleBodyRequest(b []byte) error {
	if len(b) != bodyRequestBytes || x.credit == nil {
		return errMalformedFrame
	}
	if pollenlatch.CallerLeft(x.ctx) {
		x.callerLeft = true
		return context.Canceled
	}
	if !x.requested {
		if !x.session.node.spawn(func() { x.writeBody(x.request.Body, x.head.Length) }) {
			return ErrClosed
		}
		x.requested = true
		x.session.node.bodiesRequested.Inc()
	}
	x.credit.add(int64(binary.BigEndian.Uint32(b)))
	return nil
}

// chunkLimit returns how many bytes of the body may be read next, after sent bytes. It
// waits until the accepting side requests some, and returns false when the exchange has
// ended. Reading the end of the body needs no request.
func (x *exchange) chunkLimit(sent, length int64) (int, bool) {
	switch {
	case x.credit == nil:
		return maxChunkBytes, true
	case sent == length:
		return 1, true
	default:
		return x.credit.take(maxChunkBytes)
	}
}

// returnCredit returns n requested bytes that were not read.
func (x *exchange) returnCredit(n int) {
	if x.credit != nil {
		x.credit.add(int64(n))
	}
}

// beginBody returns the transfer of the body on the link of this instance. A body that
// the accepting side requests takes turns with large responses; others are sent at once.
func (x *exchange) beginBody(length int64) pollenlatch.Transfer {
	if x.credit == nil {
		return pace.NewTransfer(nil, nil, 0)
	}
	r := pollenlatch.Request{SoftDeadline: x.request.SoftDeadline, Deadline: x.request.Deadline}
	r.Bulk = true // without the route, since the pacer keeps the sizes of its responses
	if r.SoftDeadline.IsZero() {
		r.SoftDeadline = r.Deadline
	}
	return pace.NewTransfer(x.session.node.cfg.Pacer, &r, length)
}

// requestedBody is a body on the accepting side whose bytes are sent when they are
// requested. It implements pollenlatch.RequestedBody.
type requestedBody struct {
	stream *inboundStream
	number uint32 // of the exchange
	length int64  // -1 when unknown
	pipe   *io.PipeReader

	mu        sync.Mutex
	requested int64 // bytes
	consumed  int64 // bytes that Read has returned
	explicit  bool  // Request was called
	closed    bool  // nothing more is requested
}

// Request implements pollenlatch.RequestedBody.
func (b *requestedBody) Request(n int) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.explicit = true
	return b.requestLocked(n)
}

// requestLocked requests n bytes. The frame is written with mu held, so that none
// follows the response.
func (b *requestedBody) requestLocked(n int) error {
	if b.closed {
		return errHandlerReturned
	}
	b.requested += int64(n)
	p := binary.BigEndian.AppendUint32(nil, uint32(n))
	_, err := b.stream.stream.Write(appendNumbered(nil, kindBodyRequest, b.number, p))
	return err
}

// Read implements io.Reader.
func (b *requestedBody) Read(p []byte) (int, error) {
	if err := b.requestNext(); err != nil {
		return 0, err
	}
	n, err := b.pipe.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.consumed += int64(n)
	return n, err
}

// requestNext requests the next chunk for a reader that does not call Request.
func (b *requestedBody) requestNext() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := int64(maxChunkBytes)
	if b.length >= 0 {
		n = min(n, b.length-b.requested)
	}
	if b.explicit || b.consumed < b.requested || n <= 0 {
		return nil
	}
	return b.requestLocked(int(n))
}

// close ends the requests for bytes. b may be nil.
func (b *requestedBody) close() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
}

// unrequested reports whether no byte of the body has been or will be requested, so that
// the next frame of the stream does not belong to it.
func (b *requestedBody) unrequested() bool {
	if b == nil {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.closed && b.requested == 0
}

// mayArrive reports whether a total of n bytes was requested.
func (b *requestedBody) mayArrive(n int64) bool {
	if b == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return n <= b.requested
}

// dispatchOnRequest passes a request to the handler, and reads its body if the handler
// requests it.
func (st *inboundStream) dispatchOnRequest(in *inboundRequest) error {
	pr, pw := io.Pipe()
	in.pipe = pr
	in.onRequest = &requestedBody{stream: st, number: in.number, length: in.request.Length, pipe: pr}
	in.request.Body = in.onRequest
	if err := st.enqueue(in); err != nil {
		return err
	}
	_, err := st.r.Peek(frameHeaderBytes)
	if err == nil && in.onRequest.unrequested() {
		return nil // the next frame belongs to another request, or revokes one
	}
	if err == nil {
		err = st.copyBody(in, pw, 0)
	}
	return st.endBody(in, pw, err)
}
