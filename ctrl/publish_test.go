package ctrl

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/lease"
)

// A request that is admitted by an old view, after the wait for the shard's requests
// has ended, would run concurrently with requests of the next owner.
func TestNoRequestAcquiredAfterShardIsIdle(t *testing.T) {
	s := newSettledSim(t, 8, 3, 2)
	n := s.nodes["d1"]
	control := &Control{Clock: nodeClock{n}}
	control.Publish(n.access)
	before := n.reducer.State()
	var o pollenlatch.Owner
	before.EachOwned(n.access.Self, "", func(x pollenlatch.Owner) bool { o = x; return false })
	require.NotZero(t, o.Instance)
	next, _ := before.InstanceByName("d2")
	freeze := pollenlatch.Command{Freeze: &pollenlatch.Freeze{Items: []pollenlatch.FreezeItem{{Shard: o.Shard, To: next.ID, ExpectedFence: o.Fence}}}}
	delta := &pollenlatch.Delta{From: before.Version(), Commands: []pollenlatch.Command{freeze}}
	idle := false
	for _, e := range n.reducer.Step(Received{Now: n.now(), From: s.leader().name, Message: &pollenlatch.Message{Delta: delta}}) {
		switch e := e.(type) {
		case Publish:
			control.Publish(e.Access)
		case AwaitIdle:
			control.AwaitIdle(e.Key, func() { idle = true })
			require.Equal(t, lease.Key{Shard: o.Shard, Fence: o.Fence}, e.Key)
			_, err := control.Acquire(o.Shard, o.Fence)
			require.Error(t, err, "a request was admitted after the wait has ended")
		}
	}
	require.True(t, idle)
}
