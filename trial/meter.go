package trial

import (
	"cmp"
	"slices"
	"time"

	"pollenlatch"
)

// Names of the three measures that a deployment weighs.
const (
	Imbalance   = "imbalance"
	Churn       = "churn"
	Unavailable = "unavailable"
)

// Result is what one run measured.
type Result struct {
	LoadMax  float64 // load of the busiest endpoint over the mean, averaged over time
	LoadP99  float64 // 99th percentile over the mean, averaged over time
	RangeMax float64 // ranges of the endpoint with most over the mean, averaged over time
	RangeP99 float64
	Moves    float64 // shards that changed owner
	Keys     float64 // keys that changed owner, in multiples of the service's
	Moved    float64 // load that changed owner, in multiples of the service's
	Down     float64 // unavailable key-seconds
}

// meter sums up one run.
type meter struct {
	Result
	samples int
}

// plus returns the sum of two results.
func (r Result) plus(o Result) Result {
	return Result{
		r.LoadMax + o.LoadMax, r.LoadP99 + o.LoadP99, r.RangeMax + o.RangeMax, r.RangeP99 + o.RangeP99,
		r.Moves + o.Moves, r.Keys + o.Keys, r.Moved + o.Moved, r.Down + o.Down,
	}
}

// times returns the result multiplied by f.
func (r Result) times(f float64) Result {
	return Result{
		r.LoadMax * f, r.LoadP99 * f, r.RangeMax * f, r.RangeP99 * f,
		r.Moves * f, r.Keys * f, r.Moved * f, r.Down * f,
	}
}

func (m *meter) result() Result {
	r := m.Result
	n := float64(max(m.samples, 1))
	r.LoadMax /= n
	r.LoadP99 /= n
	r.RangeMax /= n
	r.RangeP99 /= n
	return r
}

// wait counts a time during which keys were not served.
func (m *meter) wait(keys int, d time.Duration) { m.Down += float64(keys) * d.Seconds() }

// move counts a change of owner.
func (m *meter) move(s *Sim, p pollenlatch.Shard, moved bool) {
	if !moved {
		return
	}
	m.Moves++
	m.Keys += float64(s.keysOf(p)) / float64(s.d.Keys)
	rate := 0.0
	if p.Key == "" {
		rate = s.load.ranges[p.Range]
	}
	for _, k := range s.load.keys[:s.load.hot] {
		if _, own := s.w.key(k.key); k.key == p.Key || (p.Key == "" && k.rng == p.Range && !own) {
			rate += k.rate
		}
	}
	m.Moved += rate / s.load.total
}

// down counts the keys that nobody serves during one step.
func (m *meter) down(s *Sim) {
	for id := range s.w.owned {
		if i := pollenlatch.InstanceID(id); i != 0 && !s.dead.Has(i) {
			continue
		}
		for _, r := range s.w.owned[id] {
			m.wait(s.load.count[r], step)
		}
	}
}

// measure samples the balance of the endpoints that serve.
func (s *Sim) measure() {
	n := len(s.w.insts) + 1
	load, count := make([]float64, n), make([]float64, n)
	s.byOwner(func(id pollenlatch.InstanceID, p pollenlatch.Shard, rate float64) {
		load[id] += rate
		if p.Key == "" {
			count[id]++
		}
	})
	var loads, counts []float64
	for i := 1; i < n; i++ {
		id := pollenlatch.InstanceID(i)
		if _, leaving := s.leaving[id]; s.dead.Has(id) || leaving {
			continue
		}
		loads, counts = append(loads, load[i]), append(counts, count[i])
	}
	a, b := ratios(loads)
	c, d := ratios(counts)
	s.m.LoadMax += a
	s.m.LoadP99 += b
	s.m.RangeMax += c
	s.m.RangeP99 += d
	s.m.samples++
}

// ratios returns the greatest value and the 99th percentile over the mean.
func ratios(v []float64) (greatest, p99 float64) {
	if len(v) == 0 {
		return 1, 1
	}
	slices.Sort(v)
	sum := 0.0
	for _, x := range v {
		sum += x
	}
	if sum == 0 {
		return 1, 1
	}
	mean := sum / float64(len(v))
	return v[len(v)-1] / mean, v[(len(v)*99+99)/100-1] / mean
}

const (
	reportRanges = 16
	reportKeys   = 8
	reportNoise  = 0.05 // relative error of each reported rate
)

// report makes the load reports of the last second.
func (s *Sim) report() {
	loads := make(map[pollenlatch.InstanceID]pollenlatch.Load)
	for _, i := range s.w.insts {
		if i.Alive() && !s.dead.Has(i.ID) {
			loads[i.ID] = pollenlatch.Load{}
		}
	}
	ranges := make(map[pollenlatch.Shard]float64)
	s.byOwner(func(id pollenlatch.InstanceID, p pollenlatch.Shard, rate float64) {
		if id == 0 || s.dead.Has(id) {
			return
		}
		rate *= s.lie(id) * (1 + reportNoise*(2*s.rnd.Float64()-1))
		l := loads[id]
		l.Rate += rate
		if p.Key != "" {
			l.HotKeys = append(l.HotKeys, pollenlatch.HotKey{Service: p.Service, Key: p.Key, Rate: rate})
			if _, own := s.w.key(p.Key); own {
				loads[id] = l
				return
			}
			p.Key = ""
		}
		ranges[p] += rate
		loads[id] = l
	})
	for p, rate := range ranges {
		id := s.w.ranges[p.Range].Instance
		l := loads[id]
		l.Ranges = append(l.Ranges, pollenlatch.RangeLoad{Service: p.Service, Range: p.Range, Rate: rate})
		loads[id] = l
	}
	for id, l := range loads {
		l.MedianLatency = 2 * time.Millisecond
		slices.SortFunc(l.Ranges, func(a, b pollenlatch.RangeLoad) int {
			return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Range, b.Range))
		})
		slices.SortFunc(l.HotKeys, func(a, b pollenlatch.HotKey) int {
			return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Key, b.Key))
		})
		l.Ranges = l.Ranges[:min(len(l.Ranges), reportRanges)]
		l.HotKeys = l.HotKeys[:min(len(l.HotKeys), reportKeys)]
		loads[id] = l
	}
	s.reports = loads
}

func (s *Sim) lie(id pollenlatch.InstanceID) float64 {
	if by, ok := s.lies[id]; ok {
		return by
	}
	return 1
}
