package serve

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/gauge"
)

// Guards against a server that other daemons avoid for what is not its fault, and against
// faults of the server that nobody hears of.
func TestFailingCountsFaultsOfTheServer(t *testing.T) {
	failure := func(o pollenlatch.Outcome, r pollenlatch.Reason) *pollenlatch.Failure {
		return &pollenlatch.Failure{Outcome: o, Reason: r, Status: 502, Sent: o == pollenlatch.OutcomeUnknown}
	}
	refused := failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonQueueFull)
	refused.Sent = true
	for _, tt := range []struct {
		name string
		err  error
		full bool
		want uint32
	}{
		{name: "response"},
		{name: "connection lost", err: failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost), want: 100},
		{name: "invalid response", err: failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonInvalidResponse), want: 100},
		{name: "unreachable", err: failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable), want: 100},
		{name: "refused with free slots", err: refused, want: 100},
		{name: "refused by a full server", err: refused, full: true},
		{name: "refused by this daemon", err: failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonQueueFull)},
		{name: "overload", err: failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonOverloaded)},
		{name: "cancelled", err: failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonCancelled)},
		{name: "deadline", err: failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonDeadlineExceeded)},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.exchanger.err = tt.err
				var failing gauge.Failing
				h.server.cfg.Failing, h.server.cfg.Full = &failing, func() bool { return tt.full }
				for range 10 {
					r := newRequest()
					r.IdempotencyKey, r.Idempotent = "", true
					if resp, err := h.server.Handle(context.Background(), r); err == nil {
						require.NoError(t, resp.Body.Close())
					}
				}
				require.Equal(t, tt.want, failing.Percent(time.Now()))
			})
		})
	}
	t.Run("broken off response", func(t *testing.T) {
		h := newHarness()
		var failing gauge.Failing
		h.server.cfg.Failing, h.server.cfg.ReadAheadBytes = &failing, 100
		h.exchanger.bodyErr = failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost)
		for range 10 {
			r := newRequest()
			r.IdempotencyKey, r.Idempotent = "", true
			_, err := h.server.Handle(t.Context(), r)
			require.Error(t, err)
		}
		require.EqualValues(t, 100, failing.Percent(time.Now()))
	})
}
