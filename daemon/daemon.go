// Package daemon puts the parts of one process together: links to other
// daemons, the control loop, the callers' server, the pipeline to the server
// beside it, and the administration API.
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
	"pollenlatch/ctrl"
	"pollenlatch/dedup"
	"pollenlatch/front"
	"pollenlatch/link"
	"pollenlatch/local"
	"pollenlatch/relay"
	"pollenlatch/serve"
	"pollenlatch/sketch"
)

// Config is what a daemon is made of. Addresses are host:port.
type Config struct {
	Name         string // of the instance
	DC           string
	Group        string
	Key          []byte // shared by the group
	Link         string // listens for other daemons
	Front        string // listens for callers
	Local        string // listens for the server beside it
	Admin        string // listens for operators; empty: no administration API
	Tokens       []admin.Token
	Region       string
	Data         string // folder for what is nice to keep; empty: nothing is kept
	Voters       []pollenlatch.Member
	Voter        *Voter // nil in a process that is not a voter
	Timing       ctrl.Timing
	DrainTimeout time.Duration // longest time for requests in flight at the end; 0 is DefaultDrain

	Bandwidth float64 // of this instance's network link in bytes a second; 0: unknown, long answers are not paced

	MaxSessions  int           // most sessions to other daemons; 0 is the link's default
	TickInterval time.Duration // interval of the control loop's clock; 0 is its default
	GroupSize    int           // voters that the leader keeps the group at; 0 leaves that to tickets

	// Platform, when set, makes the daemon speak to callers and its server by the
	// headers of another platform, with grants fetched by heartbeats.
	Platform *Platform
	// Metrics is the address for the figures of this process; empty serves them
	// with the administration API only.
	Metrics string
	// ExtraListeners are listeners for interfaces that translate for this daemon.
	ExtraListeners []Listener

	// Listen opens listeners; nil listens on TCP.
	Listen func(addr string) (net.Listener, error)
	// Dial opens connections to other daemons; nil dials TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// DefaultDrainTimeout is the longest time that a daemon waits for requests in flight
// when it is told to stop.
const DefaultDrainTimeout = 30 * time.Second

// Daemon is one process. Use New, then Run.
type Daemon struct {
	cfg         Config
	incarnation pollenlatch.Incarnation
	desk        ctrl.Control
	loop        *ctrl.Loop
	node        *link.Node
	local       *local.Monitor // nil with Mesh
	keeper      *beat.Tracker  // nil without Mesh
	relay       *relay.Relay
	gate        gate
	once        *dedup.Store
	serve       *serve.Server
	front       *front.Server
	admin       *admin.Server
	burn        burn.Counter
	hot         sketch.Sketch
	begun       time.Time
	done        chan struct{}
	errs        chan error
	stop        chan struct{} // closed by the operator's drain

	mu        sync.Mutex
	peers     map[string]link.Peer // by name, on the newest session
	endpoint  pollenlatch.Endpoint
	announced bool
	transfers calls[bool]
	records   imports
	fetches   calls[*pollenlatch.EventsReply]
	copies    copies

	ending     atomic.Bool   // callers are told to go elsewhere
	suspicions chan struct{} // asks for a look at the server

	abort   sync.Once
	aborted chan struct{}
	drain   sync.Once
	metrics *metrics.Set
}

// gate admits requests to a server with a number of slots.
type gate interface {
	pollenlatch.Admitter
	SetSlots(n int)
}

// New opens the daemon's listeners and connects its parts.
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
		desk:        ctrl.Control{Clock: pollenlatch.BootClock{}},
		cfg:         cfg,
		incarnation: pollenlatch.Incarnation(rand.Uint64() | 1),
		done:        make(chan struct{}),
		peers:       make(map[string]link.Peer),
		errs:        make(chan error, 8),

		suspicions: make(chan struct{}, 1),

		aborted: make(chan struct{}),
		stop:    make(chan struct{}),
		begun:   time.Now(),
		metrics: metrics.NewSet(),
	}
	if err := d.connect(); err != nil {
		return nil, err
	}
	if cfg.Platform == nil {
		d.prepareEvents()
	}
	return d, nil
}

// Done is closed when Run has returned.
func (d *Daemon) Done() <-chan struct{} { return d.done }

// Access returns what traffic may do now.
func (d *Daemon) Access() *ctrl.Access { return d.desk.Access() }

// Submit proposes a ticket and waits for its verdict.
func (d *Daemon) Submit(ctx context.Context, t pollenlatch.Ticket) (pollenlatch.Verdict, error) {
	return d.loop.Submit(ctx, t)
}

// Abort ends the daemon at once, as a crash does.
func (d *Daemon) Abort() { d.abort.Do(func() { close(d.aborted) }) }

// Run serves until ctx ends, then hands everything over, finishes the requests
// in flight and leaves.
func (d *Daemon) Run(ctx context.Context) error {
	defer close(d.done)
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := d.listen(running); err != nil {
		return err
	}
	d.loop.Start(running)
	d.work(running)
	klog.InfoS("daemon started", "instance", d.cfg.Name, "dc", d.cfg.DC, "link", d.cfg.Link, "front", d.cfg.Front)
	var err error
	select {
	case <-ctx.Done():
		d.end()
	case <-d.stop:
		d.end()
	case err = <-d.errs:
	case <-d.aborted:
	case <-d.loop.Done():
		err = fmt.Errorf("%w: %w", ErrVoterStopped, d.loop.Err())
	}
	d.close(stop)
	return err
}

func (d *Daemon) listen(ctx context.Context) error {
	type listener struct {
		what, addr string
		serve      func(net.Listener) error
	}
	all := []listener{{"link", d.cfg.Link, d.node.Serve}}
	if d.front != nil {
		all = append(all, listener{"front", d.cfg.Front, d.front.Serve})
	}
	if d.local != nil {
		all = append(all, listener{"local", d.cfg.Local, d.local.Serve})
	}
	for _, p := range d.cfg.ExtraListeners {
		all = append(all, listener{p.Name, p.Addr, p.Serve})
	}
	if d.admin != nil {
		all = append(all, listener{"admin", d.cfg.Admin, d.admin.Serve})
	}
	if d.cfg.Metrics != "" {
		all = append(all, listener{"metrics", d.cfg.Metrics, admin.MetricsServer{Set: d.metrics}.Serve})
	}
	listen := d.cfg.Listen
	if listen == nil {
		listen = func(addr string) (net.Listener, error) {
			var lc net.ListenConfig
			return lc.Listen(ctx, "tcp", addr)
		}
	}
	for _, l := range all {
		ln, err := listen(l.addr)
		if err != nil {
			return listenError(l.what, l.addr, err)
		}
		go func() {
			if err := l.serve(ln); err != nil {
				d.errs <- fmt.Errorf("%s: %w", l.what, err)
			}
		}()
	}
	return nil
}

// work starts what runs beside the control loop.
func (d *Daemon) work(ctx context.Context) {
	if d.cfg.Platform != nil {
		d.workMesh(ctx)
		return
	}
	go d.measure(ctx)
	go d.keep(ctx)
	go d.exchange(ctx)
}

// end is the graceful end.
func (d *Daemon) end() {
	if d.cfg.Platform != nil {
		d.leaveMesh()
		return
	}
	d.leave()
}

// leave is the graceful end: hand over, finish, end the lease.
func (d *Daemon) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.DrainTimeout)
	defer cancel()
	klog.InfoS("daemon is draining", "instance", d.cfg.Name)
	d.loop.Drain()
	d.wait(ctx, d.loop.Drained())
	if err := d.front.Shutdown(ctx); err != nil {
		klog.ErrorS(err, "callers' requests were cut off by the drain time", "instance", d.cfg.Name)
	}
	if err := d.node.Drain(ctx); err != nil {
		klog.ErrorS(err, "forwarded requests were cut off by the drain time", "instance", d.cfg.Name)
	}
	d.loop.Leave()
	d.wait(ctx, d.loop.Left())
}

func (d *Daemon) wait(ctx context.Context, done <-chan struct{}) {
	select {
	case <-done:
	case <-d.loop.Done():
	case <-ctx.Done():
	}
}

func (d *Daemon) close(stop context.CancelFunc) {
	if d.front != nil {
		_ = d.front.Close()
	}
	_ = d.node.Close()
	if d.admin != nil {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_ = d.admin.Shutdown(ended)
	}
	stop()
	<-d.loop.Done()
	d.relay.Close()
	if d.local != nil {
		_ = d.local.Close()
	}
	switch v := d.cfg.Voter; {
	case v == nil:
	case errors.Is(d.loop.Err(), ctrl.ErrWritePending):
		klog.ErrorS(d.loop.Err(), "data folder left open", "instance", d.cfg.Name)
	default:
		if err := v.Disk.Close(); err != nil {
			klog.ErrorS(err, "data folder not closed", "instance", d.cfg.Name)
		}
	}
}
