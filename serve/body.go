package serve

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"time"

	"pollenlatch"
)

// readAhead reads an answer of up to most bytes to its end, and a longer one so
// far. A server is free again once it has sent its answer, however slow the
// caller is; and an answer that is cut short can still be replaced, since none of
// it has left.
func readAhead(resp *pollenlatch.Response, most int) (*pollenlatch.Response, error) {
	size := most
	if resp.Length >= 0 && resp.Length < int64(most) {
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
	if n < int64(most) {
		if err := atEnd(resp.Body); err != nil {
			return nil, err
		}
		head.Length = n
		return &pollenlatch.Response{ResponseHead: head, Body: io.NopCloser(&b)}, nil
	}
	return &pollenlatch.Response{ResponseHead: head, Body: joined{io.MultiReader(&b, resp.Body), resp.Body}}, nil
}

// atEnd reads the end of a body.
func atEnd(body io.ReadCloser) error {
	defer func() { _ = body.Close() }()
	var b [1]byte
	switch _, err := io.ReadFull(body, b[:]); {
	case errors.Is(err, io.EOF):
		return nil
	case err != nil:
		return err
	default:
		return errLonger
	}
}

// errLonger says that a body goes on after its stated length.
var errLonger = errors.New("answer is longer than stated")

// joined is the rest of a body with what was read of it before.
type joined struct {
	io.Reader
	io.Closer
}

// counted returns resp with a body that ends the request when it has been read
// or closed.
func counted(resp *pollenlatch.Response, pass pollenlatch.Permit, maxRun time.Duration, release func()) *pollenlatch.Response {
	b := &body{ReadCloser: resp.Body, pass: pass, maxRun: maxRun, release: release}
	if resp.Length == 0 {
		b.end(true) // there is nothing to read
	}
	return &pollenlatch.Response{ResponseHead: resp.ResponseHead, Body: b}
}

// body is the body of an answer whose request is still counted.
type body struct {
	io.ReadCloser
	pass    pollenlatch.Permit
	maxRun  time.Duration
	release func()
	once    sync.Once
}

// Read ends the request with any error, io.EOF included. The wrapped body has
// completed the idempotency record before.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end(errors.Is(err, io.EOF))
	}
	return n, err
}

// Close ends the request.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.end(false)
	return err
}

// end ends the request. whole means that the server has finished it.
func (b *body) end(whole bool) {
	b.once.Do(func() {
		exit(b.pass, whole, b.maxRun)
		b.release()
	})
}
