package quorum

import "pollenlatch"

// receive sorts out messages that are not for this incarnation or not well
// formed, and hands on the rest.
func (r *Replica) receive(from string, m *Message) {
	if m.Check() != nil || (m.ToIncarnation != 0 && m.ToIncarnation != r.cfg.Self.Incarnation) {
		return
	}
	switch m.Kind {
	case KindAdmissionRequest:
		r.onAsk(from, m)
		return
	case KindAdmissionReply:
		r.onAnswer(from, m)
		return
	default:
	}
	named := m.ReceiverIsMember && m.ToIncarnation != 0
	if !r.admitted() && !named {
		return
	}
	switch m.Kind {
	case KindPreVote, KindVote:
		r.onVote(from, m)
	case KindPreVoteReply, KindVoteReply:
		r.onVoteReply(from, m)
	case KindAppend, KindHeartbeat, KindSnapshotChunk:
		r.onLeader(from, m)
	case KindAppendReply, KindHeartbeatReply, KindSnapshotChunkReply:
		r.onFollower(from, m)
	default:
	}
}

func (r *Replica) setFollower(leaderName string) {
	if r.role == leader {
		r.endChange("this voter no longer leads")
		r.leading = leading{}
	}
	r.role = follower
	r.leader = leaderName
	r.votes = nil
}

// newTerm enters a term that another voter has begun.
func (r *Replica) newTerm(term uint64) {
	r.setFollower("")
	r.setTerm(term, "")
}

// preVote asks whether an election could be won before it begins a term, so
// that a voter that was cut off does not unseat a working leader.
func (r *Replica) preVote() {
	r.role, r.leader = preCandidate, ""
	r.resetDeadline()
	r.votes = map[memberID]bool{}
	for _, m := range r.others() {
		r.send(m, r.ballot(KindPreVote, r.hard.Term+1, m))
	}
}

func (r *Replica) campaign() {
	r.role, r.leader = candidate, ""
	r.setTerm(r.hard.Term+1, r.cfg.Self.Name)
	r.markSeen(r.cfg.Self.Name)
	r.resetDeadline()
	r.votes = map[memberID]bool{}
	r.voteSeq = r.syncSeq()
	for _, m := range r.others() {
		r.sendSynced(r.envelope(m, r.ballot(KindVote, r.hard.Term, m)))
	}
}

func (r *Replica) ballot(k MessageKind, term uint64, to pollenlatch.Member) Message {
	return Message{
		Kind: k, Term: term, ReceiverIsMember: r.names(to),
		Index: r.log.last(), LogTerm: r.log.lastTerm(), MembershipIndex: r.log.group().index,
	}
}

// tally ends an election that is won.
func (r *Replica) tally() {
	if r.role == preCandidate && r.majority(func(m pollenlatch.Member) bool { return r.votes[idOf(m)] }, true) {
		r.campaign()
	}
	if r.role == candidate && r.disk.done >= r.voteSeq &&
		r.majority(func(m pollenlatch.Member) bool { return r.votes[idOf(m)] && r.counted(m.Name) }, true) {
		r.lead()
	}
}

// majority reports whether a majority of the voters in force satisfies f; self
// is the answer for this one.
func (r *Replica) majority(f func(pollenlatch.Member) bool, self bool) bool {
	members := r.log.group().members
	n := 0
	for _, m := range members {
		ok := f
		if m.Name == r.cfg.Self.Name && r.isSelf(members) {
			ok = func(pollenlatch.Member) bool { return self }
		}
		if ok(m) {
			n++
		}
	}
	return n > len(members)/2
}

// leaderAlive reports whether votes are denied because a leader works.
func (r *Replica) leaderAlive() bool {
	if r.role == leader {
		return r.Leading(r.now)
	}
	return r.now.Sub(r.heard) < r.cfg.MinElectionTimeout
}

// outdated reports whether a candidate was replaced or removed by an entry
// that it does not have.
func (r *Replica) outdated(from string, m *Message) bool {
	g := r.log.group()
	if m.MembershipIndex > g.index || (m.MembershipIndex == g.index && g.index > 0) {
		return false
	}
	for _, v := range g.members {
		if v.Name == from {
			return !r.isFrom(v, from, m.FromIncarnation)
		}
	}
	return true
}

func (r *Replica) onVote(from string, m *Message) {
	if from == r.cfg.Self.Name || r.leaderAlive() || r.outdated(from, m) {
		return
	}
	reply := Message{Kind: m.Kind + 1, Term: m.Term, ToIncarnation: m.FromIncarnation}
	if m.Kind == KindVote && m.Term > r.hard.Term {
		r.newTerm(m.Term)
	}
	free := m.Term > r.hard.Term || (m.Term == r.hard.Term && (r.hard.Vote == "" || r.votedFor == memberID{from, m.FromIncarnation}))
	last := r.log.lastTerm()
	current := m.LogTerm > last || (m.LogTerm == last && m.Index >= r.log.last())
	if !free || !current {
		reply.Reject, reply.Term = true, r.hard.Term
	}
	if m.Kind == KindVote && !reply.Reject {
		if r.hard.Vote == "" {
			r.setTerm(r.hard.Term, from)
			r.votedFor = memberID{from, m.FromIncarnation}
		}
		r.markSeen(from)
		r.resetDeadline()
	}
	if reply.Term == 0 {
		return
	}
	r.sendSynced(r.envelope(r.memberFor(from, m), reply))
}

func (r *Replica) onVoteReply(from string, m *Message) {
	v, ok := r.voter(from, m)
	if !ok {
		return
	}
	if m.Reject {
		if m.Term > r.hard.Term {
			r.newTerm(m.Term)
		}
		return
	}
	switch {
	case m.Kind == KindPreVoteReply && r.role == preCandidate && m.Term == r.hard.Term+1:
		r.votes[idOf(v)] = true
	case m.Kind == KindVoteReply && r.role == candidate && m.Term == r.hard.Term:
		r.votes[idOf(v)] = true
		r.count(v, m)
	}
}

// count notes that a vote or acknowledgement of a voter matters from now on.
func (r *Replica) count(v pollenlatch.Member, m *Message) {
	if v.Incarnation == 0 {
		r.bind(v.Name, m.FromIncarnation)
	}
	r.markSeen(v.Name)
}

// voter returns the voter in force that a message of the present or a later
// term comes from. Other incarnations are refused.
func (r *Replica) voter(from string, m *Message) (pollenlatch.Member, bool) {
	if m.Term < r.hard.Term || from == r.cfg.Self.Name {
		return pollenlatch.Member{}, false
	}
	for _, v := range r.log.group().members {
		if r.isFrom(v, from, m.FromIncarnation) {
			return v, true
		}
	}
	return pollenlatch.Member{}, false
}
