package daemon

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/burn"
)

// filled returns a counter with events in each of the last minutes.
func filled(name string, minutes int) *burn.Counter {
	at := time.Unix(1_800_000_000, 0)
	now := at
	c := &burn.Counter{Daemon: name, Now: func() time.Time { return now }}
	for m := range minutes {
		now = at.Add(time.Duration(m) * time.Minute)
		for e := range 40 {
			c.Record("listing", pollenlatch.ClassUrgent, pollenlatch.OutcomeRan, "", fmt.Sprintf("endpoint-%d", e), time.Millisecond)
		}
	}
	return c
}

// A report that is larger than a control message must arrive in pieces, without
// losing or repeating a minute.
func TestEventsArriveInPieces(t *testing.T) {
	c := filled("a", 2000)
	got := &burn.Counter{Daemon: "a", Now: c.Now}
	after, pieces := int64(0), 0
	for more := true; more; pieces++ {
		var b []byte
		b, more = bounded(c.Report(after))
		require.LessOrEqual(t, len(b), reportBytes)
		r, err := burn.Decode(b)
		require.NoError(t, err)
		require.NotEmpty(t, r.Minutes)
		require.NoError(t, got.Update(r))
		after = r.Minutes[len(r.Minutes)-1].Minute
	}
	require.Greater(t, pieces, 1)
	require.Equal(t, c.Report(0).Minutes, got.Report(0).Minutes)
}

// The copy of a neighbour that is starting again must still be there, and the
// memory for copies must stay bounded.
func TestCopiesKeepThePreviousNeighbour(t *testing.T) {
	var c copies
	first := c.begin("a")
	require.Same(t, first, c.begin("a"))
	c.begin("b")
	require.Same(t, first, c.get("a"))
	c.begin("c")
	require.Nil(t, c.get("a"))
	require.NotNil(t, c.get("b"))
}
