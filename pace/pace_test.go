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

// testResponse is a large response that a test sends.
type testResponse struct {
	readyAt   time.Duration // after the start of the test
	size      int
	objective time.Duration // after readyAt
	deadline  time.Duration // after readyAt
	took      time.Duration
	chunks    int
}

// simulate sends responses over a link in chunks of 16 KiB, and returns them with the
// time that each took.
func simulate(t *testing.T, l *Link, responses []testResponse) []testResponse {
	t.Helper()
	const chunk = 16 << 10
	done := make(chan struct{})
	for n := range responses {
		r := &responses[n]
		go func() {
			defer func() { done <- struct{}{} }()
			<-time.After(r.readyAt)
			start := time.Now()
			tr := l.Begin("r", r.size, start.Add(r.objective), start.Add(r.deadline))
			defer tr.End()
			for left := r.size; left > 0; left -= chunk {
				if tr.Wait(t.Context(), min(chunk, left)) != nil {
					return
				}
				r.chunks++
			}
			r.took = time.Since(start)
		}()
	}
	for range responses {
		<-done
	}
	return responses
}

// If more bytes are released than the link carries, the link queues them, and every
// small response behind them is late.
func TestLinkRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		responses := make([]testResponse, 10)
		for n := range responses {
			responses[n] = testResponse{size: 100 << 10, objective: time.Second, deadline: 3 * time.Second}
		}
		start := time.Now()
		simulate(t, NewLink(rate), responses)
		took := time.Since(start)
		sent := float64(10*(100<<10)) / rate
		require.InDelta(t, sent, took.Seconds(), 0.05)
	})
}

// Under a load of 1.5 times the bandwidth for some seconds, as many responses meet
// their objective as the link can carry.
func TestLinkOverload(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, gap = 64 << 10, 42 * time.Millisecond // 1.5 times the bandwidth
		var responses []testResponse
		for n := range 120 {
			responses = append(responses, testResponse{readyAt: time.Duration(n) * gap, size: size, objective: 600 * time.Millisecond, deadline: 2500 * time.Millisecond})
		}
		simulate(t, NewLink(rate), responses)
		onTime := 0
		for _, r := range responses {
			if r.took <= 600*time.Millisecond+maxAhead {
				onTime++
			}
		}
		require.GreaterOrEqual(t, onTime, 120*2/3, "fewer responses on time than the link can carry")
	})
}

// When not all responses can meet their objective, the largest are deferred.
func TestLinkDefersLargeResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		responses := []testResponse{
			{size: 600 << 10, objective: 700 * time.Millisecond, deadline: 3 * time.Second},
			{size: 200 << 10, objective: 700 * time.Millisecond, deadline: 3 * time.Second},
			{size: 200 << 10, objective: 700 * time.Millisecond, deadline: 3 * time.Second},
			{size: 200 << 10, objective: 700 * time.Millisecond, deadline: 3 * time.Second},
		}
		simulate(t, NewLink(rate), responses)
		for n, r := range responses[1:] {
			require.LessOrEqual(t, r.took, 700*time.Millisecond, "small response %d", n)
		}
		require.Greater(t, responses[0].took, 700*time.Millisecond)
		require.Less(t, responses[0].took, 3*time.Second, "the large response misses its deadline")
	})
}

// A response whose caller does not read, or that ends early, must not block the
// others.
func TestLinkStalledResponses(t *testing.T) {
	cases := map[string]func(l *Link){
		"no chunk is requested": func(l *Link) {
			l.Begin("r", 1<<20, time.Now(), time.Now().Add(time.Minute))
		},
		"the caller disconnects while a chunk waits": func(l *Link) {
			ctx, cancel := context.WithCancel(context.Background())
			tr := l.Begin("r", 1<<20, time.Now(), time.Now().Add(time.Minute))
			l.RecordUnpaced(rate)
			cancel()
			_ = tr.Wait(ctx, 1<<10)
			tr.End()
		},
	}
	for name, stop := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				l := NewLink(rate)
				stop(l)
				responses := simulate(t, l, []testResponse{{size: 64 << 10, objective: time.Second, deadline: 2 * time.Second}})
				require.Equal(t, 4, responses[0].chunks)
				require.Less(t, responses[0].took, 1500*time.Millisecond)
			})
		})
	}
}

// Admission relies on Backlog and TypicalTime, so both must follow the transfers and
// the bytes that were sent.
func TestLinkBacklog(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := NewLink(rate)
		require.Zero(t, l.Backlog())
		tr := l.Begin("r", 512<<10, time.Now(), time.Now())
		require.InDelta(t, 0.5, l.Backlog().Seconds(), 0.01)
		require.NoError(t, tr.Wait(t.Context(), 256<<10))
		require.InDelta(t, 0.5, l.Backlog().Seconds(), 0.01, "released bytes that are not sent yet count")
		tr.End()
		require.InDelta(t, 0.25, l.Backlog().Seconds(), 0.01)
		<-time.After(time.Second)
		require.Zero(t, l.Backlog())
		require.InDelta(t, 0.5, l.TypicalTime("r").Seconds(), 0.01)
		require.Positive(t, l.TypicalTime("another route"))
		l.RecordUnpaced(rate / 2)
		require.InDelta(t, 0.5, l.Backlog().Seconds(), 0.01, "unpaced bytes count")
	})
}

// The zero value must not delay any response.
func TestUnlimitedLink(t *testing.T) {
	var l Link
	var p pollenlatch.Pacer = &l
	tr := p.Begin("r", 1<<30, time.Time{}, time.Time{})
	defer tr.End()
	for n := range 3 {
		t.Run(fmt.Sprint("chunk ", n), func(t *testing.T) {
			require.NoError(t, tr.Wait(t.Context(), 1<<28))
			require.Zero(t, p.Backlog())
			require.Zero(t, p.TypicalTime("r"))
		})
	}
}
