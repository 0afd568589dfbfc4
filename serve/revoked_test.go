package serve

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// Guards against requests that go on waiting, or reach the server, after a stopping process
// has given them up.
func TestRevokedRequestsStopWaiting(t *testing.T) {
	const end = 150 * time.Millisecond
	notRun := pollenlatch.OutcomeNotRun
	for _, tt := range []struct {
		name   string
		want   pollenlatch.Outcome
		change func(t *testing.T, h *harness, r *pollenlatch.Request)
	}{
		{"for a newer state", notRun, func(_ *testing.T, _ *harness, r *pollenlatch.Request) {
			r.Version, r.Shard.Range = 31, 4
		}},
		{"for an earlier attempt with the same key", pollenlatch.OutcomeUnknown, func(t *testing.T, h *harness, r *pollenlatch.Request) {
			t.Helper()
			first := newRequest()
			first.Deadline = r.Deadline
			h.exchanger.beforeCheck = func() { <-t.Context().Done() }
			go func() { _, _ = h.server.Handle(t.Context(), first) }()
			synctest.Wait()
			r.Attempt = 2
		}},
		{"for a grant", notRun, func(_ *testing.T, h *harness, _ *pollenlatch.Request) {
			h.control.view.service.Heartbeats = true
			h.server.cfg.Grants = &fakeGrants{nextHeartbeat: time.Second}
		}},
		{"for a slot", notRun, func(t *testing.T, h *harness, _ *pollenlatch.Request) {
			t.Helper()
			_, err := h.admitter.Admit(t.Context(), pollenlatch.AdmitRequest{})
			require.NoError(t, err)
		}},
		{"for a body", notRun, func(t *testing.T, _ *harness, r *pollenlatch.Request) {
			t.Helper()
			upload, body := newUpload(t, 60_000, 30_000)
			t.Cleanup(func() { close(body.ended) })
			r.LargeBody, r.Body, r.Length = true, upload.Body, upload.Length
		}},
		{"for a connection to the server", notRun, func(_ *testing.T, h *harness, _ *pollenlatch.Request) {
			h.exchanger.beforeCheck = func() { time.Sleep(end + time.Millisecond) }
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				r := newRequest()
				r.Deadline = time.Now().Add(8 * time.Second)
				tt.change(t, h, r)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				state := pollenlatch.NewRevocable(cancel)
				start := time.Now()
				state.EndBy(start.Add(end))
				_, err := h.server.Handle(pollenlatch.WithRevocable(ctx, state), r)
				var f *pollenlatch.Failure
				require.ErrorAs(t, err, &f)
				require.Equal(t, tt.want, f.Outcome, f.Detail)
				require.GreaterOrEqual(t, time.Since(start), end)
				require.Less(t, time.Since(start), end+10*time.Millisecond)
				require.Zero(t, h.exchanger.runs)
			})
		})
	}
}

// A request is not begun when its route runs for longer than the time that is left, and
// the latency objective stands for a run time that is not known.
func TestRequestsThatCannotEndInTimeAreNotBegun(t *testing.T) {
	for _, tt := range []struct {
		name      string
		run       time.Duration // of the route; 0 is unknown
		objective time.Duration // 0 is none
		left      time.Duration
		wantRun   bool
	}{
		{"short", 100 * time.Millisecond, 0, 200 * time.Millisecond, true},
		{"long", 300 * time.Millisecond, 0, 200 * time.Millisecond, false},
		{"objective is shorter than the run", 300 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, false},
		{"unknown", 0, 300 * time.Millisecond, 200 * time.Millisecond, false},
		{"unknown, without an objective", 0, 0, 200 * time.Millisecond, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness()
			h.server.cfg.ExpectedRun = func(*pollenlatch.Request) time.Duration { return tt.run }
			r := newRequest()
			if tt.objective > 0 {
				r.SoftDeadline = time.Now().Add(tt.objective)
			}
			state := pollenlatch.NewRevocable(nil)
			state.EndBy(time.Now().Add(tt.left))
			_, err := h.server.Handle(pollenlatch.WithRevocable(t.Context(), state), r)
			require.Equal(t, tt.wantRun, err == nil)
			require.Equal(t, tt.wantRun, h.exchanger.runs == 1)
		})
	}
}
