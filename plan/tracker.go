package plan

import (
	"math"
	"time"

	"pollenlatch"
)

// tracker holds what the planner remembers of one instance.
type tracker struct {
	service         string // of its endpoint
	usable          bool
	usableChangedAt pollenlatch.MonoTime // when usable last changed
	draining        bool                 // the endpoint announced that it is leaving
	evacuated       bool                 // its data centre is evacuated
	penalty         float64              // number of times that it became unusable for no known reason, decayed up to penalisedAt
	penalisedAt     pollenlatch.MonoTime
	alive           bool
	restarting      bool                 // it stopped gracefully and is not usable again yet
	leaseEndedAt    pollenlatch.MonoTime // when it lost its lease
	load            pollenlatch.Load     // newest load report
	reportedShards  int                  // number of its shards at the time of the report
	scale           float64              // factor by which its reported rates were too high at scaledAt; 0 means 1
	scaledAt        pollenlatch.MonoTime
	adjustments     []adjustment
	observed        bool
}

// adjustment corrects reported rates for moves that they don't include yet.
type adjustment struct {
	until pollenlatch.MonoTime
	rate  float64 // requests a second
}

// observe updates the tracker from the view. It returns the duration of a graceful
// restart that has just been completed, or 0.
func (t *tracker) observe(i pollenlatch.Instance, now pollenlatch.MonoTime) (restart time.Duration) {
	usable := i.Usable()
	if i.Endpoint != nil {
		t.service = i.Endpoint.Service
	}
	if t.observed && t.alive && !i.Alive() {
		t.leaseEndedAt, t.restarting = now, t.draining
	}
	if t.restarting && usable {
		t.restarting = false
		restart = now.Sub(t.leaseEndedAt)
	}
	t.alive = i.Alive()
	leaves := i.Endpoint != nil && i.Endpoint.Draining
	switch {
	case !t.observed:
		t.observed = true
		t.usableChangedAt = now.Add(-time.Hour) // assume that it was usable long before this planner started
		t.usable = usable
		if !usable {
			t.usableChangedAt = now
		}
	case usable != t.usable:
		if !usable && !leaves && !i.Evacuated {
			t.penalty = t.flapPenalty(now) + 1
			t.penalisedAt = now
		}
		t.usable = usable
		t.usableChangedAt = now
	}
	t.draining, t.evacuated = leaves, i.Evacuated
	return restart
}

// flapPenalty returns the decayed number of times that the endpoint became unusable
// without draining and without an evacuation of its data centre.
func (t *tracker) flapPenalty(now pollenlatch.MonoTime) float64 {
	return t.penalty * math.Exp2(-now.Sub(t.penalisedAt).Seconds()/flapHalfLife.Seconds())
}

// rate returns the reported rate in requests a second, corrected for its scale and
// for the moves that it does not include yet.
func (t *tracker) rate(now pollenlatch.MonoTime) float64 {
	r := t.load.Rate / t.scaleAt(now)
	kept := t.adjustments[:0]
	for _, a := range t.adjustments {
		if now < a.until {
			kept = append(kept, a)
			r += a.rate
		}
	}
	t.adjustments = kept
	return max(r, 0)
}

// addAdjustment records a move that changes the rate.
func (t *tracker) addAdjustment(until pollenlatch.MonoTime, rate float64) {
	if n := len(t.adjustments); n > 0 && t.adjustments[n-1].until == until {
		t.adjustments[n-1].rate += rate
		return
	}
	t.adjustments = append(t.adjustments, adjustment{until: until, rate: rate})
}

// shardRates holds the estimated rates of one instance's shards, in requests a
// second.
type shardRates struct {
	byRange   map[pollenlatch.Range]float64
	byKey     map[string]float64
	otherRate float64 // of each shard that the report does not list
}

// estimateRates estimates the rate of each shard of a service from the newest
// report. owned is the present number of shards, which may differ from that at the
// time of the report.
func (t *tracker) estimateRates(service string, owned int, now pollenlatch.MonoTime) shardRates {
	scale := t.scaleAt(now)
	r := shardRates{
		byRange: make(map[pollenlatch.Range]float64, len(t.load.Ranges)),
		byKey:   make(map[string]float64, len(t.load.HotKeys)),
	}
	sum := 0.0
	for _, l := range t.load.Ranges {
		if l.Service == service && l.Rate > 0 {
			r.byRange[l.Range] = l.Rate / scale
			sum += l.Rate
		}
	}
	for _, h := range t.load.HotKeys {
		if h.Service == service && h.Rate > 0 {
			r.byKey[h.Key] = h.Rate / scale
		}
	}
	if n := max(owned, t.reportedShards) - len(r.byRange); n > 0 {
		r.otherRate = max(t.load.Rate-sum, 0) / scale / float64(n)
	}
	return r
}

// rate returns the estimated rate of a shard.
func (r shardRates) rate(s pollenlatch.Shard) float64 {
	if s.Key != "" {
		return r.byKey[s.Key]
	}
	if v, ok := r.byRange[s.Range]; ok {
		return v
	}
	return r.otherRate
}
