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

// recoveryTarget is the maximum time that a key may be without an owner after a loss,
// by the service-level target.
const recoveryTarget = time.Second

// inForceTarget is the maximum time from the acceptance of a ticket until it is in
// force everywhere, by the service-level target.
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

// newSettledSim returns a simulation in which the first ticket is accepted and all
// ranges have an owner.
func newSettledSim(t *testing.T, seed uint64, voters, daemons int) *sim {
	t.Helper()
	s := newSim(seed, voters, daemons, newPlanner)
	s.checkInvariants = func() { requireOneOwner(t, s) }
	require.True(t, s.advanceUntil(5*time.Second, func() bool { return s.leader() != nil }), "no leader")
	s.submit("v1", 1, testTicket(1, "first"))
	require.True(t, s.advanceUntil(5*time.Second, func() bool { return s.verdicts[1].Accepted }), "first ticket not accepted")
	require.True(t, s.advanceUntil(5*time.Second, s.allOwned), "some ranges have no owner")
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

// describeOwners returns the states and leases of several owners of a shard.
func (s *sim) describeOwners(sh pollenlatch.Shard, owners []string) string {
	var out string
	for _, name := range owners {
		n := s.nodes[name]
		o, _ := n.access.View.ShardOwner(sh)
		l, end := n.reducer.ownLease.Lease()
		out += fmt.Sprintf("%s: version %d, owner %+v, lease %d until %d, active lease %d, leader %v, term %d\n",
			name, n.access.View.Version(), o, l, end, n.reducer.activeLease, n.access.IsLeader, n.access.Term)
	}
	return out
}

// The keys of a lost instance must have new owners within the target, also when the
// instance led the group.
func TestLossRecoveryTime(t *testing.T) {
	const losses = 200
	var times []time.Duration
	for seed := uint64(1); len(times) < losses; seed++ {
		s := newSettledSim(t, seed, 3, 5)
		for range 10 {
			lost := s.nodes[s.names[s.rng.IntN(len(s.names))]]
			s.advance(time.Duration(s.rng.Int64N(int64(300 * time.Millisecond))))
			if leader := s.leader(); len(times)%4 == 0 && leader != nil {
				lost = leader
			}
			lostAt := s.now
			lost.kill()
			require.True(t, s.advanceUntil(5*time.Second, s.allOwned), "seed %d: some ranges have no owner after the loss of %s", seed, lost.name)
			times = append(times, s.now.Sub(lostAt))
			lost.start()
			s.advance(2 * time.Second)
		}
	}
	slices.Sort(times)
	t.Logf("%d losses: median %v, 99th percentile %v, maximum %v", len(times), times[len(times)/2], times[len(times)*99/100], times[len(times)-1])
	require.LessOrEqual(t, times[len(times)-1], recoveryTarget)
}

// A process that was paused for longer than its lease must not act as an owner when
// it resumes.
func TestPausedOwnerDoesNotAct(t *testing.T) {
	s := newSettledSim(t, 1, 3, 5)
	for _, name := range []string{"d1", "v2", s.leader().name} {
		t.Run(name, func(t *testing.T) {
			n := s.nodes[name]
			n.pause()
			s.advance(2 * s.timing.Lease)
			require.True(t, s.allOwned(), "some ranges of the paused process have no owner")
			n.resume()
			require.LessOrEqual(t, n.access.LeaseEnd, s.now, "the lease is still valid after the pause")
			s.advance(3 * time.Second)
			require.Greater(t, n.access.LeaseEnd, s.now, "the process did not join again")
		})
	}
}

// A partitioned leader that still considers itself the leader must not extend leases
// once another leader may be elected.
func TestPartitionedLeaderGrantsNoLeases(t *testing.T) {
	s := newSettledSim(t, 2, 3, 5)
	old := s.leader()
	s.isolate(old.name, true)
	require.True(t, s.advanceUntil(recoveryTarget, func() bool { l := s.leader(); return l != nil && l != old }), "no new leader")
	require.False(t, old.reducer.canGrant(), "the partitioned leader may still extend leases")
	require.True(t, s.advanceUntil(recoveryTarget, s.allOwned))
	s.advance(time.Minute)
	require.False(t, old.reducer.canGrant())
	s.isolate(old.name, false)
	leader := s.leader()
	s.advance(2 * time.Second)
	require.Same(t, leader, s.leader(), "the returning voter replaced a working leader")
}

// Operators who submit competing tickets, or the same ticket again, must get
// consistent verdicts.
func TestTicketVerdicts(t *testing.T) {
	s := newSettledSim(t, 3, 3, 3)
	decided := func(id uint64) func() bool {
		return func() bool { _, ok := s.verdicts[id]; return ok }
	}
	t.Run("competing tickets", func(t *testing.T) {
		s.submit("d1", 10, testTicket(2, "one"))
		s.submit("d2", 11, testTicket(2, "other"))
		require.True(t, s.advanceUntil(time.Second, func() bool { return decided(10)() && decided(11)() }))
		require.NotEqual(t, s.verdicts[10].Accepted, s.verdicts[11].Accepted, "not exactly one of the competing tickets was accepted")
	})
	t.Run("submitted again through another instance after the loss of the leader", func(t *testing.T) {
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
	t.Run("number is not the next one", func(t *testing.T) {
		s.submit("d1", 30, testTicket(9, "gap"))
		require.True(t, s.advanceUntil(time.Second, decided(30)))
		require.False(t, s.verdicts[30].Accepted)
		require.Equal(t, uint64(4), s.verdicts[30].Next)
	})
}

// A ticket is in force only when every daemon that may serve has received it. So a
// partitioned daemon must have stopped serving by then.
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

// A daemon that missed many changes must get them all, from a snapshot when the
// commands are no longer kept.
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
	for _, v := range s.voters { // restarted voters keep no commands from before their snapshots
		s.nodes[v.Name].kill()
		s.nodes[v.Name].start()
	}
	s.nodes["d2"].start()
	require.True(t, s.advanceUntil(5*time.Second, func() bool { return s.nodes["d2"].access.LeaseEnd > s.now }))
	require.Equal(t, uint64(301), s.nodes["d2"].reducer.State().NextTicket())
}

// A graceful shutdown must hand over all shards before the lease ends.
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

// Under any combination of faults each range must have at most one owner, and the
// deployment must recover when the faults end.
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

// injectFaults injects and ends random faults, for 8 s on average.
func (s *sim) injectFaults() {
	s.maxRequestTime = 200 * time.Millisecond
	for range 40 {
		s.injectFault()
		s.advance(time.Duration(s.rng.Int64N(int64(400 * time.Millisecond))))
	}
}

// The check for one owner must detect each injected fault in simulations of the same
// kind, since a check that cannot fail proves nothing.
func TestOwnerCheckDetectsInjectedFaults(t *testing.T) {
	const seeds = 200
	for _, c := range []struct {
		name   string
		faults injectedFaults
	}{
		{"no wait for leases after an election", injectedFaults{noElectionWait: true}},
		{"lease counted from the arrival of the reply", injectedFaults{leaseFromArrival: true}},
		{"no wait for requests in flight", injectedFaults{noIdleWait: true}},
		{"lease used before the state includes it", injectedFaults{activateEarly: true}},
		{"leases extended without a majority", injectedFaults{noQuorumCheck: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				s := newSettledSim(t, seed, 3+2*int(seed%2), 4)
				s.injected = c.faults
				for _, n := range s.nodes {
					n.reducer.injected = c.faults
				}
				detected := false
				s.checkInvariants = func() { detected = detected || s.hasTwoOwners() }
				s.injectFaults()
				if detected {
					t.Logf("detected at seed %d", seed)
					return
				}
			}
			t.Fatalf("not detected in %d seeds", seeds)
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

// injectFault injects or ends one random fault.
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
	case 5: // in one direction
		s.cutLinks[[2]string{n.name, s.names[s.rng.IntN(len(s.names))]}] = s.rng.IntN(2) == 0
	case 6:
		s.lossRate = s.rng.Float64() * 0.2
	case 7:
		s.duplicateRate = s.rng.Float64() * 0.2
	case 8: // messages arrive late and out of order
		s.maxExtraDelay[n.name] = time.Duration(s.rng.Int64N(int64(400 * time.Millisecond)))
	default: // the server starts or stops draining
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
