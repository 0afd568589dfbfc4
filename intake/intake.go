// Package intake schedules large request bodies on the network link of limited
// bandwidth into this instance. Each body stays at its sender until its request is
// admitted, and then moves in chunks that the receiver requests.
package intake

import (
	"context"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"pollenlatch"
)

// recheckInterval is the interval at which waiting bodies are considered again although
// nothing has arrived, since a sender counts as stalled after some time.
const recheckInterval = 50 * time.Millisecond

// Link is a pollenlatch.Intake. The zero value is an unlimited link, whose bodies start
// at once. It is safe for concurrent use.
type Link struct {
	mu       sync.Mutex
	queue    queue
	onFree   func()
	timerSet bool // a call of wake is scheduled

	bodies *metrics.Counter // nil: not counted
	bytes  *metrics.Counter
}

// NewLink returns a link of the given bandwidth; 0 is unlimited.
func NewLink(bytesPerSecond float64) *Link {
	return &Link{queue: newQueue(max(0, bytesPerSecond))}
}

// OnFree sets the function that is called when a body that waits may be able to start.
// It must be called before Begin.
func (l *Link) OnFree(f func()) { l.onFree = f }

// Register exports metrics of the link. It must be called before Begin.
func (l *Link) Register(set *metrics.Set) {
	gauge := func(name string, f func(waiting, moving int, backlog time.Duration) float64) {
		set.GetOrCreateGauge("pollenlatch_intake_"+name, func() float64 { return f(l.Load()) })
	}
	gauge("waiting", func(waiting, _ int, _ time.Duration) float64 { return float64(waiting) })
	gauge("moving", func(_, moving int, _ time.Duration) float64 { return float64(moving) })
	gauge("backlog_seconds", func(_, _ int, backlog time.Duration) float64 { return backlog.Seconds() })
	l.bodies = set.GetOrCreateCounter("pollenlatch_intake_admitted_total")
	l.bytes = set.GetOrCreateCounter("pollenlatch_intake_bytes_total")
}

// Load returns the numbers of bodies that wait and that move, and how long all of them
// keep the link busy.
func (l *Link) Load() (waiting, moving int, backlog time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, b := range l.queue.bodies {
		if b.started {
			moving++
		} else {
			waiting++
		}
	}
	if l.limited() {
		backlog = l.queue.backlog()
	}
	return waiting, moving, backlog
}

func (l *Link) limited() bool { return l.queue.rate > 0 }

// RecordOther counts n bytes that arrived besides the bodies.
func (l *Link) RecordOther(n int) {
	if l == nil || !l.limited() || n <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.recordOther(n, time.Now())
}

// Begin implements pollenlatch.Intake.
func (l *Link) Begin(route string, size int64, softDeadline, deadline time.Time) pollenlatch.IncomingBody {
	t := &transfer{link: l}
	t.body = body{route: route, size: size, softDeadline: softDeadline, deadline: deadline}
	if softDeadline.IsZero() {
		t.body.softDeadline = deadline
	}
	if size < 0 {
		l.mu.Lock()
		t.body.size = l.queue.typicalSize(route)
		l.mu.Unlock()
	}
	return t
}

// wake lets waiting bodies and chunks use the time that the link has free.
func (l *Link) wake() {
	l.mu.Lock()
	l.timerSet = false
	l.releaseLocked(time.Now())
	l.mu.Unlock()
	l.notify()
}

// releaseLocked releases chunks, and schedules the next call of wake while anything
// waits. The caller must hold mu.
func (l *Link) releaseLocked(now time.Time) {
	delay := l.queue.release(now)
	if l.timerSet {
		return
	}
	for _, b := range l.queue.bodies {
		if b.chunk == 0 && b.started {
			continue
		}
		if delay <= 0 || delay > recheckInterval {
			delay = recheckInterval
		}
		l.timerSet = true
		time.AfterFunc(delay, l.wake)
		return
	}
}

// notify tells that a body may be able to start.
func (l *Link) notify() {
	l.mu.Lock()
	free := l.onFree != nil && l.limited() && l.queue.next(time.Now()) != nil
	l.mu.Unlock()
	if free {
		l.onFree()
	}
}

// transfer is the pollenlatch.IncomingBody of a Link.
type transfer struct {
	link     *Link
	body     body
	queued   bool // it is in the queue of the link
	ended    bool
	received time.Time
}

// Queue implements pollenlatch.IncomingBody.
func (t *transfer) Queue(runTime time.Duration, now time.Time) time.Time {
	l := t.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if t.ended {
		return now
	}
	t.body.softDeadline = t.body.softDeadline.Add(-runTime)
	t.body.deadline = t.body.deadline.Add(-runTime)
	t.queued = true
	l.queue.add(&t.body)
	if !l.limited() {
		return now
	}
	l.releaseLocked(now) // schedules wake
	return l.queue.expectedArrival(&t.body, now)
}

// Arrival implements pollenlatch.IncomingBody.
func (t *transfer) Arrival(now time.Time) time.Time {
	l := t.link
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.limited() || !t.queued || t.ended {
		return now
	}
	return l.queue.expectedArrival(&t.body, now)
}

// TransferTime implements pollenlatch.IncomingBody.
func (t *transfer) TransferTime() time.Duration {
	l := t.link
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.limited():
		return 0
	case t.queued:
		return l.queue.moveTime(t.body.remaining())
	default:
		return l.queue.moveTime(t.body.size)
	}
}

// MayStart implements pollenlatch.IncomingBody.
func (t *transfer) MayStart(now time.Time) bool {
	l := t.link
	if !l.limited() {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.queue.next(now) == &t.body
}

// Start implements pollenlatch.IncomingBody.
func (t *transfer) Start(now time.Time) {
	l := t.link
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queue.start(&t.body, now)
	if l.bodies != nil {
		l.bodies.Inc()
	}
}

// Wait implements pollenlatch.IncomingBody.
func (t *transfer) Wait(ctx context.Context, n int) error {
	l := t.link
	if !l.limited() || n <= 0 {
		return ctx.Err()
	}
	ready := make(chan struct{})
	l.mu.Lock()
	if t.ended || !t.queued {
		l.mu.Unlock()
		return ctx.Err()
	}
	t.body.chunk, t.body.turn = n, func() { close(ready) }
	l.releaseLocked(time.Now())
	l.mu.Unlock()
	select {
	case <-ready:
		l.notify()
		return nil
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-ready: // its turn has come in the meantime
		return nil
	default:
		t.body.chunk = 0
		return ctx.Err()
	}
}

// Arrived implements pollenlatch.IncomingBody.
func (t *transfer) Arrived(n int) {
	l := t.link
	now := time.Now()
	l.mu.Lock()
	if l.bytes != nil {
		l.bytes.Add(n)
	}
	l.queue.receive(&t.body, n, now)
	if l.limited() {
		l.releaseLocked(now)
	}
	l.mu.Unlock()
	l.notify()
}

// Received implements pollenlatch.IncomingBody.
func (t *transfer) Received() time.Time {
	t.link.mu.Lock()
	defer t.link.mu.Unlock()
	return t.received
}

// End implements pollenlatch.IncomingBody.
func (t *transfer) End(received bool) {
	l := t.link
	now := time.Now()
	l.mu.Lock()
	if t.ended {
		l.mu.Unlock()
		return
	}
	t.ended = true
	if received {
		t.received = now
		l.queue.recordSize(t.body.route, t.body.arrived)
	}
	if t.queued {
		l.queue.remove(&t.body)
	}
	if l.limited() {
		l.releaseLocked(now)
	}
	l.mu.Unlock()
	l.notify()
}
