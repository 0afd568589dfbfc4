package quorum

import (
	"slices"
	"time"

	"pollenlatch"
)

// Limits of proposals and of replication.
const (
	maxAppendBytes      = 64 << 10 // of entries in one Append message; a single entry may be larger
	maxInflightAppends  = 16       // Append messages to one peer without a reply
	maxEntryBytes       = 8 << 20  // of the data of one entry
	maxUncommittedBytes = 32 << 20 // of uncommitted data; proposals beyond it are rejected unless there is none yet
)

// peer is the leader's view of another voter, or of a learner that replicates the
// log before it becomes a voter.
type peer struct {
	member             pollenlatch.Member
	match              uint64 // highest index that is known to be synced there
	next               uint64
	probing            bool     // next is a guess, so only one Append is in flight
	inflight           []uint64 // last index of each Append without a reply
	firstInflight      uint64   // value of next when no Append was in flight last
	lastSentAt         pollenlatch.MonoTime
	lastAckedHeartbeat pollenlatch.MonoTime // sending time of the newest acknowledged heartbeat
	hasAckedHeartbeat  bool                 // lastAckedHeartbeat is set

	snapshot       *Snapshot // being sent
	snapshotOffset uint64    // bytes that the peer has received
	chunkInflight  bool      // a chunk was sent and has no reply yet
}

type leaderState struct {
	peers            []*peer
	electedAt        pollenlatch.MonoTime
	nextHeartbeatAt  pollenlatch.MonoTime
	firstOfTerm      uint64 // index of the leader's first entry in its term
	uncommittedBytes int    // of data proposed and not yet committed
	pendingChange    *ChangeMembership
}

// Leading reports whether this voter may act as the leader: a majority has
// acknowledged a heartbeat that was sent less than the minimum election timeout
// ago, reduced to allow for 1% of clock drift. For that long, no majority votes for
// another voter.
func (r *Replica) Leading(now pollenlatch.MonoTime) bool {
	if r.halted || r.role != leader {
		return false
	}
	window := r.cfg.MinElectionTimeout * 100 / 101
	return r.hasMajority(func(m pollenlatch.Member) bool {
		p := r.peer(m)
		return p != nil && p.hasAckedHeartbeat && r.mayCount(m.Name) && now.Sub(p.lastAckedHeartbeat) < window
	}, true)
}

func (r *Replica) peer(m pollenlatch.Member) *peer {
	for _, p := range r.leaderState.peers {
		if idOf(p.member) == idOf(m) || r.sameVoter(p.member, m) {
			return p
		}
	}
	return nil
}

// becomeLeader appends an entry of the new term. Entries of earlier terms can be
// committed only together with it.
func (r *Replica) becomeLeader() {
	r.role, r.leader = leader, r.cfg.Self.Name
	r.leaderState = leaderState{electedAt: r.now, nextHeartbeatAt: r.now, firstOfTerm: r.log.lastIndex() + 1}
	e := Entry{Index: r.leaderState.firstOfTerm, Term: r.hardState.Term}
	if ms := r.log.membership(); ms.index == 0 {
		e.Members = ms.members
	}
	r.log.append(e)
	r.updatePeers()
	r.broadcastHeartbeat()
}

// updatePeers sets the peers to the other voters in force and the learners of a
// pending membership change.
func (r *Replica) updatePeers() {
	members := r.otherVoters()
	if c := r.leaderState.pendingChange; c != nil {
		for _, m := range c.Members {
			isVoter := slices.ContainsFunc(members, func(w pollenlatch.Member) bool { return idOf(w) == idOf(m) })
			if !isVoter && m.Name != r.cfg.Self.Name {
				members = append(members, m)
			}
		}
	}
	peers := make([]*peer, 0, len(members))
	for _, m := range members {
		p := r.peer(m)
		if p == nil {
			p = &peer{next: r.log.lastIndex(), probing: true}
			p.next = max(p.next, 1)
		}
		p.member = m
		peers = append(peers, p)
	}
	r.leaderState.peers = peers
}

func (r *Replica) tickLeader() {
	diskBlocked := r.disk.blocked(r.now) && !r.isOnlyVoter()
	if diskBlocked || r.now.Sub(r.majorityContactAt()) >= 2*r.cfg.MinElectionTimeout {
		r.becomeFollower("")
		r.resetElectionDeadline()
		return
	}
	resendTimeout := 2 * r.cfg.HeartbeatInterval
	for _, p := range r.leaderState.peers {
		if (p.chunkInflight || len(p.inflight) > 0) && r.now.Sub(p.lastSentAt) >= resendTimeout {
			p.resumeProbing()
		}
	}
	if r.now >= r.leaderState.nextHeartbeatAt {
		r.broadcastHeartbeat()
	}
}

// resumeProbing makes the leader send again what the peer has not replied to, one
// message at a time.
func (p *peer) resumeProbing() {
	if len(p.inflight) > 0 {
		p.next = max(p.firstInflight, p.match+1)
	}
	p.probing, p.chunkInflight = true, false
	p.inflight = nil
}

// majorityContactAt returns the latest time for which a majority has acknowledged
// heartbeats that were sent then or later, or else the time of the election.
func (r *Replica) majorityContactAt() pollenlatch.MonoTime {
	var times []pollenlatch.MonoTime
	for _, m := range r.log.membership().members {
		switch p := r.peer(m); {
		case m.Name == r.cfg.Self.Name:
			times = append(times, r.now)
		case p != nil && p.hasAckedHeartbeat:
			times = append(times, p.lastAckedHeartbeat)
		default:
			times = append(times, r.leaderState.electedAt)
		}
	}
	slices.Sort(times)
	return max(times[(len(times)-1)/2], r.leaderState.electedAt)
}

func (r *Replica) broadcastHeartbeat() {
	r.leaderState.nextHeartbeatAt = r.now.Add(r.cfg.HeartbeatInterval)
	for _, p := range r.leaderState.peers {
		r.sendHeartbeat(p, int64(r.now))
	}
}

func (r *Replica) sendHeartbeat(p *peer, sentAt int64) {
	r.send(p.member, Message{
		Kind: KindHeartbeat, ReceiverIsMember: r.isMember(p), SentAt: sentAt, Commit: min(p.match, r.commit),
	})
}

// isMember reports whether messages to a peer are marked with ReceiverIsMember, so
// that it follows this leader although its own log does not contain it yet.
func (r *Replica) isMember(p *peer) bool {
	return p.member.Incarnation != 0 && (r.incarnationInLog(p.member) || !slices.ContainsFunc(r.otherVoters(),
		func(m pollenlatch.Member) bool { return idOf(m) == idOf(p.member) }))
}

// replicate sends entries or snapshot chunks to all peers, as far as the limits for
// messages in flight allow.
func (r *Replica) replicate() {
	if r.role != leader {
		return
	}
	for _, p := range r.leaderState.peers {
		r.replicateTo(p)
	}
}

func (r *Replica) replicateTo(p *peer) {
	for {
		if p.snapshot == nil && p.next <= r.log.offset {
			s := r.log.snapshot
			p.snapshot, p.snapshotOffset, p.chunkInflight, p.inflight = &s, 0, false, nil
		}
		if p.snapshot != nil {
			r.sendSnapshotChunk(p)
			return
		}
		window := maxInflightAppends
		if p.probing {
			window = 1
		}
		if p.next > r.log.lastIndex() || len(p.inflight) >= window {
			return
		}
		if len(p.inflight) == 0 {
			p.firstInflight = p.next
		}
		entries := slices.Clone(r.log.entriesFrom(p.next, maxAppendBytes))
		r.send(p.member, Message{
			Kind: KindAppend, ReceiverIsMember: r.isMember(p), Index: p.next - 1, LogTerm: r.log.termAt(p.next - 1),
			Entries: entries, Commit: r.commit,
		})
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
		p.lastSentAt = r.now
	}
}

func (r *Replica) sendSnapshotChunk(p *peer) {
	if p.chunkInflight {
		return
	}
	s := p.snapshot
	total := uint64(len(s.Data))
	p.snapshotOffset = min(p.snapshotOffset, total)
	end := min(p.snapshotOffset+pollenlatch.ChunkBytes, total)
	r.send(p.member, Message{
		Kind: KindSnapshotChunk, ReceiverIsMember: r.isMember(p), Index: s.Index, LogTerm: s.Term, Members: s.Members,
		Offset: p.snapshotOffset, Total: total, Data: s.Data[p.snapshotOffset:end],
	})
	p.chunkInflight, p.lastSentAt = true, r.now
}

// handleFollowerReply handles the reply of a peer to a message of this leader.
func (r *Replica) handleFollowerReply(from string, m *Message) {
	var p *peer
	for _, q := range r.leaderState.peers {
		if m.Term >= r.hardState.Term && r.matchesSender(q.member, from, m.FromIncarnation) {
			p = q
		}
	}
	if p == nil || r.role != leader {
		return
	}
	if m.Term > r.hardState.Term {
		r.enterTerm(m.Term)
		return
	}
	r.countSender(p.member, m)
	switch m.Kind {
	case KindHeartbeatReply:
		if sentAt := pollenlatch.MonoTime(m.SentAt); sentAt <= r.now && (!p.hasAckedHeartbeat || sentAt > p.lastAckedHeartbeat) {
			p.hasAckedHeartbeat, p.lastAckedHeartbeat = true, sentAt
		}
	case KindAppendReply:
		r.handleAppendReply(p, m)
	case KindSnapshotChunkReply:
		if p.snapshot != nil && p.snapshot.Index == m.Index && m.Offset != p.snapshotOffset {
			p.snapshotOffset, p.chunkInflight = m.Offset, false
		}
	default:
	}
}

func (r *Replica) handleAppendReply(p *peer, m *Message) {
	if m.Index > r.log.lastIndex() {
		return
	}
	if m.Reject {
		if m.Index > p.match && p.snapshot == nil {
			p.next = max(p.match+1, min(m.RejectHint+1, m.Index))
			p.probing, p.inflight = true, nil
		}
		return
	}
	p.inflight = slices.DeleteFunc(p.inflight, func(last uint64) bool { return last <= m.Index })
	if m.Index > p.match || len(p.inflight) == 0 {
		p.probing = false
	}
	p.match = max(p.match, m.Index)
	p.next = max(p.next, p.match+1)
	if p.snapshot != nil && p.match >= p.snapshot.Index {
		p.snapshot, p.chunkInflight = nil, false
	}
}

// advanceCommit commits what a majority has synced, provided that its last entry is
// of the current term.
func (r *Replica) advanceCommit() {
	if r.role != leader {
		return
	}
	members := r.log.membership().members
	matches := make([]uint64, 0, len(members))
	for _, m := range members {
		switch p := r.peer(m); {
		case m.Name == r.cfg.Self.Name:
			matches = append(matches, r.disk.syncedIndex)
		case p != nil && r.mayCount(m.Name):
			matches = append(matches, p.match)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	majorityMatch := matches[(len(matches)-1)/2]
	if majorityMatch <= r.commit || (r.log.termAt(majorityMatch) != r.hardState.Term && !r.faults.commitOldTerm) {
		return
	}
	for i := r.commit + 1; i <= majorityMatch; i++ {
		r.leaderState.uncommittedBytes -= len(r.log.entries[i-r.log.offset-1].Data)
	}
	r.leaderState.uncommittedBytes = max(r.leaderState.uncommittedBytes, 0)
	r.commit = majorityMatch
	for _, p := range r.leaderState.peers {
		// Other peers receive the commit index with their next entries.
		if p.match == r.log.lastIndex() {
			r.sendHeartbeat(p, 0)
		}
	}
}

func (r *Replica) propose(p Propose) {
	size, reason := 0, ""
	for _, d := range p.Data {
		size += len(d)
		if len(d) == 0 || len(d) > maxEntryBytes {
			reason = "data of an entry must have between 1 byte and 8 MiB"
		}
	}
	switch {
	case r.role != leader:
		reason = "this voter is not the leader"
	case len(p.Data) == 0:
		reason = "proposal without data"
	case reason == "" && r.leaderState.uncommittedBytes > 0 && r.leaderState.uncommittedBytes+size > maxUncommittedBytes:
		reason = "too much uncommitted data"
	}
	if reason != "" {
		r.emit(Rejected{p.ID, reason})
		return
	}
	r.leaderState.uncommittedBytes += size
	r.emit(Accepted{ID: p.ID, Index: r.log.lastIndex() + 1, Term: r.hardState.Term})
	for _, d := range p.Data {
		r.log.append(Entry{Index: r.log.lastIndex() + 1, Term: r.hardState.Term, Data: d})
	}
}

// sinceHeartbeatAck returns the time since the newest heartbeat that a peer
// acknowledged was sent.
func (r *Replica) sinceHeartbeatAck(p *peer) time.Duration { return r.now.Sub(p.lastAckedHeartbeat) }
