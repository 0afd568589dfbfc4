// Package plan decides which shards move between endpoints.
//
// A plan has three parts, in this order: shards without an owner, shards of
// leaving endpoints, and balancing under a budget. The planner remembers what
// a view does not tell: how long an endpoint has been usable, how often it
// failed, and which moves the load reports do not show yet.
package plan

import (
	"cmp"
	"slices"
	"time"

	"pollenlatch"
)

// Planner plans moves. The zero value is ready to use. It is deterministic for
// the same sequence of inputs and must not be used concurrently.
type Planner struct {
	Settings Settings

	cfg      Settings
	trackers map[pollenlatch.InstanceID]*tracker
	services map[string]*serviceState
}

var _ pollenlatch.Planner = (*Planner)(nil)

// New returns a planner with the given bounds.
func New(s Settings) *Planner { return &Planner{Settings: s} }

// Plan returns the moves that should start now. Moves with From 0 are
// assignments. The others are hand-overs: a move with To 0 gives a hot key back
// to the owner of its range and removes its record, one with To equal to From
// cancels a hand-over. A move of a hot key without a record carries the fence
// of its range, which is frozen for it.
func (p *Planner) Plan(in pollenlatch.PlanInput) []pollenlatch.Move {
	p.cfg = p.Settings.withDefaults()
	if p.trackers == nil {
		p.trackers = make(map[pollenlatch.InstanceID]*tracker)
		p.services = make(map[string]*serviceState)
	}
	sorted := slices.Clone(in.View.Services())
	slices.SortFunc(sorted, func(a, b pollenlatch.Service) int { return cmp.Compare(a.Name, b.Name) })
	for name := range p.services {
		if _, ok := in.View.Service(name); !ok {
			delete(p.services, name)
		}
	}
	var moves []pollenlatch.Move
	endpoints := 0
	for _, s := range sorted {
		if s.NumericKeys {
			continue // package place
		}
		moves = append(moves, p.planService(in, s)...)
		endpoints += len(p.services[s.Name].lastEndpoints)
	}
	p.pruneTrackers(in.Now, endpoints)
	return moves
}

const (
	// spareTracks is how many tracks of instances that are gone are kept before
	// those gone for goneFor are dropped.
	maxSpareTrackers = 256
	goneRetention    = time.Hour
)

// prune forgets instances that were replaced long ago.
func (p *Planner) pruneTrackers(now pollenlatch.MonoTime, endpoints int) {
	if len(p.trackers) <= endpoints+maxSpareTrackers {
		return
	}
	for id, t := range p.trackers {
		if !t.usable && now.Sub(t.usableChangedAt) > goneRetention {
			delete(p.trackers, id)
		}
	}
}

// service plans one service.
func (p *Planner) planService(in pollenlatch.PlanInput, s pollenlatch.Service) []pollenlatch.Move {
	b := p.services[s.Name]
	if b == nil {
		b = &serviceState{tokens: p.cfg.MoveBudget, refilledAt: in.Now, restartTime: p.cfg.RestartTime, nextBalanceAt: in.Now.Add(startupDelay)}
		p.services[s.Name] = b
	}
	if !b.index.update(in.View, s) && b.idle && in.Now < b.nextBalanceAt {
		return nil
	}
	r := p.newRound(in, s, b)
	r.assignUnowned()
	r.drainLeaving()
	r.balance()
	b.idle = len(r.moves) == 0 && len(r.leaving) == 0 && b.index.count(0) == 0
	return r.moves
}

// book is what the planner remembers of one service.
type serviceState struct {
	index         ownerIndex
	lastEndpoints []pollenlatch.InstanceID // endpoints at the last plan
	restartTime   time.Duration            // expected time of a graceful restart
	tokens        float64                  // share of load that balancing may move now
	refilledAt    pollenlatch.MonoTime
	nextBalanceAt pollenlatch.MonoTime // of balancing
	idle          bool                 // only balancing can find a move in the same version
	rampStepAt    pollenlatch.MonoTime
	rampSteps     int  // of lost shards since all had an owner
	balancing     bool // balancing has started and not reached its end
}

// refill adds the budget of the time that has passed, up to one minute's.
func (b *serviceState) refill(now pollenlatch.MonoTime, perMinute float64) {
	b.tokens = min(perMinute, b.tokens+perMinute*now.Sub(b.refilledAt).Minutes())
	b.refilledAt = now
}
