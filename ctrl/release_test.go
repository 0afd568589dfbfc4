package ctrl

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/lease"
	"pollenlatch/state"
)

// The release of a shard must wait for requests under older fences of the same owner.
// Otherwise they run concurrently with requests of the next owner.
func TestReleaseWaitsForOlderFence(t *testing.T) {
	s := new(state.State)
	apply := func(c pollenlatch.Command) {
		var res state.Result
		s, res = s.Apply(s.Version()+1, &c)
		require.Empty(t, res.Rejection)
	}
	apply(pollenlatch.Command{Ticket: &pollenlatch.Ticket{Number: 1, Spec: pollenlatch.Spec{Services: []pollenlatch.Service{{Name: "s", MaxRun: time.Second}}}}})
	apply(pollenlatch.Command{Join: &pollenlatch.Join{Name: "a", Incarnation: 1}})
	apply(pollenlatch.Command{Join: &pollenlatch.Join{Name: "b", Incarnation: 1}})
	shard := pollenlatch.Shard{Service: "s"}
	fence := func() pollenlatch.Fence { o, _ := s.ShardOwner(shard); return o.Fence }
	freeze := func(to pollenlatch.InstanceID) {
		apply(pollenlatch.Command{Freeze: &pollenlatch.Freeze{Items: []pollenlatch.FreezeItem{{Shard: shard, To: to, ExpectedFence: fence()}}}})
	}
	apply(pollenlatch.Command{Assign: &pollenlatch.Assign{Items: []pollenlatch.AssignItem{{Shard: shard, To: 1}}}})
	control := new(Control)
	publish := func() { control.Publish(Access{View: s, Self: 1, LeaseEnd: 1 << 60}) }
	publish()
	permit, err := control.Acquire(shard, fence())
	require.NoError(t, err)
	require.NoError(t, permit.Check()) // the request is sent to the server and runs
	freeze(2)
	freeze(1) // cancels the hand-over; the owner gets a new fence
	freeze(2) // starts the hand-over again
	publish()
	released := false
	control.AwaitIdle(lease.Key{Shard: shard, Fence: fence()}, func() { released = true })
	require.False(t, released, "the shard was released while one of its requests runs")
	permit.Release()
}

// A server that does not check fences may run requests until maxrun after its daemon's
// lease has ended. An earlier assignment would let two servers run requests of one key.
// A restart of the daemon must not end the hold-off.
func TestHoldOffOfUnfencedServer(t *testing.T) {
	const maxRun = 2 * time.Second // maxrun in ticketText
	for _, c := range []struct {
		name    string
		restart bool
	}{{"daemon stays down", false}, {"daemon restarts without its server", true}} {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(7, 3, 5, newPlanner)
			for _, n := range s.nodes {
				n.endpoint.Fenced = false
				n.step(Announced{Now: s.now, Endpoint: n.endpoint})
			}
			require.True(t, s.advanceUntil(5*time.Second, func() bool { return s.leader() != nil }))
			s.submit("v1", 1, testTicket(1, "first"))
			require.True(t, s.advanceUntil(10*time.Second, s.allOwned))
			s.advance(2 * time.Second)
			n := s.nodes["d1"]
			var owned []int
			for r := range simRanges {
				if s.owners(rangeShard(r))[0] == n.name {
					owned = append(owned, r)
				}
			}
			require.NotEmpty(t, owned)
			end := n.access.LeaseEnd
			n.kill()
			if c.restart {
				s.advance(s.timing.Lease)
				n.endpoint.Ready = false
				n.start()
			}
			s.checkInvariants = func() {
				for _, r := range owned {
					if s.now < end.Add(maxRun) {
						require.Empty(t, s.owners(rangeShard(r)), "the range has an owner before the deadline of the old server's requests")
					}
				}
			}
			require.True(t, s.advanceUntil(maxRun+s.timing.Lease+recoveryTarget, s.allOwned), "some ranges have no owner after the hold-off")
		})
	}
}
