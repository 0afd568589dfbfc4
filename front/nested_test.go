package front

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// Guards against a log that does not tell whether a slow nested call waited for the link,
// for a slot, or for an earlier attempt.
func TestNestedTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newRouterFixture(0, func(n int, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
			if n == 1 {
				<-time.After(20 * time.Millisecond)
				return nil, failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable, 503)
			}
			<-time.After(100 * time.Millisecond)
			resp := okResponse("ok")
			resp.QueueTime, resp.TotalTime = 30*time.Millisecond, 90*time.Millisecond
			return resp, nil
		})
		fx.control.view.endpoints = []pollenlatch.Instance{instance(2), instance(3)}
		for _, nested := range []bool{true, false} {
			fx.forwarder.addrs = nil
			r := newPost("catalogue", "")
			r.Route, r.Nested, r.Trace = "calls", nested, new(pollenlatch.RequestTrace)
			resp, err := fx.router.Handle(t.Context(), r)
			require.NoError(t, err)
			require.NoError(t, resp.Body.Close())
			if !nested {
				require.Nil(t, r.Trace.Nested)
				continue
			}
			require.Equal(t, &pollenlatch.NestedTimes{
				Entry: 20 * time.Millisecond, Link: 10 * time.Millisecond, Queue: 30 * time.Millisecond, Server: 60 * time.Millisecond,
			}, r.Trace.Nested)
		}
	})
}
