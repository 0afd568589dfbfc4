package ctrl

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/plan"
)

const simRanges = 16

// recoveryTarget is the longest time that a key may be without an owner after a
// loss, by the users' target.
const recoveryTarget = time.Second

// inForceTarget is the longest time from accepting a ticket until it is in force
// everywhere, by the users' target.
const inForceTarget = 11 * time.Second

func newPlanner() pollenlatch.Planner { return plan.New(plan.Settings{}) }

func ticketText(number int, note string) string {
	return fmt.Sprintf("number: %d\n# %s\nservices:\n  - name: listing\n    keyed: true\n    ranges: %d\n    maxrun: 2s\n", number, note, simRanges)
}

func testTicket(number int, note string) pollenlatch.Ticket {
	return pollenlatch.Ticket{Number: uint64(number), Text: ticketText(number, note), Sender: "test"}
}

func rangeShard(r int) pollenlatch.Shard {
	return pollenlatch.Shard{Service: "listing", Range: pollenlatch.Range(r)}
}

// newSettledSim returns a deployment whose first ticket is in force and whose ranges
// all have an owner.
func newSettledSim(t *testing.T, seed uint64, voters, daemons int) *sim {
	t.Helper()
	s := newSim(seed, voters, daemons, newPlanner)
	s.checkInvariants = func() { requireOneOwner(t, s) }
	require.True(t, s.advanceUntil(5*time.Second, func() bool { return s.leader() != nil }), "no leader")
	s.submit("v1", 1, testTicket(1, "first"))
	require.True(t, s.advanceUntil(5*time.Second, func() bool { return s.verdicts[1].Accepted }), "first ticket not accepted")
	require.True(t, s.advanceUntil(5*time.Second, s.allOwned), "ranges without owner")
	s.advance(2 * time.Second)
	return s
}

func (s *sim) allOwned() bool {
	for r := range simRanges {
		if len(s.owners(rangeShard(r))) != 1 {
			return false
		}
	}
	return true
}

func requireOneOwner(t *testing.T, s *sim) {
	t.Helper()
	for r := range simRanges {
		if o := s.owners(rangeShard(r)); len(o) > 1 {
			require.Failf(t, "two owners", "range %d is owned by %v at %v\n%s", r, o, s.now, s.describeOwners(rangeShard(r), o))
		}
	}
}

// describeOwners tells what the owners of a shard hold to be true.
func (s *sim) describeOwners(sh pollenlatch.Shard, owners []string) string {
	var out string
	for _, name := range owners {
		n := s.nodes[name]
		o, _ := n.access.View.ShardOwner(sh)
		l, end := n.reducer.ownLease.Lease()
		out += fmt.Sprintf("%s: version %d, owner %+v, lease %d until %d, joined %d, leads %v term %d\n",
			name, n.access.View.Version(), o, l, end, n.reducer.activeLease, n.access.IsLeader, n.access.Term)
	}
	return out
}

// A lost instance must not leave its keys without service for longer than the
// users' target, also when it leads the group.
func TestLossRecoveryTime(t *testing.T) {
	const losses = 200
	var times []time.Duration
	for seed := uint64(1); len(times) < losses; seed++ {
		s := newSettledSim(t, seed, 3, 5)
		for range 10 {
			victim := s.nodes[s.names[s.rng.IntN(len(s.names))]]
			s.advance(time.Duration(s.rng.Int64N(int64(300 * time.Millisecond))))
			if leader := s.leader(); len(times)%4 == 0 && leader != nil {
				victim = leader
			}
			lostAt := s.now
			victim.kill()
			require.True(t, s.advanceUntil(5*time.Second, s.allOwned), "seed %d: ranges stay without owner after losing %s", seed, victim.name)
			times = append(times, s.now.Sub(lostAt))
			victim.start()
			s.advance(2 * time.Second)
		}
	}
	slices.Sort(times)
	t.Logf("%d losses: median %v, 99th percentile %v, maximum %v", len(times), times[len(times)/2], times[len(times)*99/100], times[len(times)-1])
	require.LessOrEqual(t, times[len(times)-1], recoveryTarget)
}

// A process that was paused for longer than its lease must not act as an owner
// when it goes on.
func TestPausedOwnerDoesNotAct(t *testing.T) {
	s := newSettledSim(t, 1, 3, 5)
	for _, name := range []string{"d1", "v2", s.leader().name} {
		t.Run(name, func(t *testing.T) {
			n := s.nodes[name]
			n.pause()
			s.advance(2 * s.timing.Lease)
			require.True(t, s.allOwned(), "ranges of the paused process stay without owner")
			n.resume()
			require.LessOrEqual(t, n.access.LeaseEnd, s.now, "the lease outlived the pause")
			s.advance(3 * time.Second)
			require.Greater(t, n.access.LeaseEnd, s.now, "it did not join again")
		})
	}
}

// A leader that is cut off and still believes that it leads must grant nothing
// once its successor may act.
func TestPartitionedLeaderGrantsNoLeases(t *testing.T) {
	s := newSettledSim(t, 2, 3, 5)
	old := s.leader()
	s.isolate(old.name, true)
	require.True(t, s.advanceUntil(recoveryTarget, func() bool { l := s.leader(); return l != nil && l != old }), "no new leader")
	require.False(t, old.reducer.canGrant(), "the cut-off leader still grants")
	require.True(t, s.advanceUntil(recoveryTarget, s.allOwned))
	s.advance(time.Minute)
	require.False(t, old.reducer.canGrant())
	s.isolate(old.name, false)
	leader := s.leader()
	s.advance(2 * time.Second)
	require.Same(t, leader, s.leader(), "the returning voter unseated a working leader")
}

// Operators who race or resend must get one answer for each ticket.
func TestTicketVerdicts(t *testing.T) {
	s := newSettledSim(t, 3, 3, 3)
	decided := func(id uint64) func() bool {
		return func() bool { _, ok := s.verdicts[id]; return ok }
	}
	t.Run("race", func(t *testing.T) {
		s.submit("d1", 10, testTicket(2, "one"))
		s.submit("d2", 11, testTicket(2, "other"))
		require.True(t, s.advanceUntil(time.Second, func() bool { return decided(10)() && decided(11)() }))
		require.NotEqual(t, s.verdicts[10].Accepted, s.verdicts[11].Accepted, "not exactly one winner")
	})
	t.Run("resent to another instance after the leader was lost", func(t *testing.T) {
		s.submit("d1", 20, testTicket(3, "resent"))
		require.True(t, s.advanceUntil(time.Second, decided(20)))
		leader := s.leader()
		leader.kill()
		s.submit("d3", 21, testTicket(3, "resent"))
		require.True(t, s.advanceUntil(2*time.Second, decided(21)))
		require.Equal(t, s.verdicts[20], s.verdicts[21])
		leader.start()
		s.advance(2 * time.Second)
		s.submit(leader.name, 22, testTicket(3, "resent"))
		require.True(t, s.advanceUntil(2*time.Second, decided(22)))
		require.Equal(t, s.verdicts[20], s.verdicts[22])
	})
	t.Run("gap", func(t *testing.T) {
		s.submit("d1", 30, testTicket(9, "gap"))
		require.True(t, s.advanceUntil(time.Second, decided(30)))
		require.False(t, s.verdicts[30].Accepted)
		require.Equal(t, uint64(4), s.verdicts[30].Next)
	})
}

// A ticket counts as in force only when every daemon that may serve holds it,
// so a daemon that was cut off must have stopped serving by then.
func TestInForceVersion(t *testing.T) {
	s := newSettledSim(t, 4, 3, 5)
	s.isolate("d1", true)
	s.submit("d2", 10, testTicket(2, "change"))
	require.True(t, s.advanceUntil(time.Second, func() bool { return s.verdicts[10].Accepted }))
	acceptedAt := s.now
	want := s.verdicts[10].Version
	require.True(t, s.advanceUntil(inForceTarget, func() bool { return s.nodes["d2"].access.InForce >= want }))
	t.Logf("in force %v after it was accepted", s.now.Sub(acceptedAt))
	for _, name := range s.names {
		n := s.nodes[name]
		require.True(t, n.access.LeaseEnd <= s.now || n.access.View.Version() >= want, "%s serves without the ticket", name)
	}
}

// A daemon that slept through many changes must get them all, from a snapshot
// when the commands are no longer kept.
func TestDaemonCatchesUpFromSnapshot(t *testing.T) {
	s := newSim(5, 3, 2, newPlanner)
	s.compactAfter = 50
	for _, name := range s.names {
		s.nodes[name].kill()
		s.nodes[name].start()
	}
	require.True(t, s.advanceUntil(5*time.Second, func() bool { return s.leader() != nil }))
	s.nodes["d2"].kill()
	for i := 1; i <= 300; i++ {
		s.submit("v1", uint64(i), testTicket(i, "many"))
		require.True(t, s.advanceUntil(2*time.Second, func() bool { return s.verdicts[uint64(i)].Accepted }), "ticket %d", i)
	}
	for _, v := range s.voters { // the voters forget the commands that their snapshots hold
		s.nodes[v.Name].kill()
		s.nodes[v.Name].start()
	}
	s.nodes["d2"].start()
	require.True(t, s.advanceUntil(5*time.Second, func() bool { return s.nodes["d2"].access.LeaseEnd > s.now }))
	require.Equal(t, uint64(301), s.nodes["d2"].reducer.State().NextTicket())
}

// A graceful shutdown hands everything over before the lease ends.
func TestDrainHandsOverShards(t *testing.T) {
	s := newSettledSim(t, 6, 3, 5)
	s.maxRequestTime = 300 * time.Millisecond
	n := s.nodes["d1"]
	n.step(DrainRequested{Now: s.now})
	require.True(t, s.advanceUntil(s.timing.Drain, func() bool { return n.drained }))
	for r := range simRanges {
		require.NotContains(t, s.owners(rangeShard(r)), "d1")
	}
	n.step(LeaveRequested{Now: s.now})
	require.True(t, s.advanceUntil(time.Second, func() bool { return n.left }))
	require.True(t, s.allOwned())
}

// Any mix of faults must leave every range with at most one owner, and the
// deployment must recover once the faults end.
func TestAtMostOneOwnerUnderFaults(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSettledSim(t, seed, 3+2*int(seed%2), 4)
			s.injectFaults()
			s.endFaults()
			require.True(t, s.advanceUntil(10*time.Second, s.allOwned), "the deployment does not recover")
		})
	}
}

// injectFaults lets random faults come and go.
func (s *sim) injectFaults() {
	s.maxRequestTime = 200 * time.Millisecond
	for range 40 {
		s.injectFault()
		s.advance(time.Duration(s.rng.Int64N(int64(400 * time.Millisecond))))
	}
}

// A check that cannot fail proves nothing: each broken rule must be noticed
// within the same kind of runs.
func TestOwnerCheckDetectsInjectedFaults(t *testing.T) {
	const seeds = 200
	for _, c := range []struct {
		name   string
		broken injectedFaults
	}{
		{"no wait after an election", injectedFaults{noElectionWait: true}},
		{"lease counted from the arrival", injectedFaults{leaseFromArrival: true}},
		{"no wait for requests in flight", injectedFaults{noIdleWait: true}},
		{"lease used before the log", injectedFaults{activateEarly: true}},
		{"grants without asking a majority", injectedFaults{noQuorumCheck: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				s := newSettledSim(t, seed, 3+2*int(seed%2), 4)
				s.injected = c.broken
				for _, n := range s.nodes {
					n.reducer.injected = c.broken
				}
				detected := false
				s.checkInvariants = func() { detected = detected || s.hasTwoOwners() }
				s.injectFaults()
				if detected {
					t.Logf("noticed at seed %d", seed)
					return
				}
			}
			t.Fatalf("not noticed in %d seeds", seeds)
		})
	}
}

func (s *sim) hasTwoOwners() bool {
	for r := range simRanges {
		if len(s.owners(rangeShard(r))) > 1 {
			return true
		}
	}
	return false
}

// injectFault breaks or repairs one thing at random.
func (s *sim) injectFault() {
	n := s.nodes[s.names[s.rng.IntN(len(s.names))]]
	switch s.rng.IntN(11) {
	case 0:
		n.kill()
	case 1:
		if !n.up {
			n.start()
		}
	case 2:
		n.pause()
	case 3:
		if n.paused {
			n.resume()
		}
	case 4:
		s.isolate(n.name, s.rng.IntN(2) == 0)
	case 5: // one way
		s.cutLinks[[2]string{n.name, s.names[s.rng.IntN(len(s.names))]}] = s.rng.IntN(2) == 0
	case 6:
		s.lossRate = s.rng.Float64() * 0.2
	case 7:
		s.duplicateRate = s.rng.Float64() * 0.2
	case 8: // late and out of order
		s.maxExtraDelay[n.name] = time.Duration(s.rng.Int64N(int64(400 * time.Millisecond)))
	default: // the server leaves, or is back
		n.endpoint.Draining = !n.endpoint.Draining
		n.deliverEvent(n.processEpoch, func() Event { return Announced{Now: s.now, Endpoint: n.endpoint} })
	}
}

func (s *sim) endFaults() {
	clear(s.cutLinks)
	clear(s.maxExtraDelay)
	s.lossRate, s.duplicateRate = 0, 0
	for _, name := range s.names {
		n := s.nodes[name]
		n.endpoint.Draining = false
		n.deliverEvent(n.processEpoch, func() Event { return Announced{Now: s.now, Endpoint: n.endpoint} })
		if n.paused {
			n.resume()
		}
		if !n.up {
			n.start()
		}
	}
}
