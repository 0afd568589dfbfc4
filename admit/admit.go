// Package admit counts the requests at the server beside this daemon against
// its slots, and orders those that wait for one.
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
	// DefaultQueueLimit bounds the queue of services that set no bound: ten times
	// the usual ten slots.
	DefaultQueueLimit = 100
	// retryAfter is the smallest value of Retry-After.
	retryAfter = time.Second
	// maxLimiters bounds the callers whose rate is remembered. Beyond it, those
	// with an unused allowance are forgotten, which changes nothing for them.
	maxLimiters = 4096
	// statusClosed is recorded for callers that went away; nobody reads it.
	statusClosed = 499
)

// Config describes a gate. The zero value has no limits but the queue's.
type Config struct {
	// QueueLimit returns the bound of the queue for a service; 0 is DefaultQueue.
	QueueLimit func(service string) int
	// RateLimit returns a caller's limit in requests a second and its burst. Rate 0
	// is unlimited.
	RateLimit func(caller string) (perSecond float64, burst int)
}

// PriorityAdmitter is a pollenlatch.Admitter. Use New, then SetSlots for each server.
type PriorityAdmitter struct {
	cfg Config

	mu       sync.Mutex
	slots    int
	running  int
	queue    queue
	limiters map[string]*rate.Limiter
}

// NewPriorityAdmitter returns a gate without slots, which refuses all work.
func NewPriorityAdmitter(cfg Config) *PriorityAdmitter {
	g := &PriorityAdmitter{cfg: cfg, limiters: map[string]*rate.Limiter{}}
	g.queue.discipline = AdaptiveLIFOCoDel
	g.queue.end = func(it *item, v verdict) { it.ready <- v }
	return g
}

// SetSlots sets how many requests the server runs at once. With 0 there is no
// server, and what waits is told so. Running requests are not affected.
func (g *PriorityAdmitter) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.slots = n
	if n <= 0 {
		g.withdraw()
		return
	}
	g.fill()
}

func (g *PriorityAdmitter) withdraw() {
	for c := range g.queue.waiting {
		for e := g.queue.waiting[c].Front(); e != nil; e = g.queue.waiting[c].Front() {
			g.queue.evict(e, withdrawn)
		}
	}
}

// fill starts waiting work while there are free slots. The caller holds mu.
func (g *PriorityAdmitter) fill() {
	now := time.Now()
	for g.running < g.slots {
		it := g.queue.pop(now)
		if it == nil {
			return
		}
		g.running++
		it.ready <- admitted
	}
}

// Load returns the numbers of running and waiting requests.
func (g *PriorityAdmitter) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, g.queue.n
}

// Admit waits for a slot until w.Deadline; a zero deadline is none. The caller
// calls release when the request has ended; further calls do nothing. The
// error is a *pollenlatch.Failure with OutcomeNotRun.
func (g *PriorityAdmitter) Admit(ctx context.Context, w pollenlatch.AdmitRequest) (release func(), err error) {
	now := time.Now()
	if f := g.early(ctx, w, now); f != nil {
		return nil, f
	}
	it, f := g.enter(w, now)
	if f != nil {
		return nil, f
	}
	if it != nil {
		if f := g.wait(ctx, it); f != nil {
			return nil, f
		}
	}
	return sync.OnceFunc(g.leave), nil
}

// early refuses work that is not to wait at all.
func (g *PriorityAdmitter) early(ctx context.Context, w pollenlatch.AdmitRequest, now time.Time) *pollenlatch.Failure {
	if ctx.Err() != nil {
		return ended(ctx)
	}
	if !w.Deadline.IsZero() && !now.Before(w.Deadline) {
		return late()
	}
	return g.limit(w.Caller, now)
}

// enter takes a free slot, or returns an item that waits for one.
func (g *PriorityAdmitter) enter(w pollenlatch.AdmitRequest, now time.Time) (*item, *pollenlatch.Failure) {
	bound := g.bound(w.Service)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.slots <= 0 {
		return nil, noServer()
	}
	if g.running < g.slots && g.queue.n == 0 {
		g.running++
		return nil, nil
	}
	it := &item{class: classIndex(w.Class), deadline: w.Deadline, ready: make(chan verdict, 1)}
	if it.deadline.IsZero() {
		it.deadline = now.Add(math.MaxInt64)
	}
	if !g.queue.push(it, bound, now) {
		return nil, full("queue is full")
	}
	g.fill()
	return it, nil
}

func (g *PriorityAdmitter) bound(service string) int {
	if g.cfg.QueueLimit != nil {
		if n := g.cfg.QueueLimit(service); n > 0 {
			return n
		}
	}
	return DefaultQueueLimit
}

// wait blocks until the item has a verdict, its deadline passes or ctx ends.
func (g *PriorityAdmitter) wait(ctx context.Context, it *item) *pollenlatch.Failure {
	t := time.NewTimer(time.Until(it.deadline))
	defer t.Stop()
	select {
	case v := <-it.ready:
		return failureOf(v)
	case <-t.C:
		return g.abandon(it, late())
	case <-ctx.Done():
		return g.abandon(it, ended(ctx))
	}
}

// abandon takes an item out of the queue. If it got a slot meanwhile, the slot
// goes to the next one.
func (g *PriorityAdmitter) abandon(it *item, f *pollenlatch.Failure) *pollenlatch.Failure {
	g.mu.Lock()
	waiting := g.queue.remove(it)
	g.mu.Unlock()
	if !waiting && <-it.ready == admitted {
		g.leave()
	}
	return f
}

// leave ends one running request.
func (g *PriorityAdmitter) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.fill()
}

// limit takes one request from the caller's allowance.
func (g *PriorityAdmitter) limit(caller string, now time.Time) *pollenlatch.Failure {
	if g.cfg.RateLimit == nil {
		return nil
	}
	perSecond, burst := g.cfg.RateLimit(caller)
	if perSecond <= 0 {
		return nil
	}
	l := g.limiter(caller, rate.Limit(perSecond), max(burst, 1), now)
	if l.AllowN(now, 1) {
		return nil
	}
	missing := 1 - l.TokensAt(now)
	return &pollenlatch.Failure{
		Outcome:    pollenlatch.OutcomeNotRun,
		Reason:     pollenlatch.ReasonRateLimited,
		Status:     http.StatusTooManyRequests,
		Detail:     "caller's rate limit is reached",
		RetryAfter: max(retryAfter, time.Duration(math.Ceil(missing/perSecond))*time.Second),
	}
}

func (g *PriorityAdmitter) limiter(caller string, r rate.Limit, burst int, now time.Time) *rate.Limiter {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.limiters[caller]
	if l == nil {
		if len(g.limiters) >= maxLimiters {
			g.forget(now)
		}
		l = rate.NewLimiter(r, burst)
		g.limiters[caller] = l
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

func (g *PriorityAdmitter) forget(now time.Time) {
	for caller, l := range g.limiters {
		if l.TokensAt(now) >= float64(l.Burst()) {
			delete(g.limiters, caller)
		}
	}
}

func failureOf(v verdict) *pollenlatch.Failure {
	switch v {
	case admitted:
		return nil
	case expired:
		return late()
	case withdrawn:
		return noServer()
	default:
		return full("server is overloaded")
	}
}

func notRun(why pollenlatch.Reason, status int, detail string) *pollenlatch.Failure {
	return &pollenlatch.Failure{Outcome: pollenlatch.OutcomeNotRun, Reason: why, Status: status, Detail: detail}
}

func late() *pollenlatch.Failure {
	return notRun(pollenlatch.ReasonDeadlineExceeded, http.StatusGatewayTimeout, "deadline passed before the request was started")
}

func ended(ctx context.Context) *pollenlatch.Failure {
	if ctx.Err() == context.DeadlineExceeded { //nolint:errorlint // Err returns it as it is
		return late()
	}
	return notRun(pollenlatch.ReasonCancelled, statusClosed, "the caller went away")
}

func noServer() *pollenlatch.Failure {
	f := notRun(pollenlatch.ReasonNoEndpoint, http.StatusServiceUnavailable, "no server has announced itself")
	f.RetryAfter = retryAfter
	return f
}

func full(detail string) *pollenlatch.Failure {
	f := notRun(pollenlatch.ReasonQueueFull, http.StatusServiceUnavailable, detail)
	f.RetryAfter = retryAfter
	return f
}
