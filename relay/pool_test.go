package relay

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// Telling "unknown" for a connection that was closed while idle would make a
// non-idempotent request fail without need.
func TestStaleConnection(t *testing.T) {
	for name, spoil := range map[string]func(f *fake, c *conn){
		"found by the probe": func(f *fake, _ *conn) { _ = (*f.last.Load()).Close() },
		"found by the write": func(_ *fake, c *conn) { c.Conn = deaf{c.Conn} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fake{}
				l := f.relay(t)
				_, err := call(l, post("abc"))
				require.NoError(t, err)
				synctest.Wait()
				require.Len(t, l.pool.idle, 1)
				spoil(f, l.pool.idle[0])
				synctest.Wait()
				_, err = call(l, post("abc"))
				require.NoError(t, err)
				require.EqualValues(t, 2, f.opened.Load())
				require.EqualValues(t, 2, f.served.Load())
				require.Zero(t, l.pool.used)
			})
		})
	}
}

// An idle connection of the system that is closed, or that holds bytes of no
// request, must not be used.
func TestAlive(t *testing.T) {
	pair := func(t *testing.T) (*conn, net.Conn) {
		t.Helper()
		fds, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
		require.NoError(t, err)
		var ends [2]net.Conn
		for i, fd := range fds {
			f := os.NewFile(uintptr(fd), "pair")
			ends[i], err = net.FileConn(f)
			require.NoError(t, err)
			require.NoError(t, f.Close())
			t.Cleanup(func() { _ = ends[i].Close() })
		}
		return newConn(ends[0], "", 0), ends[1]
	}
	t.Run("open", func(t *testing.T) {
		c, _ := pair(t)
		require.True(t, c.alive())
		require.True(t, c.alive())
	})
	t.Run("past the deadline of its last exchange", func(t *testing.T) {
		c, _ := pair(t)
		require.NoError(t, c.SetDeadline(time.Unix(1, 0)))
		require.True(t, c.alive())
	})
	t.Run("closed", func(t *testing.T) {
		c, far := pair(t)
		require.NoError(t, far.Close())
		require.False(t, c.alive())
	})
	t.Run("bytes of no request", func(t *testing.T) {
		c, far := pair(t)
		_, err := io.WriteString(far, "x")
		require.NoError(t, err)
		require.False(t, c.alive())
	})
	t.Run("closed here", func(t *testing.T) {
		c, _ := pair(t)
		require.NoError(t, c.Close())
		require.False(t, c.alive())
	})
}

// A server that refuses a long request without reading it must not turn its
// refusal into an unknown outcome.
func TestEarlyAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = ln.Close() }()
	done := make(chan struct{})
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		_, _ = http.ReadRequest(bufio.NewReader(c))
		_, _ = io.WriteString(c, "HTTP/1.1 409 Conflict\r\nPollen-Outcome: not-run\r\nContent-Length: 2\r\n\r\nno")
		<-done
		_ = c.Close()
	}()
	defer close(done)
	l := New(Config{})
	defer l.Close()
	l.SetEndpoint(pollenlatch.Endpoint{Addr: ln.Addr().String(), MaxConns: 1})
	_, err = call(l, post(strings.Repeat("a", 64<<20)))
	requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonServerRefused, 503)
	require.Empty(t, l.pool.idle, "a connection in the middle of a request was kept")
}

// deaf looks open, but takes no byte.
type deaf struct{ net.Conn }

func (deaf) Read([]byte) (int, error)  { return 0, context.DeadlineExceeded }
func (deaf) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// More connections than the server accepts would be closed by it after
// requests were written to them.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fake{script: func(c net.Conn, _ *http.Request) {
			<-time.After(time.Second)
			_, _ = io.WriteString(c, okAnswer)
		}}
		l := f.relay(t)
		errs := make(chan error)
		for range 6 {
			go func() {
				_, err := call(l, get())
				errs <- err
			}()
		}
		for range 6 {
			require.NoError(t, <-errs)
		}
		require.EqualValues(t, 2, f.peak.Load())
		require.EqualValues(t, 2, f.opened.Load())

		l.SetEndpoint(pollenlatch.Endpoint{Addr: "server:80", MaxConns: 2, Draining: true})
		_, err := call(l, get())
		require.NoError(t, err)
		require.EqualValues(t, 2, f.opened.Load(), "other facts of the same server need no new connections")
		l.SetEndpoint(pollenlatch.Endpoint{})
		_, err = call(l, get())
		requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable, 503)
		synctest.Wait()
		require.Zero(t, f.open.Load())
	})
}
