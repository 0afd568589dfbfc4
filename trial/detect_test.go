package trial

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A wrong quantile would distort the results of the accrual detector.
func TestHistoryTimeout(t *testing.T) {
	var h history
	h.add(time.Millisecond)
	_, ok := h.timeout(0.5)
	require.False(t, ok, "no timeout before the history is full")
	for i := range historySize {
		h.add(time.Duration(i%100) * time.Millisecond)
	}
	for level, want := range map[float64]time.Duration{0.01: 1, 0.5: 50, 0.99: 99, 1: 100} {
		got, ok := h.timeout(level)
		require.True(t, ok)
		require.Equal(t, want*time.Millisecond, got, "level %g", level)
	}
	for range historySize {
		h.add(7 * time.Millisecond)
	}
	got, _ := h.timeout(0.01)
	require.Equal(t, 8*time.Millisecond, got, "old intervals are dropped")
}

// Each false suspicion must be counted exactly once, or the comparison of
// detectors is wrong.
func TestEvaluate(t *testing.T) {
	var at []time.Duration
	for i := range 1000 {
		at = append(at, time.Duration(i)*heartbeatInterval)
	}
	for i := 500; i < 503; i++ {
		at[i] = 503 * heartbeatInterval // one gap of 400 ms, then all arrive at once
	}
	fixed := func(d time.Duration) DetectorResult {
		return evaluate(at, func(int) (time.Duration, bool) { return d, true })
	}
	hours := (999 * heartbeatInterval).Hours()
	require.InDelta(t, 1/hours, fixed(300*time.Millisecond).FalsePerHour, 1e-9)
	require.Zero(t, fixed(400*time.Millisecond).FalsePerHour)
	require.Equal(t, 265*time.Millisecond, fixed(300*time.Millisecond).MeanDetectionTime, "19 samples of 250 ms, one of 550")
}
