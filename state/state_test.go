package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// harness applies commands to a state at consecutive indices.
type harness struct {
	t     testingT
	state *State
}

// testingT is implemented by *testing.T, *testing.B, *testing.F and *rapid.T.
type testingT interface {
	require.TestingT
	Helper()
}

func newHarness(tb testingT, bits uint32, instances ...string) *harness {
	tb.Helper()
	h := &harness{t: tb, state: new(State)}
	h.ticket(1, "first", pollenlatch.Spec{Services: []pollenlatch.Service{keyedService("listing", bits)}})
	for n, name := range instances {
		h.join(name, pollenlatch.Incarnation(n+1))
	}
	return h
}

func keyedService(name string, bits uint32) pollenlatch.Service {
	return pollenlatch.Service{Name: name, Keyed: true, RangeBits: bits, MaxRun: 2 * time.Second}
}

func (h *harness) apply(c pollenlatch.Command) Result {
	h.t.Helper()
	s, res := h.state.Apply(h.state.Version()+1, &c)
	h.state = s
	return res
}

func (h *harness) ticket(n uint64, text string, spec pollenlatch.Spec) pollenlatch.Verdict {
	h.t.Helper()
	res := h.apply(pollenlatch.Command{Ticket: &pollenlatch.Ticket{Number: n, Text: text, Sender: "op", ReceivedAt: 1000, Spec: spec}})
	return *res.Verdict
}

func (h *harness) join(name string, inc pollenlatch.Incarnation) Result {
	h.t.Helper()
	return h.apply(pollenlatch.Command{Join: &pollenlatch.Join{Name: name, DC: "nadia", Incarnation: inc}})
}

func (h *harness) expire(id pollenlatch.InstanceID) Result {
	h.t.Helper()
	return h.apply(pollenlatch.Command{Expire: &pollenlatch.Expire{Instance: id, Lease: h.lease(id)}})
}

func (h *harness) lease(id pollenlatch.InstanceID) pollenlatch.Lease {
	i, _ := h.state.Instance(id)
	return i.Lease
}

func (h *harness) assign(shard pollenlatch.Shard, to pollenlatch.InstanceID, expect pollenlatch.Fence, released pollenlatch.Lease) string {
	h.t.Helper()
	return h.apply(pollenlatch.Command{Assign: &pollenlatch.Assign{Items: []pollenlatch.AssignItem{
		{Shard: shard, To: to, ExpectedFence: expect, ReleasedLease: released},
	}}}).Rejection
}

func (h *harness) freeze(shard pollenlatch.Shard, to pollenlatch.InstanceID) string {
	h.t.Helper()
	return h.apply(pollenlatch.Command{Freeze: &pollenlatch.Freeze{Items: []pollenlatch.FreezeItem{
		{Shard: shard, To: to, ExpectedFence: h.fence(shard)},
	}}}).Rejection
}

func (h *harness) fence(shard pollenlatch.Shard) pollenlatch.Fence {
	o, _ := h.state.ShardOwner(shard)
	return o.Fence
}

func (h *harness) owner(shard pollenlatch.Shard) pollenlatch.Owner {
	h.t.Helper()
	o, ok := h.state.ShardOwner(shard)
	require.True(h.t, ok, "%v", shard)
	return o
}

// reload replaces the state by one loaded from its snapshot, and checks that both
// have the same encoding.
func (h *harness) reload() {
	h.t.Helper()
	b, err := h.state.Snapshot()
	require.NoError(h.t, err)
	s, err := Load(b)
	require.NoError(h.t, err)
	again, err := s.Snapshot()
	require.NoError(h.t, err)
	require.Equal(h.t, b, again)
	h.state = s
}

func rangeShard(r pollenlatch.Range) pollenlatch.Shard {
	return pollenlatch.Shard{Service: "listing", Range: r}
}

func keyShard(key string, bits uint32) pollenlatch.Shard {
	return pollenlatch.Shard{Service: "listing", Range: pollenlatch.RangeOf("listing", key, bits), Key: key}
}

// If an instance could get a second lease, or a stale command could change its
// lease, two processes would serve under one name.
func TestLeases(t *testing.T) {
	h := newHarness(t, 4, "a", "b")
	first := h.lease(1)
	require.EqualValues(t, 2, first, "the lease is the index of the Join")

	t.Run("other incarnation is rejected while the lease lasts", func(t *testing.T) {
		require.Contains(t, h.join("a", 99).Rejection, "another incarnation")
		require.Equal(t, first, h.lease(1))
	})
	t.Run("duplicate of a join gets the same lease", func(t *testing.T) {
		res := h.join("a", 1)
		require.Empty(t, res.Rejection)
		require.Equal(t, first, res.Lease)
		require.EqualValues(t, 1, res.Instance)
	})
	t.Run("expire of another lease changes nothing", func(t *testing.T) {
		res := h.apply(pollenlatch.Command{Expire: &pollenlatch.Expire{Instance: 1, Lease: first + 1}})
		require.NotEmpty(t, res.Rejection)
		require.Equal(t, first, h.lease(1))
	})
	t.Run("announce under another lease changes nothing", func(t *testing.T) {
		res := h.apply(pollenlatch.Command{Announce: &pollenlatch.Announce{Instance: 1, Lease: first + 1}})
		require.NotEmpty(t, res.Rejection)
	})
	t.Run("same name keeps its ID and gets a new lease", func(t *testing.T) {
		require.Empty(t, h.expire(1).Rejection)
		require.Zero(t, h.lease(1))
		res := h.join("a", 99)
		require.EqualValues(t, 1, res.Instance)
		require.EqualValues(t, h.state.Version(), res.Lease)
		i, ok := h.state.InstanceByName("a")
		require.True(t, ok)
		require.EqualValues(t, 99, i.Incarnation)
	})
	h.reload()
}

// A shard that is reassigned without a release, or with a stale fence, has two
// owners for some time.
func TestOwnership(t *testing.T) {
	h := newHarness(t, 4, "a", "b", "c")
	shard := rangeShard(3)
	require.Empty(t, h.assign(shard, 1, 0, 0))
	fence := h.fence(shard)
	require.EqualValues(t, h.state.Version(), fence)

	t.Run("an owned range is not reassigned without a hand-over", func(t *testing.T) {
		require.Contains(t, h.assign(shard, 2, fence, 0), "not frozen")
		require.Contains(t, h.assign(shard, 2, fence, h.lease(1)), "not frozen")
	})
	t.Run("a stale fence is rejected", func(t *testing.T) {
		require.Contains(t, h.assign(shard, 2, fence-1, 0), "fence")
	})
	t.Run("a hand-over needs the target and the release", func(t *testing.T) {
		require.Empty(t, h.freeze(shard, 2))
		require.True(t, h.owner(shard).Frozen())
		h.reload()
		require.Contains(t, h.assign(shard, 3, fence, h.lease(1)), "not frozen to instance 3")
		require.Contains(t, h.assign(shard, 2, fence, 0), "released under lease 0")
		require.Contains(t, h.freeze(shard, 3), "already frozen")
		require.Empty(t, h.assign(shard, 2, fence, h.lease(1)))
		require.EqualValues(t, 2, h.owner(shard).Instance)
		require.False(t, h.owner(shard).Frozen())
	})
	t.Run("cancelling a hand-over invalidates the release", func(t *testing.T) {
		old := h.fence(shard)
		require.Empty(t, h.freeze(shard, 3))
		require.Empty(t, h.freeze(shard, 2))
		require.Greater(t, h.fence(shard), old)
		require.Empty(t, h.freeze(shard, 3))
		require.Contains(t, h.assign(shard, 3, old, h.lease(2)), "fence")
	})
	t.Run("the loss of the target cancels the hand-over", func(t *testing.T) {
		old := h.fence(shard)
		h.expire(3)
		require.Greater(t, h.fence(shard), old)
		require.False(t, h.owner(shard).Frozen())
		require.EqualValues(t, 2, h.owner(shard).Instance)
	})
	t.Run("the loss of the owner leaves no owner and keeps the fence", func(t *testing.T) {
		old := h.fence(shard)
		res := h.expire(2)
		require.Equal(t, []pollenlatch.Shard{shard}, res.Changed)
		require.Equal(t, pollenlatch.Owner{Shard: shard, Fence: old, Previous: 2}, h.owner(shard))
		h.reload()
		require.Contains(t, h.assign(shard, 2, old, 0), "no lease")
		require.Empty(t, h.assign(shard, 1, old, 0))
	})
	t.Run("items apply independently", func(t *testing.T) {
		res := h.apply(pollenlatch.Command{Assign: &pollenlatch.Assign{Items: []pollenlatch.AssignItem{
			{Shard: rangeShard(5), To: 1},
			{Shard: rangeShard(5), To: 1},
			{Shard: rangeShard(16), To: 1},
			{Shard: pollenlatch.Shard{Service: "none"}, To: 1},
		}}})
		require.Empty(t, res.Rejection)
		require.Empty(t, res.ItemRejections[0])
		require.Contains(t, res.ItemRejections[1], "fence")
		require.Contains(t, res.ItemRejections[2], "no range 16")
		require.Contains(t, res.ItemRejections[3], "does not exist")
		require.Equal(t, []pollenlatch.Shard{rangeShard(5)}, res.Changed)
	})
}

// If a hot key's owner record is created or removed without a release, the key has
// two owners: its own and that of its range.
func TestHotKeys(t *testing.T) {
	const bits = 4
	h := newHarness(t, bits, "a", "b", "c")
	k := keyShard("bale-7", bits)
	r := rangeShard(k.Range)
	require.Empty(t, h.assign(r, 1, 0, 0))

	t.Run("the first record needs the range's release", func(t *testing.T) {
		require.Contains(t, h.assign(k, 2, h.fence(r), 0), "not frozen")
		require.Empty(t, h.freeze(r, 2))
		require.Contains(t, h.assign(k, 2, h.fence(r), 0), "released under lease 0")
		old := h.fence(r)
		require.Empty(t, h.assign(k, 2, old, h.lease(1)))
		require.EqualValues(t, 2, h.owner(k).Instance)
		require.EqualValues(t, 1, h.owner(r).Instance, "the range keeps its owner")
		require.False(t, h.owner(r).Frozen())
		require.Greater(t, h.fence(r), old, "releases and requests with the old fence stay valid")
		o, _ := h.state.Owner("listing", "bale-7")
		require.EqualValues(t, 2, o.Instance)
		h.reload()
	})
	t.Run("a wrong range is rejected", func(t *testing.T) {
		bad := k
		bad.Range ^= 1
		require.Contains(t, h.assign(bad, 2, h.fence(r), 0), "is not in range")
	})
	t.Run("removal needs the key owner's release to the range's owner", func(t *testing.T) {
		require.Contains(t, h.assign(k, 0, h.fence(k), h.lease(2)), "not frozen")
		require.Empty(t, h.freeze(k, 3))
		require.Contains(t, h.assign(k, 0, h.fence(k), h.lease(2)), "not frozen to its range's owner")
		require.Empty(t, h.freeze(k, 2))
		require.Empty(t, h.freeze(k, 1))
		require.Contains(t, h.assign(k, 0, h.fence(k), 0), "released under lease 0")
		old := h.fence(r)
		require.Empty(t, h.assign(k, 0, h.fence(k), h.lease(2)))
		require.Greater(t, h.fence(r), old)
		_, ok := h.state.ShardOwner(k)
		require.False(t, ok)
		h.reload()
	})
	t.Run("a key owned by the range's owner drains before its record is removed", func(t *testing.T) {
		require.Empty(t, h.freeze(r, 2))
		require.Empty(t, h.assign(k, 2, h.fence(r), h.lease(1)))
		require.Empty(t, h.freeze(k, 1))
		require.Empty(t, h.assign(k, 1, h.fence(k), h.lease(2)))
		require.Contains(t, h.assign(k, 0, h.fence(k), h.lease(1)), "not frozen")
		require.Empty(t, h.freeze(k, 1))
		require.True(t, h.owner(k).Frozen())
		h.reload()
		require.Empty(t, h.assign(k, 0, h.fence(k), h.lease(1)))
	})
	t.Run("removal after idempotency records were lost marks the range", func(t *testing.T) {
		require.Empty(t, h.freeze(r, 2))
		require.Empty(t, h.assign(k, 2, h.fence(r), h.lease(1)))
		h.expire(2)
		res := h.apply(pollenlatch.Command{Assign: &pollenlatch.Assign{Items: []pollenlatch.AssignItem{
			{Shard: k, ExpectedFence: h.fence(k), NoRecords: true},
		}}})
		require.Empty(t, res.Rejection)
		require.True(t, h.owner(r).NoRecords)
	})
	t.Run("the number of hot keys is limited", func(t *testing.T) {
		h := newHarness(t, 0, "a")
		for n := range MaxHotKeys {
			require.Empty(t, h.assign(keyShard(fmt.Sprint(n), 0), 1, 0, 0))
		}
		require.Contains(t, h.assign(keyShard("more", 0), 1, 0, 0), "already has")
		require.Len(t, h.state.HotKeys("listing"), MaxHotKeys)
	})
}

// Guards against servers that are in use again after they left: when the lease of their
// instance had ended meanwhile, or when a restarted daemon announced them from a
// heartbeat that did not say so.
func TestLeavingEndpointIsKept(t *testing.T) {
	server := pollenlatch.Endpoint{Service: "listing", Incarnation: 7, Ready: true, Heartbeats: true}
	left, next := server, server
	left.Draining, next.Incarnation = true, 8
	for _, tt := range []struct {
		name      string
		recorded  pollenlatch.Endpoint
		expire    bool
		announced *pollenlatch.Endpoint
		want      *pollenlatch.Endpoint
	}{
		{"restart within the lease", left, false, nil, &left},
		{"restart after the lease", left, true, nil, &left},
		{"announced again", left, false, &server, &left},
		{"announced again after the lease", left, true, &server, &left},
		{"the next server", left, true, &next, &next},
		{"a server that was not leaving", server, true, nil, nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 8, "a")
			announce := func(e pollenlatch.Endpoint) {
				h.apply(pollenlatch.Command{Announce: &pollenlatch.Announce{Instance: 1, Lease: h.lease(1), Endpoint: e}})
			}
			announce(tt.recorded)
			if tt.expire {
				h.apply(pollenlatch.Command{Expire: &pollenlatch.Expire{Instance: 1, Lease: h.lease(1)}})
			}
			h.apply(pollenlatch.Command{Join: &pollenlatch.Join{Name: "a", Incarnation: 99, Takeover: true}})
			if tt.announced != nil {
				announce(*tt.announced)
			}
			i, _ := h.state.Instance(1)
			require.Equal(t, tt.want, i.Endpoint)
		})
	}
}
