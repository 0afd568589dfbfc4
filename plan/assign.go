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
	reasonUnassigned = "never assigned"
	reasonLost       = "owner lost"
	reasonReturned   = "owner is back"
	reasonLeaving    = "owner is leaving"
	reasonEvacuated  = "data centre of the owner is evacuated"
	reasonCancel     = "target of the hand-over is not usable"
)

// ratedShard is a shard with its estimated rate.
type ratedShard struct {
	pollenlatch.Owner
	rate float64 // requests a second
}

// busiestFirst compares shards so that the busiest comes first and those with little
// load, which are placed last, even out the loads.
func busiestFirst(a, b ratedShard) int {
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

// assignUnowned assigns the shards that have no owner and may be assigned now.
func (r *round) assignUnowned() {
	if len(r.usable) == 0 {
		return
	}
	unowned := r.state.index.owned(r.in.View, r.svc.Name, 0)
	if len(unowned) == 0 {
		r.state.rampSteps = 0
		return
	}
	r.estimateRates(unowned)
	slices.SortFunc(unowned, busiestFirst)
	if r.state.rampSteps == 0 || r.in.Now.Sub(r.state.rampStepAt) >= rampInterval {
		r.state.rampSteps++
		r.state.rampStepAt = r.in.Now
	}
	for _, o := range unowned {
		r.assignShard(o)
	}
	if !r.capacityReached {
		r.state.rampSteps = 0
	}
}

// estimateRates sets the rates of shards from the newest report of their previous
// owners, and adds them to the rate of the service.
func (r *round) estimateRates(unowned []ratedShard) {
	counts := make(map[pollenlatch.InstanceID]int)
	for _, o := range unowned {
		counts[o.Previous]++
	}
	ratesByOwner := make(map[pollenlatch.InstanceID]shardRates, len(counts))
	added := 0.0
	for i := range unowned {
		id := unowned[i].Previous
		t := r.p.trackers[id]
		if t == nil {
			unowned[i].rate = r.totalRate / float64(r.svc.NumRanges())
			continue
		}
		rates, ok := ratesByOwner[id]
		if !ok {
			rates = t.estimateRates(r.svc.Name, counts[id], r.in.Now)
			ratesByOwner[id] = rates
		}
		unowned[i].rate = rates.rate(unowned[i].Shard)
		added += unowned[i].rate
	}
	if added > 0 {
		r.totalRate += added
		r.meanRate = r.totalRate / float64(len(r.usable))
		for _, c := range r.usable {
			c.load = r.relativeLoad(c.rate, c.shards) / c.capacity
		}
		for _, h := range r.targetsByDC {
			heap.Init(h)
		}
	}
}

// assignShard assigns a shard without an owner, unless it has to wait for the end of
// the hold-off, for the restart of its previous owner, or for capacity.
func (r *round) assignShard(o ratedShard) {
	previous, usable := r.byID[o.Previous]
	reason := reasonLost
	switch {
	case o.Previous == 0:
		reason = reasonUnassigned
	case usable && !r.damped(previous):
		r.addAssignment(o, previous, reasonReturned)
		return
	case r.in.Withheld.Has(o.Previous):
		if usable {
			r.addAssignment(o, previous, reasonReturned)
		}
		return
	case r.awaitsRestart(o.Previous):
		return
	}
	c := r.assignmentTarget(r.dcOf(o.Previous))
	if c == nil {
		return
	}
	if !r.hasCapacity(c, o.rate) {
		r.capacityReached = true
		return
	}
	r.addAssignment(o, c, reason)
}

// hasCapacity reports whether an endpoint may take an unowned shard now. Above its
// safe rate the limit is ramped up in steps, so that the remaining endpoints after
// a mass loss warm up and shed load instead of failing one after the other. An
// endpoint without a known safe rate has no limit.
func (r *round) hasCapacity(c *candidate, rate float64) bool {
	return c.safeRate <= 0 || c.rate+rate <= c.safeRate*math.Pow(rampGrowth, float64(r.state.rampSteps-1))
}

// awaitsRestart reports whether the shards of an instance wait for its graceful
// restart. In an evacuated data centre it would not be usable afterwards.
func (r *round) awaitsRestart(id pollenlatch.InstanceID) bool {
	t := r.p.trackers[id]
	if t == nil || t.evacuated || (!t.draining && !t.restarting) {
		return false
	}
	wait := r.p.cfg.restartWait(r.weights, r.state.restartTime)
	if t.restarting {
		return r.in.Now.Sub(t.leaseEndedAt) < wait
	}
	return wait > 0 && r.in.Now.Sub(t.usableChangedAt) < r.p.cfg.MaxRestartWait
}

func (r *round) dcOf(id pollenlatch.InstanceID) string {
	i, _ := r.in.View.Instance(id)
	return i.DC
}

func (r *round) addAssignment(o ratedShard, c *candidate, reason string) {
	r.moves = append(r.moves, pollenlatch.Move{
		Shard: o.Shard, To: c.id, Fence: o.Fence, Reason: reason,
		Gain: r.weights.Unavailable * r.rateShare(o.rate),
		Cost: r.churnCost(o, c),
	})
	r.addShard(c, o.rate)
}

// churnCost returns the cost of an assignment, which is 0 when the shard returns to
// its previous owner or never had one.
func (r *round) churnCost(o ratedShard, c *candidate) float64 {
	if o.Previous == 0 || o.Previous == c.id {
		return 0
	}
	return r.weights.Churn * r.rateShare(o.rate)
}

// drainLeaving cancels hand-overs to unusable endpoints and starts hand-overs of the
// shards of leaving ones.
func (r *round) drainLeaving() {
	if len(r.usable) == 0 {
		return
	}
	r.cancelUnusableTargets()
	for _, id := range r.leaving {
		if !r.awaitsRestart(id) {
			r.drainEndpoint(id)
		}
	}
}

// cancelUnusableTargets cancels the hand-overs whose targets are no longer usable.
func (r *round) cancelUnusableTargets() {
	x := &r.state.index
	var ranges []pollenlatch.Range
	for n, next := range x.nextOwner {
		if !r.isUsable(next) {
			ranges = append(ranges, n)
		}
	}
	slices.Sort(ranges)
	for _, n := range ranges {
		if o, ok := r.in.View.ShardOwner(pollenlatch.Shard{Service: r.svc.Name, Range: n}); ok {
			r.addCancellation(o)
		}
	}
	for _, id := range x.owners() {
		for _, o := range x.hotKeysByOwner[id] {
			if o.Frozen() && !r.isUsable(o.Next) {
				r.addCancellation(o)
			}
		}
	}
}

func (r *round) drainEndpoint(id pollenlatch.InstanceID) {
	shards := r.state.index.owned(r.in.View, r.svc.Name, id)
	if len(shards) == 0 {
		return
	}
	t := r.p.trackers[id]
	if t == nil {
		t = &tracker{}
	}
	rates := t.estimateRates(r.svc.Name, len(shards), r.in.Now)
	for i := range shards {
		shards[i].rate = rates.rate(shards[i].Shard)
	}
	slices.SortFunc(shards, busiestFirst)
	handOversLeft := r.p.cfg.MaxDrainHandOvers - r.in.HandOvers[id]
	for _, o := range shards {
		if o.Frozen() || handOversLeft <= 0 {
			continue
		}
		c := r.assignmentTarget(r.dcOf(id))
		if c == nil {
			return
		}
		handOversLeft--
		reason := reasonLeaving
		if t.evacuated {
			reason = reasonEvacuated
		}
		r.addHandOver(o, c, reason, r.weights.Unavailable*r.rateShare(o.rate))
	}
}

func (r *round) addCancellation(o pollenlatch.Owner) {
	r.moves = append(r.moves, pollenlatch.Move{
		Shard: o.Shard, From: o.Instance, To: o.Instance, Fence: o.Fence, Reason: reasonCancel,
	})
}

func (r *round) isUsable(id pollenlatch.InstanceID) bool {
	_, ok := r.byID[id]
	return ok
}

// addHandOver adds a hand-over from the present owner to the plan.
func (r *round) addHandOver(o ratedShard, c *candidate, reason string, gain float64) {
	r.moves = append(r.moves, pollenlatch.Move{
		Shard: o.Shard, From: o.Instance, To: c.id, Fence: o.Fence, Reason: reason,
		Gain: gain, Cost: r.handOverCost(o.rate),
	})
	r.addShard(c, o.rate)
}

// handOverCost returns the cost of a hand-over: the churn, and the time for which
// requests wait.
func (r *round) handOverCost(rate float64) float64 {
	return r.rateShare(rate) * (r.weights.Churn + r.weights.Unavailable*handOverTime.Seconds())
}
