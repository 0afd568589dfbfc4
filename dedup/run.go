package dedup

import (
	"bytes"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenlatch"
)

// Run is the first run of a request. It ends with Fail, or when the body of the
// response that RecordResponse returned is read to its end or closed.
type Run struct {
	store *Store
	rec   *record
	ttl   time.Duration
	body  *hashingReader // nil when the request has no body
	once  sync.Once
}

func newRun(s *Store, rec *record, r *pollenlatch.Request, ttl time.Duration) *Run {
	run := &Run{store: s, rec: rec, ttl: ttl}
	if r.Body != nil {
		run.body = &hashingReader{r: r.Body}
		run.body.hash.Reset()
	}
	return run
}

// Body returns the body of the request, or nil. It computes the digest that the body
// of a retry must match, so it must be read instead of the original body.
func (run *Run) Body() io.Reader {
	if run.body == nil {
		return nil
	}
	return run.body
}

// MarkStarted records that the request is about to be sent. Until then, a hand-over
// treats the request as not run.
func (run *Run) MarkStarted() {
	run.store.mu.Lock()
	defer run.store.mu.Unlock()
	run.rec.started = true
}

// Fail ends a run without a response. OutcomeNotRun removes the record, and a waiting
// retry may run. Further calls have no effect.
func (run *Run) Fail(o pollenlatch.Outcome) {
	if o != pollenlatch.OutcomeNotRun {
		run.finish(stateUnknown, nil)
		return
	}
	run.once.Do(func() {
		run.store.mu.Lock()
		defer run.store.mu.Unlock()
		run.store.remove(run.rec)
		close(run.rec.done)
	})
}

// RecordResponse returns resp with a body that is recorded while it is read. The run
// ends when the body has been read to its end. If reading fails, or the body is closed
// early, the outcome is unknown.
func (run *Run) RecordResponse(resp *pollenlatch.Response) *pollenlatch.Response {
	b := &recordingBody{ReadCloser: resp.Body, run: run, head: resp.ResponseHead}
	if resp.Length == 0 {
		// An empty body need not be read.
		run.finish(stateRan, b.storedResponse())
	}
	return &pollenlatch.Response{ResponseHead: resp.ResponseHead, Body: b}
}

func (run *Run) finish(state runState, resp *storedResponse) {
	run.once.Do(func() {
		run.store.mu.Lock()
		defer run.store.mu.Unlock()
		if run.body != nil {
			run.rec.bodyDigest, run.rec.bodySize = run.body.digest()
		}
		run.store.finish(run.rec, state, resp, time.Now().Add(run.ttl))
	})
}

// hashingReader computes the digest of the bytes that are read from it.
type hashingReader struct {
	r    io.Reader
	mu   sync.Mutex
	hash xxhash.Digest
	size int64
}

func (h *hashingReader) Read(b []byte) (int, error) {
	n, err := h.r.Read(b)
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _ = h.hash.Write(b[:n])
	h.size += int64(n)
	return n, err
}

func (h *hashingReader) digest() (digest uint64, size int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hash.Sum64(), h.size
}

// bodyMatches reports whether the first size bytes of the body of r have the digest.
func bodyMatches(r *pollenlatch.Request, size int64, digest uint64) bool {
	if size == 0 {
		return true
	}
	if r.Body == nil {
		return false
	}
	var d xxhash.Digest
	d.Reset()
	n, err := io.CopyN(&d, r.Body, size)
	return err == nil && n == size && d.Sum64() == digest
}

// recordingBody keeps a copy of the bytes that are read from it.
type recordingBody struct {
	io.ReadCloser
	run     *Run
	head    pollenlatch.ResponseHead
	mu      sync.Mutex
	data    []byte
	tooLong bool // longer than MaxBodyBytes; data is dropped
}

func (b *recordingBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buffer(p[:n])
	switch err { //nolint:errorlint // a wrapped io.EOF is not the end of the body
	case nil:
	case io.EOF:
		b.run.finish(stateRan, b.storedResponse())
	default:
		b.run.Fail(pollenlatch.OutcomeUnknown)
	}
	return n, err
}

func (b *recordingBody) buffer(p []byte) {
	if b.tooLong || len(b.data)+len(p) > b.run.store.cfg.MaxBodyBytes {
		b.tooLong = true
		b.data = nil
		return
	}
	b.data = append(b.data, p...)
}

func (b *recordingBody) storedResponse() *storedResponse {
	if b.tooLong {
		return nil
	}
	head := b.head
	head.Header = slices.Clone(head.Header)
	return &storedResponse{head: head, body: b.data}
}

// Close ends the run. The outcome is unknown unless the body was read to its end.
func (b *recordingBody) Close() error {
	err := b.ReadCloser.Close()
	b.run.Fail(pollenlatch.OutcomeUnknown)
	return err
}

func (s *storedResponse) cost() int {
	n := len(s.body)
	for _, h := range s.head.Header {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

func (s *storedResponse) toResponse() *pollenlatch.Response {
	head := s.head
	head.Header = slices.Clone(head.Header)
	return &pollenlatch.Response{ResponseHead: head, Body: io.NopCloser(bytes.NewReader(s.body))}
}
