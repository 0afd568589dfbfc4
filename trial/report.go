package trial

import (
	"fmt"
	"io"
	"sync"

	"pollenlatch"
	"pollenlatch/plan"
)

// Method is a way to place shards.
type Method struct {
	Name string
	New  func() pollenlatch.Planner
}

// virtual is the number of virtual nodes of an endpoint in the baselines.
const virtual = 100

// Methods returns the planner and the baselines.
func Methods() []Method {
	return []Method{
		{"planner", func() pollenlatch.Planner { return plan.New(plan.Settings{}) }},
		{"modulo", Modulo},
		{"consistent", func() pollenlatch.Planner { return Consistent(virtual) }},
		{"rendezvous", Rendezvous},
		{"bounded 1.10", func() pollenlatch.Planner { return Bounded(virtual, 1.1) }},
	}
}

// workers bounds the simulations that run at once.
const workers = 3

// Row is the results of all methods in one trace.
type Row struct {
	Deployment Deployment
	Trace      string
	Results    []Result // by method
}

// Run runs all methods against all traces of both deployments and returns the
// means over seeds 1 to n.
func Run(n int) []Row {
	var rows []Row
	for _, d := range []Deployment{Board(), Cratehaul(), Large()} {
		for _, t := range Traces(len(d.DCs)) {
			rows = append(rows, Row{d, t.Name, make([]Result, len(Methods()))})
		}
	}
	var wg sync.WaitGroup
	free := make(chan struct{}, workers)
	for i := range rows {
		free <- struct{}{}
		wg.Go(func() {
			rows[i].run(n)
			<-free
		})
	}
	wg.Wait()
	return rows
}

// run fills in the means over seeds 1 to n.
func (r Row) run(n int) {
	for _, t := range Traces(len(r.Deployment.DCs)) {
		if t.Name != r.Trace {
			continue
		}
		for i, m := range Methods() {
			for seed := range n {
				r.Results[i] = r.Results[i].plus(Simulate(r.Deployment, t, m.New(), uint64(seed+1)))
			}
			r.Results[i] = r.Results[i].times(1 / float64(n))
		}
	}
}

// measureNames names the values of measures.
var measureNames = [...]string{Imbalance, Churn, Churn, Unavailable}

// measures returns the measures of a result; less is better.
func (r Result) measures() [4]float64 { return [4]float64{r.LoadMax, r.Keys, r.Moved, r.Down} }

// verdicts says how the planner stands against the best baseline in imbalance,
// keys moved, load moved and unavailable time. Both churn measures must be met
// where churn weighs most.
func (r Row) verdicts() []string {
	var all []string
	ours := r.Results[0].measures()
	for i, v := range ours {
		best := r.Results[1].measures()[i]
		for _, b := range r.Results[2:] {
			best = min(best, b.measures()[i])
		}
		word := fmt.Sprintf("worse (%.3g to %.3g)", v, best)
		switch {
		case r.Deployment.Most == measureNames[i] && v < best/2:
			word = "under half"
		case v <= best && r.Deployment.Most == measureNames[i]:
			word = fmt.Sprintf("no worse, not under half (%.3g to %.3g)", v, best)
		case v <= best:
			word = "no worse"
		}
		all = append(all, word)
	}
	return all
}

// Write writes the rows as tables in Markdown.
func Write(w io.Writer, rows []Row) error {
	for _, r := range rows {
		_, err := fmt.Fprintf(w, "\n%s, %s (most weight: %s)\n\n"+
			"| method | load max/mean | load p99/mean | ranges max/mean | ranges p99/mean | moves | keys moved | load moved | unavailable key-s |\n"+
			"|---|---|---|---|---|---|---|---|---|\n", r.Deployment.Name, r.Trace, r.Deployment.Most)
		if err != nil {
			return fmt.Errorf("writing the trial's tables: %w", err)
		}
		for i, m := range Methods() {
			x := r.Results[i]
			if _, err := fmt.Fprintf(w, "| %s | %.3f | %.3f | %.3f | %.3f | %.0f | %.3f | %.3f | %.0f |\n",
				m.Name, x.LoadMax, x.LoadP99, x.RangeMax, x.RangeP99, x.Moves, x.Keys, x.Moved, x.Down); err != nil {
				return fmt.Errorf("writing the trial's tables: %w", err)
			}
		}
	}
	return nil
}
