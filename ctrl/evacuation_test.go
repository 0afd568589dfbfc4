package ctrl

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/quorum"
)

// order submits an order through a node, with the timing of a caller that waits for
// 850 ms, and returns whether it was acknowledged.
func (s *sim) order(via string, id uint64, dc string, finish bool) bool {
	n := s.nodes[via]
	n.deliverEvent(n.processEpoch, func() Event {
		return Submitted{Now: n.now(), ID: id, Evacuate: &pollenlatch.Evacuate{DC: dc, Finish: finish}}
	})
	acknowledged := func() bool { return s.verdicts[id].Accepted }
	if s.advanceUntil(850*time.Millisecond, acknowledged) {
		return true
	}
	n.deliverEvent(n.processEpoch, func() Event { return CallCancelled{Now: n.now(), ID: id} })
	return false
}

// orderFromAny submits an order to one node after the other, once a second, until it is
// acknowledged, and returns the time that this took.
func (s *sim) orderFromAny(t *testing.T, firstID uint64, dc string, finish bool, via ...string) time.Duration {
	t.Helper()
	start := s.now
	for n := range 10 {
		attempt := s.now
		if s.order(via[n%len(via)], firstID+uint64(n), dc, finish) {
			return s.now.Sub(start)
		}
		s.advance(time.Second - s.now.Sub(attempt))
	}
	require.Fail(t, "the order is not acknowledged")
	return 0
}

// evacuatedEverywhere reports whether all running nodes agree on an evacuation.
func (s *sim) evacuatedEverywhere(dc string, want bool) func() bool {
	return func() bool {
		for _, name := range s.names {
			n := s.nodes[name]
			if n.up && (n.reducer.State().Evacuated(dc) != want || (n.access.EvacuatedSince[dc] != 0) != want) {
				return false
			}
		}
		return true
	}
}

// An acknowledged order must be in force everywhere, and stay so after the loss of the
// leader and of power.
func TestEvacuation(t *testing.T) {
	s := newSettledSim(t, 61, 3, 2)
	t.Run("through any process", func(t *testing.T) {
		for n, via := range s.names {
			require.True(t, s.order(via, 100+uint64(n), "dc1", false), "order through %s", via)
		}
		require.True(t, s.advanceUntil(time.Second, s.evacuatedEverywhere("dc1", true)))
		require.EqualValues(t, s.verdicts[100].Version, s.leader().reducer.State().EvacuationsChangedAt(), "a repeated order changed something")
	})
	t.Run("loss of the leader right after the acknowledgement", func(t *testing.T) {
		leader := s.leader()
		require.True(t, s.order(leader.name, 200, "dc2", false))
		leader.kill()
		require.True(t, s.advanceUntil(3*time.Second, s.evacuatedEverywhere("dc2", true)))
		leader.start()
	})
	t.Run("loss of power", func(t *testing.T) {
		for _, name := range s.names {
			s.nodes[name].kill()
		}
		for _, name := range s.names {
			s.nodes[name].start()
		}
		require.True(t, s.advanceUntil(5*time.Second, func() bool {
			return s.evacuatedEverywhere("dc1", true)() && s.evacuatedEverywhere("dc2", true)()
		}))
	})
	t.Run("withdrawal", func(t *testing.T) {
		s.orderFromAny(t, 300, "dc1", true, "v1", "v2", "v3")
		require.True(t, s.advanceUntil(time.Second, s.evacuatedEverywhere("dc1", false)))
		require.True(t, s.evacuatedEverywhere("dc2", true)())
	})
	t.Run("no server is recorded as draining", func(t *testing.T) {
		for _, i := range s.leader().reducer.State().Instances() {
			require.False(t, i.Endpoint != nil && i.Endpoint.Draining, "%s is recorded as draining", i.Name)
		}
	})
}

// Operators give up on an order that is not acknowledged within 4 s. A change of leader
// takes up to a second of that with the timing of the platform.
func TestEvacuationUnderChangeOfLeader(t *testing.T) {
	for seed := range uint64(8) {
		s := newSim(70+seed, 5, 3, func() pollenlatch.Planner { return nil })
		s.timing = Timing{
			Lease: 3 * time.Second, Renew: 300 * time.Millisecond, Heartbeat: 100 * time.Millisecond,
			Election: 500 * time.Millisecond, Grace: 2 * time.Second, Drain: 5 * time.Second,
		}
		for _, name := range s.names {
			s.nodes[name].kill()
			s.nodes[name].start()
		}
		require.True(t, s.advanceUntil(10*time.Second, func() bool {
			l := s.leader()
			return l != nil && l.reducer.ready && len(l.reducer.State().Instances()) == len(s.names)
		}))
		s.advance(time.Second)
		leader := s.leader().name
		var others []string
		for _, m := range s.voters {
			if m.Name != leader {
				others = append(others, m.Name)
			}
		}
		s.nodes[leader].kill()
		took := s.orderFromAny(t, 100, "dc1", false, others...)
		require.Less(t, took, 4*time.Second, "seed %d", seed)
	}
}

// Without a majority nothing may be acknowledged.
func TestEvacuationWithoutMajority(t *testing.T) {
	s := newSettledSim(t, 62, 3, 1)
	leader := s.leader()
	for _, m := range s.voters {
		if m.Name != leader.name {
			s.nodes[m.Name].kill()
		}
	}
	require.False(t, s.order(leader.name, 100, "dc1", false))
	s.advance(5 * time.Second)
	require.NotContains(t, s.verdicts, uint64(100))
}

// A copy of an order that was delayed on its way must not undo a later order: the
// operator sends an order elsewhere when one voter does not answer.
func TestDelayedEvacuation(t *testing.T) {
	s := newSettledSim(t, 63, 3, 2)
	leader := s.leader()
	old := leader.reducer.State().Version()
	require.True(t, s.order("d1", 100, "dc1", false))
	require.True(t, s.order("d2", 101, "dc1", true))
	send := func(e pollenlatch.Evacuate) {
		leader.deliverEvent(leader.processEpoch, func() Event {
			return Received{Now: leader.now(), From: "d1", Message: &pollenlatch.Message{Propose: &pollenlatch.Propose{Seq: 7, Evacuate: &e}}}
		})
	}
	send(pollenlatch.Evacuate{DC: "dc1", Known: old})
	s.advance(time.Second)
	require.False(t, leader.reducer.State().Evacuated("dc1"))

	t.Run("a withdrawal while the order is not committed yet", func(t *testing.T) {
		now := leader.reducer.State().Version()
		send(pollenlatch.Evacuate{DC: "dc1", Known: now})
		require.False(t, leader.reducer.State().Evacuated("dc1"), "the order is committed at once")
		require.True(t, s.order("d2", 102, "dc1", true), "the withdrawal is not acknowledged")
		s.advance(time.Second)
		require.True(t, s.evacuatedEverywhere("dc1", false)(), "the withdrawal was acknowledged before the order took effect")
	})
}

// A server must get no request later than the time limit after the acknowledgement, so
// the limit must not count from a later time, also at a daemon that learns of the
// evacuation late.
func TestEvacuatedSince(t *testing.T) {
	s := newSettledSim(t, 64, 3, 3)
	s.advance(time.Second)
	cut := s.now
	s.isolate("d2", true)
	s.advance(2 * time.Second)
	ordered := s.now
	require.True(t, s.order("v1", 100, "dc1", false))
	acknowledged := s.now
	require.False(t, s.nodes["d2"].reducer.State().Evacuated("dc1"))
	s.advance(4 * time.Second)
	s.isolate("d2", false)
	require.True(t, s.advanceUntil(5*time.Second, s.evacuatedEverywhere("dc1", true)))
	for _, name := range s.names {
		since := s.nodes[name].access.EvacuatedSince["dc1"]
		require.LessOrEqual(t, since, acknowledged, name)
		if name != "d2" {
			require.GreaterOrEqual(t, since, ordered.Add(-2*s.timing.Renew), "%s hands its keys over too early", name)
		}
	}
	require.LessOrEqual(t, s.nodes["d2"].access.EvacuatedSince["dc1"], cut)

	t.Run("a restarted daemon", func(t *testing.T) {
		d := s.nodes["d1"]
		d.kill()
		d.start()
		require.True(t, s.advanceUntil(5*time.Second, func() bool { return d.access.LeaseEnd > 0 }))
		require.EqualValues(t, 1, d.access.EvacuatedSince["dc1"], "the time counts from the restart")
	})
}

// instantDisk completes writes at once.
type instantDisk struct{}

func (instantDisk) Save(quorum.Persist) error { return nil }

// A daemon that ends goes on serving for some seconds after its control loop, and must not
// send requests to an evacuated server meanwhile.
func TestEvacuationOutlastsLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l, control := newSingleVoterLoop(instantDisk{}, nil)
		ctx, cancel := context.WithCancel(t.Context())
		l.Start(ctx)
		<-time.After(time.Second)
		verdict, err := l.SubmitEvacuation(ctx, &pollenlatch.Evacuate{DC: "dc1"})
		require.NoError(t, err)
		require.True(t, verdict.Accepted)
		require.NotZero(t, control.EvacuatedSince("dc1"))
		cancel()
		<-l.Done()
		require.NotZero(t, control.EvacuatedSince("dc1"))
		require.Zero(t, control.EvacuatedSince("dc2"))
	})
}
