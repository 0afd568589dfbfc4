package pick

import (
	"sync"
	"time"

	"pollenlatch"
)

const (
	// hintAge is the age at which the hint of a daemon no longer counts. Until then its
	// weight falls evenly, and that of this daemon's own statistics rises.
	hintAge = time.Second
	// hopCost is the time that a request loses by leaving the data centre: two crossings,
	// and the work of a second daemon.
	hopCost = 10 * time.Millisecond
	// maxCompared is the number of endpoints that are compared for a request that goes to
	// the one with the most room. More would not find a much better one.
	maxCompared = 12
	// maxFailing is the maximum share of failures that raises the cost of an endpoint.
	maxFailing = 0.95
)

// hint is what the daemon beside an endpoint has said of it.
type hint struct {
	pollenlatch.ServerHint
	at   pollenlatch.MonoTime
	sent int // requests that were sent since
}

// Observe records the hint of the daemon beside an endpoint.
func (p *Picker) Observe(id pollenlatch.InstanceID, h pollenlatch.ServerHint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.endpoints[id]
	if e == nil {
		return
	}
	now := p.cfg.Clock.Now()
	e.hint = hint{ServerHint: h, at: now}
	if float64(h.Failing) >= 100*ejectFailureShare {
		p.ejectFailing(e, now)
	}
}

// ejectFailing excludes an endpoint that fails most requests until the hint no longer
// counts. When more than one in maxEjectedDivisor of the endpoints with a new hint fail,
// the cause is more likely elsewhere, and none stays excluded because of its hint. Only
// endpoints that are found by the index are excluded; iterating over the map takes three times as long.
func (p *Picker) ejectFailing(e *endpoint, now pollenlatch.MonoTime) {
	if int(e.instance.ID) >= len(p.index) {
		return
	}
	hinted, failing, ejected, all := 0, 0, 0, 0
	for _, o := range p.index {
		if o == nil || o.lastCandidate < now.Add(-endpointExpiry) || o.instance.Endpoint == nil || !sameService(o, e) {
			continue
		}
		all++
		if o != e && o.ejectedUntil > now {
			ejected++
		}
		if o.hint.weight(now) > 0 {
			hinted++
			if float64(o.hint.Failing) >= 100*ejectFailureShare {
				failing++
			}
		}
	}
	if failing*maxEjectedDivisor > hinted {
		for _, o := range p.index {
			if o != nil && o.ejectedByHint && o.instance.Endpoint != nil && sameService(o, e) {
				o.ejectedUntil, o.ejectedByHint = now, false
			}
		}
		return
	}
	if until := now.Add(hintAge); (ejected+1)*maxEjectedDivisor <= all && until > e.ejectedUntil {
		if e.ejectedUntil <= now && p.cfg.EjectedByHint != nil {
			p.cfg.EjectedByHint(e.instance, e.hint.Failing)
		}
		e.ejectedUntil, e.ejectedByHint = until, true
	}
}

// attempts returns how many requests an endpoint takes for each that succeeds, by its hint.
// It counts for hintAge, and less and less for as long again: to a daemon that no longer
// knows it, a server that fails at once looks like one with free slots.
func (h *hint) attempts(now pollenlatch.MonoTime) float64 {
	if h.Failing == 0 {
		return 1
	}
	weight := min(1, max(0, 2-float64(now.Sub(h.at))/float64(hintAge)))
	return 1 / (1 - weight*min(float64(h.Failing)/100, maxFailing))
}

// weight returns the weight of a hint, from 1 for a new one to 0.
func (h *hint) weight(now pollenlatch.MonoTime) float64 {
	if h.at == 0 {
		return 0
	}
	return max(0, 1-float64(now.Sub(h.at))/float64(hintAge))
}

// free returns the number of free slots that are left after the requests that were sent
// since the hint.
func (h *hint) free() float64 { return float64(h.FreeSlots) - float64(h.sent) }

// wait returns the expected wait for a slot in seconds. latency is that of a request.
func (h *hint) wait(latency float64) float64 {
	free := h.free()
	if free >= 1 {
		return 0
	}
	return float64(h.WaitMillis)/1000 + (1-free)*latency/max(1, float64(h.Slots))
}

// hintedCost returns the cost of an endpoint by its hint: its latency, which is lower the
// more slots are free, and the wait.
func (e *endpoint) hintedCost(latency float64) float64 {
	occupied := 1 - max(0, e.hint.free())/max(1, float64(e.hint.Slots))
	return latency*(1+occupied) + e.hint.wait(latency)
}

// spillByHint decides whether a request leaves the data centre, if the hints tell: only
// when the wait here is longer than there by more than the hop costs.
func (p *Picker) spillByHint(near, far *endpoint, now pollenlatch.MonoTime) (spill, known bool) {
	nearWeight, farWeight := near.hint.weight(now), far.hint.weight(now)
	if nearWeight == 0 || now < near.overloadedUntil {
		return false, false
	}
	nearLatency, _ := p.estimate(near, now)
	nearWait := near.hint.wait(nearLatency)
	if nearWait <= hopCost.Seconds() {
		return false, true
	}
	if farWeight == 0 {
		return false, false
	}
	farLatency, _ := p.estimate(far, now)
	return nearWait > far.hint.wait(farLatency)+hopCost.Seconds(), true
}

// PickMostRoom picks the endpoint that is likely to serve a request first, for one that
// must not wait. Of many endpoints it compares maxCompared random ones. An endpoint in
// another data centre must be better by the cost of the hop.
func (p *Picker) PickMostRoom(candidates []pollenlatch.Instance, dc string, tried pollenlatch.Set[pollenlatch.InstanceID]) (pollenlatch.Instance, func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration), bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.cfg.Clock.Now()
	p.sweep(now)
	var best *endpoint
	var bestCost float64
	hinted := false
	start := p.rand.IntN(max(1, len(candidates)))
	for n, compared := 0, 0; n < len(candidates) && compared < maxCompared; n++ {
		c := &candidates[(start+n)%len(candidates)]
		if tried.Has(c.ID) {
			continue
		}
		e := p.endpointOf(c, now)
		if e.ejectedUntil > now || e.coldUntil > now || e.coldRate > 0 {
			continue
		}
		compared++
		hinted = hinted || e.hint.weight(now) > 0
		cost := p.cost(e, now)
		if c.DC != dc {
			cost += hopCost.Seconds()
		}
		if best == nil || cost < bestCost {
			best, bestCost = e, cost
		}
	}
	if best == nil || !hinted {
		best = p.choose(candidates, dc, tried, now)
	}
	return p.begin(best, now)
}

// begin counts a request to an endpoint; nil is none.
func (p *Picker) begin(e *endpoint, now pollenlatch.MonoTime) (pollenlatch.Instance, func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration), bool) {
	if e == nil {
		return pollenlatch.Instance{}, nil, false
	}
	e.instance = *e.candidate
	if e.inflight == 0 {
		e.lastProgress = now
	}
	e.inflight++
	e.hint.sent++
	var once sync.Once
	done := func(o pollenlatch.Outcome, r pollenlatch.Reason, took time.Duration) {
		once.Do(func() { p.done(e, o, r, took) })
	}
	return e.instance, done, true
}
