package ctrl

import (
	"slices"
	"time"

	"pollenlatch"
	"pollenlatch/lease"
	"pollenlatch/state"
	"pollenlatch/ticket"
)

// defaultRun is the longest run of a request when no service names one. The
// exchange with a server uses the same.
const defaultRun = 2 * time.Second

// holds keeps the shards of lost instances from being assigned while their
// server may still run requests that it was given before the lease ended. That
// is so for servers that do not check fences, until maxrun after the end. The
// zero value holds none.
type holds struct {
	until map[pollenlatch.InstanceID]pollenlatch.MonoTime
	runs  []pastRun
}

// pastRun is a longer maxrun that a ticket has replaced, and that daemons may
// have used until then.
type pastRun struct {
	until pollenlatch.MonoTime // no request was passed on with it later
	run   time.Duration
}

// recalled is the number of tickets whose maxruns a loaded state may still have
// in use. The target of 10,000 a day is one in 9 s.
const recalled = 32

// longestRun returns the longest maxrun of the services of a state.
func longestRun(s *state.State) time.Duration {
	if run := longest(s.Services()); run > 0 {
		return run
	}
	return defaultRun
}

// longest returns the longest maxrun of services, or 0 when there are none.
func longest(services []pollenlatch.Service) time.Duration {
	run := time.Duration(0)
	for _, svc := range services {
		if svc.MaxRun == 0 {
			svc.MaxRun = defaultRun
		}
		run = max(run, svc.MaxRun)
	}
	return run
}

// lagBound is how long a daemon may act by an older ticket.
func (v *voter) lagBound() time.Duration {
	return v.cfg.Timing.Grace + lease.WithDrift(v.cfg.Timing.Lease)
}

// shorten notes that maxrun was this long until now.
func (h *holds) shorten(now pollenlatch.MonoTime, run, lag time.Duration) {
	h.runs = slices.DeleteFunc(h.runs, func(p pastRun) bool { return now >= p.until.Add(lease.WithDrift(p.run)) })
	h.runs = append(h.runs, pastRun{until: now.Add(lag), run: run})
}

// prolong notes that daemons may go on for another lag with what they hold: a
// new leader gives those that lag behind a ticket a new time of grace.
func (h *holds) prolong(now pollenlatch.MonoTime, lag time.Duration) {
	for i := range h.runs {
		h.runs[i].until = max(h.runs[i].until, now.Add(lag))
	}
}

// recallRuns notes the maxruns of the newest tickets of a state that was loaded
// whole: when they were in use is not known.
func (v *voter) recallRuns(s *state.State) {
	run := time.Duration(0)
	for _, r := range s.Tickets(0, recalled) {
		if _, spec, err := ticket.Parse(r.Text); err == nil && r.Verdict.Accepted {
			run = max(run, longest(spec.Services))
		}
	}
	v.holds.shorten(v.now, run, v.lagBound())
}

// after returns until when a server may run requests that it was given before
// end. Its clock, which counts their deadlines, may be slower than this one.
func (h *holds) after(end pollenlatch.MonoTime, present time.Duration, broken rules) pollenlatch.MonoTime {
	drift := lease.WithDrift
	if broken.noHoldDrift {
		drift = func(d time.Duration) time.Duration { return d }
	}
	until := end.Add(drift(present))
	for _, p := range h.runs {
		if !broken.shortHold {
			until = max(until, min(end, p.until).Add(drift(p.run)))
		}
	}
	return until
}

// holdBack holds the shards of an instance whose lease ended at end. The hold
// outlasts a new lease: the server beside the instance may be the same.
func (v *voter) holdBack(s *state.State, id pollenlatch.InstanceID, end pollenlatch.MonoTime) {
	i, ok := s.Instance(id)
	if !v.lead || !ok || (i.Endpoint != nil && i.Endpoint.Fenced) {
		return
	}
	if v.holds.until == nil {
		v.holds.until = make(map[pollenlatch.InstanceID]pollenlatch.MonoTime)
	}
	v.holds.until[id] = max(v.holds.until[id], v.holds.after(end, longestRun(s), v.rules))
}

// at returns the instances whose former shards may not be assigned elsewhere.
func (h *holds) at(now pollenlatch.MonoTime) pollenlatch.Set[pollenlatch.InstanceID] {
	held := make(pollenlatch.Set[pollenlatch.InstanceID])
	for id, until := range h.until {
		if now < until {
			held[id] = struct{}{}
			continue
		}
		delete(h.until, id)
	}
	return held
}

// heldBack reports whether the server of an instance may still run requests
// from before its present lease. A daemon that has started again does not count
// them, so its word that nothing is in flight proves nothing until then.
func (v *voter) heldBack(id pollenlatch.InstanceID) bool {
	return v.now < v.holds.until[id] && !v.rules.releaseInHold
}

// forget drops the holds at the end of leadership.
func (h *holds) forget() { h.until = nil }
