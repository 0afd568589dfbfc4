package daemon

import (
	"context"

	"pollenlatch"
	"pollenlatch/admin"
	"pollenlatch/admit"
	"pollenlatch/ctrl"
	"pollenlatch/front"
	"pollenlatch/link"
	"pollenlatch/local"
	"pollenlatch/once"
	"pollenlatch/pick"
	"pollenlatch/plan"
	"pollenlatch/quorum"
	"pollenlatch/relay"
	"pollenlatch/serve"
)

// exchanger is a function that is a pollenlatch.Exchanger.
type exchanger func(ctx context.Context, r *pollenlatch.Request, check func() error) (*pollenlatch.Response, error)

// Exchange calls f.
func (f exchanger) Exchange(ctx context.Context, r *pollenlatch.Request, check func() error) (*pollenlatch.Response, error) {
	return f(ctx, r, check)
}

func (d *Daemon) connect() error {
	d.local = local.New(local.Config{Facts: d})
	d.relay = relay.New(relay.Config{MaxRun: d.maxRun})
	d.gate = admit.New(admit.Config{Queue: d.queue, Limit: d.limit})
	d.once = once.New(once.Config{})
	d.serve = serve.New(serve.Config{
		Control: &d.desk, Gate: d.gate, Exchanger: exchanger(d.observed), Records: d.once,
		Endpoint: d.server, Suspect: d.local.Probe, Front: d.cfg.Front, Metrics: d.metrics,
	})
	node, err := link.New(link.Config{
		Group: d.cfg.Group, Name: d.cfg.Name, Incarnation: d.incarnation, Key: d.cfg.Key,
		Control: d.receive, Requests: d.serve, Sessions: d.cfg.Sessions, Dial: d.cfg.Dial,
	})
	if err != nil {
		return err
	}
	d.node = node
	d.loop = &ctrl.Loop{
		Reducer:  ctrl.New(d.reducerConfig()),
		Desk:     &d.desk,
		Clock:    pollenlatch.Boot{},
		Sender:   d,
		Granter:  d.local,
		Transfer: d.transfer,
		Metrics:  d.metrics,
		Moved:    d.moved,
	}
	if v := d.cfg.Voter; v != nil {
		d.loop.Disk, d.loop.Log = v.Disk, &v.Log
	}
	router := front.NewRouter(front.RouterConfig{
		Control: &d.desk, Local: d.serve, Forward: node, Picker: pick.New(pick.Config{}), DC: d.cfg.DC, Metrics: d.metrics,
	})
	d.front, err = front.NewServer(front.Config{
		Control: &d.desk, Handler: router, Recorder: &d.burn, Metrics: d.metrics, Front: d.cfg.Front,
	})
	if err != nil || d.cfg.Admin == "" {
		return err
	}
	d.admin, err = admin.New(admin.Config{Control: control{d}, Tokens: d.cfg.Tokens, Burn: d.summary, Metrics: d.metrics})
	return err
}

// observed counts every request that is passed to the server.
func (d *Daemon) observed(ctx context.Context, r *pollenlatch.Request, check func() error) (*pollenlatch.Response, error) {
	key := r.Key
	if key == "" {
		key = r.Idempotency
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
	if v := d.cfg.Voter; v != nil {
		cfg.Planner = plan.New(plan.Settings{})
		cfg.Quorum = &quorum.Config{
			Self: v.Self, Genesis: v.Genesis, Heartbeat: d.cfg.Timing.Heartbeat,
			Election: d.cfg.Timing.Election, Seed: uint64(d.incarnation),
		}
	}
	return cfg
}
