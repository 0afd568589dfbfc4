package plan

import (
	"container/heap"
	"slices"
	"time"

	"pollenlatch"
)

// candidate is a usable endpoint, which may receive shards. Its loads include the
// moves of this plan.
type candidate struct {
	id              pollenlatch.InstanceID
	dc              string
	tracker         *tracker
	shards          int     // including those that are being handed over to it
	rate            float64 // requests a second
	load            float64 // relative to the mean endpoint's; 1 is the mean
	movesUnreported bool    // its load reports may not include its latest moves yet
	safeRate        float64 // rate up to which it takes unowned shards at once; 0 is unknown
	heapIndex       int     // in the heap of its data centre
	capacity        float64 // its slots relative to the mean endpoint's
	handOvers       int     // hand-overs from it in progress, including those of this plan
	suspect         bool    // so many of its responses are errors that it should shed load
}

// round is one run of the planner for one service.
type round struct {
	p                *Planner
	in               pollenlatch.PlanInput
	svc              pollenlatch.Service
	weights          pollenlatch.Weights
	state            *serviceState
	usable           []*candidate // sorted by ID
	byID             map[pollenlatch.InstanceID]*candidate
	leaving          []pollenlatch.InstanceID // instances with a lease that may own shards but are not usable
	targetsByDC      map[string]*loadHeap     // endpoints that may get shards, by data centre
	dcs              []string
	totalRate        float64 // rate of the whole service in requests a second
	balanceThreshold float64 // excess over the mean load that starts balancing
	meanRate         float64 // mean rate of the usable endpoints
	numFit           int     // number of usable endpoints that are not unfit
	meanShards       float64 // mean number of shards of a usable endpoint
	capacityReached  bool    // an unowned shard was not assigned because its target had no capacity
	moves            []pollenlatch.Move
}

func (p *Planner) newRound(in pollenlatch.PlanInput, s pollenlatch.Service, state *serviceState) *round {
	r := &round{
		p: p, in: in, svc: s, weights: weightsOf(s), state: state,
		byID: make(map[pollenlatch.InstanceID]*candidate),
	}
	known := make([]pollenlatch.InstanceID, 0, len(state.lastEndpoints))
	listed := make(map[pollenlatch.InstanceID]bool, len(state.lastEndpoints))
	endpoints := in.View.Endpoints(s.Name)
	r.recordReports(endpoints)
	for _, i := range endpoints {
		known = append(known, i.ID)
		listed[i.ID] = true
		r.addEndpoint(i)
	}
	r.addUnlisted(listed)
	state.lastEndpoints = known
	r.computeLoads()
	return r
}

// recordReports records the load reports of all endpoints.
func (r *round) recordReports(endpoints []pollenlatch.Instance) {
	var changes []rateChange
	for _, i := range endpoints {
		t := r.p.trackers[i.ID]
		if t == nil {
			t = &tracker{}
			r.p.trackers[i.ID] = t
		}
		if l, ok := r.in.Loads[i.ID]; ok {
			if c, ok := t.addReport(l, r.state.index.count(i.ID), r.in.Now); ok {
				changes = append(changes, c)
			}
		}
	}
	correctScales(changes, r.in.Now)
}

// addEndpoint adds an endpoint of the service to the usable or the leaving ones.
func (r *round) addEndpoint(i pollenlatch.Instance) {
	t := r.p.trackers[i.ID]
	if d := t.observe(i, r.in.Now); d > 0 {
		r.state.restartTime = time.Duration((1-restartWeight)*float64(r.state.restartTime) + restartWeight*float64(d))
	}
	owned := r.state.index.count(i.ID)
	if owned == 0 && t.usableChangedAt == r.in.Now {
		t.load, t.adjustments = pollenlatch.Load{}, nil // they belong to the previous process
	}
	if !i.Usable() || !r.dcAllowed(i.DC) {
		r.leaving = append(r.leaving, i.ID)
		return
	}
	c := &candidate{id: i.ID, dc: i.DC, tracker: t, rate: t.rate(r.in.Now)}
	c.movesUnreported = len(t.adjustments) > 0
	c.capacity = float64(max(i.Endpoint.Slots, 1))
	c.handOvers = r.in.HandOvers[i.ID]
	c.suspect = t.load.Suspect
	c.shards = owned + r.state.index.inbound[i.ID]
	if l := t.load; l.MedianLatency > 0 && i.Endpoint.Slots > 0 {
		c.safeRate = safeUtilisation * float64(i.Endpoint.Slots) / l.MedianLatency.Seconds()
	}
	r.usable = append(r.usable, c)
	r.byID[c.id] = c
}

// addUnlisted updates the trackers of endpoints that are no longer listed, and adds
// the instances that own shards without being an endpoint of the service to the
// leaving ones.
func (r *round) addUnlisted(listed map[pollenlatch.InstanceID]bool) {
	for _, id := range r.state.lastEndpoints {
		if t := r.p.trackers[id]; t != nil && !listed[id] {
			if i, ok := r.in.View.Instance(id); ok {
				t.observe(i, r.in.Now)
			} else {
				delete(r.p.trackers, id)
			}
		}
	}
	for _, id := range r.state.index.owners() {
		if !listed[id] {
			r.leaving = append(r.leaving, id)
		}
	}
	slices.Sort(r.leaving)
}

// dcAllowed reports whether the service may run in a data centre.
func (r *round) dcAllowed(dc string) bool {
	return len(r.svc.DCs) == 0 || slices.Contains(r.svc.DCs, dc)
}

// computeLoads computes the means and relative loads, and builds the heaps of
// targets.
func (r *round) computeLoads() {
	if len(r.usable) == 0 {
		return
	}
	n := float64(len(r.usable))
	slots, suspects := 0.0, 0
	for _, c := range r.usable {
		r.totalRate += c.rate
		slots += c.capacity
		if c.suspect {
			suspects++
		}
	}
	for _, c := range r.usable {
		c.capacity = c.capacity * n / slots
		c.suspect = c.suspect && float64(suspects) <= n*maxSuspectShare
		if !r.unfit(c) {
			r.numFit++
		}
	}
	for _, id := range r.leaving {
		if t := r.p.trackers[id]; t != nil && r.state.index.count(id) > 0 {
			r.totalRate += t.load.Rate
		}
	}
	r.meanRate = r.totalRate / n
	r.balanceThreshold = balanceThreshold(r.weights, r.meanRate)
	r.meanShards = max(float64(r.svc.NumRanges())/n, 1)
	r.targetsByDC = make(map[string]*loadHeap)
	for _, c := range r.usable {
		c.load = r.relativeLoad(c.rate, c.shards) / c.capacity
		if r.damped(c) {
			continue
		}
		h := r.targetsByDC[c.dc]
		if h == nil {
			h = &loadHeap{}
			r.targetsByDC[c.dc] = h
			r.dcs = append(r.dcs, c.dc)
		}
		c.heapIndex = len(*h)
		*h = append(*h, c)
	}
	slices.Sort(r.dcs)
	for _, dc := range r.dcs {
		heap.Init(r.targetsByDC[dc])
	}
}

// relativeLoad returns the load of a rate and a number of shards, relative to the
// mean endpoint's.
func (r *round) relativeLoad(rate float64, count int) float64 {
	byCount := float64(count) / r.meanShards
	if r.meanRate < minSignificantRate {
		return byCount
	}
	return (1-countWeight)*rate/r.meanRate + countWeight*byCount
}

// unfit reports whether an endpoint is suspect or became unusable too often lately.
func (r *round) unfit(c *candidate) bool {
	return c.suspect || c.tracker.flapPenalty(r.in.Now) >= flapLimit
}

// damped reports whether an endpoint gets no new shards because it is unfit and
// others are not.
func (r *round) damped(c *candidate) bool { return r.numFit > 0 && r.unfit(c) }

// assignmentTarget returns the best endpoint for a shard whose previous owner was in
// the data centre, or nil when there is none.
func (r *round) assignmentTarget(dc string) *candidate {
	var best *candidate
	for _, d := range r.dcs {
		if h := *r.targetsByDC[d]; len(h) > 0 && (best == nil || lessLoaded(h[0], best)) {
			best = h[0]
		}
	}
	if h, ok := r.targetsByDC[dc]; ok && len(*h) > 0 && best != nil && (*h)[0].load <= best.load+localSlack {
		return (*h)[0]
	}
	return best
}

// addShard adds a shard to the load of its new owner.
func (r *round) addShard(c *candidate, rate float64) {
	c.shards++
	c.rate += rate
	c.load = r.relativeLoad(c.rate, c.shards) / c.capacity
	c.tracker.addAdjustment(r.in.Now.Add(r.p.cfg.ReportLag), rate)
	if h, ok := r.targetsByDC[c.dc]; ok && c.heapIndex < len(*h) && (*h)[c.heapIndex] == c {
		heap.Fix(h, c.heapIndex)
	}
}

// removeShard subtracts a shard from the load of its owner.
func (r *round) removeShard(c *candidate, rate float64) {
	c.shards--
	c.rate = max(c.rate-rate, 0)
	c.load = r.relativeLoad(c.rate, c.shards) / c.capacity
	c.tracker.addAdjustment(r.in.Now.Add(r.p.cfg.ReportLag), -rate)
	if h, ok := r.targetsByDC[c.dc]; ok && c.heapIndex < len(*h) && (*h)[c.heapIndex] == c {
		heap.Fix(h, c.heapIndex)
	}
}

// rateShare returns a rate as a share of the service's rate.
func (r *round) rateShare(rate float64) float64 {
	if r.totalRate <= 0 {
		return 1 / float64(r.svc.NumRanges())
	}
	return rate / r.totalRate
}

// loadHeap is a min-heap of candidates by load.
type loadHeap []*candidate

func lessLoaded(a, b *candidate) bool {
	if a.load != b.load {
		return a.load < b.load
	}
	return a.id < b.id
}

func (h loadHeap) Len() int           { return len(h) }
func (h loadHeap) Less(i, j int) bool { return lessLoaded(h[i], h[j]) }
func (h loadHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (h *loadHeap) Push(x any) {
	c := x.(*candidate)
	c.heapIndex = len(*h)
	*h = append(*h, c)
}

// Pop implements heap.Interface.
func (h *loadHeap) Pop() any {
	old := *h
	c := old[len(old)-1]
	*h = old[:len(old)-1]
	return c
}
