package ctrl

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// A process that starts receives the commands of the whole past in pieces. What
// it answered from one of the older states would deny routes that exist.
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
	// replay hands over the commands one by one and returns the version from which
	// on the state was current.
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
	t.Run("not while an earlier process of the same name is all that it shows", func(t *testing.T) {
		r := newReducer(d1.incarnation + 2)
		require.Zero(t, replay(r))
		require.EqualValues(t, len(commands), r.State().Version())
	})
	t.Run("from its own join on", func(t *testing.T) {
		version := replay(newReducer(d1.incarnation))
		require.NotZero(t, version)
		require.NotNil(t, commands[version-1].Join)
		require.Equal(t, d1.incarnation, commands[version-1].Join.Incarnation)
	})
	t.Run("traffic is served from then on without a lease", func(t *testing.T) {
		control := Control{AllowStale: true}
		control.Publish(Access{View: d1.reducer.State()})
		require.Error(t, control.Serving())
		control.Publish(Access{View: d1.reducer.State(), JoinVersion: 1})
		require.NoError(t, control.Serving())
	})
}
