package ctrl

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// A request that never completes must not block the other requests of its shard: the
// hand-over is cancelled and the owner keeps the shard.
func TestOverdueHandOverIsCancelled(t *testing.T) {
	s := newSettledSim(t, 8, 3, 3)
	s.maxRequestTime = time.Hour
	n := s.nodes["d1"]
	owned := pollenlatch.Shard{}
	n.reducer.State().EachOwned(n.access.Self, "", func(o pollenlatch.Owner) bool {
		owned = o.Shard
		return false
	})
	before, _ := n.reducer.State().ShardOwner(owned)
	n.endpoint.Draining = true
	n.step(Announced{Now: s.now, Endpoint: n.endpoint})
	frozen := func() bool { o, _ := n.reducer.State().ShardOwner(owned); return o.Frozen() }
	require.True(t, s.advanceUntil(time.Second, frozen), "no hand-over has started")
	n.endpoint.Draining = false
	n.step(Announced{Now: s.now, Endpoint: n.endpoint})
	require.True(t, s.advanceUntil(maxHandOverTime+time.Second, func() bool { return !frozen() }), "the hand-over is not cancelled")
	after, _ := n.reducer.State().ShardOwner(owned)
	require.Equal(t, before.Instance, after.Instance)
	require.Greater(t, after.Fence, before.Fence, "a late release with the old fence would be accepted")
}

// An endpoint that is leaving must receive no new work, so a hand-over from it is not
// cancelled when a request takes long.
func TestOverdueHandOverFromLeavingEndpoint(t *testing.T) {
	s := newSettledSim(t, 8, 3, 3)
	s.maxRequestTime = time.Hour
	n := s.nodes["d1"]
	n.endpoint.Draining = true
	n.step(Announced{Now: s.now, Endpoint: n.endpoint})
	newWork := func() bool {
		state, unfrozen := n.reducer.State(), false
		state.EachOwned(n.access.Self, "", func(o pollenlatch.Owner) bool {
			unfrozen = unfrozen || !o.Frozen()
			return true
		})
		return unfrozen
	}
	require.True(t, s.advanceUntil(time.Second, func() bool { return !newWork() }), "no hand-over has started")
	require.False(t, s.advanceUntil(2*maxHandOverTime, newWork), "the leaving endpoint owns a shard again")
}

// The first assignment of a large service would exceed the limits of the log if it
// were one command.
func TestFirstAssignmentIsBatched(t *testing.T) {
	v := newSim(1, 1, 0, newPlanner).nodes["v1"].reducer.voter
	moves := make([]pollenlatch.Move, maxPlannedMoves)
	for i := range moves {
		moves[i] = pollenlatch.Move{Shard: pollenlatch.Shard{Service: "listing", Range: pollenlatch.Range(i)}, To: 1, Fence: 1}
	}
	items := 0
	for _, c := range v.moveCommands(moves) {
		b, err := pollenlatch.Encode(c)
		require.NoError(t, err)
		require.LessOrEqual(t, len(b), maxDeltaBytes, "a command exceeds the size of a delta")
		items += len(c.Assign.Items)
	}
	require.Equal(t, maxPlannedMoves, items)
}
