package ctrl

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// The verdict on a ticket of an earlier process must not answer another ticket
// that this process has sent: its operator would believe it accepted.
func TestLateVerdictOfEarlierProcess(t *testing.T) {
	s := settled(t, 22, 3, 3)
	s.sync = 300 * time.Millisecond
	s.submit("d1", 1, ticketOf(2, "of the earlier process"))
	s.run(100 * time.Millisecond)
	delete(s.verdicts, 1)
	s.nodes["d1"].kill()
	s.nodes["d1"].start()
	s.submit("d1", 1, ticketOf(2, "of this process"))
	require.True(t, s.until(5*time.Second, func() bool { _, ok := s.verdicts[1]; return ok }))
	require.False(t, s.verdicts[1].Accepted, "a ticket got the verdict of another")
}

// A server that was frozen may have requests of the lease before in its socket
// buffer. Prolonging its old grants under a new lease would let it run them.
func TestNewLeaseReplacesGrants(t *testing.T) {
	s := newTraffic(23, 3, 4, rules{})
	require.True(t, s.until(5*time.Second, func() bool { return s.leader() != nil }))
	s.submitTo(pollenlatch.Ticket{Number: 1, Text: chaosText(1, s.services, time.Second, "first")})
	s.run(4 * time.Second)
	p := s.nodes["d2"].side
	require.True(t, p.facts.Fenced)
	old := p.granted
	require.NotEmpty(t, old)
	p.pause()
	s.run(2 * s.timing.Lease)
	s.check = func() {
		for k := range old {
			require.False(t, p.now() < p.until && p.granted[k], "%v is granted again under another lease", k)
		}
	}
	p.resume()
	s.run(2 * time.Second)
	require.Greater(t, p.until, p.now(), "the server has no grants")
	require.Empty(t, s.failure)
}
