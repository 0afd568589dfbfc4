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

// stallingConn is a connection whose writes block while stalled holds a channel,
// until that channel is closed.
type stallingConn struct {
	net.Conn
	stalled *atomic.Pointer[chan struct{}]
}

func (s stallingConn) Write(b []byte) (int, error) {
	if c := s.stalled.Load(); c != nil {
		<-*c
	}
	return s.Conn.Write(b)
}

// A link that is saturated for a moment must delay the requests on it, not fail them.
func TestFullLinkDelaysRequests(t *testing.T) {
	_, addr := testNode(t, "b", func(c *Config) { c.RequestHandler = pollenlatch.HandlerFunc(echo) })
	var stalled atomic.Pointer[chan struct{}]
	client, _ := testNode(t, "a", func(c *Config) {
		c.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
			var d net.Dialer
			conn, err := d.DialContext(ctx, "tcp", addr)
			return stallingConn{conn, &stalled}, err
		}
	})
	resume := make(chan struct{})
	data := bytes.Repeat([]byte("x"), 100<<10)
	body := io.MultiReader(bytes.NewReader(data[:50<<10]), readerFunc(func([]byte) (int, error) {
		stalled.Store(&resume)
		time.AfterFunc(2*DefaultControlWriteTimeout, func() {
			stalled.Store(nil)
			close(resume)
		})
		return 0, io.EOF
	}), bytes.NewReader(data[50<<10:]))
	resp, err := client.Forward(t.Context(), addr, request(body, int64(len(data))))
	require.NoError(t, err)
	got, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, data, got)
}

type readerFunc func([]byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }
