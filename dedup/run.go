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

// Run is the first run of a request. It must end with Fail, or with the body
// of the response that Response returned.
type Run struct {
	store *Store
	rec   *record
	ttl   time.Duration
	body  *hashed // nil when the request has no body
	once  sync.Once
}

func newRun(s *Store, rec *record, r *pollenlatch.Request, ttl time.Duration) *Run {
	run := &Run{store: s, rec: rec, ttl: ttl}
	if r.Body != nil {
		run.body = &hashed{r: r.Body}
		run.body.hash.Reset()
	}
	return run
}

// Body returns the request's body, or nil. The run must read it from here.
func (u *Run) Body() io.Reader {
	if u.body == nil {
		return nil
	}
	return u.body
}

// MarkStarted notes that the request is about to be sent. Before it, a hand-over
// treats the request as not run.
func (u *Run) MarkStarted() {
	u.store.mu.Lock()
	defer u.store.mu.Unlock()
	u.rec.began = true
}

// Fail ends a run without an answer. After OutcomeNotRun the record is gone, and a
// waiting repeat becomes the first. Further calls do nothing.
func (u *Run) Fail(o pollenlatch.Outcome) {
	if o != pollenlatch.OutcomeNotRun {
		u.finish(unknown, nil)
		return
	}
	u.once.Do(func() {
		u.store.mu.Lock()
		defer u.store.mu.Unlock()
		u.store.remove(u.rec)
		close(u.rec.done)
	})
}

// RecordResponse returns resp with a body that is recorded while it is read. The run
// ends when the body was read to its end; when it fails or is closed earlier,
// the outcome is unknown.
func (u *Run) RecordResponse(resp *pollenlatch.Response) *pollenlatch.Response {
	b := &recorder{ReadCloser: resp.Body, run: u, head: resp.ResponseHead}
	if resp.Length == 0 {
		// Nobody has to read an empty body to its end.
		u.finish(ran, b.answer())
	}
	return &pollenlatch.Response{ResponseHead: resp.ResponseHead, Body: b}
}

func (u *Run) finish(st state, a *answer) {
	u.once.Do(func() {
		u.store.mu.Lock()
		defer u.store.mu.Unlock()
		if u.body != nil {
			u.rec.body, u.rec.size = u.body.sum()
		}
		u.store.finish(u.rec, st, a, time.Now().Add(u.ttl))
	})
}

// hashed computes the digest of what was read.
type hashed struct {
	r    io.Reader
	mu   sync.Mutex
	hash xxhash.Digest
	size int64
}

func (h *hashed) Read(b []byte) (int, error) {
	n, err := h.r.Read(b)
	h.mu.Lock()
	defer h.mu.Unlock()
	_, _ = h.hash.Write(b[:n])
	h.size += int64(n)
	return n, err
}

func (h *hashed) sum() (digest uint64, size int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hash.Sum64(), h.size
}

// sameBody reports whether the first size bytes of r's body have the digest.
func sameBody(r *pollenlatch.Request, size int64, digest uint64) bool {
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

// recorder keeps a copy of the body that passes through it.
type recorder struct {
	io.ReadCloser
	run  *Run
	head pollenlatch.ResponseHead
	mu   sync.Mutex
	data []byte
	long bool // longer than what is kept
}

func (b *recorder) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.keep(p[:n])
	switch err { //nolint:errorlint // a wrapped io.EOF is no clean end
	case nil:
	case io.EOF:
		b.run.finish(ran, b.answer())
	default:
		b.run.Fail(pollenlatch.OutcomeUnknown)
	}
	return n, err
}

func (b *recorder) keep(p []byte) {
	if b.long || len(b.data)+len(p) > b.run.store.cfg.MaxBodyBytes {
		b.long = true
		b.data = nil
		return
	}
	b.data = append(b.data, p...)
}

func (b *recorder) answer() *answer {
	if b.long {
		return nil
	}
	head := b.head
	head.Header = slices.Clone(head.Header)
	return &answer{head: head, body: b.data}
}

// Close ends the run. Its outcome is unknown unless the body was read to its
// end.
func (b *recorder) Close() error {
	err := b.ReadCloser.Close()
	b.run.Fail(pollenlatch.OutcomeUnknown)
	return err
}

func (a *answer) cost() int {
	n := len(a.body)
	for _, h := range a.head.Header {
		n += len(h.Name) + len(h.Value)
	}
	return n
}

func (a *answer) response() *pollenlatch.Response {
	head := a.head
	head.Header = slices.Clone(head.Header)
	return &pollenlatch.Response{ResponseHead: head, Body: io.NopCloser(bytes.NewReader(a.body))}
}
