package sock

import (
	"io"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connect returns the two ends of a TCP connection.
func connect(tb testing.TB) (client *net.TCPConn, server net.Conn) {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	defer func() { _ = l.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(tb, err)
	server, err = l.Accept()
	require.NoError(tb, err)
	tb.Cleanup(func() { _, _ = c.Close(), server.Close() })
	return c.(*net.TCPConn), server
}

// An open connection that counts as closed would cost a caller its response; a closed
// one that counts as open makes a server work for nobody.
func TestPeerClosed(t *testing.T) {
	write := func(c *net.TCPConn) error {
		_, err := io.WriteString(c, "data")
		return err
	}
	reset := func(c *net.TCPConn) error {
		if err := c.SetLinger(0); err != nil {
			return err
		}
		return c.Close()
	}
	for _, tt := range []struct {
		name   string
		steps  []func(c *net.TCPConn) error
		state  State
		closed bool
	}{
		{"open", nil, Idle, false},
		{"unread data", []func(*net.TCPConn) error{write}, Readable, false},
		{"closed", []func(*net.TCPConn) error{(*net.TCPConn).Close}, Closed, true},
		{"closed behind unread data", []func(*net.TCPConn) error{write, (*net.TCPConn).Close}, Readable, runtime.GOOS == "linux"},
		{"reset", []func(*net.TCPConn) error{reset}, Closed, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c, server := connect(t)
			raw := Raw(server)
			require.NotNil(t, raw)
			for _, step := range tt.steps {
				require.NoError(t, step(c))
			}
			require.Eventually(t, func() bool { return Peek(raw) == tt.state && PeerClosed(raw) == tt.closed }, time.Second, time.Millisecond)
		})
	}
	t.Run("another goroutine reads", func(t *testing.T) {
		c, server := connect(t)
		read := make(chan error, 1)
		go func() {
			_, err := server.Read(make([]byte, 1))
			read <- err
		}()
		require.False(t, PeerClosed(Raw(server)))
		require.NoError(t, c.Close())
		require.ErrorIs(t, <-read, io.EOF)
		require.True(t, PeerClosed(Raw(server)))
	})
	t.Run("no socket", func(t *testing.T) {
		c, other := net.Pipe()
		defer func() { _, _ = c.Close(), other.Close() }()
		require.Nil(t, Raw(c))
	})
}

// BenchmarkPeerClosed measures what a check costs each request.
func BenchmarkPeerClosed(b *testing.B) {
	_, server := connect(b)
	raw := Raw(server)
	b.ReportAllocs()
	for b.Loop() {
		if PeerClosed(raw) {
			b.Fatal("connection is closed")
		}
	}
}
