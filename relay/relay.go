// Package relay runs one request at the server beside this daemon, on a
// connection that the exchange owns.
package relay

import (
	"context"
	"errors"
	"net/http"
	"time"

	"pollenlatch"
)

// DefaultMaxRun is used for services without a maxrun of their own.
const DefaultMaxRun = 2 * time.Second

// StatusClientClosedRequest answers a request whose caller went away. Nobody reads it; it
// appears in logs and metrics, as with other HTTP proxies.
const StatusClientClosedRequest = 499

// Config describes a relay. The zero value uses TCP and DefaultMaxRun.
type Config struct {
	Dial DialFunc
	// MaxRun returns how long a request of the service may run after the
	// ownership check; 0 is DefaultMaxRun.
	MaxRun func(service string) time.Duration
	// Headers, when set, are what the server speaks in place of the headers of
	// the endpoint's protocol; see package local.
	Headers *pollenlatch.Headers
}

// Relay is a pollenlatch.Exchanger. Use New, then SetEndpoint for each server.
type Relay struct {
	cfg  Config
	pool pool
}

// New returns a relay without a server.
func New(cfg Config) *Relay {
	if cfg.Dial == nil {
		cfg.Dial = dialTCP
	}
	return &Relay{cfg: cfg, pool: pool{dial: cfg.Dial}}
}

// SetEndpoint makes e the server. The zero Endpoint is no server. Connections to an
// earlier server are not used for further requests.
func (l *Relay) SetEndpoint(e pollenlatch.Endpoint) { l.pool.use(e) }

// Close closes the idle connections and refuses further requests.
func (l *Relay) Close() { l.pool.close() }

func (l *Relay) maxRun(service string) time.Duration {
	if l.cfg.MaxRun != nil {
		if d := l.cfg.MaxRun(service); d > 0 {
			return d
		}
	}
	return DefaultMaxRun
}

// Exchange sends r to the server. It calls check last before the first byte is
// written, and again when that write has to be repeated on another connection.
// Reading r.Body must end when ctx is done. The error is always a *Failure.
func (l *Relay) Exchange(ctx context.Context, r *pollenlatch.Request, check func() error) (*pollenlatch.Response, error) {
	if f := checkRequest(r); f != nil {
		return nil, f
	}
	now := time.Now()
	x := &exchange{relay: l, ctx: ctx, r: r, check: check, last: r.Deadline}
	if r.Deadline.IsZero() {
		x.last = now.Add(l.maxRun(r.Service))
	}
	x.limit = x.last
	if !now.Before(x.last) {
		return nil, failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonDeadlineExceeded, http.StatusGatewayTimeout, "deadline has passed")
	}
	resp, err := x.run()
	if err != nil {
		f := x.fail(err)
		f.Sent = x.wrote
		x.end(false)
		return nil, f
	}
	return resp, nil
}

func failure(o pollenlatch.Outcome, why pollenlatch.Reason, status int, detail string) *pollenlatch.Failure {
	return &pollenlatch.Failure{Outcome: o, Reason: why, Status: status, Detail: detail}
}

// asFailure returns err as a failure. A check that returns another error
// refuses the request all the same.
func asFailure(err error) *pollenlatch.Failure {
	var f *pollenlatch.Failure
	if errors.As(err, &f) {
		return f
	}
	return failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoLease, http.StatusServiceUnavailable, err.Error())
}
