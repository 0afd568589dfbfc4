package pollenlatch

import (
	"fmt"
	"time"
)

// Outcome says whether a request ran at its server.
type Outcome uint32

// Outcomes of a request.
const (
	OutcomeRan     Outcome = 1 // the server answered
	OutcomeNotRun  Outcome = 2 // no byte of it can have reached a server, or the server said so
	OutcomeUnknown Outcome = 3 // it may have run
)

// String returns the value of the Pollen-Outcome header.
func (o Outcome) String() string {
	switch o {
	case OutcomeRan:
		return "run"
	case OutcomeNotRun:
		return "not-run"
	case OutcomeUnknown:
		return "unknown"
	default:
		return fmt.Sprintf("outcome-%d", uint32(o))
	}
}

// Reason is why a request has no answer of its server.
type Reason string

// Reasons given in answers, logs and metrics.
const (
	ReasonBadRequest          Reason = "bad-request"
	ReasonNoService           Reason = "no-service"
	ReasonRateLimited         Reason = "limited"     // the caller's rate limit
	ReasonNoLease             Reason = "no-lease"    // this daemon may not serve now
	ReasonNoOwner             Reason = "no-owner"    // nobody owns the key until the deadline
	ReasonNoEndpoint          Reason = "no-endpoint" // no usable endpoint
	ReasonUnreachable         Reason = "unreachable" // cannot connect
	ReasonWrongOwner          Reason = "wrong-owner" // the receiver does not own the key
	ReasonVersionMismatch     Reason = "versions"    // sender and receiver route by different versions
	ReasonQueueFull           Reason = "queue-full"
	ReasonDraining            Reason = "draining"
	ReasonDeadlineExceeded    Reason = "expired"   // the deadline passed
	ReasonServerRefused       Reason = "refused"   // the server refused the fence or grant
	ReasonConnectionLost      Reason = "broken"    // the connection was lost after sending began
	ReasonCancelled           Reason = "cancelled" // the caller went away
	ReasonUnknownRetry        Reason = "repeat"    // a repeat whose first run is not known
	ReasonTooLarge            Reason = "too-large"
	ReasonKeyConflict         Reason = "conflict"   // an idempotency key with another request
	ReasonNoConfig            Reason = "no-config"  // this daemon knows no configuration yet
	ReasonNoRoute             Reason = "no-route"   // no route for the host and path
	ReasonNotGranted          Reason = "moving"     // the server has not been granted the key yet, or no longer
	ReasonDeadlineUnreachable Reason = "hopeless"   // it could not be answered before its deadline
	ReasonOverloaded          Reason = "overloaded" // more urgent or earlier work takes all slots
	ReasonServerReplaced      Reason = "replaced"   // another server has the address
	ReasonInvalidResponse     Reason = "unfaithful" // the server's answer is not whole, or not of this request
)

// ReasonServerError is the reason recorded for an answer of the server, outcome Ran,
// whose status is 500 or above.
const ReasonServerError Reason = "server-error"

// Failure is an answer of ours that is not the server's.
type Failure struct {
	Outcome Outcome `json:"-"`
	Reason  Reason  `json:"reason"`
	Detail  string  `json:"detail,omitempty"`
	Status  int     `json:"-"` // HTTP status
	Sent    bool    `json:"-"` // a byte of the request may have reached a server
	// RetryAfter is the time until a retry may help; 0 is unknown.
	RetryAfter time.Duration `json:"-"`
}

// Error returns the failure as text.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Reason, f.Outcome, f.Detail)
}
