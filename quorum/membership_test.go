package quorum

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// changeMembersTo requests the membership from every new leader until it is
// committed.
func (s *sim) changeMembersTo(t *testing.T, want []pollenlatch.Member) {
	t.Helper()
	for range 3000 {
		s.run(1)
		l := s.activeLeader()
		if l == nil {
			continue
		}
		ms := l.r.log.membership()
		same := len(ms.members) == len(want)
		for _, m := range want {
			same = same && slices.Contains(ms.members, m)
		}
		if same && l.r.CommitIndex() >= ms.index {
			return
		}
		if l.r.leaderState.pendingChange == nil {
			s.step(slices.Index(s.nodes, l), ChangeMembership{l.clock(s.now), 1, want})
		}
	}
	require.Fail(t, "the membership change was not committed")
}

// Memberships that differ by more than one voter can have majorities that do not
// overlap, so each step may add or remove only one. A voter that counts before it
// has replicated the log weakens the group.
func TestMembershipChange(t *testing.T) {
	all := voters("abcde")
	for seed := range uint64(20) {
		s := newSim(5, seed*2+1, simFaults{})
		for i := range s.nodes {
			s.crash(i, false)
			s.nodes[i] = &node{self: all[i]}
		}
		s.initialVoters = all[:1]
		s.packets = nil
		for i := range s.nodes {
			s.boot(i)
		}
		for _, want := range [][]pollenlatch.Member{all[:3], all, all[2:], all[:4], all[1:2], all} {
			s.changeMembersTo(t, want)
			s.propose(s.waitForLeader(t), 100)
		}
		s.converge()
		memberships := s.nodes[0].r.log.memberships
		require.Greater(t, len(memberships), 15)
		for i, ms := range memberships[1:] {
			added, removed := 0, 0
			for _, m := range all {
				was, is := slices.Contains(memberships[i].members, m), slices.Contains(ms.members, m)
				added, removed = added+btoi(is && !was), removed+btoi(was && !is)
			}
			require.LessOrEqual(t, added+removed, 1)
		}
	}
}

// If a new voter counted before it has replicated the log, the group could be
// unable to commit while it is down.
func TestNewVoterCatchesUpFirst(t *testing.T) {
	s, l := newStableSim(t, 5, 1)
	all := voters("abcde")
	added := (l + 1) % 5
	rest := withoutMember(all, all[added])
	s.changeMembersTo(t, rest)
	s.crash(added, false)
	s.step(l, ChangeMembership{s.nodes[l].r.now, 1, all})
	for range 200 {
		s.run(1)
		require.Equal(t, rest, s.nodes[l].r.Members())
	}
	s.boot(added)
	s.changeMembersTo(t, all)
}

// A membership change that only specifies the incarnations that the settings leave
// open must not remove a voter, even for a moment.
func TestSetOpenIncarnations(t *testing.T) {
	s, l := newStableSim(t, 3, 2)
	s.run(20)
	require.Zero(t, s.nodes[l].r.Members()[0].Incarnation)
	s.changeMembersTo(t, voters("abc"))
	for _, ms := range s.nodes[l].r.log.memberships {
		require.Len(t, ms.members, 3)
	}
	require.Equal(t, voters("abc"), s.nodes[l].r.Members())
	s.converge()
}

func btoi(b bool) int {
	if b {
		return 1
	}
	return 0
}

// A proposal or membership change that cannot be executed must be rejected.
// Otherwise its sender waits forever, or the group loses its voters.
func TestInvalidRequestsRejected(t *testing.T) {
	s, l := newStableSim(t, 3, 1)
	s.run(20)
	r := s.nodes[l].r
	abc := voters("abc")
	other := slices.Clone(abc)
	other[l].Incarnation = 77
	unnamed := append(slices.Clone(abc), pollenlatch.Member{Name: "d"})
	for reason, ev := range map[string]Event{
		"proposal without data":                     Propose{Now: r.now},
		"must have between 1 byte":                  Propose{Now: r.now, Data: [][]byte{nil}},
		"and 8 MiB":                                 Propose{Now: r.now, Data: [][]byte{make([]byte, maxEntryBytes+1)}},
		"membership change without voters":          ChangeMembership{Now: r.now},
		"distinct, non-empty names":                 ChangeMembership{Now: r.now, Members: append(abc, abc[0])},
		"has no incarnation":                        ChangeMembership{Now: r.now, Members: unnamed},
		"cannot be replaced by another incarnation": ChangeMembership{Now: r.now, Members: other},
		"replaced by another membership change":     ChangeMembership{Now: r.now, Members: append(slices.Clone(abc), voters("abcd")[3])},
		"replaces every voter; add a new one first": ChangeMembership{Now: r.now, Members: []pollenlatch.Member{{Name: abc[(l+1)%3].Name, Incarnation: 77}}},
	} {
		t.Run(reason, func(t *testing.T) {
			effects := r.Step(ev)
			if r.leaderState.pendingChange != nil {
				effects = r.Step(ev)
			}
			require.Contains(t, findEffect[Rejected](t, effects).Reason, reason)
		})
	}
	follower := s.nodes[(l+1)%3].r
	require.Contains(t, findEffect[Rejected](t, follower.Step(Propose{Data: [][]byte{{1}}})).Reason, "is not the leader")
	require.Contains(t, findEffect[Rejected](t, follower.Step(ChangeMembership{Members: abc})).Reason, "is not the leader")
}

// A malformed message must not reach the log.
func TestMessageCheck(t *testing.T) {
	chunk := Message{Kind: KindSnapshotChunk, Term: 2, Index: 5, LogTerm: 1, Total: 3, Offset: 1, Data: []byte("ab"), Members: voters("a")}
	require.NoError(t, chunk.Check())
	appendMessage := Message{Kind: KindAppend, Term: 2, Index: 5, LogTerm: 1, Entries: []Entry{{Index: 6, Term: 1}, {Index: 7, Term: 2}}}
	require.NoError(t, appendMessage.Check())
	for want, m := range map[error]Message{
		ErrUnknownKind:    {Kind: 99, Term: 1},
		ErrInvalidTerm:    {Kind: KindVote},
		ErrInvalidChunk:   {Kind: KindSnapshotChunk, Term: 2, Index: 5, LogTerm: 1, Total: 3, Offset: 2, Data: []byte("ab"), Members: voters("a")},
		ErrInvalidMembers: {Kind: KindSnapshotChunk, Term: 2, Index: 5, LogTerm: 1, Members: voters("aa")},
		ErrNotContiguous:  {Kind: KindAppend, Term: 2, Index: 5, LogTerm: 1, Entries: []Entry{{Index: 7, Term: 1}}},
	} {
		require.ErrorIs(t, m.Check(), want)
	}
	decreasing := appendMessage
	decreasing.Entries = []Entry{{Index: 6, Term: 2}, {Index: 7, Term: 1}}
	require.ErrorIs(t, decreasing.Check(), ErrInvalidTerm)
}
