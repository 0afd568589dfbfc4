package gauge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a server that is avoided after two failures, or after it has recovered.
func TestFailing(t *testing.T) {
	now := time.Unix(1000, 0)
	record := func(f *Failing, n int, failed bool) {
		for range n {
			now = now.Add(15 * time.Millisecond)
			f.Record(failed, now)
		}
	}
	t.Run("few results", func(t *testing.T) {
		var f Failing
		record(&f, 2, true)
		require.Zero(t, f.Percent(now))
		record(&f, 4, true)
		require.EqualValues(t, 100, f.Percent(now))
	})
	t.Run("two failures among many results", func(t *testing.T) {
		var f Failing
		record(&f, 66, false)
		record(&f, 2, true)
		require.Less(t, f.Percent(now), uint32(6))
	})
	t.Run("fault and recovery", func(t *testing.T) {
		var f Failing
		record(&f, 200, false)
		record(&f, 66, true)
		require.InDelta(t, 65, f.Percent(now), 5)
		record(&f, 133, false)
		require.Less(t, f.Percent(now), uint32(15))
	})
	t.Run("old results", func(t *testing.T) {
		var f Failing
		record(&f, 66, true)
		require.Zero(t, f.Percent(now.Add(4*time.Second)))
	})
	t.Run("another server", func(t *testing.T) {
		var f Failing
		record(&f, 66, true)
		f.Reset()
		require.Zero(t, f.Percent(now))
	})
}
