package serve

import (
	"errors"
	"io"
	"sync"
	"time"

	"pollenlatch"
)

// counted returns resp with a body that ends the request when it has been read
// or closed.
func counted(resp *pollenlatch.Response, pass pollenlatch.Pass, maxRun time.Duration, release func()) *pollenlatch.Response {
	b := &body{ReadCloser: resp.Body, pass: pass, maxRun: maxRun, release: release}
	if resp.Length == 0 {
		b.end(true) // there is nothing to read
	}
	return &pollenlatch.Response{ResponseHead: resp.ResponseHead, Body: b}
}

// body is the body of an answer whose request is still counted.
type body struct {
	io.ReadCloser
	pass    pollenlatch.Pass
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
