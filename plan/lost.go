package plan

import (
	"cmp"
	"container/heap"
	"math"
	"slices"

	"pollenlatch"
)

// Reasons of moves.
const (
	reasonNever   = "never assigned"
	reasonLost    = "owner lost"
	reasonBack    = "owner is back"
	reasonLeaving = "owner is leaving"
	reasonCancel  = "target of the hand-over is not usable"
)

// orphan is a shard that needs an owner, with its estimated rate.
type orphan struct {
	pollenlatch.Owner
	rate float64
}

// byRate orders orphans from the busiest, so that the last ones even out.
func byRate(a, b orphan) int {
	if c := cmp.Compare(b.rate, a.rate); c != 0 {
		return c
	}
	return compareShards(a.Shard, b.Shard)
}

func compareShards(a, b pollenlatch.Shard) int {
	if c := cmp.Compare(a.Range, b.Range); c != 0 {
		return c
	}
	return cmp.Compare(a.Key, b.Key)
}

// assignLost gives an owner to the shards that have none and may have one.
func (r *round) assignLost() {
	if len(r.usable) == 0 {
		return
	}
	lost := r.book.index.owned(r.in.View, r.svc.Name, 0)
	if len(lost) == 0 {
		r.book.waves = 0
		return
	}
	r.estimate(lost)
	slices.SortFunc(lost, byRate)
	if r.book.waves == 0 || r.in.Now.Sub(r.book.waveAt) >= waveEvery {
		r.book.waves++
		r.book.waveAt = r.in.Now
	}
	for _, o := range lost {
		r.assign(o)
	}
	if !r.crowded {
		r.book.waves = 0
	}
}

// estimate fills in rates from the last report of each last owner, and adds
// them to the service's.
func (r *round) estimate(lost []orphan) {
	held := make(map[pollenlatch.InstanceID]int)
	for _, o := range lost {
		held[o.Previous]++
	}
	known := make(map[pollenlatch.InstanceID]rates, len(held))
	added := 0.0
	for i := range lost {
		id := lost[i].Previous
		t := r.p.tracks[id]
		if t == nil {
			lost[i].rate = r.rate / float64(r.svc.NumRanges())
			continue
		}
		e, ok := known[id]
		if !ok {
			e = t.shards(r.svc.Name, held[id], r.in.Now)
			known[id] = e
		}
		lost[i].rate = e.of(lost[i].Shard)
		added += lost[i].rate
	}
	if added > 0 {
		r.rate += added
		r.mean = r.rate / float64(len(r.usable))
		for _, c := range r.usable {
			c.load = r.relative(c.rate, c.count) / c.size
		}
		for _, h := range r.homes {
			heap.Init(h)
		}
	}
}

// assign gives one shard without owner to an endpoint, if it may have one now.
func (r *round) assign(o orphan) {
	last, back := r.byID[o.Previous]
	reason := reasonLost
	switch {
	case o.Previous == 0:
		reason = reasonNever
	case back && !r.damped(last):
		r.place(o, last, reasonBack)
		return
	case r.in.Withheld.Has(o.Previous):
		if back {
			r.place(o, last, reasonBack)
		}
		return
	case r.waits(o.Previous):
		return
	}
	c := r.target(r.dcOf(o.Previous))
	if c == nil {
		return
	}
	if !r.room(c, o.rate) {
		r.crowded = true
		return
	}
	r.place(o, c, reason)
}

// room reports whether an endpoint may take a lost shard now. Beyond its safe
// rate it takes the rest in growing waves, so that the survivors of a mass
// loss warm up and shed instead of failing one after the other. An endpoint
// without a known limit takes all.
func (r *round) room(c *candidate, rate float64) bool {
	return c.limit <= 0 || c.rate+rate <= c.limit*math.Pow(waveGrowth, float64(r.book.waves-1))
}

// waits reports whether the shards of an instance wait for its return.
func (r *round) waits(id pollenlatch.InstanceID) bool {
	t := r.p.tracks[id]
	if t == nil || (!t.draining && !t.returning) {
		return false
	}
	wait := r.p.cfg.restartWait(r.w, r.book.restart)
	if t.returning {
		return r.in.Now.Sub(t.goneAt) < wait
	}
	return wait > 0 && r.in.Now.Sub(t.since) < r.p.cfg.MaxRestartWait
}

func (r *round) dcOf(id pollenlatch.InstanceID) string {
	i, _ := r.in.View.Instance(id)
	return i.DC
}

func (r *round) place(o orphan, c *candidate, reason string) {
	r.moves = append(r.moves, pollenlatch.Move{
		Shard: o.Shard, To: c.id, Fence: o.Fence, Reason: reason,
		Gain: r.w.Unavailable * r.share(o.rate),
		Cost: r.churn(o, c),
	})
	r.give(c, o.rate)
}

// churn returns the cost of an assignment: none when the owner stays the same.
func (r *round) churn(o orphan, c *candidate) float64 {
	if o.Previous == 0 || o.Previous == c.id {
		return 0
	}
	return r.w.Churn * r.share(o.rate)
}

// drain starts hand-overs of the shards of leaving endpoints.
func (r *round) drain() {
	if len(r.usable) == 0 {
		return
	}
	r.cancelLost()
	for _, id := range r.leaving {
		if !r.waits(id) {
			r.drainOne(id)
		}
	}
}

// cancelLost ends the hand-overs whose targets can't take shards any more.
func (r *round) cancelLost() {
	x := &r.book.index
	var ranges []pollenlatch.Range
	for n, next := range x.frozen {
		if !r.usableID(next) {
			ranges = append(ranges, n)
		}
	}
	slices.Sort(ranges)
	for _, n := range ranges {
		if o, ok := r.in.View.ShardOwner(pollenlatch.Shard{Service: r.svc.Name, Range: n}); ok {
			r.cancel(o)
		}
	}
	for _, id := range x.owners() {
		for _, o := range x.keys[id] {
			if o.Frozen() && !r.usableID(o.Next) {
				r.cancel(o)
			}
		}
	}
}

func (r *round) drainOne(id pollenlatch.InstanceID) {
	shards := r.book.index.owned(r.in.View, r.svc.Name, id)
	if len(shards) == 0 {
		return
	}
	t := r.p.tracks[id]
	if t == nil {
		t = &track{}
	}
	e := t.shards(r.svc.Name, len(shards), r.in.Now)
	for i := range shards {
		shards[i].rate = e.of(shards[i].Shard)
	}
	slices.SortFunc(shards, byRate)
	room := r.p.cfg.MaxDrainHandOvers - r.in.HandOvers[id]
	for _, o := range shards {
		if o.Frozen() || room <= 0 {
			continue
		}
		c := r.target(r.dcOf(id))
		if c == nil {
			return
		}
		room--
		r.hand(o, c, reasonLeaving, r.w.Unavailable*r.share(o.rate))
	}
}

func (r *round) cancel(o pollenlatch.Owner) {
	r.moves = append(r.moves, pollenlatch.Move{
		Shard: o.Shard, From: o.Instance, To: o.Instance, Fence: o.Fence, Reason: reasonCancel,
	})
}

func (r *round) usableID(id pollenlatch.InstanceID) bool {
	_, ok := r.byID[id]
	return ok
}

// hand adds a hand-over from the present owner.
func (r *round) hand(o orphan, c *candidate, reason string, gain float64) {
	r.moves = append(r.moves, pollenlatch.Move{
		Shard: o.Shard, From: o.Instance, To: c.id, Fence: o.Fence, Reason: reason,
		Gain: gain, Cost: r.handCost(o.rate),
	})
	r.give(c, o.rate)
}

// handCost returns the cost of a hand-over: the churn and the time for which
// requests wait.
func (r *round) handCost(rate float64) float64 {
	return r.share(rate) * (r.w.Churn + r.w.Unavailable*handover.Seconds())
}
