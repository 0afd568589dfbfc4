package daemon

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/admit"
	"pollenlatch/logs"
	"pollenlatch/quota"
)

// Announce implements pollenlatch.EndpointObserver.
func (d *Daemon) Announce(e pollenlatch.Endpoint) {
	d.mu.Lock()
	previous := d.endpoint
	d.useEndpointLocked(e)
	d.mu.Unlock()
	if previous.Ready && previous.Incarnation != e.Incarnation {
		d.onServerEnded(previous)
	}
	d.loop.Announce(e)
}

// onServerEnded finds the requests that may be why a server has ended. A server that
// was leaving ends as planned.
func (d *Daemon) onServerEnded(e pollenlatch.Endpoint) {
	suspects := d.crashes.ServerEnded(time.Now())
	if e.Draining || len(suspects) == 0 {
		return
	}
	report := pollenlatch.Crash{Server: e.Incarnation}
	for _, s := range suspects {
		report.Requests = append(report.Requests, s.Fingerprint)
		klog.InfoS("server has ended under a request", "server", e.ID, "service", e.Service, "id", s.ID, "fingerprint", s.Fingerprint, "suspects", len(suspects))
	}
	d.loop.ReportCrash(report)
}

// reportCleared reports that a suspect has completed.
func (d *Daemon) reportCleared(f pollenlatch.Fingerprint) {
	klog.InfoS("suspect has completed", "fingerprint", f)
	d.loop.ReportCrash(pollenlatch.Crash{Cleared: []pollenlatch.Fingerprint{f}})
}

// useEndpointLocked sends requests to the server of an endpoint. The caller holds mu.
func (d *Daemon) useEndpointLocked(e pollenlatch.Endpoint) {
	if !d.endpointKnown || e.Incarnation != d.endpoint.Incarnation {
		d.restoreLimitLocked(e.Limit)
		d.gauge.Reset()
		d.failing.Reset()
	}
	if a, ok := d.admitter.(drainingAdmitter); ok && e.Draining && (!d.endpoint.Draining || d.endpoint.Incarnation != e.Incarnation) {
		time.AfterFunc(pollenlatch.DrainGrace, func() {
			if current, _ := d.localServer(); current.Incarnation == e.Incarnation {
				a.RefuseDraining()
			}
		})
	}
	d.endpoint, d.endpointKnown = e, true
	if d.cold != nil {
		now := time.Now()
		d.cold.useServer(e, now) // both before the server gets its first request
		d.ramp.useServer(e, now)
	}
	d.relay.SetEndpoint(withMaxConns(e))
	d.admitter.SetSlots(int(e.Slots))
}

func (d *Daemon) restoreLimitLocked(perSecond float64) {
	d.limit = quota.NewMonitor(perSecond, time.Now())
	d.setLimitLocked(perSecond)
}

func (d *Daemon) setLimitLocked(perSecond float64) {
	if a, ok := d.admitter.(limitedAdmitter); ok {
		a.SetLimit(perSecond)
	}
}

// observeServer applies what a response says about the local server. The load counts only
// where the parts for overload apply. The limit is in
// force at once here; the tracker announces it.
func (d *Daemon) observeServer(s pollenlatch.ServerSignals) {
	load := s.Load
	if d.adaptive.RecordLoad(load); !d.isAdaptive() {
		load = nil
	}
	d.mu.Lock()
	if s.Incarnation != d.endpoint.Incarnation {
		d.mu.Unlock()
		return
	}
	now := time.Now()
	limit, changed := d.limit.Observe(s.Limit, s.SentAt, now)
	if changed {
		d.setLimitLocked(limit)
	}
	if load != nil {
		d.gauge.Observe(*load, now)
	}
	d.mu.Unlock()
	if a, ok := d.admitter.(gaugedAdmitter); ok && load != nil {
		a.LoadChanged()
	}
	if s.ColdFor != nil {
		d.observeCold(s.Incarnation, *s.ColdFor, s.SentAt, now)
	}
	if changed || limit > 0 || s.Leaving {
		d.tracker.Observe(s.Incarnation, limit, s.Leaving)
	}
}

// observeHealthLoad applies the load that the local server states in the response to a
// health check.
func (d *Daemon) observeHealthLoad(of pollenlatch.Incarnation, l pollenlatch.ServerLoad, now time.Time) {
	d.mu.Lock()
	if of != d.endpoint.Incarnation {
		d.mu.Unlock()
		return
	}
	d.gauge.ObserveHealth(l, now)
	d.mu.Unlock()
	if a, ok := d.admitter.(gaugedAdmitter); ok {
		a.LoadChanged()
	}
}

// maxConnsPerSlot limits the connections to a server that does not announce how
// many it accepts. At most one for each slot is in use; the others are being
// replaced.
const maxConnsPerSlot = 2

// withMaxConns returns the endpoint with a limit on its connections.
func withMaxConns(e pollenlatch.Endpoint) pollenlatch.Endpoint {
	if e.MaxConns == 0 {
		e.MaxConns = maxConnsPerSlot * e.Slots
	}
	return e
}

// Lost implements pollenlatch.EndpointObserver.
func (d *Daemon) Lost(ended bool) {
	d.mu.Lock()
	previous := d.endpoint
	d.endpoint.Ready = false
	e := d.endpoint
	d.mu.Unlock()
	if d.ramp != nil {
		d.ramp.lost()
	}
	d.admitter.SetSlots(0) // rejects the waiting requests as not run
	if ended && previous.Ready {
		d.onServerEnded(previous)
	}
	d.loop.Announce(e)
}

// localServer returns the endpoint of the local server, or false when it is not
// known yet.
func (d *Daemon) localServer() (pollenlatch.Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endpoint, d.endpointKnown
}

// defaultMaxRun is the maximum run time of requests of a service that the state
// no longer has.
const defaultMaxRun = 2 * time.Second

func (d *Daemon) maxRun(service string) time.Duration {
	if s, ok := d.control.View().Service(service); ok && s.MaxRun > 0 {
		return s.MaxRun
	}
	return defaultMaxRun
}

// localFreeSlots returns this instance's ID and the number of free slots of the
// local server, which is negative when requests are waiting.
func (d *Daemon) localFreeSlots() (id pollenlatch.InstanceID, free int) {
	e, ok := d.localServer()
	if !ok {
		return 0, 0
	}
	running, waiting := d.admitter.Load()
	slots := d.gauge.Slots(int(e.Slots), time.Now())
	if d.ramp != nil {
		slots = min(slots, d.ramp.slots(e))
	}
	return d.control.Self(), slots - running - waiting
}

// isAdaptive reports whether the parts for overload apply.
func (d *Daemon) isAdaptive() bool { return d.adaptive.Applies(d.control.View()) }

// linkAdaptive returns isAdaptive for the request links; nil for a daemon without Platform.
func (d *Daemon) linkAdaptive() func() bool {
	if d.cfg.Platform == nil {
		return nil
	}
	return d.isAdaptive
}

// localServerFull reports whether more requests are at the local server than it has slots.
// Refusals by a cold server are its limit.
func (d *Daemon) localServerFull() bool {
	e, _ := d.localServer()
	running, _ := d.admitter.Load()
	return e.Cold || running > d.gauge.Slots(int(e.Slots), time.Now())
}

// newEjectionReporter returns a function that logs and counts the servers that are avoided
// because of the hints of the daemons beside them.
func (d *Daemon) newEjectionReporter() func(pollenlatch.Instance, uint32) {
	limiter, ejected := logs.NewLimiter(1, 10), d.metrics.GetOrCreateCounter("pollenlatch_pick_ejected_by_hint_total")
	return func(i pollenlatch.Instance, failing uint32) {
		ejected.Inc()
		if suppressed, ok := limiter.Allow(time.Now()); ok {
			klog.InfoS("server is avoided because it fails most requests", "instance", i.Name, "failingPercent", failing, "suppressed", suppressed)
		}
	}
}

// localHint returns what other daemons need to know of the load of the local server.
func (d *Daemon) localHint() *pollenlatch.ServerHint {
	scheduler, ok := d.admitter.(*admit.Scheduler)
	if !ok {
		return nil
	}
	h := scheduler.Hint()
	e, _ := d.localServer()
	h.Slowness, h.Cold, h.Failing = d.gauge.Slowness(time.Now()), e.Cold, d.failing.Percent(time.Now())
	return h
}

func (d *Daemon) queueLimit(service string) int {
	s, _ := d.control.View().Service(service)
	return int(s.QueueLimit)
}

func (d *Daemon) rateLimit(caller string) (perSecond float64, burst int) {
	c, _ := d.control.View().Caller(caller)
	return c.Rate, int(c.Burst)
}

// loadReportInterval is the interval at which the load of the local server is
// reported to the leader.
const loadReportInterval = time.Second

// reportLoads reports the load of the local server until ctx ends.
func (d *Daemon) reportLoads(ctx context.Context) {
	interval := loadReportInterval
	if d.cfg.Platform != nil {
		interval = platformLoadInterval
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			running, waiting := d.admitter.Load()
			load := d.rates.EndInterval(pollenlatch.SystemClock{}.Now())
			latency := d.serve.Observe()
			load.MedianLatency, load.Suspect = latency.MedianLatency, latency.Suspect
			load.InFlight, load.Queued = uint32(running), uint32(waiting)
			if scheduler, ok := d.admitter.(*admit.Scheduler); ok {
				demand := scheduler.Demand()
				load.Offered, load.RefusedShare, load.TypicalRun = demand.Slots, demand.RefusedShare, demand.TypicalRun
			}
			d.loop.ReportLoad(load)
		case <-ctx.Done():
			return
		}
	}
}
