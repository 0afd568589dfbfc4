package admin

import (
	"context"
	"time"

	"pollenlatch"
	"pollenlatch/state"
)

// View is the replicated state as the API reads it. *state.State is one.
type View interface {
	pollenlatch.View
	Callers() []pollenlatch.Caller
	Voters() []pollenlatch.Member
	Instances() []pollenlatch.Instance
	// EachShard calls f for every shard of a service until f returns false.
	EachShard(service string, f func(pollenlatch.Owner) bool)
	// NextTicket returns the next free ticket number.
	NextTicket() uint64
	// Ticket returns the record of a decided ticket.
	Ticket(number uint64) (state.TicketRecord, bool)
	// Tickets returns up to n records with numbers below before, newest first.
	Tickets(before uint64, n int) []state.TicketRecord
	// Decided returns the verdict that a ticket gets whatever its content is.
	Decided(t *pollenlatch.Ticket) (v pollenlatch.Verdict, ok bool)
	// TicketFaults returns what contradicts the state in a ticket's content.
	TicketFaults(t *pollenlatch.Ticket) []string
}

var _ View = (*state.State)(nil)

// Control is what the API needs of the process that it belongs to. All methods
// may be called by any goroutine; none but Propose blocks.
type Control interface {
	// View returns the newest state that this process holds.
	View() View
	// Propose has the group decide on a ticket. It returns ctx's error when
	// no verdict came in time: the ticket may or may not have been decided,
	// and the same text may be proposed again.
	Propose(ctx context.Context, text, sender string) (pollenlatch.Verdict, error)
	// InForce reports whether every instance that may serve holds the version.
	InForce(v pollenlatch.Version) bool
	// Status returns the condition of this process.
	Status() ProcessStatus
	// Assignment returns what this process knows of how a shard got its present
	// fence. ok is false when it has not seen that.
	Assignment(o pollenlatch.Owner) (origin Assignment, ok bool)
	// Drain starts a graceful shutdown of this process and returns at once.
	// A second call changes nothing.
	Drain() error
}

// ProcessStatus is the condition of one process.
type ProcessStatus struct {
	Name           string              `json:"name"`
	DC             string              `json:"dc"`
	Region         string              `json:"region"`
	Group          string              `json:"group"`
	ProgramVersion string              `json:"program"` // version of the program
	StartedAt      time.Time           `json:"started"`
	Version        pollenlatch.Version `json:"version"` // of the state
	Serving        bool                `json:"serving"` // holds a usable lease
	Draining       bool                `json:"draining"`
	Voter          bool                `json:"voter"`
	IsLeader       bool                `json:"leads"`
	Leader         string              `json:"leader"` // name of the leader; empty when unknown
	Term           uint64              `json:"term"`
	InFlight       int                 `json:"in_flight"`
	Queued         int                 `json:"queued"`
}

// Assignment tells how a shard got its present fence.
type Assignment struct {
	AppliedAt time.Time `json:"since"`  // when this process applied it
	Reason    string    `json:"reason"` // the planner's
}
