package trial

import (
	"math/rand/v2"
	"slices"
	"time"

	"pollenlatch"
)

// Times of the simulated system.
const (
	step     = 100 * time.Millisecond // of the simulation, and between plans
	leaseEnd = 600 * time.Millisecond // from a loss until the shards may be assigned
	drainEnd = 2 * time.Second        // longest time that a leaving endpoint serves
	warmUp   = 60 * time.Second       // before a trace is measured
	granted  = 25 * time.Millisecond  // from an assignment to the first answer
	handover = 30 * time.Millisecond  // for which requests wait in a planned move
)

// Sim runs one planner against one trace.
type Sim struct {
	d       Deployment
	w       *World
	planner pollenlatch.Planner
	load    *traffic
	rnd     *rand.Rand
	now     time.Duration
	later   []Event
	dead    pollenlatch.Set[pollenlatch.InstanceID] // not serving, whether or not the lease has ended
	leaving map[pollenlatch.InstanceID]leave
	lies    map[pollenlatch.InstanceID]float64
	reports map[pollenlatch.InstanceID]pollenlatch.Load
	moving  []pollenlatch.Move
	victim  pollenlatch.InstanceID // that the trace's events hit; by seed
	m       meter
}

// leave is the planned end of an endpoint that drains.
type leave struct {
	by   time.Duration // it leaves then at the latest
	down time.Duration
}

// Simulate runs a trace and returns what was measured after the warm-up.
func Simulate(d Deployment, t Trace, p pollenlatch.Planner, seed uint64) Result {
	rnd := rand.New(rand.NewPCG(seed, 1))
	s := &Sim{
		d: d, w: NewWorld(d.Service), planner: p, rnd: rnd,
		load:    newTraffic(d, rand.New(rand.NewPCG(seed, 2))),
		later:   slices.Clone(t.Events),
		now:     -warmUp,
		dead:    pollenlatch.SetOf[pollenlatch.InstanceID](),
		leaving: make(map[pollenlatch.InstanceID]leave),
		lies:    make(map[pollenlatch.InstanceID]float64),
		reports: make(map[pollenlatch.InstanceID]pollenlatch.Load),
	}
	for _, dc := range d.DCs {
		s.w.Join(dc, d.Slots)
	}
	s.victim = pollenlatch.InstanceID(1 + rnd.IntN(len(d.DCs)))
	s.plan()
	if t.Cold {
		s.now = 0
	} else {
		for s.now < 0 {
			s.tick()
		}
	}
	s.m = meter{}
	for s.now < time.Duration(t.Seconds)*time.Second {
		s.tick()
	}
	return s.m.result()
}

// tick advances the simulation by one step.
func (s *Sim) tick() {
	s.now += step
	s.finish()
	s.events()
	s.drained()
	if s.now%time.Second == 0 {
		s.measure()
		s.report()
	}
	s.plan()
	s.m.down(s)
}

// events runs what is due, in order of time.
func (s *Sim) events() {
	for {
		due := -1
		for i, e := range s.later {
			if time.Duration(e.At*float64(time.Second)) <= s.now && (due < 0 || e.At < s.later[due].At) {
				due = i
			}
		}
		if due < 0 {
			return
		}
		e := s.later[due]
		s.later = slices.Delete(s.later, due, due+1)
		e.Do(s)
	}
}

func (s *Sim) after(d time.Duration, f func(*Sim)) {
	s.later = append(s.later, Event{(s.now + d).Seconds(), f})
}

// Kill stops an instance without notice. It returns after down, or never when
// down is 0.
func (s *Sim) Kill(id pollenlatch.InstanceID, down time.Duration) {
	s.dead[id] = struct{}{}
	s.after(leaseEnd, func(s *Sim) { s.w.Expire(id) })
	if down > 0 {
		s.after(down, func(s *Sim) { s.back(id) })
	}
}

// KillDC stops all instances in the data centre of one.
func (s *Sim) KillDC(id pollenlatch.InstanceID) {
	for _, i := range s.w.insts {
		if i.DC == s.w.insts[id-1].DC {
			s.Kill(i.ID, 0)
		}
	}
}

// Restart drains an instance, stops it and starts it again after down.
func (s *Sim) Restart(id pollenlatch.InstanceID, down time.Duration) {
	s.w.Announce(id, true, true)
	s.leaving[id] = leave{s.now + drainEnd, down}
}

// drained ends the leases of instances that have drained.
func (s *Sim) drained() {
	for i := range s.w.insts {
		id := pollenlatch.InstanceID(i + 1)
		l, ok := s.leaving[id]
		if !ok || (s.w.OwnedCount(id, s.d.Service.Name) > 0 && s.now < l.by) {
			continue
		}
		delete(s.leaving, id)
		s.dead[id] = struct{}{}
		s.w.Expire(id)
		s.after(l.down, func(s *Sim) { s.back(id) })
	}
}

func (s *Sim) back(id pollenlatch.InstanceID) {
	delete(s.dead, id)
	s.w.Rejoin(id)
}

// Add starts another instance in the first data centre.
func (s *Sim) Add() { s.w.Join(s.d.DCs[0], s.d.Slots) }

// Shift gives the load of the hottest keys to others.
func (s *Sim) Shift() { s.load.shift() }

// Lie multiplies what an instance reports.
func (s *Sim) Lie(id pollenlatch.InstanceID, by float64) { s.lies[id] = by }

// plan calls the planner and starts its moves.
func (s *Sim) plan() {
	busy := make(map[pollenlatch.InstanceID]int)
	for _, m := range s.moving {
		busy[m.From]++
	}
	moves := s.planner.Plan(pollenlatch.PlanInput{
		View: s.w, Loads: s.reports, HandOvers: busy, Now: pollenlatch.MonoTime(time.Hour + s.now),
	})
	for _, m := range moves {
		switch m.From {
		case 0:
			o, _ := s.w.ShardOwner(m.Shard)
			s.m.wait(s.keysOf(m.Shard), granted)
			s.m.move(s, m.Shard, o.Previous != 0 && o.Previous != m.To)
			s.w.Assign(m.Shard, m.To)
		case m.To:
			s.w.Freeze(m.Shard, 0)
			s.moving = slices.DeleteFunc(s.moving, func(o pollenlatch.Move) bool { return o.Shard == m.Shard })
		default:
			s.w.Freeze(frozen(m), m.To)
			s.moving = append(s.moving, m)
		}
	}
}

// frozen returns the shard that a hand-over freezes.
func frozen(m pollenlatch.Move) pollenlatch.Shard {
	if m.Key != "" && m.To != 0 {
		return pollenlatch.Shard{Service: m.Service, Range: m.Range}
	}
	return m.Shard
}

// finish ends the hand-overs of the last step.
func (s *Sim) finish() {
	for _, m := range s.moving {
		if s.dead.Has(m.From) || s.dead.Has(m.To) {
			s.w.Freeze(frozen(m), 0)
			continue
		}
		s.m.wait(s.keysOf(frozen(m)), handover)
		s.m.move(s, m.Shard, true)
		if f := frozen(m); f != m.Shard {
			s.w.Freeze(f, 0)
		}
		s.w.Assign(m.Shard, m.To)
	}
	s.moving = s.moving[:0]
}

// keysOf returns the number of keys of a shard.
func (s *Sim) keysOf(p pollenlatch.Shard) int {
	if p.Key != "" {
		return 1
	}
	return s.load.count[p.Range]
}

// byOwner returns the true rates of each shard, by owner.
func (s *Sim) byOwner(f func(id pollenlatch.InstanceID, p pollenlatch.Shard, rate float64)) {
	for i, rate := range s.load.ranges {
		f(s.w.ranges[i].Instance, s.w.ranges[i].Shard, rate)
	}
	for _, k := range s.load.keys[:s.load.hot] {
		o, _ := s.w.Owner(s.d.Service.Name, k.key)
		f(o.Instance, pollenlatch.Shard{Service: s.d.Service.Name, Range: k.rng, Key: k.key}, k.rate)
	}
}
