package pick

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Repeats beyond the allowance turn the failure of one server into an overload
// of the others.
func TestRepeats(t *testing.T) {
	t.Run("zero value", func(t *testing.T) {
		var r ServiceBudgets
		r.RecordRequest("s")
		require.False(t, r.HasRetry("s"))
		require.False(t, r.TakeRetry("s"))
	})
	t.Run("a share of the requests", func(t *testing.T) {
		r := ServiceBudgets{Ratio: 0.1, Burst: 3}
		for range 3 {
			require.True(t, r.TakeRetry("s"))
		}
		require.False(t, r.TakeRetry("s"))
		taken := 0
		for range 1000 {
			r.RecordRequest("s")
			if r.HasRetry("s") && r.TakeRetry("s") {
				taken++
			}
		}
		require.InDelta(t, 100, taken, 1)
	})
	t.Run("no more than the most is saved up", func(t *testing.T) {
		r := ServiceBudgets{Ratio: 1, Burst: 3}
		for range 100 {
			r.RecordRequest("s")
		}
		taken := 0
		for r.TakeRetry("s") {
			taken++
		}
		require.Equal(t, 3, taken)
	})
	t.Run("what is charged is made up for", func(t *testing.T) {
		r := ServiceBudgets{Ratio: 0.1, Burst: 2}
		for range 5 {
			r.Charge("s")
		}
		require.False(t, r.HasRetry("s"))
		for range 30 {
			r.RecordRequest("s")
		}
		require.False(t, r.TakeRetry("s"))
		for range 11 {
			r.RecordRequest("s")
		}
		require.True(t, r.TakeRetry("s"))
	})
	t.Run("services do not share", func(t *testing.T) {
		r := ServiceBudgets{Ratio: 0.1, Burst: 1}
		require.True(t, r.TakeRetry("a"))
		require.False(t, r.TakeRetry("a"))
		require.True(t, r.TakeRetry("b"))
	})
}
