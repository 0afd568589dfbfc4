package burn

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

var start = time.Unix(1_800_000_000, 0)

var services = []pollenlatch.Service{{Name: "claims", Objectives: []pollenlatch.Objective{
	{Class: pollenlatch.ClassUrgent, Availability: 0.99, Latency: 10 * time.Millisecond, FastShare: 0.9},
}}}

// counter returns a counter of a daemon whose time the caller sets.
func counter(name string) (*Counter, *time.Time) {
	now := start
	c := &Counter{
		Daemon: name,
		DC:     func(string) string { return "nadia" },
		Now:    func() time.Time { return now },
	}
	c.SetObjectives(services)
	return c, &now
}

func record(c *Counter, n int, o pollenlatch.Outcome, r pollenlatch.Reason, d time.Duration) {
	for range n {
		c.Record("claims", pollenlatch.ClassUrgent, o, r, "s1", d)
	}
}

func lines(t *testing.T, now time.Time, expected []string, reports ...*Report) []Line {
	t.Helper()
	s := NewSummary(now, expected)
	for _, r := range reports {
		require.NoError(t, s.Add(r))
	}
	return s.Lines(services)
}

// A wrong burn rate alerts for nothing, or not at all.
func TestBurnRates(t *testing.T) {
	c, now := counter("a")
	record(c, 960, pollenlatch.OutcomeRan, "", time.Millisecond)
	*now = now.Add(30 * time.Minute)
	record(c, 20, pollenlatch.OutcomeRan, "", 20*time.Millisecond)
	record(c, 20, pollenlatch.OutcomeNotRun, pollenlatch.ReasonQueueFull, 0)
	record(c, 50, pollenlatch.OutcomeNotRun, pollenlatch.ReasonRateLimited, 0)
	l := lines(t, *now, nil, c.Report(0))
	require.Len(t, l, 2)

	require.Equal(t, Availability, l[0].Kind)
	require.Equal(t, uint64(40), l[0].Rates[0].Events, "the caller's own faults are no events")
	require.InDelta(t, 50, *l[0].Rates[0].Burn, 1e-9)
	require.InDelta(t, 2, *l[0].Rates[1].Burn, 1e-9)
	require.InDelta(t, -1, *l[0].BudgetLeft, 1e-9)
	require.True(t, l[0].Slow)
	require.False(t, l[0].Fast, "the hour's rate is below the threshold")
	require.Equal(t, pollenlatch.OutcomeNotRun, l[0].Contributors[0].Outcome)
	require.Equal(t, "nadia", l[0].Contributors[0].DC)
	require.InDelta(t, 1, l[0].Contributors[0].Share, 1e-9)

	require.Equal(t, Latency, l[1].Kind)
	require.InDelta(t, 10, *l[1].Rates[0].Burn, 1e-9)
	require.Equal(t, uint64(980), l[1].Rates[3].Events)
}

// A daemon that is silent and shown as good hides an outage.
func TestMissingIsNotGood(t *testing.T) {
	a, now := counter("a")
	record(a, 10, pollenlatch.OutcomeRan, "", 0)
	for _, c := range []struct {
		name    string
		report  func() *Report
		missing bool
	}{
		{"no report", nil, true},
		{"idle but counting", func() *Report {
			b, _ := counter("b")
			b.Tick()
			return b.Report(0)
		}, false},
		{"report without minutes", func() *Report {
			b, _ := counter("b")
			return b.Report(0)
		}, true},
		{"old report", func() *Report {
			b, at := counter("b")
			*at = at.Add(-time.Hour)
			b.Tick()
			return b.Report(0)
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewSummary(*now, []string{"a", "b"})
			require.NoError(t, s.Add(a.Report(0)))
			if c.report != nil {
				require.NoError(t, s.Add(c.report()))
			}
			require.False(t, s.Daemons()[0].Missing)
			require.Equal(t, c.missing, s.Daemons()[1].Missing)
			var b bytes.Buffer
			d := s.Document(services)
			require.NoError(t, d.WriteTable(&b))
			require.Equal(t, c.missing, strings.Contains(b.String(), "missing: 1 of 2 daemons do not report: b"))
			require.Equal(t, c.missing, strings.Contains(b.String(), "at most"))
		})
	}
	t.Run("no data at all", func(t *testing.T) {
		l := lines(t, *now, []string{"a"})
		require.Nil(t, l[0].BudgetLeft)
		require.Nil(t, l[0].Rates[0].Burn)
		require.Equal(t, "unknown", l[0].alert())
	})
}

// Two reports of one daemon in a summary count its events twice.
func TestAddOnce(t *testing.T) {
	a, now := counter("a")
	record(a, 1, pollenlatch.OutcomeRan, "", 0)
	s := NewSummary(*now, nil)
	require.NoError(t, s.Add(a.Report(0)))
	require.ErrorIs(t, s.Add(a.Report(0)), ErrDuplicateReport)
	b, _ := counter("b")
	record(b, 2, pollenlatch.OutcomeRan, "", 0)
	require.NoError(t, s.Add(b.Report(0)))
	require.Equal(t, uint64(3), s.Lines(services)[0].Rates[3].Events)
}

// Buckets that are never given up, or series without a bound, use up memory.
func TestMemoryIsBounded(t *testing.T) {
	c, now := counter("a")
	for i := range 200 {
		for j := range 200 {
			c.Record("claims", pollenlatch.ClassUrgent, pollenlatch.OutcomeRan, "", fmt.Sprintf("s%d-%d", i, j), 0)
		}
		*now = now.Add(time.Minute)
	}
	require.LessOrEqual(t, len(c.series), 2*maxSeries+9)
	for _, b := range c.buckets {
		require.LessOrEqual(t, len(b.cells), maxCells+1)
	}
	require.Equal(t, uint64(200*200), lines(t, *now, nil, c.Report(0))[0].Rates[3].Events, "nothing is lost")
	*now = now.Add(3 * 24 * time.Hour)
	require.Empty(t, c.Report(0).Minutes, "3 days later")
	for range RetentionMinutes {
		*now = now.Add(time.Minute)
		c.Tick()
	}
	require.Less(t, len(c.series), maxSeries, "unused series are dropped")
}

// A peer that adds a minute twice, or loses one, shows another budget than the
// daemon itself.
func TestFollow(t *testing.T) {
	c, now := counter("a")
	peer, at := counter("a")
	after := int64(0)
	for i := range 200 {
		record(c, i, pollenlatch.OutcomeRan, "", 0)
		*now = now.Add(25 * time.Second)
		*at = *now
		r := c.Report(after)
		after = r.CreatedMinute - 1 // the last minute goes on
		b, err := r.Encode()
		require.NoError(t, err)
		require.Less(t, len(b), 200)
		back, err := Decode(b)
		require.NoError(t, err)
		require.NoError(t, peer.Update(back))
	}
	require.Equal(t, c.Report(0), peer.Report(0))
}

// A report that is damaged or lies about its size must not reach the counts.
func TestDecodeRefuses(t *testing.T) {
	for _, c := range []struct {
		name string
		r    Report
	}{
		{"no daemon", Report{CreatedMinute: 1}},
		{"series out of range", Report{Daemon: "a", CreatedMinute: 1, Minutes: []MinuteCounts{{1, []Cell{{Series: 1, Events: 1}}}}}},
		{"minutes out of order", Report{Daemon: "a", CreatedMinute: 9, Minutes: []MinuteCounts{{5, nil}, {4, nil}}}},
		{"minute of the future", Report{Daemon: "a", CreatedMinute: 1, Minutes: []MinuteCounts{{2, nil}}}},
		{"more slow than all", Report{Daemon: "a", CreatedMinute: 1, Series: make([]Series, 1), Minutes: []MinuteCounts{{1, []Cell{{Events: 1, Slow: 2}}}}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, err := c.r.Encode()
			require.NoError(t, err)
			_, err = Decode(b)
			require.ErrorIs(t, err, ErrMalformedReport)
		})
	}
}

// A restart that loses the buckets, or a torn file that is read, gives a
// budget back that was spent.
func TestSaveAndLoad(t *testing.T) {
	dir := t.TempDir()
	c, now := counter("a")
	require.NoError(t, c.Load(dir), "no file yet")
	record(c, 5, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 0)
	*now = now.Add(time.Minute)
	c.Tick()
	require.NoError(t, c.Save(dir))
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.Len(t, entries, 1, "no temporary file is left")

	back, at := counter("a")
	*at = now.Add(time.Minute)
	require.NoError(t, back.Load(dir))
	record(back, 1, pollenlatch.OutcomeRan, "", 0)
	r := back.Report(0)
	require.Len(t, r.Minutes, 3)
	require.Equal(t, uint64(5), lines(t, *at, nil, r)[0].Rates[0].Bad)

	path := filepath.Join(dir, fileName)
	b, err := os.ReadFile(path)
	require.NoError(t, err)
	for name, damaged := range map[string][]byte{"torn": b[:len(b)-1], "flipped": append([]byte{b[0] ^ 1}, b[1:]...), "empty": {}} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, os.WriteFile(path, damaged, 0o600))
			fresh, _ := counter("a")
			require.Error(t, fresh.Load(dir))
			require.Empty(t, fresh.Report(0).Minutes)
		})
	}
}

// A page that needs other files or runs names from endpoints as markup is not
// safe to pass on.
func TestOutputs(t *testing.T) {
	c, now := counter("a")
	for range 90 {
		c.Record("claims", pollenlatch.ClassUrgent, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, "<script>", 0)
		*now = now.Add(time.Minute)
	}
	s := NewSummary(*now, []string{"a", "b"})
	require.NoError(t, s.Add(c.Report(0)))
	var b bytes.Buffer
	require.NoError(t, s.WriteHTML(&b, services))
	html := b.String()
	require.Equal(t, 2, strings.Count(html, "<svg"))
	require.Contains(t, html, "1 of 2 daemons do not report")
	require.Contains(t, html, "&lt;script&gt;")
	for _, outside := range []string{"<script", "<link", "src=", "@import"} {
		require.NotContains(t, html, outside)
	}
	b.Reset()
	d := s.Document(services)
	require.NoError(t, d.WriteJSON(&b))
	var back Document
	require.NoError(t, json.Unmarshal(b.Bytes(), &back))
	require.Equal(t, d, back)
	require.True(t, back.Lines[0].Fast)
}

// BenchmarkRecord is the cost on the request path.
func BenchmarkRecord(b *testing.B) {
	c, _ := counter("a")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c.Record("claims", pollenlatch.ClassUrgent, pollenlatch.OutcomeRan, "", "s1", time.Millisecond)
		}
	})
}
