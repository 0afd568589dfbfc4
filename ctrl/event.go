// Package ctrl is the control plane of one process. Every process holds a lease and
// a copy of the replicated state, and hands over its shards. A voter also drives a
// replica of the log, and the leader grants leases and plans the placement of shards.
//
// Reducer implements this as a deterministic state machine: events go in, effects
// come out. Loop runs a Reducer in one goroutine and carries out its effects. Control
// gives the request path access to the result.
package ctrl

import (
	"time"

	"pollenlatch"
	"pollenlatch/lease"
	"pollenlatch/quorum"
	"pollenlatch/state"
)

// Event is an input of a Reducer: one of the types below. Now is the time at which
// the Reducer handles it.
type Event interface{ event() }

type (
	// Boot is the first event. RecoveredLog is nil in a process that is not a voter.
	Boot struct {
		Now          pollenlatch.MonoTime
		RecoveredLog *quorum.Start
	}
	// Tick reports the time. It comes about every TickInterval.
	Tick struct{ Now pollenlatch.MonoTime }
	// Received is a control message. From is the sender's instance name, which was
	// authenticated when the session was opened.
	Received struct {
		Now     pollenlatch.MonoTime
		From    string
		Message *pollenlatch.Message
	}
	// Synced reports the result of a Persist.
	Synced struct {
		Now pollenlatch.MonoTime
		Seq uint64
		Err error
	}
	// Announced is the newest state of the local server's endpoint, as the server
	// announced it or the daemon observed it.
	Announced struct {
		Now      pollenlatch.MonoTime
		Endpoint pollenlatch.Endpoint
	}
	// LoadReported is the newest load of the local server.
	LoadReported struct {
		Now  pollenlatch.MonoTime
		Load pollenlatch.Load
	}
	// ShardsIdle reports that no request of the shards is in flight any more, after
	// an AwaitIdle for each. A server that leaves may release hundreds of shards at
	// once, so they share one event.
	ShardsIdle struct {
		Now    pollenlatch.MonoTime
		Shards []IdleShard
	}
	// RecordsSent reports the result of SendRecords. OK is false when the next owner
	// did not receive the idempotency records.
	RecordsSent struct {
		Now pollenlatch.MonoTime
		Key lease.Key
		OK  bool
	}
	// Submitted is a ticket from an operator, or a configuration change when Change
	// is not nil, or an order when Evacuate is not nil. DeliverVerdict completes it.
	Submitted struct {
		Now      pollenlatch.MonoTime
		ID       uint64
		Ticket   pollenlatch.Ticket
		Change   *pollenlatch.ConfigChange
		Evacuate *pollenlatch.Evacuate
	}
	// ReadIndexRequested asks to wait until the state includes everything that was
	// committed before the event. ReadIndexReached completes it.
	ReadIndexRequested struct {
		Now pollenlatch.MonoTime
		ID  uint64
	}
	// VotersUpdated replaces Config.Voters.
	VotersUpdated struct {
		Now    pollenlatch.MonoTime
		Voters []pollenlatch.Member
	}
	// CallCancelled says that the caller of Submitted or ReadIndexRequested does not
	// wait any more.
	CallCancelled struct {
		Now pollenlatch.MonoTime
		ID  uint64
	}
	// DrainRequested starts a graceful shutdown. Drained follows when it has ended.
	DrainRequested struct{ Now pollenlatch.MonoTime }
	// LeaveRequested ends the lease. Left follows when the lease has ended.
	LeaveRequested struct{ Now pollenlatch.MonoTime }
)

func (Boot) event()               {}
func (Tick) event()               {}
func (Received) event()           {}
func (Synced) event()             {}
func (Announced) event()          {}
func (LoadReported) event()       {}
func (ShardsIdle) event()         {}
func (RecordsSent) event()        {}
func (Submitted) event()          {}
func (ReadIndexRequested) event() {}
func (VotersUpdated) event()      {}
func (CallCancelled) event()      {}
func (DrainRequested) event()     {}
func (LeaveRequested) event()     {}

// IdleShard is a shard without requests in flight.
type IdleShard struct {
	lease.Key
	// Token comes from a server that receives its grants by heartbeats; see
	// pollenlatch.ReleasedShard.
	Token string
}

// Effect is an output of a Reducer: one of the types below.
type Effect interface{ effect() }

type (
	// Send sends a message to the process at an address. It may be lost.
	Send struct {
		Addr    string
		Message *pollenlatch.Message
	}
	// Reply sends a message to an instance on the session that it opened.
	Reply struct {
		To      string
		Message *pollenlatch.Message
	}
	// Persist writes to the data folder. Writes are carried out in order, and Synced
	// reports the result of each.
	Persist struct{ quorum.Persist }
	// Publish replaces the Access of the request path.
	Publish struct{ Access Access }
	// Grant replaces the grants of the local server. They expire at Until.
	Grant struct {
		Grants []pollenlatch.Grant
		Until  pollenlatch.MonoTime
	}
	// Extend makes the present grants of the local server expire at Until.
	Extend struct{ Until pollenlatch.MonoTime }
	// AwaitIdle waits until no request of a shard is in flight. ShardsIdle follows.
	AwaitIdle struct{ Key lease.Key }
	// SendRecords sends the idempotency records of a shard to its next owner.
	// RecordsSent reports the result.
	SendRecords struct {
		Key lease.Key
		To  pollenlatch.Instance
	}
	// DeliverVerdict completes Submitted.
	DeliverVerdict struct {
		ID      uint64
		Verdict pollenlatch.Verdict
	}
	// ReadIndexReached completes ReadIndexRequested: the published view includes what
	// was committed before the request.
	ReadIndexReached struct{ ID uint64 }
	// Drained says that this instance owns no shard any more, or that the drain time
	// is over.
	Drained struct{}
	// Left says that the lease has ended.
	Left struct{}
	// Halt says that this process can no longer be a voter.
	Halt struct{ Err error }
	// ShardsChanged lists the shards whose owner, fence or hand-over has changed.
	ShardsChanged struct {
		Keys    []lease.Key // with the present fences
		Reasons []string    // from the planner, by index of Keys; empty where unknown
	}
	// Committed reports the time from a proposal of the leader until it was applied.
	Committed struct{ Took time.Duration }
	// Log is a structured log line.
	Log struct {
		Message string
		Pairs   []any // alternating keys and values
	}
)

func (Send) effect()             {}
func (Reply) effect()            {}
func (Persist) effect()          {}
func (Publish) effect()          {}
func (Grant) effect()            {}
func (Extend) effect()           {}
func (AwaitIdle) effect()        {}
func (SendRecords) effect()      {}
func (DeliverVerdict) effect()   {}
func (ReadIndexReached) effect() {}
func (Drained) effect()          {}
func (Left) effect()             {}
func (Halt) effect()             {}
func (ShardsChanged) effect()    {}
func (Committed) effect()        {}
func (Log) effect()              {}

// Access is a snapshot of the control state for the request path. It says what this
// process may do, and its role in the group.
type Access struct {
	View pollenlatch.View
	Self pollenlatch.InstanceID // 0 before the first lease
	// JoinVersion is the version of the first state that includes the Join of this
	// process, and so everything that was committed before it; 0 until then.
	JoinVersion   pollenlatch.Version
	LeaseEnd      pollenlatch.MonoTime // end of the usable lease; 0 when there is none
	Closed        bool                 // no new requests are admitted, since this instance is leaving
	InForce       pollenlatch.Version  // every daemon that may serve has at least this version
	Leader        string               // instance name of the leader; a voter knows it
	IsLeader      bool
	IsVoter       bool
	AppliedIndex  uint64 // index of the last log entry that was applied; in a voter
	Term          uint64 // in a voter
	LeasesStarted uint64 // since the process started
	// EvacuatedSince has the evacuated data centres, and for each the time by which its
	// evacuation was not committed yet as far as this process knows. It must not be
	// changed.
	EvacuatedSince map[string]pollenlatch.MonoTime
}

// State returns the whole state behind View, or nil when View is another type.
func (a *Access) State() *state.State {
	s, _ := a.View.(*state.State)
	return s
}

// Timing holds the intervals and timeouts of the control protocol.
type Timing struct {
	Lease     time.Duration // duration of a lease
	Renew     time.Duration // interval of lease renewals
	Heartbeat time.Duration // interval of the leader's heartbeats to voters
	Election  time.Duration // minimum election timeout
	Grace     time.Duration // how long a daemon without the newest ticket still gets its lease extended
	Drain     time.Duration // maximum wait for hand-overs in a graceful shutdown
}

// TickInterval is the default interval of Tick events.
const TickInterval = 10 * time.Millisecond

// DefaultTiming returns the default timing. With it the shards of a lost instance
// have new owners within 1 s, also when the leader is lost at the same time.
func DefaultTiming() Timing {
	return Timing{
		Lease:     500 * time.Millisecond,
		Renew:     100 * time.Millisecond,
		Heartbeat: 40 * time.Millisecond,
		Election:  120 * time.Millisecond,
		Grace:     2 * time.Second,
		Drain:     10 * time.Second,
	}
}
