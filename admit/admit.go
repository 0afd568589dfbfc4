// Package admit limits the requests that run on the local server at the same time
// to its slots, and orders those that wait for a slot.
package admit

import (
	"context"
	"math"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"pollenlatch"
)

const (
	// DefaultQueueLimit is the queue limit of services that set none: ten times the
	// typical ten slots.
	DefaultQueueLimit = 100
	// retryAfter is the minimum value of Retry-After.
	retryAfter = time.Second
	// maxLimiters is the number of rate limiters at which those with a full bucket
	// are evicted, which changes nothing for their callers.
	maxLimiters = 4096
	// statusClientClosedRequest is recorded for callers that disconnected, so it never
	// reaches them.
	statusClientClosedRequest = 499
)

// Config configures a PriorityAdmitter. The zero value has no limit but that of the
// queue.
type Config struct {
	// QueueLimit returns the maximum length of the queue for requests of a service; 0
	// is DefaultQueueLimit.
	QueueLimit func(service string) int
	// RateLimit returns a caller's limit in requests a second and its burst in
	// requests. A rate of 0 is unlimited.
	RateLimit func(caller string) (perSecond float64, burst int)
}

// PriorityAdmitter is a pollenlatch.Admitter that orders requests by class. Use
// NewPriorityAdmitter, then SetSlots for each server.
type PriorityAdmitter struct {
	cfg Config

	mu       sync.Mutex
	slots    int
	running  int
	queue    queue
	limiters map[string]*rate.Limiter
}

// NewPriorityAdmitter returns an admitter without slots, which refuses all
// requests.
func NewPriorityAdmitter(cfg Config) *PriorityAdmitter {
	a := &PriorityAdmitter{cfg: cfg, limiters: map[string]*rate.Limiter{}}
	a.queue.discipline = AdaptiveLIFOCoDel
	a.queue.onEvict = func(it *item, d decision) { it.decided <- d }
	return a
}

// SetSlots sets how many requests the server runs at the same time. 0 means that
// there is no server, and refuses the waiting requests. Running requests are not
// affected.
func (a *PriorityAdmitter) SetSlots(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots = n
	if n <= 0 {
		a.refuseAll()
		return
	}
	a.admitWaiting()
}

func (a *PriorityAdmitter) refuseAll() {
	for c := range a.queue.waiting {
		for e := a.queue.waiting[c].Front(); e != nil; e = a.queue.waiting[c].Front() {
			a.queue.evict(e, decisionNoServer)
		}
	}
}

// admitWaiting admits waiting requests while there are free slots. The caller must
// hold mu.
func (a *PriorityAdmitter) admitWaiting() {
	now := time.Now()
	for a.running < a.slots {
		it := a.queue.pop(now)
		if it == nil {
			return
		}
		a.running++
		it.decided <- decisionAdmitted
	}
}

// Load returns the numbers of running and waiting requests.
func (a *PriorityAdmitter) Load() (running, waiting int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.running, a.queue.n
}

// Admit waits for a slot until r.Deadline, or without a limit when that is zero.
// The caller must call release when the request has completed; further calls have
// no effect. The error is a *pollenlatch.Failure with OutcomeNotRun.
func (a *PriorityAdmitter) Admit(ctx context.Context, r pollenlatch.AdmitRequest) (release func(), err error) {
	now := time.Now()
	if f := a.precheck(ctx, r, now); f != nil {
		return nil, f
	}
	it, f := a.acquireOrEnqueue(r, now)
	if f != nil {
		return nil, f
	}
	if it != nil {
		if f := a.wait(ctx, it); f != nil {
			return nil, f
		}
	}
	return sync.OnceFunc(a.releaseSlot), nil
}

// precheck refuses requests that must not wait for a slot.
func (a *PriorityAdmitter) precheck(ctx context.Context, r pollenlatch.AdmitRequest, now time.Time) *pollenlatch.Failure {
	if ctx.Err() != nil {
		return contextFailure(ctx)
	}
	if !r.Deadline.IsZero() && !now.Before(r.Deadline) {
		return deadlineExceeded()
	}
	return a.checkRateLimit(r.Caller, now)
}

// acquireOrEnqueue takes a free slot and returns nil, or returns a queued item.
func (a *PriorityAdmitter) acquireOrEnqueue(r pollenlatch.AdmitRequest, now time.Time) (*item, *pollenlatch.Failure) {
	limit := a.queueLimit(r.Service)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.slots <= 0 {
		return nil, noServer()
	}
	if a.running < a.slots && a.queue.n == 0 {
		a.running++
		return nil, nil
	}
	it := &item{class: classIndex(r.Class), deadline: r.Deadline, decided: make(chan decision, 1)}
	if it.deadline.IsZero() {
		it.deadline = now.Add(math.MaxInt64)
	}
	if !a.queue.push(it, limit, now) {
		return nil, queueFull("queue is full")
	}
	a.admitWaiting()
	return it, nil
}

func (a *PriorityAdmitter) queueLimit(service string) int {
	if a.cfg.QueueLimit != nil {
		if n := a.cfg.QueueLimit(service); n > 0 {
			return n
		}
	}
	return DefaultQueueLimit
}

// wait blocks until the item has a decision, its deadline passes or ctx is done.
func (a *PriorityAdmitter) wait(ctx context.Context, it *item) *pollenlatch.Failure {
	t := time.NewTimer(time.Until(it.deadline))
	defer t.Stop()
	select {
	case d := <-it.decided:
		return failureOf(d)
	case <-t.C:
		return a.cancelWait(it, deadlineExceeded())
	case <-ctx.Done():
		return a.cancelWait(it, contextFailure(ctx))
	}
}

// cancelWait removes an item from the queue. If it has got a slot in the meantime,
// the slot is released.
func (a *PriorityAdmitter) cancelWait(it *item, f *pollenlatch.Failure) *pollenlatch.Failure {
	a.mu.Lock()
	waiting := a.queue.remove(it)
	a.mu.Unlock()
	if !waiting && <-it.decided == decisionAdmitted {
		a.releaseSlot()
	}
	return f
}

func (a *PriorityAdmitter) releaseSlot() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.running--
	a.admitWaiting()
}

// checkRateLimit takes one token from the caller's bucket, or refuses the request.
func (a *PriorityAdmitter) checkRateLimit(caller string, now time.Time) *pollenlatch.Failure {
	if a.cfg.RateLimit == nil {
		return nil
	}
	perSecond, burst := a.cfg.RateLimit(caller)
	if perSecond <= 0 {
		return nil
	}
	l := a.limiter(caller, rate.Limit(perSecond), max(burst, 1), now)
	if l.AllowN(now, 1) {
		return nil
	}
	missingTokens := 1 - l.TokensAt(now)
	return &pollenlatch.Failure{
		Outcome:    pollenlatch.OutcomeNotRun,
		Reason:     pollenlatch.ReasonRateLimited,
		Status:     http.StatusTooManyRequests,
		Detail:     "the caller exceeded its rate limit",
		RetryAfter: max(retryAfter, time.Duration(math.Ceil(missingTokens/perSecond))*time.Second),
	}
}

func (a *PriorityAdmitter) limiter(caller string, r rate.Limit, burst int, now time.Time) *rate.Limiter {
	a.mu.Lock()
	defer a.mu.Unlock()
	l := a.limiters[caller]
	if l == nil {
		if len(a.limiters) >= maxLimiters {
			a.evictIdleLimiters(now)
		}
		l = rate.NewLimiter(r, burst)
		a.limiters[caller] = l
		return l
	}
	if l.Limit() != r {
		l.SetLimitAt(now, r)
	}
	if l.Burst() != burst {
		l.SetBurstAt(now, burst)
	}
	return l
}

func (a *PriorityAdmitter) evictIdleLimiters(now time.Time) {
	for caller, l := range a.limiters {
		if l.TokensAt(now) >= float64(l.Burst()) {
			delete(a.limiters, caller)
		}
	}
}

func failureOf(d decision) *pollenlatch.Failure {
	switch d {
	case decisionAdmitted:
		return nil
	case decisionExpired:
		return deadlineExceeded()
	case decisionNoServer:
		return noServer()
	default:
		return queueFull("server is overloaded")
	}
}

func notRun(reason pollenlatch.Reason, status int, detail string) *pollenlatch.Failure {
	return &pollenlatch.Failure{Outcome: pollenlatch.OutcomeNotRun, Reason: reason, Status: status, Detail: detail}
}

func deadlineExceeded() *pollenlatch.Failure {
	return notRun(pollenlatch.ReasonDeadlineExceeded, http.StatusGatewayTimeout, "deadline passed before the request was started")
}

func contextFailure(ctx context.Context) *pollenlatch.Failure {
	if ctx.Err() == context.DeadlineExceeded { //nolint:errorlint // Err returns the sentinel unwrapped
		return deadlineExceeded()
	}
	return notRun(pollenlatch.ReasonCancelled, statusClientClosedRequest, "the caller disconnected")
}

func noServer() *pollenlatch.Failure {
	f := notRun(pollenlatch.ReasonNoEndpoint, http.StatusServiceUnavailable, "no server has announced itself")
	f.RetryAfter = retryAfter
	return f
}

func serverDraining() *pollenlatch.Failure {
	f := notRun(pollenlatch.ReasonDraining, http.StatusServiceUnavailable, "the server is draining")
	f.RetryAfter = retryAfter
	return f
}

func queueFull(detail string) *pollenlatch.Failure {
	f := notRun(pollenlatch.ReasonQueueFull, http.StatusServiceUnavailable, detail)
	f.RetryAfter = retryAfter
	return f
}
