// Package crash finds the requests under which servers end. A request that crashes each
// server that runs it would otherwise take one server after the other out of service,
// since its caller, or the router on its behalf, tries it again elsewhere.
package crash

import (
	"bytes"
	"errors"
	"io"
	"sync"

	"github.com/cespare/xxhash/v2"

	"pollenlatch"
)

// maxBodyBytes is how much of a body is part of the fingerprint.
const maxBodyBytes = 16 << 10

// headerHost is the header with the host of a request that was routed by host and path.
const headerHost = "Host"

// headDigest returns the digest of what identifies a request besides its body. The ID is
// not part of it, since each attempt of a caller has its own.
func headDigest(h *pollenlatch.RequestHead) uint64 {
	var d xxhash.Digest
	d.Reset()
	add := func(s string) {
		_, _ = d.WriteString(s) // never fails
		_, _ = d.Write([]byte{0})
	}
	add(h.Method)
	add(h.URI)
	add(h.Caller)
	if !h.Routed() {
		add(h.Service)
		add(h.Key)
		return d.Sum64()
	}
	for i := range h.Header {
		if h.Header[i].Name == headerHost {
			add(h.Header[i].Value)
		}
	}
	return d.Sum64()
}

// bodyDigest returns the digest of the start of a body, or 0 for an empty one.
func bodyDigest(prefix []byte) uint64 {
	if len(prefix) == 0 {
		return 0
	}
	return xxhash.Sum64(prefix[:min(len(prefix), maxBodyBytes)])
}

// peekBody returns the digest of the body of a request. It replaces the body by one
// that returns the same bytes.
func peekBody(r *pollenlatch.Request) (uint64, error) {
	if r.Body == nil || r.Length == 0 {
		return 0, nil
	}
	prefix := make([]byte, maxBodyBytes)
	n, err := io.ReadFull(r.Body, prefix)
	prefix = prefix[:n]
	rest := r.Body
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		rest = bytes.NewReader(nil)
	case err != nil:
		return 0, err
	}
	r.Body = io.MultiReader(bytes.NewReader(prefix), rest)
	return bodyDigest(prefix), nil
}

// hashingBody computes the digest of the start of a body while it is read.
type hashingBody struct {
	io.Reader

	mu     sync.Mutex
	digest xxhash.Digest
	hashed int // bytes
}

func newHashingBody(r io.Reader) *hashingBody {
	b := &hashingBody{Reader: r}
	b.digest.Reset()
	return b
}

// Read implements io.Reader.
func (b *hashingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.mu.Lock()
	defer b.mu.Unlock()
	if left := maxBodyBytes - b.hashed; left > 0 && n > 0 {
		k, _ := b.digest.Write(p[:min(n, left)]) // never fails
		b.hashed += k
	}
	return n, err
}

func (b *hashingBody) sum() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.hashed == 0 {
		return 0
	}
	return b.digest.Sum64()
}
