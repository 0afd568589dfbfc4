// Package quorum replicates a log over the voters of a group. Replica is a
// pure reducer: events go in, effects come out. It holds no clock, network or
// disk. The caller carries out the effects in order.
package quorum

import (
	"time"

	"pollenlatch"
)

// Config is what a replica knows before its first event.
type Config struct {
	Self               pollenlatch.Member
	InitialVoters      []pollenlatch.Member // the voters of a new group
	HeartbeatInterval  time.Duration        // interval of the leader's heartbeats
	MinElectionTimeout time.Duration        // shortest election timeout; the longest is twice that
	Seed               uint64               // of the random part of timeouts
}

// Entry is one entry of the log.
type Entry struct {
	Index   uint64               `protobuf:"varint,1,opt,name=index"`
	Term    uint64               `protobuf:"varint,2,opt,name=term"`
	Data    []byte               `protobuf:"bytes,3,opt,name=data"`    // of the state machine; empty for a new leader's first entry
	Members []pollenlatch.Member `protobuf:"bytes,4,rep,name=members"` // a change of the group: its voters from this entry on
}

// HardState is the part of a replica's state that is synced before it is relied on.
type HardState struct {
	Term          uint64   `protobuf:"varint,1,opt,name=term"`
	Vote          string   `protobuf:"bytes,2,opt,name=vote"`    // name of the candidate voted for in Term
	Commit        uint64   `protobuf:"varint,3,opt,name=commit"` // may lag behind
	CountedVoters []string `protobuf:"bytes,4,rep,name=seen"`    // voters whose votes or acknowledgements were counted
}

// Snapshot is the state machine's state at an index.
type Snapshot struct {
	Index   uint64               `protobuf:"varint,1,opt,name=index"`
	Term    uint64               `protobuf:"varint,2,opt,name=term"`
	Members []pollenlatch.Member `protobuf:"bytes,3,rep,name=members"`
	Data    []byte               `protobuf:"bytes,4,opt,name=data"`
}

// Event is one of the types below.
type Event interface{ event() }

type (
	// Start is the first event: what the data folder held.
	Start struct {
		Now       pollenlatch.MonoTime
		HardState HardState
		Snapshot  Snapshot // zero when there is none
		Entries   []Entry  // after the snapshot, without gaps
	}
	// Tick tells the time. It comes every 10 ms or so.
	Tick struct{ Now pollenlatch.MonoTime }
	// Receive is a message of another voter.
	Receive struct {
		Now     pollenlatch.MonoTime
		From    string
		Message Message
	}
	// Persisted answers the Persist effect of the same number. An error stops
	// the replica for good: it neither votes nor acknowledges any more.
	Persisted struct {
		Now pollenlatch.MonoTime
		Seq uint64
		Err error
	}
	// Propose asks for an entry with each of the data, in order. ID comes back
	// in Accepted or Rejected.
	Propose struct {
		Now  pollenlatch.MonoTime
		ID   uint64
		Data [][]byte
	}
	// ChangeMembership asks for a change of the group to these voters, one safe step at
	// a time. A new voter copies the log before it counts.
	ChangeMembership struct {
		Now     pollenlatch.MonoTime
		ID      uint64
		Members []pollenlatch.Member
	}
	// Compact offers the state machine's snapshot at an applied index; the log
	// up to there may be dropped.
	Compact struct {
		Now   pollenlatch.MonoTime
		Index uint64
		Data  []byte
	}
)

func (Start) event()            {}
func (Tick) event()             {}
func (Receive) event()          {}
func (Persisted) event()        {}
func (Propose) event()          {}
func (ChangeMembership) event() {}
func (Compact) event()          {}

// Effect is one of the types below.
type Effect interface{ effect() }

type (
	// Send sends a message to a voter. It may be lost.
	Send struct {
		To      pollenlatch.Member
		Message Message
	}
	// Persist writes and syncs, then reports with Persisted. Persists are
	// carried out in order of Seq.
	Persist struct {
		Seq          uint64
		HardState    *HardState // nil leaves it
		Snapshot     *Snapshot  // nil leaves it; replaces the log up to its index
		TruncateFrom uint64     // 0 leaves the log; otherwise entries from this index on are dropped first
		Entries      []Entry    // to append
	}
	// Apply gives committed entries to the state machine, in order, each once
	// in the life of the process.
	Apply struct{ Entries []Entry }
	// Restore replaces the state machine's state.
	Restore struct{ Snapshot Snapshot }
	// Accepted says at which index the first data of a proposal stands. It is
	// committed when Apply gives that index with the same term.
	Accepted struct {
		ID    uint64
		Index uint64
		Term  uint64
	}
	// Rejected says that a proposal was not taken. It is not in the log.
	Rejected struct {
		ID     uint64
		Reason string
	}
	// Leadership tells a change of leadership as this replica knows it.
	Leadership struct {
		Term     uint64
		Leader   string // empty when unknown
		IsLeader bool   // this replica leads
	}
	// Halt says that the replica has stopped for good.
	Halt struct{ Err error }
)

func (Send) effect()       {}
func (Persist) effect()    {}
func (Apply) effect()      {}
func (Restore) effect()    {}
func (Accepted) effect()   {}
func (Rejected) effect()   {}
func (Leadership) effect() {}
func (Halt) effect()       {}
