package burn

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"pollenlatch"
)

// Window is a time over which a burn rate is taken.
type Window struct {
	Name    string
	Minutes int
}

// Windows are the windows of a report, from the shortest.
var Windows = [...]Window{{"5m", 5}, {"1h", 60}, {"6h", 360}, {"3d", RetentionMinutes}}

// An alert fires while the burn rates of both windows reach its threshold: the
// long one shows that it matters, the short one that it still goes on. The
// fast one means 1/5 of a 3-day budget in an hour, the slow one that the
// budget of 3 days is spent.
const (
	fastBurn = 14.4 // 5 min and 1 h
	slowBurn = 1    // 6 h and 3 d
)

// ErrDuplicateReport says that a daemon's report was added to a summary twice.
var ErrDuplicateReport = errors.New("daemon has reported already")

// stale is the age in minutes from which a daemon's last minute counts as
// missing.
const stale = 2

// DaemonStatus says what a summary has of one daemon.
type DaemonStatus struct {
	Name           string `json:"name"`
	Missing        bool   `json:"missing"` // no report, or none of the last minutes
	MinutesCounted int    `json:"minutes"` // of the 3 days in which it counted
	LastMinute     int64  `json:"last"`    // Unix minute; 0 is never
}

// tally is a number of events.
type tally struct{ n, bad, slow uint64 }

func (t *tally) add(o tally) {
	t.n += o.n
	t.bad += o.bad
	t.slow += o.slow
}

// Summary adds up the reports of a deployment at one time.
type Summary struct {
	now     int64 // Unix minute
	daemons []DaemonStatus
	byClass map[serviceClass]*[RetentionMinutes]tally // by minutes before now
	spent   map[Series]*tally
}

// NewSummary returns a summary at a time that expects the named daemons.
func NewSummary(now time.Time, daemons []string) *Summary {
	s := &Summary{now: now.Unix() / 60, byClass: make(map[serviceClass]*[RetentionMinutes]tally), spent: make(map[Series]*tally)}
	for _, d := range daemons {
		s.daemon(d)
	}
	return s
}

// daemon returns the index of a daemon, which it adds when it is new.
func (s *Summary) daemon(name string) int {
	i, ok := slices.BinarySearchFunc(s.daemons, name, func(d DaemonStatus, n string) int { return cmp.Compare(d.Name, n) })
	if !ok {
		s.daemons = slices.Insert(s.daemons, i, DaemonStatus{Name: name, Missing: true})
	}
	return i
}

// Add adds the report of one daemon. Minutes after the summary's time and
// older than 3 days are left out.
func (s *Summary) Add(r *Report) error {
	if err := r.Check(); err != nil {
		return err
	}
	d := &s.daemons[s.daemon(r.Daemon)]
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
			s.cell(r.Series[c.Series], int(age), c)
		}
	}
	d.Missing = s.now-d.LastMinute > stale
	return nil
}

func (s *Summary) cell(series Series, age int, c Cell) {
	t := tally{n: c.Events, slow: uint64(c.Slow)}
	if series.Bad() {
		t.bad = c.Events
	}
	k := serviceClass{series.Service, series.Class}
	if s.byClass[k] == nil {
		s.byClass[k] = &[RetentionMinutes]tally{}
	}
	s.byClass[k][age].add(t)
	if t.bad+t.slow == 0 {
		return
	}
	if s.spent[series] == nil {
		s.spent[series] = &tally{}
	}
	s.spent[series].add(t)
}

// Daemons returns the daemons by name.
func (s *Summary) Daemons() []DaemonStatus { return slices.Clone(s.daemons) }

// Rate is the burn rate over one window. Burn 1 spends the budget exactly.
type Rate struct {
	Window string   `json:"window"`
	Events uint64   `json:"events"`
	Bad    uint64   `json:"bad"`
	Burn   *float64 `json:"burn"` // nil without events
}

// Contributor is a part of the bad events of 3 days.
type Contributor struct {
	Series
	Bad   uint64  `json:"bad"`
	Share float64 `json:"share"` // of the bad events, 0 to 1
}

// Kinds of objectives.
const (
	Availability = "availability"
	Latency      = "latency"
)

// Line is the report on one objective.
type Line struct {
	Service      string            `json:"service"`
	Class        pollenlatch.Class `json:"class"`
	Kind         string            `json:"kind"`
	Objective    float64           `json:"objective"` // share of good events
	BudgetLeft   *float64          `json:"left"`      // share of the 3-day budget; below 0 when overspent; nil without events
	Rates        []Rate            `json:"rates"`
	Fast         bool              `json:"fast"` // alert: 5 min and 1 h
	Slow         bool              `json:"slow"` // alert: 6 h and 3 d
	Contributors []Contributor     `json:"spent"`
	Partial      bool              `json:"partial"` // daemons are missing: the truth may be worse
}

// maxSpenders bounds the list of what spent a budget.
const maxSpenders = 5

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

// events returns the events of an objective and those of them that are bad.
// The latency objective is about answers only.
func (t tally) events(kind string) (n, bad uint64) {
	if kind == Latency {
		return t.n - t.bad, t.slow
	}
	return t.n, t.bad
}

func (s *Summary) line(service string, class pollenlatch.Class, kind string, objective float64) Line {
	l := Line{Service: service, Class: class, Kind: kind, Objective: objective}
	for _, d := range s.daemons {
		l.Partial = l.Partial || d.Missing
	}
	minutes := s.byClass[serviceClass{service, class}]
	var sum tally
	at := 0
	for _, w := range Windows {
		for ; minutes != nil && at < w.Minutes; at++ {
			sum.add(minutes[at])
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
	l.Fast = reaches(l.Rates[0], fastBurn) && reaches(l.Rates[1], fastBurn)
	l.Slow = reaches(l.Rates[2], slowBurn) && reaches(l.Rates[3], slowBurn)
	l.Contributors = s.spenders(service, class, kind)
	return l
}

// burnRate returns the rate at which a budget is spent, or nil without events.
// An objective of 1 has no budget; its rate is the number of bad events.
func burnRate(n, bad uint64, objective float64) *float64 {
	if n == 0 {
		return nil
	}
	budget := max((1-objective)*float64(n), 0)
	r := float64(bad)
	if budget > 1e-9*float64(n) {
		r /= budget
	}
	return &r
}

func reaches(r Rate, burn float64) bool { return r.Burn != nil && *r.Burn >= burn }

func (s *Summary) spenders(service string, class pollenlatch.Class, kind string) []Contributor {
	var list []Contributor
	total := uint64(0)
	for k, t := range s.spent {
		if k.Service != service || k.Class != class {
			continue
		}
		if _, bad := t.events(kind); bad > 0 {
			list = append(list, Contributor{Series: k, Bad: bad})
			total += bad
		}
	}
	slices.SortFunc(list, func(a, b Contributor) int {
		return cmp.Or(cmp.Compare(b.Bad, a.Bad), cmp.Compare(a.DC, b.DC),
			cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Outcome, b.Outcome))
	})
	list = list[:min(len(list), maxSpenders)]
	for i := range list {
		list[i].Share = float64(list[i].Bad) / float64(total)
	}
	return list
}
