package lease

import (
	"flag"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollenlatch"
)

const ttl = 600 * time.Millisecond

// A holder that counts longer than its granter would still serve while another
// instance already owns its ranges.
func TestHolderNeverOutlastsGranter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g Granter
		var h Holder
		// The two clocks have different origins and run up to 1% apart.
		offset := rapid.Int64Range(0, int64(time.Hour)).Draw(t, "offset")
		rate := rapid.Int64Range(-1000, 1000).Draw(t, "rate") // in 1/100,000
		holder := func(m pollenlatch.Mono) pollenlatch.Mono {
			return pollenlatch.Mono(offset) + m + m/100_000*pollenlatch.Mono(rate)
		}
		now := pollenlatch.Mono(0)
		for range rapid.IntRange(1, 30).Draw(t, "renewals") {
			seq := h.Send(holder(now))
			arrives := now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "delay")))
			if g.Extend(1, 7, arrives, ttl) {
				h.Grant(seq, 7, ttl)
			}
			now = arrives.Add(time.Duration(rapid.Int64Range(0, int64(ttl)).Draw(t, "gap")))
			for probe := range 8 {
				at := now.Add(time.Duration(probe) * 100 * time.Millisecond)
				if h.Alive(holder(at)) {
					require.True(t, g.Holds(1, 7, at), "the holder serves after the granter's end")
				}
			}
		}
	})
}

// A late answer to a forgotten request, or to an older lease, must not extend
// the present one.
func TestHolderRefusesOldAnswers(t *testing.T) {
	t.Run("unknown request", func(t *testing.T) {
		var h Holder
		require.False(t, h.Grant(3, 7, ttl))
		require.False(t, h.Grant(0, 7, ttl))
	})
	t.Run("forgotten request", func(t *testing.T) {
		var h Holder
		first := h.Send(0)
		for range sentKept {
			h.Send(1)
		}
		require.False(t, h.Grant(first, 7, ttl))
	})
	t.Run("older lease", func(t *testing.T) {
		var h Holder
		require.True(t, h.Grant(h.Send(0), 9, ttl))
		require.False(t, h.Grant(h.Send(1), 7, ttl))
	})
}

// A lapsed lease that came back to life would overlap with its successor.
func TestGranterKeepsLapsedLeasesDead(t *testing.T) {
	var g Granter
	end := pollenlatch.Mono(0).Add(WithDrift(ttl))
	require.True(t, g.Extend(1, 7, 0, ttl))
	require.Empty(t, g.Lapsed(end-1))
	require.Equal(t, []Lapsed{{Instance: 1, Lease: 7, End: end}}, g.Lapsed(end))
	require.False(t, g.Extend(1, 7, end, ttl))
	g.Forget(1, 7)
	require.True(t, g.Extend(1, 9, end, ttl))
	require.False(t, g.Extend(1, 7, end, ttl), "an older lease replaced a newer")
}

// A hand-over that does not wait for the last request would let it run beside
// the next owner's.
func TestCounterWaitsForTheLast(t *testing.T) {
	var c Counter
	k := Key{Shard: pollenlatch.Shard{Service: "listing", Range: 3}, Fence: 5}
	called := 0
	c.Add(k)
	c.Add(k)
	c.Empty(k, func() { called++ })
	c.Done(k)
	require.Zero(t, called)
	c.Done(k)
	require.Equal(t, 1, called)
	c.Empty(k, func() { called++ })
	require.Equal(t, 2, called)
	require.Zero(t, c.Total())
}

func TestMain(m *testing.M) {
	// The same cases on every run.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	m.Run()
}
