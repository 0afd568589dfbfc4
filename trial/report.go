package trial

import (
	"fmt"
	"io"
	"sync"

	"pollenlatch"
	"pollenlatch/plan"
)

// Method is a placement method for shards.
type Method struct {
	Name string
	New  func() pollenlatch.Planner
}

// virtualNodesPerEndpoint is the number of virtual nodes of each endpoint in the
// baselines.
const virtualNodesPerEndpoint = 100

// Methods returns the planner, which comes first, and the baselines.
func Methods() []Method {
	return []Method{
		{"planner", func() pollenlatch.Planner { return plan.New(plan.Settings{}) }},
		{"modulo", Modulo},
		{"consistent", func() pollenlatch.Planner { return ConsistentHashing(virtualNodesPerEndpoint) }},
		{"rendezvous", Rendezvous},
		{"bounded 1.10", func() pollenlatch.Planner { return BoundedLoads(virtualNodesPerEndpoint, 1.1) }},
	}
}

// maxConcurrentRows limits the rows that are simulated concurrently.
const maxConcurrentRows = 3

// Row contains the results of all methods in one trace.
type Row struct {
	Deployment Deployment
	Trace      string
	Results    []Result // in the order of Methods
}

// Run runs all methods on all traces of all deployments and returns the means over
// the seeds from 1 to seeds.
func Run(seeds int) []Row {
	var rows []Row
	for _, d := range []Deployment{Board(), Cratehaul(), Large()} {
		for _, t := range Traces(len(d.DCs)) {
			rows = append(rows, Row{d, t.Name, make([]Result, len(Methods()))})
		}
	}
	var wg sync.WaitGroup
	free := make(chan struct{}, maxConcurrentRows)
	for i := range rows {
		free <- struct{}{}
		wg.Go(func() {
			rows[i].runMethods(seeds)
			<-free
		})
	}
	wg.Wait()
	return rows
}

// runMethods sets the results to the means over the seeds from 1 to seeds.
func (r Row) runMethods(seeds int) {
	for _, t := range Traces(len(r.Deployment.DCs)) {
		if t.Name != r.Trace {
			continue
		}
		for i, m := range Methods() {
			for seed := range seeds {
				r.Results[i] = r.Results[i].plus(Simulate(r.Deployment, t, m.New(), uint64(seed+1)))
			}
			r.Results[i] = r.Results[i].times(1 / float64(seeds))
		}
	}
}

// comparedMeasures are the names of the values that Result.compared returns.
var comparedMeasures = [...]string{Imbalance, Churn, Churn, Unavailable}

// compared returns the values by which methods are compared. Lower is better.
func (r Result) compared() [4]float64 {
	return [4]float64{r.MaxLoadRatio, r.KeysMoved, r.LoadMoved, r.UnavailableKeySeconds}
}

// verdicts compares the planner with the best baseline in imbalance, keys moved,
// load moved and unavailable time. Where churn has the most weight, the goal of
// less than half the baseline applies to keys moved and to load moved.
func (r Row) verdicts() []string {
	var verdicts []string
	planner := r.Results[0].compared()
	for i, v := range planner {
		best := r.Results[1].compared()[i]
		for _, b := range r.Results[2:] {
			best = min(best, b.compared()[i])
		}
		verdict := fmt.Sprintf("worse (%.3g to %.3g)", v, best)
		switch {
		case r.Deployment.HeaviestMeasure == comparedMeasures[i] && v < best/2:
			verdict = "under half"
		case v <= best && r.Deployment.HeaviestMeasure == comparedMeasures[i]:
			verdict = fmt.Sprintf("no worse, not under half (%.3g to %.3g)", v, best)
		case v <= best:
			verdict = "no worse"
		}
		verdicts = append(verdicts, verdict)
	}
	return verdicts
}

// WriteTables writes the rows as Markdown tables.
func WriteTables(w io.Writer, rows []Row) error {
	for _, r := range rows {
		_, err := fmt.Fprintf(w, "\n%s, %s (most weight: %s)\n\n"+
			"| method | load max/mean | load p99/mean | ranges max/mean | ranges p99/mean | moves | keys moved | load moved | unavailable key-s |\n"+
			"|---|---|---|---|---|---|---|---|---|\n", r.Deployment.Name, r.Trace, r.Deployment.HeaviestMeasure)
		if err != nil {
			return fmt.Errorf("writing the tables of the trial: %w", err)
		}
		for i, m := range Methods() {
			res := r.Results[i]
			if _, err := fmt.Fprintf(w, "| %s | %.3f | %.3f | %.3f | %.3f | %.0f | %.3f | %.3f | %.0f |\n",
				m.Name, res.MaxLoadRatio, res.P99LoadRatio, res.MaxRangeRatio, res.P99RangeRatio, res.Moves, res.KeysMoved, res.LoadMoved, res.UnavailableKeySeconds); err != nil {
				return fmt.Errorf("writing the tables of the trial: %w", err)
			}
		}
	}
	return nil
}
