package serve

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// A nested request that is not recognised waits behind new requests, while its
// parent occupies a slot.
func TestIsNested(t *testing.T) {
	for _, tt := range []struct {
		name, running, id string
		want              bool
	}{
		{name: "nested", running: "9c41d07b", id: "9c41d07b.1", want: true},
		{name: "nested twice", running: "9c41d07b.1", id: "9c41d07b.1.2", want: true},
		{name: "another separator", running: "9c41d07b", id: "9c41d07b/a", want: true},
		{name: "same ID", running: "9c41d07b", id: "9c41d07b"},
		{name: "number with the same prefix", running: "12", id: "123"},
		{name: "separator without a suffix", running: "9c41d07b", id: "9c41d07b."},
		{name: "another request", running: "9c41d07b", id: "77e0a1.1"},
		{name: "empty parent ID", running: "", id: ".1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var a activeRequests
			a.begin(tt.running, false)
			nested, _ := a.isNested(tt.id)
			require.Equal(t, tt.want, nested)
			a.end(tt.running)
			nested, _ = a.isNested(tt.id)
			require.False(t, nested, "the parent request has ended")
		})
	}
	t.Run("two exchanges with one ID", func(t *testing.T) {
		var a activeRequests
		a.begin("a", false)
		a.begin("a", true)
		a.end("a")
		nested, retried := a.isNested("a.1")
		require.True(t, nested)
		require.True(t, retried)
	})
	t.Run("nested in a retry", func(t *testing.T) {
		var a activeRequests
		a.begin("a", true)
		a.begin("b", false)
		_, retried := a.isNested("a.1")
		require.True(t, retried)
		_, retried = a.isNested("b.1")
		require.False(t, retried)
	})
}

// Guards against nested requests whose time is attributed to the link although they waited
// for a slot.
func TestTimesOfNestedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, nested := range []bool{true, false} {
			h, r := newHarness(), newRequest()
			r.Nested = nested
			release, err := h.admitter.Admit(t.Context(), pollenlatch.AdmitRequest{})
			require.NoError(t, err)
			time.AfterFunc(70*time.Millisecond, release)
			h.exchanger.beforeCheck = func() { <-time.After(30 * time.Millisecond) }
			resp, err := h.server.Handle(t.Context(), r)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			if nested {
				require.Equal(t, []time.Duration{70 * time.Millisecond, 100 * time.Millisecond}, []time.Duration{resp.QueueTime, resp.TotalTime})
			} else {
				require.Zero(t, resp.QueueTime+resp.TotalTime)
			}
		}
	})
}
