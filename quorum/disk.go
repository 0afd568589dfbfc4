package quorum

import (
	"slices"
	"time"

	"pollenlatch"
)

// diskState tracks which parts of the replica's state are synced. At most one
// Persist is in flight. Later changes are collected for the next one, so that one
// sync covers many proposals.
type diskState struct {
	emittedSeq      uint64               // of the last Persist emitted
	emittedAt       pollenlatch.MonoTime // when the last Persist was emitted
	completedSeq    uint64               // of the last Persist that was reported as complete
	emittedIndex    uint64               // last entry that was part of a Persist
	syncedIndex     uint64               // last entry that is synced
	inflightIndex   uint64               // last entry that the Persist in flight covers
	inflightCounted []string             // HardState.CountedVoters in the Persist in flight
	syncedCounted   []string             // HardState.CountedVoters that are synced

	hardStateChanged bool          // since the last Persist
	hardStateSeq     uint64        // of the last Persist with a changed HardState
	emittedCommit    uint64        // commit index in the last Persist
	truncateFrom     uint64        // for the next Persist; 0 truncates nothing
	snapshot         *Snapshot     // for the next Persist; may be nil
	delayed          []delayedSend // waiting for a Persist
}

// maxPersistTime is how long a Persist may take before a leader steps down and a
// follower stops campaigning. A slow disk takes tens of milliseconds for a sync; a full
// or stalled one takes seconds, in which a leader could not acknowledge anything.
const maxPersistTime = time.Second

// blocked reports whether the Persist in flight takes longer than maxPersistTime.
func (d *diskState) blocked(now pollenlatch.MonoTime) bool {
	return d.completedSeq < d.emittedSeq && now.Sub(d.emittedAt) >= maxPersistTime
}

// delayedSend is a message that must not be sent before a Persist is complete.
type delayedSend struct {
	seq  uint64 // of the Persist
	send Send
}

func (d *diskState) start(last, commit uint64, counted []string) {
	d.emittedIndex, d.syncedIndex = last, last
	d.emittedCommit, d.syncedCounted = commit, counted
}

// noteTruncated records that the log no longer contains the entries from index on.
func (d *diskState) noteTruncated(index uint64) {
	if index <= d.emittedIndex {
		d.emittedIndex = index - 1
		if d.truncateFrom == 0 || index < d.truncateFrom {
			d.truncateFrom = index
		}
	}
	d.syncedIndex = min(d.syncedIndex, index-1)
	d.inflightIndex = min(d.inflightIndex, index-1)
}

// noteReplaced records that a received snapshot has replaced the whole log.
func (d *diskState) noteReplaced(s *Snapshot) {
	if d.emittedIndex > s.Index {
		d.noteTruncated(s.Index + 1)
	}
	d.emittedIndex = s.Index
	d.syncedIndex, d.inflightIndex = 0, 0
	d.snapshot = s
}

func (r *Replica) dirty() bool {
	d := &r.disk
	return d.hardStateChanged || d.truncateFrom > 0 || d.snapshot != nil || r.log.lastIndex() > d.emittedIndex
}

// coveringSeq returns the Seq of the Persist that covers the current state.
func (r *Replica) coveringSeq() uint64 {
	if r.dirty() {
		return r.disk.emittedSeq + 1
	}
	return r.disk.emittedSeq
}

// sendAfterSync sends a message once the current state is synced.
func (r *Replica) sendAfterSync(s Send) { r.sendAfter(r.coveringSeq(), s) }

// sendAfterHardState sends a message once HardState is synced. It is for replies
// that do not acknowledge entries: if they waited for entries too, a slow disk
// could make a leader lose its majority.
func (r *Replica) sendAfterHardState(s Send) {
	seq := r.disk.hardStateSeq
	if r.disk.hardStateChanged {
		seq = r.disk.emittedSeq + 1
	}
	r.sendAfter(seq, s)
}

func (r *Replica) sendAfter(seq uint64, s Send) {
	if seq <= r.disk.completedSeq || r.faults.ackBeforeSync {
		r.emit(s)
		return
	}
	r.disk.delayed = append(r.disk.delayed, delayedSend{seq, s})
}

// flush emits the next Persist if one is needed and none is in flight.
func (r *Replica) flush() {
	d := &r.disk
	if d.completedSeq < d.emittedSeq || !r.dirty() {
		return
	}
	d.emittedSeq++
	d.emittedAt = r.now
	if d.hardStateChanged {
		d.hardStateSeq = d.emittedSeq
	}
	// The store writes the snapshot and the rest separately. After a crash in
	// between, the commit index must not cover entries that the snapshot replaces.
	if d.snapshot == nil {
		d.emittedCommit = r.commit
	}
	r.hardState.Commit = d.emittedCommit
	p := Persist{Seq: d.emittedSeq, Snapshot: d.snapshot, TruncateFrom: d.truncateFrom}
	// Every Persist contains HardState, to store the commit index without a sync of its own.
	hardState := r.hardState
	hardState.CountedVoters = slices.Clone(r.hardState.CountedVoters)
	p.HardState = &hardState
	if last := r.log.lastIndex(); last > d.emittedIndex {
		p.Entries = slices.Clone(r.log.entries[d.emittedIndex-r.log.offset:])
	}
	d.emittedIndex = r.log.lastIndex()
	d.inflightIndex = d.emittedIndex
	d.inflightCounted = hardState.CountedVoters
	d.hardStateChanged, d.truncateFrom, d.snapshot = false, 0, nil
	r.emit(p)
}

func (r *Replica) handlePersisted(p Persisted) {
	d := &r.disk
	if p.Seq != d.emittedSeq || d.completedSeq == d.emittedSeq {
		return
	}
	if p.Err != nil {
		r.halt(p.Err)
		return
	}
	d.completedSeq = p.Seq
	d.syncedIndex = max(d.syncedIndex, d.inflightIndex)
	d.syncedCounted = d.inflightCounted
	d.delayed = slices.DeleteFunc(d.delayed, func(delayed delayedSend) bool {
		if delayed.seq <= d.completedSeq {
			r.emit(delayed.send)
		}
		return delayed.seq <= d.completedSeq
	})
}

func (r *Replica) halt(err error) {
	r.becomeFollower("")
	r.emitLeadership()
	r.halted = true
	r.emit(Halt{err})
}

// markCounted adds a name to HardState.CountedVoters.
func (r *Replica) markCounted(name string) {
	if !slices.Contains(r.hardState.CountedVoters, name) {
		r.hardState.CountedVoters = append(r.hardState.CountedVoters, name)
		r.disk.hardStateChanged = true
	}
}

// mayCount reports whether votes and acknowledgements of a voter may be counted.
// Its name must have been synced in HardState.CountedVoters first.
func (r *Replica) mayCount(name string) bool { return slices.Contains(r.disk.syncedCounted, name) }

func (r *Replica) setTerm(term uint64, vote string) {
	r.hardState.Term, r.hardState.Vote = term, vote
	r.votedFor = memberID{}
	r.disk.hardStateChanged = true
}

// send sends a message without waiting for a sync.
func (r *Replica) send(to pollenlatch.Member, m Message) { r.emit(r.newSend(to, m)) }

// newSend returns the effect that sends a message, with the fields for its sender,
// receiver and term filled in.
func (r *Replica) newSend(to pollenlatch.Member, m Message) Send {
	if m.Term == 0 {
		m.Term = r.hardState.Term
	}
	m.FromIncarnation = r.cfg.Self.Incarnation
	m.FromAddr = r.cfg.Self.Addr
	if m.ToIncarnation == 0 {
		m.ToIncarnation = to.Incarnation
	}
	return Send{To: to, Message: m}
}
