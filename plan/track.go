package plan

import (
	"math"
	"time"

	"pollenlatch"
)

// track is what the planner remembers of one instance.
type track struct {
	service   string // of its endpoint
	usable    bool
	since     pollenlatch.MonoTime // when usable last changed
	draining  bool                 // it said that it leaves
	penalty   float64              // times it became unusable without saying so, decayed
	penaltyAt pollenlatch.MonoTime
	alive     bool
	returning bool                 // it stopped gracefully and is not usable again yet
	goneAt    pollenlatch.MonoTime // when it lost its lease
	load      pollenlatch.Load     // newest report
	owned     int                  // shards when it was reported
	scale     float64              // of its reports relative to the truth; 0 is 1
	scaledAt  pollenlatch.MonoTime
	pending   []adjustment
	seen      bool
}

// adjustment corrects a load report for a move that it does not show yet.
type adjustment struct {
	until pollenlatch.MonoTime
	rate  float64 // requests a second
}

// observe updates the track from the view. It returns the time of a graceful
// restart that has just ended, or 0.
func (t *track) observe(i pollenlatch.Instance, now pollenlatch.MonoTime) (restart time.Duration) {
	usable := i.Usable()
	if i.Endpoint != nil {
		t.service = i.Endpoint.Service
	}
	if t.seen && t.alive && !i.Alive() {
		t.goneAt, t.returning = now, t.draining
	}
	if t.returning && usable {
		t.returning = false
		restart = now.Sub(t.goneAt)
	}
	t.alive = i.Alive()
	leaves := i.Endpoint != nil && i.Endpoint.Draining
	switch {
	case !t.seen:
		t.seen = true
		t.since = now.Add(-time.Hour) // usable for long before this planner started
		t.usable = usable
		if !usable {
			t.since = now
		}
	case usable != t.usable:
		if !usable && !leaves {
			t.penalty = t.flaps(now) + 1
			t.penaltyAt = now
		}
		t.usable = usable
		t.since = now
	}
	t.draining = leaves
	return restart
}

// flaps returns the decayed number of times that the endpoint failed.
func (t *track) flaps(now pollenlatch.MonoTime) float64 {
	return t.penalty * math.Exp2(-now.Sub(t.penaltyAt).Seconds()/flapHalf.Seconds())
}

// rate returns the reported rate with the moves that it does not show yet.
func (t *track) rate(now pollenlatch.MonoTime) float64 {
	r := t.load.Rate / t.scaleNow(now)
	kept := t.pending[:0]
	for _, a := range t.pending {
		if now < a.until {
			kept = append(kept, a)
			r += a.rate
		}
	}
	t.pending = kept
	return max(r, 0)
}

// adjust notes a move that changes the rate.
func (t *track) adjust(until pollenlatch.MonoTime, rate float64) {
	if n := len(t.pending); n > 0 && t.pending[n-1].until == until {
		t.pending[n-1].rate += rate
		return
	}
	t.pending = append(t.pending, adjustment{until: until, rate: rate})
}

// rates holds the estimated rates of one instance's shards.
type rates struct {
	byRange map[pollenlatch.Range]float64
	byKey   map[string]float64
	rest    float64 // of a shard that the report does not name
}

// shards estimates the rate of each shard of a service from the newest report.
// owned is the number of shards now; some may have left since the report.
func (t *track) shards(service string, owned int, now pollenlatch.MonoTime) rates {
	scale := t.scaleNow(now)
	r := rates{
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
	if n := max(owned, t.owned) - len(r.byRange); n > 0 {
		r.rest = max(t.load.Rate-sum, 0) / scale / float64(n)
	}
	return r
}

// of returns the estimated rate of a shard.
func (r rates) of(s pollenlatch.Shard) float64 {
	if s.Key != "" {
		return r.byKey[s.Key]
	}
	if v, ok := r.byRange[s.Range]; ok {
		return v
	}
	return r.rest
}
