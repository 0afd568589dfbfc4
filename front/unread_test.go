package front

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// sendTimeout is how long a caller of these tests takes to notice a response.
const sendTimeout = 100 * time.Millisecond

// tcpServer returns the address of a server on a TCP socket.
func tcpServer(t *testing.T, h pollenlatch.HandlerFunc) string {
	t.Helper()
	s, err := NewServer(Config{Control: newFakeControl(1), Handler: h})
	require.NoError(t, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() {
		_ = s.Close()
		<-s.Done()
		<-time.After(lingerTime + sendTimeout) // net/http waits in its goroutine
	})
	return l.Addr().String()
}

// Guards against refusals that the caller does not get, because its connection is reset
// while it still sends its body. To the caller such a request may have run.
func TestRefusalDuringBodyReachesCaller(t *testing.T) {
	for _, c := range []struct {
		name, path string
		size       int
	}{
		{"large body, by the handler", "/s/claims/k", 360_000},
		{"body of the usual size, by the handler", "/s/claims/k", 60_000},
		{"large body, by the head", "/nowhere", 360_000},
		{"body of the usual size, by the head", "/nowhere", 60_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			var calls atomic.Int32
			conn, err := net.Dial("tcp", tcpServer(t, func(context.Context, *pollenlatch.Request) (*pollenlatch.Response, error) {
				calls.Add(1)
				return nil, failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonOverloaded, http.StatusServiceUnavailable)
			}))
			require.NoError(t, err)
			defer func() { _ = conn.Close() }()
			_, err = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", c.path, c.size)
			require.NoError(t, err)
			writeErr := make(chan error, 1)
			go func() {
				// A body that is a request, in case that its bytes are parsed as one.
				body := strings.Repeat(getRequest, 1+c.size/len(getRequest))
				for n := 0; n < c.size; n += 10_000 {
					if _, err := io.WriteString(conn, body[n:n+10_000]); err != nil {
						writeErr <- err
						return
					}
					<-time.After(sendTimeout / 50)
				}
				writeErr <- nil
			}()
			select {
			case err := <-writeErr:
				require.NoError(t, err, "the connection was reset while the caller sent its body")
			case <-time.After(sendTimeout):
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			_, err = io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			require.True(t, resp.Close, "the connection stays open behind an unread body")
			require.LessOrEqual(t, calls.Load(), int32(1), "a part of the body was parsed as a request")
		})
	}
}
