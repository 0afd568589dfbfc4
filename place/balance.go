package place

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"pollenlatch"
)

const (
	// Load is moved away from a server whose utilisation is at least
	// overloadUtilisation, and above the mean by overloadExcess plus
	// noiseDeviations standard deviations of the reports. Below that a move costs
	// callers more than it gains, since requests for the moved keys wait for a
	// heartbeat.
	overloadUtilisation = 0.8
	overloadExcess      = 0.12
	noiseDeviations     = 2
	// reportWindow is the time over which reports are averaged.
	reportWindow = 500 * time.Millisecond
	// targetUtilisation is the utilisation up to which a server has spare capacity.
	targetUtilisation = 0.7
	// balanceHorizon is how long the gain of a move is expected to last: the set of
	// busy keys changes within seconds to minutes.
	balanceHorizon = 5 * time.Second
	// moveDelay is how long requests for a moving key wait: half the interval of
	// heartbeats, plus the network latency.
	moveDelay = 750 * time.Millisecond
	// minGain is the minimum overload, in slots, that a move must remove.
	minGain = 0.05
	// confirmTime is how long a server must be overloaded before load moves. By
	// then the reports show most of a sudden change.
	confirmTime = 300 * time.Millisecond
	// settleTime is how long a range is not moved again after balancing has moved
	// it. Requests that waited for the move arrive all at once and look like a
	// higher rate.
	settleTime = 4 * time.Second
	// unloadInterval is the minimum time between two batches of moves from one
	// server.
	unloadInterval = 1500 * time.Millisecond
)

// excess returns the number of slots by which an offered load exceeds
// targetUtilisation of the server.
func (s *server) excess(offered float64) float64 { return max(0, offered-targetUtilisation*s.slots) }

// balance moves load from overloaded servers to servers with spare capacity. It
// compensates for servers of unequal speed and for keys that become busy. The move
// that removes the most overload comes first: a single busy key moves to a server
// that is fast enough for it. When there is none, the ranges beside it move away
// instead.
func (r *round) balance() {
	if len(r.servers) < 2 {
		return
	}
	offered, slots := 0.0, 0.0
	for _, s := range r.servers {
		if s.runTime <= 0 {
			return
		}
		offered += s.offered
		slots += s.slots
	}
	mean := offered / slots
	overloaded := make(map[pollenlatch.InstanceID]bool)
	byExcess := slices.Clone(r.servers)
	slices.SortFunc(byExcess, func(a, b *server) int {
		return cmp.Or(cmp.Compare(b.excess(b.offered), a.excess(a.offered)), cmp.Compare(a.id, b.id))
	})
	for _, s := range byExcess {
		noise := noiseDeviations * s.utilisation() / math.Sqrt(2*max(1, s.offered/s.runTime)*reportWindow.Seconds())
		// The keys of a cold server stay: it is warm again sooner than they would be
		// elsewhere.
		if s.cold || s.utilisation() < overloadUtilisation || s.utilisation() < mean+overloadExcess+noise {
			continue
		}
		overloaded[s.id] = true
		since, known := r.state.overloadedSince[s.id]
		if !known {
			since = r.in.Now
		}
		r.state.recordOverload(s.id, since)
		if r.in.Now.Sub(since) >= confirmTime && r.in.Now >= r.state.nextUnload[s.id] {
			r.unload(s)
		}
	}
	for id := range r.state.overloadedSince {
		if !overloaded[id] {
			delete(r.state.overloadedSince, id)
		}
	}
}

// recordOverload records since when a server has been overloaded.
func (s *serviceState) recordOverload(id pollenlatch.InstanceID, since pollenlatch.MonoTime) {
	if s.overloadedSince == nil {
		s.overloadedSince = make(map[pollenlatch.InstanceID]pollenlatch.MonoTime)
	}
	s.overloadedSince[id] = since
}

// moveUnit is a set of ranges that move together.
type moveUnit struct {
	owners []pollenlatch.Owner
	rate   float64 // requests a second
}

// unload moves ranges away from one server as long as the gain exceeds the cost.
func (r *round) unload(s *server) {
	offeredBefore, movesBefore := s.offered, len(r.moves)
	defer func() {
		if len(r.moves) > movesBefore {
			r.state.nextUnload[s.id] = r.in.Now.Add(unloadInterval)
		}
	}()
	units := r.moveUnits(s)
	for s.excess(s.offered) > minGain && len(units) > 0 {
		bestUnit, bestServer := -1, (*server)(nil)
		gain := 0.0
		for n := range units {
			candidate, candidateGain := r.bestTarget(s, units[n].rate)
			if candidate != nil && candidateGain > gain {
				bestUnit, bestServer, gain = n, candidate, candidateGain
			}
		}
		if bestUnit < 0 {
			return
		}
		unit := units[bestUnit]
		units = slices.Delete(units, bestUnit, bestUnit+1)
		reason := fmt.Sprintf("%s: %.1f of %.0f slots, target %.1f of %.0f", reasonOverloaded, offeredBefore, s.slots, bestServer.offered, bestServer.slots)
		bestServer.keyRanges++
		for _, o := range unit.owners {
			r.state.balancedAt[o.Range] = r.in.Now
			r.moveRange(o, s, bestServer, reason)
		}
	}
}

// moveUnits returns the units that may move from a server. A unit is a whole group,
// or a single range of a group in which one busy range has most of the load.
func (r *round) moveUnits(s *server) []moveUnit {
	var units []moveUnit
	for _, group := range r.movableGroups(s.id) {
		if r.recentlyBalanced(group[0].Range) {
			continue
		}
		unit := moveUnit{owners: group}
		maxRate := 0.0
		for _, o := range group {
			rate := r.rates[o.Range]
			unit.rate += rate
			maxRate = max(maxRate, rate)
		}
		if len(group) > 1 && maxRate > unit.rate/2 && maxRate*s.runTime > s.slots/4 {
			for n := range group {
				units = append(units, moveUnit{owners: group[n : n+1], rate: r.rates[group[n].Range]})
			}
			continue
		}
		units = append(units, unit)
	}
	return units
}

// recentlyBalanced reports whether balancing has moved a range within settleTime.
func (r *round) recentlyBalanced(n pollenlatch.Range) bool {
	at, ok := r.state.balancedAt[n]
	if ok && r.in.Now.Sub(at) >= settleTime {
		delete(r.state.balancedAt, n)
		return false
	}
	return ok
}

// bestTarget returns the server that should take over a rate of requests from
// another, and the overload in slots that this removes minus the cost of the move.
// target is nil when no move is worthwhile.
func (r *round) bestTarget(from *server, rate float64) (target *server, gain float64) {
	load := rate * from.runTime
	relieved := from.excess(from.offered) - from.excess(from.offered-load)
	cost := load * moveDelay.Seconds() / balanceHorizon.Seconds()
	for _, candidate := range r.servers {
		if candidate == from || candidate.cold || candidate.keyRanges >= maxKeyRanges {
			continue
		}
		added := candidate.excess(candidate.offered+rate*candidate.runTime) - candidate.excess(candidate.offered)
		candidateGain := relieved - added - cost
		if candidateGain > max(gain, minGain) || (target != nil && candidateGain == gain && candidate.utilisation() < target.utilisation()) {
			target, gain = candidate, candidateGain
		}
	}
	return target, gain
}
