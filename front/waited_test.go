package front

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A caller that was refused and comes back has used a part of its objective;
// counted anew, its late answer would take the place of one in time.
func TestWaited(t *testing.T) {
	begin := time.Unix(1000, 0)
	first := func(w *waits, n int) {
		for k := range n {
			left := 3400*time.Millisecond + time.Duration(k%7)*100*time.Millisecond
			require.Zero(t, w.waited("r", left, begin))
		}
	}
	t.Run("comes back", func(t *testing.T) {
		var w waits
		first(&w, 70)
		require.InDelta(t, 1500, w.waited("r", 2200*time.Millisecond, begin).Milliseconds(), 150)
	})
	t.Run("first attempts differ a little", func(t *testing.T) {
		var w waits
		first(&w, 70)
		require.Zero(t, w.waited("r", 3300*time.Millisecond, begin))
	})
	t.Run("too few are known", func(t *testing.T) {
		var w waits
		first(&w, 3)
		require.Zero(t, w.waited("r", 2200*time.Millisecond, begin))
	})
	t.Run("another route", func(t *testing.T) {
		var w waits
		first(&w, 70)
		require.Zero(t, w.waited("s", 100*time.Millisecond, begin))
	})
	t.Run("callers become less patient", func(t *testing.T) {
		var w waits
		first(&w, 70)
		now := begin
		for range 3 {
			now = now.Add(usualSpan)
			for range 100 {
				w.waited("r", time.Second, now)
			}
		}
		require.Zero(t, w.waited("r", time.Second, now))
	})
}
