package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// coldView is a View with one service.
type coldView struct {
	pollenlatch.View
	service *pollenlatch.Service
}

func (v coldView) Service(name string) (pollenlatch.Service, bool) {
	return *v.service, name == v.service.Name
}

// guardRun is a coldGuard with what it has set.
type guardRun struct {
	*coldGuard
	service pollenlatch.Service
	rate    float64
	isCold  bool
	checks  int
}

func newGuardRun(coldRate float64) *guardRun {
	r := &guardRun{service: pollenlatch.Service{Name: "listing", ColdRate: coldRate}}
	r.coldGuard = newColdGuard(
		func() pollenlatch.View { return coldView{service: &r.service} },
		func(perSecond float64, cold bool, _ time.Time) { r.rate, r.isCold = perSecond, cold },
		func() { r.checks++ },
	)
	return r
}

// A server must be limited from its first request on: after its start, after a restart of
// the daemon until the server states that it is warm, and when the daemon learns the rate
// late. A service without a ColdRate must not be limited.
func TestColdGuard(t *testing.T) {
	t.Parallel()
	e := pollenlatch.Endpoint{Service: "listing", Incarnation: 7, ID: "s1"}
	next := pollenlatch.Endpoint{Service: "listing", Incarnation: 8, ID: "s2"}
	now := time.Now()
	t.Run("no rate", func(t *testing.T) {
		t.Parallel()
		r := newGuardRun(0)
		r.useServer(e, now)
		require.False(t, r.heartbeat(e, time.Second, now))
		require.False(t, r.enabled.Load())
		require.Zero(t, r.checks)
		r.service.ColdRate = 14
		r.update()
		require.True(t, r.isCold, "the configuration names a rate now")
	})
	t.Run("restart of the daemon", func(t *testing.T) {
		t.Parallel()
		r := newGuardRun(14)
		r.useServer(e, now)
		require.Equal(t, []any{14.0, true, 1}, []any{r.rate, r.isCold, r.checks})
		require.True(t, r.needsCheck(now))
		require.False(t, r.response(next.Incarnation, 0, now, now), "a response of another server")
		require.True(t, r.isCold)
		require.False(t, r.response(e.Incarnation, 0, now, now))
		require.False(t, r.isCold)
	})
	t.Run("start of a server", func(t *testing.T) {
		t.Parallel()
		r := newGuardRun(14)
		require.False(t, r.heartbeat(e, 0, now))
		require.True(t, r.heartbeat(next, 3*time.Second, now), "the next server starts cold")
		r.useServer(next, now)
		require.Equal(t, []any{14.0, true, 0}, []any{r.rate, r.isCold, r.checks})
		require.False(t, r.heartbeat(next, 0, now.Add(time.Second)))
		require.False(t, r.isCold)
	})
	t.Run("in mid-life", func(t *testing.T) {
		t.Parallel()
		r := newGuardRun(14)
		r.heartbeat(e, 0, now)
		for ms := range 1000 {
			if at := now.Add(time.Duration(ms) * time.Millisecond); ms%28 == 0 {
				require.NoError(t, r.send(at))
				r.observeRun("r", 100*time.Millisecond, at)
			}
		}
		now := now.Add(time.Second)
		require.True(t, r.needsCheck(now), "it gets more requests than a cold server tolerates")
		for range 3 {
			r.observeRun("r", 220*time.Millisecond, now)
		}
		require.Equal(t, 1, r.checks, "the loss of speed")
		require.True(t, r.response(e.Incarnation, 3*time.Second, now, now))
		var f *pollenlatch.Failure
		require.ErrorAs(t, r.send(now), &f)
		require.Equal(t, []any{pollenlatch.OutcomeNotRun, pollenlatch.ReasonOverloaded, 503}, []any{f.Outcome, f.Reason, f.Status})
		require.Positive(t, f.RetryAfter)
		require.NoError(t, r.send(now.Add(f.RetryAfter)))
	})
	t.Run("ends by itself", func(t *testing.T) {
		t.Parallel()
		r := newGuardRun(14)
		warm := make(chan struct{})
		r.setLimit = func(_ float64, cold bool, _ time.Time) {
			if !cold {
				close(warm)
			}
		}
		require.True(t, r.heartbeat(e, time.Millisecond, time.Now()))
		<-warm
	})
}
