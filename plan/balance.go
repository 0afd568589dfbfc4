package plan

import (
	"cmp"
	"slices"

	"pollenlatch"
)

const (
	reasonLoad      = "owner has more load than the mean"
	reasonHotKey    = "hot key on an overloaded owner"
	reasonCooledKey = "hot key has cooled"
)

// cooledFraction of the rate that makes a key hot is the rate below which a hot key
// returns to its range.
const cooledFraction = 0.3

// balance moves shards from endpoints with a high load to others, within the move
// budget.
func (r *round) balance() {
	state := r.state
	if len(r.usable) == 0 || r.in.Now < state.nextBalanceAt {
		return
	}
	state.nextBalanceAt = r.in.Now.Add(r.p.cfg.BalanceInterval)
	state.refill(r.in.Now, r.p.cfg.MoveBudget)
	r.returnCooledKeys()
	if len(r.usable) < 2 {
		return
	}
	threshold := r.balanceThreshold
	candidates := slices.Clone(r.usable)
	slices.SortFunc(candidates, func(x, y *candidate) int {
		return cmp.Or(cmp.Compare(y.balanceLoad(), x.balanceLoad()), cmp.Compare(x.id, y.id))
	})
	if candidates[0].balanceLoad() >= 1+threshold {
		state.balancing = true
	} else if candidates[0].balanceLoad() < 1+threshold*stopFraction {
		state.balancing = false
	}
	if !state.balancing {
		return
	}
	movesLeft := r.p.cfg.MaxMovesPerRound
	for _, c := range candidates {
		if c.balanceLoad() < 1+threshold*stopFraction || movesLeft <= 0 || state.tokens <= 0 {
			return
		}
		movesLeft -= r.moveLoadFrom(c, movesLeft, threshold)
	}
}

// balanceLoad returns the load that balancing uses: a suspect endpoint sheds load
// before the others.
func (c *candidate) balanceLoad() float64 {
	if c.suspect {
		return c.load + suspectExtraLoad
	}
	return c.load
}

// moveLoadFrom moves shards away from one endpoint and returns their number.
func (r *round) moveLoadFrom(c *candidate, movesLeft int, threshold float64) int {
	movesLeft = min(movesLeft, r.p.cfg.MaxHandOvers-c.handOvers)
	if movesLeft <= 0 || c.movesUnreported {
		return 0
	}
	shards := r.movableShards(c)
	n := 0
	moved := make(map[pollenlatch.Range]bool) // a range and its hot key don't move together
	for _, o := range shards {
		if moved[o.Range] {
			continue
		}
		if n == movesLeft || r.state.tokens <= 0 || c.balanceLoad() < 1+threshold*stopFraction {
			break
		}
		t := r.balanceTarget(c, o)
		if t == nil {
			continue
		}
		excess := c.balanceLoad() - 1
		relativeLoad := r.relativeLoad(o.rate, 1)
		gain := r.weights.Imbalance * horizon * excess * r.rateShare(o.rate)
		cost := r.handOverCost(o.rate)
		if gain < cost*stopFraction || relativeLoad <= 0 {
			continue
		}
		reason := reasonLoad
		if o.Key != "" {
			reason = reasonHotKey
		}
		moved[o.Range] = true
		r.addHandOver(o, t, reason, gain)
		r.removeShard(c, o.rate)
		c.handOvers++
		if o.Key != "" {
			r.state.index.numHotKeys++ // until the next view includes its record
		}
		r.state.tokens -= r.rateShare(o.rate)
		n++
	}
	return n
}

// movableShards returns the shards of an endpoint that may move, the busiest first:
// its ranges, its hot keys, and reported hot keys without an owner record.
func (r *round) movableShards(c *candidate) []ratedShard {
	rates := c.tracker.estimateRates(r.svc.Name, r.state.index.count(c.id), r.in.Now)
	var list []ratedShard
	ownedKeys := make(map[string]bool)
	ownedRanges := make(map[pollenlatch.Range]pollenlatch.Owner)
	for _, o := range r.state.index.owned(r.in.View, r.svc.Name, c.id) {
		if o.Key != "" {
			ownedKeys[o.Key] = true
		} else {
			ownedRanges[o.Range] = o.Owner
		}
		if !o.Frozen() {
			o.rate = rates.rate(o.Shard)
			list = append(list, o)
		}
	}
	for _, h := range c.tracker.load.HotKeys {
		if r.state.index.numHotKeys >= r.p.cfg.MaxHotKeys {
			break
		}
		if h.Service != r.svc.Name || ownedKeys[h.Key] || h.Rate < r.p.cfg.HotKeyShare*r.meanRate {
			continue
		}
		keyRange := pollenlatch.RangeOf(r.svc.Name, h.Key, r.svc.RangeBits)
		o, ok := ownedRanges[keyRange]
		if !ok || o.Frozen() {
			continue
		}
		o.Key = h.Key
		list = append(list, ratedShard{Owner: o, rate: h.Rate})
	}
	slices.SortFunc(list, busiestFirst)
	return list
}

// balanceTarget returns the endpoint that should take a shard of an overloaded
// endpoint, or nil. Afterwards the target must have less load than the owner, and
// at most slightly more than the mean.
func (r *round) balanceTarget(c *candidate, o ratedShard) *candidate {
	t := r.bestSettled(c.dc)
	if t == nil || t == c {
		return nil
	}
	added := r.relativeLoad(o.rate, 1)
	loadAfter := t.load + added/t.capacity
	switch {
	case c.suspect:
		if loadAfter > 1+maxThreshold {
			return nil
		}
	case loadAfter >= c.load:
		return nil
	case loadAfter > 1+r.balanceThreshold*stopFraction:
		// It may come near the threshold of balancing, or exceed the mean by
		// half the load of a large shard, but must not have more load than the
		// owner keeps.
		if loadAfter > 1+max(r.balanceThreshold*targetFraction, added/2) || loadAfter > c.load-added/c.capacity {
			return nil
		}
	}
	return t
}

// bestSettled returns the endpoint with the least load that has been usable for the
// settle time, or nil. It prefers the data centre unless an endpoint elsewhere has
// clearly less load.
func (r *round) bestSettled(dc string) *candidate {
	settleTime := r.p.cfg.settleTime(r.weights)
	var best, local *candidate
	for _, t := range r.usable {
		if r.in.Now.Sub(t.tracker.usableChangedAt) < settleTime || r.damped(t) || t.movesUnreported {
			continue
		}
		if best == nil || lessLoaded(t, best) {
			best = t
		}
		if t.dc == dc && (local == nil || lessLoaded(t, local)) {
			local = t
		}
	}
	if local != nil && local.load <= best.load+localSlack {
		return local
	}
	return best
}

// returnCooledKeys returns hot keys whose rate has fallen to the owners of their
// ranges.
func (r *round) returnCooledKeys() {
	for _, c := range r.usable {
		if k := r.state.index.hotKeysByOwner[c.id]; len(k) > 0 {
			r.returnCooledKeysOf(c, k)
		}
	}
}

func (r *round) returnCooledKeysOf(c *candidate, keys []pollenlatch.Owner) {
	rates := c.tracker.estimateRates(r.svc.Name, c.shards, r.in.Now)
	for _, k := range keys {
		rate := rates.byKey[k.Key]
		if k.Frozen() || c.handOvers >= r.p.cfg.MaxHandOvers || rate >= cooledFraction*r.p.cfg.HotKeyShare*r.meanRate {
			continue
		}
		rangeOwner, ok := r.in.View.ShardOwner(pollenlatch.Shard{Service: k.Service, Range: k.Range})
		if !ok || rangeOwner.Frozen() || !r.isUsable(rangeOwner.Instance) {
			continue
		}
		c.handOvers++
		r.moves = append(r.moves, pollenlatch.Move{
			Shard: k.Shard, From: c.id, Fence: k.Fence, Reason: reasonCooledKey, Cost: r.handOverCost(rate),
		})
	}
}
