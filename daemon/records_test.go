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

// handOver is a daemon that is instance 1, and a service with one range that
// is being handed over to it.
type handOver struct {
	t     *testing.T
	d     *Daemon
	state *state.State
	shard pollenlatch.Shard
}

func (h *handOver) apply(c pollenlatch.Command) {
	h.t.Helper()
	h.state, _ = h.state.Apply(h.state.Version()+1, &c)
	h.d.desk.Publish(ctrl.Access{Self: 1, View: h.state})
	o, ok := h.state.ShardOwner(h.shard)
	require.True(h.t, ok)
	h.d.moved([]lease.Key{ctrl.KeyOf(o)})
}

func (h *handOver) fence() pollenlatch.Fence {
	o, _ := h.state.ShardOwner(h.shard)
	return o.Fence
}

func (h *handOver) freeze(to pollenlatch.InstanceID) pollenlatch.Command {
	return pollenlatch.Command{Freeze: &pollenlatch.Freeze{Items: []pollenlatch.FreezeItem{{Shard: h.shard, To: to, ExpectedFence: h.fence()}}}}
}

func newHandOver(t *testing.T) *handOver {
	t.Helper()
	h := &handOver{
		t: t, d: &Daemon{once: dedup.New(dedup.Config{})}, state: new(state.State),
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

// records are those of a shard with one request.
func (h *handOver) records() *pollenlatch.Records {
	h.t.Helper()
	s := dedup.New(dedup.Config{})
	r := &pollenlatch.Request{RequestHead: pollenlatch.RequestHead{Service: "claims", Key: "lot-1", IdempotencyKey: "claim-1"}}
	r.Shard = h.shard
	run, _, err := s.Begin(h.t.Context(), r, dedup.BeginOptions{})
	require.NoError(h.t, err)
	run.MarkStarted()
	run.Fail(pollenlatch.OutcomeUnknown)
	data, err := s.Export(h.shard)
	require.NoError(h.t, err)
	return &pollenlatch.Records{Shard: h.shard, Fence: h.fence(), Data: data}
}

// kept reports whether the daemon has records of the shard.
func (h *handOver) kept() bool {
	h.t.Helper()
	none, err := dedup.New(dedup.Config{}).Export(h.shard)
	require.NoError(h.t, err)
	have, err := h.d.once.Export(h.shard)
	require.NoError(h.t, err)
	return len(have) > len(none)
}

// The old owner's records may arrive before the entry that starts the hand-over
// has been applied here. That entry, or an older one, must not drop them: a
// repeat would run again.
func TestRecordsBeforeFreeze(t *testing.T) {
	h := newHandOver(t)
	require.True(t, h.d.importRecords("b", h.records()).OK)
	h.apply(h.freeze(1))
	require.True(t, h.kept(), "records were dropped before this instance became the owner")
}

// Records of a hand-over that went elsewhere would take the room of others.
func TestRecordsOfCancelledHandOver(t *testing.T) {
	h := newHandOver(t)
	h.apply(h.freeze(1))
	require.True(t, h.d.importRecords("b", h.records()).OK)
	before := h.fence()
	h.apply(h.freeze(2))
	require.Greater(t, h.fence(), before)
	require.False(t, h.kept())
}
