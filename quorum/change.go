package quorum

import (
	"slices"

	"pollenlatch"
)

// catchUp is how many entries a non-voter may lack when it becomes a voter, so
// that a steady stream of proposals does not put it off for ever.
const catchUp = 32

// change starts a change of the group. It replaces one that is in progress.
func (r *Replica) change(c ChangeMembership) {
	reason := ""
	switch err := checkMembers(c.Members); {
	case r.role != leader:
		reason = "this voter does not lead"
	case err != nil:
		reason = err.Error()
	case len(c.Members) == 0:
		reason = "a group needs a voter"
	case r.removesAll(c.Members):
		reason = "the group has no voter that stays; add one first"
	}
	if w, ok := byName(c.Members, r.cfg.Self.Name); ok && !r.isSelf([]pollenlatch.Member{w}) {
		reason = "the leader cannot be replaced by another incarnation of itself"
	}
	for _, m := range c.Members {
		if reason == "" && m.Incarnation == 0 && !slices.ContainsFunc(r.log.group().members, func(g pollenlatch.Member) bool {
			return idOf(g) == idOf(m)
		}) {
			reason = "new voter " + m.Name + " has no incarnation"
		}
	}
	if reason != "" {
		r.emit(Rejected{c.ID, reason})
		return
	}
	r.endChange("replaced by another change of the group")
	c.Members = slices.Clone(c.Members)
	r.leading.change = &c
	r.setPeers()
}

// removesAll reports whether no present voter is in the wanted group and no
// other name can be added before they are removed.
func (r *Replica) removesAll(wanted []pollenlatch.Member) bool {
	for _, w := range wanted {
		g, ok := byName(r.log.group().members, w.Name)
		if !ok || r.sameVoter(g, w) {
			return false
		}
	}
	return true
}

func (r *Replica) endChange(reason string) {
	if c := r.leading.change; c != nil {
		r.leading.change = nil
		r.emit(Rejected{c.ID, reason})
	}
}

// stepChange proposes the next safe step of a change: each differs from the
// group in force by one voter, and the one before must be committed.
func (r *Replica) stepChange() {
	g := r.log.group()
	if r.role != leader || r.commit < r.leading.first || r.commit < g.index {
		return
	}
	if !r.isSelf(g.members) {
		r.setFollower("") // its own removal is committed
		return
	}
	c := r.leading.change
	if c == nil {
		return
	}
	next, done := r.nextGroup(g.members, c.Members)
	if next != nil {
		r.log.append(Entry{Index: r.log.last() + 1, Term: r.hard.Term, Members: next})
		_, done = r.nextGroup(next, c.Members)
	}
	if done {
		r.leading.change = nil
		r.emit(Accepted{ID: c.ID, Index: r.log.group().index, Term: r.log.termAt(r.log.group().index)})
	}
	r.setPeers()
}

// nextGroup returns the group after the next step, or nil when it must wait or
// nothing is left to do.
func (r *Replica) nextGroup(now, wanted []pollenlatch.Member) (next []pollenlatch.Member, done bool) {
	updated := slices.Clone(now)
	for i, g := range now {
		if w, ok := byName(wanted, g.Name); ok && r.sameVoter(g, w) {
			updated[i] = w
		}
	}
	if !slices.Equal(updated, now) {
		return updated, false
	}
	waiting := false
	for _, w := range wanted {
		g, ok := byName(now, w.Name)
		switch {
		case ok && idOf(g) == idOf(w):
		case !r.caughtUp(w):
			waiting = true
		case !ok:
			return append(updated, w), false
		case len(now) > 1:
			// A name stands for one voter only, so the old incarnation goes first.
			return without(now, g), false
		}
	}
	if waiting {
		return nil, false
	}
	for _, self := range []bool{false, true} {
		for _, g := range now {
			if _, ok := byName(wanted, g.Name); !ok && (g.Name == r.cfg.Self.Name) == self && len(now) > 1 {
				return without(now, g), false
			}
		}
	}
	return nil, true
}

// sameVoter reports whether two members are one voter, whose address changed
// or whose incarnation the settings had left open.
func (r *Replica) sameVoter(old, wanted pollenlatch.Member) bool {
	if old.Name != wanted.Name || old.Incarnation == wanted.Incarnation {
		return old.Name == wanted.Name
	}
	if old.Incarnation != 0 {
		return false
	}
	if old.Name == r.cfg.Self.Name {
		return wanted.Incarnation == r.cfg.Self.Incarnation
	}
	return r.counted(old.Name) && r.admission.bound[old.Name] == wanted.Incarnation
}

func (r *Replica) caughtUp(m pollenlatch.Member) bool {
	p := r.peer(m)
	return p != nil && p.alive && r.age(p) < r.cfg.MinElectionTimeout && p.match+catchUp >= r.log.last() && p.match > 0
}

func byName(members []pollenlatch.Member, name string) (pollenlatch.Member, bool) {
	i := slices.IndexFunc(members, func(m pollenlatch.Member) bool { return m.Name == name })
	if i < 0 {
		return pollenlatch.Member{}, false
	}
	return members[i], true
}

func without(members []pollenlatch.Member, m pollenlatch.Member) []pollenlatch.Member {
	return slices.DeleteFunc(slices.Clone(members), func(x pollenlatch.Member) bool { return x.Name == m.Name })
}
