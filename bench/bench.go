// Package bench runs traffic experiments on deployments in this process. The
// deployments resemble those of the users. It compares the outcomes that callers
// receive with the runs that the servers record.
package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"pollenlatch"
	"pollenlatch/ctrl"
	"pollenlatch/fleet"
	"pollenlatch/load"
)

// Shape describes a deployment with one keyed service.
type Shape struct {
	Name        string
	Service     string
	DCs         []string
	Servers     int
	Slots       uint32
	MaxConns    uint32
	ServiceTime time.Duration // mean run time of a request
	UrgentKind  string        // kind of the requests with priority, which must not run twice
	RoutineKind string        // kind of all other requests
}

// Shapes are the keyed services of the users. A service time of 20 ms keeps the
// capacity so low that daemons, servers and callers can share one host.
var Shapes = []Shape{
	{
		Name: "board", Service: "listing", DCs: []string{"howrah", "hooghly", "nadia", "bardhaman"},
		Servers: 4, Slots: 10, MaxConns: 100, ServiceTime: 20 * time.Millisecond, UrgentKind: "claim", RoutineKind: "view",
	},
	{
		Name: "cratehaul", Service: "catalogue", DCs: []string{"ikeja", "apapa", "lekki"},
		Servers: 5, Slots: 10, MaxConns: 100, ServiceTime: 20 * time.Millisecond, UrgentKind: "dispatch", RoutineKind: "lookup",
	},
}

// Capacity returns the requests per second that all slots together can serve.
func (s Shape) Capacity() float64 {
	return float64(s.Servers) * float64(s.Slots) / s.ServiceTime.Seconds()
}

// Config describes a series of experiments.
type Config struct {
	Shape    Shape
	Attempts int           // maximum attempts of a caller for a request; 0 is 4
	Only     string        // runs only the experiments whose names contain it; empty is all
	Loads    []float64     // offered loads relative to the capacity
	Duration time.Duration // of each experiment
	Seed     uint64
}

// DefaultLoads are one load at half the capacity, one near it and two overloads.
var DefaultLoads = []float64{0.5, 0.9, 1.5, 3}

const (
	urgentShare     = 0.2 // of all requests
	keyCount        = 2000
	zipfExponent    = 0.8
	urgentBodyBytes = 64
	faultLoad       = 0.5 // offered load of the experiments with faults, relative to the capacity
	defaultAttempts = 4
	readyTimeout    = 30 * time.Second
	freezeDuration  = 2 * time.Second
)

// Run runs the experiments one after the other and writes their results as a
// table.
func Run(ctx context.Context, w io.Writer, cfg Config) error {
	if cfg.Attempts == 0 {
		cfg.Attempts = defaultAttempts
	}
	_, _ = fmt.Fprintf(w, "%s: %d servers with %d slots, service time %v, capacity %.0f requests/s, %v a run, %d attempts of a caller, seed %d\n\n",
		cfg.Shape.Name, cfg.Shape.Servers, cfg.Shape.Slots, cfg.Shape.ServiceTime, cfg.Shape.Capacity(), cfg.Duration, cfg.Attempts, cfg.Seed)
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "experiment\tkind\tsent/s\tgood/s\tnot-run\tunknown\tp50 ms\tp99 ms\tp99.9 ms\tran twice\tfalse not-run\tlag ms\treasons\t")
	for _, x := range cfg.experiments() {
		if cfg.Only != "" && !strings.Contains(x.name, cfg.Only) {
			continue
		}
		r, err := cfg.run(ctx, x)
		if err != nil {
			return errors.Join(t.Flush(), fmt.Errorf("%s: %w", x.name, err))
		}
		r.writeRows(t, x.name, cfg.Duration)
	}
	return t.Flush()
}

// experiment is a run of traffic. If fault is not nil, it causes a fault during
// the run.
type experiment struct {
	name  string
	load  float64
	fault func(ctx context.Context, f *fleet.Fleet, d time.Duration) error
}

func (c Config) experiments() []experiment {
	var out []experiment
	for _, l := range c.Loads {
		out = append(out, experiment{name: fmt.Sprintf("%.1f x capacity", l), load: l})
	}
	return append(
		out,
		experiment{"server frozen for 2 s", faultLoad, freezeServer},
		experiment{"instance lost", faultLoad, killInstance},
		experiment{"rolling restart", faultLoad, rollingRestart},
	)
}

// result is the callers' report, with the numbers of urgent requests that ran more
// than once, and that ran although the caller received not-run.
type result struct {
	load.Report
	ranTwice, falseNotRun int
}

func (c Config) run(ctx context.Context, x experiment) (result, error) {
	dir, err := os.MkdirTemp("", "pollenlatch-bench-")
	if err != nil {
		return result{}, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	f, err := c.startFleet(ctx, dir)
	if err != nil {
		return result{}, err
	}
	defer f.Close()
	var mu sync.Mutex
	var urgent []load.Result
	cfg := c.loadConfig(f, x.load)
	cfg.OnResult = func(r load.Result) {
		if r.Kind == c.Shape.UrgentKind {
			mu.Lock()
			defer mu.Unlock()
			urgent = append(urgent, r)
		}
	}
	faultDone := make(chan error, 1)
	go func() {
		if x.fault == nil {
			faultDone <- nil
			return
		}
		faultDone <- x.fault(ctx, f, c.Duration)
	}()
	out := result{}
	if out.Report, err = load.Run(ctx, cfg); err != nil {
		return out, err
	}
	if err := <-faultDone; err != nil {
		return out, err
	}
	for _, r := range urgent {
		runs := f.Ledger().Count(r.ID)
		if runs > 1 {
			out.ranTwice++
		}
		if runs > 0 && r.Outcome == pollenlatch.OutcomeNotRun && !r.Unsure {
			out.falseNotRun++
		}
	}
	return out, nil
}

func (c Config) startFleet(ctx context.Context, dir string) (*fleet.Fleet, error) {
	cfg := fleet.Config{Dir: dir, ServiceTime: c.Shape.ServiceTime, Spread: 0.5, Seed: c.Seed}
	for i := range c.Shape.Servers {
		cfg.Instances = append(cfg.Instances, fleet.Instance{
			Name: fmt.Sprintf("%s-%d", c.Shape.Service, i+1), DC: c.Shape.DCs[i%len(c.Shape.DCs)], Voter: i < 3,
			Endpoint: pollenlatch.Endpoint{Service: c.Shape.Service, Slots: c.Shape.Slots, MaxConns: c.Shape.MaxConns, Fenced: true, Ready: true},
		})
	}
	f, err := fleet.Start(cfg)
	if err != nil {
		return nil, err
	}
	if err := c.prepare(ctx, f); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// prepare creates the service and waits until every endpoint owns ranges and no
// range is without an owner.
func (c Config) prepare(ctx context.Context, f *fleet.Fleet) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	if err := f.WaitReady(ctx); err != nil {
		return err
	}
	v, err := f.Submit(ctx, pollenlatch.Ticket{Number: 1, Text: c.ticketText(), Sender: "bench"})
	if err != nil {
		return err
	}
	if !v.Accepted {
		return fmt.Errorf("ticket that creates the service was refused: %v", v.Faults)
	}
	return f.Wait(ctx, func(a *ctrl.Access) bool {
		owners := make(pollenlatch.Set[pollenlatch.InstanceID])
		s, ok := a.View.Service(c.Shape.Service)
		for i := range s.NumRanges() {
			o, _ := a.View.ShardOwner(pollenlatch.Shard{Service: s.Name, Range: pollenlatch.Range(i)})
			owners[o.Instance] = struct{}{}
		}
		return ok && !owners.Has(0) && len(owners) == c.Shape.Servers
	})
}

func (c Config) ticketText() string {
	return fmt.Sprintf(`number: 1
services:
  - name: %s
    keyed: true
    ranges: 256
    maxrun: 2s
    queue: 100
    idempotent: [%s]
    rules:
      - {kind: %s, class: urgent}
      - {kind: %s, class: routine}
`, c.Shape.Service, c.Shape.RoutineKind, c.Shape.UrgentKind, c.Shape.RoutineKind)
}

func (c Config) loadConfig(f *fleet.Fleet, relativeLoad float64) load.Config {
	cfg := load.Config{
		Service: c.Shape.Service, Rate: relativeLoad * c.Shape.Capacity(), Duration: c.Duration, Keys: keyCount, Zipf: zipfExponent,
		Seed: c.Seed, Timeout: 2 * time.Second, MaxAttempts: c.Attempts, MaxConns: 1000, MaxInFlight: 50_000,
		Kinds: []load.Kind{
			{Name: c.Shape.UrgentKind, Caller: "urgent", Weight: urgentShare, Method: "POST", BodyBytes: urgentBodyBytes, Idempotent: true},
			{Name: c.Shape.RoutineKind, Caller: "routine", Weight: 1 - urgentShare},
		},
	}
	for _, name := range f.Names() {
		cfg.Targets = append(cfg.Targets, f.Node(name).Addrs.Front)
	}
	return cfg
}

func (r result) writeRows(w io.Writer, name string, d time.Duration) {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	for i, s := range r.Kinds {
		ranTwice, falseNotRun := "", ""
		if i == 0 {
			ranTwice, falseNotRun = fmt.Sprint(r.ranTwice), fmt.Sprint(r.falseNotRun)
		}
		q := s.Latency
		_, _ = fmt.Fprintf(w, "%s\t%s\t%.0f\t%.0f\t%d\t%d\t%.1f\t%.1f\t%.1f\t%s\t%s\t%.0f\t%v\t\n",
			name, s.Name, float64(s.Sent)/d.Seconds(), float64(s.Good)/d.Seconds(), s.NotRun, s.Unknown,
			ms(q.P50), ms(q.P99), ms(q.P999), ranTwice, falseNotRun, ms(r.MaxLag), s.Reasons)
	}
}

// sleep waits for d, or returns the error of ctx if it ends before.
func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// freezeServer stops one server for freezeDuration. Meanwhile its connections
// stay open, but it reads and writes nothing.
func freezeServer(ctx context.Context, f *fleet.Fleet, d time.Duration) error {
	s := f.Node(f.Names()[1]).Server
	if err := sleep(ctx, d/3); err != nil {
		return err
	}
	s.Freeze()
	defer s.Thaw()
	return sleep(ctx, freezeDuration)
}

// killInstance stops one instance and its server abruptly, as a power failure
// does.
func killInstance(ctx context.Context, f *fleet.Fleet, d time.Duration) error {
	if err := sleep(ctx, d/3); err != nil {
		return err
	}
	f.Kill(f.Names()[1])
	return nil
}

// rollingRestart shuts down and restarts every instance, one after the other.
func rollingRestart(ctx context.Context, f *fleet.Fleet, d time.Duration) error {
	names := f.Names()
	for _, name := range names {
		if err := sleep(ctx, d/time.Duration(2*len(names))); err != nil {
			return err
		}
		if err := f.Shutdown(ctx, name); err != nil {
			return err
		}
		if err := f.StartInstance(name); err != nil {
			return err
		}
	}
	return nil
}
