package admit

import (
	"context"
	"net/http"
	"sync"
	"time"

	"pollenlatch"
)

const statusUnavailable = http.StatusServiceUnavailable

// Scheduler is a pollenlatch.Admitter for requests with an objective and a deadline.
// It goes by the run times that it sees. Use NewScheduler, then SetSlots.
type Scheduler struct {
	mu sync.Mutex
	s  schedule
}

// NewScheduler returns a scheduler without slots, which refuses all work.
func NewScheduler() *Scheduler {
	return &Scheduler{s: schedule{running: make(map[*waiter]struct{})}}
}

// WithPacer makes the scheduler reckon with the network link by which long
// answers leave. Call it before the first request.
func (g *Scheduler) WithPacer(l pollenlatch.Pacer) *Scheduler {
	g.s.link = l
	return g
}

// SetSlots sets how many requests the server runs at once. With 0 there is no
// server, and what waits is told so. Running requests are not affected.
func (g *Scheduler) SetSlots(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.s.slots = n
	if n <= 0 {
		g.s.withdraw()
		return
	}
	g.s.fill(time.Now())
}

// Load returns the numbers of running and waiting requests.
func (g *Scheduler) Load() (running, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.s.running), len(g.s.waiting)
}

// Demand is what requests ask of a server.
type Demand struct {
	Slots        float64       // that they would take if none were refused
	RefusedShare float64       // share of them that was refused
	TypicalRun   time.Duration // usual time of a run; 0 when there were too few
}

// leastArrived is the number of requests a second from which on their usual run
// time is known.
const leastArrived = 3

// Demand returns what requests ask of the server at present.
func (g *Scheduler) Demand() Demand {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.s.decay(time.Now())
	d := Demand{Slots: g.s.demand}
	if g.s.arrived > 0 {
		d.RefusedShare = g.s.refused / g.s.arrived
	}
	if g.s.arrived >= leastArrived {
		d.TypicalRun = time.Duration(g.s.demand / g.s.arrived * float64(time.Second))
	}
	return d
}

// Admit waits for a slot. The caller calls release when the request has ended;
// further calls do nothing. The error is a *pollenlatch.Failure with
// OutcomeNotRun.
func (g *Scheduler) Admit(ctx context.Context, work pollenlatch.AdmitRequest) (release func(), err error) {
	now := time.Now()
	if ctx.Err() != nil {
		return nil, ended(ctx)
	}
	verdict := make(chan *pollenlatch.Failure, 1)
	w := &waiter{AdmitRequest: work, end: func(f *pollenlatch.Failure) { verdict <- f }}
	if w.Deadline.IsZero() {
		w.Deadline = now.Add(time.Hour)
	}
	g.mu.Lock()
	f := g.s.arrive(w, now)
	g.mu.Unlock()
	if f == nil {
		f = g.wait(ctx, w, verdict)
	}
	if f != nil {
		return nil, f
	}
	return sync.OnceFunc(func() { g.finish(w) }), nil
}

// wait blocks until the request has a verdict, its deadline passes or ctx ends.
func (g *Scheduler) wait(ctx context.Context, w *waiter, verdict <-chan *pollenlatch.Failure) *pollenlatch.Failure {
	select {
	case f := <-verdict:
		return f
	default:
	}
	t := time.NewTimer(time.Until(w.Deadline))
	defer t.Stop()
	var f *pollenlatch.Failure
	select {
	case f := <-verdict:
		return f
	case <-t.C:
		f = late()
	case <-ctx.Done():
		f = ended(ctx)
	}
	g.mu.Lock()
	waiting := g.s.leave(w)
	g.mu.Unlock()
	if !waiting && <-verdict == nil {
		g.finish(w)
	}
	return f
}

func (g *Scheduler) finish(w *waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.s.finish(w, time.Now())
}
