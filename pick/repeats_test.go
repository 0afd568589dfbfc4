package pick

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Repeats beyond the allowance turn the failure of one server into an overload
// of the others.
func TestRepeats(t *testing.T) {
	t.Run("zero value", func(t *testing.T) {
		var r Repeats
		r.Request("s")
		require.False(t, r.Has("s"))
		require.False(t, r.Take("s"))
	})
	t.Run("a share of the requests", func(t *testing.T) {
		r := Repeats{Share: 0.1, Most: 3}
		for range 3 {
			require.True(t, r.Take("s"))
		}
		require.False(t, r.Take("s"))
		taken := 0
		for range 1000 {
			r.Request("s")
			if r.Has("s") && r.Take("s") {
				taken++
			}
		}
		require.InDelta(t, 100, taken, 1)
	})
	t.Run("no more than the most is saved up", func(t *testing.T) {
		r := Repeats{Share: 1, Most: 3}
		for range 100 {
			r.Request("s")
		}
		taken := 0
		for r.Take("s") {
			taken++
		}
		require.Equal(t, 3, taken)
	})
	t.Run("what is charged is made up for", func(t *testing.T) {
		r := Repeats{Share: 0.1, Most: 2}
		for range 5 {
			r.Charge("s")
		}
		require.False(t, r.Has("s"))
		for range 30 {
			r.Request("s")
		}
		require.False(t, r.Take("s"))
		for range 11 {
			r.Request("s")
		}
		require.True(t, r.Take("s"))
	})
	t.Run("services do not share", func(t *testing.T) {
		r := Repeats{Share: 0.1, Most: 1}
		require.True(t, r.Take("a"))
		require.False(t, r.Take("a"))
		require.True(t, r.Take("b"))
	})
}
