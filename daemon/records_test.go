package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/ctrl"
	"pollenlatch/dedup"
	"pollenlatch/lease"
	"pollenlatch/state"
)

// handOverTest has a daemon, which is instance 1, and a service with one range that
// instance 2 owns.
type handOverTest struct {
	t     *testing.T
	d     *Daemon
	state *state.State
	shard pollenlatch.Shard
}

func (h *handOverTest) apply(c pollenlatch.Command) {
	h.t.Helper()
	h.state, _ = h.state.Apply(h.state.Version()+1, &c)
	h.d.control.Publish(ctrl.Access{Self: 1, View: h.state})
	o, ok := h.state.ShardOwner(h.shard)
	require.True(h.t, ok)
	h.d.dropMovedRecords([]lease.Key{ctrl.KeyOf(o)})
}

func (h *handOverTest) fence() pollenlatch.Fence {
	o, _ := h.state.ShardOwner(h.shard)
	return o.Fence
}

func (h *handOverTest) freeze(to pollenlatch.InstanceID) pollenlatch.Command {
	return pollenlatch.Command{Freeze: &pollenlatch.Freeze{Items: []pollenlatch.FreezeItem{{Shard: h.shard, To: to, ExpectedFence: h.fence()}}}}
}

func newHandOverTest(t *testing.T) *handOverTest {
	t.Helper()
	h := &handOverTest{
		t: t, d: &Daemon{recordStore: dedup.New(dedup.Config{})}, state: new(state.State),
		shard: pollenlatch.Shard{Service: "claims"},
	}
	h.state, _ = h.state.Apply(1, &pollenlatch.Command{Ticket: &pollenlatch.Ticket{Number: 1, Spec: pollenlatch.Spec{
		Services: []pollenlatch.Service{{Name: "claims", MaxRun: time.Second}},
	}}})
	for i, name := range []string{"a", "b", "c"} {
		h.apply(pollenlatch.Command{Join: &pollenlatch.Join{Name: name, DC: "howrah", Incarnation: pollenlatch.Incarnation(i + 1)}})
	}
	h.apply(pollenlatch.Command{Assign: &pollenlatch.Assign{Items: []pollenlatch.AssignItem{{Shard: h.shard, To: 2}}}})
	require.NotZero(t, h.fence())
	return h
}

// records returns records of the shard with one request, as its owner sends them.
func (h *handOverTest) records() *pollenlatch.Records {
	h.t.Helper()
	s := dedup.New(dedup.Config{})
	r := &pollenlatch.Request{RequestHead: pollenlatch.RequestHead{Service: "claims", Key: "lot-1", IdempotencyKey: "claim-1"}}
	r.Shard = h.shard
	attempt, _, err := s.Begin(h.t.Context(), r, dedup.BeginOptions{})
	require.NoError(h.t, err)
	attempt.MarkStarted()
	attempt.Fail(pollenlatch.OutcomeUnknown)
	data, err := s.Export(h.shard)
	require.NoError(h.t, err)
	return &pollenlatch.Records{Shard: h.shard, Fence: h.fence(), Data: data}
}

// hasRecords reports whether the daemon has records of the shard.
func (h *handOverTest) hasRecords() bool {
	h.t.Helper()
	empty, err := dedup.New(dedup.Config{}).Export(h.shard)
	require.NoError(h.t, err)
	got, err := h.d.recordStore.Export(h.shard)
	require.NoError(h.t, err)
	return len(got) > len(empty)
}

// The previous owner's records may arrive before the entry that starts the
// hand-over is applied here. If that entry, or an older one, drops them, a retry
// runs again.
func TestRecordsArriveBeforeFreeze(t *testing.T) {
	h := newHandOverTest(t)
	require.True(t, h.d.importRecords("b", h.records()).OK)
	h.apply(h.freeze(1))
	require.True(t, h.hasRecords(), "records were dropped before this instance became the owner")
}

// Records of a hand-over that was redirected to another instance must be dropped,
// or they use up the limit on stored records.
func TestRecordsOfCancelledHandOver(t *testing.T) {
	h := newHandOverTest(t)
	h.apply(h.freeze(1))
	require.True(t, h.d.importRecords("b", h.records()).OK)
	before := h.fence()
	h.apply(h.freeze(2))
	require.Greater(t, h.fence(), before)
	require.False(t, h.hasRecords())
}
