package ctrl

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/quorum"
	"pollenlatch/state"
	"pollenlatch/ticket"
)

// A server that does not check fences may run a request until its deadline. The
// deadline is counted by the server's clock, which may be 1% slow, and follows from
// the maxrun that its daemon used. A hold-off that ends earlier would let two servers
// run requests of one key.
func TestHoldOffOutlastsDeadlines(t *testing.T) {
	const lag, long, short = 2500 * time.Millisecond, 10 * time.Second, time.Second
	var h holdOffs
	h.addPastMaxRun(0, long, lag)
	for _, end := range []time.Duration{0, time.Second, lag, 3 * time.Second, 12 * time.Second, time.Minute} {
		until := h.endAfter(pollenlatch.MonoTime(end), short, injectedFaults{})
		for sentAt := time.Duration(0); sentAt <= end; sentAt += 100 * time.Millisecond {
			run := short
			if sentAt <= lag {
				run = long
			}
			require.GreaterOrEqual(t, until, pollenlatch.MonoTime(sentAt+run+run/100), "lease ended at %v, request sent at %v", end, sentAt)
		}
	}
}

// newUnfencedSim returns a simulation whose servers do not check fences, and the
// ranges that d1 owns.
func newUnfencedSim(t *testing.T, seed uint64) (s *sim, owned []int) {
	t.Helper()
	s = newSim(seed, 3, 5, newPlanner)
	for _, n := range s.nodes {
		n.endpoint.Fenced = false
		n.step(Announced{Now: s.now, Endpoint: n.endpoint})
	}
	require.True(t, s.advanceUntil(5*time.Second, func() bool { return s.leader() != nil }))
	submitAndAccept(t, s, "v1", testTicket(1, "first"))
	require.True(t, s.advanceUntil(10*time.Second, s.allOwned))
	s.advance(2 * time.Second)
	for r := range simRanges {
		if s.owners(rangeShard(r))[0] == "d1" {
			owned = append(owned, r)
		}
	}
	require.NotEmpty(t, owned)
	return s, owned
}

const simMaxRun = 2 * time.Second // maxrun in ticketText

// requireNoOtherOwner checks that no other instance owns the ranges of d1 until the
// given time.
func requireNoOtherOwner(t *testing.T, s *sim, owned []int, until pollenlatch.MonoTime) {
	t.Helper()
	s.checkInvariants = func() {
		for _, r := range owned {
			if s.now < until {
				for _, name := range s.owners(rangeShard(r)) {
					require.Equal(t, "d1", name, "the range has another owner before the deadline of the old server's requests")
				}
			}
		}
	}
}

// A daemon that leaves when its drain time is over may have requests in flight and
// still own shards. It must not act any more, and its shards must not be assigned
// before those requests have ended.
func TestLeaveWithOwnedShards(t *testing.T) {
	s, owned := newUnfencedSim(t, 20)
	n := s.nodes["d1"]
	requireNoOtherOwner(t, s, owned, s.now.Add(simMaxRun))
	n.step(LeaveRequested{Now: s.now})
	require.Zero(t, n.access.LeaseEnd, "the daemon uses its lease although the leader may end it")
	require.True(t, s.advanceUntil(time.Second, func() bool { return n.left }), "the daemon does not leave")
	n.kill()
	require.True(t, s.advanceUntil(simMaxRun+s.timing.Lease+recoveryTarget, s.allOwned))
}

// A restarted daemon does not count the requests that the process before it sent to
// the same server. If it released their shards, the next owner's server would run
// requests of the same keys.
func TestRestartedDaemonDoesNotReleaseTooEarly(t *testing.T) {
	s, owned := newUnfencedSim(t, 21)
	n := s.nodes["d1"]
	end := n.access.LeaseEnd
	requireNoOtherOwner(t, s, owned, end.Add(simMaxRun))
	n.kill()
	n.start()
	back := func() bool { return len(s.owners(rangeShard(owned[0]))) > 0 }
	require.True(t, s.advanceUntil(simMaxRun, back), "the restarted daemon does not get its ranges back")
	n.step(DrainRequested{Now: s.now})
	require.True(t, s.advanceUntil(simMaxRun+s.timing.Lease+recoveryTarget, func() bool { return n.drained }))
	require.True(t, s.advanceUntil(recoveryTarget, s.allOwned))
}

// A late verdict on a ticket of an earlier process must not be taken for the verdict
// on a ticket of the present process, which would seem to be accepted.
func TestLateVerdictOfEarlierProcess(t *testing.T) {
	s := newSettledSim(t, 22, 3, 3)
	s.diskDelay = 300 * time.Millisecond
	s.submit("d1", 1, testTicket(2, "of the earlier process"))
	s.advance(100 * time.Millisecond)
	delete(s.verdicts, 1)
	s.nodes["d1"].kill()
	s.nodes["d1"].start()
	s.submit("d1", 1, testTicket(2, "of this process"))
	require.True(t, s.advanceUntil(5*time.Second, func() bool { _, ok := s.verdicts[1]; return ok }))
	require.False(t, s.verdicts[1].Accepted, "a ticket got the verdict on another ticket")
}

// A frozen server may have requests from an earlier lease in its socket buffers. If a
// new lease extended its old grants, it would run them.
func TestNewLeaseReplacesGrants(t *testing.T) {
	s := newTrafficSim(23, 3, 4, injectedFaults{})
	require.True(t, s.advanceUntil(5*time.Second, func() bool { return s.leader() != nil }))
	s.submitAnywhere(pollenlatch.Ticket{Number: 1, Text: simTicketText(1, s.services, time.Second, "first")})
	s.advance(4 * time.Second)
	env := s.fencedEnvWithGrants()
	require.NotNil(t, env, "no fenced server has grants")
	oldGrants := env.serverGrants
	env.pause()
	s.advance(2 * s.timing.Lease)
	s.checkInvariants = func() {
		for k := range oldGrants {
			require.False(t, env.now() < env.serverGrantsEnd && env.serverGrants[k], "the grant of %v was extended under a new lease", k)
		}
	}
	env.resume()
	s.advance(2 * time.Second)
	require.Greater(t, env.serverGrantsEnd, env.now(), "the server has no grants")
	require.Empty(t, s.violation)
}

// fencedEnvWithGrants returns the first node whose server checks fences and has
// grants.
func (s *trafficSim) fencedEnvWithGrants() *nodeEnv {
	for _, name := range s.names {
		if env := s.nodes[name].env; env.endpoint.Fenced && len(env.serverGrants) > 0 {
			return env
		}
	}
	return nil
}

// A voter that starts from a snapshot doesn't know when a ticket lowered maxrun. If it
// leads and ignores the higher maxrun, a shard gets its next owner before the deadline
// of a request at a lost server.
func TestSnapshotRestoresPastMaxRuns(t *testing.T) {
	s := new(state.State)
	for i, run := range []time.Duration{10 * time.Second, time.Second} {
		tk := pollenlatch.Ticket{Number: uint64(i + 1), Text: simTicketText(uint64(i+1), []string{"claims"}, run, "")}
		_, spec, err := ticket.Parse(tk.Text)
		require.NoError(t, err)
		tk.Spec = spec
		var res state.Result
		s, res = s.Apply(s.Version()+1, &pollenlatch.Command{Ticket: &tk})
		require.True(t, res.Verdict.Accepted)
	}
	data, err := s.Snapshot()
	require.NoError(t, err)
	r := New(Config{Timing: DefaultTiming(), Quorum: &quorum.Config{}})
	r.restore(quorum.Snapshot{Index: uint64(s.Version()), Data: data})
	end := pollenlatch.MonoTime(time.Second)
	require.GreaterOrEqual(t, r.holdOffs.endAfter(end, stateMaxRun(s), injectedFaults{}), end.Add(10*time.Second))
}
