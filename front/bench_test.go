package front

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/link"
)

// startDaemonPair starts a daemon that serves callers over TCP and returns its
// address. Requests of service claims run at owner: 1 is this daemon, 2 is
// another one that is reached over a link. Both handle them with h.
func startDaemonPair(tb testing.TB, owner pollenlatch.InstanceID, h pollenlatch.HandlerFunc) string {
	tb.Helper()
	key := bytes.Repeat([]byte("k"), 16)
	remote, err := link.New(link.Config{Group: "g", Name: "c", Incarnation: 1, Key: key, RequestHandler: h})
	require.NoError(tb, err)
	addr, err := remote.Listen("127.0.0.1:0")
	require.NoError(tb, err)
	local, err := link.New(link.Config{Group: "g", Name: "b", Incarnation: 1, Key: key})
	require.NoError(tb, err)
	rt := NewRouter(RouterConfig{
		Control: newFakeControl(owner), Local: h, Picker: &fakePicker{},
		Forwarder: fixedForwarder{local, addr.String()},
	})
	s, err := NewServer(Config{Control: newFakeControl(owner), Handler: rt})
	require.NoError(tb, err)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(tb, err)
	go func() { _ = s.Serve(l) }()
	tb.Cleanup(func() {
		require.NoError(tb, s.Close())
		<-s.Done()
		require.NoError(tb, local.Close())
		require.NoError(tb, remote.Close())
	})
	return l.Addr().String()
}

// respondBenchBody responds with benchBody.
func respondBenchBody(_ context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
	if r.Body != nil {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return nil, err
		}
	}
	return &pollenlatch.Response{
		ResponseHead: pollenlatch.ResponseHead{Status: 200, Length: int64(len(benchBody))},
		Body:         io.NopCloser(bytes.NewReader(benchBody)),
	}, nil
}

var benchBody = bytes.Repeat([]byte("a"), 512)

// fixedForwarder forwards every request to one address.
type fixedForwarder struct {
	node *link.Node
	addr string
}

func (f fixedForwarder) Forward(ctx context.Context, _ string, r *pollenlatch.Request) (*pollenlatch.Response, error) {
	return f.node.Forward(ctx, f.addr, r)
}

func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkRequest compares a request that the receiving daemon runs itself
// with one that it forwards. The caller and both daemons share a process;
// req/cpu-s counts the processor time of all three.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct {
		name  string
		owner pollenlatch.InstanceID
		raw   string
	}{
		{"local", 1, "GET /s/claims/lot-1 HTTP/1.1\r\nHost: x\r\nAccept: */*\r\n\r\n"},
		{"forwarded", 2, "GET /s/claims/lot-1 HTTP/1.1\r\nHost: x\r\nAccept: */*\r\n\r\n"},
		{"forwarded-1KB", 2, "POST /s/claims/lot-1 HTTP/1.1\r\nHost: x\r\nContent-Length: 1024\r\n\r\n" + string(bytes.Repeat([]byte("b"), 1024))},
	} {
		b.Run(c.name, func(b *testing.B) {
			addr := startDaemonPair(b, c.owner, respondBenchBody)
			raw := []byte(c.raw)
			b.ReportAllocs()
			b.SetParallelism(8)
			before := cpuTime(b)
			b.ResetTimer()
			b.RunParallel(func(pb *testing.PB) {
				conn, err := net.Dial("tcp", addr)
				if err != nil {
					b.Error(err)
					return
				}
				defer func() { _ = conn.Close() }()
				r := bufio.NewReader(conn)
				for pb.Next() {
					if _, err := conn.Write(raw); err != nil {
						b.Error(err)
						return
					}
					if err := skipResponse(r); err != nil {
						b.Error(err)
						return
					}
				}
			})
			b.ReportMetric(float64(b.N)/(cpuTime(b)-before).Seconds(), "req/cpu-s")
		})
	}
}

// skipResponse reads a response whose body is benchBody.
func skipResponse(r *bufio.Reader) error {
	for {
		line, err := r.ReadSlice('\n')
		if err != nil {
			return err
		}
		if len(line) <= 2 {
			_, err := r.Discard(len(benchBody))
			return err
		}
	}
}
