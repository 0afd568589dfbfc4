package quorum

import "pollenlatch"

// incoming is a snapshot that arrives in pieces.
type incoming struct {
	index uint64
	term  uint64
	from  string
	data  []byte
}

// onLeader handles a message that only a leader sends.
func (r *Replica) onLeader(from string, m *Message) {
	if from == r.cfg.Self.Name || (r.role == leader && m.Term == r.hard.Term) {
		return
	}
	to := r.memberFor(from, m)
	if m.Term < r.hard.Term {
		// Tells a leader of an earlier term that its term has passed.
		r.sendSynced(r.envelope(to, Message{Kind: KindAppendReply, Reject: true}))
		return
	}
	if m.Term > r.hard.Term {
		r.newTerm(m.Term)
	}
	r.setFollower(from)
	r.heard = r.now
	r.resetDeadline()
	switch m.Kind {
	case KindHeartbeat:
		r.learnCommit(min(m.Commit, r.log.last()))
		if m.SentAt != 0 {
			r.sendHard(r.envelope(to, Message{Kind: KindHeartbeatReply, SentAt: m.SentAt}))
		}
	case KindAppend:
		r.onAppend(to, m)
	case KindSnapshotChunk:
		r.onPiece(to, m)
	default:
	}
}

func (r *Replica) learnCommit(index uint64) {
	r.commit = max(r.commit, index)
	if r.incoming.index <= r.commit {
		r.incoming = incoming{} // no longer needed
	}
}

func (r *Replica) onAppend(to pollenlatch.Member, m *Message) {
	entries := m.Entries
	prev, prevTerm := m.Index, m.LogTerm
	if prev < r.commit {
		// Committed entries are equal everywhere; only later ones are compared.
		skip := min(r.commit-prev, uint64(len(entries)))
		entries = entries[skip:]
		prev, prevTerm = r.commit, r.log.termAt(r.commit)
	}
	if prev > r.log.last() || r.log.termAt(prev) != prevTerm {
		r.sendSynced(r.envelope(to, Message{
			Kind: KindAppendReply, Index: m.Index, Reject: true, RejectHint: r.hint(prev, prevTerm),
		}))
		return
	}
	r.take(entries)
	last := prev + uint64(len(entries))
	r.learnCommit(min(m.Commit, last))
	r.sendSynced(r.envelope(to, Message{Kind: KindAppendReply, Index: last}))
}

// take appends entries that follow a matching one, and drops those in the way.
func (r *Replica) take(entries []Entry) {
	for i := range entries {
		e := &entries[i]
		if e.Index <= r.log.last() {
			if r.log.termAt(e.Index) == e.Term {
				continue
			}
			r.log.truncate(e.Index)
			r.disk.drop(e.Index)
		}
		r.log.append(entries[i:]...)
		return
	}
}

// hint returns the last entry that may match a log which has term at prev.
func (r *Replica) hint(prev, term uint64) uint64 {
	if last := r.log.last(); prev > last {
		return last
	}
	h := prev - 1
	for h > r.commit && r.log.termAt(h) > term {
		h--
	}
	return max(h, r.commit)
}

func (r *Replica) onPiece(to pollenlatch.Member, m *Message) {
	if m.Index <= r.commit || r.log.termAt(m.Index) == m.LogTerm {
		r.learnCommit(m.Index)
		r.sendSynced(r.envelope(to, Message{Kind: KindAppendReply, Index: r.commit}))
		return
	}
	in := &r.incoming
	if in.index != m.Index || in.term != m.LogTerm || in.from != to.Name {
		*in = incoming{index: m.Index, term: m.LogTerm, from: to.Name}
	}
	have := uint64(len(in.data))
	if m.Offset != have {
		r.sendHard(r.envelope(to, Message{Kind: KindSnapshotChunkReply, Index: m.Index, Offset: have, Reject: true}))
		return
	}
	in.data = append(in.data, m.Data...)
	have = uint64(len(in.data))
	if have < m.Total {
		r.sendHard(r.envelope(to, Message{Kind: KindSnapshotChunkReply, Index: m.Index, Offset: have}))
		return
	}
	s := Snapshot{Index: m.Index, Term: m.LogTerm, Members: m.Members, Data: in.data}
	*in = incoming{}
	r.disk.replace(&s)
	r.log.reset(s)
	r.commit = s.Index
	r.restore = &s
	r.sendSynced(r.envelope(to, Message{Kind: KindAppendReply, Index: s.Index}))
}
