package trial

import (
	"cmp"
	"slices"
	"time"

	"pollenlatch"
)

// Names of the measures that a deployment weighs against each other.
const (
	Imbalance   = "imbalance"
	Churn       = "churn"
	Unavailable = "unavailable"
)

// Result contains the measures of one run.
type Result struct {
	MaxLoadRatio          float64 // maximum load of an endpoint, relative to the mean; averaged over time
	P99LoadRatio          float64 // the same for the 99th percentile
	MaxRangeRatio         float64 // maximum number of ranges of an endpoint, relative to the mean; averaged over time
	P99RangeRatio         float64 // the same for the 99th percentile
	Moves                 float64 // number of changes of a shard's owner
	KeysMoved             float64 // keys whose owner changed, in multiples of the service's keys
	LoadMoved             float64 // load whose owner changed, in multiples of the service's load
	UnavailableKeySeconds float64 // sum over the keys of the time without service
}

// recorder accumulates the measures of one run.
type recorder struct {
	Result  // ratios are sums over the samples
	samples int
}

// plus returns the sum of two results.
func (r Result) plus(o Result) Result {
	return Result{
		r.MaxLoadRatio + o.MaxLoadRatio, r.P99LoadRatio + o.P99LoadRatio, r.MaxRangeRatio + o.MaxRangeRatio, r.P99RangeRatio + o.P99RangeRatio,
		r.Moves + o.Moves, r.KeysMoved + o.KeysMoved, r.LoadMoved + o.LoadMoved, r.UnavailableKeySeconds + o.UnavailableKeySeconds,
	}
}

// times returns the result multiplied by f.
func (r Result) times(f float64) Result {
	return Result{
		r.MaxLoadRatio * f, r.P99LoadRatio * f, r.MaxRangeRatio * f, r.P99RangeRatio * f,
		r.Moves * f, r.KeysMoved * f, r.LoadMoved * f, r.UnavailableKeySeconds * f,
	}
}

// result returns the measures, with the ratios averaged over the samples.
func (rec *recorder) result() Result {
	r := rec.Result
	n := float64(max(rec.samples, 1))
	r.MaxLoadRatio /= n
	r.P99LoadRatio /= n
	r.MaxRangeRatio /= n
	r.P99RangeRatio /= n
	return r
}

// recordUnavailable counts a time during which a number of keys was not served.
func (rec *recorder) recordUnavailable(keys int, d time.Duration) {
	rec.UnavailableKeySeconds += float64(keys) * d.Seconds()
}

// recordMove counts the move of a shard, unless its owner did not change.
func (rec *recorder) recordMove(s *Sim, shard pollenlatch.Shard, changed bool) {
	if !changed {
		return
	}
	rec.Moves++
	rec.KeysMoved += float64(s.keyCount(shard)) / float64(s.deployment.Keys)
	rate := 0.0
	if shard.Key == "" {
		rate = s.load.coldRates[shard.Range]
	}
	for _, k := range s.load.keys[:s.load.hotCount] {
		if _, hasRecord := s.state.findHotKey(k.key); k.key == shard.Key || (shard.Key == "" && k.keyRange == shard.Range && !hasRecord) {
			rate += k.rate
		}
	}
	rec.LoadMoved += rate / s.load.totalRate
}

// recordUnserved counts the keys that no server serves during one step.
func (rec *recorder) recordUnserved(s *Sim) {
	for id := range s.state.ownedRanges {
		if i := pollenlatch.InstanceID(id); i != 0 && !s.stopped.Has(i) {
			continue
		}
		for _, r := range s.state.ownedRanges[id] {
			rec.recordUnavailable(s.load.keyCounts[r], stepInterval)
		}
	}
}

// sampleBalance adds a sample of the balance between the endpoints that serve and
// do not drain.
func (s *Sim) sampleBalance() {
	n := len(s.state.instances) + 1
	load, count := make([]float64, n), make([]float64, n)
	s.eachShardRate(func(id pollenlatch.InstanceID, shard pollenlatch.Shard, rate float64) {
		load[id] += rate
		if shard.Key == "" {
			count[id]++
		}
	})
	var loads, counts []float64
	for i := 1; i < n; i++ {
		id := pollenlatch.InstanceID(i)
		if _, draining := s.draining[id]; s.stopped.Has(id) || draining {
			continue
		}
		loads, counts = append(loads, load[i]), append(counts, count[i])
	}
	maxLoad, p99Load := maxAndP99Ratios(loads)
	maxRanges, p99Ranges := maxAndP99Ratios(counts)
	s.recorder.MaxLoadRatio += maxLoad
	s.recorder.P99LoadRatio += p99Load
	s.recorder.MaxRangeRatio += maxRanges
	s.recorder.P99RangeRatio += p99Ranges
	s.recorder.samples++
}

// maxAndP99Ratios returns the maximum and the 99th percentile, relative to the
// mean. It sorts v.
func maxAndP99Ratios(v []float64) (maxRatio, p99Ratio float64) {
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
	reportRanges = 16   // maximum number of ranges in a load report
	reportKeys   = 8    // maximum number of hot keys in a load report
	reportNoise  = 0.05 // maximum relative error of a reported rate
)

// makeReports replaces the load reports by those of the last second.
func (s *Sim) makeReports() {
	loads := make(map[pollenlatch.InstanceID]pollenlatch.Load)
	for _, i := range s.state.instances {
		if i.Alive() && !s.stopped.Has(i.ID) {
			loads[i.ID] = pollenlatch.Load{}
		}
	}
	ranges := make(map[pollenlatch.Shard]float64)
	s.eachShardRate(func(id pollenlatch.InstanceID, shard pollenlatch.Shard, rate float64) {
		if id == 0 || s.stopped.Has(id) {
			return
		}
		rate *= s.reportFactor(id) * (1 + reportNoise*(2*s.rnd.Float64()-1))
		l := loads[id]
		l.Rate += rate
		if shard.Key != "" {
			l.HotKeys = append(l.HotKeys, pollenlatch.HotKey{Service: shard.Service, Key: shard.Key, Rate: rate})
			if _, hasRecord := s.state.findHotKey(shard.Key); hasRecord {
				loads[id] = l
				return
			}
			shard.Key = ""
		}
		ranges[shard] += rate
		loads[id] = l
	})
	for shard, rate := range ranges {
		id := s.state.ranges[shard.Range].Instance
		l := loads[id]
		l.Ranges = append(l.Ranges, pollenlatch.RangeLoad{Service: shard.Service, Range: shard.Range, Rate: rate})
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

// reportFactor returns the factor by which an instance misreports its load.
func (s *Sim) reportFactor(id pollenlatch.InstanceID) float64 {
	if factor, ok := s.reportFactors[id]; ok {
		return factor
	}
	return 1
}
