package trial

import (
	"math/rand/v2"
	"slices"
	"time"

	"pollenlatch"
)

// Times of the simulated system.
const (
	stepInterval    = 100 * time.Millisecond // between two steps of the simulation, and between plans
	leaseExpiryTime = 600 * time.Millisecond // from the loss of an instance until its shards may be assigned
	maxDrainTime    = 2 * time.Second        // maximum time that a draining endpoint serves
	warmUp          = 60 * time.Second       // before the measurement of a trace
	grantTime       = 25 * time.Millisecond  // from an assignment to the first response
	handOverWait    = 30 * time.Millisecond  // time that requests wait during a hand-over
)

// Sim simulates one planner on one trace.
type Sim struct {
	deployment    Deployment
	state         *State
	planner       pollenlatch.Planner
	load          *keyTraffic
	rnd           *rand.Rand
	now           time.Duration
	pending       []Event                                 // not run yet
	stopped       pollenlatch.Set[pollenlatch.InstanceID] // do not serve, even while their lease has not ended
	draining      map[pollenlatch.InstanceID]drain
	reportFactors map[pollenlatch.InstanceID]float64          // of instances that misreport their load
	reports       map[pollenlatch.InstanceID]pollenlatch.Load // latest load reports
	handOvers     []pollenlatch.Move                          // in progress
	victim        pollenlatch.InstanceID                      // instance that the trace's events affect; depends on the seed
	recorder      recorder
}

// drain is the state of an endpoint that drains before it stops.
type drain struct {
	deadline time.Duration // by which the endpoint stops, even if it still owns shards
	downtime time.Duration // from the stop to the restart
}

// Simulate runs a trace and returns the measures after the warm-up. A trace with
// a cold start has no warm-up.
func Simulate(d Deployment, t Trace, p pollenlatch.Planner, seed uint64) Result {
	rnd := rand.New(rand.NewPCG(seed, 1))
	s := &Sim{
		deployment: d, state: NewState(d.Service), planner: p, rnd: rnd,
		load:          newKeyTraffic(d, rand.New(rand.NewPCG(seed, 2))),
		pending:       slices.Clone(t.Events),
		now:           -warmUp,
		stopped:       pollenlatch.SetOf[pollenlatch.InstanceID](),
		draining:      make(map[pollenlatch.InstanceID]drain),
		reportFactors: make(map[pollenlatch.InstanceID]float64),
		reports:       make(map[pollenlatch.InstanceID]pollenlatch.Load),
	}
	for _, dc := range d.DCs {
		s.state.Join(dc, d.Slots)
	}
	s.victim = pollenlatch.InstanceID(1 + rnd.IntN(len(d.DCs)))
	s.runPlanner()
	if t.ColdStart {
		s.now = 0
	} else {
		for s.now < 0 {
			s.tick()
		}
	}
	s.recorder = recorder{}
	for s.now < time.Duration(t.DurationSeconds)*time.Second {
		s.tick()
	}
	return s.recorder.result()
}

// tick advances the simulation by one step.
func (s *Sim) tick() {
	s.now += stepInterval
	s.finishHandOvers()
	s.runDueEvents()
	s.stopDrained()
	if s.now%time.Second == 0 {
		s.sampleBalance()
		s.makeReports()
	}
	s.runPlanner()
	s.recorder.recordUnserved(s)
}

// runDueEvents runs the events that are due, in order of time.
func (s *Sim) runDueEvents() {
	for {
		due := -1
		for i, e := range s.pending {
			if time.Duration(e.AtSeconds*float64(time.Second)) <= s.now && (due < 0 || e.AtSeconds < s.pending[due].AtSeconds) {
				due = i
			}
		}
		if due < 0 {
			return
		}
		e := s.pending[due]
		s.pending = slices.Delete(s.pending, due, due+1)
		e.Do(s)
	}
}

// schedule adds an event that runs after d.
func (s *Sim) schedule(d time.Duration, f func(*Sim)) {
	s.pending = append(s.pending, Event{(s.now + d).Seconds(), f})
}

// Kill stops an instance abruptly. The instance restarts after downtime, or never
// if downtime is 0.
func (s *Sim) Kill(id pollenlatch.InstanceID, downtime time.Duration) {
	s.stopped[id] = struct{}{}
	s.schedule(leaseExpiryTime, func(s *Sim) { s.state.Expire(id) })
	if downtime > 0 {
		s.schedule(downtime, func(s *Sim) { s.rejoin(id) })
	}
}

// KillDC abruptly stops an instance and all others in its data centre.
func (s *Sim) KillDC(id pollenlatch.InstanceID) {
	for _, i := range s.state.instances {
		if i.DC == s.state.instances[id-1].DC {
			s.Kill(i.ID, 0)
		}
	}
}

// Restart drains an instance, stops it and restarts it after downtime.
func (s *Sim) Restart(id pollenlatch.InstanceID, downtime time.Duration) {
	s.state.Announce(id, true, true)
	s.draining[id] = drain{s.now + maxDrainTime, downtime}
}

// stopDrained stops the instances that have drained or reached their deadline, and
// ends their leases.
func (s *Sim) stopDrained() {
	for i := range s.state.instances {
		id := pollenlatch.InstanceID(i + 1)
		d, ok := s.draining[id]
		if !ok || (s.state.OwnedCount(id, s.deployment.Service.Name) > 0 && s.now < d.deadline) {
			continue
		}
		delete(s.draining, id)
		s.stopped[id] = struct{}{}
		s.state.Expire(id)
		s.schedule(d.downtime, func(s *Sim) { s.rejoin(id) })
	}
}

// rejoin restarts a stopped instance.
func (s *Sim) rejoin(id pollenlatch.InstanceID) {
	delete(s.stopped, id)
	s.state.Rejoin(id)
}

// AddInstance starts a new instance in the first data centre.
func (s *Sim) AddInstance() { s.state.Join(s.deployment.DCs[0], s.deployment.Slots) }

// ShiftHotKeys swaps the rates of the hottest keys with those of random other keys.
func (s *Sim) ShiftHotKeys() { s.load.swapHottest() }

// ScaleReports multiplies the rates that an instance reports by factor.
func (s *Sim) ScaleReports(id pollenlatch.InstanceID, factor float64) { s.reportFactors[id] = factor }

// runPlanner calls the planner. It assigns shards that have no owner, starts
// hand-overs and cancels those whose shard is to stay.
func (s *Sim) runPlanner() {
	handOverCounts := make(map[pollenlatch.InstanceID]int)
	for _, m := range s.handOvers {
		handOverCounts[m.From]++
	}
	moves := s.planner.Plan(pollenlatch.PlanInput{
		View: s.state, Loads: s.reports, HandOvers: handOverCounts, Now: pollenlatch.MonoTime(time.Hour + s.now),
	})
	for _, m := range moves {
		switch m.From {
		case 0:
			o, _ := s.state.ShardOwner(m.Shard)
			s.recorder.recordUnavailable(s.keyCount(m.Shard), grantTime)
			s.recorder.recordMove(s, m.Shard, o.Previous != 0 && o.Previous != m.To)
			s.state.Assign(m.Shard, m.To)
		case m.To:
			s.state.Freeze(m.Shard, 0)
			s.handOvers = slices.DeleteFunc(s.handOvers, func(o pollenlatch.Move) bool { return o.Shard == m.Shard })
		default:
			s.state.Freeze(frozenShard(m), m.To)
			s.handOvers = append(s.handOvers, m)
		}
	}
}

// frozenShard returns the shard that the hand-over of a move freezes: for a hot key
// that is its whole range.
func frozenShard(m pollenlatch.Move) pollenlatch.Shard {
	if m.Key != "" && m.To != 0 {
		return pollenlatch.Shard{Service: m.Service, Range: m.Range}
	}
	return m.Shard
}

// finishHandOvers completes the hand-overs that started in the last step, or
// cancels them if one of their instances has stopped.
func (s *Sim) finishHandOvers() {
	for _, m := range s.handOvers {
		if s.stopped.Has(m.From) || s.stopped.Has(m.To) {
			s.state.Freeze(frozenShard(m), 0)
			continue
		}
		s.recorder.recordUnavailable(s.keyCount(frozenShard(m)), handOverWait)
		s.recorder.recordMove(s, m.Shard, true)
		if frozen := frozenShard(m); frozen != m.Shard {
			s.state.Freeze(frozen, 0)
		}
		s.state.Assign(m.Shard, m.To)
	}
	s.handOvers = s.handOvers[:0]
}

// keyCount returns the number of keys of a shard.
func (s *Sim) keyCount(shard pollenlatch.Shard) int {
	if shard.Key != "" {
		return 1
	}
	return s.load.keyCounts[shard.Range]
}

// eachShardRate calls f with the owner and the true rate of every range, without
// its hot keys, and of every hot key.
func (s *Sim) eachShardRate(f func(id pollenlatch.InstanceID, shard pollenlatch.Shard, rate float64)) {
	for i, rate := range s.load.coldRates {
		f(s.state.ranges[i].Instance, s.state.ranges[i].Shard, rate)
	}
	for _, k := range s.load.keys[:s.load.hotCount] {
		o, _ := s.state.Owner(s.deployment.Service.Name, k.key)
		f(o.Instance, pollenlatch.Shard{Service: s.deployment.Service.Name, Range: k.keyRange, Key: k.key}, k.rate)
	}
}
