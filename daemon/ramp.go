package daemon

import (
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/admit"
	"pollenlatch/ramp"
)

// newServerTimes is how long after its start, as a multiple of the time for which
// servers are cold, a server counts as one that has just started. It is known from the
// server's clock when the daemon restarts beside a server that is running.
const newServerTimes = 2

// rampGuard limits how many requests the local server runs at a time after it has
// started or recovered. It is safe for concurrent use.
type rampGuard struct {
	view     func() pollenlatch.View
	setPace  func(slots int) // of admission; 0 is no limit
	inFlight func() (running, waiting int)

	enabled atomic.Bool // the service has a ColdTime

	mu          sync.Mutex
	limit       ramp.Limit
	server      pollenlatch.Endpoint
	isCold      bool // the limit of a cold server is in force and takes precedence
	evacuated   bool
	pace        int // that is in force; 0 is none
	wasActive   bool
	activeSince time.Time
	begun       uint64
}

func newRampGuard(view func() pollenlatch.View, setPace func(int), inFlight func() (int, int)) *rampGuard {
	return &rampGuard{view: view, setPace: setPace, inFlight: inFlight}
}

// useServer is called before requests are sent to a server, also when it has changed.
func (g *rampGuard) useServer(e pollenlatch.Endpoint, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	previous := g.server
	g.server = e
	coldTime := g.configureLocked()
	switch {
	case e.Incarnation != previous.Incarnation:
		g.limit.End()
		if now.Sub(time.UnixMilli(e.StartedAt)) < newServerTimes*coldTime {
			g.limit.Restart(now)
			g.applyLocked("server has started", now)
			return
		}
	case e.Ready && !previous.Ready:
		g.limit.Restart(now)
	}
	g.applyLocked("server is ready again", now)
}

// lost records that the server can no longer be reached.
func (g *rampGuard) lost() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.server.Ready = false
}

// configureLocked applies the newest configuration, and returns the time for which
// servers of the service are cold after a start.
func (g *rampGuard) configureLocked() time.Duration {
	svc, _ := g.view().Service(g.server.Service)
	g.limit.SetServer(int(g.server.Slots), svc.ColdTime)
	g.enabled.Store(svc.ColdTime > 0)
	return svc.ColdTime
}

// moved records that ranges without a token have moved to the server, which is slow for
// their keys at first.
func (g *rampGuard) moved(added, total int, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.Moved(added, total, now)
	g.applyLocked("keys have moved to the server", now)
}

// setCold records whether the limit of a cold server is in force. known says that the
// server has stated it.
func (g *rampGuard) setCold(isCold, known bool, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if isCold && known && !g.isCold {
		g.limit.Restart(now)
	}
	g.isCold = isCold
	g.applyLocked("server is cold", now)
}

// update applies the newest configuration, and the end of an evacuation of this
// instance's data centre. While it lasts and no request runs, the ramp is kept at its
// beginning, so that it is in force when the first request arrives.
func (g *rampGuard) update(self pollenlatch.Instance, now time.Time) {
	running, waiting := g.inFlight()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.configureLocked()
	if (self.Evacuated && running+waiting == 0) || (g.evacuated && !self.Evacuated) {
		g.limit.Restart(now)
	}
	g.evacuated = self.Evacuated
	g.applyLocked("data centre was evacuated", now)
}

// arrive records that a request has arrived.
func (g *rampGuard) arrive(r *pollenlatch.Request, now time.Time) {
	if !g.enabled.Load() || r.Route == "" || r.SoftDeadline.IsZero() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit.Arrive(r.Route, r.SoftDeadline.Sub(now))
}

// observe records the end of an exchange with the server.
func (g *rampGuard) observe(r *pollenlatch.Request, sentAt time.Time, resp *pollenlatch.Response, err error, now time.Time) {
	run := ramp.Run{Route: r.Route, StartedAt: sentAt, Took: now.Sub(sentAt)}
	var f *pollenlatch.Failure
	switch {
	case errors.As(err, &f):
		run.Refused = f.Reason == pollenlatch.ReasonQueueFull && f.Sent
		run.Failed = isServerFailure(f)
		if !run.Refused && !run.Failed {
			return
		}
	case resp == nil || resp.Status >= http.StatusInternalServerError:
		return // a call to another server may have failed
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limit.Active() {
		run.InFlight, _ = g.inFlight()
	}
	g.limit.Observe(run, now)
	g.applyLocked("server has failed", now)
}

// isServerFailure reports whether a failed exchange is the fault of the server.
func isServerFailure(f *pollenlatch.Failure) bool {
	switch f.Reason {
	case pollenlatch.ReasonUnreachable, pollenlatch.ReasonConnectionLost:
		return true
	case pollenlatch.ReasonDeadlineExceeded:
		return f.Outcome == pollenlatch.OutcomeUnknown
	default:
		return false
	}
}

// applyLocked puts the limit in force. cause is why a ramp has begun, if it has.
func (g *rampGuard) applyLocked(cause string, now time.Time) {
	active := g.limit.Active()
	if active != g.wasActive {
		if active {
			g.begun++
			g.activeSince = now
			klog.InfoS("slow start of the server began", "server", g.server.ID, "cause", cause, "slots", g.limit.Slots(), "of", g.server.Slots)
		} else {
			klog.InfoS("slow start of the server ended", "server", g.server.ID, "tookMs", now.Sub(g.activeSince).Milliseconds())
		}
		g.wasActive = active
	}
	pace := 0
	if active && !g.isCold {
		pace = g.limit.Slots()
	}
	if pace != g.pace {
		g.pace = pace
		g.setPace(pace)
	}
}

// slots returns how many requests the server may run at a time.
func (g *rampGuard) slots(e pollenlatch.Endpoint) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.pace > 0 {
		return min(g.pace, int(e.Slots))
	}
	return int(e.Slots)
}

// isPaced reports whether the daemons beside the servers of a service keep their pace
// after a start.
func (d *Daemon) isPaced(service string) bool {
	if d.ramp == nil {
		return false
	}
	s, _ := d.control.View().Service(service)
	return s.ColdTime > 0
}

// updateRamp applies what has changed in the state.
func (d *Daemon) updateRamp() {
	self, _ := d.control.View().Instance(d.control.Self())
	d.ramp.update(self, time.Now())
}

// registerRampMetrics registers the metrics of the slow start of the local server.
func (d *Daemon) registerRampMetrics() {
	gauge := func(name string, f func(g *rampGuard) float64) {
		d.metrics.GetOrCreateGauge("pollenlatch_ramp_"+name, func() float64 {
			d.ramp.mu.Lock()
			defer d.ramp.mu.Unlock()
			return f(d.ramp)
		})
	}
	gauge("limit", func(g *rampGuard) float64 { return float64(g.pace) })
	gauge("begun_total", func(g *rampGuard) float64 { return float64(g.begun) })
	scheduler := d.admitter.(*admit.Scheduler)
	d.metrics.GetOrCreateGauge("pollenlatch_ramp_delayed_total", func() float64 { delayed, _ := scheduler.PaceStats(); return float64(delayed) })
	d.metrics.GetOrCreateGauge("pollenlatch_ramp_refused_total", func() float64 { _, refused := scheduler.PaceStats(); return float64(refused) })
}
