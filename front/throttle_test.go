package front

import (
	"context"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// throttleSim plays requests from many instances, each with its own throttle, to one
// target that accepts as many a second as it can run.
type throttleSim struct {
	throttles []*throttle
	rng       *rand.Rand
	now       time.Time
}

// throttleResult counts the requests of one period.
type throttleResult struct{ offered, sent, accepted int }

func newThrottleSim(instances int) *throttleSim {
	s := &throttleSim{rng: rand.New(rand.NewPCG(1, 2)), now: time.Unix(1000, 0)}
	for range instances {
		s.throttles = append(s.throttles, &throttle{random: s.rng.Float64})
	}
	return s
}

func (s *throttleSim) play(d time.Duration, offered, capacity float64) (r throttleResult) {
	const (
		step  = 10 * time.Millisecond
		queue = 6 // requests that wait at the target, one for each of its slots
	)
	room := 0.0
	target := throttleTarget{instance: 1, service: "s", route: "r"}
	for range int(d / step) {
		s.now = s.now.Add(step)
		room = min(room+capacity*step.Seconds(), queue)
		for mean := offered * step.Seconds(); mean > 0; mean-- {
			if s.rng.Float64() >= mean {
				continue
			}
			r.offered++
			t := s.throttles[s.rng.IntN(len(s.throttles))]
			if ok, _ := t.admit(target, s.now); !ok {
				continue
			}
			r.sent++
			var f *pollenlatch.Failure
			if room < 1 {
				f = notRunFailure(pollenlatch.ReasonOverloaded, http.StatusServiceUnavailable, "overloaded")
			} else {
				room--
				r.accepted++
			}
			t.record(target, f, s.now)
		}
	}
	return r
}

// A busy key sends the owner ten times what it can run. If all instances pass all of
// it on, the requests fill the owner's network link, so that also those that it could
// run reach it after their deadline.
func TestBusyKeyDoesNotFillItsOwnersLink(t *testing.T) {
	s := newThrottleSim(85)
	before := s.play(10*time.Second, 20, 27)
	require.Equal(t, before.offered, before.sent, "requests are refused without overload")
	s.play(3*time.Second, 270, 27)
	busy := s.play(5*time.Second, 270, 27)
	require.Less(t, busy.sent, busy.offered/2, "the owner's link carries most requests in vain")
	require.Greater(t, float64(busy.accepted), 0.95*27*5, "the owner runs less than it could")
	s.play(4*time.Second, 20, 27)
	after := s.play(5*time.Second, 20, 27)
	require.Greater(t, float64(after.sent), 0.95*float64(after.offered), "requests are refused after the overload")
}

// Below an overload of throttleFactor a refusal at the entry would only waste what the
// target could run.
func TestModerateOverloadIsLeftToTheTarget(t *testing.T) {
	s := newThrottleSim(4)
	s.play(3*time.Second, 150, 100)
	r := s.play(10*time.Second, 150, 100)
	require.Greater(t, float64(r.accepted), 0.95*100*10)
	require.Greater(t, float64(r.sent), 0.97*float64(r.offered))
}

// A refusal at the entry must be true, and name a time to come back. Nested requests
// and the local server are exempt: the parent of a nested request holds a slot in
// vain, and the local server decides for itself.
func TestThrottledRequests(t *testing.T) {
	overloaded := notRunFailure(pollenlatch.ReasonOverloaded, http.StatusServiceUnavailable, "overloaded")
	overloaded.RetryAfter = 300 * time.Millisecond
	for _, tt := range []struct {
		name      string
		owner     pollenlatch.InstanceID
		nested    bool
		wantSends bool // all requests are sent
	}{
		{"owner elsewhere", 2, false, false},
		{"nested", 2, true, true},
		{"local server", 1, false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			const requests = 200
			sends := 0
			handler := pollenlatch.HandlerFunc(func(context.Context, *pollenlatch.Request) (*pollenlatch.Response, error) {
				sends++
				return nil, overloaded
			})
			rt := NewRouter(RouterConfig{Control: newFakeControl(tt.owner), Local: handler, Forwarder: &fakeForwarder{respond: func(_ int, r *pollenlatch.Request) (*pollenlatch.Response, error) { return handler(t.Context(), r) }}, Picker: &fakePicker{}})
			for range requests {
				r := &pollenlatch.Request{Deadline: time.Now().Add(time.Second)}
				r.Service, r.Route, r.Key, r.Nested, r.MaxAttempts = "listing", "r1", "7", tt.nested, 2
				_, err := rt.Handle(t.Context(), r)
				f := asFailure(err)
				require.Equal(t, pollenlatch.OutcomeNotRun, f.Outcome)
				require.Equal(t, pollenlatch.ReasonOverloaded, f.Reason)
				require.Positive(t, f.RetryAfter)
			}
			if tt.wantSends {
				require.Equal(t, requests, sends)
				return
			}
			require.Less(t, sends, requests/2)
		})
	}
}
