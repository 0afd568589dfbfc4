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

// memberID tells apart the incarnations of one name.
type memberID struct {
	name        string
	incarnation pollenlatch.Incarnation
}

func idOf(m pollenlatch.Member) memberID { return memberID{m.Name, m.Incarnation} }

// rules lets tests break rules of the protocol to show that the checks notice.
// The zero value keeps them all.
type rules struct {
	earlyAck      bool // send acknowledgements and votes before Persisted
	oldTermCommit bool // commit entries of an earlier term by counting copies
}

// Replica is one voter's part of the protocol. It is not safe for concurrent
// use; the caller gives it one event at a time.
type Replica struct {
	cfg    Config
	rules  rules
	random *rand.Rand

	started bool
	halted  bool
	now     pollenlatch.MonoTime
	effects []Effect

	log     entryLog
	hard    HardState
	commit  uint64
	applied uint64
	restore *Snapshot // received, not yet given to the state machine

	role     role
	leader   string               // name; empty when unknown
	heard    pollenlatch.MonoTime // when the leader was heard last
	deadline pollenlatch.MonoTime // of the election timeout
	votes    map[memberID]bool
	voteSeq  uint64     // Persist that holds the own vote of this candidacy
	votedFor memberID   // whom Hard.Vote names; unknown after a restart, so that no vote is repeated then
	shown    Leadership // last Role effect

	disk      diskState
	admission admission
	incoming  incoming
	leading   leading
}

// New returns a replica that waits for Start.
func New(cfg Config) *Replica {
	return &Replica{cfg: cfg, random: rand.New(rand.NewPCG(cfg.Seed, 0))}
}

// Step takes one event and returns the effects that the caller carries out in
// order. Before Start, and after Halt, it returns none. The replica keeps the
// data of events, and effects share it: neither may be changed.
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
		r.advance(e.Now)
		r.tick()
	case Receive:
		r.advance(e.Now)
		r.receive(e.From, &e.Message)
	case Persisted:
		r.advance(e.Now)
		r.persisted(e)
	case Propose:
		r.advance(e.Now)
		r.propose(e)
	case ChangeMembership:
		r.advance(e.Now)
		r.change(e)
	case Compact:
		r.advance(e.Now)
		r.compact(e)
	}
	r.settle()
	return r.effects
}

// settle does what follows from the state that an event left.
func (r *Replica) settle() {
	if r.halted {
		return
	}
	r.tally()
	r.advanceCommit()
	r.stepChange()
	r.replicate()
	r.flush()
	r.apply()
	r.showRole()
}

func (r *Replica) advance(now pollenlatch.MonoTime) { r.now = max(r.now, now) }

func (r *Replica) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Replica) start(s Start) {
	if r.started {
		return
	}
	r.started = true
	r.now = s.Now
	if err := CheckEntries(s.Entries, s.Snapshot.Index, s.Snapshot.Term, s.HardState.Term); err != nil {
		r.halt(fmt.Errorf("log of the data folder: %w", err))
		return
	}
	r.hard = s.HardState
	r.hard.CountedVoters = slices.Clone(s.HardState.CountedVoters)
	r.log.groups = []group{{0, r.cfg.InitialVoters}}
	if s.Snapshot.Index > 0 {
		r.log.reset(s.Snapshot)
		r.emit(Restore{s.Snapshot})
	}
	r.log.append(slices.Clone(s.Entries)...)
	r.applied = s.Snapshot.Index
	r.commit = max(s.Snapshot.Index, min(s.HardState.Commit, r.log.last()))
	r.hard.Commit = r.commit
	r.disk.start(r.log.last(), r.commit, r.hard.CountedVoters)
	// Before the restart this voter may have answered a heartbeat, which the
	// leader counts on for one election timeout. So it gives no vote sooner.
	r.heard = r.now
	r.resetDeadline()
	r.admit()
	if r.alone() {
		r.campaign()
	}
}

func (r *Replica) tick() {
	if r.role == leader {
		r.tickLeader()
		return
	}
	if !r.admitted() {
		r.askAgain()
		return
	}
	if r.now >= r.deadline && r.isVoter() {
		r.preVote()
	}
}

func (r *Replica) resetDeadline() {
	spread := time.Duration(r.random.Int64N(int64(max(r.cfg.MinElectionTimeout, 1))))
	r.deadline = r.now.Add(r.cfg.MinElectionTimeout + spread)
}

// apply gives committed entries to the state machine. It waits until they are
// synced here too, so that a snapshot never passes the synced log.
func (r *Replica) apply() {
	if s := r.restore; s != nil {
		if r.disk.synced < s.Index {
			return
		}
		r.restore = nil
		r.applied = s.Index
		r.emit(Restore{*s})
	}
	upTo := min(r.commit, r.disk.synced)
	if upTo <= r.applied {
		return
	}
	lo, hi := r.applied-r.log.offset, upTo-r.log.offset
	r.emit(Apply{slices.Clone(r.log.entries[lo:hi])})
	r.applied = upTo
}

func (r *Replica) showRole() {
	now := Leadership{r.hard.Term, r.leader, r.role == leader}
	if now != r.shown {
		r.shown = now
		r.emit(now)
	}
}

func (r *Replica) compact(c Compact) {
	if c.Index <= r.log.snapshot.Index || c.Index > r.applied {
		return
	}
	s := Snapshot{
		Index:   c.Index,
		Term:    r.log.termAt(c.Index),
		Members: r.log.groupAt(c.Index).members,
		Data:    c.Data,
	}
	r.log.compact(s)
	r.disk.snapshot = &s
}

// Leader returns the name of the leader, or an empty name when it is unknown,
// and the current term.
func (r *Replica) Leader() (name string, term uint64) { return r.leader, r.hard.Term }

// Members returns the voters in force, which may not be committed yet.
func (r *Replica) Members() []pollenlatch.Member {
	if len(r.log.groups) == 0 {
		return slices.Clone(r.cfg.InitialVoters)
	}
	return slices.Clone(r.log.group().members)
}

// LastIndex returns the index of the last entry, committed or not.
func (r *Replica) LastIndex() uint64 { return r.log.last() }

// CommitIndex returns the highest index known to be committed.
func (r *Replica) CommitIndex() uint64 { return r.commit }

// Snapshot returns the newest snapshot; its index is 0 when there is none.
func (r *Replica) Snapshot() Snapshot { return r.log.snapshot }

// Entries returns up to maxEntries applied entries from an index on. ok is
// false when entries from there on were dropped; the reader needs the snapshot.
func (r *Replica) Entries(from uint64, maxEntries int) (entries []Entry, ok bool) {
	if from <= r.log.offset {
		return nil, false
	}
	if from > r.applied || r.restore != nil {
		return nil, true
	}
	hi := min(r.applied, from-1+uint64(max(maxEntries, 0)))
	return slices.Clone(r.log.entries[from-r.log.offset-1 : hi-r.log.offset]), true
}
