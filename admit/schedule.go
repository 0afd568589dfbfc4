package admit

import (
	"fmt"
	"math"
	"slices"
	"time"

	"pollenlatch"
)

const (
	// runShare is the weight of the newest run in the mean run time of a route.
	// A server that turns slow is known after about ten runs.
	runShare = 0.1
	// firstRun stands for the run time of a route nobody has run here yet.
	firstRun = 20 * time.Millisecond
	// maxRoutes bounds the routes whose run times are remembered.
	maxRoutes = 1024
	// leastRoom is the part of its usual run time that a request must have left
	// to be started at all: half of the runs are shorter than the mean.
	leastRoom = 0.7
	// loadSpan is the time over which the offered load is averaged for admission,
	// and demandSpan for the report to the planner.
	loadSpan   = time.Second
	demandSpan = 500 * time.Millisecond
	// longRun is the run time, relative to the mean of its route, that a request
	// must have room for to count as within its objective: nine of ten runs are
	// shorter.
	longRun = 1.6
	// leastSpare is the share of the server that is taken to be left for late
	// work under any load.
	leastSpare = 0.05
	// leastAfter is the shortest time after which a refused caller is asked to
	// come back, and afterShare the longest, as a part of the time that it has.
	leastAfter = 20 * time.Millisecond
	afterShare = 1.0 / 3
	// maxWaiting bounds the queue whatever the run times are.
	maxWaiting = 512
)

// waiter is a request that waits for a slot, or runs.
type waiter struct {
	pollenlatch.AdmitRequest
	run     time.Duration // usual run time when it came
	send    time.Duration // usual time of its answer on the network link, when it is paced
	started time.Time     // zero while it waits
	end     func(*pollenlatch.Failure)
}

// rank orders waiters: calls of running requests come first, since each holds a
// slot somewhere; then the more urgent class; then what can still be answered
// within its objective; then what is due first.
func (w *waiter) before(o *waiter, now time.Time) bool {
	if w.Nested != o.Nested {
		return w.Nested
	}
	if w.Class != o.Class {
		return w.Class < o.Class
	}
	if wl, ol := w.late(now), o.late(now); wl != ol {
		return ol
	}
	return w.due(now).Before(o.due(now))
}

// late reports whether a request that starts now misses its objective.
func (w *waiter) late(now time.Time) bool { return w.misses(now.Add(w.run + w.send)) }

// misses reports whether a request whose answer is expected at a time has no
// room in its objective for a long run.
func (w *waiter) misses(end time.Time) bool {
	return !w.SoftDeadline.IsZero() && end.Add(time.Duration((longRun-1)*float64(w.run))).After(w.SoftDeadline)
}

// due is the objective as long as it can be met, and then the deadline.
func (w *waiter) due(now time.Time) time.Time {
	if w.SoftDeadline.IsZero() || w.late(now) {
		return w.Deadline
	}
	return w.SoftDeadline
}

// schedule decides which requests wait for the slots of one server, in which
// order they run, and which are refused. It has no clock and no lock of its own.
//
// It answers three loads. Below the server's capacity everything runs in order
// of arrival. In a burst, requests wait as long as they are likely to be answered
// before their deadline, those within their objective first. Under lasting
// overload, of the server or of the network link that long answers leave by, only
// as many wait as can be answered within their objective, because a longer queue
// serves no more of them and makes all of them late.
type schedule struct {
	slots   int
	link    pollenlatch.Pacer // of long answers; nil has no bound
	running map[*waiter]struct{}
	waiting []*waiter
	runs    map[string]time.Duration // by route
	offered float64                  // slots asked for, over loadSpan
	sending float64                  // share of the link asked for, over loadSpan
	demand  float64                  // the same over demandSpan
	arrived float64                  // requests in a second, over demandSpan
	refused float64                  // of those, refused
	at      time.Time                // of all five
}

// usual returns the usual run time of a route.
func (s *schedule) usual(route string) time.Duration {
	if d, ok := s.runs[route]; ok {
		return d
	}
	return firstRun
}

// ran notes a run time.
func (s *schedule) ran(route string, d time.Duration) {
	if s.runs == nil || len(s.runs) >= maxRoutes {
		s.runs = make(map[string]time.Duration)
	}
	old, ok := s.runs[route]
	if !ok {
		s.runs[route] = d
		return
	}
	s.runs[route] = old + time.Duration(runShare*float64(d-old))
}

// offer adds a request to the offered load.
func (s *schedule) offer(w *waiter, now time.Time) {
	s.decay(now)
	s.offered += w.run.Seconds() / loadSpan.Seconds()
	s.sending += w.send.Seconds() / loadSpan.Seconds()
	s.demand += w.run.Seconds() / demandSpan.Seconds()
	s.arrived += 1 / demandSpan.Seconds()
}

func (s *schedule) decay(now time.Time) {
	if !s.at.IsZero() {
		gone := now.Sub(s.at).Seconds()
		s.offered *= math.Exp(-gone / loadSpan.Seconds())
		s.sending *= math.Exp(-gone / loadSpan.Seconds())
		fade := math.Exp(-gone / demandSpan.Seconds())
		s.demand *= fade
		s.arrived *= fade
		s.refused *= fade
	}
	s.at = now
}

// spare is the share of the server, and of the link if the request needs it,
// that work within its objective leaves.
func (s *schedule) spare(w *waiter) float64 {
	left := 1 - s.offered/float64(s.slots)
	if w.send > 0 {
		left = min(left, 1-s.sending)
	}
	return max(leastSpare, left)
}

// interval is the usual time between two ends of runs while all slots are taken.
func (s *schedule) interval(now time.Time) time.Duration {
	if len(s.running) == 0 {
		return 0
	}
	var sum time.Duration
	for r := range s.running {
		sum += max(r.run, now.Sub(r.started))
	}
	return sum / time.Duration(len(s.running)) / time.Duration(s.slots)
}

// start returns when a waiter is likely to start.
func (s *schedule) start(w *waiter, now time.Time) time.Time {
	if len(s.running) < s.slots && len(s.waiting) == 0 {
		return now
	}
	var ahead time.Duration
	for _, o := range s.waiting {
		if o != w && o.before(w, now) {
			ahead += o.run
		}
	}
	return now.Add(s.interval(now) + ahead/time.Duration(s.slots))
}

// answer returns when the answer of a waiter that starts at a time is likely to
// have left.
func (s *schedule) answer(w *waiter, begin, now time.Time) time.Time {
	end := begin.Add(w.run)
	if w.send == 0 {
		return end
	}
	free := now.Add(s.link.Backlog())
	for o := range s.running {
		free = free.Add(o.send)
	}
	for _, o := range s.waiting {
		if o != w && o.before(w, now) {
			free = free.Add(o.send)
		}
	}
	if free.After(end) {
		end = free
	}
	return end.Add(w.send)
}

// arrive takes a new request: it starts, waits, or is refused. What it pushes
// back beyond all hope is refused too.
func (s *schedule) arrive(w *waiter, now time.Time) *pollenlatch.Failure {
	w.run = s.usual(w.Route)
	if w.Bulk && s.link != nil {
		w.send = s.link.TypicalTime(w.Route)
	}
	s.offer(w, now)
	if s.slots <= 0 {
		return noServer()
	}
	begin := s.start(w, now)
	if f := s.hopeless(w, s.answer(w, begin, now), now); f != nil {
		return f
	}
	s.waiting = append(s.waiting, w)
	s.fill(now)
	s.sweep(now)
	return nil
}

// hopeless refuses a request that would be answered too late to be of use.
func (s *schedule) hopeless(w *waiter, end, now time.Time) *pollenlatch.Failure {
	work := w.run + w.send
	wait := end.Sub(now) - work
	if len(s.waiting) >= maxWaiting || end.After(w.Deadline) {
		return s.refuse(w, wait, now, "it would not be answered before its deadline")
	}
	if w.Nested || !w.misses(end) {
		return nil
	}
	late := now.Add(time.Duration(float64(wait) / s.spare(w)))
	if late.Add(work).After(w.Deadline) {
		return s.refuse(w, late.Sub(now), now, "lasting overload: it would miss its objective")
	}
	return nil
}

// refuse returns the failure of a request that is not to run, with the time
// after which the caller finds room, within the time that it has.
func (s *schedule) refuse(w *waiter, wait time.Duration, now time.Time, why string) *pollenlatch.Failure {
	s.refused += 1 / demandSpan.Seconds()
	left := w.Deadline.Sub(now)
	f := notRun(pollenlatch.ReasonOverloaded, statusUnavailable, fmt.Sprintf(
		"%s: waits %d ms for a usual run of %d ms, %d ms left; slots %d of %d, %d waiting, asked for %.1f slots and %.1f of the link",
		why, wait.Milliseconds(), (w.run+w.send).Milliseconds(), left.Milliseconds(), len(s.running), s.slots, len(s.waiting), s.offered, s.sending,
	))
	f.RetryAfter = max(leastAfter, min(wait, time.Duration(afterShare*float64(left))))
	return f
}

// fill starts waiting requests while there are free slots.
func (s *schedule) fill(now time.Time) {
	for len(s.running) < s.slots {
		w := s.next(now)
		if w == nil {
			return
		}
		w.started = now
		s.running[w] = struct{}{}
		w.end(nil)
	}
}

// next removes the request that is to run next. It refuses those on its way that
// are too late.
func (s *schedule) next(now time.Time) *waiter {
	for len(s.waiting) > 0 {
		best := 0
		for n, w := range s.waiting {
			if w.before(s.waiting[best], now) {
				best = n
			}
		}
		w := s.waiting[best]
		s.drop(best)
		if now.Add(time.Duration(leastRoom * float64(w.run))).Before(w.Deadline) {
			return w
		}
		w.end(s.refuse(w, 0, now, "it would not be answered before its deadline"))
	}
	return nil
}

func (s *schedule) drop(n int) {
	last := len(s.waiting) - 1
	s.waiting[n] = s.waiting[last]
	s.waiting[last] = nil
	s.waiting = s.waiting[:last]
}

// sweep refuses waiting requests that later, more urgent ones have pushed back
// beyond their deadline, as soon as that is known. It runs with each arrival, so
// it sorts once instead of counting for each request what comes before it.
func (s *schedule) sweep(now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	slices.SortStableFunc(s.waiting, func(a, b *waiter) int {
		switch {
		case a.before(b, now):
			return -1
		case b.before(a, now):
			return 1
		default:
			return 0
		}
	})
	var ahead time.Duration
	free := now.Add(s.interval(now))
	kept := s.waiting[:0]
	var late []*waiter
	for _, w := range s.waiting {
		if free.Add(ahead/time.Duration(s.slots) + time.Duration(leastRoom*float64(w.run))).After(w.Deadline) {
			late = append(late, w)
			continue
		}
		ahead += w.run
		kept = append(kept, w)
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
	for _, w := range late {
		w.end(s.refuse(w, free.Sub(now)+ahead/time.Duration(s.slots), now, "more urgent requests came before it"))
	}
}

// leave takes out a request that nobody waits for any more. It reports whether
// it was waiting.
func (s *schedule) leave(w *waiter) bool {
	for n, o := range s.waiting {
		if o == w {
			s.drop(n)
			return true
		}
	}
	return false
}

// finish ends a run.
func (s *schedule) finish(w *waiter, now time.Time) {
	if _, ok := s.running[w]; !ok {
		return
	}
	delete(s.running, w)
	s.ran(w.Route, now.Sub(w.started))
	s.fill(now)
}

// withdraw refuses all waiting requests: there is no server.
func (s *schedule) withdraw() {
	for _, w := range s.waiting {
		w.end(noServer())
	}
	s.waiting = nil
}
