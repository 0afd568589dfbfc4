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

func at(r pollenlatch.Range) pollenlatch.Shard {
	return pollenlatch.Shard{Service: "listing", Range: r}
}

// Wrong rates make the planner move the wrong shards.
func TestRates(t *testing.T) {
	var s Sketch
	s.EndInterval(0)
	for i := range 30 {
		for range 100 {
			s.Add(at(7), "hot")
		}
		for j := range 50 {
			s.Add(at(9), fmt.Sprintf("cold-%d-%d", i, j))
		}
		s.Add(pollenlatch.Shard{Service: "listing", Range: 3, Key: "own"}, "own")
		s.Add(pollenlatch.Shard{}, "")
		l := s.EndInterval(second * pollenlatch.MonoTime(i+1))
		require.InDelta(t, 152, l.Rate, 0.01)
		require.Equal(t, "hot", l.HotKeys[0].Key)
		require.InDelta(t, 100, l.HotKeys[0].Rate, 0.01)
		require.Len(t, l.Ranges, 2, "a key with its own record does not count for its range")
		require.Equal(t, pollenlatch.Range(7), l.Ranges[0].Range)
		require.InDelta(t, 50, l.Ranges[1].Rate, 0.01)
	}
}

// A hot key that is not given up when it cools keeps its record for ever.
func TestCooling(t *testing.T) {
	var s Sketch
	s.EndInterval(0)
	s.Add(at(1), "a")
	s.EndInterval(second)
	for i := range 60 {
		s.EndInterval(second * pollenlatch.MonoTime(i+2))
	}
	l := s.EndInterval(100 * second)
	require.Empty(t, l.HotKeys)
	require.Empty(t, l.Ranges)
}

// The k hottest of many keys under Zipf load must be found, or hot keys stay
// where they are; reported rates may not exceed the true ones.
func TestHottestOfMany(t *testing.T) {
	var s Sketch
	s.EndInterval(0)
	rnd := rand.New(rand.NewPCG(1, 1))
	z := rand.NewZipf(rnd, 1.2, 1, 100000)
	count := make(map[string]int)
	const n = 13500
	for range n {
		key := fmt.Sprintf("key-%d", z.Uint64())
		count[key]++
		s.Add(at(0), key)
	}
	l := s.EndInterval(second)
	require.Len(t, l.HotKeys, 8)
	found := make(map[string]bool)
	for _, h := range l.HotKeys {
		found[h.Key] = true
		require.LessOrEqual(t, h.Rate, float64(count[h.Key])+0.01)
		require.InDelta(t, count[h.Key], h.Rate, n/(stripes*slots)*2)
	}
	for i := range 5 {
		require.True(t, found[fmt.Sprintf("key-%d", i)], "rank %d", i)
	}
}

// A report beyond its bytes breaks the budget of the control messages.
func TestReportIsSmall(t *testing.T) {
	var s Sketch
	s.EndInterval(0)
	for i := range 5000 {
		s.Add(at(pollenlatch.Range(i)), fmt.Sprintf("a-long-key-of-a-booking-%d", i%50))
	}
	s.Add(at(1), strings.Repeat("x", 10000))
	l := s.EndInterval(second)
	b, err := pollenlatch.Encode(&l)
	require.NoError(t, err)
	require.LessOrEqual(t, len(b), defaultBytes+40, "and the scalar fields")
	require.GreaterOrEqual(t, len(l.Ranges), 10)
	require.NotEmpty(t, l.HotKeys)
}

// Counts lost between concurrent requests and reports make busy shards look
// idle. Run with -race.
func TestConcurrentAdd(t *testing.T) {
	var s Sketch
	s.EndInterval(0)
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 2000 {
				s.Add(at(pollenlatch.Range(i%300)), fmt.Sprint(g, i%40))
			}
		})
	}
	total := 0.0
	for i := range 10 {
		s.EndInterval(pollenlatch.MonoTime(i + 1))
		total = s.rates.all.sum
	}
	wg.Wait()
	s.EndInterval(11)
	require.InDelta(t, 8000, s.rates.all.sum, 0.1)
	require.LessOrEqual(t, total, 8000.0)
	sum := 0.0
	for p, a := range s.rates.shards {
		if p.Key == "" {
			sum += a.sum
		}
	}
	require.InDelta(t, 8000, sum, 0.1)
	s.Add(at(1<<31), "k") // of no service: must not panic
}

// BenchmarkAdd is the cost on the request path, with Zipf keys.
func BenchmarkAdd(b *testing.B) {
	keys := make([]string, 1<<14)
	z := rand.NewZipf(rand.New(rand.NewPCG(1, 1)), 1.1, 1, 100000)
	for i := range keys {
		keys[i] = fmt.Sprintf("key-%d", z.Uint64())
	}
	run := func(b *testing.B, key func(i int) string) {
		b.Helper()
		var s Sketch
		b.RunParallel(func(pb *testing.PB) {
			for i := rand.IntN(len(keys)); pb.Next(); i++ {
				s.Add(at(pollenlatch.Range(i%107)), key(i))
			}
		})
	}
	b.Run("zipf", func(b *testing.B) { run(b, func(i int) string { return keys[i%len(keys)] }) })
	b.Run("one key", func(b *testing.B) { run(b, func(int) string { return "k" }) })
	b.Run("no key", func(b *testing.B) { run(b, func(int) string { return "" }) })
}

// BenchmarkLoad is the cost of a report over 107 ranges.
func BenchmarkLoad(b *testing.B) {
	var s Sketch
	s.EndInterval(0)
	for i := 1; b.Loop(); i++ {
		for j := range 1000 {
			s.Add(at(pollenlatch.Range(j%107*97)), "k")
		}
		s.EndInterval(pollenlatch.MonoTime(i) * second)
	}
}
