package quorum

import (
	"slices"
	"time"

	"pollenlatch"
)

// Flow control and limits.
const (
	appendBytes  = 64 << 10 // of entries in one message; one entry may exceed it
	appendWindow = 16       // unanswered Append messages to one voter
	entryBytes   = 8 << 20  // largest data of one entry
	backlogBytes = 32 << 20 // uncommitted data at which proposals are rejected
)

// peer is what the leader knows of another voter, or of a non-voter that
// copies the log.
type peer struct {
	member   pollenlatch.Member
	match    uint64 // known to be synced there
	next     uint64
	probing  bool     // next is a guess, so one message at a time
	inflight []uint64 // last index of each unanswered Append
	first    uint64   // next when nothing was in flight
	sentAt   pollenlatch.MonoTime
	answered pollenlatch.MonoTime // when the newest answered heartbeat was sent
	alive    bool                 // a heartbeat was answered

	snapshot *Snapshot // being sent
	offset   uint64    // bytes that have arrived
	waiting  bool      // for the answer to a piece
}

type leading struct {
	peers   []*peer
	elected pollenlatch.MonoTime
	beat    pollenlatch.MonoTime // next heartbeat
	first   uint64               // first entry of the own term
	backlog int                  // bytes proposed and not yet committed
	change  *ChangeMembership
}

// Leading reports whether this voter may act as the leader: a majority has
// answered a heartbeat that was sent less than the shortest election timeout
// ago. The timeout is reduced for 1% of clock drift. Until then no majority
// gives its votes to another.
func (r *Replica) Leading(now pollenlatch.MonoTime) bool {
	if r.halted || r.role != leader {
		return false
	}
	window := r.cfg.MinElectionTimeout * 100 / 101
	return r.majority(func(m pollenlatch.Member) bool {
		p := r.peer(m)
		return p != nil && p.alive && r.counted(m.Name) && now.Sub(p.answered) < window
	}, true)
}

func (r *Replica) peer(m pollenlatch.Member) *peer {
	for _, p := range r.leading.peers {
		if idOf(p.member) == idOf(m) || r.sameVoter(p.member, m) {
			return p
		}
	}
	return nil
}

// lead starts a term of leadership with an entry of its own, which makes
// earlier entries committable.
func (r *Replica) lead() {
	r.role, r.leader = leader, r.cfg.Self.Name
	r.leading = leading{elected: r.now, beat: r.now, first: r.log.last() + 1}
	e := Entry{Index: r.leading.first, Term: r.hard.Term}
	if g := r.log.group(); g.index == 0 {
		e.Members = g.members
	}
	r.log.append(e)
	r.setPeers()
	r.heartbeat()
}

// setPeers follows a change of the group.
func (r *Replica) setPeers() {
	wanted := r.others()
	if c := r.leading.change; c != nil {
		for _, m := range c.Members {
			known := slices.ContainsFunc(wanted, func(w pollenlatch.Member) bool { return idOf(w) == idOf(m) })
			if !known && m.Name != r.cfg.Self.Name {
				wanted = append(wanted, m)
			}
		}
	}
	peers := make([]*peer, 0, len(wanted))
	for _, m := range wanted {
		p := r.peer(m)
		if p == nil {
			p = &peer{next: r.log.last(), probing: true}
			p.next = max(p.next, 1)
		}
		p.member = m
		peers = append(peers, p)
	}
	r.leading.peers = peers
}

func (r *Replica) tickLeader() {
	if r.now.Sub(r.contact()) >= 2*r.cfg.MinElectionTimeout {
		r.setFollower("")
		r.resetDeadline()
		return
	}
	retry := 2 * r.cfg.HeartbeatInterval
	for _, p := range r.leading.peers {
		if (p.waiting || len(p.inflight) > 0) && r.now.Sub(p.sentAt) >= retry {
			p.restart()
		}
	}
	if r.now >= r.leading.beat {
		r.heartbeat()
	}
}

// restart sends again what was not answered.
func (p *peer) restart() {
	if len(p.inflight) > 0 {
		p.next = max(p.first, p.match+1)
	}
	p.probing, p.waiting = true, false
	p.inflight = nil
}

// contact returns when a majority was last known to follow, or the time of the
// election.
func (r *Replica) contact() pollenlatch.MonoTime {
	var times []pollenlatch.MonoTime
	for _, m := range r.log.group().members {
		switch p := r.peer(m); {
		case m.Name == r.cfg.Self.Name:
			times = append(times, r.now)
		case p != nil && p.alive:
			times = append(times, p.answered)
		default:
			times = append(times, r.leading.elected)
		}
	}
	slices.Sort(times)
	return max(times[(len(times)-1)/2], r.leading.elected)
}

func (r *Replica) heartbeat() {
	r.leading.beat = r.now.Add(r.cfg.HeartbeatInterval)
	for _, p := range r.leading.peers {
		r.sendCommit(p, int64(r.now))
	}
}

func (r *Replica) sendCommit(p *peer, sent int64) {
	r.send(p.member, Message{
		Kind: KindHeartbeat, ReceiverIsMember: r.copiesTo(p), SentAt: sent, Commit: min(p.match, r.commit),
	})
}

// copiesTo reports whether a peer may trust this leader although its own log
// does not name it.
func (r *Replica) copiesTo(p *peer) bool {
	return p.member.Incarnation != 0 && (r.names(p.member) || !slices.ContainsFunc(r.others(),
		func(m pollenlatch.Member) bool { return idOf(m) == idOf(p.member) }))
}

// replicate sends what the flow control allows.
func (r *Replica) replicate() {
	if r.role != leader {
		return
	}
	for _, p := range r.leading.peers {
		r.feed(p)
	}
}

func (r *Replica) feed(p *peer) {
	for {
		if p.snapshot == nil && p.next <= r.log.offset {
			s := r.log.snapshot
			p.snapshot, p.offset, p.waiting, p.inflight = &s, 0, false, nil
		}
		if p.snapshot != nil {
			r.sendPiece(p)
			return
		}
		window := appendWindow
		if p.probing {
			window = 1
		}
		if p.next > r.log.last() || len(p.inflight) >= window {
			return
		}
		if len(p.inflight) == 0 {
			p.first = p.next
		}
		entries := slices.Clone(r.log.from(p.next, appendBytes))
		r.send(p.member, Message{
			Kind: KindAppend, ReceiverIsMember: r.copiesTo(p), Index: p.next - 1, LogTerm: r.log.termAt(p.next - 1),
			Entries: entries, Commit: r.commit,
		})
		p.next += uint64(len(entries))
		p.inflight = append(p.inflight, p.next-1)
		p.sentAt = r.now
	}
}

func (r *Replica) sendPiece(p *peer) {
	if p.waiting {
		return
	}
	s := p.snapshot
	total := uint64(len(s.Data))
	p.offset = min(p.offset, total)
	end := min(p.offset+pollenlatch.ChunkBytes, total)
	r.send(p.member, Message{
		Kind: KindSnapshotChunk, ReceiverIsMember: r.copiesTo(p), Index: s.Index, LogTerm: s.Term, Members: s.Members,
		Offset: p.offset, Total: total, Data: s.Data[p.offset:end],
	})
	p.waiting, p.sentAt = true, r.now
}

// onFollower handles an answer to the leader.
func (r *Replica) onFollower(from string, m *Message) {
	var p *peer
	for _, q := range r.leading.peers {
		if m.Term >= r.hard.Term && r.isFrom(q.member, from, m.FromIncarnation) {
			p = q
		}
	}
	if p == nil || r.role != leader {
		return
	}
	if m.Term > r.hard.Term {
		r.newTerm(m.Term)
		return
	}
	r.count(p.member, m)
	switch m.Kind {
	case KindHeartbeatReply:
		if sent := pollenlatch.MonoTime(m.SentAt); sent <= r.now && (!p.alive || sent > p.answered) {
			p.alive, p.answered = true, sent
		}
	case KindAppendReply:
		r.onAck(p, m)
	case KindSnapshotChunkReply:
		if p.snapshot != nil && p.snapshot.Index == m.Index && m.Offset != p.offset {
			p.offset, p.waiting = m.Offset, false
		}
	default:
	}
}

func (r *Replica) onAck(p *peer, m *Message) {
	if m.Index > r.log.last() {
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
		p.snapshot, p.waiting = nil, false
	}
}

// advanceCommit commits what a majority has synced, once an entry of the own
// term is among it.
func (r *Replica) advanceCommit() {
	if r.role != leader {
		return
	}
	members := r.log.group().members
	matches := make([]uint64, 0, len(members))
	for _, m := range members {
		switch p := r.peer(m); {
		case m.Name == r.cfg.Self.Name:
			matches = append(matches, r.disk.synced)
		case p != nil && r.counted(m.Name):
			matches = append(matches, p.match)
		default:
			matches = append(matches, 0)
		}
	}
	slices.Sort(matches)
	n := matches[(len(matches)-1)/2]
	if n <= r.commit || (r.log.termAt(n) != r.hard.Term && !r.rules.oldTermCommit) {
		return
	}
	for i := r.commit + 1; i <= n; i++ {
		r.leading.backlog -= len(r.log.entries[i-r.log.offset-1].Data)
	}
	r.leading.backlog = max(r.leading.backlog, 0)
	r.commit = n
	for _, p := range r.leading.peers {
		// Others learn the index with their next entries.
		if p.match == r.log.last() {
			r.sendCommit(p, 0)
		}
	}
}

func (r *Replica) propose(p Propose) {
	size, reason := 0, ""
	for _, d := range p.Data {
		size += len(d)
		if len(d) == 0 || len(d) > entryBytes {
			reason = "data of an entry must have 1 byte to 8 MiB"
		}
	}
	switch {
	case r.role != leader:
		reason = "this voter does not lead"
	case len(p.Data) == 0:
		reason = "proposal without data"
	case reason == "" && r.leading.backlog > 0 && r.leading.backlog+size > backlogBytes:
		reason = "too much uncommitted data"
	}
	if reason != "" {
		r.emit(Rejected{p.ID, reason})
		return
	}
	r.leading.backlog += size
	r.emit(Accepted{ID: p.ID, Index: r.log.last() + 1, Term: r.hard.Term})
	for _, d := range p.Data {
		r.log.append(Entry{Index: r.log.last() + 1, Term: r.hard.Term, Data: d})
	}
}

// age returns the time since a peer's newest answered heartbeat was sent.
func (r *Replica) age(p *peer) time.Duration { return r.now.Sub(p.answered) }
