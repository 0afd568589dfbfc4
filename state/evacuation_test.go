package state

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// evacuate applies an order that was sent with the present state.
func (h *harness) evacuate(dc string, finish bool) pollenlatch.Verdict {
	h.t.Helper()
	return *h.apply(pollenlatch.Command{Evacuate: &pollenlatch.Evacuate{DC: dc, Finish: finish, Known: h.state.Version()}}).Verdict
}

func (h *harness) announceReady(id pollenlatch.InstanceID) {
	h.t.Helper()
	h.apply(pollenlatch.Command{Announce: &pollenlatch.Announce{
		Instance: id, Lease: h.lease(id), Endpoint: pollenlatch.Endpoint{Service: "listing", Ready: true},
	}})
}

func (h *harness) usable(id pollenlatch.InstanceID) bool {
	i, _ := h.state.Instance(id)
	for _, e := range h.state.Endpoints("listing") {
		if e.ID == id {
			require.Equal(h.t, i, e, "the list of endpoints differs from the instance")
		}
	}
	return i.Usable()
}

// An instance that loses the mark when it joins, is taken over, announces its server or
// is loaded from a snapshot gets requests although its data centre is evacuated.
func TestEvacuationMarksInstances(t *testing.T) {
	h := newHarness(t, 4, "a", "b")
	h.announceReady(1)
	h.announceReady(2)
	require.True(t, h.usable(1))
	require.True(t, h.evacuate("nadia", false).Accepted)
	for name, act := range map[string]func(){
		"at once":  func() {},
		"reloaded": h.reload,
		"announced again": func() {
			h.announceReady(1)
		},
		"taken over": func() {
			h.apply(pollenlatch.Command{Join: &pollenlatch.Join{Name: "a", DC: "nadia", Incarnation: 77, Takeover: true}})
		},
		"lost and joined again": func() {
			h.expire(1)
			h.join("a", 78)
			h.announceReady(1)
		},
	} {
		act()
		require.False(t, h.usable(1), name)
		require.False(t, h.usable(2), name)
	}
	t.Run("an instance that joins later", func(t *testing.T) {
		h.join("c", 3)
		h.announceReady(3)
		require.False(t, h.usable(3))
	})
	t.Run("an instance that moves to another data centre", func(t *testing.T) {
		h.apply(pollenlatch.Command{Join: &pollenlatch.Join{Name: "c", DC: "howrah", Incarnation: 4, Takeover: true}})
		require.True(t, h.usable(3))
	})
	t.Run("withdrawal", func(t *testing.T) {
		require.True(t, h.evacuate("nadia", true).Accepted)
		require.True(t, h.usable(1))
		require.True(t, h.usable(2))
		i, _ := h.state.Instance(1)
		require.False(t, i.Endpoint.Draining, "an evacuated server must not be recorded as draining")
	})
}

// Repeated and delayed orders: an operator sends an order to another voter when the
// first does not answer in time, so copies of it may arrive after later orders.
func TestEvacuationOrders(t *testing.T) {
	h := newHarness(t, 4, "a")
	before := h.state.Version()
	t.Run("a data centre without instances", func(t *testing.T) {
		require.True(t, h.evacuate("empty", false).Accepted)
		require.True(t, h.state.Evacuated("empty"))
	})
	t.Run("a repeated order changes nothing", func(t *testing.T) {
		at := h.state.EvacuationsChangedAt()
		require.True(t, h.evacuate("empty", false).Accepted)
		require.Equal(t, at, h.state.EvacuationsChangedAt())
		require.True(t, h.evacuate("never", true).Accepted)
	})
	t.Run("a delayed copy does not undo a later order", func(t *testing.T) {
		require.True(t, h.evacuate("empty", true).Accepted)
		late := h.apply(pollenlatch.Command{Evacuate: &pollenlatch.Evacuate{DC: "empty", Known: before}})
		require.False(t, late.Verdict.Accepted)
		require.True(t, late.Verdict.Retry)
		require.False(t, h.state.Evacuated("empty"))
	})
	t.Run("invalid names", func(t *testing.T) {
		for _, dc := range []string{"", strings.Repeat("x", pollenlatch.MaxDCBytes+1)} {
			require.NotEmpty(t, h.evacuate(dc, false).Faults)
		}
	})
	t.Run("too many data centres", func(t *testing.T) {
		for n := range MaxEvacuations {
			h.evacuate(fmt.Sprintf("dc-%04d", n), false)
		}
		v := h.evacuate("one more", false)
		require.False(t, v.Accepted)
		require.NotEmpty(t, v.Faults)
		h.reload()
		require.Len(t, h.state.EvacuatedDCs(), MaxEvacuations)
	})
}
