package sketch

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

const second = pollenlatch.MonoTime(time.Second)

func rangeShard(r pollenlatch.Range) pollenlatch.Shard {
	return pollenlatch.Shard{Service: "listing", Range: r}
}

// Wrong rates would make the planner move the wrong shards.
func TestRates(t *testing.T) {
	var s Sketch
	s.EndInterval(0)
	for i := range 30 {
		for range 100 {
			s.Add(rangeShard(7), "hot")
		}
		for j := range 50 {
			s.Add(rangeShard(9), fmt.Sprintf("cold-%d-%d", i, j))
		}
		s.Add(pollenlatch.Shard{Service: "listing", Range: 3, Key: "own"}, "own")
		s.Add(pollenlatch.Shard{}, "")
		l := s.EndInterval(second * pollenlatch.MonoTime(i+1))
		require.InDelta(t, 152, l.Rate, 0.01)
		require.Equal(t, "hot", l.HotKeys[0].Key)
		require.InDelta(t, 100, l.HotKeys[0].Rate, 0.01)
		require.Len(t, l.Ranges, 2, "a key with its own record must not count for its range")
		require.Equal(t, pollenlatch.Range(7), l.Ranges[0].Range)
		require.InDelta(t, 50, l.Ranges[1].Rate, 0.01)
	}
}

// A hot key that stays in the reports after it has cooled would keep its owner
// record for ever.
func TestIdleShardsAreDropped(t *testing.T) {
	var s Sketch
	s.EndInterval(0)
	s.Add(rangeShard(1), "a")
	s.EndInterval(second)
	for i := range 60 {
		s.EndInterval(second * pollenlatch.MonoTime(i+2))
	}
	l := s.EndInterval(100 * second)
	require.Empty(t, l.HotKeys)
	require.Empty(t, l.Ranges)
}

// Hot keys that are not found among many keys with a Zipf distribution would not be
// moved. Reported rates must not exceed the true ones.
func TestHottestKeys(t *testing.T) {
	var s Sketch
	s.EndInterval(0)
	rnd := rand.New(rand.NewPCG(1, 1))
	zipf := rand.NewZipf(rnd, 1.2, 1, 100000)
	counts := make(map[string]int)
	const n = 13500
	for range n {
		key := fmt.Sprintf("key-%d", zipf.Uint64())
		counts[key]++
		s.Add(rangeShard(0), key)
	}
	l := s.EndInterval(second)
	require.Len(t, l.HotKeys, 8)
	found := make(map[string]bool)
	for _, h := range l.HotKeys {
		found[h.Key] = true
		require.LessOrEqual(t, h.Rate, float64(counts[h.Key])+0.01)
		require.InDelta(t, counts[h.Key], h.Rate, n/(numStripes*slotsPerStripe)*2)
	}
	for i := range 5 {
		require.True(t, found[fmt.Sprintf("key-%d", i)], "rank %d", i)
	}
}

// A report that is too large would exceed the size budget of control messages.
func TestReportSize(t *testing.T) {
	var s Sketch
	s.EndInterval(0)
	for i := range 5000 {
		s.Add(rangeShard(pollenlatch.Range(i)), fmt.Sprintf("a-long-key-of-a-booking-%d", i%50))
	}
	s.Add(rangeShard(1), strings.Repeat("x", 10000))
	l := s.EndInterval(second)
	b, err := pollenlatch.Encode(&l)
	require.NoError(t, err)
	require.LessOrEqual(t, len(b), defaultMaxBytes+40, "40 bytes are for the scalar fields")
	require.GreaterOrEqual(t, len(l.Ranges), 10)
	require.NotEmpty(t, l.HotKeys)
}

// If counts were lost between concurrent requests and reports, busy shards would
// look idle. Run with -race.
func TestConcurrentAdd(t *testing.T) {
	var s Sketch
	s.EndInterval(0)
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 2000 {
				s.Add(rangeShard(pollenlatch.Range(i%300)), fmt.Sprint(g, i%40))
			}
		})
	}
	total := 0.0
	for i := range 10 {
		s.EndInterval(pollenlatch.MonoTime(i + 1))
		total = s.rates.total.sum
	}
	wg.Wait()
	s.EndInterval(11)
	require.InDelta(t, 8000, s.rates.total.sum, 0.1)
	require.LessOrEqual(t, total, 8000.0)
	sum := 0.0
	for p, a := range s.rates.shards {
		if p.Key == "" {
			sum += a.sum
		}
	}
	require.InDelta(t, 8000, sum, 0.1)
	s.Add(rangeShard(1<<31), "k") // above the maximum range: must not panic
}

// BenchmarkAdd measures the cost on the request path.
func BenchmarkAdd(b *testing.B) {
	keys := make([]string, 1<<14)
	zipf := rand.NewZipf(rand.New(rand.NewPCG(1, 1)), 1.1, 1, 100000)
	for i := range keys {
		keys[i] = fmt.Sprintf("key-%d", zipf.Uint64())
	}
	run := func(b *testing.B, key func(i int) string) {
		b.Helper()
		var s Sketch
		b.RunParallel(func(pb *testing.PB) {
			for i := rand.IntN(len(keys)); pb.Next(); i++ {
				s.Add(rangeShard(pollenlatch.Range(i%107)), key(i))
			}
		})
	}
	b.Run("zipf", func(b *testing.B) { run(b, func(i int) string { return keys[i%len(keys)] }) })
	b.Run("one key", func(b *testing.B) { run(b, func(int) string { return "k" }) })
	b.Run("no key", func(b *testing.B) { run(b, func(int) string { return "" }) })
}

// BenchmarkEndInterval measures the cost of a report on 107 ranges.
func BenchmarkEndInterval(b *testing.B) {
	var s Sketch
	s.EndInterval(0)
	for i := 1; b.Loop(); i++ {
		for j := range 1000 {
			s.Add(rangeShard(pollenlatch.Range(j%107*97)), "k")
		}
		s.EndInterval(pollenlatch.MonoTime(i) * second)
	}
}
