// Package ramp limits how many requests a server runs at a time that has just started or
// recovered. It addresses two faults of a pace by time alone: a server that is not ready
// for its full load gets more than it can run, and one that is ready is left idle. The
// limit starts low, rises while responses meet their objective, falls at once when they
// do not, and ends with the first response that meets its objective although all slots of
// the server could be used.
package ramp

import "time"

const (
	// startShare is the share of the slots at the start of a ramp. In the model of the
	// test, a quarter costs callers of keyed requests 4 points more of responses on time
	// at a server that is merely half as fast.
	startShare = 0.5
	// floorShare is the share of the slots below which the limit does not fall.
	floorShare = 0.25
	// fallFactor is by how much the limit falls when a response misses its objective.
	fallFactor = 0.7
	// minRise is the minimum rise of the limit for each response that meets its
	// objective, while few slots are in use: other daemons may send fewer requests
	// because of the limit.
	minRise = 0.25
	// objectiveShare is the share of the objective within which the server must respond.
	// The rest is for the hop between the daemons and for the queue.
	objectiveShare = 0.8
	// failuresInRow is the number of failures in a row, and minOutage the time without
	// another response, after which a server must recover. A server that loses some of its
	// responses has several failures in a row as well, and is not flooded.
	failuresInRow = 3
	minOutage     = 500 * time.Millisecond
	// minMovedShare is the share of the ranges of a server that must have moved to it
	// for a ramp.
	minMovedShare = 0.1
	// maxColdTimes limits a ramp, as a multiple of the time for which servers are cold
	// after a start: a server that is too slow, or that fails, at any load must not be
	// left idle.
	maxColdTimes = 1
	// objectiveDecay is the weight that an earlier objective of a route keeps when a
	// request with less time arrives. Requests that were forwarded have less left.
	objectiveDecay = 0.99
	// maxRoutes is the maximum number of routes whose objectives are kept.
	maxRoutes = 256
)

// Run is a request that a server has run.
type Run struct {
	Route     string
	StartedAt time.Time
	Took      time.Duration
	Failed    bool // through the fault of the server
	Refused   bool // by the server, since it is full
	InFlight  int  // requests at the server when it ended, with this one
}

// Limit is the limit of one server. The zero value has none. It takes the time as an
// argument, and its callers must lock it.
type Limit struct {
	slots       int
	coldTime    time.Duration
	active      bool
	allowed     float64   // requests at a time, while active
	caution     float64   // above it the limit rises slowly
	begunAt     time.Time // start of the ramp
	fellAt      time.Time // last fall of allowed
	fullAt      time.Time // when allowed reached the slots; zero before
	failures    int       // in a row
	respondedAt time.Time // last response
	objectives  map[string]time.Duration
}

// SetServer sets the slots of the server, and how long servers of the service are cold
// after a start. coldTime 0 is no limit.
func (l *Limit) SetServer(slots int, coldTime time.Duration) {
	l.slots, l.coldTime = slots, coldTime
	if coldTime <= 0 || slots <= 0 {
		l.active = false
	}
}

// Begin starts a ramp. known is the share of its load that the server is known to
// handle: 0 after a start. A ramp that has begun goes on.
func (l *Limit) Begin(known float64, now time.Time) {
	if l.coldTime <= 0 || l.slots <= 0 || l.active {
		return
	}
	l.active, l.begunAt, l.fellAt, l.fullAt, l.failures = true, now, time.Time{}, time.Time{}, 0
	l.allowed, l.caution = max(1, max(startShare, known)*float64(l.slots)), float64(l.slots)
}

// Restart starts a ramp from the beginning, for a server of which nothing is known any
// more.
func (l *Limit) Restart(now time.Time) {
	l.active = false
	l.Begin(0, now)
}

// End ends the ramp.
func (l *Limit) End() { l.active = false }

// Moved starts a ramp if so many of the ranges of the server are new to it that its
// speed is not known any more.
func (l *Limit) Moved(added, total int, now time.Time) {
	if total > 0 && float64(added) >= minMovedShare*float64(total) {
		l.Begin(1-float64(added)/float64(total), now)
	}
}

// Active reports whether the server has a limit.
func (l *Limit) Active() bool { return l.active }

// Slots returns how many requests the server may run at a time.
func (l *Limit) Slots() int {
	if !l.active {
		return l.slots
	}
	return min(l.slots, int(l.allowed))
}

// Arrive records that a request of a route arrived with a time left of its objective.
func (l *Limit) Arrive(route string, left time.Duration) {
	known, ok := l.objectives[route]
	if !ok && (l.objectives == nil || len(l.objectives) >= maxRoutes) {
		l.objectives = make(map[string]time.Duration)
	}
	l.objectives[route] = max(left, time.Duration(objectiveDecay*float64(known)))
}

// Observe records a run that ended at now. The wait before it does not count: a limit
// that is too low would lower itself.
func (l *Limit) Observe(r Run, now time.Time) {
	if !r.Failed {
		l.failures, l.respondedAt = 0, now
	}
	switch {
	case r.Failed:
		if l.failures++; l.failures < failuresInRow || now.Sub(l.respondedAt) < minOutage {
			break
		}
		if l.Begin(0, now); l.active {
			l.fall(r, now)
		}
	case !l.active:
	case r.Refused || !l.meetsObjective(r):
		l.fall(r, now)
	case !l.fullAt.IsZero() && !r.StartedAt.Before(l.fullAt):
		l.active = false // it meets the objective with all its slots in use
	default:
		l.rise(r, now)
	}
	if l.active && now.Sub(l.begunAt) >= maxColdTimes*l.coldTime {
		l.active = false
	}
}

func (l *Limit) meetsObjective(r Run) bool {
	objective := l.objectives[r.Route]
	return objective <= 0 || r.Took <= time.Duration(objectiveShare*float64(objective))
}

// rise raises the limit: while nothing is known against it by one for each response, so
// it doubles within a run time, and above the caution threshold by one in a run time.
func (l *Limit) rise(r Run, now time.Time) {
	step := max(minRise, min(1, float64(r.InFlight)/l.allowed))
	if l.allowed >= l.caution {
		step /= l.allowed
	}
	l.allowed = min(l.allowed+step, float64(l.slots))
	if l.allowed >= float64(l.slots) && l.fullAt.IsZero() {
		l.fullAt = now
	}
}

// fall lowers the limit, at most once for the runs that were in progress at the last
// fall, since these say nothing about the lower limit.
func (l *Limit) fall(r Run, now time.Time) {
	if r.StartedAt.Before(l.fellAt) {
		return
	}
	floor := max(1, floorShare*float64(l.slots))
	l.allowed, l.fellAt = max(floor, fallFactor*l.allowed), now
	l.caution, l.fullAt = l.allowed, time.Time{}
}
