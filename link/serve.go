package link

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/logs"
	"pollenlatch/pace"
)

// The byte in an end mark or a failure that says whether the stream may be reused.
const (
	discardStream = 0
	reuseStream   = 1 // the accepting side reads another head from it
)

// inboundStream is the accepting side's end of a stream for exchanges. One
// goroutine reads it and another runs the handler and writes the responses, so that
// the end of the stream is noticed while a handler runs.
type inboundStream struct {
	session  *inboundSession
	stream   *yamux.Stream
	r        *bufio.Reader
	requests chan *inboundRequest
	ctx      context.Context // cancelled when the stream ends
	cancel   context.CancelFunc
}

// inboundRequest is a request of another daemon.
type inboundRequest struct {
	number   uint32
	request  pollenlatch.Request
	pipe     *io.PipeReader // nil unless the body is streamed
	complete atomic.Bool    // the end mark of the request was read

	onRequest *requestedBody // nil unless the body is sent when it is requested
}

// abort cancels the exchange, if there is one, and closes the stream.
func (st *inboundStream) abort() {
	st.cancel()
	_ = st.stream.SetDeadline(aLongTimeAgo)
	_ = st.stream.Close()
}

// readRequests reads requests until the stream ends.
func (st *inboundStream) readRequests() {
	defer close(st.requests)
	defer st.abort()
	for {
		k, b, err := readFrame(st.r, exchangeNumberBytes+maxHeadBytes)
		if err != nil {
			return
		}
		if k == kindRevoke {
			if st.answerRevocation(b) != nil {
				return
			}
			continue
		}
		in := &inboundRequest{}
		in.number, b, err = splitNumber(b)
		if err != nil || k != kindHead || pollenlatch.Decode(b, &in.request.RequestHead) != nil {
			klog.Warningf("request link from %s: malformed head in a frame of kind %d", st.session.from, k)
			return
		}
		now := time.Now()
		in.request.Deadline = now.Add(in.request.Timeout)
		if in.request.LatencyLeft != 0 {
			in.request.SoftDeadline = now.Add(in.request.LatencyLeft)
		}
		st.session.node.recordReceived(len(b))
		if err := st.dispatch(in); err != nil {
			return
		}
	}
}

// dispatch passes a request to the handler and reads its body.
func (st *inboundStream) dispatch(in *inboundRequest) error {
	if sentOnRequest(&in.request.RequestHead) {
		return st.dispatchOnRequest(in)
	}
	length := in.request.Length
	if length >= 0 && length <= maxInlineBody {
		k, n, err := readHeader(st.r)
		if err != nil {
			return err
		}
		if k == kindEnd && length == 0 && n == 0 {
			in.complete.Store(true)
			return st.enqueue(in)
		}
		if k == kindChunk && int64(n) == length && n > 0 {
			return st.dispatchInline(in, n)
		}
		if k != kindChunk {
			return errMalformedFrame
		}
		return st.dispatchStreamed(in, n)
	}
	return st.dispatchStreamed(in, 0)
}

// enqueue passes the request to the goroutine that runs the handler.
func (st *inboundStream) enqueue(in *inboundRequest) error {
	select {
	case st.requests <- in:
		return nil
	case <-st.ctx.Done():
		return st.ctx.Err()
	}
}

// dispatchInline reads a body that consists of one chunk before the handler starts.
func (st *inboundStream) dispatchInline(in *inboundRequest, n int) error {
	b := make([]byte, n)
	if _, err := io.ReadFull(st.r, b); err != nil {
		return unexpectedEOF(err)
	}
	st.session.node.recordReceived(n)
	k, n, err := readHeader(st.r)
	if err != nil {
		return unexpectedEOF(err)
	}
	if k != kindEnd || n != 0 {
		return errMalformedFrame
	}
	in.request.Body = bytes.NewReader(b)
	in.complete.Store(true)
	return st.enqueue(in)
}

// dispatchStreamed passes a body to the handler as it arrives. first is the length
// of a chunk whose header has been read already, or 0.
func (st *inboundStream) dispatchStreamed(in *inboundRequest, first int) error {
	pr, pw := io.Pipe()
	in.pipe = pr
	in.request.Body = pr
	if err := st.enqueue(in); err != nil {
		return err
	}
	return st.endBody(in, pw, st.copyBody(in, pw, first))
}

// endBody ends a body that was passed to the handler, after an error of reading it or
// nil.
func (st *inboundStream) endBody(in *inboundRequest, pw *io.PipeWriter, err error) error {
	if err != nil {
		st.cancel()
		_ = pw.CloseWithError(unexpectedEOF(err))
		return err
	}
	in.complete.Store(true)
	return pw.Close()
}

func (st *inboundStream) copyBody(in *inboundRequest, w *io.PipeWriter, n int) error {
	p := chunkBuffers.Get().(*[]byte)
	defer chunkBuffers.Put(p)
	var total int64
	for {
		if n == 0 {
			k, size, err := readHeader(st.r)
			if err != nil {
				return err
			}
			if k == kindEnd && size == 0 {
				if in.request.Length >= 0 && total != in.request.Length {
					return io.ErrUnexpectedEOF
				}
				return nil
			}
			if k != kindChunk || size == 0 {
				return errMalformedFrame
			}
			n = size
		}
		if n > maxChunkBytes || !in.onRequest.mayArrive(total+int64(n)) {
			return errMalformedFrame
		}
		b := (*p)[:n]
		if _, err := io.ReadFull(st.r, b); err != nil {
			return unexpectedEOF(err)
		}
		if in.onRequest == nil {
			st.session.node.recordReceived(n)
		}
		total += int64(n)
		n = 0
		// After the handler has returned, the rest of the body is read and
		// discarded until the dialling side stops.
		if _, err := w.Write(b); err != nil && !errors.Is(err, errHandlerReturned) {
			return err
		}
	}
}

// errHandlerReturned closes the body of a request whose handler has returned.
var errHandlerReturned = errors.New("handler of the request has returned")

// handleRequests calls the handler for each request.
func (st *inboundStream) handleRequests() {
	s := st.session
	for in := range st.requests {
		s.mu.Lock()
		s.running++
		s.mu.Unlock()
		ok := st.handleRequest(in)
		s.mu.Lock()
		s.running--
		s.lastUsed = time.Now()
		s.mu.Unlock()
		if !ok {
			break
		}
	}
	st.abort()
	for in := range st.requests { // enqueued after the last exchange
		if in.pipe != nil {
			_ = in.pipe.CloseWithError(errHandlerReturned)
		}
	}
	s.mu.Lock()
	delete(s.streams, st.stream.StreamID())
	s.mu.Unlock()
}

// handleRequest calls the handler and writes the response. It reports whether the
// stream may serve another request.
func (st *inboundStream) handleRequest(in *inboundRequest) bool {
	ctx, cancel := context.WithCancel(st.ctx)
	defer cancel()
	handle := func(ctx context.Context) (*pollenlatch.Response, error) {
		return logs.HandleRecovered(ctx, st.session.node.cfg.RequestHandler, &in.request)
	}
	var resp *pollenlatch.Response
	var err error
	if in.request.Receipt != 0 {
		resp, err = st.handleReceipted(ctx, in, handle)
	} else {
		resp, err = handle(ctx)
	}
	in.onRequest.close()
	if in.pipe != nil && (err != nil || in.onRequest != nil) {
		_ = in.pipe.CloseWithError(errHandlerReturned)
	}
	if err != nil {
		return st.writeFailure(in, err)
	}
	keep, err := st.writeResponse(in, resp)
	if in.pipe != nil {
		_ = in.pipe.CloseWithError(errHandlerReturned)
	}
	_ = resp.Body.Close()
	return err == nil && keep
}

// writeFailure writes a failure. It reports whether the stream may be reused.
func (st *inboundStream) writeFailure(in *inboundRequest, err error) bool {
	b, err := pollenlatch.Encode(toWire(err))
	if err != nil {
		return false
	}
	keep := st.reuseByte(in)
	_, err = st.stream.Write(appendNumbered(nil, kindFailure, in.number, append([]byte{keep}, b...)))
	return err == nil && keep == reuseStream
}

// reuseByte returns reuseStream if the complete request was read, or its body was never
// requested, so that none of its bytes can be taken for the next head, and discardStream
// otherwise.
func (st *inboundStream) reuseByte(in *inboundRequest) byte {
	if (in.complete.Load() || in.onRequest.unrequested()) && st.ctx.Err() == nil {
		return reuseStream
	}
	return discardStream
}

// writeResponse writes a response, and reports whether the stream may be reused.
// After an error the response has no end mark.
func (st *inboundStream) writeResponse(in *inboundRequest, resp *pollenlatch.Response) (bool, error) {
	b, err := pollenlatch.Encode(&resp.ResponseHead)
	if err != nil {
		return false, err
	}
	if len(b) > maxHeadBytes {
		return false, errMalformedFrame
	}
	transfer := pace.NewTransfer(st.session.node.cfg.Pacer, &in.request, resp.Length)
	defer transfer.End()
	p := chunkBuffers.Get().(*[]byte)
	defer chunkBuffers.Put(p)
	out := appendNumbered((*p)[:0], kindResponse, in.number, b)
	// A short body of known length is written together with the head.
	gather := resp.Length >= 0 && resp.Length <= maxInlineBody
	var total int64
	for {
		start := len(out)
		out = appendFrame(out, kindChunk, nil)
		n, err := readChunk(resp.Body, &out, gather)
		total += int64(n)
		putLength(out[start:], n)
		if n == 0 {
			out = out[:start]
		}
		expected := bodyLength(in.request.Method, &resp.ResponseHead)
		if errors.Is(err, io.EOF) && expected >= 0 && total != expected {
			err = io.ErrUnexpectedEOF
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return false, err
		}
		if err := transfer.Wait(st.ctx, n); err != nil {
			return false, err
		}
		if err == nil {
			if _, err := st.stream.Write(out); err != nil {
				return false, err
			}
			out = out[:0]
			continue
		}
		keep := st.reuseByte(in)
		out = appendFrame(out, kindEnd, []byte{keep})
		_, err = st.stream.Write(out)
		return keep == reuseStream, err
	}
}

// readChunk appends at most one chunk of the body to out. It reads once, or with
// gather until the chunk is full or the body ends.
func readChunk(body io.Reader, out *[]byte, gather bool) (int, error) {
	start := len(*out)
	room := min(maxChunkBytes, cap(*out)-start)
	if room <= 0 {
		room = maxChunkBytes
	}
	if cap(*out)-start < room {
		*out = append(make([]byte, 0, start+room+frameHeaderBytes+1), *out...)
	}
	b := (*out)[start : start+room]
	n, err := body.Read(b)
	for gather && err == nil && n < len(b) {
		var m int
		m, err = body.Read(b[n:])
		n += m
	}
	*out = (*out)[:start+n]
	return n, err
}
