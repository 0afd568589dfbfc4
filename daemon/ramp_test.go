package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// A server must start slowly after its start, when it is ready again, after failures and
// after the evacuation of its data centre, but not because the daemon beside it restarts,
// and not below the limit of a cold server, which takes precedence.
func TestRampGuard(t *testing.T) {
	t.Parallel()
	now := time.Now()
	e := pollenlatch.Endpoint{Service: "listing", Incarnation: 7, ID: "s1", Slots: 12, Ready: true, StartedAt: now.Add(-time.Hour).UnixMilli()}
	fresh := e
	fresh.Incarnation, fresh.StartedAt = 8, now.UnixMilli()
	request := &pollenlatch.Request{RequestHead: pollenlatch.RequestHead{Route: "r"}, SoftDeadline: now.Add(500 * time.Millisecond)}
	for _, tt := range []struct {
		name     string
		coldTime time.Duration
		event    func(g *rampGuard)
		pace     int
	}{
		{"restart of the daemon", 3 * time.Second, func(*rampGuard) {}, 0},
		{"start", 3 * time.Second, func(g *rampGuard) { g.useServer(fresh, now) }, 6},
		{"start in a service without a cold time", 0, func(g *rampGuard) { g.useServer(fresh, now) }, 0},
		{"ready again", 3 * time.Second, func(g *rampGuard) { g.lost(); g.useServer(e, now) }, 6},
		{"changed", 3 * time.Second, func(g *rampGuard) {
			limited := e
			limited.Limit = 5
			g.useServer(limited, now)
		}, 0},
		{"failures", 3 * time.Second, func(g *rampGuard) {
			for range 3 {
				g.observe(request, now, nil, &pollenlatch.Failure{Outcome: pollenlatch.OutcomeUnknown, Reason: pollenlatch.ReasonConnectionLost}, now)
			}
		}, 4},
		{"callers disconnect", 3 * time.Second, func(g *rampGuard) {
			for range 5 {
				g.observe(request, now, nil, &pollenlatch.Failure{Outcome: pollenlatch.OutcomeUnknown, Reason: pollenlatch.ReasonCancelled}, now)
			}
		}, 0},
		{"during an evacuation", 3 * time.Second, func(g *rampGuard) { g.update(pollenlatch.Instance{Evacuated: true}, now) }, 6},
		{"after an evacuation", 3 * time.Second, func(g *rampGuard) {
			g.inFlight = func() (int, int) { return 1, 0 }
			g.update(pollenlatch.Instance{Evacuated: true}, now)
			g.update(pollenlatch.Instance{}, now)
		}, 6},
		{"keys without tokens", 3 * time.Second, func(g *rampGuard) { g.moved(25, 100, now) }, 9},
		{"cold", 3 * time.Second, func(g *rampGuard) { g.setCold(true, true, now) }, 0},
		{"no longer cold, nothing observed", 3 * time.Second, func(g *rampGuard) { g.setCold(true, true, now); g.setCold(false, true, now) }, 6},
		{"treated as cold after a restart", 3 * time.Second, func(g *rampGuard) { g.setCold(true, false, now); g.setCold(false, true, now) }, 0},
		{"responses in time", 3 * time.Second, func(g *rampGuard) {
			g.useServer(fresh, now)
			g.inFlight = func() (int, int) { return 12, 0 }
			g.arrive(request, now)
			for n := range 7 {
				sent := now.Add(time.Duration(n) * 100 * time.Millisecond)
				g.observe(request, sent, &pollenlatch.Response{ResponseHead: pollenlatch.ResponseHead{Status: 200}}, nil, sent.Add(100*time.Millisecond))
			}
		}, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			pace := 0
			svc := pollenlatch.Service{Name: "listing", ColdTime: tt.coldTime}
			g := newRampGuard(func() pollenlatch.View { return coldView{service: &svc} }, func(n int) { pace = n }, func() (int, int) { return 0, 0 })
			g.useServer(e, now)
			tt.event(g)
			require.Equal(t, tt.pace, pace)
			if pace > 0 {
				require.Equal(t, pace, g.slots(e))
			} else {
				require.Equal(t, 12, g.slots(e))
			}
		})
	}
}
