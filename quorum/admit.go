package quorum

import (
	"slices"

	"pollenlatch"
)

// admission holds what the genesis rule needs: a genesis voter with an empty
// log takes part only after every other genesis voter has said that it never
// counted a vote or acknowledgement of that name. Otherwise the folder may be
// the replacement of one that was lost together with acknowledged entries.
type admission struct {
	answered map[string]bool
	barred   bool
	// bound is the incarnation that speaks for a name whose incarnation the
	// settings leave open, so that late messages of a lost folder do not count.
	bound map[string]pollenlatch.Incarnation
}

// AdmissionRefused reports whether this folder was refused as a genesis voter. It can
// still join as a new incarnation through a change of the group.
func (r *Replica) AdmissionRefused() bool { return r.admission.barred && !r.admitted() }

// admitted reports whether this voter takes part of its own accord. Otherwise
// it only answers those whose log names its incarnation.
func (r *Replica) admitted() bool { return r.seen(r.cfg.Self.Name) || r.joined() }

func (r *Replica) seen(name string) bool { return slices.Contains(r.hard.CountedVoters, name) }

// joined reports whether the own log names this incarnation as a voter.
func (r *Replica) joined() bool {
	self := r.cfg.Self.Incarnation
	g := r.log.group()
	return g.index > 0 && self != 0 && slices.ContainsFunc(g.members, func(m pollenlatch.Member) bool {
		return idOf(m) == idOf(r.cfg.Self)
	})
}

// mayAsk reports whether this is a genesis voter that has no log yet.
func (r *Replica) mayAsk() bool {
	return r.log.last() == 0 && !r.admission.barred && r.isSelf(r.cfg.InitialVoters)
}

// admit asks the other genesis voters, or admits this one when there are none.
func (r *Replica) admit() {
	if r.admitted() || !r.mayAsk() {
		return
	}
	others := 0
	for _, m := range r.cfg.InitialVoters {
		if m.Name == r.cfg.Self.Name {
			continue
		}
		others++
		if !r.admission.answered[m.Name] {
			r.send(m, Message{Kind: KindAdmissionRequest})
		}
	}
	if len(r.admission.answered) == others {
		r.markSeen(r.cfg.Self.Name)
		r.resetDeadline()
	}
}

func (r *Replica) askAgain() {
	if r.now < r.deadline {
		return
	}
	r.deadline = r.now.Add(r.cfg.MinElectionTimeout)
	r.admit()
}

func (r *Replica) onAsk(from string, m *Message) {
	if from == r.cfg.Self.Name {
		return
	}
	counted := r.seen(from)
	switch {
	case r.admitted():
		// A voter that joined later does not know what the folder before it
		// counted.
		counted = counted || !r.seen(r.cfg.Self.Name)
	case !r.mayAsk():
		return // this folder may itself be a replacement and cannot tell
	}
	if !counted {
		r.bind(from, m.FromIncarnation)
	}
	to := r.memberFor(from, m)
	r.send(to, Message{Kind: KindAdmissionReply, ToIncarnation: m.FromIncarnation, Reject: counted})
}

func (r *Replica) onAnswer(from string, m *Message) {
	if r.admitted() || !r.mayAsk() || m.ToIncarnation != r.cfg.Self.Incarnation || from == r.cfg.Self.Name {
		return
	}
	i := slices.IndexFunc(r.cfg.InitialVoters, func(g pollenlatch.Member) bool {
		return g.Name == from && (g.Incarnation == 0 || g.Incarnation == m.FromIncarnation)
	})
	if i < 0 {
		return
	}
	if m.Reject {
		r.admission.barred = true
		return
	}
	if r.admission.answered == nil {
		r.admission.answered = make(map[string]bool)
	}
	r.admission.answered[from] = true
	if len(r.admission.answered) == len(r.cfg.InitialVoters)-1 {
		r.admit()
	}
}

func (r *Replica) bind(name string, i pollenlatch.Incarnation) {
	if r.admission.bound == nil {
		r.admission.bound = make(map[string]pollenlatch.Incarnation)
	}
	r.admission.bound[name] = i
}

// isFrom reports whether a message of an incarnation speaks for a member.
func (r *Replica) isFrom(m pollenlatch.Member, name string, i pollenlatch.Incarnation) bool {
	if m.Name != name {
		return false
	}
	if m.Incarnation != 0 {
		return m.Incarnation == i
	}
	b, ok := r.admission.bound[name]
	return !ok || b == i
}

// memberFor returns where to send an answer.
func (r *Replica) memberFor(from string, m *Message) pollenlatch.Member {
	to := pollenlatch.Member{Name: from, Incarnation: m.FromIncarnation, Addr: m.FromAddr}
	for _, g := range r.log.group().members {
		if g.Name == from && to.Addr == "" {
			to.Addr = g.Addr
		}
	}
	return to
}

func (r *Replica) isSelf(members []pollenlatch.Member) bool {
	return slices.ContainsFunc(members, func(m pollenlatch.Member) bool {
		return m.Name == r.cfg.Self.Name && (m.Incarnation == 0 || m.Incarnation == r.cfg.Self.Incarnation)
	})
}

// isVoter reports whether this voter may stand for election.
func (r *Replica) isVoter() bool { return r.admitted() && r.isSelf(r.log.group().members) }

// alone reports whether this is the only voter.
func (r *Replica) alone() bool { return r.isVoter() && len(r.log.group().members) == 1 }

// others returns the other voters in force.
func (r *Replica) others() []pollenlatch.Member {
	var list []pollenlatch.Member
	for _, m := range r.log.group().members {
		if m.Name != r.cfg.Self.Name {
			list = append(list, m)
		}
	}
	return list
}

// names reports whether the log, rather than the settings, names a member's
// incarnation.
func (r *Replica) names(m pollenlatch.Member) bool {
	return r.log.group().index > 0 && m.Incarnation != 0
}
