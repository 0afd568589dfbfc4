// Package quorum implements the Raft consensus algorithm: it replicates a log
// to the voters of a group. Replica is deterministic: it turns events into
// effects, and uses no clock, network or disk itself. The caller executes the
// effects in order.
package quorum

import (
	"errors"
	"time"

	"pollenlatch"
)

// Config configures a replica.
type Config struct {
	Self               pollenlatch.Member
	InitialVoters      []pollenlatch.Member // of a new group; an incarnation may be 0 when it is not known yet
	HeartbeatInterval  time.Duration        // of the leader
	MinElectionTimeout time.Duration        // timeouts are random, up to twice as long
	Seed               uint64               // of the random part of election timeouts
}

// Entry is an entry of the log.
type Entry struct {
	Index   uint64               `protobuf:"varint,1,opt,name=index"`
	Term    uint64               `protobuf:"varint,2,opt,name=term"`
	Data    []byte               `protobuf:"bytes,3,opt,name=data"`    // command for the state machine; empty in a new leader's first entry
	Members []pollenlatch.Member `protobuf:"bytes,4,rep,name=members"` // of a membership change: the voters from this entry on
}

// HardState is the part of a replica's state that must be synced to disk before
// the replica relies on it.
type HardState struct {
	Term          uint64   `protobuf:"varint,1,opt,name=term"`
	Vote          string   `protobuf:"bytes,2,opt,name=vote"`    // name of the candidate voted for in Term
	Commit        uint64   `protobuf:"varint,3,opt,name=commit"` // may be lower than the commit index in memory
	CountedVoters []string `protobuf:"bytes,4,rep,name=seen"`    // names of voters whose votes or acknowledgements this replica has counted
}

// Snapshot is the state of the state machine after the entry at Index.
type Snapshot struct {
	Index   uint64               `protobuf:"varint,1,opt,name=index"`
	Term    uint64               `protobuf:"varint,2,opt,name=term"`
	Members []pollenlatch.Member `protobuf:"bytes,3,rep,name=members"`
	Data    []byte               `protobuf:"bytes,4,opt,name=data"`
}

// ErrNoSpace is the error of a Persist that could not be written because the disk is
// full. Nothing that was synced before is affected, and the same Persist may be saved
// again once there is space.
var ErrNoSpace = errors.New("no space left for the log")

// Event is one of the types below.
type Event interface{ event() }

type (
	// Start is the first event. It holds the content of the data folder.
	Start struct {
		Now       pollenlatch.MonoTime
		HardState HardState
		Snapshot  Snapshot // zero when there is none
		Entries   []Entry  // after the snapshot, without gaps
	}
	// Tick reports the current time. It is expected about every 10 ms.
	Tick struct{ Now pollenlatch.MonoTime }
	// Receive delivers a message from another voter.
	Receive struct {
		Now     pollenlatch.MonoTime
		From    string
		Message Message
	}
	// Persisted reports that the Persist effect with the same Seq is complete.
	// An error halts the replica: it no longer votes or acknowledges entries.
	Persisted struct {
		Now pollenlatch.MonoTime
		Seq uint64
		Err error
	}
	// Propose requests one entry for each element of Data, in order. Accepted
	// or Rejected returns the ID.
	Propose struct {
		Now  pollenlatch.MonoTime
		ID   uint64
		Data [][]byte
	}
	// ChangeMembership requests that Members become the voters of the group.
	// It proceeds in steps that add or remove one voter. A new voter replicates
	// the log as a learner before it becomes a voter.
	ChangeMembership struct {
		Now     pollenlatch.MonoTime
		ID      uint64
		Members []pollenlatch.Member
	}
	// Compact provides a snapshot of the state machine at an applied index, so
	// that earlier entries can be dropped from the log.
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
	// Persist requests a synced write to disk, whose completion Persisted
	// reports. Persists are executed in the order of Seq.
	Persist struct {
		Seq          uint64
		HardState    *HardState // nil: unchanged
		Snapshot     *Snapshot  // nil: unchanged; replaces the log up to and including its index
		TruncateFrom uint64     // entries from this index on are dropped before Entries are appended; 0 drops none
		Entries      []Entry    // to append
	}
	// Apply passes committed entries to the state machine, in order, each once
	// in the lifetime of the process.
	Apply struct{ Entries []Entry }
	// Restore replaces the state of the state machine with a snapshot.
	Restore struct{ Snapshot Snapshot }
	// Accepted reports the index of a proposal's first entry, or of the last
	// step of a membership change. That entry is committed once Apply contains
	// the index with the same term.
	Accepted struct {
		ID    uint64
		Index uint64
		Term  uint64
	}
	// Rejected reports that a proposal or a membership change was refused, or
	// that a membership change was abandoned. A rejected proposal is not in
	// the log.
	Rejected struct {
		ID     uint64
		Reason string
	}
	// Leadership reports a change of the term or the leader, as known to this
	// replica.
	Leadership struct {
		Term     uint64
		Leader   string // name; empty when unknown
		IsLeader bool   // this replica is the leader
	}
	// Halt reports that the replica has stopped permanently.
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
