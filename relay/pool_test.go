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

// If a connection that was closed while idle gave an unknown outcome, a request that
// is not idempotent would fail unnecessarily.
func TestStaleIdleConnection(t *testing.T) {
	for name, breakConn := range map[string]func(f *fakeServer, c *conn){
		"detected by the probe": func(f *fakeServer, _ *conn) { _ = (*f.lastConn.Load()).Close() },
		"detected by the write": func(_ *fakeServer, c *conn) { c.Conn = unwritableConn{c.Conn} },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fakeServer{}
				relay := f.newRelay(t)
				_, err := doExchange(relay, postRequest("abc"))
				require.NoError(t, err)
				synctest.Wait()
				require.Len(t, relay.pool.idle, 1)
				breakConn(f, relay.pool.idle[0])
				synctest.Wait()
				_, err = doExchange(relay, postRequest("abc"))
				require.NoError(t, err)
				require.EqualValues(t, 2, f.opened.Load())
				require.EqualValues(t, 2, f.served.Load())
				require.Zero(t, relay.pool.inUse)
			})
		})
	}
}

// An idle connection with a file descriptor must not be reused when it is closed, or
// when it has unread data.
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
	t.Run("deadline of the last exchange passed", func(t *testing.T) {
		c, _ := pair(t)
		require.NoError(t, c.SetDeadline(time.Unix(1, 0)))
		require.True(t, c.alive())
	})
	t.Run("closed by the peer", func(t *testing.T) {
		c, peer := pair(t)
		require.NoError(t, peer.Close())
		require.False(t, c.alive())
	})
	t.Run("unread data", func(t *testing.T) {
		c, peer := pair(t)
		_, err := io.WriteString(peer, "x")
		require.NoError(t, err)
		require.False(t, c.alive())
	})
	t.Run("closed locally", func(t *testing.T) {
		c, _ := pair(t)
		require.NoError(t, c.Close())
		require.False(t, c.alive())
	})
}

// When a server refuses a long request without reading it, the outcome must be "not
// run" and not unknown.
func TestEarlyRefusal(t *testing.T) {
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
	relay := New(Config{})
	defer relay.Close()
	relay.SetEndpoint(pollenlatch.Endpoint{Addr: ln.Addr().String(), MaxConns: 1})
	_, err = doExchange(relay, postRequest(strings.Repeat("a", 64<<20)))
	requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonServerRefused, 503)
	require.Empty(t, relay.pool.idle, "a connection with an incomplete request must not be kept")
}

// unwritableConn looks open, but its writes fail.
type unwritableConn struct{ net.Conn }

func (unwritableConn) Read([]byte) (int, error)  { return 0, context.DeadlineExceeded }
func (unwritableConn) Write([]byte) (int, error) { return 0, syscall.EPIPE }

// A server closes connections above its limit, also after requests were written to
// them.
func TestConnectionLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeServer{handle: func(c net.Conn, _ *http.Request) {
			<-time.After(time.Second)
			_, _ = io.WriteString(c, okResponse)
		}}
		relay := f.newRelay(t)
		errs := make(chan error)
		for range 6 {
			go func() {
				_, err := doExchange(relay, getRequest())
				errs <- err
			}()
		}
		for range 6 {
			require.NoError(t, <-errs)
		}
		require.EqualValues(t, 2, f.maxOpen.Load())
		require.EqualValues(t, 2, f.opened.Load())

		relay.SetEndpoint(pollenlatch.Endpoint{Addr: "server:80", MaxConns: 2, Draining: true})
		_, err := doExchange(relay, getRequest())
		require.NoError(t, err)
		require.EqualValues(t, 2, f.opened.Load(), "a changed endpoint of the same server must not open new connections")
		relay.SetEndpoint(pollenlatch.Endpoint{})
		_, err = doExchange(relay, getRequest())
		requireFailure(t, err, pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable, 503)
		synctest.Wait()
		require.Zero(t, f.open.Load())
	})
}
