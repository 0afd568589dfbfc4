package plan_test

import (
	"fmt"
	"runtime"
	"testing"

	"pollenlatch"
	"pollenlatch/plan"
	"pollenlatch/trial"
)

// sizes are the sizes of the benchmarks. 19 bits and 4,900 endpoints are the largest
// deployment that the design supports.
var sizes = []struct {
	bits      uint32
	endpoints int
}{
	{10, 10},
	{10, 100},
	{10, 4900},
	{14, 10},
	{14, 100},
	{14, 4900},
	{19, 4900},
	{20, 10},
	{20, 100},
	{20, 4900},
}

// newLargeWorld returns a world with all ranges assigned, and a planner input with
// load reports of all endpoints.
func newLargeWorld(p *plan.Planner, bits uint32, endpoints int) (*trial.State, pollenlatch.PlanInput) {
	s := pollenlatch.Service{Name: "listing", Keyed: true, RangeBits: bits}
	w := trial.NewState(s)
	for i := range endpoints {
		w.Join(fmt.Sprintf("dc%d", i%8), 10)
	}
	in := pollenlatch.PlanInput{View: w}
	for _, m := range p.Plan(in) {
		w.Assign(m.Shard, m.To)
	}
	in.Now = second
	in.Loads = newReports(w, endpoints, 100)
	return w, in
}

func newReports(w *trial.State, endpoints int, rate float64) map[pollenlatch.InstanceID]pollenlatch.Load {
	loads := make(map[pollenlatch.InstanceID]pollenlatch.Load)
	for i := range endpoints {
		id := pollenlatch.InstanceID(i + 1)
		l := pollenlatch.Load{Rate: rate}
		w.EachOwned(id, "", func(o pollenlatch.Owner) bool {
			l.Ranges = append(l.Ranges, pollenlatch.RangeLoad{Service: o.Service, Range: o.Range, Rate: rate / 20})
			return len(l.Ranges) < 16
		})
		loads[id] = l
	}
	return loads
}

// scanView is a view that can't list changes.
type scanView struct {
	pollenlatch.View
	plan.ShardLister
}

// BenchmarkLossScan plans after the loss of one endpoint at the largest size, with a
// view whose whole owner table has to be scanned.
func BenchmarkLossScan(b *testing.B) {
	var p plan.Planner
	w, in := newLargeWorld(&p, 19, 4900)
	in.View = scanView{w, w}
	p.Plan(in)
	for b.Loop() {
		b.StopTimer()
		w.Expire(7)
		b.StartTimer()
		moves := p.Plan(in)
		b.StopTimer()
		for _, m := range moves {
			w.Assign(m.Shard, m.To)
		}
		w.Rejoin(7)
		b.StartTimer()
	}
}

// BenchmarkLoss plans after the loss of one endpoint.
func BenchmarkLoss(b *testing.B) {
	for _, c := range sizes {
		b.Run(fmt.Sprintf("ranges=%d/endpoints=%d", 1<<c.bits, c.endpoints), func(b *testing.B) {
			var p plan.Planner
			w, in := newLargeWorld(&p, c.bits, c.endpoints)
			p.Plan(in)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				b.StopTimer()
				id := pollenlatch.InstanceID(i%c.endpoints + 1)
				w.Expire(id)
				in.Now += second / 10
				b.StartTimer()
				moves := p.Plan(in)
				b.StopTimer()
				for _, m := range moves {
					w.Assign(m.Shard, m.To)
				}
				w.Rejoin(id)
				b.StartTimer()
			}
		})
	}
}

// BenchmarkBalance plans a balancing round with new reports of all endpoints,
// one of which is overloaded.
func BenchmarkBalance(b *testing.B) {
	for _, c := range sizes {
		b.Run(fmt.Sprintf("ranges=%d/endpoints=%d", 1<<c.bits, c.endpoints), func(b *testing.B) {
			var p plan.Planner
			w, in := newLargeWorld(&p, c.bits, c.endpoints)
			rounds := [2]map[pollenlatch.InstanceID]pollenlatch.Load{newReports(w, c.endpoints, 100), newReports(w, c.endpoints, 101)}
			for _, r := range rounds {
				l := r[1]
				l.Rate *= 2
				r[1] = l
			}
			p.Plan(in)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				in.Now += 4 * second
				in.Loads = rounds[i%2]
				p.Plan(in)
			}
		})
	}
}

// BenchmarkFirst plans with an empty planner, as a new leader does, and
// reports the memory that the planner keeps.
func BenchmarkFirst(b *testing.B) {
	for _, c := range sizes {
		b.Run(fmt.Sprintf("ranges=%d/endpoints=%d", 1<<c.bits, c.endpoints), func(b *testing.B) {
			var p plan.Planner
			_, in := newLargeWorld(&p, c.bits, c.endpoints)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var kept *plan.Planner
			for b.Loop() {
				kept = plan.New(plan.Settings{})
				kept.Plan(in)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc)), "kept-B")
			runtime.KeepAlive(kept)
			runtime.KeepAlive(in)
		})
	}
}
