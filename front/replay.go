package front

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// smallBody is the size in bytes up to which a body is read before the
	// request is routed. Such a request can always be repeated.
	smallBody = 16 << 10
	// replayBytes bounds what is kept of a longer body to repeat it.
	replayBytes = 64 << 10
)

// Errors of bodies.
var (
	errSuperseded = errors.New("a later attempt reads the body")
	errReplay     = errors.New("the body cannot be repeated")
)

// rewinder is a body that can be given to another attempt.
type rewinder interface {
	// rewind returns the body from its start, or nil when that is no longer
	// known. The reader of the earlier attempt gets an error.
	rewind() io.Reader
	// gone reports whether rewind returns nil.
	gone() bool
}

// memory is a body that was read already.
type memory struct {
	data []byte
	off  int
}

// Read implements io.Reader.
func (m *memory) Read(p []byte) (int, error) {
	if m.off == len(m.data) {
		return 0, io.EOF
	}
	n := copy(p, m.data[m.off:])
	m.off += n
	return n, nil
}

// Len returns the bytes that are left.
func (m *memory) Len() int { return len(m.data) - m.off }

func (m *memory) rewind() io.Reader { return &memory{data: m.data} }

func (m *memory) gone() bool { return false }

// replay keeps the start of a body that arrives, for a later attempt. A read
// of an earlier attempt may still wait for the caller while a later attempt
// starts; what it gets is kept for that attempt.
type replay struct {
	src   io.Reader
	lost  atomic.Bool // more than replayBytes was read
	ended atomic.Bool // the whole body was read
	turn  atomic.Int32

	mu  sync.Mutex // held during a read of src
	buf []byte
	err error // of src
}

func newReplay(src io.Reader) *replay { return &replay{src: src} }

// stop lets no attempt read the body any more, and waits for a read in progress.
func (r *replay) stop() {
	r.turn.Add(1)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost.Store(true)
}

func (r *replay) gone() bool { return r.lost.Load() }

func (r *replay) rewind() io.Reader {
	if r.lost.Load() {
		return nil
	}
	return &attempt{replay: r, turn: r.turn.Add(1)}
}

// attempt is the body as one attempt reads it.
type attempt struct {
	*replay
	turn int32
	off  int
	past bool // it has read more than is kept
}

// Read implements io.Reader.
func (a *attempt) Read(p []byte) (int, error) {
	r := a.replay
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.turn != r.turn.Load() {
		return 0, errSuperseded
	}
	if !r.lost.Load() && a.off < len(r.buf) {
		n := copy(p, r.buf[a.off:])
		a.off += n
		return n, nil
	}
	if r.lost.Load() && !a.past {
		return 0, errReplay // an earlier attempt read on after this one began
	}
	if r.err != nil {
		return 0, r.err
	}
	n, err := r.src.Read(p)
	if !r.lost.Load() && len(r.buf)+n <= replayBytes {
		r.buf = append(r.buf, p[:n]...)
		a.off += n
	} else {
		r.lost.Store(true)
		r.buf = nil
		a.past = true
	}
	if err != nil {
		r.err = err
	}
	if errors.Is(err, io.EOF) {
		r.ended.Store(true)
	}
	return n, err
}
