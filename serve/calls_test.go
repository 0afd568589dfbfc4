package serve

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/calls"
)

// Guards against runs whose calls fail being admitted on and on, and against nested
// requests being refused for that.
func TestRequestsWithFailingCallsAreRefused(t *testing.T) {
	h := newHarness()
	h.control.view.service.Keyed = false
	adaptive := true
	h.server = New(Config{
		Control: h.control, Admitter: h.admitter, Exchanger: h.exchanger, Records: h.records,
		Endpoint: func() (pollenlatch.Endpoint, bool) { return h.endpoint, true },
		Adaptive: func() bool { return adaptive },
		ExpectedWait: func(service string) (time.Duration, bool) {
			return 250 * time.Millisecond, service == "pay"
		},
	})
	call := func(nested bool) *pollenlatch.Failure {
		r := newRequest()
		r.Route, r.ID, r.Nested, r.Shard, r.IdempotencyKey, r.Deadline = "book", "a7", nested, pollenlatch.Shard{}, "", time.Now().Add(3*time.Second)
		h.server.active.begin(r.ID, r.Route, false)
		c := &pollenlatch.Request{RequestHead: pollenlatch.RequestHead{ID: "a7.1", Service: "pay"}, Deadline: r.Deadline}
		c.ParentRoute = h.server.CallArrived(c)
		h.server.CallEnded(c, 503)
		h.server.active.end(r.ID)
		_, err := h.call(r)
		if err == nil {
			return nil
		}
		return asFailure(err)
	}
	adaptive = false
	for range 20 {
		require.Nil(t, call(false), "a deployment without the parts for overload")
	}
	adaptive = true
	var refused *pollenlatch.Failure
	for range 50 {
		if f := call(false); f != nil {
			refused = f
		}
	}
	require.NotNil(t, refused)
	require.Equal(t, pollenlatch.OutcomeNotRun, refused.Outcome)
	require.Equal(t, pollenlatch.ReasonCallsFailing, refused.Reason)
	require.Equal(t, 503, refused.Status)
	require.Equal(t, 250*time.Millisecond, refused.RetryAfter, "the wait at the best server of the called service")
	for range 20 {
		require.Nil(t, call(true), "a nested request")
	}
}

// A call that the server gives up at its deadline has failed; one that it abandons before,
// because its own caller has left, says nothing.
func TestCallResult(t *testing.T) {
	now := time.Now()
	request := func(objective, deadline time.Duration) *pollenlatch.Request {
		return &pollenlatch.Request{SoftDeadline: now.Add(objective), Deadline: now.Add(deadline)}
	}
	for _, tt := range []struct {
		name   string
		r      *pollenlatch.Request
		status int
		want   calls.Result
		known  bool
	}{
		{"in time", request(time.Second, 2*time.Second), 200, calls.OK, true},
		{"after the objective", request(-time.Second, time.Second), 200, calls.Slow, true},
		{"after the deadline", request(-time.Second, -time.Second), 200, calls.Failed, true},
		{"refused", request(time.Second, time.Second), 503, calls.Failed, true},
		{"given up at the deadline", request(-time.Second, 0), 0, calls.Failed, true},
		{"abandoned", request(time.Second, time.Second), 0, calls.OK, false},
		{"not found", request(time.Second, time.Second), 404, calls.OK, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			got, known := callResult(tt.r, tt.status, now)
			require.Equal(t, tt.known, known)
			require.Equal(t, tt.want, got)
		})
	}
}

// A call counts for the route of its parent, and as the first of a run only once.
func TestRecordCall(t *testing.T) {
	var a activeRequests
	a.begin("a7", "book", false)
	route, first := a.recordCall("a7.1")
	require.Equal(t, "book", route)
	require.True(t, first)
	_, first = a.recordCall("a7.2")
	require.False(t, first)
	a.end("a7")
	route, _ = a.recordCall("a7.3")
	require.Empty(t, route)
}

// Without the figures in responses and failures, other daemons send requests to full
// servers. They must be those of the server of the request.
func TestHintInResponsesAndFailures(t *testing.T) {
	h := newHarness()
	adaptive := true
	shared := &pollenlatch.Failure{Outcome: pollenlatch.OutcomeNotRun, Reason: pollenlatch.ReasonUnreachable, Status: 503}
	h.server = New(Config{
		Control: h.control, Admitter: h.admitter, Exchanger: h.exchanger, Records: h.records,
		Endpoint: func() (pollenlatch.Endpoint, bool) { return h.endpoint, true },
		Adaptive: func() bool { return adaptive },
		Hint:     func() *pollenlatch.ServerHint { return &pollenlatch.ServerHint{Slots: 9} },
	})
	h.control.view.service.Keyed = false
	call := func() (*pollenlatch.Response, *pollenlatch.Failure) {
		r := newRequest()
		r.Route, r.Shard, r.IdempotencyKey = "book", pollenlatch.Shard{}, ""
		resp, err := h.server.Handle(t.Context(), r)
		if err != nil {
			return nil, asFailure(err)
		}
		require.NoError(t, resp.Body.Close())
		return resp, nil
	}
	resp, _ := call()
	require.Equal(t, uint32(9), resp.Hint.Slots)
	h.exchanger.err = shared
	_, f := call()
	require.Equal(t, uint32(9), f.Hint.Slots)
	require.Nil(t, shared.Hint, "a failure that is shared must not be changed")
	h.endpoint.Service = "other"
	_, f = call()
	require.Nil(t, f.Hint, "the server of another service")
	h.endpoint.Service, h.exchanger.err, adaptive = "claims", nil, false
	resp, _ = call()
	require.Nil(t, resp.Hint)
}

// A request that its sender was told has not run must not run afterwards.
func TestRevokedRequestIsNotSent(t *testing.T) {
	h := newHarness()
	var r pollenlatch.Revocable
	h.exchanger.beforeCheck = func() { require.True(t, r.Revoke()) }
	req := newRequest()
	_, err := h.server.Handle(pollenlatch.WithRevocable(t.Context(), &r), req)
	require.Equal(t, pollenlatch.OutcomeNotRun, asFailure(err).Outcome)
	require.Zero(t, h.exchanger.runs)
	h.exchanger.beforeCheck = nil
	var begun pollenlatch.Revocable
	resp, err := h.server.Handle(pollenlatch.WithRevocable(t.Context(), &begun), newRequest())
	require.NoError(t, err)
	require.False(t, begun.Revoke())
	require.NoError(t, resp.Body.Close())
}
