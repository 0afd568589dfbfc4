package admit

import "time"

// A request with a large body is admitted to a slot and to the network link at the same
// time: its body moves while it has the slot, and the requests that only wait for the
// link occupy none. The load that this addresses are uploads that need more than the link
// of the instance, beside nested calls that need its slots.

// serviceTime returns the typical time that the request takes once it has a slot.
func (r *request) serviceTime() time.Duration { return r.bodyTime + r.runTime + r.sendTime }

// queueBody adds the body of the request to those that wait for the link.
func (r *request) queueBody(now time.Time) {
	if r.Body != nil {
		r.Body.Queue(r.runTime, now)
		r.bodyTime = r.Body.TransferTime()
	}
}

// bodyMayStart reports whether the link is free for the body of the request.
func (r *request) bodyMayStart(now time.Time) bool { return r.Body == nil || r.Body.MayStart(now) }

// estimateBody returns when the body of a request that gets its slot at start is likely
// to have arrived.
func (r *request) estimateBody(start, now time.Time) time.Time {
	if r.Body == nil {
		return start
	}
	return later(start.Add(r.bodyTime), r.Body.Arrival(now))
}

// runBegan returns when the server began to run a request that has started, or false
// when its body did not arrive.
func (r *request) runBegan() (time.Time, bool) {
	if r.Body == nil {
		return r.started, true
	}
	t := r.Body.Received()
	return t, !t.IsZero()
}

// waitsForLinkOnly reports whether all waiting requests wait for the network link and not
// for a slot. It applies while there are free slots.
func (s *schedule) waitsForLinkOnly() bool {
	if s.limit() > 0 {
		return false
	}
	for _, r := range s.waiting {
		if r.Body == nil {
			return false
		}
	}
	return true
}

// refuseLateBodies refuses a waiting request whose body will arrive too late because
// others have arrived that are due earlier: the one whose body arrives last. It is called
// when a body is added, and one refusal makes room for one body.
func (s *schedule) refuseLateBodies(now time.Time) {
	last, lastArrival := -1, time.Time{}
	for n, r := range s.waiting {
		if r.Body == nil {
			continue
		}
		if t := r.Body.Arrival(now); last < 0 || t.After(lastArrival) {
			last, lastArrival = n, t
		}
	}
	if last < 0 {
		return
	}
	r := s.waiting[last]
	if end := lastArrival.Add(time.Duration(minRunShare * float64(r.runTime))); end.After(r.Deadline) {
		s.removeAt(last)
		r.onDecision(s.refusal(r, lastArrival.Sub(now)-r.bodyTime, now, "the body would arrive too late"))
	}
}

// StartWaiting starts the waiting requests that can start now. It is called when the
// network link is free for the body of one of them.
func (s *Scheduler) StartWaiting() { s.startDelayed() }
