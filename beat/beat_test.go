package beat

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/lease"
	"pollenlatch/state"
)

// rig is a keeper on instance 1 of a service with 16 ranges, and a fake clock.
type rig struct {
	t     *testing.T
	k     *Tracker
	now   pollenlatch.MonoTime
	until pollenlatch.MonoTime
	began pollenlatch.Version
	state *state.State
	facts []pollenlatch.Endpoint
	lost  int
	seq   uint64
}

func (r *rig) Now() pollenlatch.MonoTime        { return r.now }
func (r *rig) Self() pollenlatch.InstanceID     { return 1 }
func (r *rig) View() pollenlatch.View           { return r.state }
func (r *rig) LeaseEnd() pollenlatch.MonoTime   { return r.until }
func (r *rig) JoinVersion() pollenlatch.Version { return r.began }
func (r *rig) Announce(e pollenlatch.Endpoint)  { r.facts = append(r.facts, e) }
func (r *rig) Lost()                            { r.lost++ }

const (
	rigLease = 4 * time.Second
	rigBits  = 4
	rigWidth = 1 << (pollenlatch.KeyBits - rigBits) // keys of a range
)

// newRig returns a keeper whose state is still empty.
func newRig(t *testing.T) *rig {
	t.Helper()
	r := &rig{t: t, now: pollenlatch.MonoTime(time.Hour), state: new(state.State)}
	r.k = New(Config{Control: r, Observer: r, Clock: r, Interval: time.Second, MaxTTL: 10 * time.Second, InheritedTTL: rigLease})
	return r
}

func (r *rig) apply(c pollenlatch.Command) {
	r.t.Helper()
	var res state.Result
	r.state, res = r.state.Apply(r.state.Version()+1, &c)
	require.Empty(r.t, res.Rejection)
}

// load gives the keeper the state: a service, instances 1 and 2, and the
// server of instance 1.
func (r *rig) load(e pollenlatch.Endpoint) {
	r.t.Helper()
	svc := pollenlatch.Service{Name: "listing", Keyed: true, NumericKeys: true, Heartbeats: true, MaxRun: time.Second}
	r.apply(pollenlatch.Command{Change: &pollenlatch.ConfigChange{Items: []pollenlatch.ConfigItem{
		{Kind: pollenlatch.ItemService, Name: "listing", Revision: 1, Service: &svc},
	}}})
	r.apply(pollenlatch.Command{Divide: &pollenlatch.Divide{Service: "listing", RangeBits: rigBits}})
	for n, name := range []string{"a", "b"} {
		r.apply(pollenlatch.Command{Join: &pollenlatch.Join{Name: name, DC: "howrah", Incarnation: pollenlatch.Incarnation(n + 1)}})
	}
	r.announce(e)
	r.until = r.now.Add(rigLease)
}

func (r *rig) announce(e pollenlatch.Endpoint) {
	r.t.Helper()
	me, _ := r.state.Instance(1)
	r.apply(pollenlatch.Command{Announce: &pollenlatch.Announce{Instance: 1, Lease: me.Lease, Endpoint: e}})
}

func (r *rig) shard(n int) pollenlatch.Shard {
	return pollenlatch.Shard{Service: "listing", Range: pollenlatch.Range(n)}
}

func (r *rig) fence(n int) pollenlatch.Fence {
	o, _ := r.state.ShardOwner(r.shard(n))
	return o.Fence
}

// own gives ranges to instance 1, each with a fence of its own.
func (r *rig) own(ranges ...int) {
	r.t.Helper()
	for _, n := range ranges {
		r.apply(pollenlatch.Command{Assign: &pollenlatch.Assign{Items: []pollenlatch.AssignItem{{Shard: r.shard(n), To: 1, ExpectedFence: r.fence(n)}}}})
	}
}

func (r *rig) freeze(n int) lease.Key {
	r.t.Helper()
	r.apply(pollenlatch.Command{Freeze: &pollenlatch.Freeze{Items: []pollenlatch.FreezeItem{{Shard: r.shard(n), To: 2, ExpectedFence: r.fence(n)}}}})
	return lease.Key{Shard: r.shard(n), Fence: r.fence(n)}
}

func endpoint(id string, born int64) pollenlatch.Endpoint {
	return pollenlatch.Endpoint{
		Service: "listing", Addr: "127.0.0.1:1", Incarnation: pollenlatch.Incarnation(born), Slots: 9,
		Fenced: true, Ready: true, Heartbeats: true, ID: id, StartedAt: born,
	}
}

// rows returns the rows of whole ranges.
func rows(fence pollenlatch.Fence, ranges ...int) []pollenlatch.KeyRange {
	var list []pollenlatch.KeyRange
	for _, n := range ranges {
		list = append(list, pollenlatch.KeyRange{First: uint32(n * rigWidth), Last: uint32((n+1)*rigWidth - 1), Fence: fence})
	}
	return list
}

// beat sends the next heartbeat of a server.
func (r *rig) beat(e pollenlatch.Endpoint, holds ...pollenlatch.KeyRange) pollenlatch.HeartbeatReply {
	r.t.Helper()
	r.seq++
	h, err := r.k.Heartbeat(pollenlatch.Heartbeat{Endpoint: e, Seq: r.seq, Held: holds})
	require.NoError(r.t, err)
	return h
}

// await starts the wait for a release and returns what tells its end.
func (r *rig) await(k lease.Key) *string {
	var token *string
	got := new(string)
	*got = "waiting"
	token = got
	r.k.AwaitRelease(k, func(s string) { *token = "released " + s })
	return got
}

// A restarted daemon may get its server's heartbeat before it has a state. What
// the server holds must not count as released then: another server would get it
// at the same time. (acg-mesh trouble-2, OWNER.)
func TestHeartbeatBeforeTheState(t *testing.T) {
	r, e := newRig(t), endpoint("i-1", 1)
	r.beat(e, rows(7, 3)...)
	r.load(e)
	r.own(3)
	end := r.await(r.freeze(3))
	require.Equal(t, "waiting", *end)
	r.now = r.now.Add(time.Second)
	r.until = r.now.Add(rigLease)
	hold := r.beat(e, rows(7, 3)...)
	require.Empty(t, hold.Ranges, "a range that is handed over is left out")
	require.Equal(t, "waiting", *end)
	r.now = r.now.Add(100 * time.Millisecond)
	r.beat(e)
	require.Equal(t, "released ", *end)
}

// The answer grants what the state says, for no longer than the lease.
func TestAnswerGrants(t *testing.T) {
	r, e := newRig(t), endpoint("i-1", 1)
	r.load(e)
	r.own(0, 1, 5)
	hold := r.beat(e)
	require.Equal(t, []pollenlatch.KeyRange{
		{First: 0, Last: 2*rigWidth - 1, Fence: r.fence(1)}, // the highest of both
		{First: 5 * rigWidth, Last: 6*rigWidth - 1, Fence: r.fence(5)},
	}, hold.Ranges)
	require.Less(t, lease.WithDrift(hold.TTL), rigLease)
	require.Greater(t, hold.TTL, rigLease*9/10)

	t.Run("not without a lease", func(t *testing.T) {
		r.until = 0
		require.Zero(t, r.beat(e, rows(9, 0, 1, 5)...).TTL)
	})
	t.Run("not longer than the server accepts", func(t *testing.T) {
		r.until = r.now.Add(time.Minute)
		require.Equal(t, 10*time.Second, r.beat(e).TTL)
	})
	t.Run("not to another server than the state names", func(t *testing.T) {
		require.Zero(t, r.beat(endpoint("i-2", 2)).TTL)
	})
}

// A server refuses a row whose fence is lower than one that it has seen. When
// neighbours that shared a row part, each keeps the fence that it was given.
func TestFenceNeverFalls(t *testing.T) {
	r, e := newRig(t), endpoint("i-1", 1)
	r.load(e)
	r.own(0, 1)
	high := r.beat(e).Ranges[0].Fence
	require.Equal(t, r.fence(1), high)
	r.freeze(1)
	require.Equal(t, high, r.beat(e, rows(high, 0, 1)...).Ranges[0].Fence)

	t.Run("nor for a new process of the daemon", func(t *testing.T) {
		r.k = New(r.k.cfg)
		require.Equal(t, high, r.beat(e, rows(high, 0)...).Ranges[0].Fence)
	})
	t.Run("nor for a new process whose server has lost its holds meanwhile", func(t *testing.T) {
		r.k = New(r.k.cfg)
		r.began = r.state.Version()
		hold := r.beat(e)
		require.GreaterOrEqual(t, hold.Ranges[0].Fence, high, "the server refuses the row for ever")
		require.LessOrEqual(t, hold.Ranges[0].Fence, pollenlatch.Fence(r.state.Version()), "a later owner may get a lower fence")
		r.own(7)
		hold = r.beat(e, hold.Ranges...)
		require.Equal(t, r.fence(7), hold.Ranges[len(hold.Ranges)-1].Fence, "an assignment since then has its own fence")
	})
}

// A range counts as released only on proof.
func TestRelease(t *testing.T) {
	start := func(t *testing.T) (*rig, pollenlatch.Endpoint, *string) {
		t.Helper()
		r, e := newRig(t), endpoint("i-1", 1)
		r.load(e)
		r.own(0, 1)
		r.beat(e)
		return r, e, r.await(r.freeze(1))
	}
	t.Run("the server reports it until it has ended its work", func(t *testing.T) {
		r, e, end := start(t)
		r.beat(e, rows(9, 0, 1)...)
		r.beat(e, rows(9, 0, 1)...)
		require.Equal(t, "waiting", *end)
		r.seq++
		_, err := r.k.Heartbeat(pollenlatch.Heartbeat{Endpoint: e, Seq: r.seq, Held: rows(9, 0), Released: []pollenlatch.KeyRange{
			{First: rigWidth, Last: 2*rigWidth - 1, Token: "warm"},
		}})
		require.NoError(t, err)
		require.Equal(t, "released warm", *end)
	})
	t.Run("a heartbeat that was answered before proves nothing", func(t *testing.T) {
		r, e, end := start(t)
		_, err := r.k.Heartbeat(pollenlatch.Heartbeat{Endpoint: e, Seq: r.seq})
		require.NoError(t, err)
		require.Equal(t, "waiting", *end)
	})
	t.Run("the hold runs out", func(t *testing.T) {
		r, _, end := start(t)
		r.now = r.now.Add(rigLease - 200*time.Millisecond)
		r.k.settle(r.now)
		require.Equal(t, "waiting", *end)
		r.now = r.now.Add(200 * time.Millisecond)
		r.k.settle(r.now)
		require.Equal(t, "released ", *end)
	})
	t.Run("its successor has started", func(t *testing.T) {
		r, _, end := start(t)
		r.beat(endpoint("i-2", 2))
		require.Equal(t, "released ", *end)
	})
	t.Run("what an earlier process granted counts for a lease", func(t *testing.T) {
		r, _, _ := start(t)
		r.k = New(r.k.cfg)
		end := r.await(lease.Key{Shard: r.shard(1), Fence: r.fence(1)})
		require.Equal(t, "waiting", *end)
		r.now = r.now.Add(rigLease)
		r.k.settle(r.now)
		require.Equal(t, "released ", *end)
	})
}

// A heartbeat of a server that has ended must not bring it back.
func TestLateHeartbeats(t *testing.T) {
	r := newRig(t)
	first, second := endpoint("i-1", 1), endpoint("i-2", 2)
	r.load(first)
	r.beat(first)
	r.beat(second)
	_, err := r.k.Heartbeat(pollenlatch.Heartbeat{Endpoint: first, Seq: 99})
	require.ErrorIs(t, err, ErrSuperseded)

	t.Run("of a start nobody has heard of", func(t *testing.T) {
		_, err := r.k.Heartbeat(pollenlatch.Heartbeat{Endpoint: endpoint("i-0", 0), Seq: 1})
		require.ErrorIs(t, err, ErrSuperseded)
	})
	t.Run("a server whose clock was set back is taken once the other is silent", func(t *testing.T) {
		r.now = r.now.Add(silentBeats * time.Second)
		_, err := r.k.Heartbeat(pollenlatch.Heartbeat{Endpoint: pollenlatch.Endpoint{Incarnation: 77, ID: "i-3", StartedAt: 1, Service: "listing"}, Seq: 1})
		require.NoError(t, err)
	})
}

// A request must not be sent for a range that the server has not been granted:
// it counts as a repeat when it is refused.
func TestHolds(t *testing.T) {
	r, e := newRig(t), endpoint("i-1", 1)
	held := func(n int) bool {
		ok, _ := r.k.HasGrant(r.shard(n), r.fence(n))
		return ok
	}
	r.load(e)
	r.own(0)
	require.True(t, held(0), "a new process trusts what its predecessor granted")
	r.beat(e)
	require.True(t, held(0))
	r.own(1)
	require.False(t, held(1))
	_, wait := r.k.HasGrant(r.shard(1), r.fence(1))
	require.Equal(t, time.Second, wait)
	r.beat(e, rows(9, 0)...)
	require.True(t, held(1))
	r.k.ServerRefused(r.shard(1))
	require.False(t, held(1), "the server refused it")
	r.freeze(0)
	require.True(t, held(0), "served until the server is told to release it")
	r.beat(e, rows(9, 0, 1)...)
	require.False(t, held(0))
	r.now = r.now.Add(rigLease)
	require.False(t, held(1), "the hold has run out")
}

// The answer to a heartbeat is bounded. What the server holds must stay in it.
func TestAnswerFits(t *testing.T) {
	list := rows(1234, 0, 2, 4, 6, 8, 10)
	for n := range list {
		list[n].Token = "0123456789abcdef"
	}
	size := rowBytes(list[0])
	got := fit(list, 4*size, func(r pollenlatch.KeyRange) bool { return r.First >= 6*rigWidth })
	require.LessOrEqual(t, len(got)*size, 4*size)
	for _, r := range rows(0, 6, 8, 10) {
		require.Contains(t, firsts(got), r.First)
	}
}

func firsts(list []pollenlatch.KeyRange) []uint32 {
	var out []uint32
	for _, r := range list {
		out = append(out, r.First)
	}
	return out
}

// A server may refuse a request before it has received the answer that grants
// the key. The key must not go elsewhere on the strength of that refusal: the
// server takes it when the answer arrives.
func TestRefusalIsNoRelease(t *testing.T) {
	r, e := newRig(t), endpoint("i-1", 1)
	r.load(e)
	r.own(0, 1)
	r.beat(e)
	key := lease.Key{Shard: r.shard(1), Fence: r.fence(1)}
	held, _ := r.k.HasGrant(key.Shard, key.Fence)
	require.True(t, held)

	r.k.ServerRefused(key.Shard)
	held, _ = r.k.HasGrant(key.Shard, key.Fence)
	require.False(t, held, "requests go on to a server that refuses them")
	end := r.await(r.freeze(1))
	require.Equal(t, "waiting", *end, "the key is released while its grant is on the way")

	r.beat(e, rows(9, 0)...)
	require.Equal(t, "released ", *end, "a later heartbeat does not list it")
}
