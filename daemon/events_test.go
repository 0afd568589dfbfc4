package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/burn"
)

// filledCounter returns a counter with events in each of the given number of
// minutes.
func filledCounter(name string, minutes int) *burn.Counter {
	start := time.Unix(1_800_000_000, 0)
	now := start
	c := &burn.Counter{Daemon: name, Now: func() time.Time { return now }}
	for m := range minutes {
		now = start.Add(time.Duration(m) * time.Minute)
		for e := range 40 {
			c.Record("listing", pollenlatch.ClassUrgent, pollenlatch.OutcomeRan, "", fmt.Sprintf("endpoint-%d", e), time.Millisecond)
		}
	}
	return c
}

// A report that is too large for one control message is split into several. No
// minute may be lost or counted twice.
func TestEventsSplitIntoSeveralReports(t *testing.T) {
	c := filledCounter("a", 2000)
	got := &burn.Counter{Daemon: "a", Now: c.Now}
	after, reports := int64(0), 0
	for more := true; more; reports++ {
		var b []byte
		b, more = encodeFirstMinutes(c.Report(after))
		require.LessOrEqual(t, len(b), maxReportBytes)
		r, err := burn.Decode(b)
		require.NoError(t, err)
		require.NotEmpty(t, r.Minutes)
		require.NoError(t, got.Update(r))
		after = r.Minutes[len(r.Minutes)-1].Minute
	}
	require.Greater(t, reports, 1)
	require.Equal(t, c.Report(0).Minutes, got.Report(0).Minutes)
}

// A neighbour that is restarting still needs its copy, and the memory for copies
// must stay limited.
func TestEventCopiesKeepPreviousNeighbour(t *testing.T) {
	var c eventCopies
	first := c.getOrCreate("a")
	require.Same(t, first, c.getOrCreate("a"))
	c.getOrCreate("b")
	require.Same(t, first, c.get("a"))
	c.getOrCreate("c")
	require.Nil(t, c.get("a"))
	require.NotNil(t, c.get("b"))
}
