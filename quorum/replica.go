package quorum

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pollenlatch"
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// memberID identifies one incarnation of a member name.
type memberID struct {
	name        string
	incarnation pollenlatch.Incarnation
}

func idOf(m pollenlatch.Member) memberID { return memberID{m.Name, m.Incarnation} }

// protocolFaults are violations of the protocol that tests inject, to show that
// their checks detect them. The zero value injects none.
type protocolFaults struct {
	ackBeforeSync bool // send acknowledgements and votes before Persisted
	commitOldTerm bool // commit entries of an earlier term once a majority has them
}

// Replica implements the protocol for one voter. It is not safe for concurrent
// use.
type Replica struct {
	cfg    Config
	faults protocolFaults
	random *rand.Rand

	started bool
	halted  bool
	now     pollenlatch.MonoTime
	effects []Effect

	log            entryLog
	hardState      HardState
	commit         uint64
	applied        uint64
	pendingRestore *Snapshot // received from the leader, not yet passed to the state machine

	role             role
	leader           string               // name; empty when unknown
	leaderContactAt  pollenlatch.MonoTime // time of the last message from the leader
	electionDeadline pollenlatch.MonoTime // end of the election timeout; before admission, time of the next request for it
	votes            map[memberID]bool
	voteSeq          uint64     // Seq of the Persist with this candidate's vote for itself
	votedFor         memberID   // incarnation that HardState.Vote stands for; zero after a restart, so that a vote is not given again
	lastLeadership   Leadership // last Leadership effect

	disk        diskState
	admission   admission
	incoming    incomingSnapshot
	leaderState leaderState
}

// New returns a replica. Its first event must be Start.
func New(cfg Config) *Replica {
	return &Replica{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 0))}
}

// Step processes an event and returns the effects, which the caller must execute
// in order. Before Start and after Halt it returns none. The replica retains the
// data of events and shares it with effects, so the caller must not modify either.
func (r *Replica) Step(ev Event) []Effect {
	if r.halted {
		return nil
	}
	r.effects = nil
	if s, ok := ev.(Start); ok {
		r.start(s)
	}
	if !r.started {
		return nil
	}
	switch e := ev.(type) {
	case Start:
	case Tick:
		r.advanceClock(e.Now)
		r.tick()
	case Receive:
		r.advanceClock(e.Now)
		r.receive(e.From, &e.Message)
	case Persisted:
		r.advanceClock(e.Now)
		r.handlePersisted(e)
	case Propose:
		r.advanceClock(e.Now)
		r.propose(e)
	case ChangeMembership:
		r.advanceClock(e.Now)
		r.changeMembership(e)
	case Compact:
		r.advanceClock(e.Now)
		r.compact(e)
	}
	r.afterEvent()
	return r.effects
}

// afterEvent takes the steps that an event has made possible, such as to end a
// won election, to advance the commit index or to replicate new entries.
func (r *Replica) afterEvent() {
	if r.halted {
		return
	}
	r.tallyVotes()
	r.advanceCommit()
	r.advanceChange()
	r.replicate()
	r.flush()
	r.apply()
	r.emitLeadership()
}

func (r *Replica) advanceClock(now pollenlatch.MonoTime) { r.now = max(r.now, now) }

func (r *Replica) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Replica) start(s Start) {
	if r.started {
		return
	}
	r.started = true
	r.now = s.Now
	if err := CheckEntries(s.Entries, s.Snapshot.Index, s.Snapshot.Term, s.HardState.Term); err != nil {
		r.halt(fmt.Errorf("invalid log in the data folder: %w", err))
		return
	}
	r.hardState = s.HardState
	r.hardState.CountedVoters = slices.Clone(s.HardState.CountedVoters)
	r.log.memberships = []membership{{0, r.cfg.InitialVoters}}
	if s.Snapshot.Index > 0 {
		r.log.reset(s.Snapshot)
		r.emit(Restore{s.Snapshot})
	}
	r.log.append(slices.Clone(s.Entries)...)
	r.applied = s.Snapshot.Index
	r.commit = max(s.Snapshot.Index, min(s.HardState.Commit, r.log.lastIndex()))
	r.hardState.Commit = r.commit
	r.disk.start(r.log.lastIndex(), r.commit, r.hardState.CountedVoters)
	// Before the restart this voter may have acknowledged a heartbeat. The
	// leader relies on it for one election timeout, so no vote is given earlier.
	r.leaderContactAt = r.now
	r.resetElectionDeadline()
	r.requestAdmission()
	if r.isOnlyVoter() {
		r.campaign()
	}
}

func (r *Replica) tick() {
	if r.role == leader {
		r.tickLeader()
		return
	}
	if !r.admitted() {
		r.retryAdmission()
		return
	}
	if r.now >= r.electionDeadline && r.mayCampaign() && !r.disk.blocked(r.now) {
		r.startPreVote()
	}
}

func (r *Replica) resetElectionDeadline() {
	spread := time.Duration(r.random.Int64N(int64(max(r.cfg.MinElectionTimeout, 1))))
	r.electionDeadline = r.now.Add(r.cfg.MinElectionTimeout + spread)
}

// apply passes committed entries to the state machine once they are synced on
// this voter too, so that a snapshot never goes beyond the synced log.
func (r *Replica) apply() {
	if s := r.pendingRestore; s != nil {
		if r.disk.syncedIndex < s.Index {
			return
		}
		r.pendingRestore = nil
		r.applied = s.Index
		r.emit(Restore{*s})
	}
	last := min(r.commit, r.disk.syncedIndex)
	if last <= r.applied {
		return
	}
	lo, hi := r.applied-r.log.offset, last-r.log.offset
	r.emit(Apply{slices.Clone(r.log.entries[lo:hi])})
	r.applied = last
}

func (r *Replica) emitLeadership() {
	current := Leadership{r.hardState.Term, r.leader, r.role == leader}
	if current != r.lastLeadership {
		r.lastLeadership = current
		r.emit(current)
	}
}

func (r *Replica) compact(c Compact) {
	if c.Index <= r.log.snapshot.Index || c.Index > r.applied {
		return
	}
	s := Snapshot{
		Index:   c.Index,
		Term:    r.log.termAt(c.Index),
		Members: r.log.membershipAt(c.Index).members,
		Data:    c.Data,
	}
	r.log.compact(s)
	r.disk.snapshot = &s
}

// Leader returns the name of the leader, which is empty when unknown, and the
// current term.
func (r *Replica) Leader() (name string, term uint64) { return r.leader, r.hardState.Term }

// Members returns the voters in force. Their log entry may not be committed yet.
func (r *Replica) Members() []pollenlatch.Member {
	if len(r.log.memberships) == 0 {
		return slices.Clone(r.cfg.InitialVoters)
	}
	return slices.Clone(r.log.membership().members)
}

// LastIndex returns the index of the last entry, committed or not.
func (r *Replica) LastIndex() uint64 { return r.log.lastIndex() }

// CommitIndex returns the highest index that is known to be committed.
func (r *Replica) CommitIndex() uint64 { return r.commit }

// Snapshot returns the newest snapshot; its index is 0 when there is none.
func (r *Replica) Snapshot() Snapshot { return r.log.snapshot }

// Entries returns at most maxEntries applied entries from an index on. ok is
// false when the first of them was dropped, and the reader needs the snapshot.
func (r *Replica) Entries(from uint64, maxEntries int) (entries []Entry, ok bool) {
	if from <= r.log.offset {
		return nil, false
	}
	if from > r.applied || r.pendingRestore != nil {
		return nil, true
	}
	hi := min(r.applied, from-1+uint64(max(maxEntries, 0)))
	return slices.Clone(r.log.entries[from-r.log.offset-1 : hi-r.log.offset]), true
}
