// Package burn counts good and bad events in 1-minute buckets over 3 days and
// reports how fast the services spend their error budgets.
//
// Each daemon has a Counter. A Summary adds the counters of a deployment. A
// minute in which a daemon did not count is missing, not good.
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
	// maxCells bounds the series of one minute: 3 days of full minutes take
	// about 6.6 MB. More series are counted under the endpoint otherEndpoint.
	maxCells = 64
	// otherEndpoint stands for endpoints beyond the bound.
	otherEndpoint = "(other)"
)

// Series is one combination of what events are counted by.
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
	slow   uint32 // answers slower than the objective
	n      uint64
}

// bucket is one minute. The zero value is a minute without counting.
type bucket struct {
	minute int64 // Unix minutes
	cells  []cell
}

// Counter counts the events of one daemon. The zero value is ready to use and
// counts under the data centre "". It is safe for concurrent use.
type Counter struct {
	Daemon string                       // name of the instance
	DC     func(endpoint string) string // data centre of an endpoint; nil is none
	Now    func() time.Time             // nil is time.Now

	saving  sync.Mutex
	mu      sync.Mutex
	limits  map[serviceClass]time.Duration
	series  []Series
	index   map[Series]uint32
	buckets []bucket // by minute modulo Kept
}

// serviceClass names a latency objective.
type serviceClass struct {
	service string
	class   pollenlatch.Class
}

var _ pollenlatch.Recorder = (*Counter)(nil)

// SetObjectives sets the latency objectives that later events are counted by.
func (c *Counter) SetObjectives(services []pollenlatch.Service) {
	limits := make(map[serviceClass]time.Duration)
	for _, s := range services {
		for _, o := range s.Objectives {
			limits[serviceClass{s.Name, o.Class}] = o.Latency
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.limits = limits
}

// callersFault lists the reasons for which the service did not fail its
// caller. Such requests are not events of an objective.
var callersFault = pollenlatch.SetOf(
	pollenlatch.ReasonBadRequest, pollenlatch.ReasonNoService, pollenlatch.ReasonRateLimited,
	pollenlatch.ReasonCancelled, pollenlatch.ReasonTooLarge, pollenlatch.ReasonKeyConflict,
)

// Record counts one answered request. An outcome other than OutcomeRan is bad unless
// the reason is the caller's own fault, in which case nothing is counted.
func (c *Counter) Record(
	service string, class pollenlatch.Class, o pollenlatch.Outcome, reason pollenlatch.Reason, endpoint string, d time.Duration,
) {
	if o != pollenlatch.OutcomeRan && callersFault.Has(reason) {
		return
	}
	s := Series{Service: service, Class: class, Outcome: o, Endpoint: endpoint}
	if c.DC != nil {
		s.DC = c.DC(endpoint)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	slow := uint32(0)
	if l := c.limits[serviceClass{service, class}]; o == pollenlatch.OutcomeRan && l > 0 && d > l {
		slow = 1
	}
	c.bucket(c.minute()).add(c, s, 1, slow)
}

// Tick notes that the daemon is counting, also when there are no events. Call
// it at least once a minute.
func (c *Counter) Tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bucket(c.minute())
}

func (c *Counter) minute() int64 {
	now := time.Now
	if c.Now != nil {
		now = c.Now
	}
	return now().Unix() / 60
}

// bucket returns the bucket of a minute, which replaces that of 3 days before.
func (c *Counter) bucket(minute int64) *bucket {
	if c.buckets == nil {
		c.buckets = make([]bucket, RetentionMinutes)
		c.index = make(map[Series]uint32)
	}
	b := &c.buckets[minute%RetentionMinutes]
	if b.minute != minute {
		b.minute, b.cells = minute, nil
		c.prune(minute)
	}
	return b
}

const (
	// maxSeries is the number of series from which unused ones are dropped.
	// New series beyond twice as many are counted under otherEndpoint.
	maxSeries = 4096
	// pruneEvery is the time in minutes between two searches for unused
	// series, which read all cells.
	pruneEvery = 60
)

// prune drops the series that no bucket uses any more.
func (c *Counter) prune(minute int64) {
	if len(c.series) < maxSeries || minute%pruneEvery != 0 {
		return
	}
	old := c.series
	c.series, c.index = nil, make(map[Series]uint32)
	for i := range c.buckets {
		for j := range c.buckets[i].cells {
			cl := &c.buckets[i].cells[j]
			cl.series = c.intern(old[cl.series])
		}
	}
}

func (c *Counter) intern(s Series) uint32 {
	i, ok := c.index[s]
	if !ok {
		i = uint32(len(c.series))
		c.series = append(c.series, s)
		c.index[s] = i
	}
	return i
}

// add counts events of a series.
func (b *bucket) add(c *Counter, s Series, n uint64, slow uint32) {
	if i, ok := c.index[s]; ok {
		if b.count(i, n, slow) {
			return
		}
	}
	// One cell of each class and outcome of a service may follow the bound.
	if len(b.cells) >= maxCells || len(c.series) >= 2*maxSeries {
		s.Endpoint, s.DC = otherEndpoint, ""
	}
	i := c.intern(s)
	if !b.count(i, n, slow) {
		b.cells = append(b.cells, cell{i, slow, n})
	}
}

// count adds to the cell of a series, if there is one.
func (b *bucket) count(series uint32, n uint64, slow uint32) bool {
	k := slices.IndexFunc(b.cells, func(x cell) bool { return x.series == series })
	if k < 0 {
		return false
	}
	b.cells[k].n += n
	b.cells[k].slow += slow
	return true
}
