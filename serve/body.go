package serve

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"pollenlatch"
)

// minReadAheadBytes is the part of a response that is always buffered, whatever other
// responses hold. One connection of a caller holds as much elsewhere.
const minReadAheadBytes = 16 << 10

// readAheadBudget limits the memory of the buffered parts of all responses. Callers that
// read slowly then occupy slots of the server and not the memory of the process. The zero
// value has no limit.
type readAheadBudget struct {
	limit int64 // bytes; 0 is unlimited
	used  atomic.Int64
}

// readAhead buffers the start of a response within the budget, and up to maxBytes of it.
func (b *readAheadBudget) readAhead(resp *pollenlatch.Response, maxBytes int) (*pollenlatch.Response, error) {
	need := int64(maxBytes)
	if resp.Length >= 0 {
		need = min(need, resp.Length)
	}
	if b.limit <= 0 || need <= minReadAheadBytes {
		return readAhead(resp, maxBytes)
	}
	if b.used.Add(need) > b.limit {
		b.used.Add(-need)
		return readAhead(resp, min(maxBytes, minReadAheadBytes))
	}
	release := sync.OnceFunc(func() { b.used.Add(-need) })
	resp, err := readAhead(resp, maxBytes)
	if err != nil {
		release()
		return nil, err
	}
	resp.Body = &budgetedBody{ReadCloser: resp.Body, release: release}
	return resp, nil
}

// budgetedBody is a body whose buffered part counts for the budget until it was read or
// closed.
type budgetedBody struct {
	io.ReadCloser
	release func()
}

func (b *budgetedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.release()
	}
	return n, err
}

func (b *budgetedBody) Close() error {
	b.release()
	return b.ReadCloser.Close()
}

// readAhead buffers the first maxBytes bytes of a response body before any of it
// is passed on. The server is free as soon as it has sent a body that fits,
// however slowly the caller reads, and a truncated body can still be replaced by
// another response.
func readAhead(resp *pollenlatch.Response, maxBytes int) (*pollenlatch.Response, error) {
	size := maxBytes
	if resp.Length >= 0 && resp.Length < int64(maxBytes) {
		size = int(resp.Length)
	}
	var b bytes.Buffer
	if resp.Length >= 0 {
		b.Grow(size + bytes.MinRead)
	}
	n, err := b.ReadFrom(io.LimitReader(resp.Body, int64(size)))
	if err != nil {
		_ = resp.Body.Close()
		return nil, err
	}
	head := resp.ResponseHead
	if n < int64(size) && resp.Length >= 0 {
		_ = resp.Body.Close()
		return nil, io.ErrUnexpectedEOF
	}
	if n < int64(maxBytes) {
		if err := expectEOF(resp.Body); err != nil {
			return nil, err
		}
		head.Length = n
		return &pollenlatch.Response{ResponseHead: head, Body: io.NopCloser(&b)}, nil
	}
	return &pollenlatch.Response{ResponseHead: head, Body: prefixedBody{io.MultiReader(&b, resp.Body), resp.Body}}, nil
}

func expectEOF(body io.ReadCloser) error {
	defer func() { _ = body.Close() }()
	var b [1]byte
	switch _, err := io.ReadFull(body, b[:]); {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	default:
		return errBodyTooLong
	}
}

var errBodyTooLong = errors.New("response body is longer than its stated length")

// prefixedBody reads the buffered start of a body and then its rest.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// trackResponse returns resp with a body that ends the request when it has been
// read to its end or closed.
func trackResponse(resp *pollenlatch.Response, permit pollenlatch.Permit, maxRun time.Duration, release func()) *pollenlatch.Response {
	b := &trackedBody{ReadCloser: resp.Body, permit: permit, maxRun: maxRun, release: release}
	if resp.Length == 0 {
		b.finish(true) // there is nothing to read
	}
	return &pollenlatch.Response{ResponseHead: resp.ResponseHead, Body: b}
}

// trackedBody is the body of a response whose request is still in flight.
type trackedBody struct {
	io.ReadCloser
	permit  pollenlatch.Permit
	maxRun  time.Duration
	release func()
	once    sync.Once
}

// Read ends the request on any error, io.EOF included. By then the wrapped body
// has completed the idempotency record.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.finish(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close ends the request.
func (b *trackedBody) Close() error {
	err := b.ReadCloser.Close()
	b.finish(false)
	return err
}

// finish ends the request. completed means that the server sent the whole
// response.
func (b *trackedBody) finish(completed bool) {
	b.once.Do(func() {
		releasePermit(b.permit, completed, b.maxRun)
		b.release()
	})
}
