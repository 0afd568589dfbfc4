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
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/admin"
	"pollenlatch/admit"
	"pollenlatch/burn"
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
	"pollenlatch/sketch"
)

// Config is what a daemon is made of. Addresses are host:port.
type Config struct {
	Name   string // of the instance
	DC     string
	Group  string
	Key    []byte // shared by the group
	Link   string // listens for other daemons
	Front  string // listens for callers
	Local  string // listens for the server beside it
	Admin  string // listens for operators; empty: no administration API
	Tokens []admin.Token
	Region string
	Data   string // folder for what is nice to keep; empty: nothing is kept
	Voters []pollenlatch.Member
	Voter  *Voter // nil in a process that is not a voter
	Timing ctrl.Timing
	Drain  time.Duration // longest time for requests in flight at the end; 0 is DefaultDrain

	Sessions int // most sessions to other daemons; 0 is the link's default
	// Dial opens connections to other daemons; nil dials TCP.
	Dial func(ctx context.Context, addr string) (net.Conn, error)
}

// exchanger is a function that is a pollenlatch.Exchanger.
type exchanger func(ctx context.Context, r *pollenlatch.Request, check func() error) (*pollenlatch.Response, error)

// Exchange calls f.
func (f exchanger) Exchange(ctx context.Context, r *pollenlatch.Request, check func() error) (*pollenlatch.Response, error) {
	return f(ctx, r, check)
}

// DefaultDrain is the longest time that a daemon waits for requests in flight
// when it is told to stop.
const DefaultDrain = 30 * time.Second

// Errors of a daemon.
var (
	ErrConfig = errors.New("daemon settings")
	ErrVoter  = errors.New("voter has stopped")
)

// Daemon is one process. Use New, then Run.
type Daemon struct {
	cfg   Config
	life  pollenlatch.Incarnation
	desk  ctrl.Desk
	loop  *ctrl.Loop
	node  *link.Node
	local *local.Local
	relay *relay.Relay
	gate  *admit.Gate
	once  *once.Store
	serve *serve.Server
	front *front.Server
	admin *admin.Server
	burn  burn.Counter
	hot   sketch.Sketch
	begun time.Time
	done  chan struct{}
	errs  chan error
	stop  chan struct{} // closed by the operator's drain

	mu        sync.Mutex
	peers     map[string]link.Peer // by name, on the newest session
	endpoint  pollenlatch.Endpoint
	announced bool
	transfers calls[bool]
	records   imports
	fetches   calls[[]byte]

	abort   sync.Once
	aborted chan struct{}
	drain   sync.Once
	metrics *metrics.Set
}

// New opens the daemon's listeners and connects its parts.
func New(cfg Config) (*Daemon, error) {
	if cfg.Name == "" || cfg.DC == "" || len(cfg.Voters) == 0 {
		return nil, fmt.Errorf("%w: name, data centre and voters are required", ErrConfig)
	}
	if cfg.Drain == 0 {
		cfg.Drain = DefaultDrain
	}
	if cfg.Timing == (ctrl.Timing{}) {
		cfg.Timing = ctrl.DefaultTiming()
	}
	d := &Daemon{
		cfg:   cfg,
		life:  pollenlatch.Incarnation(rand.Uint64() | 1),
		done:  make(chan struct{}),
		peers: make(map[string]link.Peer),
		errs:  make(chan error, 8),

		aborted: make(chan struct{}),
		stop:    make(chan struct{}),
		begun:   time.Now(),
		metrics: metrics.NewSet(),
	}
	if err := d.connect(); err != nil {
		return nil, err
	}
	return d, nil
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
		Group: d.cfg.Group, Name: d.cfg.Name, Incarnation: d.life, Key: d.cfg.Key,
		Control: d.receive, Requests: d.serve, Sessions: d.cfg.Sessions, Dial: d.cfg.Dial,
	})
	if err != nil {
		return err
	}
	d.node = node
	d.loop = &ctrl.Loop{
		Reducer:  ctrl.New(d.reducerConfig()),
		Desk:     &d.desk,
		Sender:   d,
		Granter:  d.local,
		Transfer: d.transfer,
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
			Name: d.cfg.Name, DC: d.cfg.DC, Addr: d.cfg.Link, Front: d.cfg.Front, Incarnation: d.life,
		},
		Voters: d.cfg.Voters,
		Timing: d.cfg.Timing,
	}
	if v := d.cfg.Voter; v != nil {
		cfg.Planner = plan.New(plan.Settings{})
		cfg.Quorum = &quorum.Config{
			Self: v.Self, Genesis: v.Genesis, Heartbeat: d.cfg.Timing.Heartbeat,
			Election: d.cfg.Timing.Election, Seed: uint64(d.life),
		}
	}
	return cfg
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
	life, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := d.listen(life); err != nil {
		return err
	}
	d.loop.Start(life)
	d.watch()
	go d.measure(life)
	go d.keep(life)
	klog.InfoS("daemon started", "instance", d.cfg.Name, "dc", d.cfg.DC, "link", d.cfg.Link, "front", d.cfg.Front)
	var err error
	select {
	case <-ctx.Done():
		d.leave()
	case <-d.stop:
		d.leave()
	case err = <-d.errs:
	case <-d.aborted:
	case <-d.loop.Done():
		err = fmt.Errorf("%w: %w", ErrVoter, d.loop.Err())
	}
	d.close(stop)
	return err
}

func (d *Daemon) listen(ctx context.Context) error {
	type listener struct {
		what, addr string
		serve      func(net.Listener) error
	}
	all := []listener{
		{"link", d.cfg.Link, d.node.Serve},
		{"local", d.cfg.Local, d.local.Serve},
		{"front", d.cfg.Front, d.front.Serve},
	}
	if d.admin != nil {
		all = append(all, listener{"admin", d.cfg.Admin, d.admin.Serve})
	}
	for _, l := range all {
		var lc net.ListenConfig
		ln, err := lc.Listen(ctx, "tcp", l.addr)
		if err != nil {
			return fmt.Errorf("%s address: %w", l.what, err)
		}
		go func() {
			if err := l.serve(ln); err != nil {
				d.errs <- fmt.Errorf("%s: %w", l.what, err)
			}
		}()
	}
	return nil
}

// leave is the graceful end: hand over, finish, end the lease.
func (d *Daemon) leave() {
	ctx, cancel := context.WithTimeout(context.Background(), d.cfg.Drain)
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
	_ = d.front.Close()
	_ = d.node.Close()
	if d.admin != nil {
		ended, cancel := context.WithCancel(context.Background())
		cancel()
		_ = d.admin.Shutdown(ended)
	}
	stop()
	<-d.loop.Done()
	d.relay.Close()
	_ = d.local.Close()
	if v := d.cfg.Voter; v != nil {
		if err := v.Disk.Close(); err != nil {
			klog.ErrorS(err, "data folder not closed", "instance", d.cfg.Name)
		}
	}
}

// Send implements ctrl.Sender.
func (d *Daemon) Send(addr string, m *pollenlatch.Message) { d.node.Send(addr, m) }

// Reply implements ctrl.Sender.
func (d *Daemon) Reply(to string, m *pollenlatch.Message) {
	d.mu.Lock()
	p, ok := d.peers[to]
	d.mu.Unlock()
	if ok {
		p.Send(m)
	}
}

func (d *Daemon) receive(from link.Peer, m *pollenlatch.Message) {
	switch {
	case m.Records != nil:
		from.Send(&pollenlatch.Message{Received: d.importRecords(from.Name, m.Records)})
		return
	case m.Received != nil:
		d.transfers.answer(m.Received.Seq, m.Received.OK)
		return
	case m.Fetch != nil:
		d.report(from, m.Fetch)
		return
	case m.Fetched != nil:
		d.fetches.answer(m.Fetched.Seq, m.Fetched.Data)
		return
	}
	d.mu.Lock()
	d.peers[from.Name] = from
	d.mu.Unlock()
	d.loop.Receive(from.Name, m)
}

// Announce implements pollenlatch.Facts.
func (d *Daemon) Announce(e pollenlatch.Endpoint) {
	d.mu.Lock()
	d.endpoint, d.announced = e, true
	d.mu.Unlock()
	d.relay.Use(e)
	d.gate.SetSlots(int(e.Slots))
	d.loop.Announce(e)
}

// Lost implements pollenlatch.Facts.
func (d *Daemon) Lost() {
	d.mu.Lock()
	d.endpoint.Ready = false
	e := d.endpoint
	d.mu.Unlock()
	d.gate.SetSlots(0) // what waits is told now that it did not run
	d.loop.Announce(e)
}

// server returns what is known of the server beside this daemon.
func (d *Daemon) server() (pollenlatch.Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endpoint, d.announced
}

// defaultMaxRun is for a service that the state no longer names.
const defaultMaxRun = 2 * time.Second

func (d *Daemon) maxRun(service string) time.Duration {
	if s, ok := d.desk.View().Service(service); ok && s.MaxRun > 0 {
		return s.MaxRun
	}
	return defaultMaxRun
}

func (d *Daemon) queue(service string) int {
	s, _ := d.desk.View().Service(service)
	return int(s.Queue)
}

func (d *Daemon) limit(caller string) (perSecond float64, burst int) {
	c, _ := d.desk.View().Caller(caller)
	return c.Rate, int(c.Burst)
}

// measureInterval is how often the load of the server is reported.
const measureInterval = time.Second

// measure reports the load of the server beside this daemon until ctx ends.
func (d *Daemon) measure(ctx context.Context) {
	t := time.NewTicker(measureInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			running, waiting := d.gate.Load()
			load := d.hot.Load(pollenlatch.System{}.Now())
			seen := d.serve.Observe()
			load.Median, load.Suspect = seen.Median, seen.Suspect
			load.InFlight, load.Queued = uint32(running), uint32(waiting)
			d.loop.Measure(load)
		case <-ctx.Done():
			return
		}
	}
}
