package link

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// stalling is a connection whose writes wait while it is held up.
type stalling struct {
	net.Conn
	hold *atomic.Pointer[chan struct{}]
}

func (s stalling) Write(b []byte) (int, error) {
	if c := s.hold.Load(); c != nil {
		<-*c
	}
	return s.Conn.Write(b)
}

// A link that is full for a moment must delay the requests on it, not break them.
func TestFullLinkBreaksNoRequest(t *testing.T) {
	_, addr := testNode(t, "b", func(c *Config) { c.RequestHandler = pollenlatch.HandlerFunc(echo) })
	var hold atomic.Pointer[chan struct{}]
	client, _ := testNode(t, "a", func(c *Config) {
		c.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", addr)
			return stalling{conn, &hold}, err
		}
	})
	full := make(chan struct{})
	data := bytes.Repeat([]byte("x"), 100<<10)
	body := io.MultiReader(bytes.NewReader(data[:50<<10]), readerFunc(func([]byte) (int, error) {
		hold.Store(&full)
		time.AfterFunc(2*DefaultControlWriteTimeout, func() {
			hold.Store(nil)
			close(full)
		})
		return 0, io.EOF
	}), bytes.NewReader(data[50<<10:]))
	w, err := client.Forward(t.Context(), addr, request(body, int64(len(data))))
	require.NoError(t, err)
	got, err := io.ReadAll(w.Body)
	require.NoError(t, err)
	require.Equal(t, data, got)
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }
