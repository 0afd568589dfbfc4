package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A caller that retries has used up a part of its latency objective. If the
// objective were restarted, its late response would displace one that could be
// in time.
func TestWaitEstimator(t *testing.T) {
	begin := time.Unix(1000, 0)
	addFirstAttempts := func(w *waitEstimator, n int) {
		for k := range n {
			left := 3400*time.Millisecond + time.Duration(k%7)*100*time.Millisecond
			require.Zero(t, w.estimate("r", left, begin))
		}
	}
	t.Run("caller retries", func(t *testing.T) {
		var w waitEstimator
		addFirstAttempts(&w, 70)
		require.InDelta(t, 1500, w.estimate("r", 2200*time.Millisecond, begin).Milliseconds(), 150)
	})
	t.Run("slightly shorter first attempt", func(t *testing.T) {
		var w waitEstimator
		addFirstAttempts(&w, 70)
		require.Zero(t, w.estimate("r", 3300*time.Millisecond, begin))
	})
	t.Run("too few first attempts", func(t *testing.T) {
		var w waitEstimator
		addFirstAttempts(&w, 3)
		require.Zero(t, w.estimate("r", 2200*time.Millisecond, begin))
	})
	t.Run("another route", func(t *testing.T) {
		var w waitEstimator
		addFirstAttempts(&w, 70)
		require.Zero(t, w.estimate("s", 100*time.Millisecond, begin))
	})
	t.Run("timeouts of first attempts become shorter", func(t *testing.T) {
		var w waitEstimator
		addFirstAttempts(&w, 70)
		now := begin
		for range 3 {
			now = now.Add(waitWindow)
			for range 100 {
				w.estimate("r", time.Second, now)
			}
		}
		require.Zero(t, w.estimate("r", time.Second, now))
	})
}
