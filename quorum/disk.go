package quorum

import (
	"slices"

	"pollenlatch"
)

// diskState tracks what is synced. At most one Persist is outstanding; what
// changes meanwhile goes into the next one, so that one sync covers many
// proposals.
type diskState struct {
	seq         uint64 // last Persist emitted
	done        uint64 // last Persist that was reported
	given       uint64 // entries up to here were put into a Persist
	synced      uint64 // entries up to here are synced
	pending     uint64 // last entry of the outstanding Persist
	pendingSeen []string
	seen        []string // synced part of Hard.Seen

	hard     bool   // Hard changed
	hardSeq  uint64 // last Persist with a change of Hard
	commit   uint64 // in the last Persist
	truncate uint64
	snapshot *Snapshot
	held     []heldMessage
}

// heldMessage waits for a Persist.
type heldMessage struct {
	seq  uint64
	send Send
}

func (d *diskState) start(last, commit uint64, seen []string) {
	d.given, d.synced = last, last
	d.commit, d.seen = commit, seen
}

// drop notes that the entries from index on are not in the log any more.
func (d *diskState) drop(index uint64) {
	if index <= d.given {
		d.given = index - 1
		if d.truncate == 0 || index < d.truncate {
			d.truncate = index
		}
	}
	d.synced = min(d.synced, index-1)
	d.pending = min(d.pending, index-1)
}

// replace notes that a received snapshot replaces the whole log.
func (d *diskState) replace(s *Snapshot) {
	if d.given > s.Index {
		d.drop(s.Index + 1)
	}
	d.given = s.Index
	d.synced, d.pending = 0, 0
	d.snapshot = s
}

func (r *Replica) dirty() bool {
	d := &r.disk
	return d.hard || d.truncate > 0 || d.snapshot != nil || r.log.last() > d.given
}

// syncSeq is the Persist that covers everything up to now.
func (r *Replica) syncSeq() uint64 {
	if r.dirty() {
		return r.disk.seq + 1
	}
	return r.disk.seq
}

// sendSynced sends a message once everything up to now is synced.
func (r *Replica) sendSynced(s Send) { r.hold(r.syncSeq(), s) }

// sendHard sends a message once Hard is synced. It is for answers that say
// nothing of entries, so that a disk that is busy with entries does not make a
// leader lose its majority.
func (r *Replica) sendHard(s Send) {
	seq := r.disk.hardSeq
	if r.disk.hard {
		seq = r.disk.seq + 1
	}
	r.hold(seq, s)
}

func (r *Replica) hold(seq uint64, s Send) {
	if seq <= r.disk.done || r.rules.earlyAck {
		r.emit(s)
		return
	}
	r.disk.held = append(r.disk.held, heldMessage{seq, s})
}

// flush emits the next Persist if one is needed and none is outstanding.
func (r *Replica) flush() {
	d := &r.disk
	if d.done < d.seq || !r.dirty() {
		return
	}
	d.seq++
	if d.hard {
		d.hardSeq = d.seq
	}
	// A snapshot is not written together with the rest. After a crash in
	// between, the commit index must not cover entries that it replaces.
	if d.snapshot == nil {
		d.commit = r.commit
	}
	r.hard.Commit = d.commit
	p := Persist{Seq: d.seq, Snapshot: d.snapshot, TruncateFrom: d.truncate}
	// Hard goes along with every Persist: the commit index is cheap there.
	hard := r.hard
	hard.CountedVoters = slices.Clone(r.hard.CountedVoters)
	p.HardState = &hard
	if last := r.log.last(); last > d.given {
		p.Entries = slices.Clone(r.log.entries[d.given-r.log.offset:])
	}
	d.given = r.log.last()
	d.pending = d.given
	d.pendingSeen = hard.CountedVoters
	d.hard, d.truncate, d.snapshot = false, 0, nil
	r.emit(p)
}

func (r *Replica) persisted(p Persisted) {
	d := &r.disk
	if p.Seq != d.seq || d.done == d.seq {
		return
	}
	if p.Err != nil {
		r.halt(p.Err)
		return
	}
	d.done = p.Seq
	d.synced = max(d.synced, d.pending)
	d.seen = d.pendingSeen
	d.held = slices.DeleteFunc(d.held, func(h heldMessage) bool {
		if h.seq <= d.done {
			r.emit(h.send)
		}
		return h.seq <= d.done
	})
}

func (r *Replica) halt(err error) {
	r.setFollower("")
	r.showRole()
	r.halted = true
	r.emit(Halt{err})
}

// markSeen notes in Hard that a voter of this name was counted.
func (r *Replica) markSeen(name string) {
	if !slices.Contains(r.hard.CountedVoters, name) {
		r.hard.CountedVoters = append(r.hard.CountedVoters, name)
		r.disk.hard = true
	}
}

// counted reports whether a vote or acknowledgement of a voter may be counted:
// that it was seen must be synced first.
func (r *Replica) counted(name string) bool { return slices.Contains(r.disk.seen, name) }

func (r *Replica) setTerm(term uint64, vote string) {
	r.hard.Term, r.hard.Vote = term, vote
	r.votedFor = memberID{}
	r.disk.hard = true
}

// send fills in the addressing and sends now.
func (r *Replica) send(to pollenlatch.Member, m Message) { r.emit(r.envelope(to, m)) }

func (r *Replica) envelope(to pollenlatch.Member, m Message) Send {
	if m.Term == 0 {
		m.Term = r.hard.Term
	}
	m.FromIncarnation = r.cfg.Self.Incarnation
	m.FromAddr = r.cfg.Self.Addr
	if m.ToIncarnation == 0 {
		m.ToIncarnation = to.Incarnation
	}
	return Send{To: to, Message: m}
}
