package load

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pollenlatch"
)

// plannedRequest is a request that is determined before it is sent.
type plannedRequest struct {
	start time.Duration // from the start of the run
	seq   int           // sequence number, which selects the target
	key   string
	id    string
	kind  *Kind
}

// planner generates the requests of a run in the order of their start. They depend
// only on the configuration, including its seed.
type planner struct {
	cfg       Config
	rand      *rand.Rand
	keys      distribution
	kinds     distribution
	nextStart time.Duration
	seq       int
}

func newPlanner(cfg Config) *planner {
	return &planner{
		cfg:   cfg,
		rand:  rand.New(rand.NewPCG(cfg.Seed, 0)),
		keys:  newZipf(cfg.Keys, cfg.Zipf),
		kinds: newDistribution(len(cfg.Kinds), func(i int) float64 { return cfg.Kinds[i].Weight }),
	}
}

// next returns the next request, or false when the run is over.
func (p *planner) next() (plannedRequest, bool) {
	gap := 1.0
	if !p.cfg.EvenlySpaced {
		gap = p.rand.ExpFloat64()
	}
	p.nextStart += time.Duration(gap / p.cfg.Rate * float64(time.Second))
	if p.nextStart >= p.cfg.Duration {
		return plannedRequest{}, false
	}
	p.seq++
	return plannedRequest{
		start: p.nextStart,
		seq:   p.seq,
		key:   "key-" + strconv.Itoa(p.keys.pick(p.rand.Float64())),
		id:    fmt.Sprintf("%x-%d", p.cfg.Seed, p.seq),
		kind:  &p.cfg.Kinds[p.kinds.pick(p.rand.Float64())],
	}, true
}

// Run sends the load and returns its report. When ctx ends, it returns early with
// the report so far and the error of ctx. Other errors wrap ErrInvalidConfig.
func Run(ctx context.Context, cfg Config) (Report, error) {
	if err := cfg.Validate(); err != nil {
		return Report{}, err
	}
	cfg = cfg.withDefaults()
	cfg.Kinds = append([]Kind(nil), cfg.Kinds...)
	for i := range cfg.Kinds {
		if cfg.Kinds[i].Method == "" {
			cfg.Kinds[i].Method = http.MethodGet
		}
	}
	r := &runner{cfg: cfg, client: newClient(cfg), stats: newStats(cfg), slots: make(chan struct{}, cfg.MaxInFlight), start: time.Now()}
	err := r.run(ctx)
	r.wg.Wait()
	r.client.http.CloseIdleConnections()
	return r.stats.report(), err
}

// runner is the state of one Run.
type runner struct {
	cfg    Config
	client *client
	stats  *stats
	slots  chan struct{} // one element for each request in flight
	start  time.Time
	wg     sync.WaitGroup
}

func (r *runner) run(ctx context.Context) error {
	p := newPlanner(r.cfg)
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		q, ok := p.next()
		if !ok {
			return nil
		}
		if wait := q.start - time.Since(r.start); wait > 0 {
			t.Reset(wait)
			select {
			case <-t.C:
			case <-ctx.Done():
				return ctx.Err()
			}
		} else if ctx.Err() != nil {
			return ctx.Err()
		}
		select {
		case r.slots <- struct{}{}:
		default:
			r.stats.countDropped()
			continue
		}
		r.wg.Go(func() {
			defer func() { <-r.slots }()
			r.runRequest(ctx, q)
		})
	}
}

// runRequest sends a request with its retries and records the result.
func (r *runner) runRequest(ctx context.Context, q plannedRequest) {
	lag := time.Since(r.start) - q.start
	deadline := r.start.Add(q.start + r.cfg.Timeout)
	res := Result{ID: q.id, Key: q.key, Kind: q.kind.Name, Method: q.kind.Method, Start: q.start}
	backoff := r.cfg.Backoff
	unknownAttempts := 0 // attempts that may have run
	for n := 0; ; n++ {
		a := r.client.send(r.client.targetFor(q.key, q.seq+n), q, unknownAttempts, deadline)
		r.client.recordOwner(q.key, a.owner)
		res.Attempts++
		res.Outcome, res.Reason, res.Status = a.outcome, a.reason, a.status
		if !retryable(q, a) || res.Attempts >= r.cfg.MaxAttempts || !r.waitBackoff(ctx, backoff, deadline) {
			break
		}
		if a.outcome == pollenlatch.OutcomeUnknown {
			res.Unsure = true
			unknownAttempts++
		}
		backoff *= 2
	}
	res.Latency = time.Since(r.start) - q.start
	r.stats.add(res, lag)
	if r.cfg.OnResult != nil {
		r.cfg.OnResult(res)
	}
}

// waitBackoff waits for d before a retry. It returns false if the deadline comes
// first or ctx ends.
func (r *runner) waitBackoff(ctx context.Context, d time.Duration, deadline time.Time) bool {
	if time.Until(deadline) <= d {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
