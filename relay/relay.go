// Package relay sends requests to the local server. Each request has a connection
// to itself.
package relay

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"pollenlatch"
	"pollenlatch/gauge"
	"pollenlatch/logs"
)

// DefaultMaxRun is the maximum run time for services that have no maxrun.
const DefaultMaxRun = 2 * time.Second

// StatusClientClosedRequest is the status of a request whose caller disconnected. It
// appears only in logs and metrics, as in other HTTP proxies.
const StatusClientClosedRequest = 499

// Config is the configuration of a relay. The zero value uses TCP and DefaultMaxRun.
type Config struct {
	Dial DialFunc
	// MaxRun returns the maximum run time of a request of the service, counted from
	// the ownership check; 0 is DefaultMaxRun.
	MaxRun func(service string) time.Duration
	// Headers are the names of the headers that a platform's server uses. When nil,
	// the server uses the endpoint protocol; see package local.
	Headers *pollenlatch.Headers
	// MaxResponseBytes is the maximum size of a response body; 0 is
	// DefaultMaxResponseBytes. Its framing may take an eighth of that in addition.
	MaxResponseBytes int64
	// Observe is called with the signals of each response by which the server itself
	// responds to a request; nil ignores them. It needs Headers.
	Observe func(pollenlatch.ServerSignals)
	// Gauge is told of the requests at the server, and finds those to which the server
	// will not respond; nil waits for each until its deadline.
	Gauge *gauge.Gauge
	// ExpectedRun returns how long a request is likely to run; 0 is unknown. It is
	// required with Gauge.
	ExpectedRun func(*pollenlatch.Request) time.Duration
}

// Relay implements pollenlatch.Exchanger. SetEndpoint sets the server.
type Relay struct {
	cfg          Config
	pool         pool
	invalidLimit sync.Once // logs the first invalid limit
	invalidCold  sync.Once // logs the first invalid cold state
	invalidLoad  sync.Once // logs the first invalid load
	silenceLog   *logs.Limiter

	healthMu   sync.Mutex
	healthConn *conn // of the last health check; nil when it was closed
}

// DefaultMaxResponseBytes is as large as the largest request body. A server in trouble
// may send bytes without end.
const DefaultMaxResponseBytes = 64 << 20

// New returns a relay without a server.
func New(cfg Config) *Relay {
	if cfg.MaxResponseBytes <= 0 {
		cfg.MaxResponseBytes = DefaultMaxResponseBytes
	}
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	return &Relay{cfg: cfg, pool: pool{dial: cfg.Dial}, silenceLog: logs.NewLimiter(silenceLogRate, silenceLogRate)}
}

// SetEndpoint sets the server to which requests are sent. With the zero Endpoint
// there is none. Connections to an earlier server are not used for further requests.
func (rl *Relay) SetEndpoint(e pollenlatch.Endpoint) { rl.pool.setEndpoint(e) }

// Close closes the idle connections and refuses further requests.
func (rl *Relay) Close() {
	rl.pool.close()
	rl.healthMu.Lock()
	defer rl.healthMu.Unlock()
	if rl.healthConn != nil {
		_ = rl.healthConn.Close()
	}
}

func (rl *Relay) maxRun(service string) time.Duration {
	if rl.cfg.MaxRun != nil {
		if d := rl.cfg.MaxRun(service); d > 0 {
			return d
		}
	}
	return DefaultMaxRun
}

// Exchange implements pollenlatch.Exchanger. It calls check immediately before the
// first byte is written to the server, and again before it repeats that write on
// another connection. Reads of r.Body must return when ctx is done.
func (rl *Relay) Exchange(ctx context.Context, r *pollenlatch.Request, check func() error) (*pollenlatch.Response, error) {
	if f := checkRequest(r); f != nil {
		return nil, f
	}
	now := time.Now()
	x := &exchange{relay: rl, ctx: ctx, r: r, check: check, deadline: r.Deadline}
	if r.Deadline.IsZero() {
		x.deadline = now.Add(rl.maxRun(r.Service))
	}
	x.runDeadline = x.deadline
	if !now.Before(x.deadline) {
		return nil, failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonDeadlineExceeded, http.StatusGatewayTimeout, "deadline has passed")
	}
	resp, err := x.run()
	if err != nil {
		f := x.toFailure(err)
		f.Sent = x.sent
		x.giveUp(err)
		x.release(false)
		return nil, f
	}
	return resp, nil
}

func failure(o pollenlatch.Outcome, reason pollenlatch.Reason, status int, detail string) *pollenlatch.Failure {
	return &pollenlatch.Failure{Outcome: o, Reason: reason, Status: status, Detail: detail}
}

// asFailure converts the error of a check. An error that is not a *Failure refuses
// the request too.
func asFailure(err error) *pollenlatch.Failure {
	var f *pollenlatch.Failure
	if errors.As(err, &f) {
		return f
	}
	return failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoLease, http.StatusServiceUnavailable, err.Error())
}
