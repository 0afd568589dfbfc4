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

// plan is one request, fixed before it is sent.
type plan struct {
	at   time.Duration // from the start of the run
	n    int           // its number, which selects the target
	key  string
	id   string
	kind *Kind
}

// planner makes the requests of a run, one after another. It depends on the
// seed alone.
type planner struct {
	cfg   Config
	rand  *rand.Rand
	keys  distribution
	kinds distribution
	next  time.Duration
	n     int
}

func newPlanner(cfg Config) *planner {
	return &planner{
		cfg:   cfg,
		rand:  rand.New(rand.NewPCG(cfg.Seed, 0)),
		keys:  zipf(cfg.Keys, cfg.Zipf),
		kinds: newDistribution(len(cfg.Kinds), func(i int) float64 { return cfg.Kinds[i].Weight }),
	}
}

// plan returns the next request, or false when the run is over.
func (p *planner) plan() (plan, bool) {
	gap := 1.0
	if !p.cfg.EvenlySpaced {
		gap = p.rand.ExpFloat64()
	}
	p.next += time.Duration(gap / p.cfg.Rate * float64(time.Second))
	if p.next >= p.cfg.Duration {
		return plan{}, false
	}
	p.n++
	return plan{
		at:   p.next,
		n:    p.n,
		key:  "key-" + strconv.Itoa(p.keys.pick(p.rand.Float64())),
		id:   fmt.Sprintf("%x-%d", p.cfg.Seed, p.n),
		kind: &p.cfg.Kinds[p.kinds.pick(p.rand.Float64())],
	}, true
}

// Run sends the load and returns what happened. It ends early when ctx ends,
// with the report so far and the context's error. Other errors are of cfg.
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
	r := &runner{cfg: cfg, client: newClient(cfg), stats: newStats(cfg), room: make(chan struct{}, cfg.MaxInFlight), start: time.Now()}
	err := r.run(ctx)
	r.wg.Wait()
	r.client.http.CloseIdleConnections()
	return r.stats.report(), err
}

type runner struct {
	cfg    Config
	client *client
	stats  *stats
	room   chan struct{}
	start  time.Time
	wg     sync.WaitGroup
}

func (r *runner) run(ctx context.Context) error {
	p := newPlanner(r.cfg)
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		q, ok := p.plan()
		if !ok {
			return nil
		}
		if wait := q.at - time.Since(r.start); wait > 0 {
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
		case r.room <- struct{}{}:
		default:
			r.stats.dropped()
			continue
		}
		r.wg.Go(func() {
			defer func() { <-r.room }()
			r.request(ctx, q)
		})
	}
}

// request sends one request with its repeats.
func (r *runner) request(ctx context.Context, p plan) {
	late := time.Since(r.start) - p.at
	by := r.start.Add(p.at + r.cfg.Timeout)
	res := Result{ID: p.id, Key: p.key, Kind: p.kind.Name, Method: p.kind.Method, Start: p.at}
	backoff := r.cfg.Backoff
	doubts := 0 // attempts that may have run
	for n := 0; ; n++ {
		a := r.client.send(r.client.target(p.key, p.n+n), p, doubts, by)
		r.client.learn(p.key, a.owner)
		res.Attempts++
		res.Outcome, res.Reason, res.Status = a.outcome, a.reason, a.status
		if !mayRepeat(p, a) || res.Attempts >= r.cfg.MaxAttempts || !r.pause(ctx, backoff, by) {
			break
		}
		if a.outcome == pollenlatch.OutcomeUnknown {
			res.Unsure = true
			doubts++
		}
		backoff *= 2
	}
	res.Latency = time.Since(r.start) - p.at
	r.stats.add(res, late)
	if r.cfg.OnResult != nil {
		r.cfg.OnResult(res)
	}
}

// pause waits before a repeat, unless the deadline is nearer.
func (r *runner) pause(ctx context.Context, d time.Duration, by time.Time) bool {
	if time.Until(by) <= d {
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
