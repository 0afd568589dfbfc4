package link

import (
	"bytes"
	"io"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

func benchForward(b *testing.B, maxIdleStreams, size int) {
	b.Helper()
	body := make([]byte, size)
	client, _, addr := pair(b, echo)
	client.maxIdleStreams = maxIdleStreams
	b.ReportAllocs()
	b.SetBytes(int64(2 * size))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			var r *pollenlatch.Request
			if size > 0 {
				r = request(bytes.NewReader(body), int64(size))
			} else {
				r = request(nil, 0)
			}
			resp, err := client.Forward(b.Context(), addr, r)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, resp.Body); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkForward compares reused streams with a new stream for each request. Both
// ends run in one process.
func BenchmarkForward(b *testing.B) {
	for _, s := range []struct {
		name string
		size int
	}{{"none", 0}, {"1KB", 1 << 10}, {"64KB", 64 << 10}} {
		b.Run("reused/"+s.name, func(b *testing.B) { benchForward(b, defaultMaxIdleStreams, s.size) })
		b.Run("new/"+s.name, func(b *testing.B) { benchForward(b, 0, s.size) })
	}
}

// BenchmarkSessionMemory reports the memory of heap and stacks, and the goroutines,
// of both ends of an idle session.
func BenchmarkSessionMemory(b *testing.B) {
	const peers = 128
	for _, c := range []struct {
		name string
		open func(n *Node, addr string)
	}{
		{"control", func(n *Node, addr string) {
			n.Send(addr, renew(1))
		}},
		{"requests", func(n *Node, addr string) {
			resp, err := n.Forward(b.Context(), addr, request(nil, 0))
			require.NoError(b, err)
			_, err = io.Copy(io.Discard, resp.Body)
			require.NoError(b, err)
		}},
	} {
		b.Run(c.name, func(b *testing.B) {
			client, _ := testNode(b, "a", func(cfg *Config) { cfg.IdleTimeout = time.Hour })
			var addrs []string
			got := make(chan struct{})
			for range peers {
				_, addr := testNode(b, "b", func(cfg *Config) {
					cfg.IdleTimeout = time.Hour
					cfg.RequestHandler = pollenlatch.HandlerFunc(echo)
					cfg.ControlHandler = func(Peer, *pollenlatch.Message) { got <- struct{}{} }
				})
				addrs = append(addrs, addr)
			}
			before, goroutines := memoryInUse(), runtime.NumGoroutine()
			for _, addr := range addrs {
				c.open(client, addr)
				if c.name == "control" {
					<-got
				}
			}
			bytes, extra := memoryInUse()-before, runtime.NumGoroutine()-goroutines
			for b.Loop() { // the metrics do not depend on b.N
			}
			b.ReportMetric(float64(bytes)/peers, "B/session")
			b.ReportMetric(float64(extra)/peers, "goroutines/session")
		})
	}
}

func memoryInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}
