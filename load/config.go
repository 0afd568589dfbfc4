// Package load is an open-loop load generator: requests start at times that do not
// depend on the responses, and latency is measured from those times.
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

// ErrInvalidConfig is wrapped by all errors of Config.Validate.
var ErrInvalidConfig = errors.New("invalid load configuration")

// Kind is one kind of request in the mix.
type Kind struct {
	Name       string  `json:"name"`                 // Pollen-Kind, and the name in the report
	Caller     string  `json:"caller"`               // Pollen-Caller
	Weight     float64 `json:"share"`                // share of the requests, relative to the other kinds
	Method     string  `json:"method"`               // empty is GET
	BodyBytes  int     `json:"body"`                 // size of the request body
	Idempotent bool    `json:"idempotent,omitempty"` // sends an Idempotency-Key
}

// Config describes a run. Targets, Service, Rate, Duration, Keys and Kinds are
// required. Runs with the same Seed send the same requests at the same times.
type Config struct {
	Targets      []string      // addresses at which daemons accept callers' requests, used in turn
	Service      string        // Pollen-Service
	Rate         float64       // requests per second over all targets
	Duration     time.Duration // time during which requests start
	Keys         int           // number of keys
	Zipf         float64       // exponent of the Zipf distribution of keys; 0 is uniform
	Kinds        []Kind
	Seed         uint64
	EvenlySpaced bool // starts are evenly spaced instead of a Poisson process

	Timeout     time.Duration // of a request with all its attempts
	MaxAttempts int           // of a request
	Backoff     time.Duration // before the first retry; doubles with each further one
	FollowOwner bool          // send a key to the daemon that Pollen-Owner named last
	MaxInFlight int           // requests beyond this are counted as dropped instead of sent
	MaxConns    int           // to each target
	BucketWidth time.Duration // of the time series

	Dial func(addr string) (net.Conn, error) // nil dials TCP
	// OnResult, if set, is called for every request that was sent. Calls are
	// concurrent.
	OnResult func(Result)
}

// Result is the result of one request. The demo command prints it under the names of
// its fields.
type Result struct {
	ID       string // X-Request-Id of all its attempts
	Key      string
	Kind     string
	Method   string
	Outcome  pollenlatch.Outcome // of the last attempt
	Reason   string              // reason of the Failure, or "transport"
	Status   int                 // 0 without a response
	Attempts int
	// Unsure says that an attempt before the last had an unknown outcome. The
	// request may then have run even if the last outcome is OutcomeNotRun.
	Unsure  bool
	Start   time.Duration // intended start, from the start of the run
	Latency time.Duration // from the intended start to the end of the response
}

// Good reports whether the caller received a response of the server with a status
// below 500.
func (r Result) Good() bool {
	return r.Outcome == pollenlatch.OutcomeRan && r.Reason == "" && r.Status < http.StatusInternalServerError
}

func (c Config) withDefaults() Config {
	setDefault := func(p *time.Duration, d time.Duration) {
		if *p == 0 {
			*p = d
		}
	}
	setDefault(&c.Timeout, DefaultTimeout)
	setDefault(&c.BucketWidth, DefaultBucketWidth)
	setDefault(&c.Backoff, DefaultBackoff)
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

// Validate returns an error for the first invalid setting. It wraps
// ErrInvalidConfig.
func (c Config) Validate() error {
	invalid := func(format string, a ...any) error {
		return fmt.Errorf("%w: "+format, append([]any{ErrInvalidConfig}, a...)...)
	}
	positive := func(v float64) bool { return v > 0 && !math.IsInf(v, 0) }
	switch {
	case len(c.Targets) == 0:
		return invalid("no targets")
	case c.Service == "":
		return invalid("service is empty")
	case !positive(c.Rate) || c.Duration <= 0:
		return invalid("rate %v and duration %v must be positive", c.Rate, c.Duration)
	case c.Rate*c.Duration.Seconds() > maxRequests:
		return invalid("more than %d requests", maxRequests)
	case c.Keys < 1 || c.Keys > maxKeys:
		return invalid("keys must be between 1 and %d, not %d", maxKeys, c.Keys)
	case c.Zipf < 0 || math.IsNaN(c.Zipf) || math.IsInf(c.Zipf, 0):
		return invalid("zipf %v is not a finite exponent of at least 0", c.Zipf)
	case len(c.Kinds) == 0:
		return invalid("no kinds of requests")
	case c.Timeout < 0 || c.MaxAttempts < 0 || c.Backoff < 0 || c.MaxInFlight < 0 || c.MaxConns < 0 || c.BucketWidth < 0:
		return invalid("timeout, attempts, backoff, in-flight, conns and bucket must not be negative")
	case c.BucketWidth > 0 && (c.Duration+c.Timeout)/c.BucketWidth > maxBuckets:
		return invalid("more than %d buckets in the time series", maxBuckets)
	}
	for i, k := range c.Kinds {
		if !positive(k.Weight) || k.BodyBytes < 0 {
			return invalid("kind %d: share must be positive and body not negative", i)
		}
	}
	return nil
}

// distribution is a discrete distribution as cumulative probabilities, the last of
// which is 1.
type distribution []float64

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

// pick returns the index for a uniform random u in [0, 1).
func (d distribution) pick(u float64) int {
	return sort.Search(len(d), func(i int) bool { return d[i] > u })
}

func newZipf(n int, s float64) distribution {
	return newDistribution(n, func(i int) float64 { return math.Pow(float64(i+1), -s) })
}
