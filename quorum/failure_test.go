package quorum

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// newStableSim returns a sim with an elected leader and a network without losses,
// and the index of the leader's node.
func newStableSim(t *testing.T, size int, seed uint64) (*sim, int) {
	t.Helper()
	s := newSim(size, seed, simFaults{})
	s.lossy = false
	return s, s.waitForLeader(t)
}

// waitForLeader runs until a leader may act and returns the index of its node.
func (s *sim) waitForLeader(t *testing.T) int {
	t.Helper()
	for range 400 {
		s.run(1)
		if l := s.activeLeader(); l != nil {
			return slices.Index(s.nodes, l)
		}
	}
	require.Fail(t, "no leader was elected")
	return -1
}

func (s *sim) setIsolated(i int, cut bool) {
	for j := range s.nodes {
		s.cut[[2]int{i, j}], s.cut[[2]int{j, i}] = cut, cut
	}
}

// An entry that a majority acknowledged just before its leader crashed must be in
// the log of the next leader. One without a majority must not make the logs diverge.
func TestLeaderCrashMidCommit(t *testing.T) {
	for steps := range 15 {
		t.Run(fmt.Sprintf("after %d steps", steps), func(t *testing.T) {
			s, l := newStableSim(t, 3, uint64(steps))
			s.run(20)
			s.propose(l, 100)
			s.run(steps)
			s.crash(l, false)
			require.NotEqual(t, l, s.waitForLeader(t))
			s.converge()
		})
	}
}

// If a leader without a majority continued to act, key ranges could have two
// owners. Entries proposed to it must not be committed.
func TestIsolatedLeader(t *testing.T) {
	for seed := range uint64(10) {
		s, l := newStableSim(t, 3, seed)
		old := s.nodes[l]
		s.run(20)
		commit := old.r.CommitIndex()
		s.setIsolated(l, true)
		for range 300 {
			s.propose(l, 100)
			s.run(1)
			require.Equal(t, commit, old.r.CommitIndex())
		}
		require.NotEqual(t, l, s.waitForLeader(t))
		require.False(t, old.r.Leading(old.clock(s.now)))
		require.NotEqual(t, leader, old.r.role, "leader without a majority did not step down")
		s.converge()
	}
}

// A leader that was paused still has the role of leader when it resumes, because it
// does not know its successor. Leading must be false at once.
func TestPausedLeader(t *testing.T) {
	for seed := range uint64(10) {
		s, l := newStableSim(t, 5, seed)
		s.nodes[l].pausedUntil = s.now + time.Hour
		s.run(60)
		require.Equal(t, leader, s.nodes[l].r.role)
		require.False(t, s.nodes[l].r.Leading(s.nodes[l].clock(s.now)))
		require.NotEqual(t, l, s.waitForLeader(t))
		s.converge()
	}
}

// A leader whose disk is full or stalled cannot commit anything. It must leave the
// leadership to another voter, and not campaign again before it can write.
func TestLeaderWithBlockedDisk(t *testing.T) {
	for seed := range uint64(10) {
		s, l := newStableSim(t, 5, seed)
		s.run(20)
		s.nodes[l].diskStalledUntil = s.now + time.Hour
		s.propose(l, 100)
		for range 1000 {
			s.run(1)
			if s.nodes[l].r.role != leader {
				break
			}
		}
		next := s.waitForLeader(t)
		require.NotEqual(t, l, next)
		commit := s.nodes[next].r.CommitIndex()
		for range 300 {
			s.propose(next, 100)
			s.run(1)
			require.NotEqual(t, preCandidate, s.nodes[l].r.role)
		}
		require.Greater(t, s.nodes[next].r.CommitIndex(), commit)
		s.nodes[l].diskStalledUntil = 0
		s.converge()
	}
}

// If a replaced voter counted before it has replicated the log, the loss of the next
// voter could lose acknowledged entries. Of 5 voters, two are down at the same time.
func TestSecondVoterLostAfterRepair(t *testing.T) {
	for _, size := range []int{3, 5} {
		for seed := range uint64(12) {
			s, l := newStableSim(t, size, seed)
			s.propose(l, 100)
			s.run(20)
			lost, second := (l+1)%size, (l+2)%size
			if size == 5 {
				s.crash(second, false)
			}
			require.True(t, s.wipe(lost))
			s.waitForRepair(t)
			s.propose(l, 100)
			s.run(20)
			if size == 5 {
				require.True(t, s.wipe(second))
				s.waitForRepair(t)
				s.crash((l+3)%size, false)
			}
			if seed%2 == 0 {
				second = l
			}
			s.crash(second, false)
			applied := s.nodes[lost].applied
			s.propose(s.waitForLeader(t), 100)
			s.run(20)
			require.Greater(t, s.nodes[lost].applied, applied, "no entry was committed without the crashed voters")
			s.converge()
		}
	}
}

// waitForRepair runs until the wiped node is a voter again.
func (s *sim) waitForRepair(t *testing.T) {
	t.Helper()
	for range 1000 {
		if s.run(1); s.wipedNode < 0 {
			return
		}
	}
	require.Fail(t, "the wiped node did not become a voter again")
}

// A voter whose data folder was lost must not vote under its old name: it could
// elect a leader that lacks entries it had acknowledged before.
func TestEmptyFolderDoesNotVote(t *testing.T) {
	for seed := range uint64(10) {
		s, l := newStableSim(t, 3, seed)
		s.run(20)
		empty, behind := (l+1)%3, (l+2)%3
		s.crash(behind, false)
		s.propose(l, 100)
		s.run(40)
		applied := s.nodes[l].applied
		s.crash(empty, false)
		s.crash(l, false)
		*s.nodes[empty] = node{self: pollenlatch.Member{Name: s.nodes[empty].self.Name, Incarnation: 99}}
		s.boot(empty)
		s.boot(behind)
		for range 400 {
			s.run(1)
			require.Nil(t, s.activeLeader())
		}
		require.False(t, s.nodes[empty].r.admitted())
		s.boot(l)
		require.GreaterOrEqual(t, s.nodes[s.waitForLeader(t)].r.LastIndex(), applied)
		s.run(100)
		require.Equal(t, seed%2 == 0, s.nodes[empty].r.AdmissionRefused(), "refused only at even seeds, where the settings do not specify incarnations")
		s.wipedNode = empty
		s.converge()
	}
}

// A voter that rejoins after a network partition must not depose the leader.
func TestRejoiningVoterKeepsLeader(t *testing.T) {
	for seed := range uint64(10) {
		s, l := newStableSim(t, 5, seed)
		_, term := s.nodes[l].r.Leader()
		rejoining := (l + 1) % 5
		s.setIsolated(rejoining, true)
		s.run(400)
		s.setIsolated(rejoining, false)
		for range 200 {
			s.run(1)
			require.True(t, s.nodes[l].r.Leading(s.nodes[l].clock(s.now)))
		}
		name, newTerm := s.nodes[rejoining].r.Leader()
		require.Equal(t, s.nodes[l].self.Name, name)
		require.Equal(t, term, newTerm)
	}
}

// A follower whose next entry was compacted on the leader must catch up from the
// snapshot.
func TestSnapshotCatchUp(t *testing.T) {
	s, l := newStableSim(t, 3, 4)
	behind := (l + 1) % 3
	s.crash(behind, false)
	for range maxRetainedEntries {
		s.propose(l, 100)
		s.run(1)
	}
	s.run(50)
	s.compact(l)
	_, ok := s.nodes[l].r.Entries(2, 1)
	require.False(t, ok, "the leader still has the compacted entries")
	s.converge()
	require.Equal(t, s.nodes[l].snapshot.Index, s.nodes[behind].snapshot.Index)
	entries, ok := s.nodes[behind].r.Entries(s.nodes[behind].applied, 10)
	require.True(t, ok)
	require.Len(t, entries, 1)
}

// The store writes HardState before a received snapshot. After a crash in between,
// the commit index on disk must not cover entries that the snapshot replaces.
func TestCrashWhileInstallingSnapshot(t *testing.T) {
	members := voters("abc")
	start := Start{Now: 1, HardState: HardState{Term: 1, CountedVoters: []string{"a"}}, Entries: []Entry{{Index: 1, Term: 1, Members: members}, {Index: 2, Term: 1}}}
	cfg := Config{Self: members[0], InitialVoters: members, HeartbeatInterval: simHeartbeat, MinElectionTimeout: simElection}
	r := New(cfg)
	r.Step(start)
	p := findEffect[Persist](t, r.Step(Receive{2, "b", Message{
		Kind: KindSnapshotChunk, Term: 3, FromIncarnation: 2, Index: 2, LogTerm: 2, Members: members, Total: 1, Data: []byte{1},
	}}))
	require.Equal(t, uint64(2), p.Snapshot.Index)
	start.HardState = *p.HardState // written before the crash, the snapshot was not
	r = New(cfg)
	r.Step(start)
	require.Zero(t, r.CommitIndex())
}

// A data folder that was replaced must not vote or become a candidate when its old
// incarnation returns.
func TestOldIncarnationRefused(t *testing.T) {
	s, l := newStableSim(t, 3, 1)
	s.run(20)
	old := (l + 1) % 3
	self, log := s.nodes[old].self, s.nodes[old].r.log
	require.True(t, s.wipe(old))
	s.waitForRepair(t)
	s.run(50)
	r := s.nodes[(l+2)%3].r
	now := r.now.Add(time.Hour)
	for _, kind := range []MessageKind{KindPreVote, KindVote} {
		m := Message{Kind: kind, Term: 100, FromIncarnation: self.Incarnation, Index: log.lastIndex() + 100, LogTerm: 99, MembershipIndex: log.membership().index}
		for _, e := range r.Step(Receive{now, self.Name, m}) {
			require.NotContains(t, fmt.Sprintf("%T", e), "Send")
		}
	}
	// Messages to the old incarnation must not be handled by the new one.
	delayed := Message{Kind: KindAppend, Term: 100, FromIncarnation: 1, ToIncarnation: self.Incarnation, ReceiverIsMember: true}
	require.Empty(t, s.nodes[old].r.Step(Receive{s.nodes[old].r.now, s.nodes[l].self.Name, delayed}))
}

// A leader that relied on heartbeat replies for longer than voters deny their votes
// could grant leases while another leads. The limit is the minimum election timeout
// less 1%.
func TestLeadingExpires(t *testing.T) {
	members := voters("ab")
	cfg := Config{Self: members[0], InitialVoters: members, HeartbeatInterval: simHeartbeat, MinElectionTimeout: simElection}
	r := New(cfg)
	ms := pollenlatch.MonoTime(time.Millisecond)
	r.Step(Start{Now: 1, HardState: HardState{Term: 1, CountedVoters: []string{"a", "b"}}})
	persist := func(now pollenlatch.MonoTime) { r.Step(Persisted{now, r.disk.emittedSeq, nil}) }
	receive := func(now pollenlatch.MonoTime, m Message) {
		m.FromIncarnation = 2
		r.Step(Receive{now, "b", m})
	}
	r.Step(Tick{300 * ms})
	receive(301*ms, Message{Kind: KindPreVoteReply, Term: 2})
	persist(302 * ms)
	receive(303*ms, Message{Kind: KindVoteReply, Term: 2})
	require.Equal(t, leader, r.role)
	require.False(t, r.Leading(303*ms), "leads without a heartbeat reply")
	persist(304 * ms)
	receive(305*ms, Message{Kind: KindHeartbeatReply, Term: 2, SentAt: int64(303 * ms)})
	require.True(t, r.Leading((303+118)*ms))
	require.False(t, r.Leading((303+119)*ms))
	receive(306*ms, Message{Kind: KindHeartbeatReply, Term: 2, SentAt: int64(500 * ms)})
	require.False(t, r.Leading((303+119)*ms), "counted a reply to a heartbeat that was not sent yet")
}

// A voter that restarts does not remember which heartbeats it acknowledged. It must
// not vote until the leader no longer relies on them.
func TestNoVoteSoonAfterRestart(t *testing.T) {
	members := voters("abc")
	r := New(Config{Self: members[0], InitialVoters: members, HeartbeatInterval: simHeartbeat, MinElectionTimeout: simElection})
	r.Step(Start{Now: 1, HardState: HardState{Term: 1, CountedVoters: []string{"a"}}})
	m := Message{Kind: KindVote, Term: 2, FromIncarnation: 2, Index: 1, LogTerm: 1, MembershipIndex: 1}
	require.Empty(t, r.Step(Receive{pollenlatch.MonoTime(simElection), "b", m}))
	require.Equal(t, "b", findEffect[Persist](t, r.Step(Receive{pollenlatch.MonoTime(simElection) + 1, "b", m})).HardState.Vote)
}

// A voter that continued after a failed sync could acknowledge entries that it has
// lost.
func TestFailedSyncHalts(t *testing.T) {
	s, l := newStableSim(t, 1, 1)
	s.run(20)
	r := s.nodes[l].r
	p := findEffect[Persist](t, r.Step(Propose{r.now, 1, [][]byte{[]byte("x")}}))
	findEffect[Halt](t, r.Step(Persisted{r.now, p.Seq, errSync}))
	require.False(t, r.Leading(r.now))
	require.Empty(t, r.Step(Tick{r.now.Add(time.Hour)}))
}

var errSync = fmt.Errorf("sync failed")

// Invariant checks that cannot fail would prove nothing. Each injected fault must be
// detected at one of the first seeds, and the same operations must pass without it.
func TestSimDetectsInjectedFaults(t *testing.T) {
	const seeds = 1000
	for _, c := range []struct {
		name  string
		fault simFaults
	}{
		{"acknowledge before sync", simFaults{protocol: protocolFaults{ackBeforeSync: true}}},
		{"vote twice after restart", simFaults{forgetVote: true}},
		{"report completion before sync", simFaults{reportBeforeSync: true}},
		{"commit of an older term", simFaults{protocol: protocolFaults{commitOldTerm: true}}},
	} {
		for _, size := range []int{3, 5} {
			t.Run(fmt.Sprintf("%s, %d voters", c.name, size), func(t *testing.T) {
				for seed := range seeds {
					ops := opsGenerator(size, true).Example(seed)
					if v := runOps(size, uint64(seed), ops, c.fault); v != "" {
						t.Logf("seed %d: %s", seed, v)
						require.Empty(t, runOps(size, uint64(seed), ops, simFaults{}), "fails without the injected fault")
						return
					}
				}
				require.Fail(t, "the injected fault was not detected")
			})
		}
	}
}

// A message that makes a replica panic could crash every voter that receives it.
func FuzzMessage(f *testing.F) {
	for kind := KindPreVote; kind <= KindAdmissionReply; kind++ {
		b, err := pollenlatch.Encode(&Message{
			Kind: kind, Term: 9, Index: 1, LogTerm: 1, Total: 1, Data: []byte{1}, Members: voters("ab"),
			Entries: []Entry{{Index: 2, Term: 9, Members: voters("ab")}}, ReceiverIsMember: true, ToIncarnation: 1, FromIncarnation: 2,
		})
		require.NoError(f, err)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var m Message
		if pollenlatch.Decode(b, &m) != nil {
			return
		}
		for _, role := range []string{"follower", "leader"} {
			s, l := newStableSim(t, 3, 1)
			if role == "follower" {
				l = (l + 1) % 3
			}
			r := s.nodes[l].r
			for range 2 {
				r.Step(Receive{r.now, s.nodes[(l+1)%3].self.Name, m})
				r.Step(Tick{r.now.Add(simHeartbeat)})
				r.Step(Persisted{r.now, r.disk.emittedSeq, nil})
			}
		}
	})
}
