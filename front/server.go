// Package front is the callers' side of a daemon: an HTTP server, and the
// router that sends each request to the daemon beside its server.
package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"pollenlatch"
	"pollenlatch/logs"
)

// Defaults of Config.
const (
	DefaultTimeout        = 5 * time.Second
	DefaultMaxTimeout     = time.Minute
	DefaultHeaderTimeout  = 5 * time.Second
	DefaultIdleTimeout    = time.Minute
	DefaultStallTimeout   = 10 * time.Second
	DefaultLingerTimeout  = time.Second
	DefaultMaxHeaderBytes = 32 << 10
	DefaultMaxBodyBytes   = 64 << 20
	DefaultMaxConns       = 10_000
)

// ErrConfig says that a setting of the front is wrong.
var ErrConfig = errors.New("front settings")

// Config is what a Server is made of. Zero durations and numbers stand for the
// defaults.
type Config struct {
	Control  pollenlatch.Control
	Handler  pollenlatch.Handler  // usually a Router
	Recorder pollenlatch.Recorder // may be nil
	Metrics  *metrics.Set         // nil keeps the figures to itself
	Front    string               // this daemon's address for callers
	// Headers, when set, makes the server route by host and path, with these
	// headers in place of those of section 6 of the design page.
	Headers      *pollenlatch.Headers
	LocalService string // service beside this daemon; told to servers with Headers
	// LookupNested reports whether a request with an id is a call of a request that the
	// server beside this daemon runs, and whether that one is a repeat; nil
	// recognises none.
	LookupNested func(id string) (call, repeat bool)
	// Pacer gives long answers to callers their turns on this instance's network
	// link; nil has no bound.
	Pacer pollenlatch.Pacer

	Timeout        time.Duration // of a request whose caller names none
	MaxTimeout     time.Duration // longest that a caller gets
	HeaderTimeout  time.Duration // longest time to receive a head
	IdleTimeout    time.Duration // longest wait for the next request on a connection
	StallTimeout   time.Duration // longest time without a byte of an answer moving
	LingerTimeout  time.Duration // longest time that idle connections stay open in a shutdown
	MaxHeaderBytes int           // bytes of a head
	MaxBodyBytes   int64         // bytes of a body
	MaxConns       int           // connections; callers above it are told to go elsewhere
}

func (c Config) withDefaults() Config {
	for _, v := range []struct {
		d *time.Duration
		n time.Duration
	}{
		{&c.Timeout, DefaultTimeout},
		{&c.MaxTimeout, DefaultMaxTimeout},
		{&c.HeaderTimeout, DefaultHeaderTimeout},
		{&c.IdleTimeout, DefaultIdleTimeout},
		{&c.StallTimeout, DefaultStallTimeout},
		{&c.LingerTimeout, DefaultLingerTimeout},
	} {
		if *v.d == 0 {
			*v.d = v.n
		}
	}
	if c.MaxHeaderBytes == 0 {
		c.MaxHeaderBytes = DefaultMaxHeaderBytes
	}
	if c.MaxBodyBytes == 0 {
		c.MaxBodyBytes = DefaultMaxBodyBytes
	}
	if c.MaxConns == 0 {
		c.MaxConns = DefaultMaxConns
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	return c
}

// Check reports a setting that no server can work with.
func (c Config) Check() error {
	switch {
	case c.Control == nil || c.Handler == nil:
		return fmt.Errorf("%w: control or handler is missing", ErrConfig)
	case c.Timeout < 0 || c.MaxTimeout < 0 || c.HeaderTimeout < 0 || c.IdleTimeout < 0 || c.StallTimeout < 0 || c.LingerTimeout < 0:
		return fmt.Errorf("%w: a duration is negative", ErrConfig)
	case c.MaxHeaderBytes < 0 || c.MaxBodyBytes < 0 || c.MaxConns < 0:
		return fmt.Errorf("%w: a bound is negative", ErrConfig)
	default:
		return nil
	}
}

// Server takes requests of callers over HTTP/1.1. It is an http.Handler.
type Server struct {
	cfg    Config
	http   *http.Server
	conns  atomic.Int64
	meter  *meter
	shares shares
	waits  waits
	lines  *logs.Outcomes
	done   chan struct{}
	once   sync.Once // closes done

	leaving  atomic.Bool
	listener atomic.Pointer[bounded]
}

// NewServer returns a server that does not listen yet.
func NewServer(cfg Config) (*Server, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg.withDefaults(), done: make(chan struct{}), lines: logs.NewOutcomes()}
	s.meter = newMeter(s.cfg.Metrics, func() float64 { return float64(s.conns.Load()) })
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: s.cfg.HeaderTimeout,
		IdleTimeout:       s.cfg.IdleTimeout,
		MaxHeaderBytes:    s.cfg.MaxHeaderBytes,
		ConnState:         s.count,
		ErrorLog:          newErrorLog(),
	}
	return s, nil
}

// count follows the number of open connections.
func (s *Server) count(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	default:
	}
}

// read reads the head of a request.
func (s *Server) read(r *http.Request, now time.Time) (*pollenlatch.Request, *pollenlatch.Failure) {
	if s.cfg.Headers != nil {
		return s.parseRouted(r, now)
	}
	return s.parse(r, now)
}

// Serve takes requests from l until Shutdown or Close. It returns nil after those.
func (s *Server) Serve(l net.Listener) error {
	defer s.once.Do(func() { close(s.done) })
	b := newBounded(l, hardConns*s.cfg.MaxConns)
	s.listener.Store(b)
	err := s.http.Serve(b)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve callers: %w", err)
}

// Done returns a channel that is closed when Serve has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// DisableKeepAlives says on every connection that its next answer is the last one.
func (s *Server) DisableKeepAlives() { s.leaving.Store(true) }

// Shutdown stops accepting and waits until the running requests are answered.
// Idle connections stay open for up to Config.Linger, and the next answer on
// each says that it is the last: a caller that sends a request at the moment in
// which its connection is closed can't know whether that ran.
func (s *Server) Shutdown(ctx context.Context) error {
	s.leaving.Store(true)
	if l := s.listener.Load(); l != nil {
		l.leave()
		s.linger(ctx)
	}
	return s.http.Shutdown(ctx)
}

// lingerPoll is the interval of looks at the open connections.
const lingerPoll = 5 * time.Millisecond

// linger waits until callers have closed their connections, at most Linger.
func (s *Server) linger(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.LingerTimeout)
	defer cancel()
	t := time.NewTicker(lingerPoll)
	defer t.Stop()
	for s.conns.Load() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close ends all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// ServeHTTP answers one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	a := &answer{server: s, writer: w, start: now, remote: r.RemoteAddr}
	defer a.record()
	if s.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	if n := s.conns.Load(); n > int64(s.cfg.MaxConns) {
		f := failed(pollenlatch.ReasonRateLimited, http.StatusServiceUnavailable, "%d connections are open", n)
		f.RetryAfter = retryAfter
		a.refuse(f)
		return
	}
	q, f := s.read(r, now)
	if f != nil && r.ContentLength == 0 {
		a.fail(f)
		return
	}
	if f != nil {
		a.refuse(f)
		return
	}
	a.request = q
	a.body, f = s.readBody(w, r, q)
	if f != nil {
		a.refuse(f)
		return
	}
	defer a.unblock()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	resp, err := s.cfg.Handler.Handle(ctx, q)
	if err != nil {
		a.fail(asFailure(err))
		return
	}
	a.send(ctx, resp, cancel)
}
