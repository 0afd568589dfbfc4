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

// If a lease expired later at the holder than at the granter, the holder would serve
// while another instance already owns its ranges.
func TestHolderNeverOutlastsGranter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var g Granter
		var h Holder
		// The two clocks have different origins, and their rates differ by up to 1%.
		offset := rapid.Int64Range(0, int64(time.Hour)).Draw(t, "offset")
		rate := rapid.Int64Range(-1000, 1000).Draw(t, "rate") // in 1/100,000
		holderTime := func(m pollenlatch.MonoTime) pollenlatch.MonoTime {
			return pollenlatch.MonoTime(offset) + m + m/100_000*pollenlatch.MonoTime(rate)
		}
		now := pollenlatch.MonoTime(0)
		for range rapid.IntRange(1, 30).Draw(t, "renewals") {
			seq := h.BeginRenewal(holderTime(now))
			arrival := now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "delay")))
			if g.Extend(1, 7, arrival, ttl) {
				h.Extend(seq, 7, ttl)
			}
			now = arrival.Add(time.Duration(rapid.Int64Range(0, int64(ttl)).Draw(t, "gap")))
			for step := range 8 {
				at := now.Add(time.Duration(step) * 100 * time.Millisecond)
				if h.Valid(holderTime(at)) {
					require.True(t, g.Valid(1, 7, at), "the lease is valid at the holder but not at the granter")
				}
			}
		}
	})
}

// A late reply to a request that is no longer known, or with an older lease, must not
// extend the present lease.
func TestHolderIgnoresOldReplies(t *testing.T) {
	t.Run("unknown request", func(t *testing.T) {
		var h Holder
		require.False(t, h.Extend(3, 7, ttl))
		require.False(t, h.Extend(0, 7, ttl))
	})
	t.Run("request that is no longer known", func(t *testing.T) {
		var h Holder
		first := h.BeginRenewal(0)
		for range maxSentRenewals {
			h.BeginRenewal(1)
		}
		require.False(t, h.Extend(first, 7, ttl))
	})
	t.Run("older lease", func(t *testing.T) {
		var h Holder
		require.True(t, h.Extend(h.BeginRenewal(0), 9, ttl))
		require.False(t, h.Extend(h.BeginRenewal(1), 7, ttl))
	})
}

// If an expired lease could be extended, it would overlap with its successor.
func TestExpiredLeaseIsNotExtended(t *testing.T) {
	var g Granter
	end := pollenlatch.MonoTime(0).Add(WithDrift(ttl))
	require.True(t, g.Extend(1, 7, 0, ttl))
	require.Empty(t, g.Expired(end-1))
	require.Equal(t, []Expired{{Instance: 1, Lease: 7, End: end}}, g.Expired(end))
	require.False(t, g.Extend(1, 7, end, ttl))
	g.Forget(1, 7)
	require.True(t, g.Extend(1, 9, end, ttl))
	require.False(t, g.Extend(1, 7, end, ttl), "an older lease replaced a newer one")
}

// If a hand-over did not wait for the last request, it would run concurrently with
// requests of the next owner.
func TestCounterWaitsForLastRequest(t *testing.T) {
	shard := pollenlatch.Shard{Service: "listing", Range: 3}
	hot := pollenlatch.Shard{Service: "listing", Range: 3, Key: "lot-1"}
	current := func(k Key) bool { return k.Fence == 7 }
	for _, c := range []struct {
		name    string
		running Key
		waits   bool
	}{
		{"same shard", Key{shard, 7}, true},
		{"same shard, older fence", Key{shard, 5}, true},
		{"removed record of a key", Key{hot, 6}, true},
		{"present record of a key", Key{hot, 7}, false},
		{"other range", Key{pollenlatch.Shard{Service: "listing", Range: 4}, 5}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var n Counter
			called := 0
			n.Add(c.running)
			n.Add(c.running)
			n.AwaitIdle(Key{shard, 7}, current, func() { called++ })
			n.Done(c.running)
			require.Equal(t, !c.waits, called == 1)
			n.Done(c.running)
			require.Equal(t, 1, called)
			require.Zero(t, n.Total())
		})
	}
}

func TestMain(m *testing.M) {
	// A fixed seed makes every run check the same cases.
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	m.Run()
}
