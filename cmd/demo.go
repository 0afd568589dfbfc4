package cmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/ctrl"
	"pollenlatch/fleet"
	"pollenlatch/load"
)

// The schedule of the demonstration, counted from the first request.
const (
	demoDuration   = 14 * time.Second // duration of the load
	demoShutdownAt = 3 * time.Second  // one instance shuts down gracefully
	demoRestartAt  = 6 * time.Second  // it starts again
	demoLossAt     = 9 * time.Second  // another instance is lost
	demoTimeout    = 28 * time.Second // the whole demonstration
	demoRate       = 400              // requests a second
	demoKeys       = 400
)

const demoTicket = `number: 1
services:
  - name: listing
    keyed: true
    ranges: 64
    maxrun: 1s
    idempotent: [view]
    weights: {imbalance: 2, churn: 1, unavailable: 8}
    rules:
      - {kind: claim, class: urgent}
`

var demoCommand = command{
	name:     "demo",
	summary:  "run a deployment in this process, move and lose instances, and show what callers see",
	examples: []string{"demo", "demo --verbose"},
	setup: func(f *flags) func(*env) error {
		var verbose bool
		f.boolVar(&verbose, "v", "verbose", "show the daemons' logs")
		return func(e *env) error { return demo(e.stdout, verbose) }
	},
}

// demo runs the demonstration. The data folders of its voters are temporary.
func demo(w io.Writer, verbose bool) error {
	if !verbose {
		discardLogs()
	}
	dir, err := os.MkdirTemp("", "pollenlatch-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), demoTimeout)
	defer cancel()
	f, err := fleet.Start(demoFleetConfig(dir))
	if err != nil {
		return err
	}
	defer f.Close()
	d := &demoRun{w: w, fleet: f}
	return d.run(ctx)
}

func discardLogs() {
	var fs flag.FlagSet
	klog.InitFlags(&fs)
	_ = fs.Set("logtostderr", "false")
	_ = fs.Set("alsologtostderr", "false")
	_ = fs.Set("stderrthreshold", "FATAL")
	klog.SetOutput(io.Discard)
}

// demoFleetConfig returns the deployment of the Board's listing service with two more
// servers.
func demoFleetConfig(dir string) fleet.Config {
	cfg := fleet.Config{Dir: dir, ServiceTime: 2 * time.Millisecond, Spread: 0.5, Seed: 1}
	dcs := []string{"howrah", "hooghly", "nadia", "bardhaman"}
	for i := range 6 {
		cfg.Instances = append(cfg.Instances, fleet.Instance{
			Name: fmt.Sprintf("listing-%d", i+1), DC: dcs[i%len(dcs)], Voter: i < 3,
			Endpoint: pollenlatch.Endpoint{Service: "listing", Slots: 10, MaxConns: 100, Fenced: true, Ready: true},
		})
	}
	return cfg
}

type demoRun struct {
	w         io.Writer
	fleet     *fleet.Fleet
	loadStart time.Time

	mu     sync.Mutex
	claims []load.Result
}

func (d *demoRun) run(ctx context.Context) error {
	startedAt := time.Now()
	if err := d.prepare(ctx); err != nil {
		return err
	}
	d.printf("6 daemons with a sample server each, 3 of them voters; ready after %v\n", time.Since(startedAt).Round(time.Millisecond))
	d.printOwners("owners at the start")
	d.loadStart = time.Now()
	scheduleDone := make(chan error, 1)
	go func() { scheduleDone <- d.runSchedule(ctx) }()
	r, err := load.Run(ctx, d.loadConfig())
	if err != nil {
		return err
	}
	if err := <-scheduleDone; err != nil {
		return err
	}
	d.printOwners("owners at the end")
	d.printReport(r)
	return nil
}

// prepare creates the service and waits until every range has an owner, and every
// instance owns some.
func (d *demoRun) prepare(ctx context.Context) error {
	if err := d.fleet.WaitReady(ctx); err != nil {
		return err
	}
	v, err := d.fleet.Submit(ctx, pollenlatch.Ticket{Number: 1, Text: demoTicket, Sender: "demo"})
	if err != nil {
		return err
	}
	if !v.Accepted {
		return fmt.Errorf("ticket refused: %v", v.Faults)
	}
	if err := d.fleet.Wait(ctx, func(a *ctrl.Access) bool { return a.InForce >= v.Version }); err != nil {
		return err
	}
	return d.fleet.Wait(ctx, func(a *ctrl.Access) bool {
		counts := shardsByOwner(a)
		return counts[""] == 0 && len(counts) == len(d.fleet.Names())
	})
}

// runSchedule shuts down, restarts and kills instances while the load runs.
func (d *demoRun) runSchedule(ctx context.Context) error {
	leaving, lost := "listing-4", "listing-2"
	d.sleepUntil(ctx, demoShutdownAt)
	d.printf("%5.1f s: %s leaves gracefully\n", time.Since(d.loadStart).Seconds(), leaving)
	if err := d.fleet.Shutdown(ctx, leaving); err != nil {
		return err
	}
	d.printf("%5.1f s: %s has left\n", time.Since(d.loadStart).Seconds(), leaving)
	d.sleepUntil(ctx, demoRestartAt)
	if err := d.fleet.StartInstance(leaving); err != nil {
		return err
	}
	d.printf("%5.1f s: %s starts again\n", time.Since(d.loadStart).Seconds(), leaving)
	d.sleepUntil(ctx, demoLossAt)
	d.fleet.Kill(lost)
	lostAt := time.Now()
	d.printf("%5.1f s: %s is lost, with its server\n", time.Since(d.loadStart).Seconds(), lost)
	err := d.fleet.Wait(ctx, func(a *ctrl.Access) bool {
		counts := shardsByOwner(a)
		return a.View.Version() > 0 && counts[""] == 0 && counts[lost] == 0
	})
	d.printf("%5.1f s: every range has an owner again, %v after the loss\n", time.Since(d.loadStart).Seconds(), time.Since(lostAt).Round(time.Millisecond))
	return err
}

func (d *demoRun) sleepUntil(ctx context.Context, elapsed time.Duration) {
	select {
	case <-time.After(elapsed - time.Since(d.loadStart)):
	case <-ctx.Done():
	}
}

func (d *demoRun) loadConfig() load.Config {
	cfg := load.Config{
		OnResult: d.recordClaim,
		Service:  "listing", Rate: demoRate, Duration: demoDuration, Keys: demoKeys, Zipf: 1, Seed: 1,
		Timeout: 3 * time.Second, MaxAttempts: 4,
		Kinds: []load.Kind{
			{Name: "view", Caller: "clerk", Weight: 0.7},
			{Name: "claim", Caller: "mender", Weight: 0.3, Method: "POST", BodyBytes: claimBodyBytes, Idempotent: true},
		},
	}
	for _, name := range d.fleet.Names() {
		cfg.Targets = append(cfg.Targets, d.fleet.Node(name).Addrs.Front)
	}
	return cfg
}

func (d *demoRun) recordClaim(r load.Result) {
	if r.Kind != "claim" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.claims = append(d.claims, r)
}

// countViolations counts the claims that ran more than once, and those that ran
// although their caller was told that they did not run.
func (d *demoRun) countViolations() (ranTwice, misreported int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.claims {
		n := d.fleet.Ledger().Count(r.ID)
		if n > 1 {
			ranTwice++
			d.printRuns(r)
		}
		if n > 0 && r.Outcome == pollenlatch.OutcomeNotRun && !r.Unsure {
			misreported++
			d.printRuns(r)
		}
	}
	return ranTwice, misreported
}

// printRuns prints the result and the runs of one claim.
func (d *demoRun) printRuns(r load.Result) {
	d.printf("%+v\n", r)
	for _, run := range d.fleet.Ledger().Runs() {
		if run.ID == r.ID {
			d.printf("  server %x, range %d, fence %d, %.3f to %.3f s, whole %v\n", uint64(run.Server), run.Shard.Range, run.Fence,
				run.Start.Sub(d.loadStart).Seconds(), run.End.Sub(d.loadStart).Seconds(), run.Whole)
		}
	}
}

// shardsByOwner counts the listing service's ranges by owner; "" is none.
func shardsByOwner(a *ctrl.Access) map[string]int {
	counts := make(map[string]int)
	s, ok := a.View.Service("listing")
	if !ok {
		return counts
	}
	for i := range s.NumRanges() {
		o, _ := a.View.ShardOwner(pollenlatch.Shard{Service: s.Name, Range: pollenlatch.Range(i)})
		owner, _ := a.View.Instance(o.Instance)
		counts[owner.Name]++
	}
	return counts
}

func (d *demoRun) printOwners(title string) {
	counts := shardsByOwner(d.fleet.Node("listing-1").Daemon.Access())
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	d.printf("%s:", title)
	for _, name := range names {
		d.printf(" %s %d", name, counts[name])
	}
	d.printf(" ranges\n")
}

func (d *demoRun) printReport(r load.Report) {
	d.printf("\nwhat callers saw at %d requests/s:\n%v", demoRate, r)
	d.printf("reasons: %v\n", r.Total.Reasons)
	if len(r.Outages) > 0 {
		o := r.Outages[0]
		d.printf("longest time without a good answer for a key: %v (%s)\n", o.Duration.Round(time.Millisecond), o.Key)
	}
	ranTwice, misreported := d.countViolations()
	d.printf("claims: %d, of which %d ran twice and %d ran though the caller was told not\n", len(d.claims), ranTwice, misreported)
}

func (d *demoRun) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.w, format, args...)
}
