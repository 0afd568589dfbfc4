package plan

import (
	"container/heap"
	"slices"
	"time"

	"pollenlatch"
)

// candidate is an endpoint that may get shards.
type candidate struct {
	id      pollenlatch.InstanceID
	dc      string
	track   *track
	count   int     // shards
	rate    float64 // requests a second
	load    float64 // relative to the mean endpoint's; 1 is the mean
	unsure  bool    // its reports may not show its latest moves yet
	limit   float64 // rate up to which lost shards are given to it now
	index   int     // in its heap
	size    float64 // slots relative to the mean endpoint's
	busy    int     // hand-overs in progress, with those of this plan
	suspect bool    // answers badly
}

// round is the planning of one service at one moment.
type round struct {
	p       *Planner
	in      pollenlatch.PlanInput
	svc     pollenlatch.Service
	w       pollenlatch.Weights
	book    *book
	usable  []*candidate // by ID
	byID    map[pollenlatch.InstanceID]*candidate
	leaving []pollenlatch.InstanceID // alive, may own shards, not usable
	homes   map[string]*minHeap      // by data centre
	dcs     []string
	rate    float64 // of the whole service
	start   float64 // excess over the mean that starts balancing
	mean    float64 // rate of the mean usable endpoint
	steady  int     // usable endpoints that are fit for new shards
	shards  float64 // mean number of shards of a usable endpoint
	crowded bool    // a lost shard found no room
	moves   []pollenlatch.Move
}

func (p *Planner) newRound(in pollenlatch.PlanInput, s pollenlatch.Service, b *book) *round {
	r := &round{
		p: p, in: in, svc: s, w: weights(s), book: b,
		byID: make(map[pollenlatch.InstanceID]*candidate),
	}
	known := make([]pollenlatch.InstanceID, 0, len(b.known))
	listed := make(map[pollenlatch.InstanceID]bool, len(b.known))
	endpoints := in.View.Endpoints(s.Name)
	r.reports(endpoints)
	for _, i := range endpoints {
		known = append(known, i.ID)
		listed[i.ID] = true
		r.endpoint(i)
	}
	r.gone(listed)
	b.known = known
	r.measure()
	return r
}

// reports takes the load reports of all endpoints.
func (r *round) reports(endpoints []pollenlatch.Instance) {
	var changes []change
	for _, i := range endpoints {
		t := r.p.tracks[i.ID]
		if t == nil {
			t = &track{}
			r.p.tracks[i.ID] = t
		}
		if l, ok := r.in.Loads[i.ID]; ok {
			if c, ok := t.report(l, r.book.index.count(i.ID), r.in.Now); ok {
				changes = append(changes, c)
			}
		}
	}
	rescale(changes, r.in.Now)
}

// endpoint files one endpoint of the service as usable or leaving.
func (r *round) endpoint(i pollenlatch.Instance) {
	t := r.p.tracks[i.ID]
	if d := t.observe(i, r.in.Now); d > 0 {
		r.book.restart = time.Duration((1-learnShare)*float64(r.book.restart) + learnShare*float64(d))
	}
	owned := r.book.index.count(i.ID)
	if owned == 0 && t.since == r.in.Now {
		t.load, t.pending = pollenlatch.Load{}, nil // of a run that has ended
	}
	if !i.Usable() || !r.allowed(i.DC) {
		r.leaving = append(r.leaving, i.ID)
		return
	}
	c := &candidate{id: i.ID, dc: i.DC, track: t, rate: t.rate(r.in.Now)}
	c.unsure = len(t.pending) > 0
	c.size = float64(max(i.Endpoint.Slots, 1))
	c.busy = r.in.HandOvers[i.ID]
	c.suspect = t.load.Suspect
	c.count = owned + r.book.index.inbound[i.ID]
	if l := t.load; l.MedianLatency > 0 && i.Endpoint.Slots > 0 {
		c.limit = safeUse * float64(i.Endpoint.Slots) / l.MedianLatency.Seconds()
	}
	r.usable = append(r.usable, c)
	r.byID[c.id] = c
}

// gone notes endpoints that are not listed any more, and adds the living
// instances that own shards without being an endpoint of the service.
func (r *round) gone(listed map[pollenlatch.InstanceID]bool) {
	for _, id := range r.book.known {
		if t := r.p.tracks[id]; t != nil && !listed[id] {
			if i, ok := r.in.View.Instance(id); ok {
				t.observe(i, r.in.Now)
			} else {
				delete(r.p.tracks, id)
			}
		}
	}
	for _, id := range r.book.index.owners() {
		if !listed[id] {
			r.leaving = append(r.leaving, id)
		}
	}
	slices.Sort(r.leaving)
}

// allowed reports whether the service may run in a data centre.
func (r *round) allowed(dc string) bool {
	return len(r.svc.DCs) == 0 || slices.Contains(r.svc.DCs, dc)
}

// measure fills in means and relative loads, and the heaps of targets.
func (r *round) measure() {
	if len(r.usable) == 0 {
		return
	}
	n := float64(len(r.usable))
	slots, suspects := 0.0, 0
	for _, c := range r.usable {
		r.rate += c.rate
		slots += c.size
		if c.suspect {
			suspects++
		}
	}
	for _, c := range r.usable {
		c.size = c.size * n / slots
		c.suspect = c.suspect && float64(suspects) <= n*maxSuspects
		if !r.unfit(c) {
			r.steady++
		}
	}
	for _, id := range r.leaving {
		if t := r.p.tracks[id]; t != nil && r.book.index.count(id) > 0 {
			r.rate += t.load.Rate
		}
	}
	r.mean = r.rate / n
	r.start = noisyStart(r.w, r.mean)
	r.shards = max(float64(r.svc.NumRanges())/n, 1)
	r.homes = make(map[string]*minHeap)
	for _, c := range r.usable {
		c.load = r.relative(c.rate, c.count) / c.size
		if r.damped(c) {
			continue
		}
		h := r.homes[c.dc]
		if h == nil {
			h = &minHeap{}
			r.homes[c.dc] = h
			r.dcs = append(r.dcs, c.dc)
		}
		c.index = len(*h)
		*h = append(*h, c)
	}
	slices.Sort(r.dcs)
	for _, dc := range r.dcs {
		heap.Init(r.homes[dc])
	}
}

// relative returns a load relative to the mean endpoint's.
func (r *round) relative(rate float64, count int) float64 {
	byCount := float64(count) / r.shards
	if r.mean < quietRate {
		return byCount
	}
	return (1-countShare)*rate/r.mean + countShare*byCount
}

// unfit reports whether an endpoint failed too often lately, or answers badly.
func (r *round) unfit(c *candidate) bool {
	return c.suspect || c.track.flaps(r.in.Now) >= flapLimit
}

// damped reports whether an endpoint gets no shards because others are fitter.
func (r *round) damped(c *candidate) bool { return r.steady > 0 && r.unfit(c) }

// target returns the best endpoint for a shard whose last owner was in a data
// centre, without the excluded one; nil when there is none.
func (r *round) target(dc string) *candidate {
	var best *candidate
	for _, d := range r.dcs {
		if h := *r.homes[d]; len(h) > 0 && (best == nil || less(h[0], best)) {
			best = h[0]
		}
	}
	if h, ok := r.homes[dc]; ok && len(*h) > 0 && best != nil && (*h)[0].load <= best.load+homeSlack {
		return (*h)[0]
	}
	return best
}

// give counts a shard for its new owner.
func (r *round) give(c *candidate, rate float64) {
	c.count++
	c.rate += rate
	c.load = r.relative(c.rate, c.count) / c.size
	c.track.adjust(r.in.Now.Add(r.p.cfg.ReportLag), rate)
	if h, ok := r.homes[c.dc]; ok && c.index < len(*h) && (*h)[c.index] == c {
		heap.Fix(h, c.index)
	}
}

// take counts a shard away from its owner.
func (r *round) take(c *candidate, rate float64) {
	c.count--
	c.rate = max(c.rate-rate, 0)
	c.load = r.relative(c.rate, c.count) / c.size
	c.track.adjust(r.in.Now.Add(r.p.cfg.ReportLag), -rate)
	if h, ok := r.homes[c.dc]; ok && c.index < len(*h) && (*h)[c.index] == c {
		heap.Fix(h, c.index)
	}
}

// share returns the share of the service's load that a rate is.
func (r *round) share(rate float64) float64 {
	if r.rate <= 0 {
		return 1 / float64(r.svc.NumRanges())
	}
	return rate / r.rate
}

// minHeap orders candidates by load.
type minHeap []*candidate

func less(a, b *candidate) bool {
	if a.load != b.load {
		return a.load < b.load
	}
	return a.id < b.id
}

func (h minHeap) Len() int           { return len(h) }
func (h minHeap) Less(i, j int) bool { return less(h[i], h[j]) }
func (h minHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push is part of heap.Interface.
func (h *minHeap) Push(x any) {
	c := x.(*candidate)
	c.index = len(*h)
	*h = append(*h, c)
}

// Pop is part of heap.Interface.
func (h *minHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	return c
}
