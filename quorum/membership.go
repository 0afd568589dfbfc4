package quorum

import (
	"slices"

	"pollenlatch"
)

// maxCatchUpLag is the maximum number of entries that a learner may lack when it
// becomes a voter, so that a steady stream of proposals does not delay it
// indefinitely.
const maxCatchUpLag = 32

// changeMembership starts a membership change. It replaces one that is in
// progress.
func (r *Replica) changeMembership(c ChangeMembership) {
	reason := ""
	switch err := checkMembers(c.Members); {
	case r.role != leader:
		reason = "this voter is not the leader"
	case err != nil:
		reason = err.Error()
	case len(c.Members) == 0:
		reason = "membership change without voters"
	case r.replacesAllVoters(c.Members):
		reason = "membership change replaces every voter; add a new one first"
	}
	if m, ok := memberByName(c.Members, r.cfg.Self.Name); ok && !r.containsSelf([]pollenlatch.Member{m}) {
		reason = "the leader cannot be replaced by another incarnation of itself"
	}
	for _, m := range c.Members {
		if reason == "" && m.Incarnation == 0 && !slices.ContainsFunc(r.log.membership().members, func(v pollenlatch.Member) bool {
			return idOf(v) == idOf(m)
		}) {
			reason = "new voter " + m.Name + " has no incarnation"
		}
	}
	if reason != "" {
		r.emit(Rejected{c.ID, reason})
		return
	}
	r.rejectChange("replaced by another membership change")
	c.Members = slices.Clone(c.Members)
	r.leaderState.pendingChange = &c
	r.updatePeers()
}

// replacesAllVoters reports whether the wanted voters have only names of current
// voters, and all of them with another incarnation: no voter would stay, and none
// can be added before the others are removed.
func (r *Replica) replacesAllVoters(wanted []pollenlatch.Member) bool {
	for _, w := range wanted {
		current, ok := memberByName(r.log.membership().members, w.Name)
		if !ok || r.sameVoter(current, w) {
			return false
		}
	}
	return true
}

func (r *Replica) rejectChange(reason string) {
	if c := r.leaderState.pendingChange; c != nil {
		r.leaderState.pendingChange = nil
		r.emit(Rejected{c.ID, reason})
	}
}

// advanceChange appends the next step of a membership change once the previous
// one is committed. A step adds or removes at most one voter, so that the
// majorities before and after it overlap.
func (r *Replica) advanceChange() {
	ms := r.log.membership()
	if r.role != leader || r.commit < r.leaderState.firstOfTerm || r.commit < ms.index {
		return
	}
	if !r.containsSelf(ms.members) {
		r.becomeFollower("") // its own removal is committed
		return
	}
	c := r.leaderState.pendingChange
	if c == nil {
		return
	}
	next, done := r.nextMembership(ms.members, c.Members)
	if next != nil {
		r.log.append(Entry{Index: r.log.lastIndex() + 1, Term: r.hardState.Term, Members: next})
		_, done = r.nextMembership(next, c.Members)
	}
	if done {
		r.leaderState.pendingChange = nil
		r.emit(Accepted{ID: c.ID, Index: r.log.membership().index, Term: r.log.termAt(r.log.membership().index)})
	}
	r.updatePeers()
}

// nextMembership returns the voters after the next step, or nil when a new voter
// has not caught up yet or the change is done.
func (r *Replica) nextMembership(current, wanted []pollenlatch.Member) (next []pollenlatch.Member, done bool) {
	updated := slices.Clone(current)
	for i, c := range current {
		if w, ok := memberByName(wanted, c.Name); ok && r.sameVoter(c, w) {
			updated[i] = w
		}
	}
	if !slices.Equal(updated, current) {
		return updated, false
	}
	waiting := false
	for _, w := range wanted {
		c, ok := memberByName(current, w.Name)
		switch {
		case ok && idOf(c) == idOf(w):
		case !r.caughtUp(w):
			waiting = true
		case !ok:
			return append(updated, w), false
		case len(current) > 1:
			// Names are unique, so the old incarnation is removed first.
			return withoutMember(current, c), false
		}
	}
	if waiting {
		return nil, false
	}
	for _, self := range []bool{false, true} { // this voter is removed last
		for _, c := range current {
			if _, ok := memberByName(wanted, c.Name); !ok && (c.Name == r.cfg.Self.Name) == self && len(current) > 1 {
				return withoutMember(current, c), false
			}
		}
	}
	return nil, true
}

// sameVoter reports whether two members stand for the same voter. They may differ
// in the address, or in an incarnation that the settings do not specify.
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
	return r.mayCount(old.Name) && r.admission.boundIncarnations[old.Name] == wanted.Incarnation
}

func (r *Replica) caughtUp(m pollenlatch.Member) bool {
	p := r.peer(m)
	return p != nil && p.hasAckedHeartbeat && r.sinceHeartbeatAck(p) < r.cfg.MinElectionTimeout && p.match+maxCatchUpLag >= r.log.lastIndex() && p.match > 0
}

func memberByName(members []pollenlatch.Member, name string) (pollenlatch.Member, bool) {
	i := slices.IndexFunc(members, func(m pollenlatch.Member) bool { return m.Name == name })
	if i < 0 {
		return pollenlatch.Member{}, false
	}
	return members[i], true
}

func withoutMember(members []pollenlatch.Member, m pollenlatch.Member) []pollenlatch.Member {
	return slices.DeleteFunc(slices.Clone(members), func(x pollenlatch.Member) bool { return x.Name == m.Name })
}
