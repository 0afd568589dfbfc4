// Package burn counts good and bad events in 1-minute buckets over 3 days and
// reports how fast the services spend their error budgets.
//
// Each daemon has a Counter. A Summary adds up the reports of all daemons of a
// deployment. Minutes in which a daemon did not count are reported as missing
// data, not as free of errors.
package burn

import (
	"slices"
	"sync"
	"time"

	"pollenlatch"
)

const (
	// RetentionMinutes is the number of minutes that a counter keeps.
	RetentionMinutes = 3 * 24 * 60
	// maxCellsPerMinute limits the series that are counted separately in one
	// minute: 3 days of full minutes take about 6.6 MB. Further series are counted
	// under otherEndpoint.
	maxCellsPerMinute = 64
	// otherEndpoint stands for all endpoints that are not counted separately.
	otherEndpoint = "(other)"
)

// Series is a combination of labels that events are counted by.
type Series struct {
	Service  string              `protobuf:"bytes,1,opt,name=service" json:"service"`
	Class    pollenlatch.Class   `protobuf:"varint,2,opt,name=class" json:"class"`
	Outcome  pollenlatch.Outcome `protobuf:"varint,3,opt,name=outcome" json:"outcome"`
	Endpoint string              `protobuf:"bytes,4,opt,name=endpoint" json:"endpoint"`
	DC       string              `protobuf:"bytes,5,opt,name=dc" json:"dc"`
}

// Bad reports whether the events of the series are failures of the service.
func (s Series) Bad() bool { return s.Outcome != pollenlatch.OutcomeRan }

// cell counts the events of one series in one minute.
type cell struct {
	series uint32 // index in Counter.series
	slow   uint32 // responses slower than the latency objective
	events uint64
}

// bucket holds the cells of one minute. The zero value belongs to no minute.
type bucket struct {
	minute int64 // Unix minutes
	cells  []cell
}

// Counter counts the events of one daemon. The zero value is ready to use and
// counts under the data centre "". It is safe for concurrent use.
type Counter struct {
	Daemon string                       // name of the daemon's instance
	DC     func(endpoint string) string // returns the data centre of an endpoint; nil leaves it empty
	Now    func() time.Time             // nil is time.Now

	saveMu            sync.Mutex
	mu                sync.Mutex
	latencyObjectives map[serviceClass]time.Duration
	series            []Series
	seriesIndex       map[Series]uint32
	buckets           []bucket // by minute modulo RetentionMinutes
}

// serviceClass identifies the objectives of one class of a service.
type serviceClass struct {
	service string
	class   pollenlatch.Class
}

var _ pollenlatch.Recorder = (*Counter)(nil)

// SetObjectives sets the latency objectives by which Record counts slow responses.
func (c *Counter) SetObjectives(services []pollenlatch.Service) {
	objectives := make(map[serviceClass]time.Duration)
	for _, s := range services {
		for _, o := range s.Objectives {
			objectives[serviceClass{s.Name, o.Class}] = o.Latency
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.latencyObjectives = objectives
}

// callerFaultReasons are the reasons of failures that the caller caused. Such
// requests count neither as good nor as bad events.
var callerFaultReasons = pollenlatch.SetOf(
	pollenlatch.ReasonBadRequest, pollenlatch.ReasonNoService, pollenlatch.ReasonRateLimited,
	pollenlatch.ReasonCancelled, pollenlatch.ReasonTooLarge, pollenlatch.ReasonKeyConflict,
)

// Record counts one completed request. An outcome other than OutcomeRan is bad,
// unless the caller caused it: then nothing is counted.
func (c *Counter) Record(
	service string, class pollenlatch.Class, o pollenlatch.Outcome, reason pollenlatch.Reason, endpoint string, d time.Duration,
) {
	if o != pollenlatch.OutcomeRan && callerFaultReasons.Has(reason) {
		return
	}
	s := Series{Service: service, Class: class, Outcome: o, Endpoint: endpoint}
	if c.DC != nil {
		s.DC = c.DC(endpoint)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	slow := uint32(0)
	if objective := c.latencyObjectives[serviceClass{service, class}]; o == pollenlatch.OutcomeRan && objective > 0 && d > objective {
		slow = 1
	}
	c.bucket(c.currentMinute()).add(c, s, 1, slow)
}

// Tick marks the present minute as counted, also when it has no events. It must
// be called at least once a minute.
func (c *Counter) Tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bucket(c.currentMinute())
}

func (c *Counter) currentMinute() int64 {
	now := time.Now
	if c.Now != nil {
		now = c.Now
	}
	return now().Unix() / 60
}

// bucket returns the bucket of a minute. A new bucket overwrites that of 3 days
// before.
func (c *Counter) bucket(minute int64) *bucket {
	if c.buckets == nil {
		c.buckets = make([]bucket, RetentionMinutes)
		c.seriesIndex = make(map[Series]uint32)
	}
	b := &c.buckets[minute%RetentionMinutes]
	if b.minute != minute {
		b.minute, b.cells = minute, nil
		c.prune(minute)
	}
	return b
}

const (
	// softMaxSeries is the number of series from which unused ones are dropped.
	// New series beyond 2*softMaxSeries are counted under otherEndpoint.
	softMaxSeries = 4096
	// pruneIntervalMinutes is the time between two searches for unused series. A
	// search reads all cells.
	pruneIntervalMinutes = 60
)

// prune drops the series that no bucket uses any more, if there are many series.
func (c *Counter) prune(minute int64) {
	if len(c.series) < softMaxSeries || minute%pruneIntervalMinutes != 0 {
		return
	}
	old := c.series
	c.series, c.seriesIndex = nil, make(map[Series]uint32)
	for i := range c.buckets {
		for j := range c.buckets[i].cells {
			cl := &c.buckets[i].cells[j]
			cl.series = c.intern(old[cl.series])
		}
	}
}

// intern returns the index of a series, which it adds if it is new.
func (c *Counter) intern(s Series) uint32 {
	i, ok := c.seriesIndex[s]
	if !ok {
		i = uint32(len(c.series))
		c.series = append(c.series, s)
		c.seriesIndex[s] = i
	}
	return i
}

// add counts events of a series, under otherEndpoint if there is no room for it.
func (b *bucket) add(c *Counter, s Series, events uint64, slow uint32) {
	if i, ok := c.seriesIndex[s]; ok {
		if b.count(i, events, slow) {
			return
		}
	}
	// The cells of otherEndpoint, one for each service, class and outcome, may
	// exceed the limits.
	if len(b.cells) >= maxCellsPerMinute || len(c.series) >= 2*softMaxSeries {
		s.Endpoint, s.DC = otherEndpoint, ""
	}
	i := c.intern(s)
	if !b.count(i, events, slow) {
		b.cells = append(b.cells, cell{i, slow, events})
	}
}

// count adds to the cell of a series and reports whether there is one.
func (b *bucket) count(series uint32, events uint64, slow uint32) bool {
	i := slices.IndexFunc(b.cells, func(x cell) bool { return x.series == series })
	if i < 0 {
		return false
	}
	b.cells[i].events += events
	b.cells[i].slow += slow
	return true
}
