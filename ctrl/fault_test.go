package ctrl

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

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
