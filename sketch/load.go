package sketch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pollenlatch"
)

const (
	// maxTrackedKeys and maxTrackedRanges limit the rates that are kept between
	// intervals.
	maxTrackedKeys   = 128
	maxTrackedRanges = 4096
	// minTrackedRate is the rate, in requests a second, below which a shard without
	// requests in the last interval is dropped.
	minTrackedRate = 0.05
	// Encoded size of one entry of a report in bytes, without its service and key.
	keyEntryBytes   = 2 + 2 + 2 + 9
	rangeEntryBytes = 2 + 2 + 4 + 9
)

// average is an exponentially weighted moving average of a rate, since the first
// request.
type average struct {
	sum    float64 // decayed requests
	weight float64 // decayed seconds
}

// add adds an interval with n requests. decayFactor is the factor by which the
// weight of earlier intervals decreases.
func (a *average) add(n, seconds, decayFactor float64) {
	a.sum = a.sum*decayFactor + n
	a.weight = a.weight*decayFactor + seconds
}

// rate returns the average in requests a second.
func (a average) rate() float64 {
	if a.weight <= 0 {
		return 0
	}
	return a.sum / a.weight
}

// rates holds the rates that are kept between intervals.
type rates struct {
	intervalStart pollenlatch.MonoTime
	started       bool // EndInterval has been called
	total         average
	shards        map[pollenlatch.Shard]*average
}

// EndInterval ends the current interval and returns a report with Rate, HotKeys and
// Ranges set. The first call starts the first interval, and returns an empty report.
// EndInterval should be called about once a second.
func (s *Sketch) EndInterval(now pollenlatch.MonoTime) pollenlatch.Load {
	r := &s.rates
	counts := s.takeCounts()
	total := float64(s.total.Swap(0))
	seconds := now.Sub(r.intervalStart).Seconds()
	started := r.started
	r.intervalStart, r.started = now, true
	if !started || seconds <= 0 {
		return pollenlatch.Load{}
	}
	decayFactor := math.Exp(-seconds / s.decay().Seconds())
	r.total.add(total, seconds, decayFactor)
	r.addInterval(counts, seconds, decayFactor)
	return s.report()
}

// takeCounts returns the counts of the interval by shard, and resets the counters.
// The shards of keys have range 0.
func (s *Sketch) takeCounts() map[pollenlatch.Shard]uint32 {
	counts := make(map[pollenlatch.Shard]uint32)
	m := s.services.Load()
	if m == nil {
		return counts
	}
	for name, c := range *m {
		for i := range c.pages {
			p := c.pages[i].Load()
			if p == nil {
				continue
			}
			for j := range p {
				if p[j].Load() == 0 {
					continue
				}
				counts[pollenlatch.Shard{Service: name, Range: pollenlatch.Range(i<<pageBits | j)}] = p[j].Swap(0)
			}
		}
		for i := range c.stripes {
			c.stripes[i].takeCounts(func(key string, n uint32) {
				counts[pollenlatch.Shard{Service: name, Key: key}] = n
			})
		}
	}
	return counts
}

// addInterval adds the counts of an interval to the rates, and drops the lowest
// rates. It consumes counts.
func (r *rates) addInterval(counts map[pollenlatch.Shard]uint32, seconds, decayFactor float64) {
	if r.shards == nil {
		r.shards = make(map[pollenlatch.Shard]*average)
	}
	for shard, a := range r.shards {
		n := counts[shard]
		a.add(float64(n), seconds, decayFactor)
		if n == 0 && a.rate() < minTrackedRate {
			delete(r.shards, shard)
		}
		delete(counts, shard)
	}
	for shard, n := range counts {
		a := &average{}
		a.add(float64(n), seconds, decayFactor)
		r.shards[shard] = a
	}
	r.keepBusiest(func(s pollenlatch.Shard) bool { return s.Key != "" }, maxTrackedKeys)
	r.keepBusiest(func(s pollenlatch.Shard) bool { return s.Key == "" }, maxTrackedRanges)
}

// keepBusiest drops all matching shards but the busiest.
func (r *rates) keepBusiest(match func(pollenlatch.Shard) bool, limit int) {
	shards := r.busiestFirst(match)
	for _, shard := range shards[min(limit, len(shards)):] {
		delete(r.shards, shard)
	}
}

// busiestFirst returns the matching shards, the busiest first.
func (r *rates) busiestFirst(match func(pollenlatch.Shard) bool) []pollenlatch.Shard {
	var shards []pollenlatch.Shard
	for shard := range r.shards {
		if match(shard) {
			shards = append(shards, shard)
		}
	}
	slices.SortFunc(shards, func(a, b pollenlatch.Shard) int {
		return cmp.Or(
			cmp.Compare(r.shards[b].rate(), r.shards[a].rate()),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Range, b.Range), cmp.Compare(a.Key, b.Key),
		)
	})
	return shards
}

// report returns a report with the hottest keys and the busiest ranges that fit into
// the maximum size.
func (s *Sketch) report() pollenlatch.Load {
	r := &s.rates
	l := pollenlatch.Load{Rate: r.total.rate()}
	bytesLeft := s.Settings.MaxBytes
	if bytesLeft <= 0 {
		bytesLeft = defaultMaxBytes
	}
	maxKeys := s.Settings.MaxKeys
	if maxKeys <= 0 {
		maxKeys = defaultMaxKeys
	}
	keyBytesLeft := bytesLeft / 2 // the rest is for ranges
	for _, shard := range r.busiestFirst(func(s pollenlatch.Shard) bool { return s.Key != "" }) {
		size := keyEntryBytes + len(shard.Service) + len(shard.Key)
		if len(l.HotKeys) == maxKeys {
			break
		}
		if size > keyBytesLeft {
			continue
		}
		keyBytesLeft -= size
		bytesLeft -= size
		l.HotKeys = append(l.HotKeys, pollenlatch.HotKey{Service: shard.Service, Key: shard.Key, Rate: r.shards[shard].rate()})
	}
	for _, shard := range r.busiestFirst(func(s pollenlatch.Shard) bool { return s.Key == "" }) {
		if bytesLeft -= rangeEntryBytes + len(shard.Service); bytesLeft < 0 {
			break
		}
		l.Ranges = append(l.Ranges, pollenlatch.RangeLoad{Service: shard.Service, Range: shard.Range, Rate: r.shards[shard].rate()})
	}
	return l
}

// decay returns the time constant of the averages.
func (s *Sketch) decay() time.Duration {
	if s.Settings.Decay <= 0 {
		return defaultDecay
	}
	return s.Settings.Decay
}
