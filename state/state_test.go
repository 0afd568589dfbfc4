package state

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// world applies commands with rising indices.
type world struct {
	t testingT
	s *State
}

// testingT is what *testing.T, *testing.B and *rapid.T have in common.
type testingT interface {
	require.TestingT
	Helper()
}

func newWorld(tb testingT, bits uint32, instances ...string) *world {
	tb.Helper()
	w := &world{t: tb, s: new(State)}
	w.ticket(1, "first", pollenlatch.Spec{Services: []pollenlatch.Service{service1("listing", bits)}})
	for n, name := range instances {
		w.join(name, pollenlatch.Incarnation(n+1))
	}
	return w
}

func service1(name string, bits uint32) pollenlatch.Service {
	return pollenlatch.Service{Name: name, Keyed: true, RangeBits: bits, MaxRun: 2 * time.Second}
}

func (w *world) apply(c pollenlatch.Command) Result {
	w.t.Helper()
	s, res := w.s.Apply(w.s.Version()+1, &c)
	w.s = s
	return res
}

func (w *world) ticket(n uint64, text string, spec pollenlatch.Spec) pollenlatch.Verdict {
	w.t.Helper()
	res := w.apply(pollenlatch.Command{Ticket: &pollenlatch.Ticket{Number: n, Text: text, Sender: "op", ReceivedAt: 1000, Spec: spec}})
	return *res.Verdict
}

func (w *world) join(name string, inc pollenlatch.Incarnation) Result {
	w.t.Helper()
	return w.apply(pollenlatch.Command{Join: &pollenlatch.Join{Name: name, DC: "nadia", Incarnation: inc}})
}

func (w *world) expire(id pollenlatch.InstanceID) Result {
	w.t.Helper()
	return w.apply(pollenlatch.Command{Expire: &pollenlatch.Expire{Instance: id, Lease: w.lease(id)}})
}

func (w *world) lease(id pollenlatch.InstanceID) pollenlatch.Lease {
	i, _ := w.s.Instance(id)
	return i.Lease
}

func (w *world) assign(p pollenlatch.Shard, to pollenlatch.InstanceID, expect pollenlatch.Fence, released pollenlatch.Lease) string {
	w.t.Helper()
	return w.apply(pollenlatch.Command{Assign: &pollenlatch.Assign{Items: []pollenlatch.AssignItem{
		{Shard: p, To: to, ExpectedFence: expect, ReleasedLease: released},
	}}}).Rejection
}

func (w *world) freeze(p pollenlatch.Shard, to pollenlatch.InstanceID) string {
	w.t.Helper()
	return w.apply(pollenlatch.Command{Freeze: &pollenlatch.Freeze{Items: []pollenlatch.FreezeItem{
		{Shard: p, To: to, ExpectedFence: w.fence(p)},
	}}}).Rejection
}

func (w *world) fence(p pollenlatch.Shard) pollenlatch.Fence {
	o, _ := w.s.ShardOwner(p)
	return o.Fence
}

func (w *world) owner(p pollenlatch.Shard) pollenlatch.Owner {
	w.t.Helper()
	o, ok := w.s.ShardOwner(p)
	require.True(w.t, ok, "%v", p)
	return o
}

func (w *world) reload() {
	w.t.Helper()
	b, err := w.s.Snapshot()
	require.NoError(w.t, err)
	s, err := Load(b)
	require.NoError(w.t, err)
	again, err := s.Snapshot()
	require.NoError(w.t, err)
	require.Equal(w.t, b, again)
	w.s = s
}

func rng(r pollenlatch.Range) pollenlatch.Shard {
	return pollenlatch.Shard{Service: "listing", Range: r}
}

func keyed(key string, bits uint32) pollenlatch.Shard {
	return pollenlatch.Shard{Service: "listing", Range: pollenlatch.RangeOf("listing", key, bits), Key: key}
}

// A second lease for one instance, or a lease of a stale entry, would let two
// processes serve under one name.
func TestLeases(t *testing.T) {
	w := newWorld(t, 4, "a", "b")
	first := w.lease(1)
	require.EqualValues(t, 2, first, "the lease is the index of the Join")

	t.Run("other incarnation is rejected while the lease lasts", func(t *testing.T) {
		require.Contains(t, w.join("a", 99).Rejection, "another incarnation")
		require.Equal(t, first, w.lease(1))
	})
	t.Run("repeat of a join gets the same lease", func(t *testing.T) {
		res := w.join("a", 1)
		require.Empty(t, res.Rejection)
		require.Equal(t, first, res.Lease)
		require.EqualValues(t, 1, res.Instance)
	})
	t.Run("expire of another lease changes nothing", func(t *testing.T) {
		res := w.apply(pollenlatch.Command{Expire: &pollenlatch.Expire{Instance: 1, Lease: first + 1}})
		require.NotEmpty(t, res.Rejection)
		require.Equal(t, first, w.lease(1))
	})
	t.Run("announce under another lease changes nothing", func(t *testing.T) {
		res := w.apply(pollenlatch.Command{Announce: &pollenlatch.Announce{Instance: 1, Lease: first + 1}})
		require.NotEmpty(t, res.Rejection)
	})
	t.Run("same name keeps its number and gets a new lease", func(t *testing.T) {
		require.Empty(t, w.expire(1).Rejection)
		require.Zero(t, w.lease(1))
		res := w.join("a", 99)
		require.EqualValues(t, 1, res.Instance)
		require.EqualValues(t, w.s.Version(), res.Lease)
		i, ok := w.s.InstanceByName("a")
		require.True(t, ok)
		require.EqualValues(t, 99, i.Incarnation)
	})
	w.reload()
}

// A shard that changes hands without a release, or on a stale fence, has two
// owners for a while.
func TestOwnership(t *testing.T) {
	w := newWorld(t, 4, "a", "b", "c")
	p := rng(3)
	require.Empty(t, w.assign(p, 1, 0, 0))
	fence := w.fence(p)
	require.EqualValues(t, w.s.Version(), fence)

	t.Run("an owned range stays", func(t *testing.T) {
		require.Contains(t, w.assign(p, 2, fence, 0), "not frozen")
		require.Contains(t, w.assign(p, 2, fence, w.lease(1)), "not frozen")
	})
	t.Run("a stale fence is rejected", func(t *testing.T) {
		require.Contains(t, w.assign(p, 2, fence-1, 0), "fence")
	})
	t.Run("a hand-over needs the target and the release", func(t *testing.T) {
		require.Empty(t, w.freeze(p, 2))
		require.True(t, w.owner(p).Frozen())
		w.reload()
		require.Contains(t, w.assign(p, 3, fence, w.lease(1)), "not frozen to instance 3")
		require.Contains(t, w.assign(p, 2, fence, 0), "released under lease 0")
		require.Contains(t, w.freeze(p, 3), "already frozen")
		require.Empty(t, w.assign(p, 2, fence, w.lease(1)))
		require.EqualValues(t, 2, w.owner(p).Instance)
		require.False(t, w.owner(p).Frozen())
	})
	t.Run("a cancelled hand-over voids the release", func(t *testing.T) {
		old := w.fence(p)
		require.Empty(t, w.freeze(p, 3))
		require.Empty(t, w.freeze(p, 2))
		require.Greater(t, w.fence(p), old)
		require.Empty(t, w.freeze(p, 3))
		require.Contains(t, w.assign(p, 3, old, w.lease(2)), "fence")
	})
	t.Run("the loss of the target cancels the hand-over", func(t *testing.T) {
		old := w.fence(p)
		w.expire(3)
		require.Greater(t, w.fence(p), old)
		require.False(t, w.owner(p).Frozen())
		require.EqualValues(t, 2, w.owner(p).Instance)
	})
	t.Run("the loss of the owner leaves no owner and keeps the fence", func(t *testing.T) {
		old := w.fence(p)
		res := w.expire(2)
		require.Equal(t, []pollenlatch.Shard{p}, res.Changed)
		require.Equal(t, pollenlatch.Owner{Shard: p, Fence: old, Previous: 2}, w.owner(p))
		w.reload()
		require.Contains(t, w.assign(p, 2, old, 0), "no lease")
		require.Empty(t, w.assign(p, 1, old, 0))
	})
	t.Run("items apply on their own", func(t *testing.T) {
		res := w.apply(pollenlatch.Command{Assign: &pollenlatch.Assign{Items: []pollenlatch.AssignItem{
			{Shard: rng(5), To: 1},
			{Shard: rng(5), To: 1},
			{Shard: rng(16), To: 1},
			{Shard: pollenlatch.Shard{Service: "none"}, To: 1},
		}}})
		require.Empty(t, res.Rejection)
		require.Empty(t, res.ItemRejections[0])
		require.Contains(t, res.ItemRejections[1], "fence")
		require.Contains(t, res.ItemRejections[2], "no range 16")
		require.Contains(t, res.ItemRejections[3], "does not exist")
		require.Equal(t, []pollenlatch.Shard{rng(5)}, res.Changed)
	})
}

// A hot key's record that appears or disappears without its owner's release
// gives the key a second owner beside the range's.
func TestHotKeys(t *testing.T) {
	const bits = 4
	w := newWorld(t, bits, "a", "b", "c")
	k := keyed("bale-7", bits)
	r := rng(k.Range)
	require.Empty(t, w.assign(r, 1, 0, 0))

	t.Run("the first record needs the range's release", func(t *testing.T) {
		require.Contains(t, w.assign(k, 2, w.fence(r), 0), "not frozen")
		require.Empty(t, w.freeze(r, 2))
		require.Contains(t, w.assign(k, 2, w.fence(r), 0), "released under lease 0")
		old := w.fence(r)
		require.Empty(t, w.assign(k, 2, old, w.lease(1)))
		require.EqualValues(t, 2, w.owner(k).Instance)
		require.EqualValues(t, 1, w.owner(r).Instance, "the range stays")
		require.False(t, w.owner(r).Frozen())
		require.Greater(t, w.fence(r), old, "releases and routes of the old fence are void")
		o, _ := w.s.Owner("listing", "bale-7")
		require.EqualValues(t, 2, o.Instance)
		w.reload()
	})
	t.Run("a wrong range is rejected", func(t *testing.T) {
		bad := k
		bad.Range ^= 1
		require.Contains(t, w.assign(bad, 2, w.fence(r), 0), "is not in range")
	})
	t.Run("removal needs the key owner's release to the range's owner", func(t *testing.T) {
		require.Contains(t, w.assign(k, 0, w.fence(k), w.lease(2)), "not frozen")
		require.Empty(t, w.freeze(k, 3))
		require.Contains(t, w.assign(k, 0, w.fence(k), w.lease(2)), "not frozen to its range's owner")
		require.Empty(t, w.freeze(k, 2))
		require.Empty(t, w.freeze(k, 1))
		require.Contains(t, w.assign(k, 0, w.fence(k), 0), "released under lease 0")
		old := w.fence(r)
		require.Empty(t, w.assign(k, 0, w.fence(k), w.lease(2)))
		require.Greater(t, w.fence(r), old)
		_, ok := w.s.ShardOwner(k)
		require.False(t, ok)
		w.reload()
	})
	t.Run("a key of the range's own owner drains before its record goes", func(t *testing.T) {
		require.Empty(t, w.freeze(r, 2))
		require.Empty(t, w.assign(k, 2, w.fence(r), w.lease(1)))
		require.Empty(t, w.freeze(k, 1))
		require.Empty(t, w.assign(k, 1, w.fence(k), w.lease(2)))
		require.Contains(t, w.assign(k, 0, w.fence(k), w.lease(1)), "not frozen")
		require.Empty(t, w.freeze(k, 1))
		require.True(t, w.owner(k).Frozen())
		w.reload()
		require.Empty(t, w.assign(k, 0, w.fence(k), w.lease(1)))
	})
	t.Run("removal without the lost records marks the range", func(t *testing.T) {
		require.Empty(t, w.freeze(r, 2))
		require.Empty(t, w.assign(k, 2, w.fence(r), w.lease(1)))
		w.expire(2)
		res := w.apply(pollenlatch.Command{Assign: &pollenlatch.Assign{Items: []pollenlatch.AssignItem{
			{Shard: k, ExpectedFence: w.fence(k), NoRecords: true},
		}}})
		require.Empty(t, res.Rejection)
		require.True(t, w.owner(r).NoRecords)
	})
	t.Run("records are bounded", func(t *testing.T) {
		w := newWorld(t, 0, "a")
		for n := range MaxHotKeys {
			require.Empty(t, w.assign(keyed(fmt.Sprint(n), 0), 1, 0, 0))
		}
		require.Contains(t, w.assign(keyed("more", 0), 1, 0, 0), "already has")
		require.Len(t, w.s.HotKeys("listing"), MaxHotKeys)
	})
}
