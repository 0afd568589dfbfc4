package state

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// If a ticket could get two verdicts, or a number be used for two tickets, two
// operators would have different views of the configuration.
func TestTicketNumbers(t *testing.T) {
	h := newHarness(t, 4)
	spec := pollenlatch.Spec{Services: []pollenlatch.Service{keyedService("claims", 3)}}
	second := h.ticket(2, "claims", spec)
	require.True(t, second.Accepted)
	require.EqualValues(t, 3, second.Next)

	t.Run("same ticket again", func(t *testing.T) {
		require.Equal(t, second, h.ticket(2, "claims", spec))
		h.reload()
		require.Equal(t, second, h.ticket(2, "claims", spec))
	})
	t.Run("another text under a used number", func(t *testing.T) {
		v := h.ticket(2, "other", spec)
		require.False(t, v.Accepted)
		require.Contains(t, v.Faults[0], `2 holds another ticket, sent by "op"`)
		require.EqualValues(t, 3, v.Next)
	})
	t.Run("gap and zero", func(t *testing.T) {
		for _, n := range []uint64{0, 4, 1 << 60} {
			v := h.ticket(n, "claims", spec)
			require.False(t, v.Accepted)
			require.EqualValues(t, 3, v.Next)
			require.Contains(t, v.Faults[0], "the next number is 3")
		}
	})
	t.Run("a refused ticket uses up its number and stays refused", func(t *testing.T) {
		bad := pollenlatch.Spec{Remove: []string{"depot"}}
		v := h.ticket(3, "remove depot", bad)
		require.False(t, v.Accepted)
		require.True(t, h.ticket(4, "depot", pollenlatch.Spec{Services: []pollenlatch.Service{keyedService("depot", 1)}}).Accepted)
		require.Equal(t, v, h.ticket(3, "remove depot", bad))
		_, ok := h.state.Service("depot")
		require.True(t, ok)
	})
	t.Run("records keep text, sender, time and verdict", func(t *testing.T) {
		r, ok := h.state.Ticket(2)
		require.True(t, ok)
		require.Equal(t, TicketRecord{Number: 2, Text: "claims", TextHash: hashText("claims"), Sender: "op", ReceivedAt: 1000, Verdict: second}, r)
		list := h.state.Tickets(0, 2)
		require.EqualValues(t, []uint64{4, 3}, []uint64{list[0].Number, list[1].Number})
	})
}

// A ticket that conflicts with the state could remove the owner table of owned
// shards, or change the number of ranges of a table that is in use.
func TestTicketFaults(t *testing.T) {
	h := newHarness(t, 4, "a")
	h.assign(rangeShard(0), 1, 0, 0)
	big := keyedService("big", pollenlatch.MaxRangeBits)
	unkeyed := keyedService("listing", 4)
	unkeyed.Keyed = false
	voter := pollenlatch.Member{Name: "a", Incarnation: 1, Addr: "127.0.0.1:1"}
	for _, c := range []struct {
		want string
		spec pollenlatch.Spec
	}{
		{"services[0].ranges: service \"listing\" has 16 ranges", pollenlatch.Spec{Services: []pollenlatch.Service{keyedService("listing", 5)}}},
		{"services[0].keyed", pollenlatch.Spec{Services: []pollenlatch.Service{unkeyed}}},
		{"services[1].name: \"x\" is named twice", pollenlatch.Spec{Services: []pollenlatch.Service{keyedService("x", 1), keyedService("x", 1)}}},
		{"services[0].name: is empty", pollenlatch.Spec{Services: []pollenlatch.Service{keyedService("", 1)}}},
		{"services[0].maxrun", pollenlatch.Spec{Services: []pollenlatch.Service{{Name: "x"}}}},
		{"services[0].ranges: more than", pollenlatch.Spec{Services: []pollenlatch.Service{keyedService("x", 21)}}},
		{"services: all services together", pollenlatch.Spec{Services: []pollenlatch.Service{big}}},
		{"remove[0]: service \"none\" does not exist", pollenlatch.Spec{Remove: []string{"none"}}},
		{"remove[0]: service \"listing\" still has 1 owned", pollenlatch.Spec{Remove: []string{"listing"}}},
		{"callers[0].rate", pollenlatch.Spec{Callers: []pollenlatch.Caller{{Name: "c", Rate: -1}}}},
		{"callers[0].name: has 257 bytes", pollenlatch.Spec{Callers: []pollenlatch.Caller{{Name: strings.Repeat("c", 257)}}}},
		{"voters: 2 voters", pollenlatch.Spec{Voters: []pollenlatch.Member{voter, {Name: "b", Incarnation: 1, Addr: "x"}}}},
		{"voters[0].incarnation", pollenlatch.Spec{Voters: []pollenlatch.Member{{Name: "a", Addr: "x"}}}},
	} {
		t.Run(c.want, func(t *testing.T) {
			before := h.state.Services()
			v := h.ticket(h.state.NextTicket(), c.want, c.spec)
			require.False(t, v.Accepted)
			require.Contains(t, strings.Join(v.Faults, "\n"), c.want)
			require.Equal(t, before, h.state.Services())
		})
	}
	t.Run("unowned service can be removed", func(t *testing.T) {
		h.expire(1)
		require.True(t, h.ticket(h.state.NextTicket(), "remove", pollenlatch.Spec{Remove: []string{"listing"}}).Accepted)
		require.Empty(t, h.state.Services())
		h.reload()
	})
}

// A history without limits would exhaust a daemon's memory. One that loses numbers
// would accept an old ticket again.
func TestHistoryIsBounded(t *testing.T) {
	h := newHarness(t, 0)
	const n = MaxTicketRecords + 2*pageSize
	text := strings.Repeat("x", 1000)
	for i := uint64(2); i <= n; i++ {
		require.True(t, h.ticket(i, text+fmt.Sprint(i), pollenlatch.Spec{}).Accepted)
	}
	require.Len(t, h.state.tickets.texts, MaxTicketTexts)
	require.LessOrEqual(t, h.state.tickets.textBytes, MaxTicketTextBytes)
	require.Less(t, len(h.state.Tickets(0, n)), MaxTicketRecords+pageSize)
	h.reload()
	v := h.ticket(1, "first", pollenlatch.Spec{})
	require.False(t, v.Accepted)
	require.Contains(t, v.Faults[0], "no longer kept")
	r, ok := h.state.Ticket(n - MaxTicketTexts)
	require.True(t, ok)
	require.Empty(t, r.Text)
	require.True(t, h.ticket(n-MaxTicketTexts, text+fmt.Sprint(n-MaxTicketTexts), pollenlatch.Spec{}).Accepted, "the hash identifies the text")
	require.Contains(t, h.ticket(n+1, strings.Repeat("x", MaxTicketBytes+1), pollenlatch.Spec{}).Faults[0], "more than")
}

// If instances without a lease were kept for ever, replaced instances would fill
// the state.
func TestInstancesAreBounded(t *testing.T) {
	h := newHarness(t, 0)
	for n := range MaxInstances {
		h.join(fmt.Sprint("n", n), 1)
	}
	require.Contains(t, h.join("more", 1).Rejection, "no room")
	h.expire(7)
	h.expire(5)
	require.EqualValues(t, MaxInstances+1, h.join("more", 1).Instance)
	_, ok := h.state.Instance(7)
	require.False(t, ok, "the instance whose lease ended first is removed")
	_, ok = h.state.InstanceByName("n4")
	require.True(t, ok)
	h.reload()
	require.EqualValues(t, MaxInstances+2, h.join("n6", 1).Instance, "a removed name gets a new ID")
}

// If the lists of endpoints were wrong, the request path would choose an instance
// without a lease, or never choose one that has it.
func TestEndpoints(t *testing.T) {
	h := newHarness(t, 0, "a", "b")
	announce := func(id pollenlatch.InstanceID, service string) {
		h.apply(pollenlatch.Command{Announce: &pollenlatch.Announce{Instance: id, Lease: h.lease(id), Endpoint: pollenlatch.Endpoint{Service: service, Ready: true}}})
	}
	ids := func(service string) (ids []pollenlatch.InstanceID) {
		for _, i := range h.state.Endpoints(service) {
			ids = append(ids, i.ID)
		}
		return ids
	}
	announce(2, "listing")
	announce(1, "listing")
	require.Equal(t, []pollenlatch.InstanceID{1, 2}, ids("listing"))
	announce(1, "claims")
	require.Equal(t, []pollenlatch.InstanceID{2}, ids("listing"))
	require.Equal(t, []pollenlatch.InstanceID{1}, ids("claims"))
	h.expire(1)
	require.Empty(t, ids("claims"))
	i, _ := h.state.Instance(1)
	require.Equal(t, "claims", i.Endpoint.Service, "the endpoint is kept until the next lease")
	h.join("a", 9)
	require.Empty(t, ids("claims"))
	h.reload()
	require.Equal(t, []pollenlatch.InstanceID{2}, ids("listing"))
}
