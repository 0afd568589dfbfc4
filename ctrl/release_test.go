package ctrl

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/lease"
	"pollenlatch/state"
)

// A request that runs under an older fence of the same owner holds up the
// release of the shard; otherwise it runs beside the next owner's requests.
func TestReleaseWaitsForOlderFence(t *testing.T) {
	s := new(state.State)
	do := func(c pollenlatch.Command) {
		var res state.Result
		s, res = s.Apply(s.Version()+1, &c)
		require.Empty(t, res.Rejection)
	}
	do(pollenlatch.Command{Ticket: &pollenlatch.Ticket{Number: 1, Spec: pollenlatch.Spec{Services: []pollenlatch.Service{{Name: "s", MaxRun: time.Second}}}}})
	do(pollenlatch.Command{Join: &pollenlatch.Join{Name: "a", Incarnation: 1}})
	do(pollenlatch.Command{Join: &pollenlatch.Join{Name: "b", Incarnation: 1}})
	p := pollenlatch.Shard{Service: "s"}
	fence := func() pollenlatch.Fence { o, _ := s.ShardOwner(p); return o.Fence }
	freeze := func(to pollenlatch.InstanceID) {
		do(pollenlatch.Command{Freeze: &pollenlatch.Freeze{Items: []pollenlatch.FreezeItem{{Shard: p, To: to, ExpectedFence: fence()}}}})
	}
	do(pollenlatch.Command{Assign: &pollenlatch.Assign{Items: []pollenlatch.AssignItem{{Shard: p, To: 1}}}})
	d := new(Control)
	publish := func() { d.Publish(Access{View: s, Self: 1, LeaseEnd: 1 << 60}) }
	publish()
	pass, err := d.Acquire(p, fence())
	require.NoError(t, err)
	require.NoError(t, pass.Check()) // the request is written to the server and runs
	freeze(2)
	freeze(1) // cancelled: the same owner has a new fence
	freeze(2) // and the hand-over starts again
	publish()
	released := false
	d.AwaitIdle(lease.Key{Shard: p, Fence: fence()}, func() { released = true })
	require.False(t, released, "the shard is released while a request of it runs")
	pass.Release()
}

// A server that does not check fences may run what it was given until maxrun
// after its daemon's lease: another owner before that would act beside it. A
// daemon that starts again in between does not end the wait.
func TestUnfencedServerIsWaitedFor(t *testing.T) {
	const maxRun = 2 * time.Second // of the test ticket
	for _, c := range []struct {
		name    string
		restart bool
	}{{"daemon stays away", false}, {"daemon starts again without its server", true}} {
		t.Run(c.name, func(t *testing.T) {
			s := newSim(7, 3, 5, newPlanner)
			for _, n := range s.nodes {
				n.facts.Fenced = false
				n.step(Announced{Now: s.now, Endpoint: n.facts})
			}
			require.True(t, s.until(5*time.Second, func() bool { return s.leader() != nil }))
			s.submit("v1", 1, ticketOf(1, "first"))
			require.True(t, s.until(10*time.Second, s.allOwned))
			s.run(2 * time.Second)
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
				s.run(s.timing.Lease)
				n.facts.Ready = false
				n.start()
			}
			s.check = func() {
				for _, r := range owned {
					if s.now < end.Add(maxRun) {
						require.Empty(t, s.owners(rangeShard(r)), "another owner before the old server's deadline")
					}
				}
			}
			require.True(t, s.until(maxRun+s.timing.Lease+lossTarget, s.allOwned), "ranges stay without owner")
		})
	}
}
