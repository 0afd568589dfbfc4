package link

import (
	"bytes"
	"io"
	"testing"

	"pollenlatch"
)

func benchForward(b *testing.B, reuse, size int) {
	b.Helper()
	body := make([]byte, size)
	client, _, addr := pair(b, echo)
	client.idleStreams = reuse
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
			w, err := client.Forward(b.Context(), addr, r)
			if err != nil {
				b.Fatal(err)
			}
			if _, err := io.Copy(io.Discard, w.Body); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkForward compares streams that are used again with new ones for each
// request, both ends in one process.
func BenchmarkForward(b *testing.B) {
	for _, s := range []struct {
		name string
		size int
	}{{"none", 0}, {"1KB", 1 << 10}, {"64KB", 64 << 10}} {
		b.Run("reused/"+s.name, func(b *testing.B) { benchForward(b, idleStreams, s.size) })
		b.Run("new/"+s.name, func(b *testing.B) { benchForward(b, 0, s.size) })
	}
}
