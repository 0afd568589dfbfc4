package ctrl

import (
	"slices"
	"time"

	"pollenlatch"
	"pollenlatch/lease"
	"pollenlatch/state"
	"pollenlatch/ticket"
)

// defaultMaxRun is the maximum run time of a request when its service sets none.
// The exchange with a server uses the same default.
const defaultMaxRun = 2 * time.Second

// holdOffs tracks the instances in hold-off. After the lease of an instance has
// ended, a server that does not check fences may run the requests it has received
// for up to the maximum run time (maxrun). Until then its former shards are not
// assigned again. The zero value has none.
type holdOffs struct {
	until       map[pollenlatch.InstanceID]pollenlatch.MonoTime // end of each hold-off
	pastMaxRuns []pastMaxRun
}

// pastMaxRun is a maxrun that a ticket has replaced. Daemons may use it until they
// have received the ticket.
type pastMaxRun struct {
	until  pollenlatch.MonoTime // no request is sent to a server with it later
	maxRun time.Duration
}

// recalledTickets is the number of newest tickets whose maxruns may still be in use
// when a state is loaded from a snapshot. At the design target of 10,000 tickets a
// day there is one every 9 s.
const recalledTickets = 32

// stateMaxRun returns the longest maxrun of all services of a state.
func stateMaxRun(s *state.State) time.Duration {
	if maxRun := servicesMaxRun(s.Services()); maxRun > 0 {
		return maxRun
	}
	return defaultMaxRun
}

// servicesMaxRun returns the longest maxrun of the services, or 0 when there are
// none.
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

// maxTicketLag returns how long after a ticket a daemon may still serve by the
// ticket before it: the grace time plus one lease.
func (v *voter) maxTicketLag() time.Duration {
	return v.cfg.Timing.Grace + lease.WithDrift(v.cfg.Timing.Lease)
}

// addPastMaxRun records that maxRun has been replaced now. Daemons may use it for
// another lag.
func (h *holdOffs) addPastMaxRun(now pollenlatch.MonoTime, maxRun, lag time.Duration) {
	h.pastMaxRuns = slices.DeleteFunc(h.pastMaxRuns, func(p pastMaxRun) bool { return now >= p.until.Add(lease.WithDrift(p.maxRun)) })
	h.pastMaxRuns = append(h.pastMaxRuns, pastMaxRun{until: now.Add(lag), maxRun: maxRun})
}

// extendPastMaxRuns lets the past maxruns count for another lag from now, because a
// new leader starts a new grace time for daemons that lack the newest ticket.
func (h *holdOffs) extendPastMaxRuns(now pollenlatch.MonoTime, lag time.Duration) {
	for i := range h.pastMaxRuns {
		h.pastMaxRuns[i].until = max(h.pastMaxRuns[i].until, now.Add(lag))
	}
}

// recallMaxRuns records the longest maxrun of the newest tickets as just replaced.
// A state from a snapshot doesn't say when they were in use.
func (v *voter) recallMaxRuns(s *state.State) {
	maxRun := time.Duration(0)
	for _, r := range s.Tickets(0, recalledTickets) {
		if _, spec, err := ticket.Parse(r.Text); err == nil && r.Verdict.Accepted {
			maxRun = max(maxRun, servicesMaxRun(spec.Services))
		}
	}
	v.holdOffs.addPastMaxRun(v.now, maxRun, v.maxTicketLag())
}

// endAfter returns the end of the hold-off for a lease that ended at leaseEnd: until
// then the server may run requests from before. It includes an allowance for clock
// drift, since their deadlines are counted by the server's clock.
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

// startHoldOff starts the hold-off of an instance whose lease ended at leaseEnd. The
// hold-off continues when the instance gets a new lease, since its server may still
// be the same process.
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

// active returns the instances in hold-off and drops those whose hold-off has ended.
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

// inHoldOff reports whether the server of an instance may still run requests from
// before its present lease. A restarted daemon does not count those requests, so a
// release that it sends during the hold-off must be ignored.
func (v *voter) inHoldOff(id pollenlatch.InstanceID) bool {
	return v.now < v.holdOffs.until[id] && !v.injected.releaseInHoldOff
}

// reset ends all hold-offs, when leadership starts or ends.
func (h *holdOffs) reset() { h.until = nil }
