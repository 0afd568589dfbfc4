package pick

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// Retries beyond the budget would turn the failure of one server into an
// overload of the others.
func TestServiceBudgets(t *testing.T) {
	t.Run("zero value", func(t *testing.T) {
		var r ServiceBudgets
		r.RecordRequest("s")
		require.False(t, r.HasRetry("s"))
		require.False(t, r.TakeRetry("s"))
	})
	t.Run("share of the requests", func(t *testing.T) {
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
	t.Run("unused retries are limited", func(t *testing.T) {
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
	t.Run("charged retries are made up for", func(t *testing.T) {
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
	t.Run("services have separate budgets", func(t *testing.T) {
		r := ServiceBudgets{Ratio: 0.1, Burst: 1}
		require.True(t, r.TakeRetry("a"))
		require.False(t, r.TakeRetry("a"))
		require.True(t, r.TakeRetry("b"))
	})
}

// Retries of new work must not use up the budget of nested requests, whose parents have
// run in vain without a retry; and a small budget must still allow retries of new work.
func TestBudgetOfNestedRequests(t *testing.T) {
	for burst, forNew := range map[float64]int{8: 6, 1: 1} {
		b := ServiceBudgets{Burst: burst}
		b.KeepForNested("s")
		taken := 0
		for b.HasRetry("s") && b.TakeRetry("s") {
			taken++
		}
		require.Equal(t, forNew, taken)
		require.False(t, b.TakeRetry("s"))
		for b.HasNestedRetry("s") && b.TakeNestedRetry("s") {
			taken++
		}
		require.Equal(t, int(burst), taken, "the budget as a whole")
	}
}
