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
	"pollenlatch/pace"
)

// What an end mark or failure says of its stream.
const (
	dropStream = 0
	keepStream = 1 // the accepting side reads the next head from it
)

// inStream is the accepting side's end of a stream for exchanges. One
// goroutine reads it, another runs the handler and writes the answers; so the
// end of the stream is seen while a handler runs.
type inStream struct {
	session *inSession
	y       *yamux.Stream
	r       *bufio.Reader
	work    chan *incoming
	ctx     context.Context // ends with the stream
	cancel  context.CancelFunc
}

// incoming is one request.
type incoming struct {
	number  uint32
	request pollenlatch.Request
	pipe    *io.PipeReader // nil when the body is at hand
	ended   atomic.Bool    // the end mark of the request was read
}

// end abandons the exchange, if there is one, and the stream.
func (st *inStream) end() {
	st.cancel()
	_ = st.y.SetDeadline(past)
	_ = st.y.Close()
}

// feed reads requests until the stream ends.
func (st *inStream) feed() {
	defer close(st.work)
	defer st.end()
	for {
		k, b, err := readFrame(st.r, numberBytes+maxHead)
		if err != nil {
			return
		}
		in := &incoming{}
		in.number, b, err = cutNumber(b)
		if err != nil || k != kindHead || pollenlatch.Decode(b, &in.request.RequestHead) != nil {
			klog.Warningf("request link from %s: malformed head in a frame of kind %d", st.session.from, k)
			return
		}
		now := time.Now()
		in.request.Deadline = now.Add(in.request.Timeout)
		if in.request.LatencyLeft != 0 {
			in.request.SoftDeadline = now.Add(in.request.LatencyLeft)
		}
		if err := st.body(in); err != nil {
			return
		}
	}
}

// body hands the request to the handler and feeds it the body.
func (st *inStream) body(in *incoming) error {
	length := in.request.Length
	if length >= 0 && length <= smallBody {
		k, n, err := readHeader(st.r)
		if err != nil {
			return err
		}
		if k == kindEnd && length == 0 && n == 0 {
			in.ended.Store(true)
			return st.pass(in)
		}
		if k == kindChunk && int64(n) == length && n > 0 {
			return st.short(in, n)
		}
		if k != kindChunk {
			return errFrame
		}
		return st.long(in, n)
	}
	return st.long(in, 0)
}

// pass hands the request to the handler.
func (st *inStream) pass(in *incoming) error {
	select {
	case st.work <- in:
		return nil
	case <-st.ctx.Done():
		return st.ctx.Err()
	}
}

// short reads a body that came as one chunk before the handler starts.
func (st *inStream) short(in *incoming, n int) error {
	b := make([]byte, n)
	if _, err := io.ReadFull(st.r, b); err != nil {
		return noEOF(err)
	}
	k, n, err := readHeader(st.r)
	if err != nil {
		return noEOF(err)
	}
	if k != kindEnd || n != 0 {
		return errFrame
	}
	in.request.Body = bytes.NewReader(b)
	in.ended.Store(true)
	return st.pass(in)
}

// long feeds a body to the handler as it arrives. first is the length of a
// chunk whose header was read already, or 0.
func (st *inStream) long(in *incoming, first int) error {
	pr, pw := io.Pipe()
	in.pipe = pr
	in.request.Body = pr
	if err := st.pass(in); err != nil {
		return err
	}
	err := st.copyBody(in, pw, first)
	if err != nil {
		st.cancel()
		_ = pw.CloseWithError(noEOF(err))
		return err
	}
	in.ended.Store(true)
	return pw.Close()
}

func (st *inStream) copyBody(in *incoming, w *io.PipeWriter, n int) error {
	p := buffers.Get().(*[]byte)
	defer buffers.Put(p)
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
				return errFrame
			}
			n = size
		}
		if n > maxChunk {
			return errFrame
		}
		b := (*p)[:n]
		if _, err := io.ReadFull(st.r, b); err != nil {
			return noEOF(err)
		}
		total += int64(n)
		n = 0
		// A handler that has returned reads nothing more; what is left of the
		// body is read and dropped until the dialling side stops.
		if _, err := w.Write(b); err != nil && !errors.Is(err, errHandled) {
			return err
		}
	}
}

// errHandled ends the body of a request whose handler has returned.
var errHandled = errors.New("the request has ended")

// run calls the handler for each request.
func (st *inStream) run() {
	s := st.session
	for in := range st.work {
		s.mu.Lock()
		s.running++
		s.mu.Unlock()
		ok := st.handle(in)
		s.mu.Lock()
		s.running--
		s.used = time.Now()
		s.mu.Unlock()
		if !ok {
			break
		}
	}
	st.end()
	for in := range st.work { // passed after the last exchange
		if in.pipe != nil {
			_ = in.pipe.CloseWithError(errHandled)
		}
	}
	s.mu.Lock()
	delete(s.streams, st.y.StreamID())
	s.mu.Unlock()
}

// handle runs one request and writes its answer. It reports whether the stream
// serves another one.
func (st *inStream) handle(in *incoming) bool {
	ctx, cancel := context.WithCancel(st.ctx)
	defer cancel()
	w, err := st.session.node.cfg.RequestHandler.Handle(ctx, &in.request)
	if in.pipe != nil && err != nil {
		_ = in.pipe.CloseWithError(errHandled)
	}
	if err != nil {
		return st.fail(in, err)
	}
	keep, err := st.answer(in, w)
	if in.pipe != nil {
		_ = in.pipe.CloseWithError(errHandled)
	}
	_ = w.Body.Close()
	return err == nil && keep
}

// fail answers with a failure.
func (st *inStream) fail(in *incoming, err error) bool {
	b, err := pollenlatch.Encode(toWire(err))
	if err != nil {
		return false
	}
	keep := st.keep(in)
	_, err = st.y.Write(appendNumbered(nil, kindFailure, in.number, append([]byte{keep}, b...)))
	return err == nil && keep == keepStream
}

// keep tells whether the stream can take the next head: the whole request was
// read, so nothing of it can be taken for a head.
func (st *inStream) keep(in *incoming) byte {
	if in.ended.Load() && st.ctx.Err() == nil {
		return keepStream
	}
	return dropStream
}

// answer writes an answer. An error leaves it without end mark.
func (st *inStream) answer(in *incoming, w *pollenlatch.Response) (bool, error) {
	b, err := pollenlatch.Encode(&w.ResponseHead)
	if err != nil {
		return false, err
	}
	if len(b) > maxHead {
		return false, errFrame
	}
	turn := pace.NewTransfer(st.session.node.cfg.Pacer, &in.request, w.Length)
	defer turn.End()
	p := buffers.Get().(*[]byte)
	defer buffers.Put(p)
	out := appendNumbered((*p)[:0], kindAnswer, in.number, b)
	// A short body of known length leaves in one write with its head.
	gather := w.Length >= 0 && w.Length <= smallBody
	var total int64
	for {
		start := len(out)
		out = appendFrame(out, kindChunk, nil)
		n, err := readChunk(w.Body, &out, gather)
		total += int64(n)
		putLength(out[start:], n)
		if n == 0 {
			out = out[:start]
		}
		want := bodyLength(in.request.Method, &w.ResponseHead)
		if errors.Is(err, io.EOF) && want >= 0 && total != want {
			err = io.ErrUnexpectedEOF
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return false, err
		}
		if err := turn.Wait(st.ctx, n); err != nil {
			return false, err
		}
		if err == nil {
			if _, err := st.y.Write(out); err != nil {
				return false, err
			}
			out = out[:0]
			continue
		}
		keep := st.keep(in)
		out = appendFrame(out, kindEnd, []byte{keep})
		_, err = st.y.Write(out)
		return keep == keepStream, err
	}
}

// readChunk appends up to one chunk of the body to out, in one read, or with
// gather until the chunk is full or the body ends.
func readChunk(body io.Reader, out *[]byte, gather bool) (int, error) {
	start := len(*out)
	room := min(maxChunk, cap(*out)-start)
	if room <= 0 {
		room = maxChunk
	}
	if cap(*out)-start < room {
		*out = append(make([]byte, 0, start+room+frameHeader+1), *out...)
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
