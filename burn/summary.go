package burn

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"pollenlatch"
)

// Window is a period, ending now, over which a burn rate is computed.
type Window struct {
	Name    string
	Minutes int
}

// Windows are the windows of a report, in ascending order.
var Windows = [...]Window{{"5m", 5}, {"1h", 60}, {"6h", 360}, {"3d", RetentionMinutes}}

// Thresholds of the alerts. An alert fires while the burn rates of both its
// windows reach the threshold: the long window shows that the loss is
// significant, the short one that it continues.
const (
	fastBurnThreshold = 14.4 // 5 min and 1 h; spends 1/5 of the 3-day budget in an hour
	slowBurnThreshold = 1    // 6 h and 3 d; spends the whole 3-day budget
)

// ErrDuplicateReport is returned for a second report of the same daemon.
var ErrDuplicateReport = errors.New("duplicate burn report of a daemon")

// staleMinutes is the maximum age of the last minute of a daemon that is not
// missing.
const staleMinutes = 2

// DaemonStatus says what a summary has of one daemon.
type DaemonStatus struct {
	Name           string `json:"name"`
	Missing        bool   `json:"missing"` // there is no report, or it ends more than staleMinutes ago
	MinutesCounted int    `json:"minutes"` // minutes of the 3 days in which the daemon counted
	LastMinute     int64  `json:"last"`    // last of these, in Unix minutes; 0 if there is none
}

// tally is a number of events, with those of them that are bad or slow.
type tally struct{ total, bad, slow uint64 }

func (t *tally) add(other tally) {
	t.total += other.total
	t.bad += other.bad
	t.slow += other.slow
}

// Summary is the sum of the reports of all daemons at one time.
type Summary struct {
	now         int64 // Unix minute
	daemons     []DaemonStatus
	byClass     map[serviceClass]*[RetentionMinutes]tally // array indexed by minutes before now
	badBySeries map[Series]*tally                         // series with bad or slow events
}

// NewSummary returns a summary for the 3 days before now. The daemons are missing
// until their reports are added.
func NewSummary(now time.Time, daemons []string) *Summary {
	s := &Summary{now: now.Unix() / 60, byClass: make(map[serviceClass]*[RetentionMinutes]tally), badBySeries: make(map[Series]*tally)}
	for _, d := range daemons {
		s.daemonIndex(d)
	}
	return s
}

// daemonIndex returns the index of a daemon, which it adds if it is new.
func (s *Summary) daemonIndex(name string) int {
	i, ok := slices.BinarySearchFunc(s.daemons, name, func(d DaemonStatus, n string) int { return cmp.Compare(d.Name, n) })
	if !ok {
		s.daemons = slices.Insert(s.daemons, i, DaemonStatus{Name: name, Missing: true})
	}
	return i
}

// Add adds the report of one daemon. It ignores minutes that are after the
// summary's time or older than 3 days.
func (s *Summary) Add(r *Report) error {
	if err := r.Check(); err != nil {
		return err
	}
	d := &s.daemons[s.daemonIndex(r.Daemon)]
	if d.LastMinute != 0 {
		return fmt.Errorf("%w: %s", ErrDuplicateReport, r.Daemon)
	}
	for _, m := range r.Minutes {
		age := s.now - m.Minute
		if age < 0 || age >= RetentionMinutes {
			continue
		}
		d.MinutesCounted++
		d.LastMinute = m.Minute
		for _, c := range m.Cells {
			s.addCell(r.Series[c.Series], int(age), c)
		}
	}
	d.Missing = s.now-d.LastMinute > staleMinutes
	return nil
}

func (s *Summary) addCell(series Series, age int, c Cell) {
	t := tally{total: c.Events, slow: uint64(c.Slow)}
	if series.Bad() {
		t.bad = c.Events
	}
	key := serviceClass{series.Service, series.Class}
	if s.byClass[key] == nil {
		s.byClass[key] = &[RetentionMinutes]tally{}
	}
	s.byClass[key][age].add(t)
	if t.bad+t.slow == 0 {
		return
	}
	if s.badBySeries[series] == nil {
		s.badBySeries[series] = &tally{}
	}
	s.badBySeries[series].add(t)
}

// Daemons returns the status of each daemon, sorted by name.
func (s *Summary) Daemons() []DaemonStatus { return slices.Clone(s.daemons) }

// Rate is the burn rate over one window.
type Rate struct {
	Window string   `json:"window"`
	Events uint64   `json:"events"`
	Bad    uint64   `json:"bad"`
	Burn   *float64 `json:"burn"` // 1 spends the budget exactly; nil without events
}

// Contributor is a series with its share of an objective's bad events of 3 days.
type Contributor struct {
	Series
	Bad   uint64  `json:"bad"`
	Share float64 `json:"share"` // 0 to 1
}

// Kinds of objectives.
const (
	Availability = "availability"
	Latency      = "latency"
)

// Line is the line of the report for one objective.
type Line struct {
	Service      string            `json:"service"`
	Class        pollenlatch.Class `json:"class"`
	Kind         string            `json:"kind"`
	Objective    float64           `json:"objective"` // share of good events
	BudgetLeft   *float64          `json:"left"`      // share of the 3-day budget; negative when overspent; nil without events
	Rates        []Rate            `json:"rates"`
	Fast         bool              `json:"fast"` // whether the alert on 5 min and 1 h fires
	Slow         bool              `json:"slow"` // whether the alert on 6 h and 3 d fires
	Contributors []Contributor     `json:"spent"`
	Partial      bool              `json:"partial"` // daemons are missing, so that the true burn rates may be higher
}

// maxContributors limits the length of Line.Contributors.
const maxContributors = 5

// Lines returns a line for each objective of the services, in their order.
func (s *Summary) Lines(services []pollenlatch.Service) []Line {
	var lines []Line
	for _, svc := range services {
		for _, o := range svc.Objectives {
			if o.Availability > 0 {
				lines = append(lines, s.line(svc.Name, o.Class, Availability, o.Availability))
			}
			if o.Latency > 0 && o.FastShare > 0 {
				lines = append(lines, s.line(svc.Name, o.Class, Latency, o.FastShare))
			}
		}
	}
	return lines
}

// events returns the number of events of a kind of objective, and of those of
// them that are bad. A latency objective counts only requests with a response.
func (t tally) events(kind string) (total, bad uint64) {
	if kind == Latency {
		return t.total - t.bad, t.slow
	}
	return t.total, t.bad
}

func (s *Summary) line(service string, class pollenlatch.Class, kind string, objective float64) Line {
	l := Line{Service: service, Class: class, Kind: kind, Objective: objective}
	for _, d := range s.daemons {
		l.Partial = l.Partial || d.Missing
	}
	minutes := s.byClass[serviceClass{service, class}]
	var sum tally
	age := 0
	for _, w := range Windows {
		for ; minutes != nil && age < w.Minutes; age++ {
			sum.add(minutes[age])
		}
		r := Rate{Window: w.Name}
		r.Events, r.Bad = sum.events(kind)
		r.Burn = burnRate(r.Events, r.Bad, objective)
		l.Rates = append(l.Rates, r)
	}
	if b := l.Rates[len(l.Rates)-1].Burn; b != nil {
		left := 1 - *b
		l.BudgetLeft = &left
	}
	l.Fast = reaches(l.Rates[0], fastBurnThreshold) && reaches(l.Rates[1], fastBurnThreshold)
	l.Slow = reaches(l.Rates[2], slowBurnThreshold) && reaches(l.Rates[3], slowBurnThreshold)
	l.Contributors = s.topContributors(service, class, kind)
	return l
}

// burnRate returns the bad events relative to those that the error budget allows,
// or nil without events. An objective of 1 allows none; its rate is the number of
// bad events.
func burnRate(total, bad uint64, objective float64) *float64 {
	if total == 0 {
		return nil
	}
	budget := max((1-objective)*float64(total), 0)
	rate := float64(bad)
	if budget > 1e-9*float64(total) {
		rate /= budget
	}
	return &rate
}

// reaches reports whether there is a burn rate and it is at or above a threshold.
func reaches(r Rate, threshold float64) bool { return r.Burn != nil && *r.Burn >= threshold }

// topContributors returns the series with the most bad events of an objective.
func (s *Summary) topContributors(service string, class pollenlatch.Class, kind string) []Contributor {
	var list []Contributor
	total := uint64(0)
	for series, t := range s.badBySeries {
		if series.Service != service || series.Class != class {
			continue
		}
		if _, bad := t.events(kind); bad > 0 {
			list = append(list, Contributor{Series: series, Bad: bad})
			total += bad
		}
	}
	slices.SortFunc(list, func(a, b Contributor) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.DC, b.DC),
			cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Outcome, b.Outcome))
	})
	list = list[:min(len(list), maxContributors)]
	for i := range list {
		list[i].Share = float64(list[i].Bad) / float64(total)
	}
	return list
}
