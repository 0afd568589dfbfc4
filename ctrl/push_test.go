package ctrl

import (
	"testing"

	"github.com/stretchr/testify/require"
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
