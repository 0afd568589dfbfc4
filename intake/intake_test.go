package intake

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against bodies that never start, or chunks that are never requested, because
// nothing reconsiders them once the link is free.
func TestLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const rate, n, size = 1 << 20, 40, 32 << 10
		l := NewLink(rate)
		free := make(chan struct{}, 1)
		l.OnFree(func() {
			select {
			case free <- struct{}{}:
			default:
			}
		})
		start := time.Now()
		done := make(chan struct{}, n)
		for range n {
			go func() {
				b := l.Begin("r", size, start.Add(time.Minute), start.Add(time.Hour))
				defer func() { b.End(true); done <- struct{}{} }()
				b.Queue(0, time.Now())
				for !b.MayStart(time.Now()) {
					<-time.After(10 * time.Millisecond)
				}
				b.Start(time.Now())
				for range size / (16 << 10) {
					if b.Wait(t.Context(), 16<<10) == nil {
						<-time.After(senderDelay)
						b.Arrived(16 << 10)
					}
				}
			}()
		}
		for range n {
			<-done
		}
		require.InDelta(t, n*size/(rate*(1-reservedShare)), time.Since(start).Seconds(), 0.2)
		require.Len(t, free, 1, "nobody was told that the link is free")
		waiting, moving, _ := l.Load()
		require.Zero(t, waiting+moving)
	})
}

// Guards against a request that waits for the link although its caller has left, and
// keeps others from using it.
func TestEndedBodyFreesLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLink(1 << 20)
		due := time.Now().Add(time.Minute)
		first, second := l.Begin("r", 1<<20, due, due), l.Begin("r", 1<<20, due, due)
		first.Queue(0, time.Now())
		first.Start(time.Now())
		second.Queue(0, time.Now())
		require.False(t, second.MayStart(time.Now()))
		ctx, cancel := context.WithTimeout(t.Context(), stallTime/2)
		defer cancel()
		chunks := 0
		for ; first.Wait(ctx, 16<<10) == nil; chunks++ { // nothing arrives
		}
		require.LessOrEqual(t, chunks*(16<<10), int(maxAhead.Seconds()*(1<<20))+16<<10)
		first.End(false)
		first.End(true)
		require.Zero(t, first.Received())
		require.True(t, second.MayStart(time.Now()))
		second.End(true)
	})
}

// An unlimited link delays nothing.
func TestUnlimitedLink(t *testing.T) {
	l := NewLink(0)
	now := time.Now()
	b := l.Begin("r", -1, time.Time{}, now.Add(time.Second))
	require.Equal(t, now, b.Queue(0, now))
	require.True(t, b.MayStart(now))
	b.Start(now)
	require.NoError(t, b.Wait(t.Context(), 1<<30))
	b.Arrived(1 << 30)
	b.End(true)
	l.RecordOther(1 << 30)
	(*Link)(nil).RecordOther(1)
}
