package quorum

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// changeTo asks every leader for the group until it is committed.
func (s *sim) changeTo(t *testing.T, want []pollenlatch.Member) {
	t.Helper()
	for range 3000 {
		s.run(1)
		l := s.lead()
		if l == nil {
			continue
		}
		g := l.r.log.group()
		same := len(g.members) == len(want)
		for _, m := range want {
			same = same && slices.Contains(g.members, m)
		}
		if same && l.r.CommitIndex() >= g.index {
			return
		}
		if l.r.leading.change == nil {
			s.step(slices.Index(s.nodes, l), ChangeMembership{l.clock(s.now), 1, want})
		}
	}
	require.Fail(t, "the group was not changed")
}

// Two groups that differ by more than one voter can have majorities that do
// not meet; a voter that counts without the log weakens the group.
func TestChangeGroup(t *testing.T) {
	all := voters("abcde")
	for seed := range uint64(20) {
		s := newSim(5, seed*2+1, simRules{})
		for i := range s.nodes {
			s.crash(i, false)
			s.nodes[i] = &node{self: all[i]}
		}
		s.genesis = all[:1]
		s.packets = nil
		for i := range s.nodes {
			s.boot(i)
		}
		for _, want := range [][]pollenlatch.Member{all[:3], all, all[2:], all[:4], all[1:2], all} {
			s.changeTo(t, want)
			s.propose(s.elect(t), 100)
		}
		s.converge()
		groups := s.nodes[0].r.log.groups
		require.Greater(t, len(groups), 15)
		for i, g := range groups[1:] {
			added, removed := 0, 0
			for _, m := range all {
				was, is := slices.Contains(groups[i].members, m), slices.Contains(g.members, m)
				added, removed = added+btoi(is && !was), removed+btoi(was && !is)
			}
			require.LessOrEqual(t, added+removed, 1)
		}
	}
}

// A voter that counts before it has copied the log makes the group depend on it.
func TestNewVoterCopiesFirst(t *testing.T) {
	s, l := calm(t, 5, 1)
	all := voters("abcde")
	added := (l + 1) % 5
	rest := without(all, all[added])
	s.changeTo(t, rest)
	s.crash(added, false)
	s.step(l, ChangeMembership{s.nodes[l].r.now, 1, all})
	for range 200 {
		s.run(1)
		require.Equal(t, rest, s.nodes[l].r.Members())
	}
	s.boot(added)
	s.changeTo(t, all)
}

// Naming the incarnations that the settings left open must not cost a voter.
func TestNameIncarnations(t *testing.T) {
	s, l := calm(t, 3, 2)
	s.run(20)
	require.Zero(t, s.nodes[l].r.Members()[0].Incarnation)
	s.changeTo(t, voters("abc"))
	for _, g := range s.nodes[l].r.log.groups {
		require.Len(t, g.members, 3)
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

// A request that is taken although it cannot be carried out would leave its
// sender waiting, or break the group.
func TestRejected(t *testing.T) {
	s, l := calm(t, 3, 1)
	s.run(20)
	r := s.nodes[l].r
	abc := voters("abc")
	other := slices.Clone(abc)
	other[l].Incarnation = 77
	unnamed := append(slices.Clone(abc), pollenlatch.Member{Name: "d"})
	for reason, ev := range map[string]Event{
		"proposal without data":                     Propose{Now: r.now},
		"must have 1 byte":                          Propose{Now: r.now, Data: [][]byte{nil}},
		"to 8 MiB":                                  Propose{Now: r.now, Data: [][]byte{make([]byte, entryBytes+1)}},
		"a group needs a voter":                     ChangeMembership{Now: r.now},
		"distinct names":                            ChangeMembership{Now: r.now, Members: append(abc, abc[0])},
		"has no incarnation":                        ChangeMembership{Now: r.now, Members: unnamed},
		"cannot be replaced by another incarnation": ChangeMembership{Now: r.now, Members: other},
		"replaced by another change of the group":   ChangeMembership{Now: r.now, Members: append(slices.Clone(abc), voters("abcd")[3])},
		"has no voter that stays; add one first":    ChangeMembership{Now: r.now, Members: []pollenlatch.Member{{Name: abc[(l+1)%3].Name, Incarnation: 77}}},
	} {
		t.Run(reason, func(t *testing.T) {
			effects := r.Step(ev)
			if r.leading.change != nil {
				effects = r.Step(ev)
			}
			require.Contains(t, find[Rejected](t, effects).Reason, reason)
		})
	}
	follower := s.nodes[(l+1)%3].r
	require.Contains(t, find[Rejected](t, follower.Step(Propose{Data: [][]byte{{1}}})).Reason, "does not lead")
	require.Contains(t, find[Rejected](t, follower.Step(ChangeMembership{Members: abc})).Reason, "does not lead")
}

// A message that is not well formed must not reach the log.
func TestCheck(t *testing.T) {
	piece := Message{Kind: KindSnapshotChunk, Term: 2, Index: 5, LogTerm: 1, Total: 3, Offset: 1, Data: []byte("ab"), Members: voters("a")}
	require.NoError(t, piece.Check())
	entries := Message{Kind: KindAppend, Term: 2, Index: 5, LogTerm: 1, Entries: []Entry{{Index: 6, Term: 1}, {Index: 7, Term: 2}}}
	require.NoError(t, entries.Check())
	for want, m := range map[error]Message{
		ErrUnknownKind:    {Kind: 99, Term: 1},
		ErrInvalidTerm:    {Kind: KindVote},
		ErrInvalidChunk:   {Kind: KindSnapshotChunk, Term: 2, Index: 5, LogTerm: 1, Total: 3, Offset: 2, Data: []byte("ab"), Members: voters("a")},
		ErrInvalidMembers: {Kind: KindSnapshotChunk, Term: 2, Index: 5, LogTerm: 1, Members: voters("aa")},
		ErrNotContiguous:  {Kind: KindAppend, Term: 2, Index: 5, LogTerm: 1, Entries: []Entry{{Index: 7, Term: 1}}},
	} {
		require.ErrorIs(t, m.Check(), want)
	}
	falling := entries
	falling.Entries = []Entry{{Index: 6, Term: 2}, {Index: 7, Term: 1}}
	require.ErrorIs(t, falling.Check(), ErrInvalidTerm)
}
