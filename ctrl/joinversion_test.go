package ctrl

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// A process that starts receives all past commands in several messages. If it served
// requests by one of the older states, it would refuse those for newer routes.
func TestJoinVersion(t *testing.T) {
	s := newSettledSim(t, 21, 3, 2)
	leader := s.leader()
	d1 := s.nodes["d1"]
	commands := leader.reducer.tail.commands
	require.EqualValues(t, 1, leader.reducer.tail.first)
	newReducer := func(incarnation pollenlatch.Incarnation) *Reducer {
		return New(Config{
			Self:   pollenlatch.Join{Name: d1.name, DC: d1.dc, Addr: d1.name, Front: d1.name, Incarnation: incarnation},
			Voters: s.voters, Timing: s.timing,
		})
	}
	// replay sends the commands one by one and returns the version at which JoinVersion
	// is published, or 0.
	replay := func(r *Reducer) pollenlatch.Version {
		for n, c := range commands {
			m := &pollenlatch.Message{Delta: &pollenlatch.Delta{From: pollenlatch.Version(n), Commands: []pollenlatch.Command{*c}}}
			for _, e := range r.Step(Received{Now: s.now, From: leader.name, Message: m}) {
				if p, ok := e.(Publish); ok && p.Access.JoinVersion > 0 {
					return p.Access.View.Version()
				}
			}
		}
		return 0
	}
	t.Run("unset when the state has only the Join of an earlier process", func(t *testing.T) {
		r := newReducer(d1.incarnation + 2)
		require.Zero(t, replay(r))
		require.EqualValues(t, len(commands), r.State().Version())
	})
	t.Run("set by the Join of the process", func(t *testing.T) {
		version := replay(newReducer(d1.incarnation))
		require.NotZero(t, version)
		require.NotNil(t, commands[version-1].Join)
		require.Equal(t, d1.incarnation, commands[version-1].Join.Incarnation)
	})
	t.Run("AllowStale applies once it is set", func(t *testing.T) {
		control := Control{AllowStale: true}
		control.Publish(Access{View: d1.reducer.State()})
		require.Error(t, control.Serving())
		control.Publish(Access{View: d1.reducer.State(), JoinVersion: 1})
		require.NoError(t, control.Serving())
	})
}
