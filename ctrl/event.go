// Package ctrl holds the control state of one process. Reducer is pure: events
// go in, effects come out. It combines the replicated log (in a voter), the
// granting of leases and the planner (in the leader), and this daemon's own
// lease, copy of the state and hand-overs (in every process). Loop is the one
// goroutine that owns a Reducer and carries out its effects.
package ctrl

import (
	"time"

	"pollenlatch"
	"pollenlatch/lease"
	"pollenlatch/quorum"
	"pollenlatch/state"
)

// Event is one of the types below.
type Event interface{ event() }

type (
	// Boot is the first event. Log is nil in a process that is not a voter.
	Boot struct {
		Now          pollenlatch.MonoTime
		RecoveredLog *quorum.Start
	}
	// Tick tells the time. It comes every TickInterval or so.
	Tick struct{ Now pollenlatch.MonoTime }
	// Received is a control message. From is the sender's instance name,
	// proved when the session was opened.
	Received struct {
		Now     pollenlatch.MonoTime
		From    string
		Message *pollenlatch.Message
	}
	// Synced answers a Persist.
	Synced struct {
		Now pollenlatch.MonoTime
		Seq uint64
		Err error
	}
	// Announced is what the server beside this daemon says of itself, or what
	// the daemon has seen of it.
	Announced struct {
		Now      pollenlatch.MonoTime
		Endpoint pollenlatch.Endpoint
	}
	// LoadReported is the newest load of the server beside this daemon.
	LoadReported struct {
		Now  pollenlatch.MonoTime
		Load pollenlatch.Load
	}
	// ShardsIdle answers Awaits: nothing of the shards is in flight any more. A
	// server that leaves may release hundreds at once.
	ShardsIdle struct {
		Now    pollenlatch.MonoTime
		Shards []IdleShard
	}
	// RecordsSent answers a HandOver. OK is false when the next owner does not
	// have the idempotency records.
	RecordsSent struct {
		Now pollenlatch.MonoTime
		Key lease.Key
		OK  bool
	}
	// Submitted is a ticket from an operator, or a change of items when Change
	// is not nil. Decide answers it.
	Submitted struct {
		Now    pollenlatch.MonoTime
		ID     uint64
		Ticket pollenlatch.Ticket
		Change *pollenlatch.ConfigChange
	}
	// ReadIndexRequested asks for everything that was committed before. Current answers it.
	ReadIndexRequested struct {
		Now pollenlatch.MonoTime
		ID  uint64
	}
	// VotersUpdated replaces the voters that the settings name.
	VotersUpdated struct {
		Now    pollenlatch.MonoTime
		Voters []pollenlatch.Member
	}
	// CallCancelled says that nobody waits for the verdict any more.
	CallCancelled struct {
		Now pollenlatch.MonoTime
		ID  uint64
	}
	// DrainRequested starts a graceful shutdown. Drained answers it.
	DrainRequested struct{ Now pollenlatch.MonoTime }
	// LeaveRequested ends the lease. Left answers it.
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

// IdleShard is a shard of which nothing is in flight any more.
type IdleShard struct {
	lease.Key
	// Token is what the server gave for its next one, if it fetches its grants
	// by heartbeats.
	Token string
}

// Effect is one of the types below.
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
	// Persist writes to the data folder and is answered with Synced. Persists
	// are carried out in order.
	Persist struct{ quorum.Persist }
	// Publish gives traffic a new view or lease.
	Publish struct{ Access Access }
	// Grant gives the server beside this daemon its grants, until Until.
	Grant struct {
		Grants []pollenlatch.Grant
		Until  pollenlatch.MonoTime
	}
	// Extend lets the server's present grants last until Until.
	Extend struct{ Until pollenlatch.MonoTime }
	// AwaitIdle asks for Emptied.
	AwaitIdle struct{ Key lease.Key }
	// SendRecords asks to send the idempotency records of a shard to its next
	// owner. It is answered with HandedOver.
	SendRecords struct {
		Key lease.Key
		To  pollenlatch.Instance
	}
	// DeliverVerdict answers Submitted.
	DeliverVerdict struct {
		ID      uint64
		Verdict pollenlatch.Verdict
	}
	// ReadIndexReached answers Asked: the published view holds what was asked for.
	ReadIndexReached struct{ ID uint64 }
	// Drained says that this instance owns nothing any more, or that the drain
	// time is over.
	Drained struct{}
	// Left says that the lease has ended.
	Left struct{}
	// Halt says that this process can no longer take part as a voter.
	Halt struct{ Err error }
	// ShardsChanged tells which shards changed, and why as far as this process knows.
	ShardsChanged struct {
		Keys    []lease.Key // with the present fences
		Reasons []string    // of the planner; empty where it is not known
	}
	// Committed tells how long the leader's proposal took to be applied.
	Committed struct{ Took time.Duration }
	// Log is a line for the operator.
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

// Access is what traffic may do, as of one moment.
type Access struct {
	View          pollenlatch.View
	Self          pollenlatch.InstanceID // 0 before the first lease
	JoinVersion   pollenlatch.Version    // of the first state with this process's lease, which holds all that was committed before; 0 until then
	LeaseEnd      pollenlatch.MonoTime   // end of the usable lease; 0 when there is none
	Closed        bool                   // no new work: this instance is leaving
	InForce       pollenlatch.Version    // every daemon that may serve holds at least this version
	Leader        string                 // name of the leader, empty when unknown
	IsLeader      bool                   // this process leads
	IsVoter       bool
	AppliedIndex  uint64
	Term          uint64
	LeasesStarted uint64 // leases that this process has had
}

// State returns the whole state behind View.
func (a *Access) State() *state.State {
	s, _ := a.View.(*state.State)
	return s
}

// Timing holds the times of the control protocol.
type Timing struct {
	Lease     time.Duration // length of a lease
	Renew     time.Duration // interval of renewals
	Heartbeat time.Duration // interval of the leader's heartbeats to voters
	Election  time.Duration // shortest election timeout
	Grace     time.Duration // how long a daemon may lag behind a ticket
	Drain     time.Duration // longest wait for hand-overs in a graceful shutdown
}

// TickInterval is the interval of Tick events.
const TickInterval = 10 * time.Millisecond

// DefaultTiming returns the default times. A lost instance's shards are owned
// again within 1 s with them, also when the leader is lost at the same moment.
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
