package pollenlatch

import (
	"context"
	"io"
	"time"
)

// Control gives the request path access to the control state of this process. It
// is safe for concurrent use and never blocks.
type Control interface {
	// Self returns this instance's number, or 0 before it has joined.
	Self() InstanceID
	// View returns the newest state that this daemon has.
	View() View
	// Changed returns a channel that is closed when the view or the lease changes
	// next.
	Changed() <-chan struct{}
	// Serving returns nil while this daemon holds a usable lease, and a
	// *Failure with OutcomeNotRun otherwise.
	Serving() error
	// Acquire registers a request in flight for a shard that this instance owns
	// with the fence, so that a hand-over waits for it. A zero shard stands for
	// a request that is not routed by shard. The error is a *Failure with
	// OutcomeNotRun.
	Acquire(s Shard, f Fence) (Permit, error)
}

// Permit is the permission to run one request.
type Permit interface {
	// Check returns nil while the lease is valid and the shard is owned with the
	// fence of the permit. It is called immediately before a request is written to
	// the server.
	Check() error
	// Release says that the request has completed. It may be called more than
	// once.
	Release()
	// ReleaseAfter calls Release after d. It is for a request without a complete
	// response, which the server may continue to run until its deadline.
	ReleaseAfter(d time.Duration)
}

// AdmitRequest describes a request that needs a slot of the local server.
type AdmitRequest struct {
	Service  string
	Caller   string
	Class    Class
	Deadline time.Time
	// The following fields are set for requests with a Route.
	Route        string
	SoftDeadline time.Time // end of the latency objective; zero when there is none
	Nested       bool      // sent by a server while it runs another request
	Bulk         bool      // the response is large, and is paced on the link
	// Body is the large body of the request, which is admitted to the network link
	// together with the request; nil when there is none to wait for.
	Body IncomingBody
	// Returned says that the caller was refused before and has come back.
	Returned bool
	// Starved says that the route is served too rarely, as the instance sees it that
	// received the request.
	Starved bool
	// Adaptive says that the parts for overload apply; see hints.Applies.
	Adaptive bool
}

// Admitter admits requests to the local server.
type Admitter interface {
	// Admit waits for a slot. The caller must call release exactly once when the
	// request has completed. The error is a *Failure with OutcomeNotRun.
	Admit(ctx context.Context, r AdmitRequest) (release func(), err error)
	// Load returns the current numbers of running and waiting requests.
	Load() (running, waiting int)
}

// Exchanger sends one request to the local server and receives the response.
type Exchanger interface {
	// Exchange calls check immediately before the first byte is written to the
	// server. The error is always a *Failure.
	Exchange(ctx context.Context, r *Request, check func() error) (*Response, error)
}

// ServerSignals are what a response says about the state of the server itself.
type ServerSignals struct {
	Incarnation Incarnation // of the server
	Limit       float64     // requests a second that it accepts; 0 is no limit
	Leaving     bool        // it takes no new requests soon
	// SentAt is when the request was sent. It is zero for a response that does not
	// show whether there is a limit when Limit is 0.
	SentAt time.Time
	Load   *ServerLoad // nil when the response does not state it
	// ColdFor is the time for which the server stays cold; nil when the response does
	// not state it.
	ColdFor *time.Duration
}

// Granter sends grants to the local server.
type Granter interface {
	// Grant replaces the server's grants. They expire ttl after the call.
	Grant(ctx context.Context, grants []Grant, ttl time.Duration) error
	// Extend makes the current grants expire ttl after the call.
	Extend(ctx context.Context, ttl time.Duration) error
}

// EndpointObserver is notified about the local server.
type EndpointObserver interface {
	// Announce reports the newest state of the endpoint.
	Announce(e Endpoint)
	// Lost reports that the server can no longer be reached. ended says that its
	// process is known to have ended.
	Lost(ended bool)
}

// Forwarder forwards requests to other daemons. Forward sends the request to the
// daemon at addr in one hop.
type Forwarder interface {
	Forward(ctx context.Context, addr string, r *Request) (*Response, error)
}

// Picker chooses an endpoint for a request that is not routed by shard.
type Picker interface {
	// Pick returns one of the candidates, or false when none may be used. done
	// must be called once with the result of the request.
	Pick(candidates []Instance, dc string, tried Set[InstanceID]) (i Instance, done func(Outcome, Reason, time.Duration), ok bool)
}

// Pacer schedules large responses on a network link.
type Pacer interface {
	// Begin adds a response of a route with its size in bytes, the end of its
	// latency objective, and its deadline. The caller must call End on the result.
	Begin(route string, size int, softDeadline, deadline time.Time) Transfer
	// TypicalTime returns the time that a typical response of a route takes on the
	// link.
	TypicalTime(route string) time.Duration
	// Backlog returns how long the present transfers keep the link busy.
	Backlog() time.Duration
	// RecordUnpaced counts n bytes that were sent without a transfer.
	RecordUnpaced(n int)
}

// Transfer is the paced sending of one response on a link.
type Transfer interface {
	// Wait returns when the next n bytes of the response may be sent, or with the
	// error of ctx.
	Wait(ctx context.Context, n int) error
	// End ends the transfer, whether the response was sent or not.
	End()
}

// Intake schedules the bodies of large requests on the network link to this instance.
// A body stays at its sender until the request is admitted.
type Intake interface {
	// Begin returns the body of a request of a route with its size in bytes, which is -1
	// when it is unknown, the end of the latency objective, and the deadline. The caller
	// must call End on the result.
	Begin(route string, size int64, softDeadline, deadline time.Time) IncomingBody
}

// IncomingBody is a body that waits at its sender, or is being received.
type IncomingBody interface {
	// Queue adds the body to those that wait for the link, and returns when it is likely
	// to have arrived. runTime is what its request takes afterwards.
	Queue(runTime time.Duration, now time.Time) (arrival time.Time)
	// TransferTime returns the time that the rest of the body takes on the link.
	TransferTime() time.Duration
	// Arrival returns when a body that waits is likely to have arrived.
	Arrival(now time.Time) time.Time
	// MayStart reports whether the body is the next one that may move, and the link
	// will be free for it.
	MayStart(now time.Time) bool
	// Start says that the request is admitted. The body now occupies the link.
	Start(now time.Time)
	// Wait returns when the next n bytes may be requested, or with the error of ctx.
	Wait(ctx context.Context, n int) error
	// Arrived says that n bytes have arrived.
	Arrived(n int)
	// End says that the body has been received completely, or is not received any
	// further. Only the first call has an effect.
	End(received bool)
	// Received returns when the end of the body arrived, or zero if it did not.
	Received() time.Time
}

// RequestedBody is a body whose sender sends bytes only when they are requested. Read
// requests them itself until Request is called for the first time.
type RequestedBody interface {
	io.Reader
	// Request asks the sender for the next n bytes. It does not wait for them.
	Request(n int) error
}

// PlanInput is the planner's input.
type PlanInput struct {
	View      View
	Loads     map[InstanceID]Load // newest report of each instance
	Withheld  Set[InstanceID]     // instances in hold-off: their former shards may not be assigned yet
	HandOvers map[InstanceID]int  // hand-overs in progress, by present owner
	Now       MonoTime
}

// Move is one move of a shard that the planner proposes.
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
	Plan(in PlanInput) []Move
}

// Recorder counts events for the service-level report.
type Recorder interface {
	// Record counts one request with its outcome, and the time that it took.
	Record(service string, c Class, o Outcome, reason Reason, endpoint string, d time.Duration)
}
