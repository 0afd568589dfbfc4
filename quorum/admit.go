package quorum

import (
	"slices"

	"pollenlatch"
)

// admission is the state of the admission of an initial voter with an empty log.
// It must not vote until every other initial voter has confirmed that it never
// counted a vote or acknowledgement of that name. Otherwise the data folder may
// replace one that was lost together with acknowledged entries.
type admission struct {
	confirmedBy map[string]bool
	refused     bool
	// boundIncarnations holds the accepted incarnation of each name whose
	// incarnation the settings do not specify, so that delayed messages of a
	// lost data folder do not count.
	boundIncarnations map[string]pollenlatch.Incarnation
}

// AdmissionRefused reports whether this data folder was refused as an initial
// voter. It can still join as a new incarnation through a membership change.
func (r *Replica) AdmissionRefused() bool { return r.admission.refused && !r.admitted() }

// admitted reports whether this voter takes part in the protocol without
// restriction. Otherwise it only handles messages with ReceiverIsMember.
func (r *Replica) admitted() bool { return r.hasCounted(r.cfg.Self.Name) || r.selfInLog() }

func (r *Replica) hasCounted(name string) bool {
	return slices.Contains(r.hardState.CountedVoters, name)
}

// selfInLog reports whether this replica's log contains its incarnation as a voter.
func (r *Replica) selfInLog() bool {
	self := r.cfg.Self.Incarnation
	ms := r.log.membership()
	return ms.index > 0 && self != 0 && slices.ContainsFunc(ms.members, func(m pollenlatch.Member) bool {
		return idOf(m) == idOf(r.cfg.Self)
	})
}

// mayRequestAdmission reports whether this is an initial voter with an empty log
// that was not refused.
func (r *Replica) mayRequestAdmission() bool {
	return r.log.lastIndex() == 0 && !r.admission.refused && r.containsSelf(r.cfg.InitialVoters)
}

// requestAdmission asks the initial voters that have not confirmed yet. It admits
// this voter when all have, or when there are no others.
func (r *Replica) requestAdmission() {
	if r.admitted() || !r.mayRequestAdmission() {
		return
	}
	others := 0
	for _, m := range r.cfg.InitialVoters {
		if m.Name == r.cfg.Self.Name {
			continue
		}
		others++
		if !r.admission.confirmedBy[m.Name] {
			r.send(m, Message{Kind: KindAdmissionRequest})
		}
	}
	if len(r.admission.confirmedBy) == others {
		r.markCounted(r.cfg.Self.Name)
		r.resetElectionDeadline()
	}
}

func (r *Replica) retryAdmission() {
	if r.now < r.electionDeadline {
		return
	}
	r.electionDeadline = r.now.Add(r.cfg.MinElectionTimeout)
	r.requestAdmission()
}

func (r *Replica) handleAdmissionRequest(from string, m *Message) {
	if from == r.cfg.Self.Name {
		return
	}
	counted := r.hasCounted(from)
	switch {
	case r.admitted():
		// A voter that was added later does not know what an earlier data
		// folder of its own name has counted.
		counted = counted || !r.hasCounted(r.cfg.Self.Name)
	case !r.mayRequestAdmission():
		return // this data folder may be a replacement itself
	}
	if !counted {
		r.bindIncarnation(from, m.FromIncarnation)
	}
	to := r.replyTarget(from, m)
	r.send(to, Message{Kind: KindAdmissionReply, ToIncarnation: m.FromIncarnation, Reject: counted})
}

func (r *Replica) handleAdmissionReply(from string, m *Message) {
	if r.admitted() || !r.mayRequestAdmission() || m.ToIncarnation != r.cfg.Self.Incarnation || from == r.cfg.Self.Name {
		return
	}
	i := slices.IndexFunc(r.cfg.InitialVoters, func(v pollenlatch.Member) bool {
		return v.Name == from && (v.Incarnation == 0 || v.Incarnation == m.FromIncarnation)
	})
	if i < 0 {
		return
	}
	if m.Reject {
		r.admission.refused = true
		return
	}
	if r.admission.confirmedBy == nil {
		r.admission.confirmedBy = make(map[string]bool)
	}
	r.admission.confirmedBy[from] = true
	if len(r.admission.confirmedBy) == len(r.cfg.InitialVoters)-1 {
		r.requestAdmission()
	}
}

func (r *Replica) bindIncarnation(name string, inc pollenlatch.Incarnation) {
	if r.admission.boundIncarnations == nil {
		r.admission.boundIncarnations = make(map[string]pollenlatch.Incarnation)
	}
	r.admission.boundIncarnations[name] = inc
}

// matchesSender reports whether a member is the sender of a message with this name
// and incarnation.
func (r *Replica) matchesSender(m pollenlatch.Member, name string, inc pollenlatch.Incarnation) bool {
	if m.Name != name {
		return false
	}
	if m.Incarnation != 0 {
		return m.Incarnation == inc
	}
	bound, ok := r.admission.boundIncarnations[name]
	return !ok || bound == inc
}

// replyTarget returns the sender of a message as the receiver of the reply. Its
// address is that of the membership when the message has none.
func (r *Replica) replyTarget(from string, m *Message) pollenlatch.Member {
	to := pollenlatch.Member{Name: from, Incarnation: m.FromIncarnation, Addr: m.FromAddr}
	for _, v := range r.log.membership().members {
		if v.Name == from && to.Addr == "" {
			to.Addr = v.Addr
		}
	}
	return to
}

func (r *Replica) containsSelf(members []pollenlatch.Member) bool {
	return slices.ContainsFunc(members, func(m pollenlatch.Member) bool {
		return m.Name == r.cfg.Self.Name && (m.Incarnation == 0 || m.Incarnation == r.cfg.Self.Incarnation)
	})
}

// mayCampaign reports whether this replica may become a candidate.
func (r *Replica) mayCampaign() bool {
	return r.admitted() && r.containsSelf(r.log.membership().members)
}

// isOnlyVoter reports whether this replica is the only voter.
func (r *Replica) isOnlyVoter() bool { return r.mayCampaign() && len(r.log.membership().members) == 1 }

// otherVoters returns the other voters in force.
func (r *Replica) otherVoters() []pollenlatch.Member {
	var others []pollenlatch.Member
	for _, m := range r.log.membership().members {
		if m.Name != r.cfg.Self.Name {
			others = append(others, m)
		}
	}
	return others
}

// incarnationInLog reports whether a member's incarnation comes from the log rather
// than from the settings.
func (r *Replica) incarnationInLog(m pollenlatch.Member) bool {
	return r.log.membership().index > 0 && m.Incarnation != 0
}
