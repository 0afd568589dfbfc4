package pace

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

const rate = 1 << 20 // bytes a second

// answer is one long answer that a test sends.
type answer struct {
	at     time.Duration // when it is ready
	size   int
	aim    time.Duration // after at
	end    time.Duration // after at
	took   time.Duration
	chunks int
}

// play sends answers over a link and returns when each had left, in chunks of
// 16 KB.
func play(t *testing.T, l *Link, all []answer) []answer {
	t.Helper()
	const chunk = 16 << 10
	done := make(chan struct{})
	for n := range all {
		a := &all[n]
		go func() {
			defer func() { done <- struct{}{} }()
			<-time.After(a.at)
			start := time.Now()
			turn := l.Begin("r", a.size, start.Add(a.aim), start.Add(a.end))
			defer turn.End()
			for left := a.size; left > 0; left -= chunk {
				if turn.Wait(t.Context(), min(chunk, left)) != nil {
					return
				}
				a.chunks++
			}
			a.took = time.Since(start)
		}()
	}
	for range all {
		<-done
	}
	return all
}

// A link that is given more than it carries queues it, and then every short
// answer behind it is late.
func TestLinkKeepsItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := make([]answer, 10)
		for n := range all {
			all[n] = answer{size: 100 << 10, aim: time.Second, end: 3 * time.Second}
		}
		start := time.Now()
		play(t, NewLink(rate), all)
		took := time.Since(start)
		sent := float64(10*(100<<10)) / rate
		require.InDelta(t, sent, took.Seconds(), 0.05)
	})
}

// Under a load of 1.5 times what the link carries for some seconds, callers get
// what a link without overload would give to as many of them as it carries.
func TestLinkOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, gap = 64 << 10, 42 * time.Millisecond // 1.5 times the rate
		var all []answer
		for n := range 120 {
			all = append(all, answer{at: time.Duration(n) * gap, size: size, aim: 600 * time.Millisecond, end: 2500 * time.Millisecond})
		}
		play(t, NewLink(rate), all)
		inTime := 0
		for _, a := range all {
			if a.took <= 600*time.Millisecond+ahead {
				inTime++
			}
		}
		require.GreaterOrEqual(t, inTime, 120*2/3, "as many as the link carries while they arrive")
	})
}

// The longest answers wait where not all can be in time.
func TestLinkPutsLongAnswersBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		all := []answer{
			{size: 600 << 10, aim: 700 * time.Millisecond, end: 3 * time.Second},
			{size: 200 << 10, aim: 700 * time.Millisecond, end: 3 * time.Second},
			{size: 200 << 10, aim: 700 * time.Millisecond, end: 3 * time.Second},
			{size: 200 << 10, aim: 700 * time.Millisecond, end: 3 * time.Second},
		}
		play(t, NewLink(rate), all)
		for n, a := range all[1:] {
			require.LessOrEqual(t, a.took, 700*time.Millisecond, "short answer %d", n)
		}
		require.Greater(t, all[0].took, 700*time.Millisecond)
		require.Less(t, all[0].took, 3*time.Second, "and is delivered late")
	})
}

// An answer whose caller does not read, or that ends early, must not hold up
// the others.
func TestLinkAnswersThatStop(t *testing.T) {
	cases := map[string]func(l *Link){
		"nobody asks for its next chunk": func(l *Link) {
			l.Begin("r", 1<<20, time.Now(), time.Now().Add(time.Minute))
		},
		"its caller goes away while it waits": func(l *Link) {
			ctx, cancel := context.WithCancel(context.Background())
			turn := l.Begin("r", 1<<20, time.Now(), time.Now().Add(time.Minute))
			l.RecordUnpaced(rate)
			cancel()
			_ = turn.Wait(ctx, 1<<10)
			turn.End()
		},
	}
	for name, stop := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := NewLink(rate)
				stop(l)
				all := play(t, l, []answer{{size: 64 << 10, aim: time.Second, end: 2 * time.Second}})
				require.Equal(t, 4, all[0].chunks)
				require.Less(t, all[0].took, 1500*time.Millisecond)
			})
		})
	}
}

// Admission refuses by what the link has to carry, so both figures must follow
// what was entered and sent.
func TestLinkBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLink(rate)
		require.Zero(t, l.Backlog())
		turn := l.Begin("r", 512<<10, time.Now(), time.Now())
		require.InDelta(t, 0.5, l.Backlog().Seconds(), 0.01)
		require.NoError(t, turn.Wait(t.Context(), 256<<10))
		require.InDelta(t, 0.5, l.Backlog().Seconds(), 0.01, "given out, not sent yet")
		turn.End()
		require.InDelta(t, 0.25, l.Backlog().Seconds(), 0.01)
		<-time.After(time.Second)
		require.Zero(t, l.Backlog())
		require.InDelta(t, 0.5, l.TypicalTime("r").Seconds(), 0.01)
		require.Positive(t, l.TypicalTime("another route"))
		l.RecordUnpaced(rate / 2)
		require.InDelta(t, 0.5, l.Backlog().Seconds(), 0.01, "short answers take their part")
	})
}

// The zero value must hold nothing up.
func TestLinkWithoutBound(t *testing.T) {
	var l Link
	var p pollenlatch.Pacer = &l
	turn := p.Begin("r", 1<<30, time.Time{}, time.Time{})
	defer turn.End()
	for n := range 3 {
		t.Run(fmt.Sprint("chunk ", n), func(t *testing.T) {
			require.NoError(t, turn.Wait(t.Context(), 1<<28))
			require.Zero(t, p.Backlog())
			require.Zero(t, p.TypicalTime("r"))
		})
	}
}
