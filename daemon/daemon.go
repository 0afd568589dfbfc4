// Package daemon assembles one process: links to other daemons, the control
// loop, the HTTP server for callers, the pipeline to the local server, and the
// administration API.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/admin"
	"pollenlatch/beat"
	"pollenlatch/burn"
	"pollenlatch/crash"
	"pollenlatch/ctrl"
	"pollenlatch/dedup"
	"pollenlatch/evac"
	"pollenlatch/front"
	"pollenlatch/gauge"
	"pollenlatch/halt"
	"pollenlatch/hints"
	"pollenlatch/link"
	"pollenlatch/local"
	"pollenlatch/quota"
	"pollenlatch/relay"
	"pollenlatch/serve"
	"pollenlatch/sketch"
	"pollenlatch/stall"
)

// Config is the configuration of a Daemon. Addresses are host:port.
type Config struct {
	Name         string // of the instance
	DC           string
	Group        string
	Key          []byte // shared by the group
	Link         string // address for other daemons
	Front        string // address for callers; may be empty with Platform: no callers are served
	Local        string // address for the local server; not used with Platform
	Admin        string // address for operators; empty: no administration API
	Tokens       []admin.Token
	Region       string
	Data         string               // folder for the events of the service-level report; empty: they are not saved
	Voters       []pollenlatch.Member // voters named in the settings
	Voter        *Voter               // nil in a process that is not a voter
	Timing       ctrl.Timing
	DrainTimeout time.Duration // maximum duration of a graceful shutdown; 0 is DefaultDrainTimeout

	Bandwidth float64 // of this instance's network link in bytes a second; 0: unknown, large responses are not paced

	MaxSessions  int           // maximum number of sessions to other daemons; 0 is the default of package link
	TickInterval time.Duration // interval of the control loop's Tick events; 0 is the default of package ctrl
	GroupSize    int           // number of voters that the leader keeps the group at; with 0 only tickets change the group

	// Platform adapts the daemon to another platform: it uses the platform's
	// headers, and servers fetch their grants by heartbeats. nil uses the Pollen
	// headers and sends grants to the local server.
	Platform *Platform
	// Metrics is the address that serves the metrics of this process; empty serves
	// them with the administration API only.
	Metrics string
	// ExtraListeners are opened together with the daemon's own listeners, for
	// adapters that translate other protocols.
	ExtraListeners []Listener

	// Listen opens listeners; nil listens on TCP.
	Listen func(addr string) (net.Listener, error)
	// Dial opens connections to other daemons; nil dials TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// DefaultDrainTimeout is the default maximum duration of a graceful shutdown.
const DefaultDrainTimeout = 30 * time.Second

// Daemon is one process. Use New, then Run.
type Daemon struct {
	cfg            Config
	incarnation    pollenlatch.Incarnation
	control        ctrl.Control
	loop           *ctrl.Loop
	node           *link.Node
	local          *local.Monitor // nil with Platform
	tracker        *beat.Tracker  // nil without Platform
	relay          *relay.Relay
	cold           *coldGuard // nil without Platform
	ramp           *rampGuard // nil without Platform
	admitter       admitter
	recordStore    *dedup.Store
	serve          *serve.Server
	front          *front.Server
	admin          *admin.Server
	evacuation     evac.Rule     // for evacuated data centres
	events         burn.Counter  // for the service-level report
	rates          sketch.Sketch // request rates of ranges and keys
	startedAt      time.Time
	done           chan struct{}
	serveErrs      chan error
	drainRequested chan struct{} // closed when an operator drains the instance

	mu              sync.Mutex
	peers           map[string]link.Peer // by instance name, on the newest session
	endpoint        pollenlatch.Endpoint // of the local server
	endpointKnown   bool
	limit           quota.Monitor // of the local server
	crashes         crash.Monitor
	gauge           gauge.Gauge   // load of the local server
	failing         gauge.Failing // of the local server
	adaptive        hints.Condition
	serverHints     hints.Table // of the daemons beside other servers
	recordTransfers pendingCalls[bool]
	imported        importedRecords
	eventRequests   pendingCalls[*pollenlatch.EventsReply]
	eventCopies     eventCopies

	shuttingDown  atomic.Bool   // Ready reports false
	gate          halt.Gate     // refuses requests during a shutdown
	probeRequests chan struct{} // asks for a probe of the local server

	healthRequests chan struct{} // asks for a health check of the local server

	abortOnce sync.Once
	aborted   chan struct{}
	drainOnce sync.Once
	metrics   *metrics.Set
}

// admitter admits requests to the slots of the local server.
type admitter interface {
	pollenlatch.Admitter
	SetSlots(n int)
}

// drainingAdmitter also gives up the requests that wait for a draining server, or for
// another reason.
type drainingAdmitter interface {
	RefuseDraining()
	RefuseWaiting(newFailure func() *pollenlatch.Failure)
}

// limitedAdmitter also keeps a limit that the server names.
type limitedAdmitter interface {
	SetLimit(perSecond float64)
}

// gaugedAdmitter also accounts for the load that the server states.
type gaugedAdmitter interface {
	LoadChanged()
	UsesSlowness() bool
}

// New assembles a daemon. Run opens its listeners.
func New(cfg Config) (*Daemon, error) {
	if cfg.Name == "" || cfg.DC == "" || len(cfg.Voters) == 0 {
		return nil, fmt.Errorf("%w: name, data centre and voters are required", ErrConfig)
	}
	if cfg.DrainTimeout == 0 {
		cfg.DrainTimeout = DefaultDrainTimeout
	}
	if cfg.Timing == (ctrl.Timing{}) {
		cfg.Timing = ctrl.DefaultTiming()
	}
	d := &Daemon{
		control:     ctrl.Control{Clock: pollenlatch.BootClock{}},
		cfg:         cfg,
		incarnation: pollenlatch.Incarnation(rand.Uint64() | 1),
		done:        make(chan struct{}),
		peers:       make(map[string]link.Peer),
		serveErrs:   make(chan error, 8),

		probeRequests: make(chan struct{}, 1),

		healthRequests: make(chan struct{}, 1),

		aborted:        make(chan struct{}),
		drainRequested: make(chan struct{}),
		startedAt:      time.Now(),
		metrics:        metrics.NewSet(),
	}
	d.gate.DrainTimeout = cfg.DrainTimeout
	if err := d.buildParts(); err != nil {
		return nil, err
	}
	if cfg.Platform == nil {
		d.initEvents()
	}
	return d, nil
}

// Done returns a channel that is closed when Run returns.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Access returns the newest control state that the request path uses.
func (d *Daemon) Access() *ctrl.Access { return d.control.Access() }

// Submit proposes a ticket and waits for its verdict.
func (d *Daemon) Submit(ctx context.Context, t pollenlatch.Ticket) (pollenlatch.Verdict, error) {
	return d.loop.Submit(ctx, t)
}

// Abort stops the daemon at once, as a crash does.
func (d *Daemon) Abort() { d.abortOnce.Do(func() { close(d.aborted) }) }

// Run serves until ctx ends or an operator drains the instance, then shuts down
// gracefully. It also returns after Abort, and when a part of the daemon fails.
func (d *Daemon) Run(ctx context.Context) error {
	defer close(d.done)
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := d.listen(runCtx); err != nil {
		return err
	}
	d.loop.Start(runCtx)
	d.startTasks(runCtx)
	klog.InfoS("daemon started", "instance", d.cfg.Name, "dc", d.cfg.DC, "link", d.cfg.Link, "front", d.cfg.Front)
	var err error
	select {
	case <-ctx.Done():
		d.shutdown()
	case <-d.drainRequested:
		d.shutdown()
	case err = <-d.serveErrs:
	case <-d.aborted:
	case <-d.loop.Done():
		err = fmt.Errorf("%w: %w", ErrVoterStopped, d.loop.Err())
	}
	d.close(cancel)
	return err
}

func (d *Daemon) listen(ctx context.Context) error {
	type listener struct {
		name, addr string
		serve      func(net.Listener) error
	}
	listeners := []listener{{"link", d.cfg.Link, d.node.Serve}}
	if d.front != nil {
		listeners = append(listeners, listener{"front", d.cfg.Front, d.front.Serve})
	}
	if d.local != nil {
		listeners = append(listeners, listener{"local", d.cfg.Local, d.local.Serve})
	}
	for _, p := range d.cfg.ExtraListeners {
		listeners = append(listeners, listener{p.Name, p.Addr, p.Serve})
	}
	if d.admin != nil {
		listeners = append(listeners, listener{"admin", d.cfg.Admin, d.admin.Serve})
	}
	if d.cfg.Metrics != "" {
		listeners = append(listeners, listener{"metrics", d.cfg.Metrics, admin.MetricsServer{Set: d.metrics}.Serve})
	}
	listen := d.cfg.Listen
	if listen == nil {
		listen = func(addr string) (net.Listener, error) {
			var lc net.ListenConfig
			return lc.Listen(ctx, "tcp", addr)
		}
	}
	for _, l := range listeners {
		ln, err := listen(l.addr)
		if err != nil {
			return listenError(l.name, l.addr, err)
		}
		go func() {
			if err := l.serve(ln); err != nil {
				d.serveErrs <- fmt.Errorf("%s: %w", l.name, err)
			}
		}()
	}
	return nil
}

// startTasks starts the background tasks, which run until ctx ends.
func (d *Daemon) startTasks(ctx context.Context) {
	go stall.New(d.metrics).Run(ctx)
	if d.cfg.Front != "" {
		go d.watchEvacuation(ctx)
	}
	if d.cfg.Platform != nil {
		d.startPlatformTasks(ctx)
		return
	}
	go d.reportLoads(ctx)
	go d.updateEvents(ctx)
	go d.replicateEvents(ctx)
}

// shutdown shuts down gracefully.
func (d *Daemon) shutdown() {
	if d.cfg.Platform != nil {
		d.shutdownKeepingLease()
		return
	}
	d.leaveGroup()
}

// leaveGroup hands over the shards, waits for the requests in flight, and ends
// the lease.
func (d *Daemon) leaveGroup() {
	end := time.Now().Add(d.cfg.DrainTimeout)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	schedule := halt.Schedule{RepeatableUntil: end, End: end}
	klog.InfoS("daemon is draining", "instance", d.cfg.Name, "mayOutlast", d.gate.Begin(schedule))
	d.front.RefuseBodiesAfter(schedule.LastResponse())
	d.loop.Drain()
	d.waitFor(ctx, d.loop.Drained())
	if err := d.front.Shutdown(ctx); err != nil {
		klog.ErrorS(err, "requests of callers were aborted at the drain timeout", "instance", d.cfg.Name)
	}
	if err := d.node.Drain(ctx); err != nil {
		klog.ErrorS(err, "forwarded requests were aborted at the drain timeout", "instance", d.cfg.Name)
	}
	d.loop.Leave()
	d.waitFor(ctx, d.loop.Left())
}

func (d *Daemon) waitFor(ctx context.Context, done <-chan struct{}) {
	select {
	case <-done:
	case <-d.loop.Done():
	case <-ctx.Done():
	}
}

func (d *Daemon) close(cancelRun context.CancelFunc) {
	if d.front != nil {
		_ = d.front.Close()
	}
	_ = d.node.Close()
	if d.admin != nil {
		cancelled, cancel := context.WithCancel(context.Background())
		cancel()
		_ = d.admin.Shutdown(cancelled)
	}
	cancelRun()
	<-d.loop.Done()
	d.relay.Close()
	if d.local != nil {
		_ = d.local.Close()
	}
	switch v := d.cfg.Voter; {
	case v == nil:
	case errors.Is(d.loop.Err(), ctrl.ErrWritePending):
		klog.ErrorS(d.loop.Err(), "data folder not closed: a write is still pending", "instance", d.cfg.Name)
	default:
		if err := v.Disk.Close(); err != nil {
			klog.ErrorS(err, "data folder not closed", "instance", d.cfg.Name)
		}
	}
}
