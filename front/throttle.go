package front

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"pollenlatch"
)

const (
	// throttleWindow is the time over which requests and their acceptance are
	// averaged.
	throttleWindow = 2 * time.Second
	// throttleFactor is how many requests may be sent for each that is accepted. It
	// leaves room for the server to accept more as soon as it can.
	throttleFactor = 2
	// minThrottleRequests is the number of recent requests below which none is
	// refused.
	minThrottleRequests = 3
	// maxThrottleTargets is the maximum number of targets whose averages are kept.
	maxThrottleTargets = 4096
)

// throttle refuses requests at the instance that received them when their target
// refuses most of them. It answers two loads: a busy key, whose requests from all
// instances fill the network link of its owner until the owner's refusals arrive
// after the deadline; and a service that is overloaded as a whole, where each further
// instance that is asked receives the request, with its body, in vain.
//
// Of what it would send to a target, it refuses so much that about throttleFactor
// requests are sent for each accepted one. Below an overload of that factor it refuses
// nothing. The zero value is ready to use. It is safe for concurrent use.
type throttle struct {
	mu      sync.Mutex
	targets map[throttleTarget]*acceptance
	random  func() float64 // nil is rand.Float64
}

// throttleTarget is what refuses or accepts requests: the owner of keys, or with
// instance 0 a service as a whole.
type throttleTarget struct {
	instance pollenlatch.InstanceID
	service  string
	route    string
}

// acceptance holds exponentially decaying counts.
type acceptance struct {
	requests   float64
	accepted   float64
	retryAfter time.Duration // of the last refusal
	updatedAt  time.Time
}

func (a *acceptance) decay(now time.Time) {
	x := math.Exp(-now.Sub(a.updatedAt).Seconds() / throttleWindow.Seconds())
	a.requests, a.accepted, a.updatedAt = a.requests*x, a.accepted*x, now
}

// refusedShare returns the share of the requests that are refused, 0 to 1; 0 after
// too few requests.
func (a *acceptance) refusedShare() float64 {
	if a.requests < minThrottleRequests {
		return 0
	}
	return max(0, 1-a.accepted/a.requests)
}

// target returns the averages of a target. The caller must hold mu.
func (t *throttle) target(k throttleTarget, now time.Time) *acceptance {
	a := t.targets[k]
	if a == nil {
		if t.targets == nil || len(t.targets) >= maxThrottleTargets {
			t.targets = make(map[throttleTarget]*acceptance)
		}
		a = &acceptance{updatedAt: now}
		t.targets[k] = a
	}
	a.decay(now)
	return a
}

// admit counts a request to a target, and reports whether to send it; if not, also
// the target's last Retry-After.
func (t *throttle) admit(k throttleTarget, now time.Time) (ok bool, retryAfter time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.target(k, now)
	refuse := (a.requests - throttleFactor*a.accepted) / (a.requests + 1)
	enough := a.requests >= minThrottleRequests
	a.requests++
	random := rand.Float64
	if t.random != nil {
		random = t.random
	}
	return !enough || random() >= refuse, a.retryAfter
}

// record records the result of a request that was sent to a target; f is nil after a
// response.
func (t *throttle) record(k throttleTarget, f *pollenlatch.Failure, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a := t.target(k, now)
	if f == nil || !overloadReasons.Has(f.Reason) {
		a.accepted++
		return
	}
	if f.RetryAfter > 0 {
		a.retryAfter = f.RetryAfter
	}
}

// retryAfter returns the Retry-After of the last refusal of a target; 0 is none.
func (t *throttle) retryAfter(k throttleTarget, now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.target(k, now).retryAfter
}

// refusedShare returns the share of the requests to a target that are refused, 0 to 1.
func (t *throttle) refusedShare(k throttleTarget, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.target(k, now).refusedShare()
}

// overloadReasons are the reasons of failures that a target causes which has more
// requests than it can run. Behind a full network link its refusals arrive too late.
var overloadReasons = pollenlatch.SetOf(pollenlatch.ReasonOverloaded, pollenlatch.ReasonQueueFull, pollenlatch.ReasonDeadlineExceeded)
