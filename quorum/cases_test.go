package quorum

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// calm returns a group with a leader, on a network that loses nothing.
func calm(t *testing.T, size int, seed uint64) (*sim, int) {
	t.Helper()
	s := newSim(size, seed, simRules{})
	s.lossy = false
	return s, s.elect(t)
}

// elect runs until a leader may act and returns its number.
func (s *sim) elect(t *testing.T) int {
	t.Helper()
	for range 400 {
		s.run(1)
		if l := s.lead(); l != nil {
			return slices.Index(s.nodes, l)
		}
	}
	require.Fail(t, "no leader")
	return -1
}

func (s *sim) isolate(i int, cut bool) {
	for j := range s.nodes {
		s.cut[[2]int{i, j}], s.cut[[2]int{j, i}] = cut, cut
	}
}

// An entry that was acknowledged just before its leader was lost must be in
// the next leader's log; one that was not must not divide the group.
func TestLeaderLostMidCommit(t *testing.T) {
	for steps := range 15 {
		t.Run(fmt.Sprintf("after %d steps", steps), func(t *testing.T) {
			s, l := calm(t, 3, uint64(steps))
			s.run(20)
			s.propose(l, 100)
			s.run(steps)
			s.crash(l, false)
			require.NotEqual(t, l, s.elect(t))
			s.converge()
		})
	}
}

// A leader without a majority that still acted would own ranges twice; what it
// takes must not be acknowledged.
func TestLeaderCutOff(t *testing.T) {
	for seed := range uint64(10) {
		s, l := calm(t, 3, seed)
		old := s.nodes[l]
		s.run(20)
		commit := old.r.CommitIndex()
		s.isolate(l, true)
		for range 300 {
			s.propose(l, 100)
			s.run(1)
			require.Equal(t, commit, old.r.CommitIndex())
		}
		require.NotEqual(t, l, s.elect(t))
		require.False(t, old.r.Leading(old.clock(s.now)))
		require.NotEqual(t, leader, old.r.role, "did not step down")
		s.converge()
	}
}

// A leader that was paused does not know of its successor when it resumes.
func TestLeaderPaused(t *testing.T) {
	for seed := range uint64(10) {
		s, l := calm(t, 5, seed)
		s.nodes[l].pause = s.now + time.Hour
		s.run(60)
		require.Equal(t, leader, s.nodes[l].r.role)
		require.False(t, s.nodes[l].r.Leading(s.nodes[l].clock(s.now)))
		require.NotEqual(t, l, s.elect(t))
		s.converge()
	}
}

// A voter that counts before it has copied the log would let the next loss take
// acknowledged entries along. Of 5 voters, two are lost at the same time.
func TestSecondVoterLostAfterRepair(t *testing.T) {
	for _, size := range []int{3, 5} {
		for seed := range uint64(12) {
			s, l := calm(t, size, seed)
			s.propose(l, 100)
			s.run(20)
			lost, second := (l+1)%size, (l+2)%size
			if size == 5 {
				s.crash(second, false)
			}
			require.True(t, s.wipe(lost))
			s.repaired(t)
			s.propose(l, 100)
			s.run(20)
			if size == 5 {
				require.True(t, s.wipe(second))
				s.repaired(t)
				s.crash((l+3)%size, false)
			}
			if seed%2 == 0 {
				second = l
			}
			s.crash(second, false)
			applied := s.nodes[lost].applied
			s.propose(s.elect(t), 100)
			s.run(20)
			require.Greater(t, s.nodes[lost].applied, applied, "no commit without the lost voters")
			s.converge()
		}
	}
}

// repaired runs until the lost voter counts again.
func (s *sim) repaired(t *testing.T) {
	t.Helper()
	for range 1000 {
		if s.run(1); s.wiped < 0 {
			return
		}
	}
	require.Fail(t, "the lost voter was not replaced")
}

// A lost folder that voted again under its old name could elect a leader
// without the entries that only it had acknowledged.
func TestEmptyFolderDoesNotVote(t *testing.T) {
	for seed := range uint64(10) {
		s, l := calm(t, 3, seed)
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
			require.Nil(t, s.lead())
		}
		require.False(t, s.nodes[empty].r.admitted())
		s.boot(l)
		require.GreaterOrEqual(t, s.nodes[s.elect(t)].r.LastIndex(), applied)
		s.run(100)
		require.Equal(t, seed%2 == 0, s.nodes[empty].r.AdmissionRefused(), "the settings leave the incarnation open at even seeds")
		s.wiped = empty
		s.converge()
	}
}

// A voter that comes back must not cost the group its leader.
func TestReturningVoter(t *testing.T) {
	for seed := range uint64(10) {
		s, l := calm(t, 5, seed)
		_, term := s.nodes[l].r.Leader()
		back := (l + 1) % 5
		s.isolate(back, true)
		s.run(400)
		s.isolate(back, false)
		for range 200 {
			s.run(1)
			require.True(t, s.nodes[l].r.Leading(s.nodes[l].clock(s.now)))
		}
		name, now := s.nodes[back].r.Leader()
		require.Equal(t, s.nodes[l].self.Name, name)
		require.Equal(t, term, now)
	}
}

// A follower whose next entry was dropped everywhere could never catch up.
func TestSnapshotCatchUp(t *testing.T) {
	s, l := calm(t, 3, 4)
	behind := (l + 1) % 3
	s.crash(behind, false)
	for range keepEntries {
		s.propose(l, 100)
		s.run(1)
	}
	s.run(50)
	s.compact(l)
	_, ok := s.nodes[l].r.Entries(2, 1)
	require.False(t, ok, "entries are still there")
	s.converge()
	require.Equal(t, s.nodes[l].snap.Index, s.nodes[behind].snap.Index)
	entries, ok := s.nodes[behind].r.Entries(s.nodes[behind].applied, 10)
	require.True(t, ok)
	require.Len(t, entries, 1)
}

// A crash between the parts of a batch that replaces the log by a snapshot must
// not leave the snapshot's commit index above entries that it replaces.
func TestCrashWhileReplacingLog(t *testing.T) {
	g := voters("abc")
	start := Start{Now: 1, HardState: HardState{Term: 1, CountedVoters: []string{"a"}}, Entries: []Entry{{Index: 1, Term: 1, Members: g}, {Index: 2, Term: 1}}}
	cfg := Config{Self: g[0], InitialVoters: g, HeartbeatInterval: simHeartbeat, MinElectionTimeout: simElection}
	r := New(cfg)
	r.Step(start)
	p := find[Persist](t, r.Step(Receive{2, "b", Message{
		Kind: KindSnapshotChunk, Term: 3, FromIncarnation: 2, Index: 2, LogTerm: 2, Members: g, Total: 1, Data: []byte{1},
	}}))
	require.Equal(t, uint64(2), p.Snapshot.Index)
	start.HardState = *p.HardState // and not yet the snapshot
	r = New(cfg)
	r.Step(start)
	require.Zero(t, r.CommitIndex())
}

// The folder that was replaced must not vote or stand when it turns up again.
func TestOldIncarnationRefused(t *testing.T) {
	s, l := calm(t, 3, 1)
	s.run(20)
	old := (l + 1) % 3
	self, log := s.nodes[old].self, s.nodes[old].r.log
	require.True(t, s.wipe(old))
	s.repaired(t)
	s.run(50)
	r := s.nodes[(l+2)%3].r
	now := r.now.Add(time.Hour)
	for _, kind := range []MessageKind{KindPreVote, KindVote} {
		m := Message{Kind: kind, Term: 100, FromIncarnation: self.Incarnation, Index: log.last() + 100, LogTerm: 99, MembershipIndex: log.group().index}
		for _, e := range r.Step(Receive{now, self.Name, m}) {
			require.NotContains(t, fmt.Sprintf("%T", e), "Send")
		}
	}
	// A vote that was given to the old incarnation must not reach the new one.
	late := Message{Kind: KindAppend, Term: 100, FromIncarnation: 1, ToIncarnation: self.Incarnation, ReceiverIsMember: true}
	require.Empty(t, s.nodes[old].r.Step(Receive{s.nodes[old].r.now, s.nodes[l].self.Name, late}))
}

// A leader that counts on answers for longer than voters deny their votes
// could grant while another leads. The bound is the shortest election timeout
// less 1%.
func TestLeadingEnds(t *testing.T) {
	g := voters("ab")
	cfg := Config{Self: g[0], InitialVoters: g, HeartbeatInterval: simHeartbeat, MinElectionTimeout: simElection}
	r := New(cfg)
	ms := pollenlatch.MonoTime(time.Millisecond)
	r.Step(Start{Now: 1, HardState: HardState{Term: 1, CountedVoters: []string{"a", "b"}}})
	persist := func(now pollenlatch.MonoTime) { r.Step(Persisted{now, r.disk.seq, nil}) }
	answer := func(now pollenlatch.MonoTime, m Message) {
		m.FromIncarnation = 2
		r.Step(Receive{now, "b", m})
	}
	r.Step(Tick{300 * ms})
	answer(301*ms, Message{Kind: KindPreVoteReply, Term: 2})
	persist(302 * ms)
	answer(303*ms, Message{Kind: KindVoteReply, Term: 2})
	require.Equal(t, leader, r.role)
	require.False(t, r.Leading(303*ms), "led on votes alone")
	persist(304 * ms)
	answer(305*ms, Message{Kind: KindHeartbeatReply, Term: 2, SentAt: int64(303 * ms)})
	require.True(t, r.Leading((303+118)*ms))
	require.False(t, r.Leading((303+119)*ms))
	answer(306*ms, Message{Kind: KindHeartbeatReply, Term: 2, SentAt: int64(500 * ms)})
	require.False(t, r.Leading((303+119)*ms), "counted an answer to a heartbeat of the future")
}

// A voter that restarts forgets the leader that counts on its answer.
func TestNoVoteAfterRestart(t *testing.T) {
	g := voters("abc")
	r := New(Config{Self: g[0], InitialVoters: g, HeartbeatInterval: simHeartbeat, MinElectionTimeout: simElection})
	r.Step(Start{Now: 1, HardState: HardState{Term: 1, CountedVoters: []string{"a"}}})
	m := Message{Kind: KindVote, Term: 2, FromIncarnation: 2, Index: 1, LogTerm: 1, MembershipIndex: 1}
	require.Empty(t, r.Step(Receive{pollenlatch.MonoTime(simElection), "b", m}))
	require.Equal(t, "b", find[Persist](t, r.Step(Receive{pollenlatch.MonoTime(simElection) + 1, "b", m})).HardState.Vote)
}

// A voter that goes on after a failed sync would vouch for what it lost.
func TestFailedSyncHalts(t *testing.T) {
	s, l := calm(t, 1, 1)
	s.run(20)
	r := s.nodes[l].r
	p := find[Persist](t, r.Step(Propose{r.now, 1, [][]byte{[]byte("x")}}))
	find[Halt](t, r.Step(Persisted{r.now, p.Seq, errSync}))
	require.False(t, r.Leading(r.now))
	require.Empty(t, r.Step(Tick{r.now.Add(time.Hour)}))
}

var errSync = fmt.Errorf("sync failed")

// Checks that pass whatever the replica does would prove nothing. Each broken
// rule must be found at one of the first seeds, and the same sequence must pass
// with all rules kept.
func TestChecksBite(t *testing.T) {
	const seeds = 1000
	for _, c := range []struct {
		name string
		rule simRules
	}{
		{"acknowledge before sync", simRules{replica: rules{earlyAck: true}}},
		{"vote twice after restart", simRules{forgetVote: true}},
		{"no wait for sync", simRules{noSyncWait: true}},
		{"commit of an older term", simRules{replica: rules{oldTermCommit: true}}},
	} {
		for _, size := range []int{3, 5} {
			t.Run(fmt.Sprintf("%s, %d voters", c.name, size), func(t *testing.T) {
				for seed := range seeds {
					list := opGen(size, true).Example(seed)
					if v := play(size, uint64(seed), list, c.rule); v != "" {
						t.Logf("seed %d: %s", seed, v)
						require.Empty(t, play(size, uint64(seed), list, simRules{}), "fails with all rules kept")
						return
					}
				}
				require.Fail(t, "no violation was found")
			})
		}
	}
}

// A message that a replica cannot handle would take every voter down in turn.
func FuzzMessage(f *testing.F) {
	for k := KindPreVote; k <= KindAdmissionReply; k++ {
		b, err := pollenlatch.Encode(&Message{
			Kind: k, Term: 9, Index: 1, LogTerm: 1, Total: 1, Data: []byte{1}, Members: voters("ab"),
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
			s, l := calm(t, 3, 1)
			if role == "follower" {
				l = (l + 1) % 3
			}
			r := s.nodes[l].r
			for range 2 {
				r.Step(Receive{r.now, s.nodes[(l+1)%3].self.Name, m})
				r.Step(Tick{r.now.Add(simHeartbeat)})
				r.Step(Persisted{r.now, r.disk.seq, nil})
			}
		}
	})
}
