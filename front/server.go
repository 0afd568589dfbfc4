// Package front serves the HTTP requests of callers. Its router sends each
// request to the daemon whose local server is to run it.
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

// ErrConfig is the error of an invalid Config.
var ErrConfig = errors.New("invalid front configuration")

// Config is the configuration of a Server. Zero durations and numbers stand for
// the defaults.
type Config struct {
	Control  pollenlatch.Control
	Handler  pollenlatch.Handler  // usually a Router
	Recorder pollenlatch.Recorder // may be nil
	Metrics  *metrics.Set         // nil exports no metrics
	Front    string               // address of this daemon for callers
	// Headers makes the server route by host and path, and use these headers
	// instead of the Pollen headers; nil routes by service and key.
	Headers      *pollenlatch.Headers
	LocalService string // service of the local server; sent to servers as the caller when Headers is set
	// LookupNested reports whether the request with an ID is nested in a
	// request that the local server runs, and whether that request is a retry.
	// nil treats no request as nested.
	LookupNested func(id string) (nested, retried bool)
	// ConfigCurrent reports whether this daemon has a lease, and so has heard of the
	// newest configuration; nil is always.
	ConfigCurrent func() bool
	// Adaptive reports whether the parts for overload apply; nil: they do not.
	Adaptive func() bool
	// Pacer paces large responses to callers on this instance's network link;
	// nil does not.
	Pacer pollenlatch.Pacer

	Timeout        time.Duration // timeout of a request whose caller sets none
	MaxTimeout     time.Duration // maximum timeout that a caller can set
	HeaderTimeout  time.Duration // maximum time to receive a head
	IdleTimeout    time.Duration // maximum wait for the next request on a connection
	StallTimeout   time.Duration // maximum time without progress of a response
	LingerTimeout  time.Duration // maximum time that idle connections stay open in a shutdown
	MaxHeaderBytes int           // request line and headers
	MaxBodyBytes   int64         // request body
	MaxConns       int           // open connections; requests on further ones are rejected
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

// Check reports whether the settings are valid.
func (c Config) Check() error {
	switch {
	case c.Control == nil || c.Handler == nil:
		return fmt.Errorf("%w: Control or Handler is missing", ErrConfig)
	case c.Timeout < 0 || c.MaxTimeout < 0 || c.HeaderTimeout < 0 || c.IdleTimeout < 0 || c.StallTimeout < 0 || c.LingerTimeout < 0:
		return fmt.Errorf("%w: a duration is negative", ErrConfig)
	case c.MaxHeaderBytes < 0 || c.MaxBodyBytes < 0 || c.MaxConns < 0:
		return fmt.Errorf("%w: a limit is negative", ErrConfig)
	default:
		return nil
	}
}

// Server serves requests of callers over HTTP/1.1. It is an http.Handler.
type Server struct {
	cfg         Config
	http        *http.Server
	conns       atomic.Int64
	metrics     *responseMetrics
	splitter    trafficSplitter
	callerWaits waitEstimator
	logLimiter  *logs.RequestLimiter
	done        chan struct{}
	once        sync.Once // closes done

	keepAlivesDisabled atomic.Bool
	earlyRequests      atomic.Int64 // started before their turn and not answered yet
	listener           atomic.Pointer[limitListener]
	pipelines          sync.Map // open connections; *pipelineConn
	bodies             bodyReads
}

// NewServer returns a server that is not listening yet.
func NewServer(cfg Config) (*Server, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	s := &Server{cfg: cfg.withDefaults(), done: make(chan struct{}), logLimiter: logs.NewRequestLimiter()}
	s.metrics = newResponseMetrics(s.cfg.Metrics, func() float64 { return float64(s.conns.Load()) })
	s.http = &http.Server{
		Handler:           s,
		ReadHeaderTimeout: s.cfg.HeaderTimeout,
		IdleTimeout:       s.cfg.IdleTimeout,
		MaxHeaderBytes:    s.cfg.MaxHeaderBytes,
		ConnState:         s.trackConn,
		ConnContext:       connContext,
		ErrorLog:          newErrorLog(),
	}
	return s, nil
}

// trackConn counts the open connections.
func (s *Server) trackConn(_ net.Conn, state http.ConnState) {
	switch state {
	case http.StateNew:
		s.conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		s.conns.Add(-1)
	default:
	}
}

// parseHead parses the head of a request. now is the time of its arrival.
func (s *Server) parseHead(r *http.Request, now time.Time) (*pollenlatch.Request, *pollenlatch.Failure) {
	if s.cfg.Headers != nil {
		return s.parseRouted(r, now)
	}
	return s.parse(r, now)
}

// Serve serves requests on l until Shutdown or Close, after which it returns
// nil.
func (s *Server) Serve(l net.Listener) error {
	defer s.once.Do(func() { close(s.done) })
	limited := newLimitListener(l, hardLimitFactor*s.cfg.MaxConns)
	if s.cfg.Headers != nil {
		limited.wrap = func(c *limitedConn) net.Conn { return newPipelineConn(c, s) }
	}
	s.listener.Store(limited)
	err := s.http.Serve(limited)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve callers: %w", err)
}

// Done returns a channel that is closed when Serve has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// DisableKeepAlives makes every further response the last one on its connection, unless
// another request was already read from it.
func (s *Server) DisableKeepAlives() { s.keepAlivesDisabled.Store(true) }

// Shutdown stops accepting connections and waits until the running requests
// have a response. Idle connections stay open for up to Config.LingerTimeout,
// and their next response is the last one. If they were closed at once, a
// caller that sends a request at that moment could not know whether it ran.
func (s *Server) Shutdown(ctx context.Context) error {
	s.keepAlivesDisabled.Store(true)
	if l := s.listener.Load(); l != nil {
		l.stopAccepting()
		s.awaitConnsClosed(ctx)
		s.awaitPipelines(ctx)
	}
	return s.http.Shutdown(ctx)
}

// lingerPollInterval is the interval at which the number of open connections is
// checked during a shutdown.
const lingerPollInterval = 5 * time.Millisecond

// awaitConnsClosed waits until callers have closed their connections, but no
// longer than Config.LingerTimeout.
func (s *Server) awaitConnsClosed(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.cfg.LingerTimeout)
	defer cancel()
	awaitZero(ctx, s.conns.Load)
}

// awaitPipelines waits until the requests that were read from callers have responses.
// net/http closes a connection after the response in progress once it shuts down, whatever
// was read behind it.
func (s *Server) awaitPipelines(ctx context.Context) {
	awaitZero(ctx, func() int64 {
		n := s.earlyRequests.Load()
		s.pipelines.Range(func(p, _ any) bool {
			if p.(*pipelineConn).isBusy() {
				n++
			}
			return n == 0
		})
		return n
	})
}

// awaitZero waits until a count is zero or ctx ends.
func awaitZero(ctx context.Context, count func() int64) {
	t := time.NewTicker(lingerPollInterval)
	defer t.Stop()
	for count() > 0 {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Close closes all connections at once.
func (s *Server) Close() error { return s.http.Close() }

// ServeHTTP handles one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	now := time.Now()
	rs := &responder{server: s, writer: w, start: now, remote: r.RemoteAddr}
	if r.ContentLength != 0 {
		rs.conn, _ = r.Context().Value(lingerKey{}).(lingeringConn)
	}
	defer rs.record()
	var early *earlyRequest
	if rs.pipeline = pipelineOf(r); rs.pipeline != nil {
		early = rs.pipeline.beginServing(r)
		defer rs.pipeline.endServing()
	}
	if early != nil {
		s.writeEarly(rs, r, early)
		return
	}
	if n := s.conns.Load(); n > int64(s.cfg.MaxConns) {
		f := notRunFailure(pollenlatch.ReasonRateLimited, http.StatusServiceUnavailable, "too many connections: %d are open", n)
		f.RetryAfter = defaultRetryAfter
		rs.rejectAndClose(f)
		return
	}
	req, f := s.parseHead(r, now)
	if f != nil && r.ContentLength == 0 {
		rs.writeFailure(f)
		return
	}
	if f != nil {
		rs.rejectAndClose(f)
		return
	}
	rs.request = req
	rs.recordLeft(r.Context())
	rs.body, f = s.readBody(w, r, req)
	if f != nil {
		rs.rejectAndClose(f)
		return
	}
	defer rs.stopReadingBody()
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	resp, err := s.cfg.Handler.Handle(ctx, req)
	rs.writeResult(ctx, resp, err, cancel)
}

// writeEarly waits for the result of a request that was started before its turn, and
// writes its response.
func (s *Server) writeEarly(rs *responder, r *http.Request, e *earlyRequest) {
	defer e.end()
	rs.request, rs.start = e.request, e.arrival
	rs.recordLeft(r.Context())
	stop := context.AfterFunc(r.Context(), e.cancel)
	defer stop()
	<-e.done
	rs.writeResult(r.Context(), e.resp, e.err, e.cancel)
}
