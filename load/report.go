package load

import (
	"encoding/csv"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"pollenlatch"
)

const maxOutages = 10 // in a report

// Report is the result of a run. Durations are in nanoseconds in JSON.
type Report struct {
	Seed     uint64        `json:"seed"`
	Rate     float64       `json:"rate"` // intended requests per second
	Duration time.Duration `json:"duration"`
	Total    Summary       `json:"total"`
	Kinds    []Summary     `json:"kinds"`
	// Dropped counts requests that were not sent because MaxInFlight was reached.
	// MaxLag is the longest delay between the intended and the real start of a
	// request. If either is high, the generator did not keep up, and the report
	// shows better results than callers would see.
	Dropped     int           `json:"dropped"`
	MaxLag      time.Duration `json:"lag"`
	Outages     []Outage      `json:"outages"` // the longest one of each key, longest first
	BucketWidth time.Duration `json:"bucket"`
	Series      []Point       `json:"series"`
}

// Summary summarises the requests of one kind, or all requests.
type Summary struct {
	Name    string         `json:"name"`
	Sent    int            `json:"sent"`
	Good    int            `json:"good"`
	Ran     int            `json:"ran"`
	NotRun  int            `json:"not_run"`
	Unknown int            `json:"unknown"`
	Retries int            `json:"repeats"` // attempts after the first
	Reasons map[string]int `json:"reasons"` // number of requests that were not good, by reason
	Latency Quantiles      `json:"latency"` // of good requests
}

// Quantiles holds quantiles of latencies. Each is an upper bound that exceeds the
// true value by at most 13.6%, the width of the histogram's buckets.
type Quantiles struct {
	P50  time.Duration `json:"p50"`
	P90  time.Duration `json:"p90"`
	P99  time.Duration `json:"p99"`
	P999 time.Duration `json:"p99.9"`
	Max  time.Duration `json:"max"` // exact
}

// Outage is a time without service for a key: from the start of a request that
// failed to the end of the next good request.
type Outage struct {
	Key      string        `json:"key"`
	Start    time.Duration `json:"start"`
	Duration time.Duration `json:"duration"`
	Ended    bool          `json:"ended"` // false if it lasted until the end of the run
}

// Point is one bucket of the time series. Requests count by their intended start.
type Point struct {
	At      time.Duration `json:"at"`
	Sent    int           `json:"sent"`
	Good    int           `json:"good"`
	NotRun  int           `json:"not_run"`
	Unknown int           `json:"unknown"`
	Latency Quantiles     `json:"latency"`
}

// counter collects the results for a Summary or a Point.
type counter struct {
	Summary
	latencies metrics.Histogram
}

func (c *counter) add(r Result) {
	c.Sent++
	c.Retries += r.Attempts - 1
	switch r.Outcome {
	case pollenlatch.OutcomeRan:
		c.Ran++
	case pollenlatch.OutcomeNotRun:
		c.NotRun++
	default:
		c.Unknown++
	}
	if !r.Good() {
		c.countFailure(r)
		return
	}
	c.Good++
	c.latencies.Update(r.Latency.Seconds())
	c.Latency.Max = max(c.Latency.Max, r.Latency)
}

func (c *counter) countFailure(r Result) {
	reason := r.Reason
	if reason == "" {
		reason = "status-" + strconv.Itoa(r.Status)
	}
	if c.Reasons == nil {
		c.Reasons = map[string]int{}
	}
	c.Reasons[reason]++
}

// summary returns the counts, with quantiles from the histogram.
func (c *counter) summary() Summary {
	s := c.Summary
	type bucket struct {
		end   float64 // seconds
		count uint64
	}
	var buckets []bucket
	c.latencies.VisitNonZeroBuckets(func(vmrange string, count uint64) {
		_, end, _ := strings.Cut(vmrange, "...")
		v, err := strconv.ParseFloat(end, 64)
		if err != nil {
			v = math.Inf(1)
		}
		buckets = append(buckets, bucket{v, count})
	})
	sort.Slice(buckets, func(i, j int) bool { return buckets[i].end < buckets[j].end })
	quantile := func(q float64) time.Duration {
		rank := uint64(math.Ceil(q * float64(s.Good)))
		for _, b := range buckets {
			if b.count >= rank {
				return min(s.Latency.Max, time.Duration(min(b.end, math.MaxInt32)*float64(time.Second)))
			}
			rank -= b.count
		}
		return s.Latency.Max
	}
	s.Latency = Quantiles{P50: quantile(0.5), P90: quantile(0.9), P99: quantile(0.99), P999: quantile(0.999), Max: s.Latency.Max}
	return s
}

// stats collects the results of a run.
type stats struct {
	cfg Config

	mu           sync.Mutex
	total        counter
	kinds        map[string]*counter
	buckets      []*counter                // of the time series
	outages      map[string]*outageTracker // by key
	droppedCount int
	maxLag       time.Duration
}

// outageTracker finds the longest outage of a key. Results arrive in the order in
// which requests end.
type outageTracker struct {
	recentGood   []interval      // good requests that may end an outage
	openFailures []time.Duration // starts of failed requests without a good request after them yet
	longest      Outage
}

// interval is the time from the start to the end of a request.
type interval struct{ start, end time.Duration }

func newStats(cfg Config) *stats {
	return &stats{cfg: cfg, kinds: map[string]*counter{}, outages: map[string]*outageTracker{}}
}

func (s *stats) countDropped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.droppedCount++
}

func (s *stats) add(r Result, lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxLag = max(s.maxLag, lag)
	s.total.add(r)
	k := s.kinds[r.Kind]
	if k == nil {
		k = &counter{Summary: Summary{Name: r.Kind}}
		s.kinds[r.Kind] = k
	}
	k.add(r)
	n := int(r.Start / s.cfg.BucketWidth)
	for len(s.buckets) <= n {
		s.buckets = append(s.buckets, &counter{})
	}
	s.buckets[n].add(r)
	s.trackOutages(r)
}

func (s *stats) trackOutages(r Result) {
	t := s.outages[r.Key]
	if t == nil {
		t = &outageTracker{longest: Outage{Key: r.Key}}
		s.outages[r.Key] = t
	}
	if r.Good() {
		t.addGood(interval{r.Start, r.Start + r.Latency}, s.cfg.Timeout)
		return
	}
	t.addFailure(r.Start)
}

// addGood ends the outages that began before the good request g. A request that
// fails later began at most timeout before the end of g, so earlier good requests
// need not be kept.
func (t *outageTracker) addGood(g interval, timeout time.Duration) {
	stillOpen := t.openFailures[:0]
	for _, from := range t.openFailures {
		if from > g.start {
			stillOpen = append(stillOpen, from)
			continue
		}
		t.recordOutage(from, g.end, true)
	}
	t.openFailures = stillOpen
	t.recentGood = append(t.recentGood, g)
	if len(t.recentGood) == cap(t.recentGood) {
		t.recentGood = slices.DeleteFunc(t.recentGood, func(v interval) bool { return v.start < g.end-timeout })
	}
}

// addFailure adds the start of a failed request. Its outage ends with the first of
// the recent good requests that began after it, or stays open.
func (t *outageTracker) addFailure(from time.Duration) {
	end := time.Duration(-1)
	for _, g := range t.recentGood {
		if g.start >= from && (end < 0 || g.end < end) {
			end = g.end
		}
	}
	if end < 0 {
		t.openFailures = append(t.openFailures, from)
		return
	}
	t.recordOutage(from, end, true)
}

// recordOutage keeps the longest outage.
func (t *outageTracker) recordOutage(from, to time.Duration, ended bool) {
	if to-from > t.longest.Duration {
		t.longest.Start, t.longest.Duration, t.longest.Ended = from, to-from, ended
	}
}

func (s *stats) report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{
		Seed: s.cfg.Seed, Rate: s.cfg.Rate, Duration: s.cfg.Duration, BucketWidth: s.cfg.BucketWidth,
		Total: s.total.summary(), Dropped: s.droppedCount, MaxLag: s.maxLag,
	}
	r.Total.Name = "total"
	for _, k := range s.kinds {
		r.Kinds = append(r.Kinds, k.summary())
	}
	sort.Slice(r.Kinds, func(i, j int) bool { return r.Kinds[i].Name < r.Kinds[j].Name })
	for i, b := range s.buckets {
		v := b.summary()
		r.Series = append(r.Series, Point{
			At: time.Duration(i) * s.cfg.BucketWidth, Sent: v.Sent, Good: v.Good,
			NotRun: v.NotRun, Unknown: v.Unknown, Latency: v.Latency,
		})
	}
	for _, t := range s.outages {
		for _, from := range t.openFailures {
			t.recordOutage(from, s.cfg.Duration, false)
		}
		if t.longest.Duration > 0 {
			r.Outages = append(r.Outages, t.longest)
		}
	}
	sort.Slice(r.Outages, func(i, j int) bool {
		a, b := r.Outages[i], r.Outages[j]
		return a.Duration > b.Duration || (a.Duration == b.Duration && a.Key < b.Key)
	})
	r.Outages = r.Outages[:min(len(r.Outages), maxOutages)]
	return r
}

// WriteJSON writes the whole report as indented JSON.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteCSV writes the time series as CSV, with times in milliseconds.
func (r Report) WriteCSV(w io.Writer) error {
	c := csv.NewWriter(w)
	rows := [][]string{{"at_ms", "sent", "good", "not_run", "unknown", "p50_ms", "p99_ms", "p99.9_ms", "max_ms"}}
	for _, p := range r.Series {
		row := []string{ms(p.At)}
		for _, n := range []int{p.Sent, p.Good, p.NotRun, p.Unknown} {
			row = append(row, strconv.Itoa(n))
		}
		rows = append(rows, append(row, ms(p.Latency.P50), ms(p.Latency.P99), ms(p.Latency.P999), ms(p.Latency.Max)))
	}
	return c.WriteAll(rows)
}

func ms(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 3, 64)
}

// String returns one line for all requests, one for each kind, and one for the
// generator itself.
func (r Report) String() string {
	var b strings.Builder
	for _, s := range append([]Summary{r.Total}, r.Kinds...) {
		q := s.Latency
		fmt.Fprintf(&b, "%s: sent %d, good %d, not-run %d, unknown %d, repeats %d, p50 %s ms, p99 %s ms, p99.9 %s ms, max %s ms\n",
			s.Name, s.Sent, s.Good, s.NotRun, s.Unknown, s.Retries, ms(q.P50), ms(q.P99), ms(q.P999), ms(q.Max))
	}
	fmt.Fprintf(&b, "generator: dropped %d, longest lag %s ms\n", r.Dropped, ms(r.MaxLag))
	return b.String()
}
