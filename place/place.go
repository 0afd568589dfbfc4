// Package place decides which server holds which ranges of a numeric service.
//
// Busy keys are neighbours, so neighbouring groups of ranges go to different
// servers from the start. A range moves only when its server is lost or leaves,
// when a server joins, or when a server is asked for clearly more than others.
package place

import (
	"cmp"
	"math"
	"slices"

	"pollenlatch"
)

// Reasons of moves.
const (
	reasonFirst   = "never assigned"
	reasonLost    = "owner lost"
	reasonBack    = "owner is back"
	reasonLeaving = "owner is leaving"
	reasonCancel  = "target of the hand-over is not usable"
	reasonJoined  = "server has joined"
	reasonLoad    = "owner is asked for more than others"
)

const (
	// groupRanges is the number of neighbouring ranges that stay together unless
	// their load differs: each run of ranges takes a row of a server's grants.
	groupRanges = 8
	// maxRows bounds the rows of a server, so that the answer to its heartbeat
	// stays within 4 KiB.
	maxRows = 170
	// lackShare is the part of its share of ranges that a server that has joined
	// must lack before ranges are moved to it.
	lackShare = 0.25
	// countShare is what a share of ranges counts for beside the use of slots,
	// so that ranges without load are spread too.
	countShare = 0.1
	// workShare is the weight of the newest report in the slots that a request
	// takes.
	workShare = 0.2
	// coldWork is how much more than the mean of the others a request takes at a
	// server that nobody knows yet: it is likely to have just started.
	coldWork = 2
)

// Planner plans the moves of numeric services. The zero value is ready to use.
// It must not be used concurrently.
type Planner struct {
	books map[string]*book
}

// book is what the planner remembers of one service.
type book struct {
	again map[pollenlatch.InstanceID]pollenlatch.MonoTime    // a server gives nothing away before
	work  map[pollenlatch.InstanceID]float64                 // slots taken by one request a second
	over  map[pollenlatch.InstanceID]pollenlatch.MonoTime    // since when a server is asked for too much
	moved map[pollenlatch.Range]pollenlatch.MonoTime         // when balancing moved a range last
	known map[pollenlatch.InstanceID]pollenlatch.Incarnation // servers that have had their share
}

var _ pollenlatch.Planner = (*Planner)(nil)

// table is what the planner needs of a view besides pollenlatch.View.
type table interface {
	EachShard(service string, f func(pollenlatch.Owner) bool)
}

// Plan returns the moves that should start now.
func (p *Planner) Plan(in pollenlatch.PlanInput) []pollenlatch.Move {
	t, ok := in.View.(table)
	if !ok {
		return nil
	}
	var moves []pollenlatch.Move
	for _, svc := range in.View.Services() {
		if !svc.NumericKeys || svc.RangeBits == 0 {
			continue
		}
		if p.books == nil {
			p.books = make(map[string]*book)
		}
		b := p.books[svc.Name]
		if b == nil {
			b = &book{
				again: make(map[pollenlatch.InstanceID]pollenlatch.MonoTime),
				work:  make(map[pollenlatch.InstanceID]float64),
				moved: make(map[pollenlatch.Range]pollenlatch.MonoTime),
				known: make(map[pollenlatch.InstanceID]pollenlatch.Incarnation),
			}
			p.books[svc.Name] = b
		}
		moves = append(moves, newRound(in, t, svc, b).plan()...)
	}
	return moves
}

// server is an endpoint that may hold ranges.
type server struct {
	id       pollenlatch.InstanceID
	life     pollenlatch.Incarnation
	slots    float64
	quota    float64 // ranges that it should have at equal load
	count    int     // ranges that it has, or that are on their way to it
	rows     int     // runs of neighbouring ranges among them
	reported bool
	work     float64 // slots taken by one request a second
	offered  float64 // slots that its ranges ask for
}

// use is the share of its slots that a server is asked for.
func (s *server) use() float64 { return s.offered / s.slots }

// cost orders servers by how little they would like another range.
func (s *server) cost() float64 {
	return s.use() + countShare*float64(s.count)/max(s.quota, 1)
}

// give counts a range with a rate for its new server.
func (s *server) give(rate float64) {
	s.count++
	s.offered += rate * s.work
}

// round is the planning of one service at one moment.
type round struct {
	in      pollenlatch.PlanInput
	svc     pollenlatch.Service
	book    *book
	owners  []pollenlatch.Owner // by range
	rates   []float64           // requests a second, by range
	servers []*server           // by number
	byID    map[pollenlatch.InstanceID]*server
	moves   []pollenlatch.Move
}

func newRound(in pollenlatch.PlanInput, t table, svc pollenlatch.Service, b *book) *round {
	r := &round{in: in, svc: svc, book: b, byID: make(map[pollenlatch.InstanceID]*server)}
	r.owners = make([]pollenlatch.Owner, 0, svc.NumRanges())
	t.EachShard(svc.Name, func(o pollenlatch.Owner) bool {
		if o.Key == "" {
			r.owners = append(r.owners, o)
		}
		return true
	})
	total := 0.0
	for _, i := range in.View.Endpoints(svc.Name) {
		if !i.Usable() {
			continue
		}
		s := &server{id: i.ID, life: i.Endpoint.Incarnation, slots: float64(max(i.Endpoint.Slots, 1))}
		if l, ok := in.Loads[i.ID]; ok {
			s.reported, s.work = true, b.worked(i.ID, l)
		}
		total += s.slots
		r.servers = append(r.servers, s)
		r.byID[i.ID] = s
	}
	for _, s := range r.servers {
		s.quota = float64(svc.NumRanges()) * s.slots / total
	}
	r.guess()
	r.rate()
	var last pollenlatch.InstanceID
	for _, o := range r.owners {
		to := o.Instance
		if o.Frozen() {
			to = o.Next
		}
		if s, ok := r.byID[to]; ok {
			s.give(r.rates[o.Range])
			if to != last {
				s.rows++
			}
		}
		last = to
	}
	return r
}

// worked returns the slots that one request a second takes at a server, averaged
// over its reports; 0 when that is not known.
func (b *book) worked(id pollenlatch.InstanceID, l pollenlatch.Load) float64 {
	old, ok := b.work[id]
	if l.TypicalRun <= 0 {
		return old
	}
	now := l.TypicalRun.Seconds()
	if ok {
		now = old + workShare*(now-old)
	}
	b.work[id] = now
	return now
}

// guess fills in the work of servers that have not run enough to know it.
func (r *round) guess() {
	sum, n := 0.0, 0
	for _, s := range r.servers {
		if s.work > 0 {
			sum += s.work
			n++
		}
	}
	for _, s := range r.servers {
		if s.work <= 0 && n > 0 {
			s.work = coldWork * sum / float64(n)
		}
	}
}

// rate fills in the rates of all ranges. A range that moves is reported by its
// last server while the averages there fade and by its next one while they grow,
// so the sum of both is its rate at any time. Callers who were refused come back;
// without them a server that refuses half of the requests would seem to be asked
// for far more than it is.
func (r *round) rate() {
	r.rates = make([]float64, len(r.owners))
	named := make([]bool, len(r.owners))
	held := make(map[pollenlatch.InstanceID]int)
	rest := make(map[pollenlatch.InstanceID]float64)
	for id, l := range r.in.Loads {
		first := 1 / (1 + min(1, max(0, l.RefusedShare)))
		rest[id] = l.Rate * first
		for _, x := range l.Ranges {
			if x.Service == r.svc.Name && int(x.Range) < len(r.rates) {
				r.rates[x.Range] += x.Rate * first
				named[x.Range] = true
				rest[id] -= x.Rate * first
			}
		}
	}
	for _, o := range r.owners {
		if !named[o.Range] {
			held[holderOf(o)]++
		}
	}
	for _, o := range r.owners {
		if !named[o.Range] {
			r.rates[o.Range] = max(0, rest[holderOf(o)]) / float64(held[holderOf(o)])
		}
	}
}

func (r *round) plan() []pollenlatch.Move {
	if len(r.servers) == 0 {
		return nil
	}
	r.assign()
	r.rescue()
	if len(r.moves) == 0 {
		r.admit()
	}
	if len(r.moves) == 0 {
		r.balance()
	}
	return r.moves
}

// holderOf returns who has a range, or had it last.
func holderOf(o pollenlatch.Owner) pollenlatch.InstanceID {
	if o.Instance == 0 {
		return o.Previous
	}
	return o.Instance
}

// group is the number of the group that a range lies in.
func group(n pollenlatch.Range) pollenlatch.Range { return n / groupRanges }

// assign gives ranges without an owner to servers, a group at a time.
func (r *round) assign() {
	var to *server
	var of pollenlatch.Range
	for _, o := range r.owners {
		if o.Instance != 0 {
			continue
		}
		reason := reasonLost
		if to == nil || group(o.Range) != of {
			to, of = r.cheapest(), group(o.Range)
			to.rows++
		}
		s := to
		if last, ok := r.byID[o.Previous]; ok && float64(last.count) < last.quota {
			s, reason = last, reasonBack
		}
		if o.Previous == 0 {
			reason = reasonFirst
		}
		s.give(r.rates[o.Range])
		r.book.known[s.id] = s.life
		r.moves = append(r.moves, pollenlatch.Move{Shard: o.Shard, To: s.id, Fence: o.Fence, Reason: reason})
	}
}

// cheapest returns the server that should get the next range. One whose grants
// fill the answer to a heartbeat gets more only when all are like that.
func (r *round) cheapest() *server {
	full := func(s *server) int { return s.rows / maxRows }
	return slices.MinFunc(r.servers, func(a, b *server) int {
		return cmp.Or(cmp.Compare(full(a), full(b)), cmp.Compare(a.cost(), b.cost()), cmp.Compare(a.id, b.id))
	})
}

// rescue moves the ranges of servers that are lost or leave, and ends
// hand-overs to such servers.
func (r *round) rescue() {
	var to *server
	var of pollenlatch.Range
	for _, o := range r.owners {
		_, usable := r.byID[o.Instance]
		switch {
		case o.Instance == 0:
		case o.Frozen() && r.byID[o.Next] == nil:
			r.move(o, o.Instance, reasonCancel)
		case !usable && !o.Frozen():
			if to == nil || group(o.Range) != of {
				to, of = r.cheapest(), group(o.Range)
				to.rows++
			}
			to.give(r.rates[o.Range])
			r.move(o, to.id, reasonLeaving)
		}
	}
}

// admit gives a server that has joined its share. The groups are taken evenly
// from the whole key space, so that busy neighbours are split between the old
// servers and the new one.
func (r *round) admit() {
	for _, to := range r.servers {
		if r.book.known[to.id] == to.life {
			continue
		}
		r.book.known[to.id] = to.life
		if lacks := to.quota - float64(to.count); lacks < max(lackShare*to.quota, 1) {
			continue
		}
		for _, from := range r.servers {
			if from == to || from.count == 0 {
				continue
			}
			r.take(from, to, int(math.Floor(to.quota*float64(from.count)/float64(r.svc.NumRanges()))))
		}
	}
}

// groupsOf returns the ranges of a server that may move, by group.
func (r *round) groupsOf(id pollenlatch.InstanceID) [][]pollenlatch.Owner {
	var list [][]pollenlatch.Owner
	for _, o := range r.owners {
		if o.Instance != id || o.Frozen() {
			continue
		}
		if n := len(list); n > 0 && group(list[n-1][0].Range) == group(o.Range) {
			list[n-1] = append(list[n-1], o)
			continue
		}
		list = append(list, []pollenlatch.Owner{o})
	}
	return list
}

// take moves about n ranges between two servers, in whole groups.
func (r *round) take(from, to *server, n int) {
	groups := r.groupsOf(from.id)
	if len(groups) == 0 || from.count == 0 {
		return
	}
	want := min(len(groups), int(math.Round(float64(n)*float64(len(groups))/float64(from.count))))
	for k := range want {
		for _, o := range groups[k*len(groups)/want] {
			r.shift(o, from, to, reasonJoined)
		}
	}
}

// shift moves a range between two servers.
func (r *round) shift(o pollenlatch.Owner, from, to *server, reason string) {
	rate := r.rates[o.Range]
	from.count--
	from.offered = max(0, from.offered-rate*from.work)
	to.give(rate)
	r.move(o, to.id, reason)
}

// move starts a hand-over.
func (r *round) move(o pollenlatch.Owner, to pollenlatch.InstanceID, reason string) {
	r.moves = append(r.moves, pollenlatch.Move{Shard: o.Shard, From: o.Instance, To: to, Fence: o.Fence, Reason: reason})
}
