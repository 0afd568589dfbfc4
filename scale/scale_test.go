package scale

import (
	"bytes"
	"context"
	"testing"

	"github.com/stretchr/testify/require"
)

// All figures for capacity planning are derived from these lines.
func TestFitLine(t *testing.T) {
	for _, c := range []struct {
		name             string
		points           []Point
		intercept, slope float64
	}{
		{"exact", []Point{{1, 5}, {2, 7}, {4, 11}}, 3, 2},
		{"least squares", []Point{{0, 0}, {1, 2}, {2, 1}}, 0.5, 0.5},
		{"one size", []Point{{3, 4}, {3, 6}}, 5, 0},
		{"none", nil, 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			intercept, slope := fitLine(c.points)
			require.InDelta(t, c.intercept, intercept, 1e-9)
			require.InDelta(t, c.slope, slope, 1e-9)
		})
	}
}

// The bytes must include all headers and acknowledgements, or a limit on traffic
// seems to be met when it is not.
func TestWireBytes(t *testing.T) {
	for _, c := range []struct {
		name           string
		message, bytes int
	}{
		// One segment and its acknowledgement.
		{"small", 34, 34 + 5 + 12 + 2*52},
		{"one full segment", 1448 - 17, 1448 + 2*52},
		{"two segments", 1448 - 16, 1449 + 3*52},
		// Written in two yamux frames: 46 segments, 23 acknowledgements.
		{"two parts", chunkBytes, chunkBytes + 5 + 2*12 + (46+23)*52},
	} {
		t.Run(c.name, func(t *testing.T) { require.Equal(t, c.bytes, wireBytes(c.message)) })
	}
}

// After the loss the measured daemon must have the same state as the leader.
// Otherwise deltas were lost or added, and the measured costs are wrong.
func TestGroupRepairsLoss(t *testing.T) {
	initial, err := newInitialState(1, 12, 8)
	require.NoError(t, err)
	g, err := newGroup(1, initial)
	require.NoError(t, err)
	d, err := newMeasuredDaemon(initial)
	require.NoError(t, err)
	lost := []int{3, 5}
	for _, i := range lost {
		g.daemons[i].running = false
	}
	require.NoError(t, g.tickUntil(func() bool { return g.recovered(lost) && g.allCaughtUp() }))
	_, size, err := d.catchUp(g)
	require.NoError(t, err)
	require.Positive(t, size)
	want, err := g.leaderState().Snapshot()
	require.NoError(t, err)
	got, err := d.reducer.State().Snapshot()
	require.NoError(t, err)
	require.True(t, bytes.Equal(want, got), "the daemon's state differs from the leader's")
}

// A misspelt part must be refused, not give an empty report.
func TestUnknownPart(t *testing.T) {
	_, err := Run(context.Background(), Config{Parts: []string{"renews"}})
	require.ErrorContains(t, err, `no part "renews"`)
}
