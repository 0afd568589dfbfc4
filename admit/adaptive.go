package admit

import (
	"math"
	"time"

	"pollenlatch"
)

const (
	// shareWindow is the time over which the requests of a route, and those that are
	// started, are averaged.
	shareWindow = 4 * time.Second
	// minRouteShare is how often the requests of a route are started at least, relative
	// to all requests. Callers need a quarter; the margin makes up for requests that are
	// started and then fail.
	minRouteShare = 0.3
	// minShareRequests is the number of recent requests of a route below which it is not
	// said to be starved.
	minShareRequests = 4
	// reservedDivisor limits the slots that are reserved for nested requests to one in
	// reservedDivisor, and to one at smaller servers. A nested request waits for one
	// completion at most, so more would leave slots idle.
	reservedDivisor = 8
	// minNestedSlots is the load of nested requests, in slots, from which one is reserved.
	minNestedSlots = 0.05
	// refusalMemory is how long a refusal is told to other daemons.
	refusalMemory = 250 * time.Millisecond
)

// adaptive is the state of the parts of a schedule that apply only to requests with
// Adaptive. It takes the time as an argument, and its callers must lock it. The zero value
// changes nothing.
type adaptive struct {
	nestedSlots   float64 // offered load of nested requests in slots, over loadWindow
	nestedRunning int
	routes        map[shareKey]*routeShare
	all           routeShare
	decayedAt     time.Time
	refusedAt     [numClasses]time.Time // last refusal of a request that could have met its objective
}

// shareKey is a group of requests that keeps a minimum share. The requests whose callers
// have come back are a group of their own: their objective has often passed, so the
// others of their route would always go first.
type shareKey struct {
	route    string
	returned bool
}

// routeShare holds exponentially decaying counts over shareWindow.
type routeShare struct {
	offered float64
	started float64
}

func (s *routeShare) decay(x float64) { s.offered, s.started = s.offered*x, s.started*x }

func (a *adaptive) decay(now time.Time) {
	if a.decayedAt.IsZero() {
		a.decayedAt = now
	}
	elapsed := max(0, now.Sub(a.decayedAt)).Seconds()
	if elapsed == 0 {
		return
	}
	a.decayedAt = now
	a.nestedSlots *= math.Exp(-elapsed / loadWindow.Seconds())
	x := math.Exp(-elapsed / shareWindow.Seconds())
	a.all.decay(x)
	for k, s := range a.routes {
		if s.decay(x); s.offered < 0.01 {
			delete(a.routes, k)
		}
	}
}

func (a *adaptive) share(r *request) *routeShare {
	k := shareKey{r.Route, r.Returned}
	s := a.routes[k]
	if s == nil {
		if a.routes == nil || len(a.routes) >= maxRoutes {
			a.routes = make(map[shareKey]*routeShare)
		}
		s = new(routeShare)
		a.routes[k] = s
	}
	return s
}

// arrive counts a new request, and decides whether its route is starved: then it counts
// as started at once, so that of several requests that arrive together only as many go
// first as the minimum share needs.
func (a *adaptive) arrive(r *request, now time.Time) {
	a.decay(now)
	if r.Nested {
		a.nestedSlots += r.runTime.Seconds() / loadWindow.Seconds()
	}
	s := a.share(r)
	s.offered++
	a.all.offered++
	if s.offered >= minShareRequests && s.started*a.all.offered < minRouteShare*a.all.started*s.offered {
		r.starved = true
		a.countStart(s)
	}
}

func (a *adaptive) countStart(s *routeShare) {
	s.started++
	a.all.started++
}

// start counts a request that is started.
func (a *adaptive) start(r *request) {
	if r.Nested {
		a.nestedRunning++
	}
	if !r.starved {
		a.countStart(a.share(r))
	}
}

func (a *adaptive) finish(r *request) {
	if r.Nested {
		a.nestedRunning--
	}
}

// refuse records the refusal of a new request that could still have met its objective.
func (a *adaptive) refuse(r *request, now time.Time) {
	if !r.Nested && !r.wouldMiss(now) {
		a.refusedAt[classIndex(r.Class)] = now
	}
}

// reserved returns the number of free slots that only nested requests may take. Without
// it, servers whose runs wait for each other's slots would stand still.
func (a *adaptive) reserved(slots int) int {
	if a.nestedSlots < minNestedSlots || slots < 2 {
		return 0
	}
	reserve := min(int(math.Ceil(a.nestedSlots)), max(1, slots/reservedDivisor))
	return max(0, reserve-a.nestedRunning)
}

// refusedClass returns the most urgent class of which a request was refused recently, or
// 0.
func (a *adaptive) refusedClass(now time.Time) pollenlatch.Class {
	for c, at := range a.refusedAt {
		if !at.IsZero() && now.Sub(at) <= refusalMemory {
			return pollenlatch.Class(c + 1)
		}
	}
	return 0
}

// freeSlots returns how many slots are free for a request.
func (s *schedule) freeSlots(nested bool) int {
	free := s.slots - len(s.running)
	if !nested {
		free -= s.adaptive.reserved(s.slots)
	}
	return free
}

// freeForWaiting returns how many slots are free for the waiting request that is first.
func (s *schedule) freeForWaiting() int {
	free := s.freeSlots(false)
	if free > 0 || s.slots <= len(s.running) {
		return free
	}
	for _, r := range s.waiting {
		if r.Nested {
			return s.freeSlots(true)
		}
	}
	return free
}

// hint returns what other daemons need to know of the load of the server. The wait is that
// of a request that is less urgent than all others.
func (s *schedule) hint(now time.Time) *pollenlatch.ServerHint {
	s.updateLoad(now)
	h := &pollenlatch.ServerHint{
		FreeSlots: uint32(max(0, s.freeSlots(false))), Waiting: uint32(len(s.waiting)), Slots: uint32(max(0, s.slots)),
		RefusedClass: s.adaptive.refusedClass(now),
	}
	for r := range s.running {
		if !r.Nested {
			h.LowestClass = max(h.LowestClass, r.Class)
		}
	}
	var ahead time.Duration
	for _, r := range s.waiting {
		ahead += r.work
		if !r.Nested {
			h.LowestClass = max(h.LowestClass, r.Class)
		}
	}
	var wait time.Duration
	if s.slots > 0 && (h.FreeSlots == 0 || (len(s.waiting) > 0 && !s.waitsForLinkOnly())) {
		wait = s.load.outlook.End(0, s.completionInterval(now)+ahead/time.Duration(s.slots))
	}
	h.WaitMillis = uint32(max(wait, s.limitWait(len(s.waiting)+1, now)).Milliseconds())
	return h
}

// Hint returns what other daemons need to know of the load of the server.
func (s *Scheduler) Hint() *pollenlatch.ServerHint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.hint(time.Now())
}
