package front

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// Requests must not be sent to servers of an evacuated data centre, and must not wait
// when no other server can ever run them.
func TestRouterEvacuation(t *testing.T) {
	evacuated := func(id pollenlatch.InstanceID) pollenlatch.Instance {
		i := instance(id)
		i.Evacuated = true
		return i
	}
	elsewhere := instance(7)
	elsewhere.DC = "hooghly"
	forbidden := instance(8)
	forbidden.DC = "howrah" // catalogue does not run there
	for _, tt := range []struct {
		name      string
		service   string
		owner     pollenlatch.InstanceID
		endpoints []pollenlatch.Instance
		graceOver bool
		want      []string // addresses that the request was sent to
		waits     bool     // until the deadline
	}{
		{"any server, one elsewhere", "catalogue", 0, []pollenlatch.Instance{evacuated(1), evacuated(2), elsewhere}, false, []string{"link-h"}, false},
		{"any server, none elsewhere", "catalogue", 0, []pollenlatch.Instance{evacuated(1), evacuated(2)}, false, nil, false},
		{"any server, the others in data centres that the service must not use", "catalogue", 0, []pollenlatch.Instance{evacuated(2), forbidden}, false, nil, false},
		{"owner within the grace time", "claims", 2, []pollenlatch.Instance{evacuated(2), elsewhere}, false, []string{"link-c"}, false},
		{"owner after the grace time", "claims", 2, []pollenlatch.Instance{evacuated(2), elsewhere}, true, nil, true},
		{"owner after the grace time, no server elsewhere", "claims", 2, []pollenlatch.Instance{evacuated(2)}, true, nil, false},
		{"this instance owns the key, after the grace time", "claims", 1, []pollenlatch.Instance{evacuated(1)}, true, nil, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newRouterFixture(tt.owner, respondRemote(t))
				fx.control.view.evacuated, fx.control.view.endpoints = true, tt.endpoints
				fx.router.cfg.Evacuated = func(_ string, sharded bool) bool { return !sharded || tt.graceOver }
				start := time.Now()
				r := newPost(tt.service, "k")
				resp, err := fx.router.Handle(t.Context(), r)
				require.Equal(t, tt.want, fx.forwarder.addrs)
				require.Zero(t, fx.localRequests)
				if tt.want != nil {
					require.NoError(t, err)
					require.NoError(t, resp.Body.Close())
					return
				}
				require.Equal(t, tt.waits, time.Since(start) > 0)
				reason := pollenlatch.ReasonEvacuated
				if tt.waits {
					reason = pollenlatch.ReasonNoOwner
				}
				requireFailure(t, err, pollenlatch.OutcomeNotRun, reason, 503)
				var f *pollenlatch.Failure
				require.ErrorAs(t, err, &f)
				require.Positive(t, f.RetryAfter)
			})
		})
	}
}

// A daemon that has not learnt of an evacuation yet sends requests to the data centre,
// whose daemons refuse them. They must be tried elsewhere at once.
func TestRouterLearnsLateOfEvacuation(t *testing.T) {
	fx := newRouterFixture(0, func(n int, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
		if n == 1 {
			return nil, failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonEvacuated, 503)
		}
		return okResponse("remote"), nil
	})
	fx.control.view.endpoints = []pollenlatch.Instance{instance(2), instance(3)}
	r := newPost("catalogue", "")
	r.Route = "r"
	resp, err := fx.router.Handle(t.Context(), r)
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
	require.Equal(t, []string{"link-c", "link-d"}, fx.forwarder.addrs)
}
