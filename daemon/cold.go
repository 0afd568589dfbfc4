package daemon

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/admit"
	"pollenlatch/cold"
	"pollenlatch/logs"
)

const (
	// healthInterval is the interval in which a health check is made if one is due: while
	// a server gets more requests than a cold server tolerates, or has not stated yet
	// whether it is cold. At 60 requests a second, a server that becomes cold gets 15 more
	// before the next one; the interval of heartbeats is longer.
	healthInterval = 250 * time.Millisecond
	// minHealthInterval is the minimum time between two health checks.
	minHealthInterval = 100 * time.Millisecond
)

// coldGuard keeps the limit of a cold local server in the daemon beside it. It is safe
// for concurrent use.
type coldGuard struct {
	view        func() pollenlatch.View
	setLimit    func(perSecond float64, cold bool, until time.Time) // of admission
	checkHealth func()                                              // asks for a health check

	enabled atomic.Bool // the service has a ColdRate

	mu          sync.Mutex
	incarnation pollenlatch.Incarnation
	id, service string // of the server
	monitor     cold.Monitor
	gate        cold.Gate
	dip         cold.Dip
	rate        float64 // that is in force
	isCold      bool    // state that is in force
	until       time.Time
	coldSince   time.Time
	timer       *time.Timer // ends the cold state; nil before the first use
	gateRefused uint64      // requests that were refused when they were about to be sent
	checks      uint64
	failed      uint64 // checks that told nothing
	dips        uint64
	failures    *logs.Limiter // of the log lines on failed checks
}

func newColdGuard(view func() pollenlatch.View, setLimit func(float64, bool, time.Time), checkHealth func()) *coldGuard {
	return &coldGuard{view: view, setLimit: setLimit, checkHealth: checkHealth, failures: logs.NewLimiter(1, 1)}
}

// heartbeat records the time for which a heartbeat says that the server stays cold, and
// returns whether the server must be treated as cold.
func (g *coldGuard) heartbeat(e pollenlatch.Endpoint, left time.Duration, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setServerLocked(e)
	g.monitor.Heartbeat(left, now)
	g.gate.Checked(now)
	g.updateLocked(now)
	return g.isCold
}

// response records the time for which a response to a request that was sent at sentAt
// says that the server stays cold. It reports whether the server is cold.
func (g *coldGuard) response(of pollenlatch.Incarnation, left time.Duration, sentAt, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if of != g.incarnation {
		return false
	}
	g.monitor.Response(left, sentAt, now)
	g.updateLocked(now)
	return g.isCold
}

// useServer is called before requests are sent to a server. One that has not stated yet
// whether it is cold is treated as cold.
func (g *coldGuard) useServer(e pollenlatch.Endpoint, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.setServerLocked(e)
	g.updateLocked(now)
	if g.enabled.Load() && !g.monitor.Known() {
		g.checkHealth()
	}
}

func (g *coldGuard) setServerLocked(e pollenlatch.Endpoint) {
	if e.Incarnation != g.incarnation {
		g.monitor, g.dip = cold.Monitor{}, cold.Dip{}
	}
	g.incarnation, g.id, g.service = e.Incarnation, e.ID, e.Service
}

// update applies the passing of time and the newest configuration.
func (g *coldGuard) update() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.updateLocked(time.Now())
}

func (g *coldGuard) updateLocked(now time.Time) {
	svc, _ := g.view().Service(g.service)
	rate, until := svc.ColdRate, g.monitor.Until()
	isCold := rate > 0 && g.monitor.Cold(now)
	if isCold && until.After(now) && !until.Equal(g.until) {
		g.setTimerLocked(until.Sub(now))
	}
	if rate == g.rate && isCold == g.isCold && until.Equal(g.until) {
		return
	}
	if isCold != g.isCold {
		g.logLocked(isCold, rate, until, now)
	}
	g.rate, g.isCold, g.until = rate, isCold, until
	g.enabled.Store(rate > 0)
	g.gate.SetLimit(rate)
	g.setLimit(rate, isCold, until)
}

func (g *coldGuard) setTimerLocked(d time.Duration) {
	if g.timer == nil {
		g.timer = time.AfterFunc(d, g.update)
		return
	}
	g.timer.Reset(d)
}

func (g *coldGuard) logLocked(isCold bool, rate float64, until, now time.Time) {
	switch {
	case !isCold:
		klog.InfoS("server is warm", "server", g.id, "coldMs", now.Sub(g.coldSince).Milliseconds())
		return
	case g.monitor.Known():
		klog.InfoS("server is cold", "server", g.id, "leftMs", until.Sub(now).Milliseconds(), "perSecond", rate)
	default:
		klog.InfoS("server is treated as cold until it states otherwise", "server", g.id, "perSecond", rate)
	}
	g.coldSince = now
}

// send is called immediately before a request is written to the server.
func (g *coldGuard) send(now time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	wait := g.gate.Send(g.isCold, now)
	if wait == 0 {
		return nil
	}
	g.gateRefused++
	return &pollenlatch.Failure{
		Outcome: pollenlatch.OutcomeNotRun, Reason: pollenlatch.ReasonOverloaded, Status: http.StatusServiceUnavailable,
		Detail: "the server is cold and has received as many requests within a second as it tolerates", RetryAfter: wait,
	}
}

// observeRun records how long the response to a request of a route took.
func (g *coldGuard) observeRun(route string, took time.Duration, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dip.Observe(route, took, now) && !g.isCold {
		g.dips++
		g.checkHealth()
	}
}

// needsCheck reports whether a health check is due.
func (g *coldGuard) needsCheck(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rate > 0 && (!g.monitor.Known() || (!g.isCold && g.gate.CheckDue(healthInterval, now)))
}

// recordCheck counts a health check.
func (g *coldGuard) recordCheck(err error, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.checks++
	if err == nil {
		g.gate.Checked(now)
		return
	}
	g.failed++
	if suppressed, ok := g.failures.Allow(now); ok {
		klog.InfoS("health check of the server failed", "server", g.id, "err", err, "suppressed", suppressed)
	}
}

// exchangeGuarded sends a request to the local server within the limit of a cold server,
// and records how the server responds.
func (d *Daemon) exchangeGuarded(ctx context.Context, r *pollenlatch.Request, check func() error) (*pollenlatch.Response, error) {
	limited, paced := d.cold.enabled.Load(), d.ramp.enabled.Load()
	if !limited && !paced {
		return d.relay.Exchange(ctx, r, check)
	}
	var sentAt time.Time
	resp, err := d.relay.Exchange(ctx, r, func() error {
		if err := check(); err != nil {
			return err
		}
		sentAt = time.Now()
		if !limited {
			return nil
		}
		return d.cold.send(sentAt)
	})
	now := time.Now()
	if paced {
		d.ramp.observe(r, sentAt, resp, err, now)
	}
	if limited && err == nil {
		d.cold.observeRun(r.Route, now.Sub(sentAt), now)
	}
	return resp, err
}

// observeCold records the time for which a response says that the server stays cold.
func (d *Daemon) observeCold(of pollenlatch.Incarnation, left time.Duration, sentAt, now time.Time) {
	if d.cold.response(of, left, sentAt, now) {
		d.tracker.ObserveCold(of)
	}
}

// requestHealthCheck asks runHealthChecks for a health check.
func (d *Daemon) requestHealthCheck() {
	select {
	case d.healthRequests <- struct{}{}:
	default:
	}
}

// runHealthChecks checks the health of the local server on request, and as long as its
// state may have changed without a sign, until ctx ends.
func (d *Daemon) runHealthChecks(ctx context.Context) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.healthRequests:
		case <-ticker.C:
			d.cold.update()
			d.updateRamp()
			if !d.cold.needsCheck(time.Now()) {
				continue
			}
		case <-ctx.Done():
			return
		}
		d.checkHealth(ctx)
		select {
		case <-time.After(minHealthInterval):
		case <-ctx.Done():
			return
		}
	}
}

// checkHealth makes one health check of the local server.
func (d *Daemon) checkHealth(ctx context.Context) {
	e, ok := d.localServer()
	svc, _ := d.control.View().Service(e.Service)
	if !ok || !e.Ready || svc.ColdRate <= 0 || svc.HealthPath == "" {
		return
	}
	sentAt := time.Now()
	s, err := d.relay.CheckHealth(ctx, svc.HealthPath)
	now := time.Now()
	d.cold.recordCheck(err, now)
	if err != nil {
		return
	}
	if s.Load != nil {
		d.observeHealthLoad(s.Incarnation, *s.Load, now)
	}
	if s.ColdFor != nil {
		d.observeCold(s.Incarnation, *s.ColdFor, sentAt, now)
	}
}

// coldRate returns how many requests a second a cold server of a service gets.
func (d *Daemon) coldRate(service string) float64 {
	s, _ := d.control.View().Service(service)
	return s.ColdRate
}

// registerColdMetrics registers the metrics of the cold state of the local server.
func (d *Daemon) registerColdMetrics() {
	gauge := func(name string, f func(g *coldGuard) float64) {
		d.metrics.GetOrCreateGauge("pollenlatch_cold_"+name, func() float64 {
			d.cold.mu.Lock()
			defer d.cold.mu.Unlock()
			return f(d.cold)
		})
	}
	inForce := func(g *coldGuard, v float64) float64 {
		if !g.isCold {
			return 0
		}
		return v
	}
	gauge("state", func(g *coldGuard) float64 { return inForce(g, 1) })
	gauge("limit", func(g *coldGuard) float64 { return inForce(g, g.rate) })
	gauge("checks_total", func(g *coldGuard) float64 { return float64(g.checks) })
	gauge("checks_failed_total", func(g *coldGuard) float64 { return float64(g.failed) })
	gauge("dips_total", func(g *coldGuard) float64 { return float64(g.dips) })
	scheduler := d.admitter.(*admit.Scheduler)
	d.metrics.GetOrCreateGauge("pollenlatch_cold_delayed_total", func() float64 { delayed, _ := scheduler.ColdStats(); return float64(delayed) })
	d.metrics.GetOrCreateGauge("pollenlatch_cold_refused_total", func() float64 {
		_, refused := scheduler.ColdStats()
		d.cold.mu.Lock()
		defer d.cold.mu.Unlock()
		return float64(refused + d.cold.gateRefused)
	})
}
