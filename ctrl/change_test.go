package ctrl

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// limitsChange returns a change of the limits. The tests distinguish revisions by
// the maximum body size.
func limitsChange(id, revision uint64, body int64) *pollenlatch.ConfigChange {
	return &pollenlatch.ConfigChange{ID: id, Items: []pollenlatch.ConfigItem{{
		Kind: pollenlatch.ItemLimits, Revision: revision, Limits: &pollenlatch.Limits{MaxBodyBytes: body},
	}}}
}

func (s *sim) submitChange(via string, id uint64, c *pollenlatch.ConfigChange) {
	n := s.nodes[via]
	n.deliverEvent(n.processEpoch, func() Event { return Submitted{Now: n.now(), ID: id, Change: c} })
}

func (s *sim) maxBodyBytes(name string) int64 {
	l, _ := s.nodes[name].reducer.State().Limits()
	return l.MaxBodyBytes
}

// An acknowledged change must come into force everywhere, and stay in force after the
// loss of the leader.
func TestConfigChange(t *testing.T) {
	s := newSettledSim(t, 51, 3, 2)
	everywhere := func(body int64) func() bool {
		return func() bool {
			for _, name := range s.names {
				if s.nodes[name].up && s.maxBodyBytes(name) != body {
					return false
				}
			}
			return true
		}
	}
	t.Run("submitted through a daemon that is not the leader", func(t *testing.T) {
		s.submitChange("d1", 100, limitsChange(100, 5, 1000))
		require.True(t, s.advanceUntil(2*time.Second, func() bool { return s.verdicts[100].Accepted }))
		require.True(t, s.advanceUntil(time.Second, everywhere(1000)))
	})
	t.Run("competing changes", func(t *testing.T) {
		s.submitChange("d1", 101, limitsChange(101, 7, 7000))
		s.submitChange("d2", 102, limitsChange(102, 6, 6000))
		require.True(t, s.advanceUntil(2*time.Second, func() bool { return s.verdicts[101].Accepted && s.verdicts[102].Accepted }))
		require.True(t, s.advanceUntil(time.Second, everywhere(7000)), "an older revision is in force")
	})
	t.Run("an older change again", func(t *testing.T) {
		s.submitChange("d2", 103, limitsChange(103, 5, 1000))
		require.True(t, s.advanceUntil(2*time.Second, func() bool { return s.verdicts[103].Accepted }), "the older change is not acknowledged")
		s.advance(time.Second)
		require.True(t, everywhere(7000)())
	})
	t.Run("loss of the leader right after the acknowledgement", func(t *testing.T) {
		leader := s.leader()
		s.submitChange(leader.name, 104, limitsChange(104, 9, 9000))
		require.True(t, s.advanceUntil(2*time.Second, func() bool { return s.verdicts[104].Accepted }))
		leader.kill()
		require.True(t, s.advanceUntil(5*time.Second, everywhere(9000)))
	})
}

// A read of the configuration must include all changes that were acknowledged before.
func TestReadIndexWaitsForCommittedChanges(t *testing.T) {
	s := newSettledSim(t, 52, 3, 2)
	startRead := func(n *node, id uint64) func() bool {
		completed := false
		for _, e := range n.reducer.Step(ReadIndexRequested{Now: n.now(), ID: id}) {
			if c, ok := e.(ReadIndexReached); ok && c.ID == id {
				completed = true
			}
			n.carryOut(e)
		}
		n.onReadIndexReached = func(c ReadIndexReached) { completed = completed || c.ID == id }
		return func() bool { return completed }
	}
	d := s.nodes["d1"]
	leader := s.leader()
	s.cutLinks[[2]string{leader.name, "d1"}] = true
	s.submitChange(leader.name, 100, limitsChange(100, 5, 1000))
	require.True(t, s.advanceUntil(2*time.Second, func() bool { return s.verdicts[100].Accepted }))
	require.Zero(t, s.maxBodyBytes("d1"))
	completed := startRead(d, 1)
	s.advance(time.Second)
	require.False(t, completed(), "the read completed with an outdated state")
	s.cutLinks[[2]string{leader.name, "d1"}] = false
	require.True(t, s.advanceUntil(2*time.Second, completed))
	require.EqualValues(t, 1000, s.maxBodyBytes("d1"))
}
