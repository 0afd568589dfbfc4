package quorum

import "pollenlatch"

// incomingSnapshot is a snapshot whose chunks are being received.
type incomingSnapshot struct {
	index uint64
	term  uint64
	from  string
	data  []byte
}

// handleLeaderMessage handles a message that only a leader sends.
func (r *Replica) handleLeaderMessage(from string, m *Message) {
	if from == r.cfg.Self.Name || (r.role == leader && m.Term == r.hardState.Term) {
		return
	}
	to := r.replyTarget(from, m)
	if m.Term < r.hardState.Term {
		// Informs the leader of an earlier term about the current term.
		r.sendAfterSync(r.newSend(to, Message{Kind: KindAppendReply, Reject: true}))
		return
	}
	if m.Term > r.hardState.Term {
		r.enterTerm(m.Term)
	}
	r.becomeFollower(from)
	r.leaderContactAt = r.now
	r.resetElectionDeadline()
	switch m.Kind {
	case KindHeartbeat:
		r.raiseCommit(min(m.Commit, r.log.lastIndex()))
		if m.SentAt != 0 {
			r.sendAfterHardState(r.newSend(to, Message{Kind: KindHeartbeatReply, SentAt: m.SentAt}))
		}
	case KindAppend:
		r.handleAppend(to, m)
	case KindSnapshotChunk:
		r.handleSnapshotChunk(to, m)
	default:
	}
}

func (r *Replica) raiseCommit(index uint64) {
	r.commit = max(r.commit, index)
	if r.incoming.index <= r.commit {
		r.incoming = incomingSnapshot{} // obsolete
	}
}

func (r *Replica) handleAppend(to pollenlatch.Member, m *Message) {
	entries := m.Entries
	prev, prevTerm := m.Index, m.LogTerm
	if prev < r.commit {
		// Committed entries are the same on all voters; only later ones are compared.
		skip := min(r.commit-prev, uint64(len(entries)))
		entries = entries[skip:]
		prev, prevTerm = r.commit, r.log.termAt(r.commit)
	}
	if prev > r.log.lastIndex() || r.log.termAt(prev) != prevTerm {
		r.sendAfterSync(r.newSend(to, Message{
			Kind: KindAppendReply, Index: m.Index, Reject: true, RejectHint: r.rejectHint(prev, prevTerm),
		}))
		return
	}
	r.appendEntries(entries)
	last := prev + uint64(len(entries))
	r.raiseCommit(min(m.Commit, last))
	r.sendAfterSync(r.newSend(to, Message{Kind: KindAppendReply, Index: last}))
}

// appendEntries appends entries whose predecessor matches, and drops conflicting
// entries of its own log.
func (r *Replica) appendEntries(entries []Entry) {
	for i := range entries {
		e := &entries[i]
		if e.Index <= r.log.lastIndex() {
			if r.log.termAt(e.Index) == e.Term {
				continue
			}
			r.log.truncate(e.Index)
			r.disk.noteTruncated(e.Index)
		}
		r.log.append(entries[i:]...)
		return
	}
}

// rejectHint returns the index of the last entry that may match the log of a leader
// whose entry at prev has the term prevTerm.
func (r *Replica) rejectHint(prev, prevTerm uint64) uint64 {
	if last := r.log.lastIndex(); prev > last {
		return last
	}
	hint := prev - 1
	for hint > r.commit && r.log.termAt(hint) > prevTerm {
		hint--
	}
	return max(hint, r.commit)
}

func (r *Replica) handleSnapshotChunk(to pollenlatch.Member, m *Message) {
	if m.Index <= r.commit || r.log.termAt(m.Index) == m.LogTerm {
		r.raiseCommit(m.Index)
		r.sendAfterSync(r.newSend(to, Message{Kind: KindAppendReply, Index: r.commit}))
		return
	}
	in := &r.incoming
	if in.index != m.Index || in.term != m.LogTerm || in.from != to.Name {
		*in = incomingSnapshot{index: m.Index, term: m.LogTerm, from: to.Name}
	}
	received := uint64(len(in.data))
	if m.Offset != received {
		r.sendAfterHardState(r.newSend(to, Message{Kind: KindSnapshotChunkReply, Index: m.Index, Offset: received, Reject: true}))
		return
	}
	in.data = append(in.data, m.Data...)
	received = uint64(len(in.data))
	if received < m.Total {
		r.sendAfterHardState(r.newSend(to, Message{Kind: KindSnapshotChunkReply, Index: m.Index, Offset: received}))
		return
	}
	s := Snapshot{Index: m.Index, Term: m.LogTerm, Members: m.Members, Data: in.data}
	*in = incomingSnapshot{}
	r.disk.noteReplaced(&s)
	r.log.reset(s)
	r.commit = s.Index
	r.pendingRestore = &s
	r.sendAfterSync(r.newSend(to, Message{Kind: KindAppendReply, Index: s.Index}))
}
