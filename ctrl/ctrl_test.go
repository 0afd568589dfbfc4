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

// lossTarget is the longest time that a key may be without an owner after a
// loss, by the users' target.
const lossTarget = time.Second

// forceTarget is the longest time from accepting a ticket until it is in force
// everywhere, by the users' target.
const forceTarget = 11 * time.Second

func newPlanner() pollenlatch.Planner { return plan.New(plan.Settings{}) }

func ticketText(number int, note string) string {
	return fmt.Sprintf("number: %d\n# %s\nservices:\n  - name: listing\n    keyed: true\n    ranges: %d\n    maxrun: 2s\n", number, note, simRanges)
}

func ticketOf(number int, note string) pollenlatch.Ticket {
	return pollenlatch.Ticket{Number: uint64(number), Text: ticketText(number, note), Sender: "test"}
}

func rangeShard(r int) pollenlatch.Shard {
	return pollenlatch.Shard{Service: "listing", Range: pollenlatch.Range(r)}
}

// settled returns a deployment whose first ticket is in force and whose ranges
// all have an owner.
func settled(t *testing.T, seed uint64, voters, daemons int) *sim {
	t.Helper()
	s := newSim(seed, voters, daemons, newPlanner)
	s.check = func() { requireOneOwner(t, s) }
	require.True(t, s.until(5*time.Second, func() bool { return s.leader() != nil }), "no leader")
	s.submit("v1", 1, ticketOf(1, "first"))
	require.True(t, s.until(5*time.Second, func() bool { return s.verdicts[1].Accepted }), "first ticket not accepted")
	require.True(t, s.until(5*time.Second, s.allOwned), "ranges without owner")
	s.run(2 * time.Second)
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
			require.Failf(t, "two owners", "range %d is owned by %v at %v\n%s", r, o, s.now, s.explain(rangeShard(r), o))
		}
	}
}

// explain tells what the owners of a shard hold to be true.
func (s *sim) explain(sh pollenlatch.Shard, owners []string) string {
	var out string
	for _, name := range owners {
		n := s.nodes[name]
		o, _ := n.access.View.ShardOwner(sh)
		l, end := n.r.held.Lease()
		out += fmt.Sprintf("%s: version %d, owner %+v, lease %d until %d, joined %d, leads %v term %d\n",
			name, n.access.View.Version(), o, l, end, n.r.joined, n.access.IsLeader, n.access.Term)
	}
	return out
}

// A lost instance must not leave its keys without service for longer than the
// users' target, also when it leads the group.
func TestLossIsRepairedInTime(t *testing.T) {
	const losses = 200
	var all []time.Duration
	for seed := uint64(1); len(all) < losses; seed++ {
		s := settled(t, seed, 3, 5)
		for range 10 {
			victim := s.nodes[s.order[s.rng.IntN(len(s.order))]]
			s.run(time.Duration(s.rng.Int64N(int64(300 * time.Millisecond))))
			if leader := s.leader(); len(all)%4 == 0 && leader != nil {
				victim = leader
			}
			lost := s.now
			victim.kill()
			require.True(t, s.until(5*time.Second, s.allOwned), "seed %d: ranges stay without owner after losing %s", seed, victim.name)
			all = append(all, s.now.Sub(lost))
			victim.start()
			s.run(2 * time.Second)
		}
	}
	slices.Sort(all)
	t.Logf("%d losses: median %v, 99th percentile %v, maximum %v", len(all), all[len(all)/2], all[len(all)*99/100], all[len(all)-1])
	require.LessOrEqual(t, all[len(all)-1], lossTarget)
}

// A process that was paused for longer than its lease must not act as an owner
// when it goes on.
func TestPausedOwnerDoesNotAct(t *testing.T) {
	s := settled(t, 1, 3, 5)
	for _, name := range []string{"d1", "v2", s.leader().name} {
		t.Run(name, func(t *testing.T) {
			n := s.nodes[name]
			n.pause()
			s.run(2 * s.timing.Lease)
			require.True(t, s.allOwned(), "ranges of the paused process stay without owner")
			n.resume()
			require.LessOrEqual(t, n.access.LeaseEnd, s.now, "the lease outlived the pause")
			s.run(3 * time.Second)
			require.Greater(t, n.access.LeaseEnd, s.now, "it did not join again")
		})
	}
}

// A leader that is cut off and still believes that it leads must grant nothing
// once its successor may act.
func TestCutOffLeaderGrantsNothing(t *testing.T) {
	s := settled(t, 2, 3, 5)
	old := s.leader()
	s.isolate(old.name, true)
	require.True(t, s.until(lossTarget, func() bool { l := s.leader(); return l != nil && l != old }), "no new leader")
	require.False(t, old.r.canGrant(), "the cut-off leader still grants")
	require.True(t, s.until(lossTarget, s.allOwned))
	s.run(time.Minute)
	require.False(t, old.r.canGrant())
	s.isolate(old.name, false)
	leader := s.leader()
	s.run(2 * time.Second)
	require.Same(t, leader, s.leader(), "the returning voter unseated a working leader")
}

// Operators who race or resend must get one answer for each ticket.
func TestTickets(t *testing.T) {
	s := settled(t, 3, 3, 3)
	decided := func(id uint64) func() bool {
		return func() bool { _, ok := s.verdicts[id]; return ok }
	}
	t.Run("race", func(t *testing.T) {
		s.submit("d1", 10, ticketOf(2, "one"))
		s.submit("d2", 11, ticketOf(2, "other"))
		require.True(t, s.until(time.Second, func() bool { return decided(10)() && decided(11)() }))
		require.NotEqual(t, s.verdicts[10].Accepted, s.verdicts[11].Accepted, "not exactly one winner")
	})
	t.Run("resent to another instance after the leader was lost", func(t *testing.T) {
		s.submit("d1", 20, ticketOf(3, "resent"))
		require.True(t, s.until(time.Second, decided(20)))
		leader := s.leader()
		leader.kill()
		s.submit("d3", 21, ticketOf(3, "resent"))
		require.True(t, s.until(2*time.Second, decided(21)))
		require.Equal(t, s.verdicts[20], s.verdicts[21])
		leader.start()
		s.run(2 * time.Second)
		s.submit(leader.name, 22, ticketOf(3, "resent"))
		require.True(t, s.until(2*time.Second, decided(22)))
		require.Equal(t, s.verdicts[20], s.verdicts[22])
	})
	t.Run("gap", func(t *testing.T) {
		s.submit("d1", 30, ticketOf(9, "gap"))
		require.True(t, s.until(time.Second, decided(30)))
		require.False(t, s.verdicts[30].Accepted)
		require.Equal(t, uint64(4), s.verdicts[30].Next)
	})
}

// A ticket counts as in force only when every daemon that may serve holds it,
// so a daemon that was cut off must have stopped serving by then.
func TestInForceEverywhere(t *testing.T) {
	s := settled(t, 4, 3, 5)
	s.isolate("d1", true)
	s.submit("d2", 10, ticketOf(2, "change"))
	require.True(t, s.until(time.Second, func() bool { return s.verdicts[10].Accepted }))
	accepted := s.now
	want := s.verdicts[10].Version
	require.True(t, s.until(forceTarget, func() bool { return s.nodes["d2"].access.InForce >= want }))
	t.Logf("in force %v after it was accepted", s.now.Sub(accepted))
	for _, name := range s.order {
		n := s.nodes[name]
		require.True(t, n.access.LeaseEnd <= s.now || n.access.View.Version() >= want, "%s serves without the ticket", name)
	}
}

// A daemon that slept through many changes must get them all, from a snapshot
// when the commands are no longer kept.
func TestDaemonCatchesUpFromSnapshot(t *testing.T) {
	s := newSim(5, 3, 2, newPlanner)
	s.compact = 50
	for _, name := range s.order {
		s.nodes[name].kill()
		s.nodes[name].start()
	}
	require.True(t, s.until(5*time.Second, func() bool { return s.leader() != nil }))
	s.nodes["d2"].kill()
	for i := 1; i <= 300; i++ {
		s.submit("v1", uint64(i), ticketOf(i, "many"))
		require.True(t, s.until(2*time.Second, func() bool { return s.verdicts[uint64(i)].Accepted }), "ticket %d", i)
	}
	for _, v := range s.voters { // the voters forget the commands that their snapshots hold
		s.nodes[v.Name].kill()
		s.nodes[v.Name].start()
	}
	s.nodes["d2"].start()
	require.True(t, s.until(5*time.Second, func() bool { return s.nodes["d2"].access.LeaseEnd > s.now }))
	require.Equal(t, uint64(301), s.nodes["d2"].r.State().NextTicket())
}

// A graceful shutdown hands everything over before the lease ends.
func TestDrainHandsOver(t *testing.T) {
	s := settled(t, 6, 3, 5)
	s.work = 300 * time.Millisecond
	n := s.nodes["d1"]
	n.step(DrainRequested{Now: s.now})
	require.True(t, s.until(s.timing.Drain, func() bool { return n.drained }))
	for r := range simRanges {
		require.NotContains(t, s.owners(rangeShard(r)), "d1")
	}
	n.step(LeaveRequested{Now: s.now})
	require.True(t, s.until(time.Second, func() bool { return n.left }))
	require.True(t, s.allOwned())
}

// Any mix of faults must leave every range with at most one owner, and the
// deployment must recover once the faults end.
func TestFaultsKeepOneOwner(t *testing.T) {
	for seed := uint64(1); seed <= 30; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := settled(t, seed, 3+2*int(seed%2), 4)
			s.disturb()
			s.heal()
			require.True(t, s.until(10*time.Second, s.allOwned), "the deployment does not recover")
		})
	}
}

// disturb lets random faults come and go.
func (s *sim) disturb() {
	s.work = 200 * time.Millisecond
	for range 40 {
		s.fault()
		s.run(time.Duration(s.rng.Int64N(int64(400 * time.Millisecond))))
	}
}

// A check that cannot fail proves nothing: each broken rule must be noticed
// within the same kind of runs.
func TestBrokenRulesAreNoticed(t *testing.T) {
	const seeds = 200
	for _, c := range []struct {
		name   string
		broken rules
	}{
		{"no wait after an election", rules{noElectionWait: true}},
		{"lease counted from the arrival", rules{fromArrival: true}},
		{"no wait for requests in flight", rules{noDrainWait: true}},
		{"lease used before the log", rules{joinAtOnce: true}},
		{"grants without asking a majority", rules{noLeaderCheck: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			for seed := uint64(1); seed <= seeds; seed++ {
				s := settled(t, seed, 3+2*int(seed%2), 4)
				s.rules = c.broken
				for _, n := range s.nodes {
					n.r.rules = c.broken
				}
				noticed := false
				s.check = func() { noticed = noticed || s.twoOwners() }
				s.disturb()
				if noticed {
					t.Logf("noticed at seed %d", seed)
					return
				}
			}
			t.Fatalf("not noticed in %d seeds", seeds)
		})
	}
}

func (s *sim) twoOwners() bool {
	for r := range simRanges {
		if len(s.owners(rangeShard(r))) > 1 {
			return true
		}
	}
	return false
}

// fault breaks or repairs one thing at random.
func (s *sim) fault() {
	n := s.nodes[s.order[s.rng.IntN(len(s.order))]]
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
		s.cut[[2]string{n.name, s.order[s.rng.IntN(len(s.order))]}] = s.rng.IntN(2) == 0
	case 6:
		s.drop = s.rng.Float64() * 0.2
	case 7:
		s.double = s.rng.Float64() * 0.2
	case 8: // late and out of order
		s.slow[n.name] = time.Duration(s.rng.Int64N(int64(400 * time.Millisecond)))
	default: // the server leaves, or is back
		n.facts.Draining = !n.facts.Draining
		n.deliver(n.epoch, func() Event { return Announced{Now: s.now, Endpoint: n.facts} })
	}
}

func (s *sim) heal() {
	clear(s.cut)
	clear(s.slow)
	s.drop, s.double = 0, 0
	for _, name := range s.order {
		n := s.nodes[name]
		n.facts.Draining = false
		n.deliver(n.epoch, func() Event { return Announced{Now: s.now, Endpoint: n.facts} })
		if n.paused {
			n.resume()
		}
		if !n.up {
			n.start()
		}
	}
}
