package daemon

import (
	"context"
	"time"

	"pollenlatch"
	"pollenlatch/admin"
	"pollenlatch/admit"
	"pollenlatch/ctrl"
	"pollenlatch/dedup"
	"pollenlatch/front"
	"pollenlatch/intake"
	"pollenlatch/link"
	"pollenlatch/local"
	"pollenlatch/pace"
	"pollenlatch/pick"
	"pollenlatch/place"
	"pollenlatch/plan"
	"pollenlatch/quorum"
	"pollenlatch/relay"
	"pollenlatch/serve"
)

const (
	// readAheadBytes is the number of bytes of a response that are read from the
	// server before the first is passed on. It is several times the size of a typical
	// download, and amounts to a few MB for all slots of a server.
	readAheadBytes = 1 << 20
	// maxBufferedBytes is the maximum of these bytes over all responses, a sixth of the
	// memory of an instance with 184 MB. Callers that read slowly could otherwise hold
	// 1 MB for each of their connections.
	maxBufferedBytes = 32 << 20
	// payloadShare is the share of the network link's bandwidth that response bytes
	// may use. The rest is for TCP/IP headers (4%), requests and control messages.
	payloadShare = 0.9
)

// exchangerFunc is a function that implements pollenlatch.Exchanger.
type exchangerFunc func(ctx context.Context, r *pollenlatch.Request, check func() error) (*pollenlatch.Response, error)

// Exchange calls f.
func (f exchangerFunc) Exchange(ctx context.Context, r *pollenlatch.Request, check func() error) (*pollenlatch.Response, error) {
	return f(ctx, r, check)
}

// buildParts creates the parts of the daemon from its configuration.
func (d *Daemon) buildParts() error {
	var probe func()
	var granter pollenlatch.Granter
	var grants serve.Grants
	var headers *pollenlatch.Headers
	if p := d.cfg.Platform; p != nil {
		headers = &p.Headers
		d.control.AllowStale = true
		d.tracker = d.newTracker()
		grants, probe = d.tracker, d.requestProbe
	} else {
		d.local = local.New(local.Config{Observer: d})
		granter, probe = d.local, d.local.Probe
	}
	d.evacuation = d.newEvacuationRule()
	pacer := pace.NewLink(payloadShare * d.cfg.Bandwidth)
	incoming := intake.NewLink(payloadShare * d.cfg.Bandwidth)
	relayCfg := relay.Config{MaxRun: d.maxRun, Headers: headers}
	longRun := func(r *pollenlatch.Request) time.Duration { return d.maxRun(r.Service) }
	if d.cfg.Platform != nil {
		scheduler := admit.NewScheduler().WithPacer(pacer).WithGauge(&d.gauge)
		incoming.OnFree(scheduler.StartWaiting)
		incoming.Register(d.metrics)
		d.admitter = scheduler
		d.ramp = newRampGuard(d.control.View, scheduler.SetPace, scheduler.Load)
		d.cold = newColdGuard(d.control.View, func(perSecond float64, cold bool, until time.Time) {
			// The server always has one of the two limits.
			if !cold {
				d.ramp.setCold(false, true, time.Now())
			}
			scheduler.SetColdLimit(perSecond, cold, until)
			if cold {
				d.ramp.setCold(true, !until.IsZero(), time.Now())
			}
		}, d.requestHealthCheck)
		relayCfg.Observe, relayCfg.Gauge = d.observeServer, &d.gauge
		relayCfg.ExpectedRun = func(r *pollenlatch.Request) time.Duration { return scheduler.ExpectedRun(r.Route) }
		longRun = func(r *pollenlatch.Request) time.Duration {
			if r.Idempotent { // its caller may send it again, whatever became of it
				return scheduler.ExpectedRun(r.Route)
			}
			return scheduler.LongRun(r.Route)
		}
	} else {
		d.admitter = admit.NewPriorityAdmitter(admit.Config{QueueLimit: d.queueLimit, RateLimit: d.rateLimit})
	}
	d.relay = relay.New(relayCfg)
	d.recordStore = dedup.New(dedup.Config{})
	serveCfg := serve.Config{
		Control: &d.control, Admitter: d.admitter, Exchanger: exchangerFunc(d.exchangeCounted), Records: d.recordStore,
		Endpoint: d.localServer, Probe: probe, FrontAddr: d.cfg.Front, Metrics: d.metrics, Grants: grants, Crashes: &d.crashes,
		ReportCleared: d.reportCleared, ExpectedRun: longRun,
		Evacuated: func(sharded bool) bool { return d.evacuation.Refuses(d.cfg.DC, sharded) },
	}
	if d.cfg.Platform != nil {
		serveCfg.ReadAheadBytes, serveCfg.MaxBufferedBytes, serveCfg.Intake = readAheadBytes, maxBufferedBytes, incoming
		serveCfg.Adaptive = d.isAdaptive
		serveCfg.Hint, serveCfg.Failing, serveCfg.Full = d.localHint, &d.failing, d.localServerFull
	}
	d.serve = serve.New(serveCfg)
	var forwardedHandler, localHandler pollenlatch.Handler = nil, d.serve
	if d.cfg.Platform != nil {
		localHandler = d.countRequests(d.serve)
	}
	if d.cfg.Front != "" {
		forwardedHandler = d.gate.Wrap(localHandler)
	}
	node, err := link.New(link.Config{
		Group: d.cfg.Group, Name: d.cfg.Name, Incarnation: d.incarnation, Key: d.cfg.Key,
		ControlHandler: d.receive, RequestHandler: forwardedHandler, MaxRequestSessions: d.cfg.MaxSessions, Dial: d.cfg.Dial,
		Pacer: pacer, RecordReceived: incoming.RecordOther, Metrics: d.metrics,
		Adaptive: d.linkAdaptive(),
	})
	if err != nil {
		return err
	}
	d.node = node
	if d.cfg.Platform != nil {
		d.metrics.GetOrCreateGauge("pollenlatch_link_revocations", func() float64 { answered, _ := node.Revocations(); return float64(answered) })
		d.metrics.GetOrCreateGauge("pollenlatch_link_revoked_not_run", func() float64 { _, notRun := node.Revocations(); return float64(notRun) })
	}
	d.loop = &ctrl.Loop{
		Reducer:         ctrl.New(d.reducerConfig()),
		Control:         &d.control,
		Clock:           pollenlatch.BootClock{},
		Sender:          d,
		Granter:         granter,
		SendRecords:     d.sendRecords,
		Metrics:         d.metrics,
		OnShardsChanged: d.dropMovedRecords,
		TickInterval:    d.cfg.TickInterval,
	}
	if d.tracker != nil {
		d.registerHeartbeatMetrics(pacer)
		d.loop.AwaitIdle = d.tracker.AwaitRelease
		d.loop.OnShardsChanged = nil
	}
	if v := d.cfg.Voter; v != nil {
		d.loop.Disk, d.loop.RecoveredLog = v.Disk, &v.RecoveredLog
	}
	if d.cfg.Front == "" {
		return nil
	}
	routerCfg := front.RouterConfig{
		Control: &d.control, Local: localHandler, Forwarder: node, DC: d.cfg.DC, Metrics: d.metrics,
		Picker: pick.New(pick.Config{
			LocalServer: d.localFreeSlots, ColdRate: d.coldRate, Paced: d.isPaced, EjectedByHint: d.newEjectionReporter(),
		}),
		Evacuated: d.evacuation.Refuses,
	}
	if p := d.cfg.Platform; p != nil {
		routerCfg.OwnServerFree = func() bool {
			_, free := d.localFreeSlots()
			return free > 0
		}
		routerCfg.Hints, routerCfg.Adaptive = &d.serverHints, d.isAdaptive
		routerCfg.ServiceBudgets = &pick.ServiceBudgets{Ratio: p.RetryBudget.Ratio, Burst: p.RetryBudget.Burst}
	}
	router := front.NewRouter(routerCfg)
	frontCfg := front.Config{Control: &d.control, Handler: d.gate.Wrap(router), Metrics: d.metrics, Front: d.cfg.Front, Headers: headers}
	if p := d.cfg.Platform; p != nil {
		frontCfg.LocalService, frontCfg.IdleTimeout, frontCfg.Pacer, frontCfg.LookupNested = p.LocalService, callerIdleTimeout, pacer, d.serve.IsNested
		frontCfg.ConfigCurrent = d.control.HasLease
		frontCfg.Adaptive = d.isAdaptive
	} else {
		frontCfg.Recorder = &d.events
	}
	d.front, err = front.NewServer(frontCfg)
	if err != nil || d.cfg.Admin == "" {
		return err
	}
	d.admin, err = admin.New(admin.Config{Control: adminControl{d}, Tokens: d.cfg.Tokens, Burn: d.eventSummary, Metrics: d.metrics})
	return err
}

// multiPlanner combines planners for different services.
type multiPlanner []pollenlatch.Planner

// Plan returns the moves of all planners.
func (p multiPlanner) Plan(in pollenlatch.PlanInput) []pollenlatch.Move {
	var moves []pollenlatch.Move
	for _, planner := range p {
		moves = append(moves, planner.Plan(in)...)
	}
	return moves
}

// exchangeCounted sends a request to the local server and counts it.
func (d *Daemon) exchangeCounted(ctx context.Context, r *pollenlatch.Request, check func() error) (*pollenlatch.Response, error) {
	if d.cfg.Platform != nil {
		return d.exchangeGuarded(ctx, r, check) // already counted by countRequests
	}
	key := r.Key
	if key == "" {
		key = r.IdempotencyKey
	}
	d.rates.Add(r.Shard, key)
	return d.relay.Exchange(ctx, r, check)
}

func (d *Daemon) reducerConfig() ctrl.Config {
	cfg := ctrl.Config{
		Self: pollenlatch.Join{
			Name: d.cfg.Name, DC: d.cfg.DC, Addr: d.cfg.Link, Front: d.cfg.Front, Incarnation: d.incarnation,
		},
		Voters: d.cfg.Voters,
		Timing: d.cfg.Timing,
	}
	if d.cfg.Platform != nil {
		cfg.Self.Takeover, cfg.LoadReportInterval = true, platformLoadInterval
	}
	if v := d.cfg.Voter; v != nil {
		cfg.Planner = multiPlanner{plan.New(plan.Settings{}), new(place.Planner)}
		cfg.GroupSize = d.cfg.GroupSize
		if cfg.GroupSize > 0 {
			cfg.Self.Storage = v.Self.Incarnation
		}
		cfg.Quorum = &quorum.Config{
			Self: v.Self, InitialVoters: v.InitialVoters, HeartbeatInterval: d.cfg.Timing.Heartbeat,
			MinElectionTimeout: d.cfg.Timing.Election, Seed: uint64(d.incarnation),
		}
	}
	return cfg
}
