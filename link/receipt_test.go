package link

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// waitingHandler is a handler of requests that wait for a slot until they are given up, or
// that run until then.
type waitingHandler struct {
	runs    bool
	run     time.Duration // expected
	arrived chan struct{}
}

func (h waitingHandler) Handle(ctx context.Context, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
	outcome := pollenlatch.OutcomeNotRun
	pollenlatch.RevocableOf(ctx).ExpectRun(func() time.Duration { return h.run })
	if h.runs && pollenlatch.BeginRun(ctx) {
		outcome = pollenlatch.OutcomeUnknown
	}
	close(h.arrived)
	<-ctx.Done()
	return nil, &pollenlatch.Failure{Outcome: outcome, Reason: pollenlatch.ReasonCancelled, Status: 499, Sent: h.runs}
}

// revocablePair returns two nodes whose requests can be revoked.
func revocablePair(t *testing.T, h waitingHandler) (client, owner *Node, addr string) {
	t.Helper()
	adaptive := func(c *Config) { c.RequestHandler, c.Adaptive = h, func() bool { return true } }
	owner, addr = testNode(t, "b", adaptive)
	owner.receipts.coveredAt = time.Now().Add(-time.Hour)
	client, _ = testNode(t, "a", adaptive)
	return client, owner, addr
}

// Guards against 502 and 504 for requests that waited at the other daemon and reached no
// server, and against the claim that a request has not run that may have.
func TestRevokedRequestsHaveNotRun(t *testing.T) {
	for _, tt := range []struct {
		name   string
		runs   bool
		lost   bool
		want   pollenlatch.Outcome
		reason pollenlatch.Reason
		status int
	}{
		{"waits at its deadline", false, false, pollenlatch.OutcomeNotRun, pollenlatch.ReasonDeadlineExceeded, http.StatusServiceUnavailable},
		{"runs at its deadline", true, false, pollenlatch.OutcomeUnknown, pollenlatch.ReasonDeadlineExceeded, http.StatusGatewayTimeout},
		{"waits when the connection is lost", false, true, pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable, http.StatusServiceUnavailable},
		{"runs when the connection is lost", true, true, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, http.StatusBadGateway},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := waitingHandler{runs: tt.runs, arrived: make(chan struct{})}
			client, owner, addr := revocablePair(t, h)
			r := request(nil, 0)
			if !tt.lost {
				r.Deadline = time.Now().Add(700 * time.Millisecond)
			} else {
				go func() {
					<-h.arrived
					owner.mu.Lock()
					defer owner.mu.Unlock()
					for s := range owner.inbound {
						_ = s.mux.conn.Close()
					}
				}()
			}
			_, err := client.Forward(t.Context(), addr, r)
			requireFailure(t, err, tt.want, tt.reason)
			var f *pollenlatch.Failure
			require.ErrorAs(t, err, &f)
			require.Equal(t, tt.status, f.Status)
			if !tt.lost && !tt.runs {
				require.True(t, time.Now().Before(r.Deadline), "the truth must arrive before the deadline")
			}
		})
	}
}

// Guards against requests that wait at another daemon until the process that the caller is
// connected to ends: their connections were closed without a response.
func TestForwardedRequestsEndInTime(t *testing.T) {
	const left = 600 * time.Millisecond // until the response must be complete
	for _, tt := range []struct {
		name    string
		run     time.Duration // expected
		runs    bool
		atStart bool // the end is known when the request is sent
		want    pollenlatch.Outcome
		after   time.Duration
	}{
		{"waits", 0, false, false, pollenlatch.OutcomeNotRun, left},
		{"waits, sent during the stop", 0, false, true, pollenlatch.OutcomeNotRun, left},
		{"can't end in time", 400 * time.Millisecond, false, false, pollenlatch.OutcomeNotRun, left - 400*time.Millisecond},
		{"can't end in time, sent during the stop", 400 * time.Millisecond, false, true, pollenlatch.OutcomeNotRun, left - 400*time.Millisecond},
		{"runs", 0, true, false, pollenlatch.OutcomeUnknown, 2 * left},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			h := waitingHandler{runs: tt.runs, run: tt.run, arrived: make(chan struct{})}
			_, addr := testNode(t, "b", func(c *Config) { c.RequestHandler = h })
			client, _ := testNode(t, "a", nil)
			ctx, cancel := context.WithTimeout(t.Context(), 2*left)
			defer cancel()
			state := pollenlatch.NewRevocable(nil)
			start := time.Now()
			if tt.atStart {
				state.EndBy(start.Add(left))
			} else {
				go func() {
					<-h.arrived
					state.EndBy(start.Add(left))
				}()
			}
			r := request(nil, 0)
			r.Deadline = start.Add(8 * time.Second)
			_, err := client.Forward(pollenlatch.WithRevocable(ctx, state), addr, r)
			took := time.Since(start)
			var f *pollenlatch.Failure
			require.ErrorAs(t, err, &f)
			require.Equal(t, tt.want, f.Outcome, f.Detail)
			require.GreaterOrEqual(t, took, tt.after)
			require.Less(t, took, tt.after+revokeTimeout)
		})
	}
}

// A request that is not known may be revoked only if it can't have run and been forgotten.
func TestReceipts(t *testing.T) {
	start := time.Unix(1000, 0)
	t.Run("not arrived yet", func(t *testing.T) {
		table := newReceipts(start)
		now := start.Add(time.Minute)
		require.True(t, table.revoke(7, time.Second, now))
		_, ok := table.begin(7, nil)
		require.False(t, ok, "a revoked request must not run when it arrives")
	})
	t.Run("sent to an earlier process", func(t *testing.T) {
		table := newReceipts(start)
		require.False(t, table.revoke(7, time.Second, start.Add(1500*time.Millisecond)))
		require.True(t, table.revoke(7, time.Second, start.Add(2*time.Second)))
	})
	t.Run("begun", func(t *testing.T) {
		table := newReceipts(start)
		r, ok := table.begin(7, nil)
		require.True(t, ok)
		require.True(t, r.state.Begin())
		require.False(t, table.revoke(7, time.Millisecond, start.Add(time.Hour)))
		require.True(t, r.state.Begin(), "a new attempt to write the same request")
	})
	t.Run("ended", func(t *testing.T) {
		table := newReceipts(start)
		now := start.Add(time.Minute)
		ran, _ := table.begin(7, nil)
		table.end(ran, false, now)
		refused, _ := table.begin(8, nil)
		refused.state.Begin()
		table.end(refused, true, now)
		require.False(t, table.revoke(7, time.Millisecond, now))
		require.True(t, table.revoke(8, time.Millisecond, now), "the server has refused it")
	})
	t.Run("forgotten", func(t *testing.T) {
		table := newReceipts(start)
		now := start.Add(time.Minute)
		for n := range uint64(maxReceipts + 1) {
			r, _ := table.begin(n+1, nil)
			table.end(r, false, now)
		}
		require.Len(t, table.byNumber, maxReceipts)
		require.False(t, table.revoke(1, time.Second, now), "it has run")
		require.False(t, table.revoke(1, 3*time.Second, now.Add(3*time.Second)))
		require.False(t, table.revoke(1, 8*time.Second, now.Add(8*time.Second)))
	})
}

// Requests of deployments without the parts for overload have no receipt.
func TestNoReceiptByDefault(t *testing.T) {
	client, _, addr := pair(t, func(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
		require.Zero(t, r.Receipt)
		return echo(ctx, r)
	})
	resp, err := client.Forward(t.Context(), addr, request(nil, 0))
	require.NoError(t, err)
	require.NoError(t, resp.Body.Close())
}
