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

var startTime = time.Unix(1_800_000_000, 0)

var services = []pollenlatch.Service{{Name: "claims", Objectives: []pollenlatch.Objective{
	{Class: pollenlatch.ClassUrgent, Availability: 0.99, Latency: 10 * time.Millisecond, FastShare: 0.9},
}}}

// newCounter returns the counter of a daemon and its time, which the caller may
// change.
func newCounter(name string) (*Counter, *time.Time) {
	now := startTime
	c := &Counter{
		Daemon: name,
		DC:     func(string) string { return "nadia" },
		Now:    func() time.Time { return now },
	}
	c.SetObjectives(services)
	return c, &now
}

func recordN(c *Counter, n int, o pollenlatch.Outcome, r pollenlatch.Reason, d time.Duration) {
	for range n {
		c.Record("claims", pollenlatch.ClassUrgent, o, r, "s1", d)
	}
}

func summaryLines(t *testing.T, now time.Time, expected []string, reports ...*Report) []Line {
	t.Helper()
	s := NewSummary(now, expected)
	for _, r := range reports {
		require.NoError(t, s.Add(r))
	}
	return s.Lines(services)
}

// A wrong burn rate raises false alerts or hides real ones.
func TestBurnRates(t *testing.T) {
	c, now := newCounter("a")
	recordN(c, 960, pollenlatch.OutcomeRan, "", time.Millisecond)
	*now = now.Add(30 * time.Minute)
	recordN(c, 20, pollenlatch.OutcomeRan, "", 20*time.Millisecond)
	recordN(c, 20, pollenlatch.OutcomeNotRun, pollenlatch.ReasonQueueFull, 0)
	recordN(c, 50, pollenlatch.OutcomeNotRun, pollenlatch.ReasonRateLimited, 0)
	l := summaryLines(t, *now, nil, c.Report(0))
	require.Len(t, l, 2)

	require.Equal(t, Availability, l[0].Kind)
	require.Equal(t, uint64(40), l[0].Rates[0].Events, "requests that fail through the caller's fault are not counted")
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

// A daemon that does not report must show as missing. Counted as free of errors,
// it would hide an outage.
func TestMissingDaemons(t *testing.T) {
	a, now := newCounter("a")
	recordN(a, 10, pollenlatch.OutcomeRan, "", 0)
	for _, c := range []struct {
		name    string
		report  func() *Report
		missing bool
	}{
		{"no report", nil, true},
		{"idle but counting", func() *Report {
			b, _ := newCounter("b")
			b.Tick()
			return b.Report(0)
		}, false},
		{"report without minutes", func() *Report {
			b, _ := newCounter("b")
			return b.Report(0)
		}, true},
		{"old report", func() *Report {
			b, reported := newCounter("b")
			*reported = reported.Add(-time.Hour)
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
		l := summaryLines(t, *now, []string{"a"})
		require.Nil(t, l[0].BudgetLeft)
		require.Nil(t, l[0].Rates[0].Burn)
		require.Equal(t, "unknown", l[0].alertText())
	})
}

// A second report of the same daemon must be refused: it would count the events
// twice.
func TestAddRefusesDuplicateReport(t *testing.T) {
	a, now := newCounter("a")
	recordN(a, 1, pollenlatch.OutcomeRan, "", 0)
	s := NewSummary(*now, nil)
	require.NoError(t, s.Add(a.Report(0)))
	require.ErrorIs(t, s.Add(a.Report(0)), ErrDuplicateReport)
	b, _ := newCounter("b")
	recordN(b, 2, pollenlatch.OutcomeRan, "", 0)
	require.NoError(t, s.Add(b.Report(0)))
	require.Equal(t, uint64(3), s.Lines(services)[0].Rates[3].Events)
}

// Memory must not grow with the number of series or with time. Events of series
// beyond the limits must still be counted.
func TestMemoryLimit(t *testing.T) {
	c, now := newCounter("a")
	for i := range 200 {
		for j := range 200 {
			c.Record("claims", pollenlatch.ClassUrgent, pollenlatch.OutcomeRan, "", fmt.Sprintf("s%d-%d", i, j), 0)
		}
		*now = now.Add(time.Minute)
	}
	require.LessOrEqual(t, len(c.series), 2*softMaxSeries+9)
	for _, b := range c.buckets {
		require.LessOrEqual(t, len(b.cells), maxCellsPerMinute+1)
	}
	require.Equal(t, uint64(200*200), summaryLines(t, *now, nil, c.Report(0))[0].Rates[3].Events, "nothing is lost")
	*now = now.Add(3 * 24 * time.Hour)
	require.Empty(t, c.Report(0).Minutes, "minutes older than 3 days are dropped")
	for range RetentionMinutes {
		*now = now.Add(time.Minute)
		c.Tick()
	}
	require.Less(t, len(c.series), softMaxSeries, "unused series are dropped")
}

// A peer's copy that counts a minute twice, or misses one, shows another error
// budget than the daemon itself.
func TestUpdateCopiesCounter(t *testing.T) {
	c, now := newCounter("a")
	replica, replicaNow := newCounter("a")
	after := int64(0)
	for i := range 200 {
		recordN(c, i, pollenlatch.OutcomeRan, "", 0)
		*now = now.Add(25 * time.Second)
		*replicaNow = *now
		r := c.Report(after)
		after = r.CreatedMinute - 1 // the last minute is not complete yet
		b, err := r.Encode()
		require.NoError(t, err)
		require.Less(t, len(b), 200)
		decoded, err := Decode(b)
		require.NoError(t, err)
		require.NoError(t, replica.Update(decoded))
	}
	require.Equal(t, c.Report(0), replica.Report(0))
}

// Malformed reports must be refused before they reach the counts.
func TestDecodeMalformedReport(t *testing.T) {
	for _, c := range []struct {
		name string
		r    Report
	}{
		{"no daemon", Report{CreatedMinute: 1}},
		{"series out of range", Report{Daemon: "a", CreatedMinute: 1, Minutes: []MinuteCounts{{1, []Cell{{Series: 1, Events: 1}}}}}},
		{"minutes out of order", Report{Daemon: "a", CreatedMinute: 9, Minutes: []MinuteCounts{{5, nil}, {4, nil}}}},
		{"minute of the future", Report{Daemon: "a", CreatedMinute: 1, Minutes: []MinuteCounts{{2, nil}}}},
		{"more slow than all events", Report{Daemon: "a", CreatedMinute: 1, Series: make([]Series, 1), Minutes: []MinuteCounts{{1, []Cell{{Events: 1, Slow: 2}}}}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b, err := c.r.Encode()
			require.NoError(t, err)
			_, err = Decode(b)
			require.ErrorIs(t, err, ErrMalformedReport)
		})
	}
}

// Buckets must survive a restart, and a damaged file must be refused. Otherwise an
// error budget that was spent seems to be left.
func TestSaveAndLoad(t *testing.T) {
	dir := t.TempDir()
	c, now := newCounter("a")
	require.NoError(t, c.Load(dir), "no file yet")
	recordN(c, 5, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 0)
	*now = now.Add(time.Minute)
	c.Tick()
	require.NoError(t, c.Save(dir))
	entries, err := os.ReadDir(dir)
	require.NoError(t, err)
	require.Len(t, entries, 1, "no temporary file is left")

	restored, restoredNow := newCounter("a")
	*restoredNow = now.Add(time.Minute)
	require.NoError(t, restored.Load(dir))
	recordN(restored, 1, pollenlatch.OutcomeRan, "", 0)
	r := restored.Report(0)
	require.Len(t, r.Minutes, 3)
	require.Equal(t, uint64(5), summaryLines(t, *restoredNow, nil, r)[0].Rates[0].Bad)

	path := filepath.Join(dir, fileName)
	b, err := os.ReadFile(path)
	require.NoError(t, err)
	for name, damaged := range map[string][]byte{"truncated": b[:len(b)-1], "flipped bit": append([]byte{b[0] ^ 1}, b[1:]...), "empty": {}} {
		t.Run(name, func(t *testing.T) {
			require.NoError(t, os.WriteFile(path, damaged, 0o600))
			fresh, _ := newCounter("a")
			require.Error(t, fresh.Load(dir))
			require.Empty(t, fresh.Report(0).Minutes)
		})
	}
}

// The page must be self-contained, and names of endpoints must be escaped. The
// JSON must contain the whole report.
func TestHTMLAndJSON(t *testing.T) {
	c, now := newCounter("a")
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
	for _, forbidden := range []string{"<script", "<link", "src=", "@import"} {
		require.NotContains(t, html, forbidden)
	}
	b.Reset()
	d := s.Document(services)
	require.NoError(t, d.WriteJSON(&b))
	var back Document
	require.NoError(t, json.Unmarshal(b.Bytes(), &back))
	require.Equal(t, d, back)
	require.True(t, back.Lines[0].Fast)
}

// BenchmarkRecord measures the cost of counting on the request path.
func BenchmarkRecord(b *testing.B) {
	c, _ := newCounter("a")
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			c.Record("claims", pollenlatch.ClassUrgent, pollenlatch.OutcomeRan, "", "s1", time.Millisecond)
		}
	})
}
