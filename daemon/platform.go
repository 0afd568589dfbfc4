package daemon

import (
	"context"
	"net"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/beat"
	"pollenlatch/halt"
	"pollenlatch/sketch"
)

// Platform describes a platform on which servers receive their grants by
// heartbeats, and requests of callers are routed by host and path.
type Platform struct {
	Headers           pollenlatch.Headers
	LocalService      string        // service of the local server; empty when there is none
	LocalAddr         string        // address of the local server; empty accepts the one that it announces
	HeartbeatInterval time.Duration // interval of the local server's heartbeats
	MaxGrantTTL       time.Duration // maximum time for which a server may keep its grants without a heartbeat
	MaxRangesBytes    int           // maximum size of the ranges in the reply to a heartbeat
	RetryBudget       RetryBudget
	EvacuationTime    time.Duration // time after the acknowledgement of an evacuation from which the servers get no requests; 0 is evac.DefaultLimit
}

// RetryBudget limits the retries that send a request to a second server.
type RetryBudget struct {
	Ratio float64 // retries for each request that this daemon accepts
	Burst float64 // maximum number of unused retries that this daemon accumulates
}

// Listener is the listener of an adapter that translates another protocol for
// this daemon.
type Listener struct {
	Name  string // for error messages
	Addr  string
	Serve func(net.Listener) error
}

const (
	// callerIdleTimeout is the maximum time without a request on a caller's
	// connection. It is longer than any idle timeout that callers observe.
	callerIdleTimeout = 2 * time.Minute
	// notReadyPeriod is the time from reporting that this daemon is not ready until
	// it stops accepting connections: two readiness probes at an interval of one
	// second, and some time for their transmission.
	notReadyPeriod = 2300 * time.Millisecond
	// maxForwardedAcceptTime is the maximum time after notReadyPeriod for which
	// forwarded requests are still accepted: until 3 s after the signal to stop. Until
	// then requests that may be repeated are accepted with any deadline. Package halt
	// refuses others that may last longer than this process.
	maxForwardedAcceptTime = 700 * time.Millisecond
	// configChangeTimeout limits the wait for the verdict on a change. Operators
	// try another instance after one second.
	configChangeTimeout = 3 * time.Second
	// configReadTimeout limits the wait for the newest configuration.
	configReadTimeout = 2 * time.Second
	// platformLoadInterval is the interval of load reports, and loadDecay the time
	// over which the rates are averaged: a key that becomes busy is noticed after
	// two reports.
	platformLoadInterval = 250 * time.Millisecond
	loadDecay            = 500 * time.Millisecond
	// maxLoadReportBytes limits the size of the ranges in a load report: about 60
	// ranges.
	maxLoadReportBytes = 1500
	// minProbeInterval is the minimum time between two probes of a server that
	// failed requests.
	minProbeInterval = 100 * time.Millisecond
)

func (d *Daemon) newTracker() *beat.Tracker {
	p := d.cfg.Platform
	return beat.New(beat.Config{
		Control: &d.control, Observer: d, Clock: pollenlatch.BootClock{}, Service: p.LocalService, Addr: p.LocalAddr, Interval: p.HeartbeatInterval,
		MaxTTL: p.MaxGrantTTL, MaxRangesBytes: p.MaxRangesBytes, InheritedTTL: d.cfg.Timing.Lease,
		Moved: func(added, total int) { d.ramp.moved(added, total, time.Now()) },
		Cold:  func(e pollenlatch.Endpoint, left time.Duration) bool { return d.cold.heartbeat(e, left, time.Now()) },
	})
}

// registerHeartbeatMetrics registers metrics of the local server's grants and of
// the network link.
func (d *Daemon) registerHeartbeatMetrics(pacer pollenlatch.Pacer) {
	d.metrics.GetOrCreateGauge("pollenlatch_beat_granted_ranges", func() float64 { n, _ := d.tracker.Stats(); return float64(n) })
	d.metrics.GetOrCreateGauge("pollenlatch_beat_silent_seconds", func() float64 { _, silent := d.tracker.Stats(); return silent.Seconds() })
	d.metrics.GetOrCreateGauge("pollenlatch_beat_server_limit", func() float64 {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.limit.Limit()
	})
	d.registerColdMetrics()
	d.registerRampMetrics()
	d.metrics.GetOrCreateGauge("pollenlatch_gauge_slowness", func() float64 { return float64(d.gauge.Slowness(time.Now())) / 100 })
	d.metrics.GetOrCreateGauge("pollenlatch_gauge_slowness_used", func() float64 {
		if a, ok := d.admitter.(gaugedAdmitter); ok && a.UsesSlowness() {
			return 1
		}
		return 0
	})
	d.metrics.GetOrCreateGauge("pollenlatch_gauge_other_requests", func() float64 { return float64(d.gauge.Others(time.Now())) })
	d.metrics.GetOrCreateGauge("pollenlatch_gauge_silent_total", func() float64 { return float64(d.gauge.Silent()) })
	d.metrics.GetOrCreateGauge("pollenlatch_gauge_failing", func() float64 { return float64(d.failing.Percent(time.Now())) / 100 })
	d.metrics.GetOrCreateGauge("pollenlatch_link_backlog_seconds", func() float64 { return pacer.Backlog().Seconds() })
}

// HeartbeatHandler returns the handler of the local server's heartbeats. It is for
// a daemon with Platform.
func (d *Daemon) HeartbeatHandler() pollenlatch.HeartbeatHandler { return d.tracker }

// ConfigStore returns the store through which operators read and change the
// configuration.
func (d *Daemon) ConfigStore() pollenlatch.ConfigStore { return configStore{d} }

// Evacuator returns the handler of orders to evacuate data centres.
func (d *Daemon) Evacuator() pollenlatch.Evacuator { return evacuator{d} }

// UpdateVoters replaces the voters named in the settings.
func (d *Daemon) UpdateVoters(voters []pollenlatch.Member) { d.loop.UpdateVoters(voters) }

// Ready reports whether callers may send requests to this daemon.
func (d *Daemon) Ready() bool {
	a, ok := d.control.View().(pollenlatch.ConfigView)
	return ok && a.Configured() && d.control.Serving() == nil && !d.shuttingDown.Load()
}

// configStore implements pollenlatch.ConfigStore.
type configStore struct{ *Daemon }

// Propose implements pollenlatch.ConfigStore.
func (c configStore) Propose(items []pollenlatch.ConfigItem) (pollenlatch.Verdict, error) {
	ctx, cancel := context.WithTimeout(context.Background(), configChangeTimeout)
	defer cancel()
	return c.loop.SubmitChange(ctx, &pollenlatch.ConfigChange{Items: items})
}

// Items implements pollenlatch.ConfigStore.
func (c configStore) Items() ([]pollenlatch.ConfigItem, error) {
	ctx, cancel := context.WithTimeout(context.Background(), configReadTimeout)
	defer cancel()
	if err := c.loop.WaitReadIndex(ctx); err != nil {
		return nil, err
	}
	return c.control.Access().State().Items(), nil
}

// startPlatformTasks starts the background tasks of a daemon that serves callers.
func (d *Daemon) startPlatformTasks(ctx context.Context) {
	if d.cfg.Front == "" {
		return
	}
	go d.reportLoads(ctx)
	go d.tracker.Watch(ctx)
	go d.restoreEndpoint(ctx)
	go d.runProbes(ctx)
	go d.runHealthChecks(ctx)
}

// countRequests returns a handler that counts the requests for each range as they
// arrive, including those that next refuses.
func (d *Daemon) countRequests(next pollenlatch.Handler) pollenlatch.Handler {
	d.rates.Settings = sketch.Settings{Decay: loadDecay, MaxBytes: maxLoadReportBytes}
	return pollenlatch.HandlerFunc(func(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		d.rates.Add(r.Shard, "")
		d.ramp.arrive(r, time.Now())
		return next.Handle(ctx, r)
	})
}

// requestProbe asks runProbes to probe the local server.
func (d *Daemon) requestProbe() {
	select {
	case d.probeRequests <- struct{}{}:
	default:
	}
	if d.cold.enabled.Load() {
		d.requestHealthCheck()
	}
}

// runProbes probes the local server on request until ctx ends.
func (d *Daemon) runProbes(ctx context.Context) {
	for {
		select {
		case <-d.probeRequests:
			d.tracker.Probe(ctx)
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(minProbeInterval):
		case <-ctx.Done():
			return
		}
	}
}

// restoreEndpoint restores the endpoint of a local server that kept running while
// this daemon was restarted, from the replicated state. The daemon then serves
// before that server's next heartbeat. What that server has said in its responses is
// restored also after a heartbeat, which does not repeat it.
func (d *Daemon) restoreEndpoint(ctx context.Context) {
	for {
		changed := d.control.Changed()
		if self, ok := d.control.View().Instance(d.control.Self()); ok && self.Incarnation == d.incarnation {
			if self.Endpoint != nil {
				d.inheritEndpoint(*self.Endpoint)
			}
			d.tracker.AnnouncePending()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// inheritEndpoint takes over the endpoint that an earlier process of this daemon has
// announced.
func (d *Daemon) inheritEndpoint(e pollenlatch.Endpoint) {
	if err := d.tracker.Inherit(e); err != nil {
		klog.InfoS("recorded endpoint is not used after a restart", "server", e.ID, "err", err)
		return
	}
	d.mu.Lock()
	switch {
	case !d.endpointKnown:
		d.useEndpointLocked(e)
	case d.endpoint.Incarnation == e.Incarnation && d.limit.Limit() == 0:
		d.restoreLimitLocked(e.Limit)
	}
	d.mu.Unlock()
	klog.InfoS("endpoint of the local server restored after a restart", "server", e.ID, "ready", e.Ready, "limit", e.Limit)
}

// shutdownKeepingLease reports that this daemon is not ready, drains its
// connections, and keeps the lease for the next process of this instance.
func (d *Daemon) shutdownKeepingLease() {
	klog.InfoS("daemon is ending", "instance", d.cfg.Name)
	d.shuttingDown.Store(true)
	if d.front == nil {
		return
	}
	now := time.Now()
	schedule := halt.Schedule{RepeatableUntil: now.Add(notReadyPeriod + maxForwardedAcceptTime), End: now.Add(d.cfg.DrainTimeout)}
	mayOutlast := d.gate.Begin(schedule)
	klog.InfoS("callers are drained", "instance", d.cfg.Name, "mayOutlast", mayOutlast, "drainMs", d.cfg.DrainTimeout.Milliseconds())
	ctx, cancel := context.WithDeadline(context.Background(), schedule.End)
	defer cancel()
	d.front.RefuseBodiesAfter(schedule.LastResponse())
	d.front.DisableKeepAlives()
	select {
	case <-time.After(notReadyPeriod):
	case <-d.loop.Done():
	}
	callersErr, forwardedErr := connectionDrain{drainCallers: d.front.Shutdown, drainForwarded: d.node.Drain, maxForwardedAcceptTime: maxForwardedAcceptTime}.run(ctx)
	if callersErr != nil {
		klog.ErrorS(callersErr, "requests of callers were aborted at the drain timeout", "instance", d.cfg.Name)
	}
	if forwardedErr != nil {
		klog.ErrorS(forwardedErr, "forwarded requests were aborted at the drain timeout", "instance", d.cfg.Name)
	}
	klog.InfoS("connections are drained", "instance", d.cfg.Name, "took", time.Since(now), "refused", d.gate.Refused(), "revoked", d.gate.Revoked())
}
