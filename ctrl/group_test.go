package ctrl

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// groupTicket returns a ticket that sets the voters of the group.
func groupTicket(number int, voters ...pollenlatch.Member) pollenlatch.Ticket {
	text := fmt.Sprintf("number: %d\nvoters:\n", number)
	for _, m := range voters {
		text += fmt.Sprintf("  - name: %s\n    incarnation: %d\n    addr: %s\n", m.Name, m.Incarnation, m.Addr)
	}
	return pollenlatch.Ticket{Number: uint64(number), Text: text, Sender: "test"}
}

// submitAndAccept submits a ticket and requires that it is accepted.
func submitAndAccept(t *testing.T, s *sim, via string, ticket pollenlatch.Ticket) {
	t.Helper()
	s.submit(via, 1000+ticket.Number, ticket)
	require.True(t, s.advanceUntil(5*time.Second, func() bool { return s.verdicts[1000+ticket.Number].Accepted }), "%+v", s.verdicts[1000+ticket.Number])
}

// replaceDisk gives a voter an empty data folder with a new incarnation.
func (n *node) replaceDisk() {
	m := n.asVoter()
	m.Incarnation += 100
	n.member, n.disk = &m, memDisk{}
}

func (s *sim) followers() []*node {
	var out []*node
	for _, m := range s.voters {
		if n := s.nodes[m.Name]; n != s.leader() {
			out = append(out, n)
		}
	}
	return out
}

// A voter with a lost disk may have acknowledged entries that it no longer has. If it
// voted under its old identity, an acknowledged ticket could be lost.
func TestVoterWithLostDiskDoesNotVote(t *testing.T) {
	s := newSettledSim(t, 10, 3, 3)
	submitAndAccept(t, s, "d1", testTicket(2, "kept"))
	f := s.followers()
	lost, intact, leader := f[0], f[1], s.leader()
	lost.kill()
	lost.replaceDisk()
	intact.kill()
	leader.kill()
	lost.start()
	intact.start()
	s.advance(10 * time.Second)
	require.True(t, s.leader() == nil, "a voter with a lost disk completed a majority")
	require.False(t, s.allOwned())
	leader.start()
	require.True(t, s.advanceUntil(5*time.Second, s.allOwned), "the voters with intact disks do not recover")
	require.Equal(t, uint64(3), s.leader().reducer.State().NextTicket())
}

// A ticket replaces a voter that has lost its disk. The new voter must have a copy of
// the state before it counts, so that the loss of another voter is tolerated then.
func TestLostDiskIsReplaced(t *testing.T) {
	for seed := uint64(11); seed < 16; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			s := newSettledSim(t, seed, 3, 3)
			submitAndAccept(t, s, "d1", testTicket(2, "kept"))
			f := s.followers()
			lost, other := f[0], f[1]
			lost.kill()
			lost.replaceDisk()
			want := []pollenlatch.Member{*lost.member}
			for _, m := range s.voters {
				if m.Name != lost.name {
					want = append(want, m)
				}
			}
			lost.start()
			submitAndAccept(t, s, "d1", groupTicket(3, want...))
			s.advance(3 * time.Second)
			require.Equal(t, uint64(4), lost.reducer.State().NextTicket(), "the new voter lacks accepted tickets")
			other.kill() // right after the repair
			require.True(t, s.advanceUntil(5*time.Second, s.allOwned), "the new voter does not complete a majority")
			submitAndAccept(t, s, "d1", testTicket(4, "after the repair"))
			s.leader().kill()
			s.advance(time.Second)
			other.start()
			require.True(t, s.advanceUntil(10*time.Second, s.allOwned), "the group does not recover after a second loss")
			require.Equal(t, uint64(5), s.leader().reducer.State().NextTicket(), "an accepted ticket was lost")
		})
	}
}

// Tickets make the group larger and smaller. No accepted ticket may be lost, and the
// daemon of a removed voter must continue to serve.
func TestGroupGrowsAndShrinks(t *testing.T) {
	s := newSettledSim(t, 16, 3, 5)
	group := append([]pollenlatch.Member(nil), s.voters...)
	for i, name := range []string{"d1", "d2"} {
		n := s.nodes[name]
		n.kill()
		n.voter, n.member = true, &pollenlatch.Member{Name: name, Incarnation: pollenlatch.Incarnation(50 + i), Addr: name}
		n.start()
		group = append(group, *n.member)
	}
	submitAndAccept(t, s, "d3", groupTicket(2, group...))
	s.advance(3 * time.Second)
	require.Len(t, s.leader().reducer.replica.Members(), 5)
	s.nodes["v1"].kill()
	s.nodes["v2"].kill()
	require.True(t, s.advanceUntil(5*time.Second, s.allOwned), "a group of 5 does not tolerate the loss of 2")
	s.nodes["v1"].start()
	s.nodes["v2"].start()
	s.advance(3 * time.Second)
	submitAndAccept(t, s, "d3", groupTicket(3, group[2:]...))
	s.advance(5 * time.Second)
	require.Len(t, s.leader().reducer.replica.Members(), 3)
	submitAndAccept(t, s, "d3", testTicket(4, "after the change"))
	s.advance(5 * time.Second)
	require.True(t, s.allOwned())
	for _, name := range s.names {
		n := s.nodes[name]
		require.Equal(t, uint64(5), n.reducer.State().NextTicket(), "%s lacks accepted tickets", name)
		require.Greater(t, n.access.LeaseEnd, s.now, "%s does not serve", name)
	}
}
