package admin

import (
	"context"
	"time"

	"pollenlatch"
	"pollenlatch/state"
)

// View is the part of the replicated state that the API reads. *state.State
// implements it.
type View interface {
	pollenlatch.View
	Callers() []pollenlatch.Caller
	Voters() []pollenlatch.Member
	Instances() []pollenlatch.Instance
	// EvacuatedDCs returns the evacuated data centres, sorted.
	EvacuatedDCs() []string
	// EachShard calls f for every shard of a service until f returns false.
	EachShard(service string, f func(pollenlatch.Owner) bool)
	// NextTicket returns the next free ticket number.
	NextTicket() uint64
	// Ticket returns the record of a decided ticket.
	Ticket(number uint64) (state.TicketRecord, bool)
	// Tickets returns up to n records with numbers below before, newest first.
	Tickets(before uint64, n int) []state.TicketRecord
	// Decided returns the verdict of a ticket that was decided before, has another
	// number than the next, or exceeds a size limit.
	Decided(t *pollenlatch.Ticket) (v pollenlatch.Verdict, ok bool)
	// TicketFaults returns how a ticket's content contradicts the state.
	TicketFaults(t *pollenlatch.Ticket) []string
}

var _ View = (*state.State)(nil)

// Control gives the API access to the process that it belongs to. It is safe for
// concurrent use. Only Propose and Evacuate block.
type Control interface {
	// View returns the newest state that this process holds.
	View() View
	// Propose submits a ticket to the group and waits for the verdict. Without a
	// verdict in time it returns ctx's error: the ticket may or may not have been
	// decided, and the same text may be proposed again.
	Propose(ctx context.Context, text, sender string) (pollenlatch.Verdict, error)
	// Evacuate submits an order to the group and waits for the verdict, like Propose.
	Evacuate(ctx context.Context, e pollenlatch.Evacuate) (pollenlatch.Verdict, error)
	// InForce reports whether every instance that may serve holds the version.
	InForce(v pollenlatch.Version) bool
	// Status returns the status of this process.
	Status() ProcessStatus
	// Assignment returns when and why a shard was assigned with its present fence.
	// ok is false when this process did not apply that assignment itself.
	Assignment(o pollenlatch.Owner) (a Assignment, ok bool)
	// Drain starts a graceful shutdown of this process and returns at once.
	// A second call changes nothing.
	Drain() error
}

// ProcessStatus is the status of one process.
type ProcessStatus struct {
	Name           string              `json:"name"`
	DC             string              `json:"dc"`
	Region         string              `json:"region"`
	Group          string              `json:"group"`
	ProgramVersion string              `json:"program"`
	StartedAt      time.Time           `json:"started"`
	Version        pollenlatch.Version `json:"version"` // of the replicated state
	Serving        bool                `json:"serving"` // holds a usable lease
	Draining       bool                `json:"draining"`
	Voter          bool                `json:"voter"`
	IsLeader       bool                `json:"leads"`
	Leader         string              `json:"leader"` // name of the leader; empty when unknown
	Term           uint64              `json:"term"`
	InFlight       int                 `json:"in_flight"`
	Queued         int                 `json:"queued"`
}

// Assignment says when and why a shard was assigned with its present fence.
type Assignment struct {
	AppliedAt time.Time `json:"since"`  // when this process applied the log entry
	Reason    string    `json:"reason"` // given by the planner
}
