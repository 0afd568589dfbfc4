package quorum

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

func voters(names string) []pollenlatch.Member {
	var list []pollenlatch.Member
	for i, n := range names {
		list = append(list, pollenlatch.Member{Name: string(n), Incarnation: pollenlatch.Incarnation(i + 1)})
	}
	return list
}

// A group of one that waits for an election timeout, or for answers that
// nobody sends, would never serve.
func TestAloneLeadsAtOnce(t *testing.T) {
	g := voters("a")
	r := New(Config{Self: g[0], InitialVoters: g, HeartbeatInterval: 40 * time.Millisecond, MinElectionTimeout: 120 * time.Millisecond})
	p := find[Persist](t, r.Step(Start{Now: 1}))
	require.False(t, r.Leading(1), "led before its vote was synced")
	p = find[Persist](t, r.Step(Persisted{Now: 2, Seq: p.Seq}))
	require.True(t, r.Leading(2))
	effects := r.Step(Persisted{Now: 3, Seq: p.Seq})
	require.Len(t, find[Apply](t, effects).Entries, 1)

	effects = r.Step(Propose{Now: 4, ID: 7, Data: [][]byte{[]byte("x"), []byte("y")}})
	require.Equal(t, uint64(2), find[Accepted](t, effects).Index)
	require.Empty(t, r.Step(Persisted{Now: 4, Seq: find[Persist](t, effects).Seq - 1}))
	require.Equal(t, uint64(1), r.CommitIndex(), "committed before the sync")
	effects = r.Step(Persisted{Now: 5, Seq: find[Persist](t, effects).Seq})
	require.Len(t, find[Apply](t, effects).Entries, 2)
}

// messages returns the kinds of the messages sent.
func messages(effects []Effect) (kinds []MessageKind) {
	for _, e := range effects {
		if s, ok := e.(Send); ok {
			kinds = append(kinds, s.Message.Kind)
		}
	}
	return kinds
}

// An answer in a term that is not synced vouches for nothing; one that waits
// for entries costs the leader its majority when the disk is slow.
func TestHeartbeatAnswer(t *testing.T) {
	g := voters("ab")
	r := New(Config{Self: g[0], InitialVoters: g, HeartbeatInterval: simHeartbeat, MinElectionTimeout: simElection})
	r.Step(Start{Now: 1, HardState: HardState{Term: 1, CountedVoters: []string{"a"}}})
	beat := Receive{2, "b", Message{Kind: KindHeartbeat, Term: 2, FromIncarnation: 2, SentAt: 1}}
	effects := r.Step(beat)
	require.Empty(t, messages(effects))
	require.Equal(t, []MessageKind{KindHeartbeatReply}, messages(r.Step(Persisted{3, find[Persist](t, effects).Seq, nil})))
	add := Message{Kind: KindAppend, Term: 2, FromIncarnation: 2, Entries: []Entry{{Index: 1, Term: 2, Members: g}}}
	effects = r.Step(Receive{4, "b", add})
	require.Empty(t, messages(effects))
	require.Equal(t, []MessageKind{KindHeartbeatReply}, messages(r.Step(beat)))
	require.Equal(t, []MessageKind{KindAppendReply}, messages(r.Step(Persisted{5, find[Persist](t, effects).Seq, nil})))
}

// A voter that joined later cannot know what its name counted before, and so
// must not let an empty folder in.
func TestJoinedVoterDoesNotVouch(t *testing.T) {
	g := voters("abc")
	for _, seen := range []string{"b", "c"} {
		r := New(Config{Self: g[1], InitialVoters: g, HeartbeatInterval: simHeartbeat, MinElectionTimeout: simElection})
		r.Step(Start{Now: 1, HardState: HardState{Term: 1, CountedVoters: []string{seen}}, Entries: []Entry{{Index: 1, Term: 1, Members: g}}})
		answer := find[Send](t, r.Step(Receive{2, "a", Message{Kind: KindAdmissionRequest, FromIncarnation: 9}})).Message
		require.Equal(t, KindAdmissionReply, answer.Kind)
		require.Equal(t, seen != "b", answer.Reject)
	}
}

// Entries that come again after the follower has dropped them must be
// acknowledged, or the leader would send them for ever.
func TestAppendBelowSnapshot(t *testing.T) {
	g := voters("ab")
	r := New(Config{Self: g[0], InitialVoters: g, HeartbeatInterval: simHeartbeat, MinElectionTimeout: simElection})
	r.Step(Start{Now: 1, HardState: HardState{Term: 1, CountedVoters: []string{"a"}}, Snapshot: Snapshot{Index: 5, Term: 1, Members: g}})
	again := Message{Kind: KindAppend, Term: 1, FromIncarnation: 2, Index: 3, LogTerm: 1, Entries: []Entry{{Index: 4, Term: 1}, {Index: 5, Term: 1}, {Index: 6, Term: 1}}}
	p := find[Persist](t, r.Step(Receive{2, "b", again}))
	require.Len(t, p.Entries, 1)
	reply := find[Send](t, r.Step(Persisted{3, p.Seq, nil})).Message
	require.False(t, reply.Reject)
	require.Equal(t, uint64(6), reply.Index)
}

func find[E Effect](t *testing.T, effects []Effect) E {
	t.Helper()
	for _, e := range effects {
		if f, ok := e.(E); ok {
			return f
		}
	}
	require.Fail(t, "effect is missing", "%#v", effects)
	panic("unreachable")
}
