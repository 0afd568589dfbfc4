package quorum

import "pollenlatch"

// receive drops messages that are malformed, meant for another incarnation or not
// allowed before admission, and dispatches the others.
func (r *Replica) receive(from string, m *Message) {
	if m.Check() != nil || (m.ToIncarnation != 0 && m.ToIncarnation != r.cfg.Self.Incarnation) {
		return
	}
	switch m.Kind {
	case KindAdmissionRequest:
		r.handleAdmissionRequest(from, m)
		return
	case KindAdmissionReply:
		r.handleAdmissionReply(from, m)
		return
	default:
	}
	isMember := m.ReceiverIsMember && m.ToIncarnation != 0
	if !r.admitted() && !isMember {
		return
	}
	switch m.Kind {
	case KindPreVote, KindVote:
		r.handleVoteRequest(from, m)
	case KindPreVoteReply, KindVoteReply:
		r.handleVoteReply(from, m)
	case KindAppend, KindHeartbeat, KindSnapshotChunk:
		r.handleLeaderMessage(from, m)
	case KindAppendReply, KindHeartbeatReply, KindSnapshotChunkReply:
		r.handleFollowerReply(from, m)
	default:
	}
}

func (r *Replica) becomeFollower(leaderName string) {
	if r.role == leader {
		r.rejectChange("this voter is no longer the leader")
		r.leaderState = leaderState{}
	}
	r.role = follower
	r.leader = leaderName
	r.votes = nil
}

// enterTerm enters a term that another voter has started.
func (r *Replica) enterTerm(term uint64) {
	r.becomeFollower("")
	r.setTerm(term, "")
}

// startPreVote asks the other voters whether they would vote for this one, before
// campaign starts a new term. Otherwise a voter that was disconnected would depose
// a working leader when it returns.
func (r *Replica) startPreVote() {
	r.role, r.leader = preCandidate, ""
	r.resetElectionDeadline()
	r.votes = map[memberID]bool{}
	for _, m := range r.otherVoters() {
		r.send(m, r.voteRequest(KindPreVote, r.hardState.Term+1, m))
	}
}

func (r *Replica) campaign() {
	r.role, r.leader = candidate, ""
	r.setTerm(r.hardState.Term+1, r.cfg.Self.Name)
	r.markCounted(r.cfg.Self.Name)
	r.resetElectionDeadline()
	r.votes = map[memberID]bool{}
	r.voteSeq = r.coveringSeq()
	for _, m := range r.otherVoters() {
		r.sendAfterSync(r.newSend(m, r.voteRequest(KindVote, r.hardState.Term, m)))
	}
}

func (r *Replica) voteRequest(k MessageKind, term uint64, to pollenlatch.Member) Message {
	return Message{
		Kind: k, Term: term, ReceiverIsMember: r.incarnationInLog(to),
		Index: r.log.lastIndex(), LogTerm: r.log.lastTerm(), MembershipIndex: r.log.membership().index,
	}
}

// tallyVotes continues with the election after a won pre-vote, and with the
// leadership after a won election.
func (r *Replica) tallyVotes() {
	if r.role == preCandidate && r.hasMajority(func(m pollenlatch.Member) bool { return r.votes[idOf(m)] }, true) {
		r.campaign()
	}
	if r.role == candidate && r.disk.completedSeq >= r.voteSeq &&
		r.hasMajority(func(m pollenlatch.Member) bool { return r.votes[idOf(m)] && r.mayCount(m.Name) }, true) {
		r.becomeLeader()
	}
}

// hasMajority reports whether accept is true for a majority of the voters in
// force. acceptSelf is the result for this replica.
func (r *Replica) hasMajority(accept func(pollenlatch.Member) bool, acceptSelf bool) bool {
	members := r.log.membership().members
	n := 0
	for _, m := range members {
		accepted := accept
		if m.Name == r.cfg.Self.Name && r.containsSelf(members) {
			accepted = func(pollenlatch.Member) bool { return acceptSelf }
		}
		if accepted(m) {
			n++
		}
	}
	return n > len(members)/2
}

// leaderActive reports whether this voter may act as the leader, or has heard from
// the leader within the minimum election timeout. Meanwhile it denies votes.
func (r *Replica) leaderActive() bool {
	if r.role == leader {
		return r.Leading(r.now)
	}
	return r.now.Sub(r.leaderContactAt) < r.cfg.MinElectionTimeout
}

// candidateRemoved reports whether a candidate was removed, or replaced by another
// incarnation, by a log entry that it does not have.
func (r *Replica) candidateRemoved(from string, m *Message) bool {
	ms := r.log.membership()
	if m.MembershipIndex > ms.index || (m.MembershipIndex == ms.index && ms.index > 0) {
		return false
	}
	for _, v := range ms.members {
		if v.Name == from {
			return !r.matchesSender(v, from, m.FromIncarnation)
		}
	}
	return true
}

func (r *Replica) handleVoteRequest(from string, m *Message) {
	if from == r.cfg.Self.Name || r.leaderActive() || r.candidateRemoved(from, m) {
		return
	}
	reply := Message{Kind: m.Kind + 1, Term: m.Term, ToIncarnation: m.FromIncarnation}
	if m.Kind == KindVote && m.Term > r.hardState.Term {
		r.enterTerm(m.Term)
	}
	canVote := m.Term > r.hardState.Term || (m.Term == r.hardState.Term && (r.hardState.Vote == "" || r.votedFor == memberID{from, m.FromIncarnation}))
	lastTerm := r.log.lastTerm()
	upToDate := m.LogTerm > lastTerm || (m.LogTerm == lastTerm && m.Index >= r.log.lastIndex())
	if !canVote || !upToDate {
		reply.Reject, reply.Term = true, r.hardState.Term
	}
	if m.Kind == KindVote && !reply.Reject {
		if r.hardState.Vote == "" {
			r.setTerm(r.hardState.Term, from)
			r.votedFor = memberID{from, m.FromIncarnation}
		}
		r.markCounted(from)
		r.resetElectionDeadline()
	}
	if reply.Term == 0 {
		return
	}
	r.sendAfterSync(r.newSend(r.replyTarget(from, m), reply))
}

func (r *Replica) handleVoteReply(from string, m *Message) {
	v, ok := r.sendingVoter(from, m)
	if !ok {
		return
	}
	if m.Reject {
		if m.Term > r.hardState.Term {
			r.enterTerm(m.Term)
		}
		return
	}
	switch {
	case m.Kind == KindPreVoteReply && r.role == preCandidate && m.Term == r.hardState.Term+1:
		r.votes[idOf(v)] = true
	case m.Kind == KindVoteReply && r.role == candidate && m.Term == r.hardState.Term:
		r.votes[idOf(v)] = true
		r.countSender(v, m)
	}
}

// countSender records that a vote or acknowledgement of a voter was counted.
func (r *Replica) countSender(v pollenlatch.Member, m *Message) {
	if v.Incarnation == 0 {
		r.bindIncarnation(v.Name, m.FromIncarnation)
	}
	r.markCounted(v.Name)
}

// sendingVoter returns the voter in force that sent a message, or false for
// messages of an earlier term and of other incarnations.
func (r *Replica) sendingVoter(from string, m *Message) (pollenlatch.Member, bool) {
	if m.Term < r.hardState.Term || from == r.cfg.Self.Name {
		return pollenlatch.Member{}, false
	}
	for _, v := range r.log.membership().members {
		if r.matchesSender(v, from, m.FromIncarnation) {
			return v, true
		}
	}
	return pollenlatch.Member{}, false
}
