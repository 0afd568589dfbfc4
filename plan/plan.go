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

	"pollenlatch"
)

// Counter is implemented by a View that knows how many shards of a service an
// instance owns without listing them. Instance 0 stands for shards without
// owner. A View without it is counted by listing.
type Counter interface {
	OwnedCount(id pollenlatch.InstanceID, service string) int
}

// Keyed is implemented by a View that lists the hot keys with a record of their
// own without listing all shards.
type Keyed interface {
	Keys(service string, f func(pollenlatch.Owner) bool)
}

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
// assignments; the others are hand-overs. A move with To 0 removes the record
// of a hot key whose range has the same owner.
func (p *Planner) Plan(in pollenlatch.Placement) []pollenlatch.Move {
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
	for _, s := range services {
		moves = append(moves, p.service(in, s)...)
	}
	return moves
}

// service plans one service.
func (p *Planner) service(in pollenlatch.Placement, s pollenlatch.Service) []pollenlatch.Move {
	b := p.books[s.Name]
	if b == nil {
		b = &book{tokens: p.cfg.Budget, tokensAt: in.Now}
		p.books[s.Name] = b
		b.learn(in.View, s)
	}
	r := p.newRound(in, s, b)
	r.assignLost()
	r.drain()
	r.balance()
	return r.moves
}

// book is what the planner remembers of one service.
type book struct {
	owners   []pollenlatch.InstanceID // instances that may own shards without being endpoints of it
	tokens   float64                  // share of load that balancing may move now
	tokensAt pollenlatch.Mono
	nextAt   pollenlatch.Mono // of balancing
	balanced bool             // nextAt is set
	waveAt   pollenlatch.Mono
	waved    bool // waveAt is set
	active   bool // balancing has started and not reached its end
}

// learn finds the owners at the first plan, among them instances whose
// endpoint has gone to another service.
func (b *book) learn(v pollenlatch.View, s pollenlatch.Service) {
	seen := make(map[pollenlatch.InstanceID]bool)
	for i := range s.Ranges() {
		o, ok := v.OwnerAt(pollenlatch.Shard{Service: s.Name, Range: pollenlatch.Range(i)})
		if ok && o.Instance != 0 && !seen[o.Instance] {
			seen[o.Instance] = true
			b.owners = append(b.owners, o.Instance)
		}
	}
	slices.Sort(b.owners)
}

// refill adds the budget of the time that has passed, up to one minute's.
func (b *book) refill(now pollenlatch.Mono, perMinute float64) {
	b.tokens = min(perMinute, b.tokens+perMinute*now.Sub(b.tokensAt).Minutes())
	b.tokensAt = now
}

// countOwned returns the number of shards that an instance owns.
func countOwned(v pollenlatch.View, id pollenlatch.InstanceID, service string) int {
	if c, ok := v.(Counter); ok {
		return c.OwnedCount(id, service)
	}
	n := 0
	v.Owned(id, service, func(pollenlatch.Owner) bool {
		n++
		return true
	})
	return n
}

// eachKey calls f for every hot key of a service that has a record of its own.
func (r *round) eachKey(f func(pollenlatch.Owner)) {
	call := func(o pollenlatch.Owner) bool {
		if o.Key != "" {
			f(o)
		}
		return true
	}
	if k, ok := r.in.View.(Keyed); ok {
		k.Keys(r.svc.Name, call)
		return
	}
	for _, c := range r.usable {
		r.in.View.Owned(c.id, r.svc.Name, call)
	}
}
