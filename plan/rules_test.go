package plan_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/plan"
	"pollenlatch/trial"
)

// If the remaining endpoints get all shards of a mass loss at once, they fail one
// after the other. If some shards were never assigned, they would stay unavailable.
func TestMassLossIsRampedUp(t *testing.T) {
	s := newService(pollenlatch.Weights{})
	var p plan.Planner
	w := newAssignedWorld(t, &p, s, 8)
	in := pollenlatch.PlanInput{View: w, Loads: evenLoads(8, 100), Now: 100 * second}
	for id, l := range in.Loads {
		l.MedianLatency = 50 * time.Millisecond // 10 slots: 160 requests a second are safe
		in.Loads[id] = l
	}
	p.Plan(in)
	for id := range 6 {
		w.Expire(pollenlatch.InstanceID(id + 3))
	}
	left := []int{w.OwnedCount(0, s.Name)}
	for range 5 {
		in.Now += second
		applyMoves(w, p.Plan(in))
		left = append(left, w.OwnedCount(0, s.Name))
	}
	require.Equal(t, 96, left[0])
	require.InDelta(t, 96-2*9, left[1], 2, "the first step adds 60 requests a second to each endpoint")
	require.Greater(t, left[2], 0)
	require.Zero(t, left[5])
}

// A server that fails repeatedly must not get its shards back each time.
func TestFlappingIsDamped(t *testing.T) {
	s := newService(pollenlatch.Weights{})
	var p plan.Planner
	w := newAssignedWorld(t, &p, s, 8)
	in := pollenlatch.PlanInput{View: w, Loads: evenLoads(8, 100), Now: second}
	for range 3 {
		w.Expire(5)
		in.Now += second
		applyMoves(w, p.Plan(in))
		w.Rejoin(5)
		in.Now += second
		applyMoves(w, p.Plan(in))
	}
	for range 30 {
		in.Now += second
		applyMoves(w, p.Plan(in))
	}
	require.Zero(t, w.OwnedCount(5, s.Name), "damped")
	in.Now += 600 * second
	l := evenLoads(8, 100)
	l[5] = pollenlatch.Load{}
	in.Loads = l
	require.NotEmpty(t, p.Plan(in), "the penalty has decayed")
}

// hotKeyLoads returns load reports in which endpoint 1 is overloaded by one range
// with a hot key, and that range.
func hotKeyLoads(s pollenlatch.Service, rangeRate, keyRate float64) (map[pollenlatch.InstanceID]pollenlatch.Load, pollenlatch.Range) {
	keyRange := pollenlatch.RangeOf(s.Name, "a", s.RangeBits)
	l := evenLoads(8, 100)
	l[1] = pollenlatch.Load{
		Rate:    300,
		Ranges:  []pollenlatch.RangeLoad{{Service: s.Name, Range: keyRange, Rate: rangeRate}},
		HotKeys: []pollenlatch.HotKey{{Service: s.Name, Key: "a", Rate: keyRate}},
	}
	return l, keyRange
}

// A hot key that could only move with its range would take other keys along. If a
// hot key kept its owner record for ever, no records would be left for others.
func TestHotKey(t *testing.T) {
	s := newService(pollenlatch.Weights{})
	setup := func(t *testing.T) (*plan.Planner, *trial.State, pollenlatch.PlanInput, pollenlatch.Range) {
		t.Helper()
		p := &plan.Planner{}
		w := newAssignedWorld(t, p, s, 8)
		loads, keyRange := hotKeyLoads(s, 60, 25)
		w.Assign(pollenlatch.Shard{Service: s.Name, Range: keyRange}, 1)
		return p, w, pollenlatch.PlanInput{View: w, Loads: loads, Now: 100 * second}, keyRange
	}
	t.Run("moves alone", func(t *testing.T) {
		p, w, in, keyRange := setup(t)
		moves := p.Plan(in)
		require.NotEmpty(t, moves)
		o, _ := w.ShardOwner(pollenlatch.Shard{Service: s.Name, Range: keyRange})
		require.Equal(t, pollenlatch.Shard{Service: s.Name, Range: keyRange, Key: "a"}, moves[0].Shard)
		require.Equal(t, o.Fence, moves[0].Fence, "the range is frozen for it")
		for _, m := range moves[1:] {
			require.NotEqual(t, keyRange, m.Range)
		}
	})
	t.Run("returns to its range", func(t *testing.T) {
		p, w, in, keyRange := setup(t)
		key := pollenlatch.Shard{Service: s.Name, Range: keyRange, Key: "a"}
		w.Assign(key, 2)
		in.Loads = evenLoads(8, 100)
		l := in.Loads[2]
		l.HotKeys = []pollenlatch.HotKey{{Service: s.Name, Key: "a", Rate: 25}}
		in.Loads[2] = l
		require.Empty(t, p.Plan(in), "still hot")
		l.HotKeys = nil
		in.Loads[2] = l
		in.Now += 5 * second
		moves := p.Plan(in)
		require.Len(t, moves, 1)
		o, _ := w.ShardOwner(key)
		require.Equal(t, pollenlatch.Move{
			Shard: key, From: 2, Fence: o.Fence, Reason: moves[0].Reason, Cost: moves[0].Cost,
		}, moves[0])
	})
}

// Waiting for the restart of an owner costs availability, and not waiting costs
// churn. The weights of the service decide.
func TestGracefulRestart(t *testing.T) {
	for _, c := range []struct {
		name string
		w    pollenlatch.Weights
		wait int // seconds
	}{
		{"churn weighs more", pollenlatch.Weights{Imbalance: 1, Churn: 5, Unavailable: 1}, 2},
		{"unavailable time weighs more", pollenlatch.Weights{Imbalance: 1, Churn: 1, Unavailable: 5}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newService(c.w)
			p := plan.New(plan.Settings{RestartTime: time.Second})
			w := newAssignedWorld(t, p, s, 8)
			in := pollenlatch.PlanInput{View: w, Now: 100 * second}
			p.Plan(in)
			w.Announce(3, true, true)
			in.Now += second
			require.Equal(t, c.wait > 0, len(p.Plan(in)) == 0, "while it drains")
			w.Expire(3)
			for range c.wait {
				in.Now += second
				require.Empty(t, p.Plan(in))
			}
			in.Now += second
			moves := p.Plan(in)
			require.Len(t, moves, 16, "then its shards are assigned to others")
		})
	}
}

// One server that reports wrong rates must not cause moves.
func TestMisscaledReports(t *testing.T) {
	s := newService(pollenlatch.Weights{})
	report := func(w *trial.State, factor func(id pollenlatch.InstanceID, n int) float64) map[pollenlatch.InstanceID]pollenlatch.Load {
		loads := make(map[pollenlatch.InstanceID]pollenlatch.Load)
		for i := range 8 {
			id := pollenlatch.InstanceID(i + 1)
			var l pollenlatch.Load
			w.EachOwned(id, s.Name, func(o pollenlatch.Owner) bool {
				rate := 10 * factor(id, len(l.Ranges))
				l.Rate += rate
				l.Ranges = append(l.Ranges, pollenlatch.RangeLoad{Service: s.Name, Range: o.Range, Rate: rate})
				return true
			})
			loads[id] = l
		}
		return loads
	}
	for _, c := range []struct {
		name   string
		factor func(id pollenlatch.InstanceID, n int) float64
		moves  bool
	}{
		{"one reports wrong rates", func(id pollenlatch.InstanceID, _ int) float64 {
			if id == 4 {
				return 5
			}
			return 1.01
		}, false},
		{"all have more load", func(pollenlatch.InstanceID, int) float64 { return 5 }, false},
		{"some ranges are hot", func(id pollenlatch.InstanceID, n int) float64 {
			if id == 4 && n%2 == 0 {
				return 3
			}
			return 1.01
		}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			var p plan.Planner
			w := newAssignedWorld(t, &p, s, 8)
			in := pollenlatch.PlanInput{View: w, Now: 100 * second}
			in.Loads = report(w, func(pollenlatch.InstanceID, int) float64 { return 1 })
			require.Empty(t, p.Plan(in))
			in.Loads, in.Now = report(w, c.factor), in.Now+second
			require.Equal(t, c.moves, len(p.Plan(in)) > 0)
		})
	}
}

// plainView hides ShardLister and ChangeLister of a world.
type plainView struct{ pollenlatch.View }

// If the index missed a change, the planner would leave shards without an owner or
// move shards that have another owner. It must make the same plans when it scans
// the view.
func TestIndexFollowsTheView(t *testing.T) {
	s := newService(pollenlatch.Weights{})
	rnd := rand.New(rand.NewPCG(1, 1))
	var fast, slow plan.Planner
	w := trial.NewState(s)
	for range 6 {
		w.Join("dc", 10)
	}
	for i := range 300 {
		id := pollenlatch.InstanceID(1 + rnd.IntN(6))
		inst, _ := w.Instance(id)
		switch {
		case !inst.Alive():
			w.Rejoin(id)
		case rnd.IntN(3) == 0:
			w.Expire(id)
		case rnd.IntN(3) == 0:
			w.Announce(id, rnd.IntN(2) == 0, rnd.IntN(4) == 0)
		default:
			w.Assign(pollenlatch.Shard{Service: s.Name, Range: pollenlatch.RangeOf(s.Name, "k", s.RangeBits), Key: "k"}, id)
		}
		in := pollenlatch.PlanInput{View: w, Loads: evenLoads(6, rnd.Float64()*100), Now: pollenlatch.MonoTime(i) * second}
		want := slow.Plan(pollenlatch.PlanInput{View: plainView{w}, Loads: in.Loads, Now: in.Now})
		got := fast.Plan(in)
		require.Equal(t, want, got, "step %d", i)
		for _, m := range got {
			switch {
			case rnd.IntN(4) == 0: // the move is lost
			case m.From != 0 && m.To != 0:
				w.Freeze(m.Shard, m.To)
				if rnd.IntN(2) == 0 {
					w.Assign(m.Shard, m.To)
				}
			default:
				w.Assign(m.Shard, m.To)
			}
		}
	}
}

// Moving shards out of their data centre without need costs a second move to bring
// them back. A data centre that the service may not use must get no shards.
func TestDataCentres(t *testing.T) {
	s := newService(pollenlatch.Weights{})
	t.Run("same data centre first", func(t *testing.T) {
		var p plan.Planner
		w := newAssignedWorld(t, &p, s, 8)
		w.Expire(3)
		applyMoves(w, p.Plan(pollenlatch.PlanInput{View: w, Now: second}))
		local := w.OwnedCount(7, s.Name)
		for _, id := range []pollenlatch.InstanceID{1, 2, 4, 5, 6, 8} {
			n := w.OwnedCount(id, s.Name)
			require.GreaterOrEqual(t, local, n)
			require.InDelta(t, local, n, 3, "but not all of them")
		}
	})
	t.Run("not allowed", func(t *testing.T) {
		s := s
		s.DCs = []string{"dc0", "dc1"}
		var p plan.Planner
		w := newAssignedWorld(t, &p, s, 8)
		for _, id := range []pollenlatch.InstanceID{3, 4, 7, 8} {
			require.Zero(t, w.OwnedCount(id, s.Name))
		}
	})
}

// A target that responds with errors or has no capacity makes an overload worse.
func TestTargets(t *testing.T) {
	s := newService(pollenlatch.Weights{})
	t.Run("suspect server sheds", func(t *testing.T) {
		p := plan.New(plan.Settings{MaxHandOvers: 3})
		w := newAssignedWorld(t, p, s, 8)
		in := pollenlatch.PlanInput{View: w, Loads: evenLoads(8, 100), Now: 100 * second}
		in.Loads[2] = pollenlatch.Load{Rate: 100, Suspect: true}
		moves := p.Plan(in)
		require.Len(t, moves, 3)
		for _, m := range moves {
			require.Equal(t, pollenlatch.InstanceID(2), m.From)
		}
	})
	t.Run("half of the servers are suspect", func(t *testing.T) {
		var p plan.Planner
		w := newAssignedWorld(t, &p, s, 8)
		in := pollenlatch.PlanInput{View: w, Loads: evenLoads(8, 100), Now: 100 * second}
		for id := range 4 {
			in.Loads[pollenlatch.InstanceID(id+1)] = pollenlatch.Load{Rate: 100, Suspect: true}
		}
		require.Empty(t, p.Plan(in))
	})
	t.Run("more slots take more", func(t *testing.T) {
		var p plan.Planner
		w := trial.NewState(s)
		for _, slots := range []uint32{10, 10, 20} {
			w.Join("dc", slots)
		}
		applyMoves(w, p.Plan(pollenlatch.PlanInput{View: w}))
		require.InDelta(t, 64, w.OwnedCount(3, s.Name), 1)
	})
	t.Run("target of a hand-over drains", func(t *testing.T) {
		var p plan.Planner
		w := newAssignedWorld(t, &p, s, 8)
		shard := pollenlatch.Shard{Service: s.Name, Range: 5}
		o, _ := w.ShardOwner(shard)
		to := o.Instance%8 + 1
		w.Freeze(shard, to)
		w.Announce(to, true, true)
		moves := p.Plan(pollenlatch.PlanInput{View: w, Now: 100 * second})
		require.Equal(t, shard, moves[0].Shard)
		require.Equal(t, moves[0].From, moves[0].To, "cancelled")
	})
}

// A planner that reacts to random variation, or balances before the load is known,
// makes useless moves.
func TestNoBalancingWithoutSignificantLoad(t *testing.T) {
	s := newService(pollenlatch.Weights{})
	for _, c := range []struct {
		name  string
		rate  float64 // requests a second of all endpoints but the first
		first float64
		moves bool
	}{{"random variation", 10, 13, false}, {"hardly any load", 0.1, 1, false}, {"load", 1000, 1400, true}} {
		t.Run(c.name, func(t *testing.T) {
			var p plan.Planner
			w := newAssignedWorld(t, &p, s, 8)
			l := evenLoads(8, c.rate)
			l[1] = pollenlatch.Load{Rate: c.first}
			require.Equal(t, c.moves, len(p.Plan(pollenlatch.PlanInput{View: w, Loads: l, Now: 100 * second})) > 0)
		})
	}
	t.Run("new leader", func(t *testing.T) {
		var old, p plan.Planner
		w := newAssignedWorld(t, &old, s, 8)
		in := pollenlatch.PlanInput{View: w, Loads: map[pollenlatch.InstanceID]pollenlatch.Load{1: {Rate: 1000}}, Now: second}
		require.Empty(t, p.Plan(in), "only one endpoint has reported")
		in.Loads, in.Now = evenLoads(8, 1000), 7*second
		require.Empty(t, p.Plan(in))
	})
}

// If trackers of replaced instances were kept for ever, they would exhaust the
// leader's memory.
func TestReplacedInstancesAreForgotten(t *testing.T) {
	s := newService(pollenlatch.Weights{})
	var p plan.Planner
	w := newAssignedWorld(t, &p, s, 4)
	in := pollenlatch.PlanInput{View: w}
	for i := range 600 {
		in.Now += 60 * second
		id := w.Join("dc0", 10)
		p.Plan(in)
		w.Expire(id)
		in.Now += second
		p.Plan(in)
		require.LessOrEqual(t, p.NumTrackers(), 4+257+60, "after %d", i)
	}
	require.Less(t, p.NumTrackers(), 400)
}
