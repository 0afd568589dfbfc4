package ctrl

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// limitsAt is a change of the limits, by which tests tell revisions apart.
func limitsAt(id, revision uint64, body int64) *pollenlatch.ConfigChange {
	return &pollenlatch.ConfigChange{ID: id, Items: []pollenlatch.ConfigItem{{
		Kind: pollenlatch.ItemLimits, Revision: revision, Limits: &pollenlatch.Limits{MaxBodyBytes: body},
	}}}
}

func (s *sim) change(via string, id uint64, c *pollenlatch.ConfigChange) {
	n := s.nodes[via]
	n.deliver(n.epoch, func() Event { return Submitted{Now: n.now(), ID: id, Change: c} })
}

func (s *sim) body(name string) int64 {
	l, _ := s.nodes[name].r.State().Limits()
	return l.MaxBodyBytes
}

// A change that is acknowledged must be in force everywhere, and stay in force
// after the loss of the leader.
func TestChange(t *testing.T) {
	s := settled(t, 51, 3, 2)
	everywhere := func(body int64) func() bool {
		return func() bool {
			for _, name := range s.order {
				if s.nodes[name].up && s.body(name) != body {
					return false
				}
			}
			return true
		}
	}
	t.Run("through a process that does not lead", func(t *testing.T) {
		s.change("d1", 100, limitsAt(100, 5, 1000))
		require.True(t, s.until(2*time.Second, func() bool { return s.verdicts[100].Accepted }))
		require.True(t, s.until(time.Second, everywhere(1000)))
	})
	t.Run("two operators race", func(t *testing.T) {
		s.change("d1", 101, limitsAt(101, 7, 7000))
		s.change("d2", 102, limitsAt(102, 6, 6000))
		require.True(t, s.until(2*time.Second, func() bool { return s.verdicts[101].Accepted && s.verdicts[102].Accepted }))
		require.True(t, s.until(time.Second, everywhere(7000)), "an older revision is in force")
	})
	t.Run("a late repeat of an older one", func(t *testing.T) {
		s.change("d2", 103, limitsAt(103, 5, 1000))
		require.True(t, s.until(2*time.Second, func() bool { return s.verdicts[103].Accepted }), "a repeat is not acknowledged")
		s.run(time.Second)
		require.True(t, everywhere(7000)())
	})
	t.Run("the leader is lost right after it has acknowledged", func(t *testing.T) {
		leader := s.leader()
		s.change(leader.name, 104, limitsAt(104, 9, 9000))
		require.True(t, s.until(2*time.Second, func() bool { return s.verdicts[104].Accepted }))
		leader.kill()
		require.True(t, s.until(5*time.Second, everywhere(9000)))
	})
}

// A configuration that is read must hold all that was acknowledged before.
func TestAskTellsTheNewestVersion(t *testing.T) {
	s := settled(t, 52, 3, 2)
	ask := func(n *node, id uint64) func() bool {
		answered := false
		for _, e := range n.r.Step(ReadIndexRequested{Now: n.now(), ID: id}) {
			if c, ok := e.(ReadIndexReached); ok && c.ID == id {
				answered = true
			}
			n.carryOut(e)
		}
		n.current = func(c ReadIndexReached) { answered = answered || c.ID == id }
		return func() bool { return answered }
	}
	d := s.nodes["d1"]
	leader := s.leader()
	s.cut[[2]string{leader.name, "d1"}] = true
	s.change(leader.name, 100, limitsAt(100, 5, 1000))
	require.True(t, s.until(2*time.Second, func() bool { return s.verdicts[100].Accepted }))
	require.Zero(t, s.body("d1"))
	answered := ask(d, 1)
	s.run(time.Second)
	require.False(t, answered(), "an old state counts as the newest")
	s.cut[[2]string{leader.name, "d1"}] = false
	require.True(t, s.until(2*time.Second, answered))
	require.EqualValues(t, 1000, s.body("d1"))
}
