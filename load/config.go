// Package load is an open-loop load generator: requests start at times that do
// not depend on the answers, and latency counts from those times.
package load

import (
	"errors"
	"fmt"
	"math"
	"net"
	"net/http"
	"sort"
	"time"

	"pollenlatch"
)

// Defaults of Config.
const (
	DefaultTimeout     = 2 * time.Second
	DefaultBucketWidth = 100 * time.Millisecond
	DefaultMaxInFlight = 10_000
	DefaultMaxConns    = 256
	DefaultMaxAttempts = 1
	DefaultBackoff     = 20 * time.Millisecond

	maxKeys     = 1 << 20
	maxBuckets  = 100_000
	maxRequests = 50_000_000
)

// ErrInvalidConfig is wrapped by all errors of a Config.
var ErrInvalidConfig = errors.New("load settings")

// Kind is one kind of request in the mix.
type Kind struct {
	Name       string  `json:"name"`                 // Pollen-Kind, and the name in the report
	Caller     string  `json:"caller"`               // Pollen-Caller
	Weight     float64 `json:"share"`                // relative to the other kinds
	Method     string  `json:"method"`               // empty is GET
	BodyBytes  int     `json:"body"`                 // bytes
	Idempotent bool    `json:"idempotent,omitempty"` // sends an Idempotency-Key
}

// Config describes a run. Targets, Service, Rate, Duration, Keys and Kinds are
// required. Runs with the same Seed send the same requests at the same times.
type Config struct {
	Targets      []string      // callers' addresses of daemons, used in turn
	Service      string        // Pollen-Service
	Rate         float64       // requests a second over all targets
	Duration     time.Duration // of the arrivals
	Keys         int           // number of keys
	Zipf         float64       // exponent of the keys' popularity; 0 is uniform
	Kinds        []Kind
	Seed         uint64
	EvenlySpaced bool // evenly spaced instead of Poisson arrivals

	Timeout     time.Duration // of a request with all its attempts
	MaxAttempts int           // most attempts of a request
	Backoff     time.Duration // before the second attempt; doubles
	FollowOwner bool          // send a key to the daemon that Pollen-Owner named last
	MaxInFlight int           // requests beyond this are not sent, and are reported
	MaxConns    int           // to each target
	BucketWidth time.Duration // of the time series

	Dial func(addr string) (net.Conn, error) // nil is TCP
	// OnResult is called with every request that was sent; it may be nil. It is
	// called from several goroutines.
	OnResult func(Result)
}

// Result is what became of one request.
type Result struct {
	ID       string // X-Request-Id of all its attempts
	Key      string
	Kind     string
	Method   string
	Outcome  pollenlatch.Outcome // of the last attempt
	Reason   string              // Failure's reason, or "transport"
	Status   int                 // 0: no answer
	Attempts int
	// Unsure says that an attempt before the last had an unknown outcome, so
	// that OutcomeNotRun of the last does not mean that nothing ran.
	Unsure  bool
	Start   time.Duration // intended, from the start of the run
	Latency time.Duration // from the intended start to the end of the answer
}

// Good reports whether the caller got an answer of the server below 500.
func (r Result) Good() bool {
	return r.Outcome == pollenlatch.OutcomeRan && r.Reason == "" && r.Status < http.StatusInternalServerError
}

func (c Config) withDefaults() Config {
	set := func(p *time.Duration, d time.Duration) {
		if *p == 0 {
			*p = d
		}
	}
	set(&c.Timeout, DefaultTimeout)
	set(&c.BucketWidth, DefaultBucketWidth)
	set(&c.Backoff, DefaultBackoff)
	for _, v := range []struct {
		p *int
		d int
	}{{&c.MaxAttempts, DefaultMaxAttempts}, {&c.MaxInFlight, DefaultMaxInFlight}, {&c.MaxConns, DefaultMaxConns}} {
		if *v.p == 0 {
			*v.p = v.d
		}
	}
	return c
}

// Validate returns the first fault. The error wraps ErrInvalidConfig.
func (c Config) Validate() error {
	bad := func(format string, a ...any) error {
		return fmt.Errorf("%w: "+format, append([]any{ErrInvalidConfig}, a...)...)
	}
	positive := func(v float64) bool { return v > 0 && !math.IsInf(v, 0) }
	switch {
	case len(c.Targets) == 0:
		return bad("no targets")
	case c.Service == "":
		return bad("service is empty")
	case !positive(c.Rate) || c.Duration <= 0:
		return bad("rate %v and duration %v must be positive", c.Rate, c.Duration)
	case c.Rate*c.Duration.Seconds() > maxRequests:
		return bad("more than %d requests", maxRequests)
	case c.Keys < 1 || c.Keys > maxKeys:
		return bad("keys must lie between 1 and %d, not %d", maxKeys, c.Keys)
	case c.Zipf < 0 || math.IsNaN(c.Zipf) || math.IsInf(c.Zipf, 0):
		return bad("zipf %v is not a finite exponent of at least 0", c.Zipf)
	case len(c.Kinds) == 0:
		return bad("no kinds of requests")
	case c.Timeout < 0 || c.MaxAttempts < 0 || c.Backoff < 0 || c.MaxInFlight < 0 || c.MaxConns < 0 || c.BucketWidth < 0:
		return bad("timeout, attempts, backoff, in-flight, conns and bucket must not be negative")
	case c.BucketWidth > 0 && (c.Duration+c.Timeout)/c.BucketWidth > maxBuckets:
		return bad("more than %d buckets", maxBuckets)
	}
	for i, k := range c.Kinds {
		if !positive(k.Weight) || k.BodyBytes < 0 {
			return bad("kind %d: share must be positive and body not negative", i)
		}
	}
	return nil
}

// distribution picks indices with given weights.
type distribution []float64 // cumulative, the last is 1

func newDistribution(n int, weight func(int) float64) distribution {
	d := make(distribution, n)
	sum := 0.0
	for i := range d {
		sum += weight(i)
		d[i] = sum
	}
	for i := range d {
		d[i] /= sum
	}
	d[n-1] = 1
	return d
}

// pick returns the index for u, which lies between 0 and 1, 1 excluded.
func (d distribution) pick(u float64) int {
	return sort.Search(len(d), func(i int) bool { return d[i] > u })
}

func zipf(n int, s float64) distribution {
	return newDistribution(n, func(i int) float64 { return math.Pow(float64(i+1), -s) })
}
