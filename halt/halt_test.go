package halt

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// Guards against requests that a stopping process takes and then aborts: with a grace
// period of 6 s, claims with a deadline of 4 s that came 1.5 s to 3.3 s after the signal
// were cut without a response.
func TestGate(t *testing.T) {
	signal := time.Unix(1_800_000_000, 0)
	schedule := Schedule{RepeatableUntil: signal.Add(3 * time.Second), End: signal.Add(5600 * time.Millisecond)}
	for _, tt := range []struct {
		name       string
		after      time.Duration // since the signal
		timeout    time.Duration // 0 is none
		idempotent bool
		want       bool
	}{
		{"ends in time", 1500 * time.Millisecond, 4 * time.Second, false, true},
		{"ends with the process", 1600 * time.Millisecond, 4 * time.Second, false, true},
		{"may be aborted", 1601 * time.Millisecond, 4 * time.Second, false, false},
		{"late and short", 4 * time.Second, time.Second, false, true},
		{"a deadline longer than the grace period", 0, 6 * time.Second, false, false},
		{"without a deadline", 0, 0, false, false},
		{"may be repeated", 2900 * time.Millisecond, 6 * time.Second, true, true},
		{"may be repeated, late", 3 * time.Second, 6 * time.Second, true, false},
		{"may be repeated, late and short", 3500 * time.Millisecond, 2 * time.Second, true, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			now := signal.Add(tt.after)
			r := &pollenlatch.Request{RequestHead: pollenlatch.RequestHead{Idempotent: tt.idempotent}}
			if tt.timeout > 0 {
				r.Deadline = now.Add(tt.timeout)
			}
			var g Gate
			require.Nil(t, g.Check(r, now), "before the stop")
			g.Begin(schedule)
			f := g.Check(r, now)
			require.Equal(t, tt.want, f == nil)
			if f != nil {
				require.Equal(t, pollenlatch.OutcomeNotRun, f.Outcome)
				require.Equal(t, schedule.End.Sub(now), f.RetryAfter)
				require.EqualValues(t, 1, g.Refused())
			}
		})
	}
}

// waitingHandler holds requests until begin, and runs them for run from then on.
type waitingHandler struct {
	begin time.Duration // since the arrival
	run   time.Duration
	known bool // the run time is known
	runs  int
}

func (h *waitingHandler) Handle(ctx context.Context, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
	cancelled := &pollenlatch.Failure{Outcome: pollenlatch.OutcomeNotRun, Reason: pollenlatch.ReasonCancelled, Status: 499}
	if h.known {
		pollenlatch.RevocableOf(ctx).ExpectRun(func() time.Duration { return h.run })
	}
	select {
	case <-time.After(h.begin):
	case <-ctx.Done():
		return nil, cancelled
	}
	if !pollenlatch.BeginRun(ctx) {
		return nil, cancelled
	}
	h.runs++
	select {
	case <-time.After(h.run):
		return &pollenlatch.Response{ResponseHead: pollenlatch.ResponseHead{Status: http.StatusOK}, Body: io.NopCloser(strings.NewReader(""))}, nil
	case <-ctx.Done():
		return nil, &pollenlatch.Failure{Outcome: pollenlatch.OutcomeUnknown, Reason: pollenlatch.ReasonCancelled, Status: http.StatusBadGateway}
	}
}

// Guards against accepted requests that still wait when a stopping process ends (review/8):
// their connections were closed without a response, though they had reached no server.
func TestWaitingRequestsAtStop(t *testing.T) {
	const drain = 5600 * time.Millisecond
	never := time.Hour
	for _, tt := range []struct {
		name         string
		handler      waitingHandler
		timeout      time.Duration // 0 is none
		wantRefused  time.Duration // since the signal; 0: it is not refused
		wantResponse time.Duration // since the signal
	}{
		{"waits for a server", waitingHandler{begin: never}, 8 * time.Second, drain - ResponseMargin, 0},
		{"waits without a deadline", waitingHandler{begin: never}, 0, drain - ResponseMargin, 0},
		{"ends in time", waitingHandler{begin: 2 * time.Second, run: 2 * time.Second, known: true}, 8 * time.Second, 0, 3500 * time.Millisecond},
		{"can't end in time", waitingHandler{begin: 4900 * time.Millisecond, run: 2500 * time.Millisecond, known: true}, 8 * time.Second, drain - ResponseMargin - 2500*time.Millisecond, 0},
		{"runs at the end", waitingHandler{begin: 4 * time.Second, run: 4 * time.Second}, 9 * time.Second, 0, 7500 * time.Millisecond},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := Gate{DrainTimeout: drain}
				r := &pollenlatch.Request{}
				if tt.timeout > 0 {
					r.Deadline = time.Now().Add(tt.timeout)
				}
				signal := time.Now().Add(500 * time.Millisecond)
				time.AfterFunc(500*time.Millisecond, func() { g.Begin(Schedule{RepeatableUntil: signal.Add(3 * time.Second), End: signal.Add(drain)}) })
				resp, err := g.Wrap(&tt.handler).Handle(t.Context(), r)
				if tt.wantRefused == 0 {
					require.NoError(t, err)
					require.NoError(t, resp.Body.Close())
					require.Equal(t, tt.wantResponse, time.Since(signal))
					require.Zero(t, g.Revoked())
					return
				}
				var f *pollenlatch.Failure
				require.ErrorAs(t, err, &f)
				require.Equal(t, tt.wantRefused, time.Since(signal))
				require.Equal(t, []any{pollenlatch.OutcomeNotRun, pollenlatch.ReasonDraining, http.StatusServiceUnavailable, drain - tt.wantRefused},
					[]any{f.Outcome, f.Reason, f.Status, f.RetryAfter})
				require.Zero(t, tt.handler.runs)
				require.EqualValues(t, 1, g.Revoked())
			})
		})
	}
}

// A request that arrives during the stop and may be repeated gets the same end.
func TestRepeatableRequestsAtStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const drain = 5600 * time.Millisecond
		g := Gate{DrainTimeout: drain}
		signal := time.Now()
		g.Begin(Schedule{RepeatableUntil: signal.Add(3 * time.Second), End: signal.Add(drain)})
		time.Sleep(2 * time.Second)
		r := &pollenlatch.Request{RequestHead: pollenlatch.RequestHead{Idempotent: true}, Deadline: time.Now().Add(5 * time.Second)}
		_, err := g.Wrap(&waitingHandler{begin: time.Hour}).Handle(t.Context(), r)
		var f *pollenlatch.Failure
		require.ErrorAs(t, err, &f)
		require.Equal(t, pollenlatch.ReasonDraining, f.Reason)
		require.Equal(t, drain-ResponseMargin, time.Since(signal))
	})
}
