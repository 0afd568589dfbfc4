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

	cfg    Settings
	tracks map[pollenlatch.InstanceID]*track
	books  map[string]*book
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
	if p.tracks == nil {
		p.tracks = make(map[pollenlatch.InstanceID]*track)
		p.books = make(map[string]*book)
	}
	services := slices.Clone(in.View.Services())
	slices.SortFunc(services, func(a, b pollenlatch.Service) int { return cmp.Compare(a.Name, b.Name) })
	for name := range p.books {
		if _, ok := in.View.Service(name); !ok {
			delete(p.books, name)
		}
	}
	var moves []pollenlatch.Move
	endpoints := 0
	for _, s := range services {
		if s.NumericKeys {
			continue // package place
		}
		moves = append(moves, p.service(in, s)...)
		endpoints += len(p.books[s.Name].known)
	}
	p.prune(in.Now, endpoints)
	return moves
}

const (
	// spareTracks is how many tracks of instances that are gone are kept before
	// those gone for goneFor are dropped.
	spareTracks = 256
	goneFor     = time.Hour
)

// prune forgets instances that were replaced long ago.
func (p *Planner) prune(now pollenlatch.MonoTime, endpoints int) {
	if len(p.tracks) <= endpoints+spareTracks {
		return
	}
	for id, t := range p.tracks {
		if !t.usable && now.Sub(t.since) > goneFor {
			delete(p.tracks, id)
		}
	}
}

// service plans one service.
func (p *Planner) service(in pollenlatch.PlanInput, s pollenlatch.Service) []pollenlatch.Move {
	b := p.books[s.Name]
	if b == nil {
		b = &book{tokens: p.cfg.MoveBudget, tokensAt: in.Now, restart: p.cfg.RestartTime, nextAt: in.Now.Add(quietAfter)}
		p.books[s.Name] = b
	}
	if !b.index.follow(in.View, s) && b.idle && in.Now < b.nextAt {
		return nil
	}
	r := p.newRound(in, s, b)
	r.assignLost()
	r.drain()
	r.balance()
	b.idle = len(r.moves) == 0 && len(r.leaving) == 0 && b.index.count(0) == 0
	return r.moves
}

// book is what the planner remembers of one service.
type book struct {
	index    index
	known    []pollenlatch.InstanceID // endpoints at the last plan
	restart  time.Duration            // expected time of a graceful restart
	tokens   float64                  // share of load that balancing may move now
	tokensAt pollenlatch.MonoTime
	nextAt   pollenlatch.MonoTime // of balancing
	idle     bool                 // only balancing can find a move in the same version
	waveAt   pollenlatch.MonoTime
	waves    int  // of lost shards since all had an owner
	active   bool // balancing has started and not reached its end
}

// refill adds the budget of the time that has passed, up to one minute's.
func (b *book) refill(now pollenlatch.MonoTime, perMinute float64) {
	b.tokens = min(perMinute, b.tokens+perMinute*now.Sub(b.tokensAt).Minutes())
	b.tokensAt = now
}
