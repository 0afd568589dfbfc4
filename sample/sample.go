// Package sample is a server for tests and demonstrations. It announces
// itself to the daemon beside it, accepts fenced grants, and counts how often
// each request ran.
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
	controlConns            = 4   // connections beyond MaxConns for grants, probes and tests
	coldFactor              = 3.0 // service time of the first warm requests
	announceLimit           = 500 * time.Millisecond
	drainPoll               = 5 * time.Millisecond
)

// Config describes a server. Only Endpoint.Service is required.
type Config struct {
	// Endpoint is what the server announces. Addr is taken from the listener
	// when it is empty, and Incarnation is random when it is 0.
	Endpoint         pollenlatch.Endpoint
	Daemon           string        // host:port of the daemon's local API; empty: no announcements
	AnnounceInterval time.Duration // interval of announcements and load reports
	ServiceTime      time.Duration // mean run of a request
	Jitter           float64       // share of ServiceTime that varies at random, 0 to 1
	Seed             uint64        // of the service times
	ColdStart        time.Duration // not ready for this long after the start
	WarmUp           time.Duration // then requests take longer, less and less, for this long
	PaddingBytes     int           // bytes of an answer beyond the request's own body
	Ledger           *Ledger       // nil: a ledger of its own
	Client           *http.Client  // nil: a client of its own
}

// Stats counts what a server did.
type Stats struct {
	Started   int64     // requests that began to run
	Refused   int64     // refused because of the fence or grant
	Late      int64     // dropped because the deadline had passed
	Shed      int64     // refused because every slot was in use
	Cancelled int64     // stopped because the connection closed
	Running   int64     // running now
	PeakSlots int64     // most requests running at once
	PeakConns int       // most connections open at once
	LastStart time.Time // start of the newest run
	DrainedAt time.Time // when draining began
}

// Server is a sample server. Use New.
type Server struct {
	cfg      Config
	ledger   *Ledger
	client   *http.Client
	http     *http.Server
	frozen   gate
	grants   holding
	done     chan struct{}
	stop     context.CancelFunc
	ctx      context.Context
	wg       sync.WaitGroup
	listener atomic.Pointer[listener]
	fault    atomic.Pointer[Fault]
	started  time.Time
	seq      atomic.Uint64
	draining atomic.Bool

	running, peak                          atomic.Int64
	starts, refused, late, shed, cancelled atomic.Int64

	mu        sync.Mutex
	rand      *rand.Rand
	endpoint  pollenlatch.Endpoint
	lastStart time.Time
	drainedAt time.Time
}

// New returns a server that does not listen yet.
func New(cfg Config) (*Server, error) {
	if cfg.Endpoint.Service == "" {
		return nil, local.ErrNoService
	}
	if cfg.Jitter < 0 || cfg.Jitter > 1 {
		return nil, fmt.Errorf("spread %v is not between 0 and 1", cfg.Jitter)
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
		cfg.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: announceLimit}
	}
	s := &Server{
		cfg:      cfg,
		ledger:   cfg.Ledger,
		client:   cfg.Client,
		done:     make(chan struct{}),
		rand:     rand.New(rand.NewPCG(cfg.Seed, uint64(len(cfg.Endpoint.Service)))),
		endpoint: cfg.Endpoint,
	}
	s.ctx, s.stop = context.WithCancel(context.Background())
	s.fault.Store(&Fault{})
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: time.Minute}
	return s, nil
}

// Serve answers requests until Close or Drain. It returns nil after those.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	if s.endpoint.Addr == "" {
		s.endpoint.Addr = ln.Addr().String()
	}
	s.started = time.Now()
	s.mu.Unlock()
	l := &listener{Listener: ln, gate: &s.frozen, limit: int(s.cfg.Endpoint.MaxConns) + controlConns}
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

// Done is closed when Serve has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// Close stops the server at once, as a crash does.
func (s *Server) Close() error {
	s.stop()
	err := s.http.Close()
	s.frozen.open()
	return err
}

// Drain announces that the server leaves, waits until quiet has passed
// without a running request or a grant, and stops. While there is a grant the
// daemon may send requests, and one that meets a closing connection has an
// unknown outcome.
func (s *Server) Drain(ctx context.Context, quiet time.Duration) error {
	s.mu.Lock()
	s.drainedAt = time.Now()
	s.mu.Unlock()
	s.draining.Store(true)
	s.announce(ctx)
	idle := time.Now()
	t := time.NewTicker(drainPoll)
	defer t.Stop()
	for time.Since(idle) < quiet {
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), s.Close())
		case <-t.C:
		}
		if s.running.Load() > 0 || s.grants.any(time.Now()) {
			idle = time.Now()
		}
	}
	s.stop()
	return s.http.Shutdown(ctx)
}

// Freeze stops the server as a stopped process: connections are accepted by
// the system, but nothing is read, run or answered until Thaw.
func (s *Server) Freeze() { s.frozen.shut() }

// Thaw lets a frozen server go on as if nothing had happened.
func (s *Server) Thaw() { s.frozen.open() }

// SetFault replaces the server's faults.
func (s *Server) SetFault(f Fault) { s.fault.Store(&f) }

// Endpoint returns what the server announces now, without faults.
func (s *Server) Endpoint() pollenlatch.Endpoint {
	s.mu.Lock()
	e := s.endpoint
	ready := !s.started.IsZero() && time.Since(s.started) >= s.cfg.ColdStart
	s.mu.Unlock()
	e.Ready = ready
	e.Draining = s.draining.Load()
	return e
}

// Ledger returns the ledger of the runs.
func (s *Server) Ledger() *Ledger { return s.ledger }

// Stats returns the counts so far.
func (s *Server) Stats() Stats {
	st := Stats{
		Started:   s.starts.Load(),
		Refused:   s.refused.Load(),
		Late:      s.late.Load(),
		Shed:      s.shed.Load(),
		Cancelled: s.cancelled.Load(),
		Running:   s.running.Load(),
		PeakSlots: s.peak.Load(),
	}
	if l := s.listener.Load(); l != nil {
		st.PeakConns = l.peak()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st.LastStart = s.lastStart
	st.DrainedAt = s.drainedAt
	return st
}

// serviceTime returns how long the next request takes.
func (s *Server) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := float64(s.cfg.ServiceTime) * (1 + s.cfg.Jitter*(2*s.rand.Float64()-1))
	warm := time.Since(s.started) - s.cfg.ColdStart
	if warm < s.cfg.WarmUp {
		left := 1 - float64(warm)/float64(s.cfg.WarmUp)
		d *= 1 + (coldFactor-1)*left
	}
	return time.Duration(d)
}

// CheckFence reports whether the server would run a request with the fence now.
func (s *Server) CheckFence(shard pollenlatch.Shard, f pollenlatch.Fence) error {
	return s.grants.check(shard, f, time.Now())
}

// SetGrants replaces the server's grants, as a message of a daemon does.
func (s *Server) SetGrants(g local.Grants) error { return s.grants.replace(g, time.Now()) }
