// Package sample implements an endpoint server for tests and demonstrations. It
// announces itself to the local daemon, enforces fenced grants and records every
// run of a request. Faults can be injected, and it can be frozen.
package sample

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"pollenlatch"
	"pollenlatch/local"
)

// Defaults of Config.
const (
	DefaultSlots            = 10
	DefaultMaxConns         = 100
	DefaultAnnounceInterval = time.Second
	reservedConns           = 4   // connections beyond MaxConns, for grants, health checks and tests
	warmUpFactor            = 3.0 // multiplies the service time at the start of the warm-up
	announceTimeout         = 500 * time.Millisecond
	drainPollInterval       = 5 * time.Millisecond
)

// Config describes a server. Only Endpoint.Service is required.
type Config struct {
	// Endpoint is what the server announces. Addr is taken from the listener
	// when it is empty, and Incarnation is random when it is 0.
	Endpoint         pollenlatch.Endpoint
	Daemon           string        // host:port of the daemon's local API; empty disables announcements
	AnnounceInterval time.Duration // interval of announcements and load reports
	ServiceTime      time.Duration // mean run time of a request
	Jitter           float64       // service times vary by up to this share of ServiceTime, 0 to 1
	Seed             uint64        // of the random service times
	ColdStart        time.Duration // time after the start in which the server is not ready
	WarmUp           time.Duration // time after the cold start in which requests take longer, with linear decay
	PaddingBytes     int           // bytes that a response adds to the echoed request body
	Ledger           *Ledger       // nil creates one
	Client           *http.Client  // for the daemon's local API; nil creates one
}

// Stats holds counts of a server. PathStats returns it as JSON under the names of
// its fields.
type Stats struct {
	Started   int64     // requests that began to run
	Refused   int64     // refused because of the fence or grant
	Late      int64     // refused because the deadline had passed
	Shed      int64     // refused because all slots were in use
	Cancelled int64     // cancelled before the run, or stopped during it
	Running   int64     // requests that run now
	PeakSlots int64     // maximum of Running
	PeakConns int       // maximum number of open connections
	LastStart time.Time // start of the newest run
	DrainedAt time.Time // start of the drain
}

// Server is a sample endpoint server. It is created with New.
type Server struct {
	cfg         Config
	ledger      *Ledger
	client      *http.Client
	http        *http.Server
	freezeGate  gate
	grants      grantTable
	done        chan struct{}
	stop        context.CancelFunc
	ctx         context.Context
	wg          sync.WaitGroup
	listener    atomic.Pointer[limitListener]
	activeFault atomic.Pointer[Fault]
	startedAt   time.Time
	faultSeq    atomic.Uint64
	draining    atomic.Bool

	running, peakRunning                           atomic.Int64
	runsStarted, refused, expired, shed, cancelled atomic.Int64

	mu             sync.Mutex
	rng            *rand.Rand
	endpoint       pollenlatch.Endpoint
	lastRunStart   time.Time
	drainStartedAt time.Time
}

// New returns a server that does not listen yet.
func New(cfg Config) (*Server, error) {
	if cfg.Endpoint.Service == "" {
		return nil, local.ErrNoService
	}
	if cfg.Jitter < 0 || cfg.Jitter > 1 {
		return nil, fmt.Errorf("jitter %v is not between 0 and 1", cfg.Jitter)
	}
	if cfg.Endpoint.Incarnation == 0 {
		cfg.Endpoint.Incarnation = 1 + pollenlatch.Incarnation(rand.Uint64N(uint64(local.MaxIncarnation)))
	}
	if cfg.Endpoint.Slots == 0 {
		cfg.Endpoint.Slots = DefaultSlots
	}
	if cfg.Endpoint.MaxConns == 0 {
		cfg.Endpoint.MaxConns = DefaultMaxConns
	}
	if cfg.AnnounceInterval == 0 {
		cfg.AnnounceInterval = DefaultAnnounceInterval
	}
	if cfg.Ledger == nil {
		cfg.Ledger = &Ledger{}
	}
	if cfg.Client == nil {
		cfg.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: announceTimeout}
	}
	s := &Server{
		cfg:      cfg,
		ledger:   cfg.Ledger,
		client:   cfg.Client,
		done:     make(chan struct{}),
		rng:      rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.Endpoint.Service)))),
		endpoint: cfg.Endpoint,
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.activeFault.Store(&Fault{})
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: time.Minute}
	return s, nil
}

// Serve accepts connections and serves requests until Close or Drain, after which it
// returns nil.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	if s.endpoint.Addr == "" {
		s.endpoint.Addr = ln.Addr().String()
	}
	s.startedAt = time.Now()
	s.mu.Unlock()
	l := &limitListener{Listener: ln, gate: &s.freezeGate, maxConns: int(s.cfg.Endpoint.MaxConns) + reservedConns}
	s.listener.Store(l)
	if s.cfg.Daemon != "" {
		s.wg.Go(s.announceLoop)
	}
	err := s.http.Serve(l)
	s.stop()
	s.wg.Wait()
	close(s.done)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// Done returns a channel that is closed when Serve has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// Close closes all connections at once, as in a crash.
func (s *Server) Close() error {
	s.stop()
	err := s.http.Close()
	s.freezeGate.open()
	return err
}

// Drain announces that the server is leaving, waits until it has had neither a
// running request nor a valid grant for idleFor, and shuts down. With a valid grant
// the daemon may still send requests, and a request on a closing connection has an
// unknown outcome. When ctx ends first, Drain closes the server.
func (s *Server) Drain(ctx context.Context, idleFor time.Duration) error {
	s.mu.Lock()
	s.drainStartedAt = time.Now()
	s.mu.Unlock()
	s.draining.Store(true)
	s.announce(ctx)
	idleSince := time.Now()
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for time.Since(idleSince) < idleFor {
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), s.Close())
		case <-t.C:
		}
		if s.running.Load() > 0 || s.grants.hasValid(time.Now()) {
			idleSince = time.Now()
		}
	}
	s.stop()
	return s.http.Shutdown(ctx)
}

// Freeze makes the server behave like a stopped process: the kernel accepts
// connections, but nothing is read, run or written until Thaw.
func (s *Server) Freeze() { s.freezeGate.shut() }

// Thaw resumes a frozen server.
func (s *Server) Thaw() { s.freezeGate.open() }

// SetFault replaces the injected faults.
func (s *Server) SetFault(f Fault) { s.activeFault.Store(&f) }

// Endpoint returns the endpoint as it is announced now, without injected faults.
func (s *Server) Endpoint() pollenlatch.Endpoint {
	s.mu.Lock()
	e := s.endpoint
	ready := !s.startedAt.IsZero() && time.Since(s.startedAt) >= s.cfg.ColdStart
	s.mu.Unlock()
	e.Ready = ready
	e.Draining = s.draining.Load()
	return e
}

// Ledger returns the ledger of the runs.
func (s *Server) Ledger() *Ledger { return s.ledger }

// Stats returns the current counts.
func (s *Server) Stats() Stats {
	st := Stats{
		Started:   s.runsStarted.Load(),
		Refused:   s.refused.Load(),
		Late:      s.expired.Load(),
		Shed:      s.shed.Load(),
		Cancelled: s.cancelled.Load(),
		Running:   s.running.Load(),
		PeakSlots: s.peakRunning.Load(),
	}
	if l := s.listener.Load(); l != nil {
		st.PeakConns = l.peak()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st.LastStart = s.lastRunStart
	st.DrainedAt = s.drainStartedAt
	return st
}

// serviceTime returns the random service time of the next request.
func (s *Server) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := float64(s.cfg.ServiceTime) * (1 + s.cfg.Jitter*(2*s.rng.Float64()-1))
	sinceReady := time.Since(s.startedAt) - s.cfg.ColdStart
	if sinceReady < s.cfg.WarmUp {
		remaining := 1 - float64(sinceReady)/float64(s.cfg.WarmUp)
		d *= 1 + (warmUpFactor-1)*remaining
	}
	return time.Duration(d)
}

// CheckFence returns why the server would not run a request with the fence now, or
// nil.
func (s *Server) CheckFence(shard pollenlatch.Shard, f pollenlatch.Fence) error {
	return s.grants.check(shard, f, time.Now())
}

// SetGrants replaces the server's grants, as a message of the daemon does.
func (s *Server) SetGrants(g local.Grants) error { return s.grants.replace(g, time.Now()) }
