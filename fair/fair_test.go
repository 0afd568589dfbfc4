package fair

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a route that gets nothing while others take all, and against a minimum
// share that takes more than it needs.
func TestShares(t *testing.T) {
	var s Shares
	rng := rand.New(rand.NewPCG(1, 1))
	now := time.Unix(1000, 0)
	const reads, reports = "reads", "reports"
	offered, served := map[string]float64{}, map[string]float64{}
	for range 20000 {
		now = now.Add(5 * time.Millisecond)
		k := reads
		if rng.IntN(4) == 0 {
			k = reports
		}
		offered[k]++
		starved := s.Offer(k, false, now)
		if starved || (k == reads && rng.IntN(2) == 0) {
			s.Serve(k)
			served[k]++
		}
	}
	all := (served[reads] + served[reports]) / (offered[reads] + offered[reports])
	require.InDelta(t, minShare*all, served[reports]/offered[reports], 0.03)
	require.InDelta(t, 0.5, served[reads]/offered[reads], 0.03, "an urgent route does not need the minimum")
}

// A route that begins, or that nothing is known of, is not starved.
func TestSharesOfAFewRequests(t *testing.T) {
	var s Shares
	now := time.Unix(1000, 0)
	for range 100 {
		s.Offer("a", false, now)
		s.Serve("a")
	}
	for range minRequests - 1 {
		require.False(t, s.Offer("b", false, now))
	}
	require.True(t, s.Offer("b", false, now))
	now = now.Add(time.Minute)
	require.False(t, s.Offer("b", false, now), "forgotten")
}

// A route whose callers come back again and again must not get a share for each attempt.
func TestSharesOfReturnedCallers(t *testing.T) {
	var s Shares
	now := time.Unix(1000, 0)
	served := 0.0
	for range 1000 {
		s.Offer("a", false, now)
		s.Serve("a")
		for attempt := range 5 {
			if s.Offer("b", attempt > 0, now) {
				s.Serve("b")
				served++
				break
			}
		}
	}
	require.InDelta(t, minShare*(1000+served)/2000, served/1000, 0.02)
}

func BenchmarkOffer(b *testing.B) {
	var s Shares
	now := time.Unix(1000, 0)
	for n := 0; b.Loop(); n++ {
		now = now.Add(time.Millisecond)
		s.Offer("abcdef"[n%6:n%6+1], false, now)
	}
}
