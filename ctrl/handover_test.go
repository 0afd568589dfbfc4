package ctrl

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// A request that never ends must not keep its shard's other requests waiting
// for ever: the hand-over is given up and the owner goes on.
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
	require.True(t, s.advanceUntil(time.Second, frozen), "no hand-over")
	n.endpoint.Draining = false
	n.step(Announced{Now: s.now, Endpoint: n.endpoint})
	require.True(t, s.advanceUntil(maxHandOverTime+time.Second, func() bool { return !frozen() }), "it is never given up")
	after, _ := n.reducer.State().ShardOwner(owned)
	require.Equal(t, before.Instance, after.Instance)
	require.Greater(t, after.Fence, before.Fence, "a late release of the old fence would still count")
}

// The first assignment of a large service passes the log's bounds when it is
// proposed as one command.
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
		require.LessOrEqual(t, len(b), maxDeltaBytes, "a command does not fit a delta")
		items += len(c.Assign.Items)
	}
	require.Equal(t, maxPlannedMoves, items)
}
