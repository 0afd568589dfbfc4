package ctrl

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// groupTicket is a ticket that names the voters of the group.
func groupTicket(number int, voters ...pollenlatch.Member) pollenlatch.Ticket {
	text := fmt.Sprintf("number: %d\nvoters:\n", number)
	for _, m := range voters {
		text += fmt.Sprintf("  - name: %s\n    incarnation: %d\n    addr: %s\n", m.Name, m.Incarnation, m.Addr)
	}
	return pollenlatch.Ticket{Number: uint64(number), Text: text, Sender: "test"}
}

// submitAndAccept submits a ticket and waits for its acceptance.
func submitAndAccept(t *testing.T, s *sim, via string, ticket pollenlatch.Ticket) {
	t.Helper()
	s.submit(via, 1000+ticket.Number, ticket)
	require.True(t, s.advanceUntil(5*time.Second, func() bool { return s.verdicts[1000+ticket.Number].Accepted }), "%+v", s.verdicts[1000+ticket.Number])
}

// replaceDisk gives a voter a new data folder, which has another incarnation.
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

// A voter whose disk was lost may have acknowledged what it no longer holds. If
// it counted again under its old identity, an acknowledged ticket could be lost.
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
	require.True(t, s.leader() == nil, "a voter without its disk made a majority")
	require.False(t, s.allOwned())
	leader.start()
	require.True(t, s.advanceUntil(5*time.Second, s.allOwned), "the voters with their disks do not go on")
	require.Equal(t, uint64(3), s.leader().reducer.State().NextTicket())
}

// A lost disk is replaced by a ticket. The new voter must copy the state before
// it counts, and then stand in for another one that is lost.
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
			require.True(t, s.advanceUntil(5*time.Second, s.allOwned), "the new voter does not count")
			submitAndAccept(t, s, "d1", testTicket(4, "after the repair"))
			s.leader().kill()
			s.advance(time.Second)
			other.start()
			require.True(t, s.advanceUntil(10*time.Second, s.allOwned), "no group after a second loss")
			require.Equal(t, uint64(5), s.leader().reducer.State().NextTicket(), "an accepted ticket is gone")
		})
	}
}

// The group grows and shrinks by tickets. Nothing that was accepted may be
// lost, and the daemon of a voter that leaves the group goes on serving.
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
	require.True(t, s.advanceUntil(5*time.Second, s.allOwned), "a group of 5 does not stand the loss of 2")
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
		require.Equal(t, uint64(5), n.reducer.State().NextTicket(), "%s does not follow", name)
		require.Greater(t, n.access.LeaseEnd, s.now, "%s does not serve", name)
	}
}
