package admit

import (
	"math"
	"time"

	"pollenlatch"
	"pollenlatch/fair"
)

const (
	// reservedDivisor limits the slots that are reserved for nested requests to one in
	// reservedDivisor, and to one at smaller servers. A nested request waits for one
	// completion at most, so more would leave slots idle.
	reservedDivisor = 8
	// minNestedSlots is the load of nested requests, in slots, from which one is reserved.
	minNestedSlots = 0.05
	// refusalTime is the time that a refusal takes to the caller at most. A request that
	// would be started later than that before its deadline is refused instead, because a
	// refusal that arrives after the deadline tells the caller nothing.
	refusalTime = 40 * time.Millisecond
	// refusalMemory is how long a refusal is told to other daemons.
	refusalMemory = 250 * time.Millisecond
)

// adaptive is the state of the parts of a schedule that apply only to requests with
// Adaptive. It takes the time as an argument, and its callers must lock it. The zero value
// changes nothing.
type adaptive struct {
	nestedSlots   float64 // offered load of nested requests in slots, over loadWindow
	nestedRunning int
	shares        fair.Shares
	decayedAt     time.Time
	refusedAt     [numClasses]time.Time // last refusal of a request that could have met its objective
}

// arrive counts a new request, and decides whether its route is starved: then it counts
// as served at once, so that of several requests that arrive together only as many go
// first as the minimum share needs.
func (a *adaptive) arrive(r *request, now time.Time) {
	if !a.decayedAt.IsZero() {
		a.nestedSlots *= math.Exp(-now.Sub(a.decayedAt).Seconds() / loadWindow.Seconds())
	}
	a.decayedAt = now
	if r.Nested {
		a.nestedSlots += r.runTime.Seconds() / loadWindow.Seconds()
	}
	starved := a.shares.Offer(r.Route, r.Returned, now)
	if r.starved = starved || r.Starved; r.starved {
		a.shares.Serve(r.Route)
	}
}

// start counts a request that is started.
func (a *adaptive) start(r *request) {
	if r.Nested {
		a.nestedRunning++
	}
	if !r.starved {
		a.shares.Serve(r.Route)
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

// latestStart returns the time until which a request waits for a slot. Those for which the
// parts for overload do not apply wait until their deadline.
func (r *request) latestStart() time.Time {
	if !r.Adaptive {
		return r.Deadline
	}
	return r.Deadline.Add(-max(refusalTime, r.bodyTime+time.Duration(minRunShare*float64(r.runTime))))
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
	limited := s.limitWait(len(s.waiting)+1, now)
	if limited > 0 {
		h.FreeSlots = 0 // a limit of the server keeps them free
	}
	h.WaitMillis = uint32(max(wait, limited).Milliseconds())
	return h
}

// Hint returns what other daemons need to know of the load of the server.
func (s *Scheduler) Hint() *pollenlatch.ServerHint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.hint(time.Now())
}
