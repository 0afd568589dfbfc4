// Package plan decides which shards move between endpoints.
//
// A plan has three steps, in this order: it assigns shards without an owner, moves
// the shards of leaving endpoints, and balances the load within a budget. The
// planner keeps the history that a view does not contain: how long an endpoint has
// been usable, how often it failed, and which moves the load reports do not include
// yet.
package plan

import (
	"cmp"
	"slices"
	"time"

	"pollenlatch"
)

// Planner plans moves. The zero value is ready to use. It is deterministic for the
// same sequence of inputs and not safe for concurrent use.
type Planner struct {
	Settings Settings

	cfg      Settings
	trackers map[pollenlatch.InstanceID]*tracker
	services map[string]*serviceState
}

var _ pollenlatch.Planner = (*Planner)(nil)

// New returns a planner with the given settings.
func New(s Settings) *Planner { return &Planner{Settings: s} }

// Plan returns the moves that should start now. A move with From 0 is an assignment.
// The others are hand-overs: a move with To 0 returns a hot key to the owner of its
// range and removes the key's owner record, and one with To equal to From cancels a
// hand-over. A move of a hot key without an owner record has the fence of its range,
// which is frozen for the move.
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
			continue // planned by package place
		}
		moves = append(moves, p.planService(in, s)...)
		endpoints += len(p.services[s.Name].lastEndpoints)
	}
	p.pruneTrackers(in.Now, endpoints)
	return moves
}

const (
	// Trackers of instances that are not endpoints are kept until there are more
	// than maxSpareTrackers. Then those that have been unusable for goneRetention
	// are dropped.
	maxSpareTrackers = 256
	goneRetention    = time.Hour
)

// pruneTrackers drops the trackers of instances that were replaced long ago.
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

// planService returns the moves of one service.
func (p *Planner) planService(in pollenlatch.PlanInput, s pollenlatch.Service) []pollenlatch.Move {
	state := p.services[s.Name]
	if state == nil {
		state = &serviceState{tokens: p.cfg.MoveBudget, refilledAt: in.Now, restartTime: p.cfg.RestartTime, nextBalanceAt: in.Now.Add(startupDelay)}
		p.services[s.Name] = state
	}
	if !state.index.update(in.View, s) && state.idle && in.Now < state.nextBalanceAt {
		return nil
	}
	r := p.newRound(in, s, state)
	r.assignUnowned()
	r.drainLeaving()
	r.balance()
	state.idle = len(r.moves) == 0 && len(r.leaving) == 0 && state.index.count(0) == 0
	return r.moves
}

// serviceState holds what the planner remembers of one service.
type serviceState struct {
	index         ownerIndex
	lastEndpoints []pollenlatch.InstanceID // endpoints at the previous plan
	restartTime   time.Duration            // expected duration of a graceful restart
	tokens        float64                  // token bucket: share of the load that balancing may move now
	refilledAt    pollenlatch.MonoTime
	nextBalanceAt pollenlatch.MonoTime // balancing is not run before
	idle          bool                 // until the version changes only balancing can find a move
	rampStepAt    pollenlatch.MonoTime
	rampSteps     int  // steps of the limit in hasCapacity; 0 while no shard waits for capacity
	balancing     bool // balancing has started and not reached its end
}

// refill adds the budget of the time since the last refill, up to that of one
// minute.
func (s *serviceState) refill(now pollenlatch.MonoTime, perMinute float64) {
	s.tokens = min(perMinute, s.tokens+perMinute*now.Sub(s.refilledAt).Minutes())
	s.refilledAt = now
}
