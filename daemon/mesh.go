package daemon

import (
	"context"
	"net"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/beat"
	"pollenlatch/sketch"
)

// Platform describes a platform on which servers fetch their grants by heartbeats
// and callers are routed by host and path.
type Platform struct {
	Headers           pollenlatch.Headers
	LocalService      string        // of the server beside this daemon; empty where there is none
	HeartbeatInterval time.Duration // interval of the server's heartbeats
	MaxGrantTTL       time.Duration // longest time for which a server may hold keys without a heartbeat
	MaxRangesBytes    int           // bytes for the rows in the answer to a heartbeat
	RetryBudget       RetryBudget
}

// RetryBudget bounds the requests that are sent to a second server.
type RetryBudget struct {
	Ratio float64 // for each request that this daemon takes in
	Burst float64 // saved up by this daemon
}

// Listener is a listener for an interface that translates for this daemon.
type Listener struct {
	Name  string // in errors
	Addr  string
	Serve func(net.Listener) error
}

const (
	// meshIdle is how long callers may keep a connection without a request. It
	// is longer than any limit that they go by.
	meshIdle = 2 * time.Minute
	// notice is the time between the word that this daemon is not ready and the
	// end of accepting connections: two readiness probes of one second, and the
	// way there.
	notice = 2300 * time.Millisecond
	// forwardMost is how long after that requests of other instances are taken at
	// most: until 3 s after the signal to end. Of the 5 s of a usual drain 2 s are
	// left for those that run, more than a run and its turn on a narrow link take.
	forwardMost = 700 * time.Millisecond
	// changeTimeout bounds the wait for the verdict on a change. An operator
	// asks another instance after a second.
	changeTimeout = 3 * time.Second
	// readTimeout bounds the wait for the newest configuration.
	readTimeout = 2 * time.Second
	// meshReport is the interval of load reports, and meshDecay the time over
	// which they are averaged: a key that turns busy is known after two.
	meshReport = 250 * time.Millisecond
	meshDecay  = 500 * time.Millisecond
	// meshReportBytes bounds the ranges in a report: about 60.
	meshReportBytes = 1500
	// probePause is the least time between two looks whether the server that
	// failed a request is still there.
	probePause = 100 * time.Millisecond
)

func (d *Daemon) newKeeper() *beat.Tracker {
	m := d.cfg.Platform
	return beat.New(beat.Config{
		Control: &d.desk, Observer: d, Clock: pollenlatch.BootClock{}, Interval: m.HeartbeatInterval, MaxTTL: m.MaxGrantTTL, MaxRangesBytes: m.MaxRangesBytes,
		InheritedTTL: d.cfg.Timing.Lease,
	})
}

// measureBeats adds figures on the server's grants and on the network link.
func (d *Daemon) measureBeats(link pollenlatch.Pacer) {
	d.metrics.GetOrCreateGauge("pollenlatch_beat_granted_ranges", func() float64 { n, _ := d.keeper.Stats(); return float64(n) })
	d.metrics.GetOrCreateGauge("pollenlatch_beat_silent_seconds", func() float64 { _, s := d.keeper.Stats(); return s.Seconds() })
	d.metrics.GetOrCreateGauge("pollenlatch_link_backlog_seconds", func() float64 { return link.Backlog().Seconds() })
}

// HeartbeatHandler takes the heartbeats of the server beside this daemon.
func (d *Daemon) HeartbeatHandler() pollenlatch.HeartbeatHandler { return d.keeper }

// ConfigStore takes the operator's changes.
func (d *Daemon) ConfigStore() pollenlatch.ConfigStore { return changes{d} }

// UpdateVoters replaces the voters that the settings name.
func (d *Daemon) UpdateVoters(voters []pollenlatch.Member) { d.loop.UpdateVoters(voters) }

// Ready reports whether callers may be sent here.
func (d *Daemon) Ready() bool {
	a, ok := d.desk.View().(pollenlatch.ConfigView)
	return ok && a.Configured() && d.desk.Serving() == nil && !d.ending.Load()
}

// changes implements pollenlatch.ConfigStore.
type changes struct{ *Daemon }

// Propose implements pollenlatch.ConfigStore.
func (c changes) Propose(items []pollenlatch.ConfigItem) (pollenlatch.Verdict, error) {
	ctx, cancel := context.WithTimeout(context.Background(), changeTimeout)
	defer cancel()
	return c.loop.SubmitChange(ctx, &pollenlatch.ConfigChange{Items: items})
}

// Items implements pollenlatch.ConfigStore.
func (c changes) Items() ([]pollenlatch.ConfigItem, error) {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	if err := c.loop.WaitReadIndex(ctx); err != nil {
		return nil, err
	}
	return c.desk.Access().State().Items(), nil
}

// workMesh starts what runs beside the control loop.
func (d *Daemon) workMesh(ctx context.Context) {
	if d.cfg.Front == "" {
		return
	}
	go d.measure(ctx)
	go d.keeper.Watch(ctx)
	go d.resume(ctx)
	go d.probes(ctx)
}

// counted counts the requests for each range as they arrive, refused ones too.
func (d *Daemon) counted(next pollenlatch.Handler) pollenlatch.Handler {
	d.hot.Settings = sketch.Settings{Decay: meshDecay, MaxBytes: meshReportBytes}
	return pollenlatch.HandlerFunc(func(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		d.hot.Add(r.Shard, "")
		return next.Handle(ctx, r)
	})
}

// probe asks for a look whether the server is still there.
func (d *Daemon) probe() {
	select {
	case d.suspicions <- struct{}{}:
	default:
	}
}

// probes looks after the server when it has failed a request, until ctx ends.
func (d *Daemon) probes(ctx context.Context) {
	for {
		select {
		case <-d.suspicions:
			d.keeper.Probe(ctx)
		case <-ctx.Done():
			return
		}
		select {
		case <-time.After(probePause):
		case <-ctx.Done():
			return
		}
	}
}

// resume serves on with the server of an earlier process of this daemon, by
// what the state says of it, until that server's next heartbeat.
func (d *Daemon) resume(ctx context.Context) {
	for {
		changed := d.desk.Changed()
		if _, known := d.server(); known {
			return
		}
		if me, ok := d.desk.View().Instance(d.desk.Self()); ok && me.Endpoint != nil && me.Incarnation == d.incarnation {
			d.mu.Lock()
			if !d.announced {
				d.endpoint, d.announced = *me.Endpoint, true
				d.relay.SetEndpoint(withConns(*me.Endpoint))
				d.gate.SetSlots(int(me.Endpoint.Slots))
				klog.InfoS("server of an earlier process taken over", "server", me.Endpoint.ID, "ready", me.Endpoint.Ready)
			}
			d.mu.Unlock()
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// leaveMesh is the graceful end: callers are told to go elsewhere, what was
// read is answered, and the lease stays for the next process.
func (d *Daemon) leaveMesh() {
	klog.InfoS("daemon is ending", "instance", d.cfg.Name)
	d.ending.Store(true)
	if d.front == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.DrainTimeout)
	defer cancel()
	d.front.DisableKeepAlives()
	select {
	case <-time.After(notice):
	case <-d.loop.Done():
	}
	callers, forwarded := ending{callers: d.front.Shutdown, forwarded: d.node.Drain, most: forwardMost}.run(ctx)
	if callers != nil {
		klog.ErrorS(callers, "callers' requests were cut off by the end", "instance", d.cfg.Name)
	}
	if forwarded != nil {
		klog.ErrorS(forwarded, "forwarded requests were cut off by the end", "instance", d.cfg.Name)
	}
}
