package ctrl

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// A process that starts receives the commands of the whole past in pieces. What
// it answered from one of the older states would deny routes that exist.
func TestStateIsCurrentOnceItShowsTheOwnStart(t *testing.T) {
	s := settled(t, 21, 3, 2)
	leader := s.leader()
	old := s.nodes["d1"]
	kept := leader.r.tail.commands
	require.EqualValues(t, 1, leader.r.tail.first)
	start := func(life pollenlatch.Incarnation) *Reducer {
		return New(Config{
			Self:   pollenlatch.Join{Name: old.name, DC: old.dc, Addr: old.name, Front: old.name, Incarnation: life},
			Voters: s.voters, Timing: s.timing,
		})
	}
	// play hands over the commands one by one and returns the version from which
	// on the state was current.
	play := func(r *Reducer) pollenlatch.Version {
		for n, c := range kept {
			m := &pollenlatch.Message{Delta: &pollenlatch.Delta{From: pollenlatch.Version(n), Commands: []pollenlatch.Command{*c}}}
			for _, e := range r.Step(Received{Now: s.now, From: leader.name, Message: m}) {
				if p, ok := e.(Publish); ok && p.Access.JoinVersion > 0 {
					return p.Access.View.Version()
				}
			}
		}
		return 0
	}
	t.Run("not while an earlier process of the same name is all that it shows", func(t *testing.T) {
		r := start(old.life + 2)
		require.Zero(t, play(r))
		require.EqualValues(t, len(kept), r.State().Version())
	})
	t.Run("from its own join on", func(t *testing.T) {
		at := play(start(old.life))
		require.NotZero(t, at)
		require.NotNil(t, kept[at-1].Join)
		require.Equal(t, old.life, kept[at-1].Join.Incarnation)
	})
	t.Run("traffic is served from then on without a lease", func(t *testing.T) {
		desk := Control{AllowStale: true}
		desk.Publish(Access{View: old.r.State()})
		require.Error(t, desk.Serving())
		desk.Publish(Access{View: old.r.State(), JoinVersion: 1})
		require.NoError(t, desk.Serving())
	})
}
