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
	// startUse is the use of a server's slots from which load is moved away, and
	// startExcess how much above the mean use it must be, with noiseSigmas
	// standard deviations of the reports on top. Below that a move costs callers
	// more than it gains: keys wait for a heartbeat.
	startUse    = 0.8
	startExcess = 0.12
	noiseSigmas = 2
	// reportSpan is the time over which reports are averaged.
	reportSpan = 500 * time.Millisecond
	// restUse is the use up to which a server counts as having room.
	restUse = 0.7
	// horizon is how long a balance is expected to be of use: busy keys change
	// within seconds to minutes.
	horizon = 5 * time.Second
	// moveTime is how long requests for a key that moves wait: half the interval
	// of heartbeats, and the way.
	moveTime = 750 * time.Millisecond
	// leastGain is the overload in slots that a move must take away.
	leastGain = 0.05
	// confirmTime is how long a server must be asked for too much before load
	// moves: by then the reports show most of a sudden change.
	confirmTime = 300 * time.Millisecond
	// stayTime is how long a range stays where balancing has moved it: requests
	// that waited for the move come all at once and look like a higher rate.
	stayTime = 4 * time.Second
	// againAfter is the least time between two batches of moves from a server.
	againAfter = 1500 * time.Millisecond
)

// over is by how many slots an offered load exceeds what a server has room for.
func (s *server) over(offered float64) float64 { return max(0, offered-restUse*s.slots) }

// balance moves load away from servers that are asked for more than they can do
// while others have room. It answers unequal speeds of servers and keys that turn
// busy. What takes away most overload moves first: a single busy key goes to a
// server that is fast enough for it, and what lies beside it goes elsewhere when
// no other server could do better.
func (r *round) balance() {
	if len(r.servers) < 2 {
		return
	}
	offered, slots := 0.0, 0.0
	for _, s := range r.servers {
		if s.work <= 0 {
			return
		}
		offered += s.offered
		slots += s.slots
	}
	mean := offered / slots
	over := make(map[pollenlatch.InstanceID]bool)
	order := slices.Clone(r.servers)
	slices.SortFunc(order, func(a, b *server) int {
		return cmp.Or(cmp.Compare(b.over(b.offered), a.over(a.offered)), cmp.Compare(a.id, b.id))
	})
	for _, s := range order {
		noise := noiseSigmas * s.use() / math.Sqrt(2*max(1, s.offered/s.work)*reportSpan.Seconds())
		if s.use() < startUse || s.use() < mean+startExcess+noise {
			continue
		}
		over[s.id] = true
		since, known := r.book.over[s.id]
		if !known {
			since = r.in.Now
		}
		r.book.seen(s.id, since)
		if r.in.Now.Sub(since) >= confirmTime && r.in.Now >= r.book.again[s.id] {
			r.unload(s)
		}
	}
	for id := range r.book.over {
		if !over[id] {
			delete(r.book.over, id)
		}
	}
}

// seen notes since when a server is asked for too much.
func (b *book) seen(id pollenlatch.InstanceID, since pollenlatch.MonoTime) {
	if b.over == nil {
		b.over = make(map[pollenlatch.InstanceID]pollenlatch.MonoTime)
	}
	b.over[id] = since
}

// part is a set of ranges that moves together.
type part struct {
	owners []pollenlatch.Owner
	rate   float64
}

// unload moves parts of one server while that takes away more than it costs.
func (r *round) unload(s *server) {
	was, moved := s.offered, len(r.moves)
	defer func() {
		if len(r.moves) > moved {
			r.book.again[s.id] = r.in.Now.Add(againAfter)
		}
	}()
	parts := r.parts(s)
	for s.over(s.offered) > leastGain && len(parts) > 0 {
		best, to := -1, (*server)(nil)
		gain := 0.0
		for n := range parts {
			t, g := r.relief(s, parts[n].rate)
			if t != nil && g > gain {
				best, to, gain = n, t, g
			}
		}
		if best < 0 {
			return
		}
		p := parts[best]
		parts = slices.Delete(parts, best, best+1)
		reason := fmt.Sprintf("%s: %.1f of %.0f slots, target %.1f of %.0f", reasonLoad, was, s.slots, to.offered, to.slots)
		to.rows++
		for _, o := range p.owners {
			r.book.moved[o.Range] = r.in.Now
			r.shift(o, s, to, reason)
		}
	}
}

// parts returns what may move from a server: groups, or the single ranges of a
// group whose load lies mostly on one of them.
func (r *round) parts(s *server) []part {
	var list []part
	for _, g := range r.groupsOf(s.id) {
		if r.settling(g[0].Range) {
			continue
		}
		whole := part{owners: g}
		top := 0.0
		for _, o := range g {
			rate := r.rates[o.Range]
			whole.rate += rate
			top = max(top, rate)
		}
		if len(g) > 1 && top > whole.rate/2 && top*s.work > s.slots/4 {
			for n := range g {
				list = append(list, part{owners: g[n : n+1], rate: r.rates[g[n].Range]})
			}
			continue
		}
		list = append(list, whole)
	}
	return list
}

// settling reports whether balancing has moved a range a short time ago.
func (r *round) settling(n pollenlatch.Range) bool {
	at, ok := r.book.moved[n]
	if ok && r.in.Now.Sub(at) >= stayTime {
		delete(r.book.moved, n)
		return false
	}
	return ok
}

// relief returns the server that should take a rate of another, and the overload
// in slots that this takes away after the cost of the move; nil when there is
// none.
func (r *round) relief(from *server, rate float64) (to *server, gain float64) {
	load := rate * from.work
	less := from.over(from.offered) - from.over(from.offered-load)
	cost := load * moveTime.Seconds() / horizon.Seconds()
	for _, t := range r.servers {
		if t == from || t.rows >= maxRows {
			continue
		}
		more := t.over(t.offered+rate*t.work) - t.over(t.offered)
		g := less - more - cost
		if g > max(gain, leastGain) || (to != nil && g == gain && t.use() < to.use()) {
			to, gain = t, g
		}
	}
	return to, gain
}
