package beat

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/lease"
	"pollenlatch/state"
)

// fixture is a tracker on instance 1 of a service with 16 ranges. It serves as its
// own Control, EndpointObserver and Clock.
type fixture struct {
	t           *testing.T
	tracker     *Tracker
	now         pollenlatch.MonoTime
	leaseEnd    pollenlatch.MonoTime
	joinVersion pollenlatch.Version
	announced   []pollenlatch.Endpoint
	lost        int
	seq         uint64

	mu      sync.Mutex // guards the fields below against calls of the tracker
	state   *state.State
	changed chan struct{} // closed when the state changes; nil before the first call of Changed
}

func (f *fixture) Now() pollenlatch.MonoTime    { return f.now }
func (f *fixture) Self() pollenlatch.InstanceID { return 1 }
func (f *fixture) View() pollenlatch.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *fixture) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}
func (f *fixture) LeaseEnd() pollenlatch.MonoTime   { return f.leaseEnd }
func (f *fixture) JoinVersion() pollenlatch.Version { return f.joinVersion }
func (f *fixture) Announce(e pollenlatch.Endpoint)  { f.announced = append(f.announced, e) }
func (f *fixture) Lost(bool)                        { f.lost++ }

const (
	testLease     = 4 * time.Second
	testRangeBits = 4
	keysPerRange  = 1 << (pollenlatch.KeyBits - testRangeBits)
)

// newFixture returns a fixture whose state is still empty.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, now: pollenlatch.MonoTime(time.Hour), state: new(state.State)}
	f.tracker = New(Config{Control: f, Observer: f, Clock: f, Interval: time.Second, MaxTTL: 10 * time.Second, InheritedTTL: testLease})
	return f
}

func (f *fixture) apply(c pollenlatch.Command) {
	f.t.Helper()
	f.mu.Lock()
	defer f.mu.Unlock()
	var res state.Result
	f.state, res = f.state.Apply(f.state.Version()+1, &c)
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
	require.Empty(f.t, res.Rejection)
}

// initState fills the state with a service, instances 1 and 2, and the server of
// instance 1, and starts the lease.
func (f *fixture) initState(e pollenlatch.Endpoint) {
	f.t.Helper()
	svc := pollenlatch.Service{Name: "listing", Keyed: true, NumericKeys: true, Heartbeats: true, MaxRun: time.Second}
	f.apply(pollenlatch.Command{Change: &pollenlatch.ConfigChange{Items: []pollenlatch.ConfigItem{
		{Kind: pollenlatch.ItemService, Name: "listing", Revision: 1, Service: &svc},
	}}})
	f.apply(pollenlatch.Command{Divide: &pollenlatch.Divide{Service: "listing", RangeBits: testRangeBits}})
	for n, name := range []string{"a", "b"} {
		f.apply(pollenlatch.Command{Join: &pollenlatch.Join{Name: name, DC: "howrah", Incarnation: pollenlatch.Incarnation(n + 1)}})
	}
	f.announce(e)
	f.leaseEnd, f.joinVersion = f.now.Add(testLease), f.state.Version()
}

func (f *fixture) announce(e pollenlatch.Endpoint) {
	f.t.Helper()
	me, _ := f.state.Instance(1)
	f.apply(pollenlatch.Command{Announce: &pollenlatch.Announce{Instance: 1, Lease: me.Lease, Endpoint: e}})
}

func (f *fixture) shard(n int) pollenlatch.Shard {
	return pollenlatch.Shard{Service: "listing", Range: pollenlatch.Range(n)}
}

func (f *fixture) fence(n int) pollenlatch.Fence {
	o, _ := f.state.ShardOwner(f.shard(n))
	return o.Fence
}

// assign assigns ranges to instance 1, each with its own fence.
func (f *fixture) assign(ranges ...int) {
	f.t.Helper()
	for _, n := range ranges {
		f.apply(pollenlatch.Command{Assign: &pollenlatch.Assign{Items: []pollenlatch.AssignItem{{Shard: f.shard(n), To: 1, ExpectedFence: f.fence(n)}}}})
	}
}

func (f *fixture) freeze(n int) lease.Key {
	f.t.Helper()
	f.apply(pollenlatch.Command{Freeze: &pollenlatch.Freeze{Items: []pollenlatch.FreezeItem{{Shard: f.shard(n), To: 2, ExpectedFence: f.fence(n)}}}})
	return lease.Key{Shard: f.shard(n), Fence: f.fence(n)}
}

func newEndpoint(id string, startedAt int64) pollenlatch.Endpoint {
	return pollenlatch.Endpoint{
		Service: "listing", Addr: "127.0.0.1:1", Incarnation: pollenlatch.Incarnation(startedAt), Slots: 9,
		Fenced: true, Ready: true, Heartbeats: true, ID: id, StartedAt: startedAt,
	}
}

// keyRanges returns one key range for each range.
func keyRanges(fence pollenlatch.Fence, ranges ...int) []pollenlatch.KeyRange {
	var out []pollenlatch.KeyRange
	for _, n := range ranges {
		out = append(out, pollenlatch.KeyRange{First: uint32(n * keysPerRange), Last: uint32((n+1)*keysPerRange - 1), Fence: fence})
	}
	return out
}

// heartbeat sends the next heartbeat of a server.
func (f *fixture) heartbeat(e pollenlatch.Endpoint, held ...pollenlatch.KeyRange) pollenlatch.HeartbeatReply {
	f.t.Helper()
	f.seq++
	reply, err := f.tracker.Heartbeat(pollenlatch.Heartbeat{Endpoint: e, Seq: f.seq, Held: held})
	require.NoError(f.t, err)
	return reply
}

// awaitRelease waits for a release in the background. The result points to
// "waiting", and to "released TOKEN" from the release on.
func (f *fixture) awaitRelease(key lease.Key) *string {
	var token *string
	result := new(string)
	*result = "waiting"
	token = result
	f.tracker.AwaitRelease(key, func(s string) { *token = "released " + s })
	return result
}

// A restarted daemon may receive a heartbeat of its server before it has a state.
// If the ranges that the server holds then counted as released, another server
// would get them at the same time.
func TestHeartbeatBeforeState(t *testing.T) {
	f, e := newFixture(t), newEndpoint("i-1", 1)
	f.heartbeat(e, keyRanges(7, 3)...)
	f.initState(e)
	f.assign(3)
	released := f.awaitRelease(f.freeze(3))
	require.Equal(t, "waiting", *released)
	f.now = f.now.Add(time.Second)
	f.leaseEnd = f.now.Add(testLease)
	reply := f.heartbeat(e, keyRanges(7, 3)...)
	require.Empty(t, reply.Ranges, "a range that is being handed over must not be granted")
	require.Equal(t, "waiting", *released)
	f.now = f.now.Add(100 * time.Millisecond)
	f.heartbeat(e)
	require.Equal(t, "released ", *released)
}

// A reply must grant exactly the ranges that the state assigns, and for less time
// than the lease lasts.
func TestReplyGrants(t *testing.T) {
	f, e := newFixture(t), newEndpoint("i-1", 1)
	f.initState(e)
	f.assign(0, 1, 5)
	reply := f.heartbeat(e)
	require.Equal(t, []pollenlatch.KeyRange{
		{First: 0, Last: 2*keysPerRange - 1, Fence: f.fence(1)}, // merged: the highest fence of both
		{First: 5 * keysPerRange, Last: 6*keysPerRange - 1, Fence: f.fence(5)},
	}, reply.Ranges)
	require.Less(t, lease.WithDrift(reply.TTL), testLease)
	require.Greater(t, reply.TTL, testLease*9/10)

	t.Run("not without a lease", func(t *testing.T) {
		f.leaseEnd = 0
		require.Zero(t, f.heartbeat(e, keyRanges(9, 0, 1, 5)...).TTL)
	})
	t.Run("not longer than the server accepts", func(t *testing.T) {
		f.leaseEnd = f.now.Add(time.Minute)
		require.Equal(t, 10*time.Second, f.heartbeat(e).TTL)
	})
	t.Run("not to a server that the state does not include", func(t *testing.T) {
		require.Zero(t, f.heartbeat(newEndpoint("i-2", 2)).TTL)
	})
}

// A server refuses a key range whose fence is lower than one that it has received.
// So when ranges that were granted as one key range are granted separately, each
// must keep the fence of that key range.
func TestFenceNeverDecreases(t *testing.T) {
	f, e := newFixture(t), newEndpoint("i-1", 1)
	f.initState(e)
	f.assign(0, 1)
	highest := f.heartbeat(e).Ranges[0].Fence
	require.Equal(t, f.fence(1), highest)
	f.freeze(1)
	require.Equal(t, highest, f.heartbeat(e, keyRanges(highest, 0, 1)...).Ranges[0].Fence)

	t.Run("in a new process of the daemon", func(t *testing.T) {
		f.tracker = New(f.tracker.cfg)
		require.Equal(t, highest, f.heartbeat(e, keyRanges(highest, 0)...).Ranges[0].Fence)
	})
	t.Run("in a new process whose server has lost its grants meanwhile", func(t *testing.T) {
		f.tracker = New(f.tracker.cfg)
		f.joinVersion = f.state.Version()
		reply := f.heartbeat(e)
		require.GreaterOrEqual(t, reply.Ranges[0].Fence, highest, "the server would refuse the key range for ever")
		require.LessOrEqual(t, reply.Ranges[0].Fence, pollenlatch.Fence(f.state.Version()), "a later owner could get a lower fence")
		f.assign(7)
		reply = f.heartbeat(e, reply.Ranges...)
		require.Equal(t, f.fence(7), reply.Ranges[len(reply.Ranges)-1].Fence, "a later assignment must have its own fence")
	})
}

// If a range counted as released while the server may still hold it, two servers
// would run requests of the same keys.
func TestAwaitRelease(t *testing.T) {
	start := func(t *testing.T) (*fixture, pollenlatch.Endpoint, *string) {
		t.Helper()
		f, e := newFixture(t), newEndpoint("i-1", 1)
		f.initState(e)
		f.assign(0, 1)
		f.heartbeat(e)
		return f, e, f.awaitRelease(f.freeze(1))
	}
	t.Run("the server lists the range until its requests have completed", func(t *testing.T) {
		f, e, released := start(t)
		f.heartbeat(e, keyRanges(9, 0, 1)...)
		f.heartbeat(e, keyRanges(9, 0, 1)...)
		require.Equal(t, "waiting", *released)
		f.seq++
		_, err := f.tracker.Heartbeat(pollenlatch.Heartbeat{Endpoint: e, Seq: f.seq, Held: keyRanges(9, 0), Released: []pollenlatch.KeyRange{
			{First: keysPerRange, Last: 2*keysPerRange - 1, Token: "warm"},
		}})
		require.NoError(t, err)
		require.Equal(t, "released warm", *released)
	})
	t.Run("a duplicate heartbeat proves nothing", func(t *testing.T) {
		f, e, released := start(t)
		_, err := f.tracker.Heartbeat(pollenlatch.Heartbeat{Endpoint: e, Seq: f.seq})
		require.NoError(t, err)
		require.Equal(t, "waiting", *released)
	})
	t.Run("the grants expire", func(t *testing.T) {
		f, _, released := start(t)
		f.now = f.now.Add(testLease - 200*time.Millisecond)
		f.tracker.notifyReleased(f.now)
		require.Equal(t, "waiting", *released)
		f.now = f.now.Add(200 * time.Millisecond)
		f.tracker.notifyReleased(f.now)
		require.Equal(t, "released ", *released)
	})
	t.Run("another server process has replaced it", func(t *testing.T) {
		f, _, released := start(t)
		f.heartbeat(newEndpoint("i-2", 2))
		require.Equal(t, "released ", *released)
	})
	t.Run("grants of an earlier daemon process remain valid for the inherited TTL", func(t *testing.T) {
		f, _, _ := start(t)
		f.tracker = New(f.tracker.cfg)
		released := f.awaitRelease(lease.Key{Shard: f.shard(1), Fence: f.fence(1)})
		require.Equal(t, "waiting", *released)
		f.now = f.now.Add(testLease)
		f.tracker.notifyReleased(f.now)
		require.Equal(t, "released ", *released)
	})
}

// Guards against keys that count as released while the server lists them: it lists a
// key twice when its fence has risen while a request from before is still running, and
// the search through the list missed the wider of two such key ranges.
func TestOverlappingHeldKeyRanges(t *testing.T) {
	wide := pollenlatch.KeyRange{First: 0, Last: 4*keysPerRange - 1, Fence: 45}
	inner := func(fence pollenlatch.Fence, first, last uint32) pollenlatch.KeyRange {
		return pollenlatch.KeyRange{First: first, Last: last, Fence: fence}
	}
	for _, tt := range []struct {
		name string
		held []pollenlatch.KeyRange
	}{
		{"one at the start of the other", []pollenlatch.KeyRange{wide, inner(34, 0, 20)}},
		{"one inside the other", []pollenlatch.KeyRange{wide, inner(34, keysPerRange+7, keysPerRange+7)}},
		{"the inner one first", []pollenlatch.KeyRange{inner(34, 0, 127), wide}},
		{"several inside", []pollenlatch.KeyRange{wide, inner(34, 20, 20), inner(31, 30, 40), inner(34, keysPerRange, 2*keysPerRange)}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f, e := newFixture(t), newEndpoint("i-1", 1)
			f.initState(e)
			f.assign(0, 1, 2, 3)
			f.heartbeat(e)
			var released []*string
			for n := range 4 {
				released = append(released, f.awaitRelease(f.freeze(n)))
			}
			f.heartbeat(e, tt.held...)
			for n, r := range released {
				require.Equal(t, "waiting", *r, "range %d is listed as held", n)
			}
			f.heartbeat(e, inner(34, 20, 20))
			for n, r := range released {
				require.Equal(t, n == 0, *r == "waiting", "range %d", n)
			}
		})
	}
	t.Run("at random", func(t *testing.T) {
		rng := rand.New(rand.NewPCG(34, 1))
		f, e := newFixture(t), newEndpoint("i-1", 1)
		f.initState(e)
		svc, _ := f.state.Service("listing")
		for range 2000 {
			var held []pollenlatch.KeyRange
			for range rng.IntN(5) {
				first := rng.Uint32N(1 << pollenlatch.KeyBits)
				held = append(held, inner(pollenlatch.Fence(rng.IntN(50)), first, first+rng.Uint32N(1<<pollenlatch.KeyBits-first)>>rng.IntN(12)))
			}
			f.heartbeat(e, held...)
			for n := range 1 << testRangeBits {
				first, last := svc.Keys(pollenlatch.Range(n))
				want := slices.ContainsFunc(held, func(kr pollenlatch.KeyRange) bool { return kr.First <= last && kr.Last >= first })
				require.Equal(t, want, f.tracker.reportsHeld(svc, pollenlatch.Range(n)), "range %d of %v", n, held)
			}
		}
	})
}

// A delayed heartbeat of a server that has ended must not make it the current
// server again.
func TestHeartbeatOfReplacedServer(t *testing.T) {
	f := newFixture(t)
	old, current := newEndpoint("i-1", 1), newEndpoint("i-2", 2)
	f.initState(old)
	f.heartbeat(old)
	f.heartbeat(current)
	_, err := f.tracker.Heartbeat(pollenlatch.Heartbeat{Endpoint: old, Seq: 99})
	require.ErrorIs(t, err, ErrSuperseded)

	t.Run("of an earlier process that sent no heartbeat before", func(t *testing.T) {
		_, err := f.tracker.Heartbeat(pollenlatch.Heartbeat{Endpoint: newEndpoint("i-0", 0), Seq: 1})
		require.ErrorIs(t, err, ErrSuperseded)
	})
	t.Run("a server whose clock was set back replaces one with missed heartbeats", func(t *testing.T) {
		f.now = f.now.Add(replaceAfterMissed * time.Second)
		_, err := f.tracker.Heartbeat(pollenlatch.Heartbeat{Endpoint: pollenlatch.Endpoint{Incarnation: 77, ID: "i-3", StartedAt: 1, Service: "listing"}, Seq: 1})
		require.NoError(t, err)
	})
}

// Guards against a delayed heartbeat of an earlier server that arrives first at a
// restarted daemon: the keys of the present server went to others while it held them.
func TestDelayedHeartbeatAfterRestart(t *testing.T) {
	old, current := newEndpoint("i-1", 1), newEndpoint("i-2", 2)
	start := func(t *testing.T) *fixture {
		t.Helper()
		f := newFixture(t)
		f.initState(current)
		f.assign(0, 1)
		f.heartbeat(current)
		f.announced = nil
		f.tracker = New(f.tracker.cfg)
		return f
	}
	requireCurrent := func(f *fixture) {
		t.Helper()
		released := f.awaitRelease(f.freeze(1))
		require.Equal(f.t, "waiting", *released)
		require.NotEmpty(f.t, f.heartbeat(current, keyRanges(9, 0, 1)...).Ranges)
		require.Equal(f.t, "waiting", *released)
		for _, e := range f.announced {
			require.Equal(f.t, current, e)
		}
		_, err := f.tracker.Heartbeat(pollenlatch.Heartbeat{Endpoint: old, Seq: 99})
		require.ErrorIs(f.t, err, ErrSuperseded)
	}
	t.Run("after the state", func(t *testing.T) {
		f := start(t)
		_, err := f.tracker.Heartbeat(pollenlatch.Heartbeat{Endpoint: old, Seq: 9})
		require.ErrorIs(t, err, ErrSuperseded)
		require.NoError(t, f.tracker.Inherit(current))
		requireCurrent(f)
	})
	t.Run("before the state", func(t *testing.T) {
		f := start(t)
		known, version := f.state, f.joinVersion
		f.state, f.joinVersion = new(state.State), 0
		_, err := f.tracker.Heartbeat(pollenlatch.Heartbeat{Endpoint: old, Seq: 9})
		require.NoError(t, err)
		require.Empty(t, f.announced)
		f.state, f.joinVersion = known, version
		require.NoError(t, f.tracker.Inherit(current))
		requireCurrent(f)
	})
	t.Run("the next server, before the state", func(t *testing.T) {
		f := start(t)
		known, version := f.state, f.joinVersion
		f.state, f.joinVersion = new(state.State), 0
		next := newEndpoint("i-3", 3)
		f.heartbeat(next)
		f.state, f.joinVersion = known, version
		require.NoError(t, f.tracker.Inherit(current))
		require.Equal(t, []pollenlatch.Endpoint{next}, f.announced)
	})
	t.Run("a server whose clock was set back", func(t *testing.T) {
		f := start(t)
		f.now = f.now.Add(replaceAfterMissed * time.Second)
		_, err := f.tracker.Heartbeat(pollenlatch.Heartbeat{Endpoint: old, Seq: 1})
		require.NoError(t, err)
	})
}

// Guards against heartbeats of other programs that replace the local server: its keys
// went to other servers while it held them, and its own heartbeats were refused for good.
func TestForeignHeartbeats(t *testing.T) {
	local := newEndpoint("i-1", 5)
	foreign := func(change func(*pollenlatch.Endpoint)) pollenlatch.Endpoint {
		e := newEndpoint("i-other", 99)
		change(&e)
		return e
	}
	for _, tt := range []struct {
		name string
		e    pollenlatch.Endpoint
		want error
	}{
		{"service that no configuration names", foreign(func(e *pollenlatch.Endpoint) { e.Service = "zumu07x" }), ErrOtherService},
		{"service of other instances", foreign(func(e *pollenlatch.Endpoint) { e.Service = "claims" }), ErrOtherService},
		{"another address", foreign(func(e *pollenlatch.Endpoint) { e.Addr = "127.0.0.1:2" }), ErrOtherAddress},
		{"another service under the ID of the server", foreign(func(e *pollenlatch.Endpoint) { e.ID, e.Service = local.ID, "claims" }), ErrOtherService},
		{"another service of the same incarnation", foreign(func(e *pollenlatch.Endpoint) { *e = local; e.Service = "claims" }), ErrOtherService},
		{"leaving", foreign(func(e *pollenlatch.Endpoint) { *e = local; e.Service, e.Draining = "claims", true }), ErrOtherService},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.tracker.cfg.Service, f.tracker.cfg.Addr = local.Service, local.Addr
			requireRefused := func(moment string) {
				t.Helper()
				for seq := range uint64(3) {
					_, err := f.tracker.Heartbeat(pollenlatch.Heartbeat{Endpoint: tt.e, Seq: 1000 + seq})
					require.ErrorIs(t, err, tt.want, moment)
				}
			}
			requireRefused("before the first heartbeat")
			f.initState(local)
			f.assign(0, 1)
			f.heartbeat(local)
			requireRefused("while the server holds keys")
			reply := f.heartbeat(local, keyRanges(9, 0, 1)...)
			require.NotEmpty(t, reply.Ranges, "the server lost its keys")
			released := f.awaitRelease(f.freeze(1))
			requireRefused("during a hand-over")
			require.Equal(t, "waiting", *released)
			f.tracker = New(f.tracker.cfg)
			requireRefused("after a restart of the daemon")
			require.ErrorIs(t, f.tracker.Inherit(tt.e), tt.want)
			require.NotEmpty(t, f.heartbeat(local, keyRanges(9, 0, 1)...).Ranges, "the server lost its keys")
			for _, e := range f.announced {
				require.Equal(t, local, e)
			}
		})
	}
	t.Run("the configuration names the service later", func(t *testing.T) {
		f := newFixture(t)
		f.tracker.cfg.Service, f.tracker.cfg.Addr = local.Service, local.Addr
		require.Zero(t, f.heartbeat(local).TTL)
		f.initState(local)
		f.assign(0)
		require.NotEmpty(t, f.heartbeat(local).Ranges)
	})
}

// A request must not be sent to a server without a grant of its range. The server
// would refuse it, and the next attempt would count as a retry.
func TestHasGrant(t *testing.T) {
	f, e := newFixture(t), newEndpoint("i-1", 1)
	hasGrant := func(n int) bool {
		ok, _ := f.tracker.HasGrant(f.shard(n), f.fence(n))
		return ok
	}
	f.initState(e)
	f.assign(0)
	require.True(t, hasGrant(0), "a new process must assume that the grants of the earlier one are valid")
	f.heartbeat(e)
	require.True(t, hasGrant(0))
	f.assign(1)
	require.False(t, hasGrant(1))
	_, wait := f.tracker.HasGrant(f.shard(1), f.fence(1))
	require.Equal(t, time.Second, wait)
	f.heartbeat(e, keyRanges(9, 0)...)
	require.True(t, hasGrant(1))
	f.tracker.ServerRefused(f.shard(1))
	require.False(t, hasGrant(1), "the server refused it")
	f.freeze(0)
	require.True(t, hasGrant(0), "the grant must remain valid until a reply omits it")
	f.heartbeat(e, keyRanges(9, 0, 1)...)
	require.False(t, hasGrant(0))
	f.now = f.now.Add(testLease)
	require.False(t, hasGrant(1), "the grants have expired")
}

// Neighbouring ranges that were released with different tokens take a row each, more
// than a reply holds. Without their tokens they must share rows: otherwise the rows that
// the server holds fill every later reply, and it never gets the rest of its ranges.
func TestLimitSizeMergesNeighbours(t *testing.T) {
	const maxBytes = 4 << 10
	held := make(map[uint32]bool)
	for reply := range 3 {
		var ranges []pollenlatch.KeyRange
		for n := range uint32(1024) {
			kr := pollenlatch.KeyRange{First: 64 * n, Last: 64*n + 63, Fence: pollenlatch.Fence(1000 + n)}
			if !held[kr.First] {
				kr.Token = fmt.Sprintf("%016x", n)
			}
			ranges = append(ranges, kr)
		}
		got := limitSize(mergeAdjacent(ranges), maxBytes, func(kr pollenlatch.KeyRange) bool { return held[kr.First] })
		keys := uint32(0)
		for _, kr := range got {
			keys += kr.Last - kr.First + 1
			for first := kr.First; first < kr.Last; first += 64 {
				held[first] = true
			}
		}
		require.EqualValues(t, 1<<16, keys, "reply %d", reply)
	}
}

// The size of a reply is limited. Key ranges that the server holds must not be
// omitted for that, since the server would release them.
func TestLimitSize(t *testing.T) {
	ranges := keyRanges(1234, 0, 2, 4, 6, 8, 10)
	for n := range ranges {
		ranges[n].Token = "0123456789abcdef"
	}
	size := encodedBytes(ranges[0])
	got := limitSize(ranges, 4*size, func(r pollenlatch.KeyRange) bool { return r.First >= 6*keysPerRange })
	require.LessOrEqual(t, len(got)*size, 4*size)
	for _, r := range keyRanges(0, 6, 8, 10) {
		require.Contains(t, firstKeys(got), r.First)
	}
}

func firstKeys(ranges []pollenlatch.KeyRange) []uint32 {
	var out []uint32
	for _, r := range ranges {
		out = append(out, r.First)
	}
	return out
}

// A server may refuse a request before it has received the reply that grants the
// key. The refusal must not count as a release: the server holds the key once the
// reply arrives, and another server would get it at the same time.
func TestRefusalDoesNotRelease(t *testing.T) {
	f, e := newFixture(t), newEndpoint("i-1", 1)
	f.initState(e)
	f.assign(0, 1)
	f.heartbeat(e)
	key := lease.Key{Shard: f.shard(1), Fence: f.fence(1)}
	granted, _ := f.tracker.HasGrant(key.Shard, key.Fence)
	require.True(t, granted)

	f.tracker.ServerRefused(key.Shard)
	granted, _ = f.tracker.HasGrant(key.Shard, key.Fence)
	require.False(t, granted, "requests must not be sent to a server that refuses them")
	released := f.awaitRelease(f.freeze(1))
	require.Equal(t, "waiting", *released, "the key must not be released while its grant is on the way")

	f.heartbeat(e, keyRanges(9, 0)...)
	require.Equal(t, "released ", *released, "a later heartbeat does not list the key")
}
