// Package place plans which server owns which ranges of a numeric service.
//
// Busy keys tend to be neighbours, so neighbouring groups of ranges are assigned to
// different servers from the start. A range moves only when its server is lost or
// leaves, when a server joins, or when a server is clearly more loaded than others.
package place

import (
	"cmp"
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
	reasonJoined     = "server has joined"
	reasonOverloaded = "owner is overloaded"
)

const (
	// rangesPerGroup is the number of neighbouring ranges that stay together unless
	// their loads differ. Each run of neighbouring ranges takes one key range in the
	// grants of a server.
	rangesPerGroup = 8
	// maxKeyRanges limits the key ranges in the grants of a server, so that the
	// reply to its heartbeat stays within 4 KiB.
	maxKeyRanges = 170
	// minJoinDeficit is the share of its quota that a server must lack when it joins
	// for ranges to be moved to it.
	minJoinDeficit = 0.25
	// countWeight is the weight of the number of ranges, relative to the
	// utilisation, in the placement cost. It spreads ranges without load too.
	countWeight = 0.1
	// runTimeWeight is the weight of the newest report in the average run time.
	runTimeWeight = 0.2
	// coldRunTimeFactor is the run time that is assumed for a server without
	// reported run times, relative to the mean of the others. Such a server has
	// probably just started and is still cold.
	coldRunTimeFactor = 2
	// maxCover is how many times its quota of ranges a warm server may own before cold
	// servers get ranges too. After a start of the whole deployment no load is known, and
	// the first warm server would get all ranges.
	maxCover = 2
)

// Planner plans the moves of numeric services. The zero value is ready to use.
// It must not be used concurrently.
type Planner struct {
	services map[string]*serviceState
}

// serviceState holds what the planner remembers of one service between plans.
type serviceState struct {
	nextUnload      map[pollenlatch.InstanceID]pollenlatch.MonoTime    // earliest time of the next moves from a server
	runTimes        map[pollenlatch.InstanceID]float64                 // average run time of a request, in seconds
	overloadedSince map[pollenlatch.InstanceID]pollenlatch.MonoTime    // overloaded servers
	balancedAt      map[pollenlatch.Range]pollenlatch.MonoTime         // when balancing last moved a range
	joined          map[pollenlatch.InstanceID]pollenlatch.Incarnation // incarnations whose join has been handled
}

var _ pollenlatch.Planner = (*Planner)(nil)

// shardLister is implemented by views that can list all shards of a service.
type shardLister interface {
	EachShard(service string, f func(pollenlatch.Owner) bool)
}

// Plan returns the moves that should start now. It returns none for a view that
// cannot list the shards of a service.
func (p *Planner) Plan(in pollenlatch.PlanInput) []pollenlatch.Move {
	lister, ok := in.View.(shardLister)
	if !ok {
		return nil
	}
	var moves []pollenlatch.Move
	for _, svc := range in.View.Services() {
		if !svc.NumericKeys || svc.RangeBits == 0 {
			continue
		}
		if p.services == nil {
			p.services = make(map[string]*serviceState)
		}
		state := p.services[svc.Name]
		if state == nil {
			state = &serviceState{
				nextUnload: make(map[pollenlatch.InstanceID]pollenlatch.MonoTime),
				runTimes:   make(map[pollenlatch.InstanceID]float64),
				balancedAt: make(map[pollenlatch.Range]pollenlatch.MonoTime),
				joined:     make(map[pollenlatch.InstanceID]pollenlatch.Incarnation),
			}
			p.services[svc.Name] = state
		}
		moves = append(moves, newRound(in, lister, svc, state).plan()...)
	}
	return moves
}

// server is an endpoint that may hold ranges.
type server struct {
	id          pollenlatch.InstanceID
	incarnation pollenlatch.Incarnation
	slots       float64 // that it can use, within its limit
	limit       float64 // requests a second that it accepts; 0 is no limit
	cold        bool    // it gets no further ranges while others can take them
	quota       float64 // its share of the ranges, in proportion to its slots
	numRanges   int     // ranges that it owns or will own after a hand-over
	keyRanges   int     // runs of neighbouring ranges among them
	reported    bool
	runTime     float64 // of a request, in seconds: the slots that one request a second takes
	offered     float64 // slots that the requests of its ranges would take
}

// utilisation returns the offered load relative to the slots of the server. It
// exceeds 1 when the server is overloaded.
func (s *server) utilisation() float64 { return s.offered / s.slots }

// placementCost returns the cost of another range at the server. Ranges go to the
// server with the lowest cost.
func (s *server) placementCost() float64 {
	return s.utilisation() + countWeight*float64(s.numRanges)/max(s.quota, 1)
}

// applyLimit reduces the slots to those that the server can use within its limit. Its
// quota of ranges stays: a limit lasts for seconds, and only load needs to move.
func (s *server) applyLimit() {
	if s.limit > 0 && s.runTime > 0 {
		s.slots = min(s.slots, s.limit*s.runTime)
	}
}

// addRange adds a range with a rate to the load of the server.
func (s *server) addRange(rate float64) {
	s.numRanges++
	s.offered += rate * s.runTime
}

// round is one run of the planner for one service.
type round struct {
	in      pollenlatch.PlanInput
	svc     pollenlatch.Service
	state   *serviceState
	owners  []pollenlatch.Owner // by range
	rates   []float64           // requests a second, by range
	servers []*server           // sorted by ID
	byID    map[pollenlatch.InstanceID]*server
	moves   []pollenlatch.Move

	evacuated map[pollenlatch.InstanceID]bool // endpoints in evacuated data centres
}

func newRound(in pollenlatch.PlanInput, lister shardLister, svc pollenlatch.Service, state *serviceState) *round {
	r := &round{in: in, svc: svc, state: state, byID: make(map[pollenlatch.InstanceID]*server), evacuated: make(map[pollenlatch.InstanceID]bool)}
	r.owners = make([]pollenlatch.Owner, 0, svc.NumRanges())
	lister.EachShard(svc.Name, func(o pollenlatch.Owner) bool {
		if o.Key == "" {
			r.owners = append(r.owners, o)
		}
		return true
	})
	total := 0.0
	for _, i := range in.View.Endpoints(svc.Name) {
		if i.Evacuated {
			// It gets its share of the ranges again when the evacuation ends, also if it
			// has kept some.
			delete(state.joined, i.ID)
			r.evacuated[i.ID] = true
		}
		if !i.Usable() {
			continue
		}
		s := &server{id: i.ID, incarnation: i.Endpoint.Incarnation, slots: float64(max(i.Endpoint.Slots, 1)), limit: i.Endpoint.Limit, cold: i.Endpoint.Cold}
		if l, ok := in.Loads[i.ID]; ok {
			s.reported, s.runTime = true, state.updateRunTime(i.ID, l)
		}
		total += s.slots
		r.servers = append(r.servers, s)
		r.byID[i.ID] = s
	}
	for _, s := range r.servers {
		s.quota = float64(svc.NumRanges()) * s.slots / total
	}
	r.estimateRunTimes()
	for _, s := range r.servers {
		s.applyLimit()
	}
	r.estimateRates()
	var last pollenlatch.InstanceID
	for _, o := range r.owners {
		to := o.Instance
		if o.Frozen() {
			to = o.Next
		}
		if s, ok := r.byID[to]; ok {
			s.addRange(r.rates[o.Range])
			if to != last {
				s.keyRanges++
			}
		}
		last = to
	}
	return r
}

// updateRunTime adds a report to the exponentially weighted moving average of a
// server's run time, and returns the average in seconds; 0 is unknown.
func (s *serviceState) updateRunTime(id pollenlatch.InstanceID, l pollenlatch.Load) float64 {
	average, ok := s.runTimes[id]
	if l.TypicalRun <= 0 {
		return average
	}
	runTime := l.TypicalRun.Seconds()
	if ok {
		runTime = average + runTimeWeight*(runTime-average)
	}
	s.runTimes[id] = runTime
	return runTime
}

// estimateRunTimes sets the run times of servers that have not run enough requests
// to report one.
func (r *round) estimateRunTimes() {
	sum, n := 0.0, 0
	for _, s := range r.servers {
		if s.runTime > 0 {
			sum += s.runTime
			n++
		}
	}
	for _, s := range r.servers {
		if s.runTime <= 0 && n > 0 {
			s.runTime = coldRunTimeFactor * sum / float64(n)
		}
	}
}

// estimateRates sets the rates of all ranges. After a move, a range is reported by
// its previous server while the average there decays, and by its new server while
// the average there grows, so the sum of both is its rate at any time. Callers retry
// refused requests. Without a correction for that, a server that refuses half of
// the requests would seem to get far more load than it does. The ranges that no
// report lists share the rest of their server's rate equally.
func (r *round) estimateRates() {
	r.rates = make([]float64, len(r.owners))
	reported := make([]bool, len(r.owners))
	unreportedRanges := make(map[pollenlatch.InstanceID]int)
	unreportedRate := make(map[pollenlatch.InstanceID]float64)
	for id, l := range r.in.Loads {
		firstAttempts := 1 / (1 + min(1, max(0, l.RefusedShare)))
		unreportedRate[id] = l.Rate * firstAttempts
		for _, rl := range l.Ranges {
			if rl.Service == r.svc.Name && int(rl.Range) < len(r.rates) {
				r.rates[rl.Range] += rl.Rate * firstAttempts
				reported[rl.Range] = true
				unreportedRate[id] -= rl.Rate * firstAttempts
			}
		}
	}
	for _, o := range r.owners {
		if !reported[o.Range] {
			unreportedRanges[lastOwner(o)]++
		}
	}
	for _, o := range r.owners {
		if !reported[o.Range] {
			r.rates[o.Range] = max(0, unreportedRate[lastOwner(o)]) / float64(unreportedRanges[lastOwner(o)])
		}
	}
}

func (r *round) plan() []pollenlatch.Move {
	if len(r.servers) == 0 {
		return nil
	}
	r.assignUnowned()
	r.drainUnusable()
	if len(r.moves) == 0 {
		r.fillJoined()
	}
	if len(r.moves) == 0 {
		r.balance()
	}
	return r.moves
}

// lastOwner returns the owner of a range, or the previous owner if it has none.
func lastOwner(o pollenlatch.Owner) pollenlatch.InstanceID {
	if o.Instance == 0 {
		return o.Previous
	}
	return o.Instance
}

// groupOf returns the number of the group of a range.
func groupOf(n pollenlatch.Range) pollenlatch.Range { return n / rangesPerGroup }

// assignUnowned assigns the ranges without an owner, one group at a time. A range
// returns to its previous owner while that has less than its quota.
func (r *round) assignUnowned() {
	var to *server
	var toGroup pollenlatch.Range
	for _, o := range r.owners {
		if o.Instance != 0 {
			continue
		}
		reason := reasonLost
		if to == nil || groupOf(o.Range) != toGroup {
			to, toGroup = r.cheapestServer(), groupOf(o.Range)
			to.keyRanges++
		}
		target := to
		if previous, ok := r.byID[o.Previous]; ok && float64(previous.numRanges) < previous.quota && (!previous.cold || target.cold) {
			target, reason = previous, reasonReturned
		}
		if o.Previous == 0 {
			reason = reasonUnassigned
		}
		target.addRange(r.rates[o.Range])
		if !target.cold {
			r.state.joined[target.id] = target.incarnation
		}
		r.moves = append(r.moves, pollenlatch.Move{Shard: o.Shard, To: target.id, Fence: o.Fence, Reason: reason})
	}
}

// cheapestServer returns the server that should get the next range. A server whose
// grants fill the reply to a heartbeat gets more only when all servers are full, and a
// cold server only when the others are overloaded or own far more than their quota.
func (r *round) cheapestServer() *server {
	overflow := func(s *server) int { return s.keyRanges / maxKeyRanges }
	avoidCold := slices.ContainsFunc(r.servers, func(s *server) bool {
		return !s.cold && overflow(s) == 0 && s.utilisation() < 1 && float64(s.numRanges) < maxCover*s.quota
	})
	avoided := func(s *server) int {
		if s.cold && avoidCold {
			return 1
		}
		return 0
	}
	return slices.MinFunc(r.servers, func(a, b *server) int {
		return cmp.Or(cmp.Compare(avoided(a), avoided(b)), cmp.Compare(overflow(a), overflow(b)), cmp.Compare(a.placementCost(), b.placementCost()), cmp.Compare(a.id, b.id))
	})
}

// drainUnusable starts hand-overs of the ranges of servers that are not usable, and
// cancels hand-overs to such servers.
func (r *round) drainUnusable() {
	var to *server
	var toGroup pollenlatch.Range
	for _, o := range r.owners {
		_, usable := r.byID[o.Instance]
		switch {
		case o.Instance == 0:
		case o.Frozen() && r.byID[o.Next] == nil:
			r.addHandOver(o, o.Instance, reasonCancel)
		case !usable && !o.Frozen():
			if to == nil || groupOf(o.Range) != toGroup {
				to, toGroup = r.cheapestServer(), groupOf(o.Range)
				to.keyRanges++
			}
			to.addRange(r.rates[o.Range])
			reason := reasonLeaving
			if r.evacuated[o.Instance] {
				reason = reasonEvacuated
			}
			r.addHandOver(o, to.id, reason)
		}
	}
}

// fillJoined moves ranges to servers that have joined, up to their quota. The groups
// are taken evenly from the whole key space, so that busy neighbours are split
// between the old servers and the new ones. All servers of a data centre may join at
// once, so a server that gets ranges gives none, and each gets its part of those that
// the others had at the beginning.
func (r *round) fillJoined() {
	var joined, donors []*server
	total := 0
	for _, s := range r.servers {
		// A server that was lost for a moment may have lost all its ranges, or those
		// that were on their way to it. A cold one gets its quota once it is warm.
		handled := r.state.joined[s.id] == s.incarnation && s.numRanges > 0
		if !handled && !s.cold {
			r.state.joined[s.id] = s.incarnation
			if s.deficit() >= max(minJoinDeficit*s.quota, 1) {
				joined = append(joined, s)
				continue
			}
		}
		donors = append(donors, s)
		total += s.numRanges
	}
	counts := make([]int, len(donors))
	for n, from := range donors {
		counts[n] = from.numRanges
	}
	for _, to := range joined {
		deficit, due, moved := to.deficit(), 0.0, 0
		for n, from := range donors {
			// What is not a whole group at one server is left to the next ones.
			due += deficit * float64(counts[n]) / float64(max(total, 1))
			moved += r.moveGroups(from, to, int(math.Floor(due))-moved)
		}
	}
}

// deficit returns the number of ranges that a server lacks to its quota.
func (s *server) deficit() float64 { return s.quota - float64(s.numRanges) }

// movableGroups returns the ranges of a server that are not in a hand-over, by group.
func (r *round) movableGroups(id pollenlatch.InstanceID) [][]pollenlatch.Owner {
	var groups [][]pollenlatch.Owner
	for _, o := range r.owners {
		if o.Instance != id || o.Frozen() {
			continue
		}
		if n := len(groups); n > 0 && groupOf(groups[n-1][0].Range) == groupOf(o.Range) {
			groups[n-1] = append(groups[n-1], o)
			continue
		}
		groups = append(groups, []pollenlatch.Owner{o})
	}
	return groups
}

// moveGroups moves about n ranges from one server to another, in whole groups. It
// returns the number of ranges that it has moved.
func (r *round) moveGroups(from, to *server, n int) (moved int) {
	groups := r.movableGroups(from.id)
	if len(groups) == 0 || from.numRanges == 0 {
		return 0
	}
	numGroups := min(len(groups), int(math.Round(float64(n)*float64(len(groups))/float64(from.numRanges))))
	for i := range numGroups {
		for _, o := range groups[i*len(groups)/numGroups] {
			r.moveRange(o, from, to, reasonJoined)
			moved++
		}
	}
	return moved
}

// moveRange moves a range, with its load, from one server to another.
func (r *round) moveRange(o pollenlatch.Owner, from, to *server, reason string) {
	rate := r.rates[o.Range]
	from.numRanges--
	from.offered = max(0, from.offered-rate*from.runTime)
	to.addRange(rate)
	r.owners[o.Range].Next = to.id // it moves once in a plan
	r.addHandOver(o, to.id, reason)
}

// addHandOver adds a hand-over to the plan. One to the present owner cancels the
// hand-over in progress.
func (r *round) addHandOver(o pollenlatch.Owner, to pollenlatch.InstanceID, reason string) {
	r.moves = append(r.moves, pollenlatch.Move{Shard: o.Shard, From: o.Instance, To: to, Fence: o.Fence, Reason: reason})
}
