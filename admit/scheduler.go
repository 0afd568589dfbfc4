package admit

import (
	"context"
	"net/http"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/gauge"
	"pollenlatch/logs"
)

// loadLogRate is the maximum number of log lines a second of each kind on the load of the
// server.
const loadLogRate = 1

const statusUnavailable = http.StatusServiceUnavailable

// Scheduler is a pollenlatch.Admitter for requests with a latency objective and a
// deadline. It predicts run times from those that it has observed. Use NewScheduler,
// then SetSlots.
type Scheduler struct {
	mu    sync.Mutex
	sched schedule
	slots int // of the server

	slotsLog, slownessLog *logs.Limiter
	wake                  *time.Timer // starts waiting requests when the limit allows the next one; nil before the first use
}

// NewScheduler returns a scheduler without slots, which refuses all requests.
func NewScheduler() *Scheduler {
	return &Scheduler{
		sched:    schedule{running: make(map[*request]struct{})},
		slotsLog: logs.NewLimiter(loadLogRate, 1), slownessLog: logs.NewLimiter(loadLogRate, 1),
	}
}

// WithPacer makes the scheduler account for the network link on which large
// responses are paced. It must be called before the first request.
func (s *Scheduler) WithPacer(p pollenlatch.Pacer) *Scheduler {
	s.sched.pacer = p
	return s
}

// WithGauge makes the scheduler account for the load that the server states: its slowness,
// and the slots that it needs for requests that this daemon does not wait for. It must be
// called before the first request.
func (s *Scheduler) WithGauge(g *gauge.Gauge) *Scheduler {
	s.sched.load.gauge = g
	return s
}

// applyLoad applies the load that the server states. The caller holds mu.
func (s *Scheduler) applyLoad(now time.Time) {
	g := s.sched.load.gauge
	if g == nil {
		return
	}
	slots := g.Slots(s.slots, now)
	if slots == s.sched.usableSlots {
		return
	}
	if suppressed, ok := s.slotsLog.Allow(now); ok {
		klog.InfoS("requests of others change the free slots of the server", "slots", slots, "before", s.sched.usableSlots, "of", s.slots,
			"running", len(s.sched.running), "waiting", len(s.sched.waiting), "suppressed", suppressed)
	}
	s.sched.setSlots(slots, s.sched.pace)
}

// LoadChanged applies a load that the gauge has just observed.
func (s *Scheduler) LoadChanged() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, before := time.Now(), s.sched.slots
	s.applyLoad(now)
	if s.sched.slots > before {
		s.sched.startWaiting(now)
		s.setWake(now)
	}
}

// ExpectedRun returns how long a request of a route is likely to run if it starts now; 0
// is unknown.
func (s *Scheduler) ExpectedRun(route string) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.sched.runTimes[route]; !known {
		return 0
	}
	s.sched.updateLoad(time.Now())
	return s.sched.load.outlook.End(0, s.sched.typicalWork(route))
}

// LongRun returns how long a long run of a route takes if it starts now: nine of ten runs
// are shorter. 0 is unknown.
func (s *Scheduler) LongRun(route string) time.Duration {
	return time.Duration(longRunFactor * float64(s.ExpectedRun(route)))
}

// UsesSlowness reports whether the slowness that the server states is used.
func (s *Scheduler) UsesSlowness() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.load.active
}

// SetSlots sets how many requests the server runs at the same time. 0 means that
// there is no server, and refuses the waiting requests. Running requests are not
// affected.
func (s *Scheduler) SetSlots(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slots = n
	s.sched.setSlots(n, s.sched.pace)
	if n <= 0 {
		s.sched.refuseAll(noServer)
		return
	}
	now := time.Now()
	s.applyLoad(now)
	s.sched.startWaiting(now)
	s.setWake(now)
}

// RefuseDraining refuses the waiting requests, since the server is draining.
func (s *Scheduler) RefuseDraining() { s.RefuseWaiting(serverDraining) }

// RefuseWaiting refuses the waiting requests: the router sends them to other servers
// while there is time. Running requests are not affected.
func (s *Scheduler) RefuseWaiting(newFailure func() *pollenlatch.Failure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.refuseAll(newFailure)
}

// SetLimit sets how many requests a second the server accepts; 0 is no limit.
func (s *Scheduler) SetLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.sched.limiter.SetLimit(perSecond, now)
	s.sched.startWaiting(now)
	s.setWake(now)
}

// SetPace sets how many slots the server may use during its slow start; 0 is all. Fewer
// slots do not affect running requests, and waiting ones that can no longer be served in
// time are refused.
func (s *Scheduler) SetPace(slots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.setSlots(s.sched.usableSlots, slots)
	now := time.Now()
	s.sched.startWaiting(now)
	s.sched.refuseOverdue(now)
	s.setWake(now)
}

// PaceStats returns how many requests have waited because of the slow start of a server,
// and how many were refused because of it.
func (s *Scheduler) PaceStats() (delayed, refused uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.paceDelayed, s.sched.paceRefused
}

// SetColdLimit sets how many requests a second a server gets while it is cold, whether
// it is cold, and when that is expected to end; zero is unknown. Requests that were sent
// to it in the last second before it becomes cold count. perSecond 0 is no limit. Both
// this limit and that of SetLimit apply.
func (s *Scheduler) SetColdLimit(perSecond float64, cold bool, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.sched.cold.SetLimit(perSecond, cold, until, now)
	s.sched.startWaiting(now)
	s.sched.refuseOverdue(now)
	s.setWake(now)
}

// ColdStats returns how many requests have waited for the limit of a cold server, and
// how many were refused because of it.
func (s *Scheduler) ColdStats() (delayed, refused uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.sched.coldDelayed, s.sched.coldRefused
}

// setWake schedules the next start of a waiting request that the limit delays. The
// caller holds mu.
func (s *Scheduler) setWake(now time.Time) {
	d, delayed := s.sched.limitDelay(now)
	if !delayed {
		return
	}
	if s.wake == nil {
		s.wake = time.AfterFunc(d, s.startDelayed)
		return
	}
	s.wake.Reset(d)
}

// startDelayed starts the waiting requests that the limit allows now.
func (s *Scheduler) startDelayed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.sched.startWaiting(now)
	s.setWake(now)
}

// Load returns the numbers of running and waiting requests.
func (s *Scheduler) Load() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.sched.running), len(s.sched.waiting)
}

// Demand is the load that requests offer to a server.
type Demand struct {
	Slots        float64       // slots that the requests would occupy if none were refused
	RefusedShare float64       // share of the requests that was refused, 0 to 1
	TypicalRun   time.Duration // typical run time; 0 after too few requests
}

// minArrivalRate is the minimum rate, in requests a second, at which Demand reports
// their typical run time.
const minArrivalRate = 3

// Demand returns the current demand.
func (s *Scheduler) Demand() Demand {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sched.decay(time.Now())
	d := Demand{Slots: s.sched.demandSlots}
	if s.sched.arrivalRate > 0 {
		d.RefusedShare = s.sched.refusalRate / s.sched.arrivalRate
	}
	if s.sched.arrivalRate >= minArrivalRate {
		d.TypicalRun = time.Duration(s.sched.demandSlots / s.sched.arrivalRate * float64(time.Second))
	}
	return d
}

// Admit waits for a slot. The caller must call release when the request has
// completed; further calls have no effect. The error is a *pollenlatch.Failure with
// OutcomeNotRun.
func (s *Scheduler) Admit(ctx context.Context, ar pollenlatch.AdmitRequest) (release func(), err error) {
	now := time.Now()
	if ctx.Err() != nil {
		return nil, contextFailure(ctx)
	}
	decided := make(chan *pollenlatch.Failure, 1)
	r := &request{AdmitRequest: ar, onDecision: func(f *pollenlatch.Failure) { decided <- f }}
	if r.Deadline.IsZero() {
		r.Deadline = now.Add(time.Hour)
	}
	s.mu.Lock()
	s.applyLoad(now)
	f := s.sched.arrive(r, now)
	s.setWake(now)
	until := r.latestStart()
	s.mu.Unlock()
	if f == nil {
		f = s.wait(ctx, r, until, decided)
	}
	if f != nil {
		return nil, f
	}
	return sync.OnceFunc(func() { s.finish(r) }), nil
}

// wait blocks until the request is admitted or refused, it can no longer be started, or
// ctx is done. until is its latest start.
func (s *Scheduler) wait(ctx context.Context, r *request, until time.Time, decided <-chan *pollenlatch.Failure) *pollenlatch.Failure {
	select {
	case f := <-decided:
		return f
	default:
	}
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	for {
		select {
		case f := <-decided:
			return f
		case <-t.C:
			if !r.Adaptive {
				return s.cancelWait(r, deadlineExceeded(), decided)
			}
			f, left := s.expire(r, time.Now())
			if f != nil {
				return f
			}
			t.Reset(left)
		case <-ctx.Done():
			return s.cancelWait(r, contextFailure(ctx), decided)
		}
	}
}

// expire refuses a request that can no longer be started. Otherwise it returns the time
// until then, because the server may have become faster since the request arrived.
func (s *Scheduler) expire(r *request, now time.Time) (f *pollenlatch.Failure, left time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLoad(now)
	s.sched.updateLoad(now)
	if left := r.latestStart().Sub(now); left > 0 {
		return nil, left
	}
	start := s.sched.estimateStart(r, now)
	if !s.sched.cancelWait(r) {
		return nil, refusalTime // it has been decided meanwhile
	}
	return s.sched.refusal(r, max(0, start.Sub(now)), now, "the response would miss the deadline"), 0
}

// cancelWait ends the wait of a request with f. If it has got a slot in the meantime, the
// slot is released.
func (s *Scheduler) cancelWait(r *request, f *pollenlatch.Failure, decided <-chan *pollenlatch.Failure) *pollenlatch.Failure {
	s.mu.Lock()
	waiting := s.sched.cancelWait(r)
	s.mu.Unlock()
	if !waiting && <-decided == nil {
		s.finish(r)
	}
	return f
}

func (s *Scheduler) finish(r *request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.applyLoad(now)
	unreliable := s.sched.load.unreliable
	s.sched.finish(r, now)
	if load := &s.sched.load; load.unreliable != unreliable {
		if suppressed, ok := s.slownessLog.Allow(now); ok {
			klog.InfoS("run times show whether the stated slowness of the server is right", "used", !load.unreliable,
				"workError", load.workError, "timeError", load.timeError, "stated", load.stated.Present, "suppressed", suppressed)
		}
	}
	s.setWake(now)
}
