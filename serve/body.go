package serve

import (
	"io"
	"sync"

	"pollenlatch"
)

// counted returns resp with a body that ends the request when it has been read
// or closed.
func counted(resp *pollenlatch.Response, pass pollenlatch.Pass, release func()) *pollenlatch.Response {
	b := &body{ReadCloser: resp.Body, pass: pass, release: release}
	if resp.Length == 0 {
		b.end() // there is nothing to read
	}
	return &pollenlatch.Response{ResponseHead: resp.ResponseHead, Body: b}
}

// body is the body of an answer whose request is still counted.
type body struct {
	io.ReadCloser
	pass    pollenlatch.Pass
	release func()
	once    sync.Once
}

// Read ends the request with any error, io.EOF included. The wrapped body has
// completed the idempotency record before.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err != nil {
		b.end()
	}
	return n, err
}

// Close ends the request.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.end()
	return err
}

func (b *body) end() {
	b.once.Do(func() {
		b.pass.Exit()
		b.release()
	})
}
