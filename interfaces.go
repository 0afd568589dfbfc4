package pollenlatch

import (
	"context"
	"time"
)

// Control is what traffic sees of the control state of this process. It is
// safe for concurrent use and never blocks.
type Control interface {
	// Self returns this instance's number, or 0 before it has joined.
	Self() InstanceID
	// View returns the newest state that this daemon holds.
	View() View
	// Changed returns a channel that is closed at the next change of the view
	// or of the lease.
	Changed() <-chan struct{}
	// Serving returns nil while this daemon holds a usable lease, and a
	// *Failure with outcome NotRun otherwise.
	Serving() error
	// Acquire counts a request in flight for a shard that this instance owns
	// with the fence, so that a hand-over waits for it. A zero shard counts a
	// request that is not routed by shard. The error is a *Failure with
	// outcome NotRun.
	Acquire(s Shard, f Fence) (Permit, error)
}

// Permit is the permission to run one request.
type Permit interface {
	// Check returns nil while the lease lasts and the shard is owned with the
	// fence of the pass. It is called last before a request is written to the
	// server.
	Check() error
	// Release ends the request. It may be called more than once.
	Release()
	// ReleaseAfter ends the request once d has passed. It is for a request without
	// a whole answer, which the server may run until its deadline.
	ReleaseAfter(d time.Duration)
}

// AdmitRequest describes a request that waits for a slot of the server.
type AdmitRequest struct {
	Service  string
	Caller   string
	Class    Class
	Deadline time.Time
	// The following are for requests with a Route.
	Route        string
	SoftDeadline time.Time // end of the latency objective; zero when there is none
	Nested       bool      // a call of a request that runs at some server
	Bulk         bool      // its answer is long, and is paced on the link
}

// Admitter admits requests to the server beside this daemon.
type Admitter interface {
	// Admit waits for a slot. The caller must call release exactly once when
	// the request has ended. The error is a *Failure with outcome NotRun.
	Admit(ctx context.Context, w AdmitRequest) (release func(), err error)
	// Load returns the present numbers of running and waiting requests.
	Load() (running, waiting int)
}

// Exchanger runs one request at the server beside this daemon.
type Exchanger interface {
	// Exchange calls check last before the first byte is written to the
	// server. The error is always a *Failure.
	Exchange(ctx context.Context, r *Request, check func() error) (*Response, error)
}

// Granter gives the server beside this daemon its grants.
type Granter interface {
	// Grant replaces the server's grants. They last for ttl from the call.
	Grant(ctx context.Context, grants []Grant, ttl time.Duration) error
	// Extend lets the present grants last for ttl from the call.
	Extend(ctx context.Context, ttl time.Duration) error
}

// EndpointObserver takes what the server beside this daemon says of itself.
type EndpointObserver interface {
	// Announce takes the newest facts.
	Announce(e Endpoint)
	// Lost says that the server can no longer be reached.
	Lost()
}

// Forwarder runs requests at other daemons. Its Handle sends the request to
// the daemon at addr in one hop.
type Forwarder interface {
	Forward(ctx context.Context, addr string, r *Request) (*Response, error)
}

// Picker chooses an endpoint for a request that is not routed by shard.
type Picker interface {
	// Pick returns one of the candidates, or false when none may be used.
	// Done must be called once with the result of the request.
	Pick(candidates []Instance, dc string, tried Set[InstanceID]) (i Instance, done func(Outcome, Reason, time.Duration), ok bool)
}

// Pacer gives long answers their turns on a network link.
type Pacer interface {
	// Begin adds an answer of a route with its size in bytes, the end of its
	// latency objective, and its deadline. The caller must call Leave.
	Begin(route string, size int, aim, deadline time.Time) Transfer
	// TypicalTime returns the time on the link of a usual answer of a route.
	TypicalTime(route string) time.Duration
	// Backlog returns how long the answers that have entered keep the link busy.
	Backlog() time.Duration
	// RecordUnpaced takes note of bytes that were sent without a turn.
	RecordUnpaced(n int)
}

// Transfer is one answer on its way over a paced link.
type Transfer interface {
	// Wait returns when the next n bytes of the answer may be sent, or with the
	// error of ctx.
	Wait(ctx context.Context, n int) error
	// End ends the answer, whether it was sent or not.
	End()
}

// PlanInput is the planner's input.
type PlanInput struct {
	View      View
	Loads     map[InstanceID]Load // newest reports
	Withheld  Set[InstanceID]     // instances whose old shards may not be assigned yet
	HandOvers map[InstanceID]int  // hand-overs in progress, by present owner
	Now       MonoTime
}

// Move is one change that the planner wants.
type Move struct {
	Shard
	From   InstanceID // 0 when nobody owns it
	To     InstanceID
	Fence  Fence   // present fence of the shard
	Reason string  // for operators
	Gain   float64 // expected gain, in the units of Weights
	Cost   float64 // expected cost, in the units of Weights
}

// Planner decides which shards move. Plan is deterministic for the same
// sequence of inputs.
type Planner interface {
	Plan(p PlanInput) []Move
}

// Recorder counts events for the service-level report.
type Recorder interface {
	// Record counts one answered request. good is false when the service
	// failed its caller.
	Record(service string, c Class, o Outcome, reason Reason, endpoint string, d time.Duration)
}
