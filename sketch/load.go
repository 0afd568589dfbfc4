package sketch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"pollenlatch"
)

const (
	// keptKeys and keptRanges bound the rates kept between reports.
	keptKeys   = 128
	keptRanges = 4096
	// forgotten is the rate in requests a second below which a shard is
	// dropped once it gets no requests.
	forgotten = 0.05
	// Encoded bytes of one entry of a report besides its names.
	keyBytes   = 2 + 2 + 2 + 9
	rangeBytes = 2 + 2 + 4 + 9
)

// average is a decaying mean rate since the first request.
type average struct {
	sum    float64 // decayed requests
	weight float64 // decayed seconds
}

// add takes an interval with n requests.
func (a *average) add(n, seconds, keep float64) {
	a.sum = a.sum*keep + n
	a.weight = a.weight*keep + seconds
}

// rate returns requests a second.
func (a average) rate() float64 {
	if a.weight <= 0 {
		return 0
	}
	return a.sum / a.weight
}

// rates is what is kept between reports.
type rates struct {
	at     pollenlatch.MonoTime
	begun  bool
	all    average
	shards map[pollenlatch.Shard]*average
}

// EndInterval ends the interval and returns a report with Rate, Hot and Ranges set.
// The first call only starts counting; call it about once a second.
func (s *Sketch) EndInterval(now pollenlatch.MonoTime) pollenlatch.Load {
	r := &s.rates
	counts := s.take()
	all := float64(s.all.Swap(0))
	seconds := now.Sub(r.at).Seconds()
	begun := r.begun
	r.at, r.begun = now, true
	if !begun || seconds <= 0 {
		return pollenlatch.Load{}
	}
	keep := math.Exp(-seconds / s.decay().Seconds())
	r.all.add(all, seconds, keep)
	r.fold(counts, seconds, keep)
	return s.report()
}

// take ends the interval of all counters.
func (s *Sketch) take() map[pollenlatch.Shard]uint32 {
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
			c.stripes[i].take(func(key string, n uint32) {
				counts[pollenlatch.Shard{Service: name, Key: key}] = n
			})
		}
	}
	return counts
}

// fold adds the counts of an interval to the rates and drops the lowest.
func (r *rates) fold(counts map[pollenlatch.Shard]uint32, seconds, keep float64) {
	if r.shards == nil {
		r.shards = make(map[pollenlatch.Shard]*average)
	}
	for p, a := range r.shards {
		n := counts[p]
		a.add(float64(n), seconds, keep)
		if n == 0 && a.rate() < forgotten {
			delete(r.shards, p)
		}
		delete(counts, p)
	}
	for p, n := range counts {
		a := &average{}
		a.add(float64(n), seconds, keep)
		r.shards[p] = a
	}
	r.bound(func(p pollenlatch.Shard) bool { return p.Key != "" }, keptKeys)
	r.bound(func(p pollenlatch.Shard) bool { return p.Key == "" }, keptRanges)
}

// bound keeps the busiest shards of a kind.
func (r *rates) bound(kind func(pollenlatch.Shard) bool, most int) {
	list := r.sorted(kind)
	for _, p := range list[min(most, len(list)):] {
		delete(r.shards, p)
	}
}

// sorted returns the shards of a kind from the busiest.
func (r *rates) sorted(kind func(pollenlatch.Shard) bool) []pollenlatch.Shard {
	var list []pollenlatch.Shard
	for p := range r.shards {
		if kind(p) {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b pollenlatch.Shard) int {
		return cmp.Or(
			cmp.Compare(r.shards[b].rate(), r.shards[a].rate()),
			cmp.Compare(a.Service, b.Service), cmp.Compare(a.Range, b.Range), cmp.Compare(a.Key, b.Key),
		)
	})
	return list
}

// report lists the hottest keys and the busiest ranges within the bytes.
func (s *Sketch) report() pollenlatch.Load {
	r := &s.rates
	l := pollenlatch.Load{Rate: r.all.rate()}
	left := s.Settings.MaxBytes
	if left <= 0 {
		left = defaultBytes
	}
	most := s.Settings.MaxKeys
	if most <= 0 {
		most = defaultKeys
	}
	keys := left / 2 // the ranges get the rest
	for _, p := range r.sorted(func(p pollenlatch.Shard) bool { return p.Key != "" }) {
		size := keyBytes + len(p.Service) + len(p.Key)
		if len(l.HotKeys) == most {
			break
		}
		if size > keys {
			continue
		}
		keys -= size
		left -= size
		l.HotKeys = append(l.HotKeys, pollenlatch.HotKey{Service: p.Service, Key: p.Key, Rate: r.shards[p].rate()})
	}
	for _, p := range r.sorted(func(p pollenlatch.Shard) bool { return p.Key == "" }) {
		if left -= rangeBytes + len(p.Service); left < 0 {
			break
		}
		l.Ranges = append(l.Ranges, pollenlatch.RangeLoad{Service: p.Service, Range: p.Range, Rate: r.shards[p].rate()})
	}
	return l
}

// decay returns the time constant of the rates.
func (s *Sketch) decay() time.Duration {
	if s.Settings.Decay <= 0 {
		return defaultDecay
	}
	return s.Settings.Decay
}
