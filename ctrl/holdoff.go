package ctrl

import (
	"slices"
	"time"

	"pollenlatch"
	"pollenlatch/lease"
	"pollenlatch/state"
	"pollenlatch/ticket"
)

// defaultMaxRun is the longest run of a request when no service names one. The
// exchange with a server uses the same.
const defaultMaxRun = 2 * time.Second

// holdOffs keeps the shards of lost instances from being assigned while their
// server may still run requests that it was given before the lease ended. That
// is so for servers that do not check fences, until maxrun after the end. The
// zero value holdOffs none.
type holdOffs struct {
	until       map[pollenlatch.InstanceID]pollenlatch.MonoTime
	pastMaxRuns []pastMaxRun
}

// pastMaxRun is a longer maxrun that a ticket has replaced, and that daemons may
// have used until then.
type pastMaxRun struct {
	until  pollenlatch.MonoTime // no request was passed on with it later
	maxRun time.Duration
}

// recalledTickets is the number of tickets whose maxruns a loaded state may still have
// in use. The target of 10,000 a day is one in 9 s.
const recalledTickets = 32

// stateMaxRun returns the longest maxrun of the services of a state.
func stateMaxRun(s *state.State) time.Duration {
	if maxRun := servicesMaxRun(s.Services()); maxRun > 0 {
		return maxRun
	}
	return defaultMaxRun
}

// servicesMaxRun returns the servicesMaxRun maxrun of services, or 0 when there are none.
func servicesMaxRun(services []pollenlatch.Service) time.Duration {
	maxRun := time.Duration(0)
	for _, svc := range services {
		if svc.MaxRun == 0 {
			svc.MaxRun = defaultMaxRun
		}
		maxRun = max(maxRun, svc.MaxRun)
	}
	return maxRun
}

// maxTicketLag is how long a daemon may act by an older ticket.
func (v *voter) maxTicketLag() time.Duration {
	return v.cfg.Timing.Grace + lease.WithDrift(v.cfg.Timing.Lease)
}

// addPastMaxRun notes that maxrun was this long until now.
func (h *holdOffs) addPastMaxRun(now pollenlatch.MonoTime, maxRun, lag time.Duration) {
	h.pastMaxRuns = slices.DeleteFunc(h.pastMaxRuns, func(p pastMaxRun) bool { return now >= p.until.Add(lease.WithDrift(p.maxRun)) })
	h.pastMaxRuns = append(h.pastMaxRuns, pastMaxRun{until: now.Add(lag), maxRun: maxRun})
}

// extendPastMaxRuns notes that daemons may go on for another lag with what they hold: a
// new leader gives those that lag behind a ticket a new time of grace.
func (h *holdOffs) extendPastMaxRuns(now pollenlatch.MonoTime, lag time.Duration) {
	for i := range h.pastMaxRuns {
		h.pastMaxRuns[i].until = max(h.pastMaxRuns[i].until, now.Add(lag))
	}
}

// recallMaxRuns notes the maxruns of the newest tickets of a state that was loaded
// whole: when they were in use is not known.
func (v *voter) recallMaxRuns(s *state.State) {
	maxRun := time.Duration(0)
	for _, r := range s.Tickets(0, recalledTickets) {
		if _, spec, err := ticket.Parse(r.Text); err == nil && r.Verdict.Accepted {
			maxRun = max(maxRun, servicesMaxRun(spec.Services))
		}
	}
	v.holdOffs.addPastMaxRun(v.now, maxRun, v.maxTicketLag())
}

// endAfter returns until when a server may run requests that it was given before
// end. Its clock, which counts their deadlines, may be slower than this one.
func (h *holdOffs) endAfter(leaseEnd pollenlatch.MonoTime, maxRun time.Duration, injected injectedFaults) pollenlatch.MonoTime {
	drift := lease.WithDrift
	if injected.noHoldOffDrift {
		drift = func(d time.Duration) time.Duration { return d }
	}
	until := leaseEnd.Add(drift(maxRun))
	for _, p := range h.pastMaxRuns {
		if !injected.forgetPastMaxRuns {
			until = max(until, min(leaseEnd, p.until).Add(drift(p.maxRun)))
		}
	}
	return until
}

// startHoldOff holds the shards of an instance whose lease ended at end. The hold
// outlasts a new lease: the server beside the instance may be the same.
func (v *voter) startHoldOff(s *state.State, id pollenlatch.InstanceID, leaseEnd pollenlatch.MonoTime) {
	i, ok := s.Instance(id)
	if !v.leading || !ok || (i.Endpoint != nil && i.Endpoint.Fenced) {
		return
	}
	if v.holdOffs.until == nil {
		v.holdOffs.until = make(map[pollenlatch.InstanceID]pollenlatch.MonoTime)
	}
	v.holdOffs.until[id] = max(v.holdOffs.until[id], v.holdOffs.endAfter(leaseEnd, stateMaxRun(s), v.injected))
}

// active returns the instances whose former shards may not be assigned elsewhere.
func (h *holdOffs) active(now pollenlatch.MonoTime) pollenlatch.Set[pollenlatch.InstanceID] {
	withheld := make(pollenlatch.Set[pollenlatch.InstanceID])
	for id, until := range h.until {
		if now < until {
			withheld[id] = struct{}{}
			continue
		}
		delete(h.until, id)
	}
	return withheld
}

// inHoldOff reports whether the server of an instance may still run requests
// from before its present lease. A daemon that has started again does not count
// them, so its word that nothing is in flight proves nothing until then.
func (v *voter) inHoldOff(id pollenlatch.InstanceID) bool {
	return v.now < v.holdOffs.until[id] && !v.injected.releaseInHoldOff
}

// reset drops the holds at the end of leadership.
func (h *holdOffs) reset() { h.until = nil }
