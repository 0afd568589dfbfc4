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

// The demonstration's schedule, from the first request on.
const (
	demoLoad  = 14 * time.Second // requests are sent for this long
	demoShut  = 3 * time.Second  // one instance leaves gracefully
	demoBack  = 6 * time.Second  // it starts again
	demoKill  = 9 * time.Second  // another instance is lost
	demoLimit = 28 * time.Second // the whole demonstration
	demoRate  = 400              // requests a second
	demoKeys  = 400
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
	about:    "run a deployment in this process, move and lose instances, and show what callers see",
	examples: []string{"demo", "demo --verbose"},
	setup: func(f *flags) func(*env) error {
		var verbose bool
		f.boolean(&verbose, "v", "verbose", "show the daemons' logs")
		return func(e *env) error { return demo(e.stdout, verbose) }
	},
}

// demo runs the demonstration. The data folders of its voters are temporary.
func demo(w io.Writer, verbose bool) error {
	if !verbose {
		quiet()
	}
	dir, err := os.MkdirTemp("", "pollenlatch-demo-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), demoLimit)
	defer cancel()
	f, err := fleet.Start(demoFleet(dir))
	if err != nil {
		return err
	}
	defer f.Close()
	d := &demonstration{w: w, fleet: f}
	return d.run(ctx)
}

// quiet keeps the daemons' logs off the screen.
func quiet() {
	var fs flag.FlagSet
	klog.InitFlags(&fs)
	_ = fs.Set("logtostderr", "false")
	_ = fs.Set("alsologtostderr", "false")
	_ = fs.Set("stderrthreshold", "FATAL")
	klog.SetOutput(io.Discard)
}

// demoFleet is the Board's listing service and two more servers.
func demoFleet(dir string) fleet.Config {
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

type demonstration struct {
	w     io.Writer
	fleet *fleet.Fleet
	start time.Time

	mu     sync.Mutex
	claims []load.Result
}

func (d *demonstration) run(ctx context.Context) error {
	begun := time.Now()
	if err := d.prepare(ctx); err != nil {
		return err
	}
	d.printf("6 daemons with a sample server each, 3 of them voters; ready after %v\n", time.Since(begun).Round(time.Millisecond))
	d.owners("owners at the start")
	d.start = time.Now()
	steps := make(chan error, 1)
	go func() { steps <- d.steps(ctx) }()
	r, err := load.Run(ctx, d.load())
	if err != nil {
		return err
	}
	if err := <-steps; err != nil {
		return err
	}
	d.owners("owners at the end")
	d.report(r)
	return nil
}

// prepare creates the service and waits until every range has an owner.
func (d *demonstration) prepare(ctx context.Context) error {
	if err := d.fleet.Ready(ctx); err != nil {
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

// steps moves and loses instances while the load runs.
func (d *demonstration) steps(ctx context.Context) error {
	leaving, lost := "listing-4", "listing-2"
	d.at(ctx, demoShut)
	d.printf("%5.1f s: %s leaves gracefully\n", time.Since(d.start).Seconds(), leaving)
	if err := d.fleet.Shut(ctx, leaving); err != nil {
		return err
	}
	d.printf("%5.1f s: %s has left\n", time.Since(d.start).Seconds(), leaving)
	d.at(ctx, demoBack)
	if err := d.fleet.Restart(leaving); err != nil {
		return err
	}
	d.printf("%5.1f s: %s starts again\n", time.Since(d.start).Seconds(), leaving)
	d.at(ctx, demoKill)
	d.fleet.Kill(lost)
	at := time.Now()
	d.printf("%5.1f s: %s is lost, with its server\n", time.Since(d.start).Seconds(), lost)
	err := d.fleet.Wait(ctx, func(a *ctrl.Access) bool {
		counts := shardsByOwner(a)
		return a.View.Version() > 0 && counts[""] == 0 && counts[lost] == 0
	})
	d.printf("%5.1f s: every range has an owner again, %v after the loss\n", time.Since(d.start).Seconds(), time.Since(at).Round(time.Millisecond))
	return err
}

func (d *demonstration) at(ctx context.Context, t time.Duration) {
	select {
	case <-time.After(t - time.Since(d.start)):
	case <-ctx.Done():
	}
}

func (d *demonstration) load() load.Config {
	cfg := load.Config{
		Done:    d.done,
		Service: "listing", Rate: demoRate, Duration: demoLoad, Keys: demoKeys, Zipf: 1, Seed: 1,
		Timeout: 3 * time.Second, Attempts: 4,
		Kinds: []load.Kind{
			{Name: "view", Caller: "clerk", Share: 0.7},
			{Name: "claim", Caller: "mender", Share: 0.3, Method: "POST", Body: claimBytes, Idempotent: true},
		},
	}
	for _, name := range d.fleet.Names() {
		cfg.Targets = append(cfg.Targets, d.fleet.Node(name).Addrs.Front)
	}
	return cfg
}

func (d *demonstration) done(r load.Result) {
	if r.Kind != "claim" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.claims = append(d.claims, r)
}

// untruths counts the claims that ran more than once, and those that ran
// though their caller was told that they did not.
func (d *demonstration) untruths() (doubled, denied int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range d.claims {
		n := d.fleet.Ledger().Count(r.ID)
		if n > 1 {
			doubled++
			d.explain(r)
		}
		if n > 0 && r.Outcome == pollenlatch.OutcomeNotRun && !r.Unsure {
			denied++
			d.explain(r)
		}
	}
	return doubled, denied
}

// explain shows the runs of one claim.
func (d *demonstration) explain(r load.Result) {
	d.printf("%+v\n", r)
	for _, run := range d.fleet.Ledger().Runs() {
		if run.ID == r.ID {
			d.printf("  server %x, range %d, fence %d, %.3f to %.3f s, whole %v\n", uint64(run.Server), run.Shard.Range, run.Fence,
				run.Start.Sub(d.start).Seconds(), run.End.Sub(d.start).Seconds(), run.Whole)
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

func (d *demonstration) owners(title string) {
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

func (d *demonstration) report(r load.Report) {
	d.printf("\nwhat callers saw at %d requests/s:\n%v", demoRate, r)
	d.printf("reasons: %v\n", r.Total.Reasons)
	if len(r.Outages) > 0 {
		o := r.Outages[0]
		d.printf("longest time without a good answer for a key: %v (%s)\n", o.Duration.Round(time.Millisecond), o.Key)
	}
	doubled, denied := d.untruths()
	d.printf("claims: %d, of which %d ran twice and %d ran though the caller was told not\n", len(d.claims), doubled, denied)
}

func (d *demonstration) printf(format string, args ...any) {
	_, _ = fmt.Fprintf(d.w, format, args...)
}
