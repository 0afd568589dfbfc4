package front

import (
	"context"
	"io"
	"net/http"
	"time"

	"pollenlatch"
)

const (
	// leastLeft is the time to its deadline below which no further attempt of a
	// request is made: an attempt elsewhere takes a few milliseconds.
	leastLeft = 5 * time.Millisecond
	// mostHops bounds the instances that refuse a request unsent, one after the
	// other, before the caller is told: each costs a way there and back.
	mostHops = 4
	// mostRefusals bounds those that refuse for overload: the picker has compared
	// several already, and under a general overload each further one costs
	// processor time that requests within their objective need.
	mostRefusals = 3
	// ownerWait bounds the wait for the next owner of a key that is leaving its
	// last one: the server ends what it runs for the key and says so in a
	// heartbeat, then a commit names the next owner.
	ownerWait = 400 * time.Millisecond
	// drainMost bounds the body of a server's error that is read to keep its
	// connection, in bytes.
	drainMost = 16 << 10
)

// step is what follows a failed attempt.
type step int

const (
	giveUp     step = iota
	again           // another attempt at once
	awaitOwner      // another attempt once the key has another owner
)

// attempted is what is known of a request after an attempt that failed.
type attempted struct {
	outcome  pollenlatch.Outcome
	reason   pollenlatch.Reason
	sent     bool // the attempt reached a server
	sends    int  // attempts that reached a server, this one included
	allowed  int  // of those
	hops     int  // attempts in all
	safe     bool // may run more than once
	keyed    bool // only the owner of its key may run it
	others   bool // an endpoint is left that was not tried
	left     time.Duration
	replayed bool // its body can be sent again
}

// next decides on a routed request after a failed attempt. It is for failures of
// single servers and moves of keys; under overload, where all refuse, it gives
// up after few hops so that the caller learns it early. A repeat that reaches a
// second server has to be paid from the budget as well.
func (a attempted) next() step {
	if a.left < leastLeft || !a.replayed || a.hops >= mostHops {
		return giveUp
	}
	if a.outcome == pollenlatch.OutcomeUnknown {
		faulty := a.reason == pollenlatch.ReasonConnectionLost || a.reason == pollenlatch.ReasonInvalidResponse || a.reason == pollenlatch.ReasonServerError
		if a.safe && faulty && a.sends < a.allowed {
			return again
		}
		return giveUp
	}
	if a.outcome != pollenlatch.OutcomeNotRun || (a.sent && a.sends >= a.allowed) {
		return giveUp
	}
	switch a.reason {
	case pollenlatch.ReasonWrongOwner, pollenlatch.ReasonVersionMismatch:
		return awaitOwner
	case pollenlatch.ReasonQueueFull:
		// A server that refuses although no more than its slots are in use
		// refuses part of its requests; the next one may pass.
		if a.sent {
			return again
		}
		return a.elsewhere()
	case pollenlatch.ReasonOverloaded:
		if a.hops >= mostRefusals {
			return giveUp
		}
		return a.elsewhere()
	case pollenlatch.ReasonUnreachable, pollenlatch.ReasonDraining, pollenlatch.ReasonNoEndpoint,
		pollenlatch.ReasonServerRefused, pollenlatch.ReasonServerReplaced, pollenlatch.ReasonNoLease, pollenlatch.ReasonNoConfig:
		return a.elsewhere()
	default:
		return giveUp
	}
}

// elsewhere tries another endpoint where any of them may run the request.
func (a attempted) elsewhere() step {
	if !a.keyed && a.others {
		return again
	}
	return giveUp
}

// againRouted reports whether a routed request gets another attempt after f, and
// waits before that.
func (x *route) againRouted(ctx context.Context, f *pollenlatch.Failure) bool {
	if ctx.Err() != nil {
		return false
	}
	if f.Sent {
		x.sends++
	}
	a := attempted{
		outcome: f.Outcome, reason: f.Reason, sent: f.Sent, sends: x.sends, allowed: int(max(x.request.MaxAttempts, 1)),
		hops: x.count, safe: x.target.safe, keyed: x.target.owner.Instance != 0, others: x.others,
		left: time.Until(x.request.Deadline), replayed: x.body == nil || !x.body.gone(),
	}
	n := a.next()
	if n == giveUp {
		return false
	}
	if x.sends > 0 && !x.cfg.ServiceBudgets.TakeRetry(x.request.Service) {
		x.spent.Inc()
		return false
	}
	x.retries.Inc()
	if n == again {
		return true
	}
	until := time.Now().Add(min(ownerWait, a.left/3))
	for {
		changed := x.cfg.Control.Changed()
		if x.ownerReplaced() {
			return true
		}
		if !waitChange(ctx, changed, time.Until(until)) {
			return false
		}
	}
}

// ownerReplaced reports whether the key has another owner or fence than at the
// last attempt. While it is moving, its owner is still the one that refused.
func (x *route) ownerReplaced() bool {
	o := x.target.owner
	now, ok := x.cfg.Control.View().ShardOwner(o.Shard)
	return !ok || now.Instance != o.Instance || now.Fence != o.Fence
}

// faulty returns a failure in place of a server's error to a request that may
// run more than once, if another attempt is possible.
func (x *route) faulty(w *pollenlatch.Response) *pollenlatch.Failure {
	if !x.request.Routed() || !x.target.safe || w.Status < http.StatusInternalServerError {
		return nil
	}
	a := attempted{
		outcome: pollenlatch.OutcomeUnknown, reason: pollenlatch.ReasonServerError, sent: true, sends: x.sends + 1,
		allowed: int(max(x.request.MaxAttempts, 1)), hops: x.count, safe: true,
		left: time.Until(x.request.Deadline), replayed: x.body == nil || !x.body.gone(),
	}
	if a.next() != again || !x.cfg.ServiceBudgets.HasRetry(x.request.Service) {
		return nil
	}
	_, _ = io.CopyN(io.Discard, w.Body, drainMost)
	_ = w.Body.Close()
	return &pollenlatch.Failure{
		Outcome: pollenlatch.OutcomeUnknown, Reason: pollenlatch.ReasonServerError, Status: http.StatusBadGateway,
		Detail: "the server answered with an error", Sent: true,
	}
}
