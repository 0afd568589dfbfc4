package serve

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A call that is not recognised waits behind new requests, while the request
// that made it holds a slot.
func TestCaused(t *testing.T) {
	for _, tt := range []struct {
		name, running, id string
		want              bool
	}{
		{name: "a call", running: "9c41d07b", id: "9c41d07b.1", want: true},
		{name: "a call of a call", running: "9c41d07b.1", id: "9c41d07b.1.2", want: true},
		{name: "another separator", running: "9c41d07b", id: "9c41d07b/a", want: true},
		{name: "itself", running: "9c41d07b", id: "9c41d07b"},
		{name: "a later number", running: "12", id: "123"},
		{name: "a separator alone", running: "9c41d07b", id: "9c41d07b."},
		{name: "another request", running: "9c41d07b", id: "77e0a1.1"},
		{name: "no id", running: "", id: ".1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var e exchanges
			e.begin(tt.running, false)
			call, _ := e.caused(tt.id)
			require.Equal(t, tt.want, call)
			e.end(tt.running)
			call, _ = e.caused(tt.id)
			require.False(t, call, "the request has ended")
		})
	}
	t.Run("two exchanges with one id", func(t *testing.T) {
		var e exchanges
		e.begin("a", false)
		e.begin("a", true)
		e.end("a")
		call, repeat := e.caused("a.1")
		require.True(t, call)
		require.True(t, repeat)
	})
	t.Run("a call of a repeat", func(t *testing.T) {
		var e exchanges
		e.begin("a", true)
		e.begin("b", false)
		_, repeat := e.caused("a.1")
		require.True(t, repeat)
		_, repeat = e.caused("b.1")
		require.False(t, repeat)
	})
}
