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

const worstKeys = 10 // outages in a report

// Report is the result of a run. Durations are in nanoseconds in JSON.
type Report struct {
	Seed     uint64        `json:"seed"`
	Rate     float64       `json:"rate"` // intended, requests a second
	Duration time.Duration `json:"duration"`
	Total    Summary       `json:"total"`
	Kinds    []Summary     `json:"kinds"`
	// Dropped counts requests that were not sent because too many were in
	// flight. MaxLag is the longest delay of a start. With either, the generator
	// did not keep up and the figures are too good.
	Dropped     int           `json:"dropped"`
	MaxLag      time.Duration `json:"lag"`
	Outages     []Outage      `json:"outages"` // the longest by key
	BucketWidth time.Duration `json:"bucket"`
	Series      []Point       `json:"series"`
}

// Summary counts the requests of one kind, or all.
type Summary struct {
	Name    string         `json:"name"`
	Sent    int            `json:"sent"`
	Good    int            `json:"good"`
	Ran     int            `json:"ran"`
	NotRun  int            `json:"not_run"`
	Unknown int            `json:"unknown"`
	Retries int            `json:"repeats"` // attempts after the first
	Reasons map[string]int `json:"reasons"` // of what was not good
	Latency Quantiles      `json:"latency"` // of good answers
}

// Quantiles are upper bounds: a value is at most 13.6% above the true one, the
// width of the histogram's buckets.
type Quantiles struct {
	P50  time.Duration `json:"p50"`
	P90  time.Duration `json:"p90"`
	P99  time.Duration `json:"p99"`
	P999 time.Duration `json:"p99.9"`
	Max  time.Duration `json:"max"` // exact
}

// Outage is the longest time in which no request of a key was answered well,
// from the start of the first that failed to the end of the next good one.
type Outage struct {
	Key      string        `json:"key"`
	Start    time.Duration `json:"start"`
	Duration time.Duration `json:"duration"`
	Ended    bool          `json:"ended"` // false: it lasted until the end of the run
}

// Point is one bucket of the time series, by intended start.
type Point struct {
	At      time.Duration `json:"at"`
	Sent    int           `json:"sent"`
	Good    int           `json:"good"`
	NotRun  int           `json:"not_run"`
	Unknown int           `json:"unknown"`
	Latency Quantiles     `json:"latency"`
}

// counter collects a Summary or a Point.
type counter struct {
	Summary
	times metrics.Histogram
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
		c.fault(r)
		return
	}
	c.Good++
	c.times.Update(r.Latency.Seconds())
	c.Latency.Max = max(c.Latency.Max, r.Latency)
}

func (c *counter) fault(r Result) {
	why := r.Reason
	if why == "" {
		why = "status-" + strconv.Itoa(r.Status)
	}
	if c.Reasons == nil {
		c.Reasons = map[string]int{}
	}
	c.Reasons[why]++
}

// summary returns the counts with the quantiles of the histogram.
func (c *counter) summary() Summary {
	s := c.Summary
	type bucket struct {
		end   float64 // seconds
		count uint64
	}
	var buckets []bucket
	c.times.VisitNonZeroBuckets(func(vmrange string, count uint64) {
		_, end, _ := strings.Cut(vmrange, "...")
		v, err := strconv.ParseFloat(end, 64)
		if err != nil {
			v = math.Inf(1)
		}
		buckets = append(buckets, bucket{v, count})
	})
	sort.Slice(buckets, func(i, j int) bool { return buckets[i].end < buckets[j].end })
	at := func(q float64) time.Duration {
		rank := uint64(math.Ceil(q * float64(s.Good)))
		for _, b := range buckets {
			if b.count >= rank {
				return min(s.Latency.Max, time.Duration(min(b.end, math.MaxInt32)*float64(time.Second)))
			}
			rank -= b.count
		}
		return s.Latency.Max
	}
	s.Latency = Quantiles{P50: at(0.5), P90: at(0.9), P99: at(0.99), P999: at(0.999), Max: s.Latency.Max}
	return s
}

// stats collects the results of a run.
type stats struct {
	cfg Config

	mu     sync.Mutex
	total  counter
	kinds  map[string]*counter
	points []*counter
	keys   map[string]*keyState
	drops  int
	lag    time.Duration
}

// keyState finds the outages of a key while results arrive, in the order in
// which requests end.
type keyState struct {
	recent []span          // good answers that an outage may end with
	open   []time.Duration // starts of failed requests with no good answer after them yet
	worst  Outage
}

type span struct{ start, end time.Duration }

func newStats(cfg Config) *stats {
	return &stats{cfg: cfg, kinds: map[string]*counter{}, keys: map[string]*keyState{}}
}

func (s *stats) dropped() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drops++
}

func (s *stats) add(r Result, late time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = max(s.lag, late)
	s.total.add(r)
	k := s.kinds[r.Kind]
	if k == nil {
		k = &counter{Summary: Summary{Name: r.Kind}}
		s.kinds[r.Kind] = k
	}
	k.add(r)
	n := int(r.Start / s.cfg.BucketWidth)
	for len(s.points) <= n {
		s.points = append(s.points, &counter{})
	}
	s.points[n].add(r)
	s.note(r)
}

func (s *stats) note(r Result) {
	k := s.keys[r.Key]
	if k == nil {
		k = &keyState{worst: Outage{Key: r.Key}}
		s.keys[r.Key] = k
	}
	if r.Good() {
		k.addGood(span{r.Start, r.Start + r.Latency}, s.cfg.Timeout)
		return
	}
	k.addBad(r.Start)
}

// addGood ends the outages that began before g did. A request that fails later
// began at most timeout before the end of g, so older answers are not needed.
func (k *keyState) addGood(g span, timeout time.Duration) {
	kept := k.open[:0]
	for _, from := range k.open {
		if from > g.start {
			kept = append(kept, from)
			continue
		}
		k.end(from, g.end, true)
	}
	k.open = kept
	k.recent = append(k.recent, g)
	if len(k.recent) == cap(k.recent) {
		k.recent = slices.DeleteFunc(k.recent, func(v span) bool { return v.start < g.end-timeout })
	}
}

func (k *keyState) addBad(from time.Duration) {
	end := time.Duration(-1)
	for _, g := range k.recent {
		if g.start >= from && (end < 0 || g.end < end) {
			end = g.end
		}
	}
	if end < 0 {
		k.open = append(k.open, from)
		return
	}
	k.end(from, end, true)
}

func (k *keyState) end(from, to time.Duration, ended bool) {
	if to-from > k.worst.Duration {
		k.worst.Start, k.worst.Duration, k.worst.Ended = from, to-from, ended
	}
}

func (s *stats) report() Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := Report{
		Seed: s.cfg.Seed, Rate: s.cfg.Rate, Duration: s.cfg.Duration, BucketWidth: s.cfg.BucketWidth,
		Total: s.total.summary(), Dropped: s.drops, MaxLag: s.lag,
	}
	r.Total.Name = "total"
	for _, k := range s.kinds {
		r.Kinds = append(r.Kinds, k.summary())
	}
	sort.Slice(r.Kinds, func(i, j int) bool { return r.Kinds[i].Name < r.Kinds[j].Name })
	for i, p := range s.points {
		v := p.summary()
		r.Series = append(r.Series, Point{
			At: time.Duration(i) * s.cfg.BucketWidth, Sent: v.Sent, Good: v.Good,
			NotRun: v.NotRun, Unknown: v.Unknown, Latency: v.Latency,
		})
	}
	for _, k := range s.keys {
		for _, from := range k.open {
			k.end(from, s.cfg.Duration, false)
		}
		if k.worst.Duration > 0 {
			r.Outages = append(r.Outages, k.worst)
		}
	}
	sort.Slice(r.Outages, func(i, j int) bool {
		a, b := r.Outages[i], r.Outages[j]
		return a.Duration > b.Duration || (a.Duration == b.Duration && a.Key < b.Key)
	})
	r.Outages = r.Outages[:min(len(r.Outages), worstKeys)]
	return r
}

// WriteJSON writes the whole report.
func (r Report) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// WriteCSV writes the time series, with times in milliseconds.
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

// String returns the totals on a few lines.
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
