package front

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// endlessBody is a body without an end that counts the bytes that are read.
type endlessBody struct {
	read   atomic.Int64
	closed chan struct{}
}

func (b *endlessBody) Read(p []byte) (int, error) {
	b.read.Add(int64(len(p)))
	return len(p), nil
}

func (b *endlessBody) Close() error { close(b.closed); return nil }

// Guards against callers that do not read their responses and hold memory, a connection
// and a request for as long as they like.
func TestServerSlowReader(t *testing.T) {
	var body *endlessBody
	testServer(t, func(context.Context, *pollenlatch.Request) (*pollenlatch.Response, error) {
		return &pollenlatch.Response{ResponseHead: pollenlatch.ResponseHead{Status: http.StatusOK, Length: 1 << 40}, Body: body}, nil
	}, func(c *Config) { c.StallTimeout = 3 * time.Second }, func(fx *serverFixture) {
		body = &endlessBody{closed: make(chan struct{})}
		c := fx.dial()
		_, err := io.WriteString(c, getRequest)
		require.NoError(fx, err)
		_, err = io.ReadFull(c, make([]byte, 100))
		require.NoError(fx, err)
		start := time.Now()
		<-body.closed
		require.InDelta(fx, 3, time.Since(start).Seconds(), 0.1, "fake time")
		require.LessOrEqual(fx, body.read.Load(), int64(2*copyBufferBytes), "bytes held for a caller that does not read")
		_, _ = io.Copy(io.Discard, c) // until the connection is closed
		require.NoError(fx, c.Close())
	})
}

// Guards against callers that send a body which nobody has asked for yet, and fill the
// memory with it.
func TestServerReadsBodyOnDemand(t *testing.T) {
	const size = 300_000
	testServer(t, func(_ context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		<-time.After(2 * time.Second) // it waits for its slot
		_, err := io.Copy(io.Discard, r.Body)
		require.NoError(t, err)
		return okResponse("ok"), nil
	}, nil, func(fx *serverFixture) {
		c := fx.dial()
		var sent atomic.Int64
		go func() {
			_, _ = fmt.Fprintf(c, "POST /s/claims/k HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
			for range size / 1000 {
				n, _ := io.WriteString(c, strings.Repeat("x", 1000))
				sent.Add(int64(n))
			}
		}()
		<-time.After(time.Second)
		require.LessOrEqual(fx, sent.Load(), int64(2*readBufferBytes), "bytes taken from the caller before they were asked for")
		b := make([]byte, 12)
		_, err := io.ReadFull(c, b)
		require.NoError(fx, err)
		require.Equal(fx, "HTTP/1.1 200", string(b))
		synctest.Wait() // until the last write is counted
		require.EqualValues(fx, size, sent.Load())
		require.NoError(fx, c.Close())
	})
}
