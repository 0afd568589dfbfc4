package front

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// maxBufferedBodyBytes is the maximum size of a body that is read
	// completely before the request is routed. Such a request can always be
	// retried.
	maxBufferedBodyBytes = 16 << 10
	// maxReplayBytes limits how much of a longer body is buffered for retries.
	maxReplayBytes = 64 << 10
)

// Errors from reading a body.
var (
	errSuperseded    = errors.New("request body was taken over by a later attempt")
	errNotReplayable = errors.New("request body is no longer buffered for another attempt")
)

// rewindableBody is a body that can be read again by another attempt.
type rewindableBody interface {
	// rewind returns the body from its start, or nil when the start is no
	// longer buffered. Readers of earlier attempts fail from then on.
	rewind() io.Reader
	// notRewindable reports whether rewind would return nil.
	notRewindable() bool
}

// bufferedBody is a body that is completely in memory.
type bufferedBody struct {
	data []byte
	off  int
}

// Read implements io.Reader.
func (m *bufferedBody) Read(p []byte) (int, error) {
	if m.off == len(m.data) {
		return 0, io.EOF
	}
	n := copy(p, m.data[m.off:])
	m.off += n
	return n, nil
}

// Len returns the number of unread bytes.
func (m *bufferedBody) Len() int { return len(m.data) - m.off }

func (m *bufferedBody) rewind() io.Reader { return &bufferedBody{data: m.data} }

func (m *bufferedBody) notRewindable() bool { return false }

// replayBody buffers the start of a body while it is read, for a later attempt.
// A read by an earlier attempt may still wait for the caller when a later
// attempt starts; the bytes that it returns are buffered for the later attempt.
type replayBody struct {
	src        io.Reader
	discarded  atomic.Bool // buf no longer holds the start of the body
	fullyRead  atomic.Bool // src has reached io.EOF
	generation atomic.Int32

	mu  sync.Mutex // held during a read of src
	buf []byte
	err error // from src
}

func newReplayBody(src io.Reader) *replayBody { return &replayBody{src: src} }

// stop makes all later reads fail, and waits for a read in progress.
func (r *replayBody) stop() {
	r.generation.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.discarded.Store(true)
}

func (r *replayBody) notRewindable() bool { return r.discarded.Load() }

func (r *replayBody) rewind() io.Reader {
	if r.discarded.Load() {
		return nil
	}
	return &attemptBody{replayBody: r, generation: r.generation.Add(1)}
}

// attemptBody is the body for one attempt.
type attemptBody struct {
	*replayBody
	generation   int32
	off          int
	passedBuffer bool // it read the bytes that did not fit in the buffer
}

// Read implements io.Reader.
func (a *attemptBody) Read(p []byte) (int, error) {
	r := a.replayBody
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.generation != r.generation.Load() {
		return 0, errSuperseded
	}
	if !r.discarded.Load() && a.off < len(r.buf) {
		n := copy(p, r.buf[a.off:])
		a.off += n
		return n, nil
	}
	if r.discarded.Load() && !a.passedBuffer {
		return 0, errNotReplayable // an earlier attempt overflowed the buffer after this one began
	}
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.src.Read(p)
	if !r.discarded.Load() && len(r.buf)+n <= maxReplayBytes {
		r.buf = append(r.buf, p[:n]...)
		a.off += n
	} else {
		r.discarded.Store(true)
		r.buf = nil
		a.passedBuffer = true
	}
	if err != nil {
		r.err = err
	}
	if errors.Is(err, io.EOF) {
		r.fullyRead.Store(true)
	}
	return n, err
}
