package front

import (
	"context"
	"io"
	"net/http"
	"time"

	"pollenlatch"
	"pollenlatch/crash"
)

const (
	// minTimeLeft is the minimum time before the deadline for a retry, since a
	// further attempt takes a few milliseconds.
	minTimeLeft = 5 * time.Millisecond
	// maxHops limits the instances that refuse a request one after the other
	// without sending it to a server. Each costs a round trip.
	maxHops = 4
	// maxOverloadHops limits the instances that refuse a request because of
	// overload. The picker has compared several already, and under a general
	// overload each further attempt takes processor time, and with its body
	// capacity of the network link, from requests that can still meet their
	// objective. So the limit is 1 when the service refuses more than
	// maxRefusedShare of the requests.
	maxOverloadHops = 3
	maxRefusedShare = 0.3
	// maxOwnerWait limits the wait for the next owner of a key during a
	// hand-over: the present server finishes its requests for the key and
	// reports that in a heartbeat, then a commit assigns the next owner.
	maxOwnerWait = 400 * time.Millisecond
	// maxDiscardBytes limits how much of the body of an error response is read
	// so that its connection can be reused.
	maxDiscardBytes = 16 << 10
)

// retryDecision says how to continue after a failed attempt.
type retryDecision int

const (
	noRetry          retryDecision = iota
	retryNow                       // retry at once
	retryAtNextOwner               // retry once the key has another owner
)

// failedAttempt describes a request after a failed attempt.
type failedAttempt struct {
	outcome    pollenlatch.Outcome
	reason     pollenlatch.Reason
	sent       bool // the attempt reached a server
	sends      int  // attempts that reached a server, this one included
	maxSends   int  // limit of sends
	hops       int  // all attempts
	idempotent bool // the request may run more than once
	keyed      bool // only the owner of the key may run it
	hasUntried bool // there is an endpoint that was not tried
	timeLeft   time.Duration
	replayable bool // the body can be sent again

	mustNotWait  bool    // it is nested, and the parts for overload apply
	refusedShare float64 // share of the requests to the service, or to the owner, that is refused
}

// maxOverloadHops returns after how many refusals because of overload the caller is
// told.
func (a failedAttempt) maxOverloadHops() int {
	if a.mustNotWait { // its parent has run in vain if it is refused
		return maxHops
	}
	if a.refusedShare > maxRefusedShare {
		return 1
	}
	return maxOverloadHops
}

// decide returns whether and how to retry a request with a Route. Retries help
// against failures of single servers and during hand-overs. Under a general
// overload decide stops after a few instances, so that the caller learns of it
// early. A retry after the request has reached a server also needs a token of
// the ServiceBudgets.
func (a failedAttempt) decide() retryDecision {
	if a.timeLeft < minTimeLeft || !a.replayable || a.hops >= maxHops {
		return noRetry
	}
	if a.outcome == pollenlatch.OutcomeUnknown {
		serverFault := a.reason == pollenlatch.ReasonConnectionLost || a.reason == pollenlatch.ReasonInvalidResponse || a.reason == pollenlatch.ReasonServerError
		if a.idempotent && serverFault && a.sends < a.maxSends {
			return retryNow
		}
		return noRetry
	}
	if a.outcome != pollenlatch.OutcomeNotRun || (a.sent && a.sends >= a.maxSends) {
		return noRetry
	}
	switch a.reason {
	case pollenlatch.ReasonWrongOwner, pollenlatch.ReasonVersionMismatch:
		return retryAtNextOwner
	case pollenlatch.ReasonQueueFull:
		// A server that refuses requests while it has free slots refuses only
		// some of them, so the next attempt may succeed.
		if a.sent {
			return retryNow
		}
		return a.retryElsewhere()
	case pollenlatch.ReasonOverloaded:
		if a.hops >= a.maxOverloadHops() {
			return noRetry
		}
		return a.retryElsewhere()
	case pollenlatch.ReasonEvacuated:
		if a.keyed {
			return retryAtNextOwner
		}
		return a.retryElsewhere()
	case pollenlatch.ReasonUnreachable, pollenlatch.ReasonDraining, pollenlatch.ReasonNoEndpoint,
		pollenlatch.ReasonServerRefused, pollenlatch.ReasonServerReplaced, pollenlatch.ReasonNoLease, pollenlatch.ReasonNoConfig:
		return a.retryElsewhere()
	default:
		return noRetry
	}
}

// retryElsewhere retries at another endpoint if any endpoint may run the
// request.
func (a failedAttempt) retryElsewhere() retryDecision {
	if !a.keyed && a.hasUntried {
		return retryNow
	}
	return noRetry
}

// prepareRoutedRetry reports whether to retry a request with a Route after f.
// It takes a token of the budget where one is needed, and waits for the next
// owner of the key where that is why the attempt failed.
func (p *pendingRequest) prepareRoutedRetry(ctx context.Context, f *pollenlatch.Failure) bool {
	if ctx.Err() != nil {
		return false
	}
	if f.Sent {
		p.sends++
	}
	a := failedAttempt{
		outcome: f.Outcome, reason: f.Reason, sent: f.Sent, sends: p.sends, maxSends: int(max(p.request.MaxAttempts, 1)),
		hops: p.attempts, idempotent: p.target.idempotent, keyed: p.target.owner.Instance != 0, hasUntried: p.hasUntried,
		timeLeft: time.Until(p.request.Deadline), replayable: p.body == nil || !p.body.notRewindable(),
		refusedShare: p.refusedShare(), mustNotWait: p.request.Nested && p.adaptive(),
	}
	decision := a.decide()
	if decision == noRetry || (f.Reason == pollenlatch.ReasonConnectionLost && !crash.MayRetry(p.cfg.Control.View(), p.request)) {
		return false
	}
	if p.sends > 0 && !p.takeRetry() {
		p.retriesRefused.Inc()
		return false
	}
	p.retries.Inc()
	if decision == retryNow {
		return true
	}
	until := time.Now().Add(min(maxOwnerWait, a.timeLeft/3))
	for {
		changed := p.cfg.Control.Changed()
		if p.ownerReplaced() {
			return true
		}
		if !waitForChange(ctx, changed, time.Until(until)) {
			return false
		}
	}
}

// hasRetry reports whether the budget of the service has a token for a retry. A share of
// it is kept for nested requests.
func (p *pendingRequest) hasRetry() bool {
	if p.request.Nested {
		return p.cfg.ServiceBudgets.HasNestedRetry(p.request.Service)
	}
	return p.cfg.ServiceBudgets.HasRetry(p.request.Service)
}

// takeRetry takes a token of the budget of the service, or returns false.
func (p *pendingRequest) takeRetry() bool {
	if p.request.Nested {
		return p.cfg.ServiceBudgets.TakeNestedRetry(p.request.Service)
	}
	return p.cfg.ServiceBudgets.TakeRetry(p.request.Service)
}

// refusedShare returns the share of the requests to the target that is refused.
func (p *pendingRequest) refusedShare() float64 {
	k, ok := p.throttleTarget()
	if !ok {
		return 0
	}
	return p.throttle.refusedShare(k, time.Now())
}

// ownerReplaced reports whether the owner or the fence of the shard has changed
// since the last attempt. During a hand-over the owner is still the one that
// refused the request.
func (p *pendingRequest) ownerReplaced() bool {
	o := p.target.owner
	now, ok := p.cfg.Control.View().ShardOwner(o.Shard)
	return !ok || now.Instance != o.Instance || now.Fence != o.Fence
}

// retryableServerError returns a failure that replaces a server's error
// response if the request is idempotent and can be retried, or else nil. It
// closes a response that it replaces.
func (p *pendingRequest) retryableServerError(resp *pollenlatch.Response) *pollenlatch.Failure {
	if !p.request.Routed() || !p.target.idempotent || resp.Status < http.StatusInternalServerError {
		return nil
	}
	a := failedAttempt{
		outcome: pollenlatch.OutcomeUnknown, reason: pollenlatch.ReasonServerError, sent: true, sends: p.sends + 1,
		maxSends: int(max(p.request.MaxAttempts, 1)), hops: p.attempts, idempotent: true,
		timeLeft: time.Until(p.request.Deadline), replayable: p.body == nil || !p.body.notRewindable(),
	}
	if a.decide() != retryNow || !p.hasRetry() {
		return nil
	}
	_, _ = io.CopyN(io.Discard, resp.Body, maxDiscardBytes)
	_ = resp.Body.Close()
	return &pollenlatch.Failure{
		Outcome: pollenlatch.OutcomeUnknown, Reason: pollenlatch.ReasonServerError, Status: http.StatusBadGateway,
		Detail: "server responded with an error status", Sent: true,
	}
}
