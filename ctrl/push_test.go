package ctrl

import (
	"testing"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// A daemon that missed one message must get it again although newer commands
// keep following: otherwise it never holds a newer state or gets a lease.
func TestMissedDeltaIsSentAgainWhileCommandsFollow(t *testing.T) {
	s := settled(t, 9, 3, 3)
	leader, d := s.leader(), s.nodes["d1"]
	s.cut[[2]string{leader.name, d.name}] = true
	number := 1
	change := func() {
		number++
		s.submit("v1", uint64(number), ticketOf(number, "change"))
		s.run(s.timing.Renew)
	}
	change()
	missed := s.verdicts[2].Version
	require.NotZero(t, missed)
	require.Less(t, d.r.State().Version(), missed)
	s.cut[[2]string{leader.name, d.name}] = false
	for range int(s.timing.Grace / s.timing.Renew) {
		change()
	}
	require.GreaterOrEqual(t, d.r.State().Version(), missed, "the daemon never gets what it missed")
}

// A shared delta that outlives the next command would keep it from the daemons
// that are sent the old one.
func TestDeltaIsSharedUntilTheNextCommand(t *testing.T) {
	var kept tail
	kept.add(7, &pollenlatch.Command{Noop: &pollenlatch.Noop{Term: 1}}, 4)
	first, ok, err := kept.delta(6)
	require.NoError(t, err)
	require.True(t, ok)
	again, _, _ := kept.delta(6)
	require.Same(t, first, again)
	require.Len(t, first.Delta.Commands, 1)

	kept.add(8, &pollenlatch.Command{Noop: &pollenlatch.Noop{Term: 2}}, 4)
	next, _, _ := kept.delta(6)
	require.Len(t, next.Delta.Commands, 2)
	want, err := pollenlatch.Encode(&pollenlatch.Message{Delta: next.Delta})
	require.NoError(t, err)
	require.Equal(t, want, next.Packed())

	none, ok, _ := kept.delta(8)
	require.True(t, ok)
	require.Nil(t, none)
	_, ok, _ = kept.delta(5)
	require.False(t, ok, "commands that are no longer kept")
}
