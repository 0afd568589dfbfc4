package front

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/pick"
)

// roomyPicker is a fakePicker that notes how it was called.
type roomyPicker struct {
	fakePicker
	hints    map[pollenlatch.InstanceID]pollenlatch.ServerHint
	mostRoom int
}

func (p *roomyPicker) Observe(id pollenlatch.InstanceID, h pollenlatch.ServerHint) { p.hints[id] = h }

func (p *roomyPicker) PickMostRoom(c []pollenlatch.Instance, dc string, tried pollenlatch.Set[pollenlatch.InstanceID]) (pollenlatch.Instance, func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration), bool) {
	p.mostRoom++
	return p.Pick(c, dc, tried)
}

// hintFixture is a router for a service with two remote servers that refuse all requests
// and say with which hints.
type hintFixture struct {
	*routerFixture
	picker   *roomyPicker
	adaptive bool
	hint     pollenlatch.ServerHint
}

func newHintFixture() *hintFixture {
	fx := &hintFixture{picker: &roomyPicker{hints: map[pollenlatch.InstanceID]pollenlatch.ServerHint{}}, adaptive: true}
	fx.hint = pollenlatch.ServerHint{Slots: 9, Waiting: 20, WaitMillis: 240, LowestClass: pollenlatch.ClassNormal, RefusedClass: pollenlatch.ClassNormal}
	fx.routerFixture = newRouterFixture(0, func(int, *pollenlatch.Request) (*pollenlatch.Response, error) {
		f := failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonOverloaded, http.StatusServiceUnavailable)
		h := fx.hint
		f.Hint, f.RetryAfter = &h, 150*time.Millisecond
		return nil, f
	})
	for id := pollenlatch.InstanceID(2); id <= 3; id++ {
		i := instance(id)
		i.Endpoint.Incarnation = pollenlatch.Incarnation(id)
		fx.control.view.endpoints = append(fx.control.view.endpoints, i)
	}
	fx.router.cfg.Picker = fx.picker
	fx.router.cfg.ServiceBudgets = &pick.ServiceBudgets{Ratio: 0.1, Burst: 10}
	fx.router.cfg.Adaptive = func() bool { return fx.adaptive }
	return fx
}

// send sends a request and returns its failure and the number of attempts.
func (fx *hintFixture) send(t *testing.T, change func(r *pollenlatch.Request)) (f *pollenlatch.Failure, attempts int) {
	t.Helper()
	r := newPost("catalogue", "")
	r.Route, r.Class, r.MaxAttempts = "route", pollenlatch.ClassNormal, 2
	if change != nil {
		change(r)
	}
	before := len(fx.forwarder.addrs)
	_, err := fx.router.Handle(context.Background(), r)
	require.ErrorAs(t, err, &f)
	return f, len(fx.forwarder.addrs) - before
}

// Guards against requests that are sent to full servers, one after the other, although the
// servers have said that they are full; and against refusing those that may get a slot.
func TestRequestsForFullServersAreRefusedAtTheEntry(t *testing.T) {
	for _, tt := range []struct {
		name    string
		hint    func(h *pollenlatch.ServerHint)
		request func(r *pollenlatch.Request)
		sent    bool
	}{
		{name: "as urgent"},
		{name: "less urgent", request: func(r *pollenlatch.Request) { r.Class = pollenlatch.ClassRoutine }},
		{name: "more urgent", request: func(r *pollenlatch.Request) { r.Class = pollenlatch.ClassUrgent }, sent: true},
		{name: "less urgent work there", hint: func(h *pollenlatch.ServerHint) { h.LowestClass = pollenlatch.ClassRoutine }, sent: true},
		{name: "nested", request: func(r *pollenlatch.Request) { r.Nested = true }, sent: true},
		{name: "came back when it was told to", request: func(r *pollenlatch.Request) { r.Waited = 300 * time.Millisecond }, sent: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			fx := newHintFixture()
			if tt.hint != nil {
				tt.hint(&fx.hint)
			}
			_, attempts := fx.send(t, nil)
			require.Equal(t, 2, attempts, "nothing is known before")
			f, attempts := fx.send(t, tt.request)
			require.Equal(t, tt.sent, attempts > 0)
			requireFailure(t, f, pollenlatch.OutcomeNotRun, pollenlatch.ReasonOverloaded, http.StatusServiceUnavailable)
			require.InDelta(t, 270, f.RetryAfter.Milliseconds(), 31, "the wait at the best server, spread")
		})
	}
	t.Run("deployment without the parts for overload", func(t *testing.T) {
		fx := newHintFixture()
		fx.adaptive = false
		_, _ = fx.send(t, nil)
		f, attempts := fx.send(t, nil)
		require.Equal(t, 2, attempts)
		require.Equal(t, 150*time.Millisecond, f.RetryAfter)
	})
	t.Run("a route that is served too rarely", func(t *testing.T) {
		fx := newHintFixture()
		other := &pollenlatch.Request{RequestHead: pollenlatch.RequestHead{Service: "catalogue", Route: "other"}}
		for range 100 {
			fx.router.shares.offer(other, time.Now())
			fx.router.shares.end(other, false, true)
		}
		sent := 0
		for range 20 {
			if _, attempts := fx.send(t, nil); attempts > 0 {
				sent++
			}
		}
		require.Greater(t, sent, 10)
	})
}

// Guards against nested calls that wait behind new work, or that are refused for it: the
// server that sent them holds a slot and has done half the work.
func TestNestedRequestsUseTheServerWithMostRoom(t *testing.T) {
	fx := newHintFixture()
	_, _ = fx.send(t, func(r *pollenlatch.Request) { r.Nested = true })
	require.Positive(t, fx.picker.mostRoom)
	require.Equal(t, fx.hint, fx.picker.hints[2])
	fx.picker.mostRoom = 0
	_, _ = fx.send(t, nil)
	require.Zero(t, fx.picker.mostRoom)
	a := failedAttempt{outcome: pollenlatch.OutcomeNotRun, reason: pollenlatch.ReasonOverloaded, hops: maxOverloadHops, hasUntried: true, timeLeft: time.Second, replayable: true}
	require.Equal(t, noRetry, a.decide())
	a.mustNotWait = true
	require.Equal(t, retryNow, a.decide())
}

// A request that reached no server is answered with 503, which promises that, and with the
// time after which the caller may send it again; one that may have run is not.
func TestRetryAfterOfRequestsThatWereNotRun(t *testing.T) {
	s, _ := newRoutedServer(t)
	adaptive := true
	s.cfg.Adaptive = func() bool { return adaptive }
	respond := func(f *pollenlatch.Failure) (int, string) {
		w := httptest.NewRecorder()
		rs := &responder{server: s, writer: w, request: &pollenlatch.Request{RequestHead: pollenlatch.RequestHead{Timeout: 1200 * time.Millisecond}}}
		rs.writeFailure(f)
		return w.Code, w.Header().Get("Retry-After")
	}
	expired := failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonDeadlineExceeded, http.StatusGatewayTimeout)
	status, after := respond(expired)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "0.4", after)
	require.Zero(t, expired.RetryAfter, "a failure that may be shared must not be changed")
	status, after = respond(failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonDeadlineExceeded, http.StatusGatewayTimeout))
	require.Equal(t, http.StatusGatewayTimeout, status)
	require.Empty(t, after)
	adaptive = false
	_, after = respond(expired)
	require.Empty(t, after)
}

// Guards against callers of uploads that are told to come back at once, since servers have
// free slots, although the network link into them is busy: 3,020 refusals for 421 uploads
// that were served.
func TestRetryAfterOfLargeBodies(t *testing.T) {
	fx := newHintFixture()
	fx.hint = pollenlatch.ServerHint{Slots: 9, FreeSlots: 5}
	f, _ := fx.send(t, func(r *pollenlatch.Request) { r.LargeBody = true })
	require.GreaterOrEqual(t, f.RetryAfter, 150*time.Millisecond, "the server named a longer time than the hints")
}
