package plan_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/plan"
	"pollenlatch/trial"
)

const rangeBits = 7

var second = pollenlatch.MonoTime(time.Second)

func newService(w pollenlatch.Weights) pollenlatch.Service {
	return pollenlatch.Service{Name: "listing", Keyed: true, RangeBits: rangeBits, Weights: w}
}

// newAssignedWorld returns a world of n endpoints in 4 data centres with all ranges
// assigned by the planner at time 0.
func newAssignedWorld(t *testing.T, p *plan.Planner, s pollenlatch.Service, n int) *trial.State {
	t.Helper()
	w := trial.NewState(s)
	for i := range n {
		w.Join(fmt.Sprintf("dc%d", i%4), 10)
	}
	applyMoves(w, p.Plan(pollenlatch.PlanInput{View: w}))
	require.Zero(t, w.OwnedCount(0, s.Name))
	return w
}

func applyMoves(w *trial.State, moves []pollenlatch.Move) {
	for _, m := range moves {
		w.Assign(m.Shard, m.To)
	}
}

// evenLoads returns load reports of r requests a second for each of n endpoints.
func evenLoads(n int, r float64) map[pollenlatch.InstanceID]pollenlatch.Load {
	l := make(map[pollenlatch.InstanceID]pollenlatch.Load)
	for i := range n {
		l[pollenlatch.InstanceID(i+1)] = pollenlatch.Load{Rate: r}
	}
	return l
}

// The shards of a lost endpoint are unavailable until they are assigned again, and
// overload another endpoint if that gets all of them.
func TestLoss(t *testing.T) {
	s := newService(pollenlatch.Weights{})
	t.Run("spread over the other endpoints", func(t *testing.T) {
		var p plan.Planner
		w := newAssignedWorld(t, &p, s, 8)
		w.Expire(3)
		moves := p.Plan(pollenlatch.PlanInput{View: w, Now: second})
		require.Len(t, moves, 16)
		applyMoves(w, moves)
		for id := range 8 {
			if id+1 != 3 {
				require.InDelta(t, 18.3, w.OwnedCount(pollenlatch.InstanceID(id+1), s.Name), 2)
			}
		}
	})
	t.Run("shards in hold-off wait", func(t *testing.T) {
		var p plan.Planner
		w := newAssignedWorld(t, &p, s, 8)
		w.Expire(3)
		in := pollenlatch.PlanInput{View: w, Withheld: pollenlatch.SetOf[pollenlatch.InstanceID](3), Now: second}
		require.Empty(t, p.Plan(in))
		w.Rejoin(3)
		moves := p.Plan(in)
		require.Len(t, moves, 16)
		for _, m := range moves {
			require.Equal(t, pollenlatch.InstanceID(3), m.To)
		}
	})
	t.Run("no endpoint left", func(t *testing.T) {
		var p plan.Planner
		w := newAssignedWorld(t, &p, s, 1)
		w.Expire(1)
		require.Empty(t, p.Plan(pollenlatch.PlanInput{View: w, Now: second}))
	})
}

// Too many hand-overs of a leaving endpoint at once delay the requests of all of its
// keys. Without any it would continue to receive requests.
func TestDrainIsBounded(t *testing.T) {
	s := newService(pollenlatch.Weights{})
	p := plan.New(plan.Settings{MaxDrainHandOvers: 5})
	w := newAssignedWorld(t, p, s, 8)
	w.Announce(2, true, true)
	in := pollenlatch.PlanInput{View: w, Now: second, HandOvers: map[pollenlatch.InstanceID]int{2: 2}}
	moves := p.Plan(in)
	require.Len(t, moves, 3)
	for _, m := range moves {
		require.Equal(t, pollenlatch.InstanceID(2), m.From)
		require.NotEqual(t, m.From, m.To)
		w.Freeze(m.Shard, m.To)
	}
	in.HandOvers[2] = 5
	require.Empty(t, p.Plan(in), "frozen shards are not moved again")
	w.Announce(moves[0].To, false, false)
	again := p.Plan(in)
	require.NotEmpty(t, again, "a hand-over to a lost target is cancelled")
	require.Equal(t, again[0].From, again[0].To)
}

// The shards of an evacuated data centre must move at once, also while its servers
// restart, and must be able to return afterwards: an evacuation is no fault of the
// endpoints, so it must not count against them.
func TestEvacuation(t *testing.T) {
	for _, restarts := range []bool{false, true} {
		t.Run(fmt.Sprintf("restarting %v", restarts), func(t *testing.T) {
			s := newService(pollenlatch.Weights{})
			var p plan.Planner
			w := newAssignedWorld(t, &p, s, 8)
			if restarts {
				w.Announce(1, true, true)
				w.Announce(5, true, true)
				p.Plan(pollenlatch.PlanInput{View: w, Now: second})
			}
			w.Evacuate("dc0", true) // endpoints 1 and 5
			owned := w.OwnedCount(1, s.Name) + w.OwnedCount(5, s.Name)
			moves := p.Plan(pollenlatch.PlanInput{View: w, Now: 2 * second})
			require.Len(t, moves, owned)
			for _, m := range moves {
				require.Contains(t, []pollenlatch.InstanceID{1, 5}, m.From)
				require.NotContains(t, []pollenlatch.InstanceID{1, 5}, m.To)
				require.NotContains(t, m.Reason, "leaving", "an evacuated server is reported as leaving")
			}
			applyMoves(w, moves)
			w.Rejoin(1)
			w.Rejoin(5)
			w.Evacuate("dc1", true) // endpoints 2 and 6
			applyMoves(w, p.Plan(pollenlatch.PlanInput{View: w, Now: 3 * second}))
			for _, id := range []pollenlatch.InstanceID{1, 2, 5, 6} {
				require.Zero(t, w.OwnedCount(id, s.Name), "endpoint %d", id)
			}
			for n := range 3 {
				w.Evacuate("dc0", n == 1)
				applyMoves(w, p.Plan(pollenlatch.PlanInput{View: w, Now: (4 + pollenlatch.MonoTime(n)) * second}))
			}
			w.Expire(3)
			moves = p.Plan(pollenlatch.PlanInput{View: w, Now: 8 * second})
			applyMoves(w, moves)
			require.Positive(t, w.OwnedCount(1, s.Name)+w.OwnedCount(5, s.Name), "the endpoints count as unreliable after their evacuation")
		})
	}
}

// Moves whose gain is below their cost are useless churn.
func TestBalanceHasHysteresis(t *testing.T) {
	s := newService(pollenlatch.Weights{Imbalance: 1, Churn: 5, Unavailable: 1})
	for _, c := range []struct {
		name  string
		rate  float64 // of endpoint 1; the others have 100
		moves bool
	}{{"even", 100, false}, {"below the threshold", 110, false}, {"overloaded", 200, true}} {
		t.Run(c.name, func(t *testing.T) {
			var p plan.Planner
			w := newAssignedWorld(t, &p, s, 8)
			l := evenLoads(8, 100)
			l[1] = pollenlatch.Load{Rate: c.rate}
			moves := p.Plan(pollenlatch.PlanInput{View: w, Loads: l, Now: 100 * second})
			require.Equal(t, c.moves, len(moves) > 0)
			for _, m := range moves {
				require.Equal(t, pollenlatch.InstanceID(1), m.From)
				require.Greater(t, m.Gain, 0.0)
			}
		})
	}
}

// If a plan depended on map order, two leaders would make different plans.
func TestPlanIsDeterministic(t *testing.T) {
	s := newService(pollenlatch.Weights{})
	run := func() []pollenlatch.Move {
		var p plan.Planner
		w := newAssignedWorld(t, &p, s, 9)
		l := evenLoads(9, 100)
		l[4] = pollenlatch.Load{Rate: 400, HotKeys: []pollenlatch.HotKey{{Service: s.Name, Key: "a", Rate: 90}}}
		w.Expire(2)
		return p.Plan(pollenlatch.PlanInput{View: w, Loads: l, Now: 100 * second})
	}
	first := run()
	require.NotEmpty(t, first)
	for range 5 {
		require.Equal(t, first, run())
	}
}
