package serve

import (
	"bytes"
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/admit"
	"pollenlatch/intake"
)

// senderBody is a body whose sender sends what is requested, and then stops.
type senderBody struct {
	data      []byte
	sent      int // bytes that the sender sends at most; fewer than the data when it stops
	requested int
	read      int
	err       error         // once sent bytes have been read; nil waits for ended
	ended     chan struct{} // ends a read that waits
}

func (b *senderBody) Request(n int) error { b.requested += n; return nil }

func (b *senderBody) Read(p []byte) (int, error) {
	n := copy(p, b.data[b.read:min(b.requested, b.sent)])
	b.read += n
	switch {
	case n > 0:
		return n, nil
	case b.err != nil:
		return 0, b.err
	case b.read == len(b.data):
		return 0, io.EOF
	default:
		<-b.ended
		return 0, errHandled
	}
}

var errHandled = errors.New("test has ended")

func newUpload(t *testing.T, size, sent int) (*pollenlatch.Request, *senderBody) {
	t.Helper()
	body := &senderBody{data: bytes.Repeat([]byte("x"), size), sent: sent, ended: make(chan struct{})}
	r := newRequest()
	r.LargeBody, r.Body, r.Length = true, body, int64(size)
	r.Deadline = time.Now().Add(8 * time.Second)
	return r, body
}

// Guards against bodies that are requested before their requests have a slot, and
// against requests that reach the server although their bodies do not arrive.
func TestLargeBody(t *testing.T) {
	for _, c := range []struct {
		name       string
		size, sent int
		change     func(h *harness, r *pollenlatch.Request, b *senderBody)
		reason     pollenlatch.Reason // empty: the server runs it
		after      time.Duration
		requested  bool
	}{
		{"received", 360_000, 360_000, nil, "", 0, true},
		{"longer than what is kept in memory", 2 << 20, 2 << 20, nil, "", 0, true},
		{"refused", 60_000, 60_000, func(h *harness, _ *pollenlatch.Request, _ *senderBody) { h.admitter.SetSlots(0) }, pollenlatch.ReasonNoEndpoint, 0, false},
		{"deadline passes while it waits for a slot", 60_000, 60_000, func(h *harness, r *pollenlatch.Request, _ *senderBody) {
			_, _ = h.admitter.Admit(context.Background(), pollenlatch.AdmitRequest{})
			r.Deadline = time.Now().Add(time.Second)
		}, pollenlatch.ReasonDeadlineExceeded, time.Second, false},
		{"sender stops", 60_000, 30_000, nil, pollenlatch.ReasonDeadlineExceeded, bodyStallTime, true},
		{"sender fails", 60_000, 30_000, func(_ *harness, _ *pollenlatch.Request, b *senderBody) { b.err = io.ErrUnexpectedEOF }, pollenlatch.ReasonBadRequest, 0, true},
		{"body is too short", 60_000, 30_000, func(_ *harness, _ *pollenlatch.Request, b *senderBody) { b.err = io.EOF }, pollenlatch.ReasonBadRequest, 0, true},
		{"deadline passes during the body", 60_000, 30_000, func(_ *harness, r *pollenlatch.Request, _ *senderBody) {
			r.Deadline = time.Now().Add(time.Second)
		}, pollenlatch.ReasonDeadlineExceeded, time.Second - bodyDeadlineMargin, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				h.server.cfg.Intake = intake.NewLink(1 << 20)
				r, body := newUpload(t, c.size, c.sent)
				defer close(body.ended)
				if c.change != nil {
					c.change(h, r, body)
				}
				start := time.Now()
				_, err := h.call(r)
				synctest.Wait()
				require.Equal(t, c.requested, body.requested > 0)
				if c.reason == "" {
					require.NoError(t, err)
					require.Equal(t, c.size, body.requested)
					require.Equal(t, 1, h.exchanger.runs)
					h.requireIdle(t)
					return
				}
				require.Equal(t, c.after, time.Since(start))
				var f *pollenlatch.Failure
				require.ErrorAs(t, err, &f)
				require.Equal(t, []any{pollenlatch.OutcomeNotRun, c.reason}, []any{f.Outcome, f.Reason}, f.Detail)
				require.Zero(t, h.exchanger.runs)
				records, _ := h.records.Size()
				require.Zero(t, records)
			})
		})
	}
}

// Guards against bodies that are not received at the rate of the link, or that keep the
// link after they have failed. The caller of the second upload leaves.
func TestLargeBodiesShareLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size, rate = 100_000, 1 << 20
		h := newHarness()
		scheduler, link := admit.NewScheduler(), intake.NewLink(rate)
		link.OnFree(scheduler.StartWaiting)
		scheduler.SetSlots(9)
		h.server.cfg.Admitter, h.server.cfg.Intake = scheduler, link
		start := time.Now()
		done := make(chan error, 10)
		for n := range cap(done) {
			r, body := newUpload(t, size, size)
			r.IdempotencyKey = string(rune('a' + n))
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if n == 1 {
				time.AfterFunc(50*time.Millisecond, cancel)
			}
			go func() {
				defer close(body.ended)
				_, err := h.server.Handle(ctx, r)
				done <- err
			}()
		}
		failed := 0
		for range cap(done) {
			if <-done != nil {
				failed++
			}
		}
		require.LessOrEqual(t, failed, 1)
		require.InDelta(t, 10*size/(rate*0.85), time.Since(start).Seconds(), 0.2)
		waiting, moving, _ := link.Load()
		require.Zero(t, waiting+moving)
	})
}
