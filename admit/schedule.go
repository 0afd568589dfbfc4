package admit

import (
	"fmt"
	"math"
	"slices"
	"time"

	"pollenlatch"
	"pollenlatch/cold"
	"pollenlatch/quota"
)

const (
	// runTimeWeight is the weight of the newest run in the exponentially weighted
	// moving average of a route's run times. A server that becomes slow shows after
	// about ten runs.
	runTimeWeight = 0.1
	// initialRunTime is the assumed run time of a route before its first run.
	initialRunTime = 20 * time.Millisecond
	// maxRoutes is the maximum number of routes whose run times are kept.
	maxRoutes = 1024
	// minRunShare is the share of the typical run time that a request must have left
	// to be started: half of the runs are shorter than the mean.
	minRunShare = 0.7
	// loadWindow is the time over which the offered load is averaged for admission,
	// and demandWindow the time for the report to the planner.
	loadWindow   = time.Second
	demandWindow = 500 * time.Millisecond
	// longRunFactor is the run time, relative to the mean of the route, that must fit
	// into the objective of a request for it to count as on time: nine of ten runs
	// are shorter.
	longRunFactor = 1.6
	// minSpareShare is the minimum share of the server that is assumed to be left for
	// late requests.
	minSpareShare = 0.05
	// minRetryAfter is the minimum time after which a refused caller is asked to
	// retry, and maxRetryAfterShare the maximum, as a share of the time left until
	// its deadline.
	minRetryAfter      = 20 * time.Millisecond
	maxRetryAfterShare = 1.0 / 3
	// maxWaiting is the maximum number of waiting requests, whatever their run times.
	maxWaiting = 512
)

// request is a request that waits for a slot or runs.
type request struct {
	pollenlatch.AdmitRequest
	work       time.Duration // typical run time at a slowness of 1; see schedule.load
	runTime    time.Duration // typical run time if it starts now
	longExcess time.Duration // by which a long run exceeds it
	sendTime   time.Duration // typical time of the response on the network link; 0 when it is not paced
	bodyTime   time.Duration // time of the large body on the network link at arrival; 0 when there is none
	started    time.Time     // zero while it waits
	startClock time.Duration // of the gauge, when it was started
	predicted  time.Duration // run time by the slowness that the server stated then; 0 without
	starved    bool          // its route gets too few slots
	onDecision func(*pollenlatch.Failure)
}

// before reports whether r is started before o. Nested requests come first, since
// the request that waits for each of them occupies a slot; then routes that get too few
// slots; then the more urgent class; then requests that can still meet their objective;
// then those whose callers have come back; then the earliest deadline.
func (r *request) before(o *request, now time.Time) bool {
	if r.Nested != o.Nested {
		return r.Nested
	}
	if r.starved != o.starved {
		return r.starved
	}
	if r.Class != o.Class {
		return r.Class < o.Class
	}
	if rMisses, oMisses := r.wouldMiss(now), o.wouldMiss(now); rMisses != oMisses {
		return oMisses
	}
	if rReturned, oReturned := r.Adaptive && r.Returned, o.Adaptive && o.Returned; rReturned != oReturned {
		return rReturned
	}
	return r.effectiveDeadline(now).Before(o.effectiveDeadline(now))
}

// wouldMiss reports whether the request misses its objective if it starts now.
func (r *request) wouldMiss(now time.Time) bool {
	return r.missesObjective(now.Add(r.serviceTime()))
}

// missesObjective reports whether the request misses its objective if its run is a
// long one. After a typical run it would complete at end.
func (r *request) missesObjective(end time.Time) bool {
	return !r.SoftDeadline.IsZero() && end.Add(r.longExcess).After(r.SoftDeadline)
}

// effectiveDeadline returns the soft deadline as long as it can be met, and then the
// deadline.
func (r *request) effectiveDeadline(now time.Time) time.Time {
	if r.SoftDeadline.IsZero() || r.wouldMiss(now) {
		return r.Deadline
	}
	return r.SoftDeadline
}

// schedule decides which requests wait for the slots of one server, in which order
// they run, and which are refused. It takes the time as an argument, and its callers
// must lock it.
//
// It distinguishes three levels of load. Below the capacity of the server, requests
// run in order of arrival. In a burst, requests wait as long as they are likely to
// complete before their deadline, and those that can meet their objective go first.
// Under lasting overload of the server, or of the network link on which large
// responses are paced, only as many requests wait as can meet their objective: a
// longer queue would serve no more of them and make all of them late.
type schedule struct {
	slots        int               // in use at present
	usableSlots  int               // of the server, without those that requests of others occupy; slots is less during its slow start
	pace         int               // slots that the server may use during its slow start; 0 is all
	paceDelayed  uint64            // requests that waited because of it
	paceRefused  uint64            // requests that were refused because of it
	limiter      quota.Limiter     // of the requests that the server accepts
	cold         cold.Limiter      // of the requests that the server gets while it is cold
	coldDelayed  uint64            // requests that waited for the limit of a cold server
	coldRefused  uint64            // requests that were refused because of it
	pacer        pollenlatch.Pacer // of large responses; nil is an unlimited link
	running      map[*request]struct{}
	waiting      []*request
	runTimes     map[string]time.Duration // by route
	load         serverLoad
	offeredSlots float64   // offered load in slots, over loadWindow
	offeredLink  float64   // offered load as a share of the link, over loadWindow
	offeredBody  float64   // the same for large bodies on the link into this instance
	demandSlots  float64   // offered load in slots, over demandWindow
	arrivalRate  float64   // requests a second, over demandWindow
	refusalRate  float64   // refused requests a second, over demandWindow
	decayedAt    time.Time // time of the last decay of the averages above
	adaptive     adaptive
}

func (s *schedule) typicalRunTime(route string) time.Duration {
	if d, ok := s.runTimes[route]; ok {
		return d
	}
	return initialRunTime
}

func (s *schedule) recordRunTime(route string, d time.Duration) {
	if s.runTimes == nil || len(s.runTimes) >= maxRoutes {
		s.runTimes = make(map[string]time.Duration)
	}
	old, ok := s.runTimes[route]
	if !ok {
		s.runTimes[route] = d
		return
	}
	s.runTimes[route] = old + time.Duration(runTimeWeight*float64(d-old))
}

// recordArrival adds a request to the averages of the offered load.
func (s *schedule) recordArrival(r *request, now time.Time) {
	s.decay(now)
	run := s.meanRunTime(r.Route).Seconds()
	s.offeredSlots += run / loadWindow.Seconds()
	s.offeredLink += r.sendTime.Seconds() / loadWindow.Seconds()
	s.offeredBody += r.bodyTime.Seconds() / loadWindow.Seconds()
	s.demandSlots += run / demandWindow.Seconds()
	s.arrivalRate += 1 / demandWindow.Seconds()
}

func (s *schedule) decay(now time.Time) {
	if !s.decayedAt.IsZero() {
		elapsed := now.Sub(s.decayedAt).Seconds()
		s.offeredSlots *= math.Exp(-elapsed / loadWindow.Seconds())
		s.offeredLink *= math.Exp(-elapsed / loadWindow.Seconds())
		s.offeredBody *= math.Exp(-elapsed / loadWindow.Seconds())
		decay := math.Exp(-elapsed / demandWindow.Seconds())
		s.demandSlots *= decay
		s.arrivalRate *= decay
		s.refusalRate *= decay
	}
	s.decayedAt = now
}

// spareShare returns the share of the server, and of the link if the response is
// paced, that the offered load leaves free.
func (s *schedule) spareShare(r *request) float64 {
	left := 1 - s.offeredSlots/float64(s.slots)
	if limit := s.limit(); limit > 0 {
		left = min(left, 1-s.arrivalRate/limit)
	}
	if r.sendTime > 0 {
		left = min(left, 1-s.offeredLink)
	}
	if r.bodyTime > 0 {
		left = min(left, 1-s.offeredBody)
	}
	return max(minSpareShare, left)
}

// limit returns the number of requests a second that the server may get, or 0 without a
// limit.
func (s *schedule) limit() float64 {
	limit, coldLimit := s.limiter.Limit(), s.cold.Limit()
	if limit == 0 || (coldLimit > 0 && coldLimit < limit) {
		return coldLimit
	}
	return limit
}

// limitWait returns the time until the limits allow the n-th request from now, counted
// from 1.
func (s *schedule) limitWait(n int, now time.Time) time.Duration {
	return max(s.limiter.Wait(n, now), s.cold.Wait(n, now))
}

// completionInterval returns the typical work of a slot between two completions while
// all slots are occupied.
func (s *schedule) completionInterval(now time.Time) time.Duration {
	if len(s.running) == 0 {
		return 0
	}
	var sum time.Duration
	for o := range s.running {
		sum += max(o.work, s.load.done(o, now))
	}
	return sum / time.Duration(len(s.running)) / time.Duration(s.slots)
}

// estimateStart returns when a request is likely to start.
func (s *schedule) estimateStart(r *request, now time.Time) time.Time {
	if s.freeSlots(r.Nested) > 0 && (len(s.waiting) == 0 || s.waitsForLinkOnly()) {
		return now.Add(s.limitWait(1, now))
	}
	var ahead time.Duration
	first := 1 // position of the request in the queue
	for _, o := range s.waiting {
		if o != r && o.before(r, now) {
			ahead += o.work
			first++
		}
	}
	ahead = s.completionInterval(now) + ahead/time.Duration(s.slots)
	return now.Add(max(s.load.outlook.End(0, ahead), s.limitWait(first, now)))
}

// delayedByCold reports whether the limit of a cold server, and not a lack of slots,
// delays the waiting requests.
func (s *schedule) delayedByCold(now time.Time) bool {
	return len(s.running) < s.slots && s.cold.Wait(len(s.waiting)+1, now) > 0
}

// delayedByPace reports whether the slow start of the server, and not a lack of slots,
// delays the waiting requests.
func (s *schedule) delayedByPace() bool {
	return len(s.running) >= s.slots && len(s.running) < s.usableSlots
}

// setSlots sets the slots of the server that are free for the requests of this daemon, and
// how many of them it may use during its slow start; pace 0 is all.
func (s *schedule) setSlots(n, pace int) {
	s.slots, s.usableSlots, s.pace = n, n, pace
	if pace > 0 {
		s.slots = min(n, pace)
	}
}

// limitDelay returns the time until the limit of the server allows a waiting request
// that has a free slot. delayed is false when there is none.
func (s *schedule) limitDelay(now time.Time) (d time.Duration, delayed bool) {
	if s.limit() == 0 || len(s.waiting) == 0 || s.freeForWaiting() <= 0 {
		return 0, false
	}
	// Without a delay, the waiting requests wait for something else, such as the link.
	d = s.limitWait(1, now)
	return d, d > 0
}

// estimateDelivery returns when the response to a request that begins to run at
// start is likely to have been sent.
func (s *schedule) estimateDelivery(r *request, start, now time.Time) time.Time {
	end := now.Add(s.load.outlook.End(r.estimateBody(start, now).Sub(now), r.work))
	if r.sendTime == 0 {
		return end
	}
	free := now.Add(s.pacer.Backlog())
	for o := range s.running {
		free = free.Add(o.sendTime)
	}
	for _, o := range s.waiting {
		if o != r && o.before(r, now) {
			free = free.Add(o.sendTime)
		}
	}
	if free.After(end) {
		end = free
	}
	return end.Add(r.sendTime)
}

// arrive starts, queues or refuses a new request. It also refuses the waiting
// requests that can no longer meet their deadline because of it.
func (s *schedule) arrive(r *request, now time.Time) *pollenlatch.Failure {
	s.updateLoad(now)
	r.work = s.typicalWork(r.Route)
	s.load.forecast(r)
	if r.Bulk && s.pacer != nil {
		r.sendTime = s.pacer.TypicalTime(r.Route)
	}
	r.queueBody(now)
	s.recordArrival(r, now)
	if r.Adaptive {
		s.adaptive.arrive(r, now)
	}
	if s.slots <= 0 {
		return noServer()
	}
	start := s.estimateStart(r, now)
	if f := s.checkDeadlines(r, s.estimateDelivery(r, start, now), now); f != nil {
		return f
	}
	switch {
	case s.delayedByCold(now):
		s.coldDelayed++
	case s.delayedByPace():
		s.paceDelayed++
	}
	s.waiting = append(s.waiting, r)
	s.startWaiting(now)
	s.refuseOverdue(now)
	if r.Body != nil {
		s.refuseLateBodies(now)
	}
	return nil
}

// checkDeadlines refuses a request that is likely to miss its deadline, or under
// lasting overload its objective.
func (s *schedule) checkDeadlines(r *request, end, now time.Time) *pollenlatch.Failure {
	serviceTime := r.serviceTime()
	wait := max(0, end.Sub(now)-serviceTime)
	if len(s.waiting) >= maxWaiting || end.After(r.Deadline) {
		return s.refusal(r, wait, now, "the response would miss the deadline")
	}
	if r.Nested || r.starved || !r.missesObjective(end) {
		return nil
	}
	// A late body moves in the spare time of the link only, so it is delayed as well.
	delayed := now.Add(time.Duration(float64(wait+r.bodyTime)/s.spareShare(r)) - r.bodyTime)
	if delayed.Add(serviceTime).After(r.Deadline) {
		return s.refusal(r, delayed.Sub(now), now, "lasting overload: the response would miss the latency objective")
	}
	return nil
}

// refusal returns the failure of a request that is refused. Its RetryAfter is the
// expected wait, limited by the time left until the deadline.
func (s *schedule) refusal(r *request, wait time.Duration, now time.Time, detail string) *pollenlatch.Failure {
	s.refusalRate += 1 / demandWindow.Seconds()
	if r.Adaptive {
		s.adaptive.refuse(r, now)
	}
	left := r.Deadline.Sub(now)
	f := notRun(pollenlatch.ReasonOverloaded, statusUnavailable, fmt.Sprintf(
		"%s: expected wait %d ms, typical run and transfer %d ms, %d ms left; %d of %d slots occupied, %d waiting, offered load %.1f slots, %.1f of the link and %.1f for bodies, limit %.1f/s",
		detail, wait.Milliseconds(), r.serviceTime().Milliseconds(), left.Milliseconds(), len(s.running), s.slots, len(s.waiting), s.offeredSlots, s.offeredLink, s.offeredBody, s.limit(),
	))
	f.RetryAfter = max(minRetryAfter, min(wait, time.Duration(maxRetryAfterShare*float64(left))))
	if s.delayedByPace() {
		s.paceRefused++
	}
	if s.delayedByCold(now) {
		s.coldRefused++
		// The next request after those that wait is sent then. An earlier attempt is in
		// vain.
		f.RetryAfter = max(minRetryAfter, s.cold.Wait(len(s.waiting)+1, now))
	}
	return f
}

// startWaiting starts waiting requests while there are free slots.
func (s *schedule) startWaiting(now time.Time) {
	s.updateLoad(now)
	for s.freeForWaiting() > 0 && s.limitWait(1, now) == 0 {
		r := s.popNext(now)
		if r == nil {
			return
		}
		s.limiter.Take(now)
		s.cold.Take(now)
		r.started, r.startClock, r.predicted = now, s.load.clock, s.load.predict(r.Route)
		if r.Body != nil {
			r.Body.Start(now)
		}
		s.running[r] = struct{}{}
		if r.Adaptive {
			s.adaptive.start(r)
		}
		r.onDecision(nil)
	}
}

// popNext removes and returns the request that runs next, or nil when there is none.
// Requests whose bodies have to wait for the network link are passed over. It refuses
// requests that can no longer meet their deadline.
func (s *schedule) popNext(now time.Time) *request {
	for len(s.waiting) > 0 {
		best := -1
		for n, r := range s.waiting {
			if (best < 0 || r.before(s.waiting[best], now)) && r.bodyMayStart(now) {
				best = n
			}
		}
		if best < 0 {
			return nil
		}
		r := s.waiting[best]
		s.removeAt(best)
		if now.Add(r.bodyTime + time.Duration(minRunShare*float64(r.runTime))).Before(r.Deadline) {
			return r
		}
		r.onDecision(s.refusal(r, 0, now, "the response would miss the deadline"))
	}
	return nil
}

func (s *schedule) removeAt(n int) {
	last := len(s.waiting) - 1
	s.waiting[n] = s.waiting[last]
	s.waiting[last] = nil
	s.waiting = s.waiting[:last]
}

// refuseOverdue refuses the waiting requests that will miss their deadline because
// more urgent ones have arrived after them. It runs on each arrival, so it sorts the
// queue once instead of searching it for each request.
func (s *schedule) refuseOverdue(now time.Time) {
	if len(s.waiting) == 0 {
		return
	}
	slices.SortStableFunc(s.waiting, func(a, b *request) int {
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
	free := s.completionInterval(now)
	kept := s.waiting[:0]
	var overdue []*request
	for _, r := range s.waiting {
		start := max(s.load.outlook.End(0, free+ahead/time.Duration(s.slots)), s.limitWait(len(kept)+1, now))
		end := s.load.outlook.End(start, time.Duration(minRunShare*float64(r.work)))
		if now.Add(end).After(r.Deadline) {
			overdue = append(overdue, r)
			continue
		}
		ahead += r.work
		kept = append(kept, r)
	}
	clear(s.waiting[len(kept):])
	s.waiting = kept
	for _, r := range overdue {
		wait := max(s.load.outlook.End(0, free+ahead/time.Duration(s.slots)), s.limitWait(len(kept)+1, now))
		r.onDecision(s.refusal(r, wait, now, "more urgent requests arrived"))
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// cancelWait removes a request whose caller no longer waits, and reports whether it
// was queued.
func (s *schedule) cancelWait(r *request) bool {
	for n, o := range s.waiting {
		if o == r {
			s.removeAt(n)
			return true
		}
	}
	return false
}

// finish ends a run and starts waiting requests.
func (s *schedule) finish(r *request, now time.Time) {
	if _, ok := s.running[r]; !ok {
		return
	}
	delete(s.running, r)
	s.recordRun(r, now)
	if r.Adaptive {
		s.adaptive.finish(r)
	}
	s.startWaiting(now)
}

// refuseAll refuses all waiting requests.
func (s *schedule) refuseAll(newFailure func() *pollenlatch.Failure) {
	for _, r := range s.waiting {
		r.onDecision(newFailure())
	}
	s.waiting = nil
}
