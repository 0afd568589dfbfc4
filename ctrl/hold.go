package ctrl

import (
	"time"

	"pollenlatch"
	"pollenlatch/state"
)

// defaultRun is the longest run of a request when no service names one. The
// exchange with a server uses the same.
const defaultRun = 2 * time.Second

// holds keeps the shards of lost instances from being assigned while their
// server may still run requests that it was given before the lease ended. That
// is so for servers that do not check fences, until maxrun after the end. The
// zero value holds none.
type holds struct {
	until map[pollenlatch.InstanceID]pollenlatch.Mono
	runs  []pastRun
}

// pastRun is a longer maxrun that a ticket has replaced, and that daemons may
// have used until then.
type pastRun struct {
	until pollenlatch.Mono
	run   time.Duration
}

// longestRun returns the longest maxrun of the services of a state.
func longestRun(s *state.State) time.Duration {
	run := time.Duration(0)
	for _, svc := range s.Services() {
		if svc.MaxRun == 0 {
			svc.MaxRun = defaultRun
		}
		run = max(run, svc.MaxRun)
	}
	if run == 0 {
		return defaultRun
	}
	return run
}

// lagBound is how long a daemon may act by an older ticket.
func (v *voter) lagBound() time.Duration { return v.cfg.Timing.Grace + v.cfg.Timing.Lease }

// shorten notes that maxrun was this long until now.
func (h *holds) shorten(now pollenlatch.Mono, run, lag time.Duration) {
	h.runs = append(h.runs, pastRun{until: now.Add(lag), run: run})
	for len(h.runs) > 0 && now >= h.runs[0].until {
		h.runs = h.runs[1:]
	}
}

// run returns the longest run of a request that was passed to a server until now.
func (h *holds) run(now pollenlatch.Mono, present time.Duration) time.Duration {
	for _, p := range h.runs {
		if now < p.until {
			present = max(present, p.run)
		}
	}
	return present
}

// holdBack holds the shards of an instance whose lease ended at end. The hold
// outlasts a new lease: the server beside the instance may be the same.
func (v *voter) holdBack(s *state.State, id pollenlatch.InstanceID, end pollenlatch.Mono) {
	i, ok := s.Instance(id)
	if !v.lead || !ok || (i.Endpoint != nil && i.Endpoint.Fenced) {
		return
	}
	if v.holds.until == nil {
		v.holds.until = make(map[pollenlatch.InstanceID]pollenlatch.Mono)
	}
	until := end.Add(v.holds.run(v.now, longestRun(s)))
	v.holds.until[id] = max(until, v.holds.until[id])
}

// at returns the instances whose former shards may not be assigned elsewhere.
func (h *holds) at(now pollenlatch.Mono) pollenlatch.Set[pollenlatch.InstanceID] {
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

// forget drops the holds at the end of leadership.
func (h *holds) forget() { h.until = nil }
