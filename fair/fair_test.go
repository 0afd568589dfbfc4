package fair

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a group that gets nothing while others take all, and against a minimum
// share that takes more than it needs.
func TestShares(t *testing.T) {
	var s Shares
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	reads, reports := Group{Route: "reads"}, Group{Route: "reports"}
	offered, served := map[Group]float64{}, map[Group]float64{}
	for range 20000 {
		now = now.Add(5 * time.Millisecond)
		k := reads
		if rng.IntN(4) == 0 {
			k = reports
		}
		offered[k]++
		starved := s.Offer(k, now)
		if starved || (k == reads && rng.IntN(2) == 0) {
			s.Serve(k)
			served[k]++
		}
	}
	all := (served[reads] + served[reports]) / (offered[reads] + offered[reports])
	require.InDelta(t, minShare*all, served[reports]/offered[reports], 0.03)
	require.InDelta(t, 0.5, served[reads]/offered[reads], 0.03, "an urgent group does not need the minimum")
}

// A route that begins, or that nothing is known of, is not starved.
func TestSharesOfAFewRequests(t *testing.T) {
	var s Shares
	now := time.Unix(1000, 0)
	for range 100 {
		s.Offer(Group{Route: "a"}, now)
		s.Serve(Group{Route: "a"})
	}
	for range minRequests - 1 {
		require.False(t, s.Offer(Group{Route: "b"}, now))
	}
	require.True(t, s.Offer(Group{Route: "b"}, now))
	now = now.Add(time.Minute)
	require.False(t, s.Offer(Group{Route: "b"}, now), "forgotten")
}

func BenchmarkOffer(b *testing.B) {
	var s Shares
	now := time.Unix(1000, 0)
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Millisecond)
		s.Offer(Group{Route: "abcdef"[n%6 : n%6+1]}, now)
	}
}
