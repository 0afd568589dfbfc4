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

// A single voter has no others to wait for. It must lead as soon as its vote is
// synced, without an election timeout.
func TestSingleVoterLeadsAtOnce(t *testing.T) {
	members := voters("a")
	r := New(Config{Self: members[0], InitialVoters: members, HeartbeatInterval: 40 * time.Millisecond, MinElectionTimeout: 120 * time.Millisecond})
	p := findEffect[Persist](t, r.Step(Start{Now: 1}))
	require.False(t, r.Leading(1), "leads before its vote is synced")
	p = findEffect[Persist](t, r.Step(Persisted{Now: 2, Seq: p.Seq}))
	require.True(t, r.Leading(2))
	effects := r.Step(Persisted{Now: 3, Seq: p.Seq})
	require.Len(t, findEffect[Apply](t, effects).Entries, 1)

	effects = r.Step(Propose{Now: 4, ID: 7, Data: [][]byte{[]byte("x"), []byte("y")}})
	require.Equal(t, uint64(2), findEffect[Accepted](t, effects).Index)
	require.Empty(t, r.Step(Persisted{Now: 4, Seq: findEffect[Persist](t, effects).Seq - 1}))
	require.Equal(t, uint64(1), r.CommitIndex(), "committed before the entries were synced")
	effects = r.Step(Persisted{Now: 5, Seq: findEffect[Persist](t, effects).Seq})
	require.Len(t, findEffect[Apply](t, effects).Entries, 2)
}

// sentKinds returns the kinds of the messages in effects.
func sentKinds(effects []Effect) (kinds []MessageKind) {
	for _, e := range effects {
		if s, ok := e.(Send); ok {
			kinds = append(kinds, s.Message.Kind)
		}
	}
	return kinds
}

// A heartbeat reply must wait until the term is synced, because a restart could
// forget it. It must not wait for entries, or a slow disk makes the leader lose its
// majority.
func TestHeartbeatReplyWaitsForHardState(t *testing.T) {
	members := voters("ab")
	r := New(Config{Self: members[0], InitialVoters: members, HeartbeatInterval: simHeartbeat, MinElectionTimeout: simElection})
	r.Step(Start{Now: 1, HardState: HardState{Term: 1, CountedVoters: []string{"a"}}})
	heartbeat := Receive{2, "b", Message{Kind: KindHeartbeat, Term: 2, FromIncarnation: 2, SentAt: 1}}
	effects := r.Step(heartbeat)
	require.Empty(t, sentKinds(effects))
	require.Equal(t, []MessageKind{KindHeartbeatReply}, sentKinds(r.Step(Persisted{3, findEffect[Persist](t, effects).Seq, nil})))
	appendMessage := Message{Kind: KindAppend, Term: 2, FromIncarnation: 2, Entries: []Entry{{Index: 1, Term: 2, Members: members}}}
	effects = r.Step(Receive{4, "b", appendMessage})
	require.Empty(t, sentKinds(effects))
	require.Equal(t, []MessageKind{KindHeartbeatReply}, sentKinds(r.Step(heartbeat)))
	require.Equal(t, []MessageKind{KindAppendReply}, sentKinds(r.Step(Persisted{5, findEffect[Persist](t, effects).Seq, nil})))
}

// A voter that was added later does not know which votes and acknowledgements an
// earlier data folder of its name has counted. It must refuse to admit a voter with
// an empty log.
func TestAddedVoterRefusesAdmission(t *testing.T) {
	members := voters("abc")
	for _, counted := range []string{"b", "c"} {
		r := New(Config{Self: members[1], InitialVoters: members, HeartbeatInterval: simHeartbeat, MinElectionTimeout: simElection})
		r.Step(Start{Now: 1, HardState: HardState{Term: 1, CountedVoters: []string{counted}}, Entries: []Entry{{Index: 1, Term: 1, Members: members}}})
		reply := findEffect[Send](t, r.Step(Receive{2, "a", Message{Kind: KindAdmissionRequest, FromIncarnation: 9}})).Message
		require.Equal(t, KindAdmissionReply, reply.Kind)
		require.Equal(t, counted != "b", reply.Reject)
	}
}

// Entries that are sent again after the follower has compacted them must be
// acknowledged, or the leader would send them forever.
func TestAppendBelowSnapshot(t *testing.T) {
	members := voters("ab")
	r := New(Config{Self: members[0], InitialVoters: members, HeartbeatInterval: simHeartbeat, MinElectionTimeout: simElection})
	r.Step(Start{Now: 1, HardState: HardState{Term: 1, CountedVoters: []string{"a"}}, Snapshot: Snapshot{Index: 5, Term: 1, Members: members}})
	repeated := Message{Kind: KindAppend, Term: 1, FromIncarnation: 2, Index: 3, LogTerm: 1, Entries: []Entry{{Index: 4, Term: 1}, {Index: 5, Term: 1}, {Index: 6, Term: 1}}}
	p := findEffect[Persist](t, r.Step(Receive{2, "b", repeated}))
	require.Len(t, p.Entries, 1)
	reply := findEffect[Send](t, r.Step(Persisted{3, p.Seq, nil})).Message
	require.False(t, reply.Reject)
	require.Equal(t, uint64(6), reply.Index)
}

func findEffect[E Effect](t *testing.T, effects []Effect) E {
	t.Helper()
	for _, e := range effects {
		if found, ok := e.(E); ok {
			return found
		}
	}
	require.Fail(t, "effect not found", "%#v", effects)
	panic("unreachable")
}
