package plan

import (
	"cmp"
	"slices"

	"pollenlatch"
)

const (
	reasonLoad = "owner has more load than the mean"
	reasonHot  = "hot key on an overloaded owner"
	reasonCool = "hot key has cooled"
)

// coolShare of the rate that gives a key a record of its own takes it away.
const coolShare = 0.3

// balance moves shards from loaded endpoints to others, within the budget.
func (r *round) balance() {
	b := r.book
	if len(r.usable) == 0 || r.in.Now < b.nextAt {
		return
	}
	b.nextAt = r.in.Now.Add(r.p.cfg.BalanceInterval)
	b.refill(r.in.Now, r.p.cfg.MoveBudget)
	r.returnCool()
	if len(r.usable) < 2 {
		return
	}
	start := r.start
	order := slices.Clone(r.usable)
	slices.SortFunc(order, func(x, y *candidate) int {
		return cmp.Or(cmp.Compare(y.pressure(), x.pressure()), cmp.Compare(x.id, y.id))
	})
	if order[0].pressure() >= 1+start {
		b.active = true
	} else if order[0].pressure() < 1+start*stopShare {
		b.active = false
	}
	if !b.active {
		return
	}
	left := r.p.cfg.MaxMovesPerRound
	for _, c := range order {
		if c.pressure() < 1+start*stopShare || left <= 0 || b.tokens <= 0 {
			return
		}
		left -= r.unload(c, left, start)
	}
}

// pressure returns the load by which balancing orders endpoints.
func (c *candidate) pressure() float64 {
	if c.suspect {
		return c.load + suspectLoad
	}
	return c.load
}

// unload moves shards of one endpoint away and returns their number.
func (r *round) unload(c *candidate, left int, start float64) int {
	left = min(left, r.p.cfg.MaxHandOvers-c.busy)
	if left <= 0 || c.unsure {
		return 0
	}
	options := r.options(c)
	n := 0
	moved := make(map[pollenlatch.Range]bool) // a range or its hot key, not both
	for _, o := range options {
		if moved[o.Range] {
			continue
		}
		if n == left || r.book.tokens <= 0 || c.pressure() < 1+start*stopShare {
			break
		}
		t := r.relief(c, o)
		if t == nil {
			continue
		}
		excess := c.pressure() - 1
		x := r.relative(o.rate, 1)
		gain := r.w.Imbalance * horizon * excess * r.share(o.rate)
		cost := r.handCost(o.rate)
		if gain < cost*stopShare || x <= 0 {
			continue
		}
		reason := reasonLoad
		if o.Key != "" {
			reason = reasonHot
		}
		moved[o.Range] = true
		r.hand(o, t, reason, gain)
		r.take(c, o.rate)
		c.busy++
		if o.Key != "" {
			r.book.index.records++ // until the next view counts it
		}
		r.book.tokens -= r.share(o.rate)
		n++
	}
	return n
}

// options returns the shards of an endpoint that may move, the busiest first:
// ranges without their hot keys' part, and hot keys alone.
func (r *round) options(c *candidate) []orphan {
	e := c.track.shards(r.svc.Name, r.book.index.count(c.id), r.in.Now)
	var list []orphan
	own := make(map[string]bool)
	owns := make(map[pollenlatch.Range]pollenlatch.Owner)
	for _, o := range r.book.index.owned(r.in.View, r.svc.Name, c.id) {
		if o.Key != "" {
			own[o.Key] = true
		} else {
			owns[o.Range] = o.Owner
		}
		if !o.Frozen() {
			o.rate = e.of(o.Shard)
			list = append(list, o)
		}
	}
	for _, h := range c.track.load.HotKeys {
		if r.book.index.records >= r.p.cfg.MaxHotKeys {
			break
		}
		if h.Service != r.svc.Name || own[h.Key] || h.Rate < r.p.cfg.HotKeyShare*r.mean {
			continue
		}
		rng := pollenlatch.RangeOf(r.svc.Name, h.Key, r.svc.RangeBits)
		o, ok := owns[rng]
		if !ok || o.Frozen() {
			continue
		}
		o.Key = h.Key
		list = append(list, orphan{Owner: o, rate: h.Rate})
	}
	slices.SortFunc(list, byRate)
	return list
}

// relief returns the endpoint that should take a shard of an overloaded one:
// it must stay below both the owner's load and the mean with its slack.
func (r *round) relief(c *candidate, o orphan) *candidate {
	t := r.settled(c.dc)
	if t == nil || t == c {
		return nil
	}
	x := r.relative(o.rate, 1)
	after := t.load + x/t.size
	switch {
	case c.suspect:
		if after > 1+maxStart {
			return nil
		}
	case after >= c.load:
		return nil
	case after > 1+r.start*stopShare:
		// It may come near the excess that starts balancing, or half a large
		// shard above the mean, but not above what the owner keeps.
		if after > 1+max(r.start*nearShare, x/2) || after > c.load-x/c.size {
			return nil
		}
	}
	return t
}

// settled returns the best target for balancing: one in the data centre unless
// another has clearly less load.
func (r *round) settled(dc string) *candidate {
	wait := r.p.cfg.settle(r.w)
	var best, home *candidate
	for _, t := range r.usable {
		if r.in.Now.Sub(t.track.since) < wait || r.damped(t) || t.unsure {
			continue
		}
		if best == nil || less(t, best) {
			best = t
		}
		if t.dc == dc && (home == nil || less(t, home)) {
			home = t
		}
	}
	if home != nil && home.load <= best.load+homeSlack {
		return home
	}
	return best
}

// returnCool gives hot keys that have cooled back to their ranges.
func (r *round) returnCool() {
	for _, c := range r.usable {
		if k := r.book.index.keys[c.id]; len(k) > 0 {
			r.cool(c, k)
		}
	}
}

func (r *round) cool(c *candidate, keys []pollenlatch.Owner) {
	e := c.track.shards(r.svc.Name, c.count, r.in.Now)
	for _, k := range keys {
		rate := e.byKey[k.Key]
		if k.Frozen() || c.busy >= r.p.cfg.MaxHandOvers || rate >= coolShare*r.p.cfg.HotKeyShare*r.mean {
			continue
		}
		home, ok := r.in.View.ShardOwner(pollenlatch.Shard{Service: k.Service, Range: k.Range})
		if !ok || home.Frozen() || !r.usableID(home.Instance) {
			continue
		}
		c.busy++
		r.moves = append(r.moves, pollenlatch.Move{
			Shard: k.Shard, From: c.id, Fence: k.Fence, Reason: reasonCool, Cost: r.handCost(rate),
		})
	}
}
