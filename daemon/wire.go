package daemon

import (
	"context"

	"pollenlatch"
	"pollenlatch/admin"
	"pollenlatch/admit"
	"pollenlatch/ctrl"
	"pollenlatch/dedup"
	"pollenlatch/front"
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
	// readAhead is how many bytes of an answer are read from the server before
	// the first is passed on. It is several times the length of a usual download,
	// and for all slots of a server a few MB.
	readAhead = 1 << 20
	// linkShare is the part of the network link's rate that the bytes of answers
	// may take. The rest is for TCP/IP headers (4%), requests and control
	// messages.
	linkShare = 0.9
)

// exchanger is a function that is a pollenlatch.Exchanger.
type exchanger func(ctx context.Context, r *pollenlatch.Request, check func() error) (*pollenlatch.Response, error)

// Exchange calls f.
func (f exchanger) Exchange(ctx context.Context, r *pollenlatch.Request, check func() error) (*pollenlatch.Response, error) {
	return f(ctx, r, check)
}

func (d *Daemon) connect() error {
	var suspect func()
	var granter pollenlatch.Granter
	var grants serve.Grants
	var headers *pollenlatch.Headers
	if m := d.cfg.Platform; m != nil {
		headers = &m.Headers
		d.desk.AllowStale = true
		d.keeper = d.newKeeper()
		grants, suspect = d.keeper, d.probe
	} else {
		d.local = local.New(local.Config{Observer: d})
		granter, suspect = d.local, d.local.Probe
	}
	pacer := pace.NewLink(linkShare * d.cfg.Bandwidth)
	d.relay = relay.New(relay.Config{MaxRun: d.maxRun, Headers: headers})
	if d.cfg.Platform != nil {
		d.gate = admit.NewScheduler().WithPacer(pacer)
	} else {
		d.gate = admit.NewPriorityAdmitter(admit.Config{QueueLimit: d.queue, RateLimit: d.limit})
	}
	d.once = dedup.New(dedup.Config{})
	pipeline := serve.Config{
		Control: &d.desk, Admitter: d.gate, Exchanger: exchanger(d.observed), Records: d.once,
		Endpoint: d.server, Probe: suspect, FrontAddr: d.cfg.Front, Metrics: d.metrics, Grants: grants,
	}
	if d.cfg.Platform != nil {
		pipeline.ReadAheadBytes = readAhead
	}
	d.serve = serve.New(pipeline)
	var requests, here pollenlatch.Handler = nil, d.serve
	if d.cfg.Platform != nil {
		here = d.counted(d.serve)
	}
	if d.cfg.Front != "" {
		requests = here
	}
	node, err := link.New(link.Config{
		Group: d.cfg.Group, Name: d.cfg.Name, Incarnation: d.incarnation, Key: d.cfg.Key,
		ControlHandler: d.receive, RequestHandler: requests, MaxRequestSessions: d.cfg.MaxSessions, Dial: d.cfg.Dial,
		Pacer: pacer,
	})
	if err != nil {
		return err
	}
	d.node = node
	d.loop = &ctrl.Loop{
		Reducer:         ctrl.New(d.reducerConfig()),
		Control:         &d.desk,
		Clock:           pollenlatch.BootClock{},
		Sender:          d,
		Granter:         granter,
		SendRecords:     d.transfer,
		Metrics:         d.metrics,
		OnShardsChanged: d.moved,
		TickInterval:    d.cfg.TickInterval,
	}
	if d.keeper != nil {
		d.measureBeats(pacer)
		d.loop.AwaitIdle = d.keeper.AwaitRelease
		d.loop.OnShardsChanged = nil
	}
	if v := d.cfg.Voter; v != nil {
		d.loop.Disk, d.loop.RecoveredLog = v.Disk, &v.RecoveredLog
	}
	if d.cfg.Front == "" {
		return nil
	}
	routing := front.RouterConfig{
		Control: &d.desk, Local: here, Forwarder: node, Picker: pick.New(pick.Config{LocalServer: d.beside}), DC: d.cfg.DC, Metrics: d.metrics,
	}
	if m := d.cfg.Platform; m != nil {
		routing.ServiceBudgets = &pick.ServiceBudgets{Ratio: m.RetryBudget.Ratio, Burst: m.RetryBudget.Burst}
	}
	router := front.NewRouter(routing)
	cfg := front.Config{Control: &d.desk, Handler: router, Metrics: d.metrics, Front: d.cfg.Front, Headers: headers}
	if m := d.cfg.Platform; m != nil {
		cfg.LocalService, cfg.IdleTimeout, cfg.Pacer, cfg.LookupNested = m.LocalService, meshIdle, pacer, d.serve.IsNested
	} else {
		cfg.Recorder = &d.burn
	}
	d.front, err = front.NewServer(cfg)
	if err != nil || d.cfg.Admin == "" {
		return err
	}
	d.admin, err = admin.New(admin.Config{Control: control{d}, Tokens: d.cfg.Tokens, Burn: d.summary, Metrics: d.metrics})
	return err
}

// planners are planners for different services.
type planners []pollenlatch.Planner

// Plan returns the moves of all planners.
func (p planners) Plan(in pollenlatch.PlanInput) []pollenlatch.Move {
	var moves []pollenlatch.Move
	for _, x := range p {
		moves = append(moves, x.Plan(in)...)
	}
	return moves
}

// observed counts every request that is passed to the server.
func (d *Daemon) observed(ctx context.Context, r *pollenlatch.Request, check func() error) (*pollenlatch.Response, error) {
	if d.cfg.Platform != nil {
		return d.relay.Exchange(ctx, r, check) // counted when it arrived
	}
	key := r.Key
	if key == "" {
		key = r.IdempotencyKey
	}
	d.hot.Add(r.Shard, key)
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
		cfg.Self.Takeover, cfg.LoadReportInterval = true, meshReport
	}
	if v := d.cfg.Voter; v != nil {
		cfg.Planner = planners{plan.New(plan.Settings{}), new(place.Planner)}
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
