package serve

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/admit"
	"pollenlatch/dedup"
)

var shard = pollenlatch.Shard{Service: "claims", Range: 3}

func notRunFailure(reason pollenlatch.Reason, status int) error {
	return &pollenlatch.Failure{Outcome: pollenlatch.OutcomeNotRun, Reason: reason, Status: status}
}

// fakeView is a View with one service and one owner.
type fakeView struct {
	pollenlatch.View
	version pollenlatch.Version
	service pollenlatch.Service
	owner   pollenlatch.Owner
}

func (v fakeView) Version() pollenlatch.Version { return v.version }

func (v fakeView) Service(name string) (pollenlatch.Service, bool) {
	return v.service, name == v.service.Name
}

func (v fakeView) Owner(service, _ string) (pollenlatch.Owner, bool) {
	return v.owner, service == v.service.Name
}

func (v fakeView) ShardOwner(pollenlatch.Shard) (pollenlatch.Owner, bool) { return v.owner, true }

// fakeControl is the Control of instance 1.
type fakeControl struct {
	view       fakeView
	changed    chan struct{}
	servingErr error
	acquireErr error
	checkErr   error
	inFlight   atomic.Int64
}

func (c *fakeControl) Self() pollenlatch.InstanceID { return 1 }
func (c *fakeControl) View() pollenlatch.View       { return c.view }
func (c *fakeControl) Changed() <-chan struct{}     { return c.changed }
func (c *fakeControl) Serving() error               { return c.servingErr }

func (c *fakeControl) Acquire(pollenlatch.Shard, pollenlatch.Fence) (pollenlatch.Permit, error) {
	if c.acquireErr != nil {
		return nil, c.acquireErr
	}
	c.inFlight.Add(1)
	return fakePermit{c}, nil
}

type fakePermit struct{ c *fakeControl }

func (p fakePermit) Check() error { return p.c.checkErr }
func (p fakePermit) Release()     { p.c.inFlight.Add(-1) }

func (p fakePermit) ReleaseAfter(d time.Duration) {
	time.AfterFunc(d, p.Release)
}

// fakeExchanger responds with "claimed", or fails.
type fakeExchanger struct {
	err     error
	bodyErr error // read error after the body
	runs    int

	panics      bool
	beforeCheck func() // called before the check of the permit
}

func (x *fakeExchanger) Exchange(_ context.Context, r *pollenlatch.Request, check func() error) (*pollenlatch.Response, error) {
	if x.beforeCheck != nil {
		x.beforeCheck()
	}
	if err := check(); err != nil {
		return nil, err
	}
	x.runs++
	if x.panics {
		panic("panic in the exchange")
	}
	if r.Body != nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	if x.err != nil {
		return nil, x.err
	}
	var b io.Reader = strings.NewReader("claimed")
	if x.bodyErr != nil {
		b = io.MultiReader(b, errReader{x.bodyErr})
	}
	return &pollenlatch.Response{ResponseHead: pollenlatch.ResponseHead{Status: 200, Length: -1}, Body: io.NopCloser(b)}, nil
}

type errReader struct{ err error }

func (r errReader) Read([]byte) (int, error) { return 0, r.err }

// harness is a Server with the parts that it is connected to.
type harness struct {
	control   *fakeControl
	admitter  *admit.PriorityAdmitter
	exchanger *fakeExchanger
	records   *dedup.Store
	endpoint  pollenlatch.Endpoint
	probes    int
	server    *Server
}

func newHarness() *harness {
	h := &harness{
		control: &fakeControl{view: fakeView{
			version: 30,
			service: pollenlatch.Service{Name: "claims", Keyed: true, RangeBits: 4, MaxRun: maxRun},
			owner:   pollenlatch.Owner{Shard: shard, Instance: 1, Fence: 20},
		}, changed: make(chan struct{})},
		admitter:  admit.NewPriorityAdmitter(admit.Config{}),
		exchanger: &fakeExchanger{},
		records:   dedup.New(dedup.Config{}),
		endpoint:  pollenlatch.Endpoint{Service: "claims", Ready: true},
	}
	h.admitter.SetSlots(1)
	h.server = New(Config{
		Control: h.control, Admitter: h.admitter, Exchanger: h.exchanger, Records: h.records, FrontAddr: "10.0.0.1:80",
		Endpoint: func() (pollenlatch.Endpoint, bool) { return h.endpoint, true },
		Probe:    func() { h.probes++ },
	})
	return h
}

func newRequest() *pollenlatch.Request {
	return &pollenlatch.Request{
		RequestHead: pollenlatch.RequestHead{
			Service: "claims", Key: "lot-1", Caller: "mender", Method: "POST", URI: "/", Length: 3,
			IdempotencyKey: "a", Attempt: 1, Version: 30, Shard: shard, Fence: 20,
		},
		Deadline: time.Now().Add(time.Second),
		Body:     strings.NewReader("abc"),
	}
}

func (h *harness) call(r *pollenlatch.Request) (string, error) {
	resp, err := h.server.Handle(context.Background(), r)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), errors.Join(err, resp.Body.Close())
}

func (h *harness) requireIdle(t *testing.T) {
	t.Helper()
	running, waiting := h.admitter.Load()
	require.Equal(t, []int64{0, 0, 0}, []int64{int64(running), int64(waiting), h.control.inFlight.Load()},
		"running, waiting and in-flight requests after the end")
}

// requireInFlightUntilDeadline checks that a request that the server may still run
// frees its slot at once but blocks a hand-over until its deadline.
func (h *harness) requireInFlightUntilDeadline(t *testing.T) {
	t.Helper()
	running, _ := h.admitter.Load()
	require.Equal(t, []int64{0, 1}, []int64{int64(running), h.control.inFlight.Load()}, "running and in-flight requests")
	<-time.After(maxRun)
	synctest.Wait()
	h.requireIdle(t)
}

const maxRun = time.Second

// A wrong outcome makes a caller retry a request that ran, or give up one that did
// not. A request that stays in flight blocks hand-overs or occupies a slot forever.
// The cases are the rows of the outcome table for the daemon that owns the shard.
func TestOutcomes(t *testing.T) {
	unknown := &pollenlatch.Failure{Outcome: pollenlatch.OutcomeUnknown, Reason: pollenlatch.ReasonConnectionLost, Status: 502}
	for _, c := range []struct {
		name    string
		change  func(h *harness, r *pollenlatch.Request)
		outcome pollenlatch.Outcome
		reason  pollenlatch.Reason
		status  int
	}{
		{"no lease", func(h *harness, _ *pollenlatch.Request) {
			h.control.servingErr = notRunFailure(pollenlatch.ReasonNoLease, 503)
		}, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoLease, 503},
		{"no service", func(_ *harness, r *pollenlatch.Request) { r.Service = "depot" }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoService, 404},
		{"not routed by shard", func(_ *harness, r *pollenlatch.Request) { r.Shard = pollenlatch.Shard{} }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonBadRequest, 400},
		{"another owner", func(h *harness, _ *pollenlatch.Request) { h.control.view.owner.Instance = 2 }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonWrongOwner, 503},
		{"another fence", func(_ *harness, r *pollenlatch.Request) { r.Fence = 19 }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonWrongOwner, 503},
		{"key is a shard of its own", func(h *harness, _ *pollenlatch.Request) { h.control.view.owner.Key = "lot-1" }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonWrongOwner, 503},
		{"routed by a newer state", func(_ *harness, r *pollenlatch.Request) { r.Version, r.Fence = 31, 31 }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonVersionMismatch, 503},
		{"server of another service", func(h *harness, _ *pollenlatch.Request) { h.endpoint.Service = "depot" }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoEndpoint, 503},
		{"server not ready", func(h *harness, _ *pollenlatch.Request) { h.endpoint.Ready = false }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoEndpoint, 503},
		{"data centre evacuated, time over", func(h *harness, _ *pollenlatch.Request) {
			h.server.cfg.Evacuated = func(bool) bool { return true }
		}, pollenlatch.OutcomeNotRun, pollenlatch.ReasonEvacuated, 503},
		{"time of an evacuation passes in the queue", func(h *harness, _ *pollenlatch.Request) {
			h.exchanger.beforeCheck = func() { h.server.cfg.Evacuated = func(bool) bool { return true } }
		}, pollenlatch.OutcomeNotRun, pollenlatch.ReasonEvacuated, 503},
		{"no server", func(h *harness, _ *pollenlatch.Request) { h.admitter.SetSlots(0) }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoEndpoint, 503},
		{"deadline passes in the queue", func(h *harness, _ *pollenlatch.Request) {
			release, _ := h.admitter.Admit(context.Background(), pollenlatch.AdmitRequest{})
			time.AfterFunc(2*time.Second, release)
		}, pollenlatch.OutcomeNotRun, pollenlatch.ReasonDeadlineExceeded, 504},
		{"hand-over in progress", func(h *harness, _ *pollenlatch.Request) {
			h.control.acquireErr = notRunFailure(pollenlatch.ReasonNoOwner, 503)
		}, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoOwner, 503},
		{"permit check fails", func(h *harness, _ *pollenlatch.Request) {
			h.control.checkErr = notRunFailure(pollenlatch.ReasonNoLease, 503)
		}, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoLease, 503},
		{"fence refused", func(h *harness, _ *pollenlatch.Request) {
			h.exchanger.err = notRunFailure(pollenlatch.ReasonServerRefused, 503)
		}, pollenlatch.OutcomeNotRun, pollenlatch.ReasonServerRefused, 503},
		{"connection lost", func(h *harness, _ *pollenlatch.Request) { h.exchanger.err = unknown }, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502},
		{"exchange returns no Failure", func(h *harness, _ *pollenlatch.Request) { h.exchanger.err = errors.New("x") }, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502},
		{"response truncated", func(h *harness, _ *pollenlatch.Request) { h.exchanger.bodyErr = unknown }, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502},
		{"retry on a range without records", func(h *harness, r *pollenlatch.Request) {
			h.control.view.owner.NoRecords = true
			r.Attempt = 2
		}, pollenlatch.OutcomeUnknown, pollenlatch.ReasonUnknownRetry, 409},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness()
				r := newRequest()
				c.change(h, r)
				_, err := h.call(r)
				var f *pollenlatch.Failure
				require.ErrorAs(t, err, &f)
				require.Equal(t, []any{c.outcome, c.reason, c.status}, []any{f.Outcome, f.Reason, f.Status}, f.Detail)
				if c.reason == pollenlatch.ReasonConnectionLost {
					h.requireInFlightUntilDeadline(t)
				}
				<-time.After(2 * time.Second)
				h.requireIdle(t)
				records, _ := h.records.Size()
				if c.outcome == pollenlatch.OutcomeNotRun {
					require.Zero(t, records, "the record of a request that did not run was kept")
				} else if c.reason == pollenlatch.ReasonConnectionLost {
					require.Equal(t, 1, h.probes+boolInt(h.exchanger.bodyErr != nil))
					_, err = h.call(newRequest())
					require.ErrorAs(t, err, &f)
					require.Equal(t, pollenlatch.ReasonUnknownRetry, f.Reason, "the retry ran")
					require.Equal(t, 1, h.exchanger.runs)
				}
			})
		})
	}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// A hand-over must wait for a request until its response has been read, and a
// retry must get the same response.
func TestResponse(t *testing.T) {
	h := newHarness()
	resp, err := h.server.Handle(t.Context(), newRequest())
	require.NoError(t, err)
	require.Equal(t, "10.0.0.1:80", resp.OwnerAddr)
	require.EqualValues(t, 1, h.control.inFlight.Load())
	got, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "claimed", string(got))
	h.requireIdle(t)
	require.NoError(t, resp.Body.Close())
	h.requireIdle(t)

	h.endpoint.Ready = false // the response comes from the record
	again, err := h.call(newRequest())
	require.NoError(t, err)
	require.Equal(t, "claimed", again)
	require.Equal(t, 1, h.exchanger.runs)
}

// A panic in an exchange must not leak a slot, and the request may have run.
func TestExchangePanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.exchanger.panics = true
		require.Panics(t, func() { _, _ = h.call(newRequest()) })
		h.requireInFlightUntilDeadline(t)
		h.exchanger.panics = false
		_, err := h.call(newRequest())
		var f *pollenlatch.Failure
		require.ErrorAs(t, err, &f)
		require.Equal(t, pollenlatch.ReasonUnknownRetry, f.Reason)
	})
}

// A body that is closed unread must release the slot.
func TestBodyClosedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		resp, err := h.server.Handle(t.Context(), newRequest())
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		h.requireInFlightUntilDeadline(t)
	})
}

// An idempotent request needs no record, because it may run more than once.
func TestIdempotentRequest(t *testing.T) {
	h := newHarness()
	for range 2 {
		r := newRequest()
		r.Idempotent = true
		_, err := h.call(r)
		require.NoError(t, err)
	}
	require.Equal(t, 2, h.exchanger.runs)
	records, _ := h.records.Size()
	require.Zero(t, records)
}

// A request that was routed by an older version of the state must run if its shard
// and fence still match; one that was routed by a newer version must wait until
// that version arrives.
func TestVersionMismatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		r := newRequest()
		r.Version = 3
		_, err := h.call(r)
		require.NoError(t, err)

		h = newHarness()
		r = newRequest()
		r.Version, r.Fence = 31, 31
		done := make(chan error, 1)
		go func() {
			_, err := h.call(r)
			done <- err
		}()
		synctest.Wait()
		require.Empty(t, done)
		h.control.view.version, h.control.view.owner.Fence = 31, 31
		close(h.control.changed)
		require.NoError(t, <-done)
	})
}

// New requests without a shard delay the end of a draining server. Requests with
// a shard have no other server until their range has moved.
func TestDraining(t *testing.T) {
	h := newHarness()
	h.endpoint.Draining = true
	_, err := h.call(newRequest())
	require.NoError(t, err)
	h.control.view.service.Keyed = false
	r := newRequest()
	r.Shard, r.IdempotencyKey = pollenlatch.Shard{}, ""
	_, err = h.call(r)
	var f *pollenlatch.Failure
	require.ErrorAs(t, err, &f)
	require.Equal(t, pollenlatch.ReasonDraining, f.Reason)
	h.endpoint.Draining = false
	_, err = h.call(r)
	require.NoError(t, err)
	r.IdempotencyKey = "b"
	_, err = h.call(r)
	require.ErrorAs(t, err, &f)
	require.Equal(t, pollenlatch.ReasonBadRequest, f.Reason, "a record without a shard cannot be found by a retry")
}

// Load is distributed wrongly if a lost server is not suspect, or if a working
// server is suspect because of its callers' failures.
func TestObserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		send := func(n int, err error) {
			h.exchanger.err = err
			for range n {
				r := newRequest()
				r.Idempotent = true
				_, _ = h.call(r)
			}
		}
		fail := func(o pollenlatch.Outcome, reason pollenlatch.Reason) error {
			return &pollenlatch.Failure{Outcome: o, Reason: reason}
		}
		send(4, fail(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost))
		<-time.After(2 * time.Second)
		require.Equal(t, Observation{Rate: 2}, h.server.Observe(), "fewer than suspectMinExchanges")
		send(6, nil)
		send(6, fail(pollenlatch.OutcomeUnknown, pollenlatch.ReasonDeadlineExceeded))
		require.True(t, h.server.Observe().Suspect)
		require.Equal(t, 10, h.probes)
		send(6, nil)
		send(20, fail(pollenlatch.OutcomeNotRun, pollenlatch.ReasonServerRefused))
		send(20, fail(pollenlatch.OutcomeUnknown, pollenlatch.ReasonCancelled))
		require.False(t, h.server.Observe().Suspect)
		require.Equal(t, 10, h.probes)
	})
}

// BenchmarkHandle measures the pipeline without the exchange with a server.
func BenchmarkHandle(b *testing.B) {
	for _, name := range []string{"safe", "recorded"} {
		b.Run(name, func(b *testing.B) {
			h := newHarness()
			h.admitter.SetSlots(1000)
			h.records = dedup.New(dedup.Config{MaxRecords: 1 << 30})
			h.server.cfg.Records = h.records
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				r := newRequest()
				r.Idempotent = name == "safe"
				r.IdempotencyKey = strconv.Itoa(n)
				if _, err := h.call(r); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
		})
	}
}

// A ticket that raises maxrun while a request waits lets the server run it for
// longer. If the permit were released after the former maxrun, the next owner could
// act at the same time.
func TestRaisedMaxRunDelaysRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness()
		h.exchanger.beforeCheck = func() { h.control.view.service.MaxRun = 5 * maxRun }
		h.exchanger.err = &pollenlatch.Failure{Outcome: pollenlatch.OutcomeUnknown, Reason: pollenlatch.ReasonConnectionLost, Status: 502}
		_, err := h.call(newRequest())
		require.Error(t, err)
		<-time.After(5*maxRun - 1)
		synctest.Wait()
		require.EqualValues(t, 1, h.control.inFlight.Load(), "released while the server may still run the request")
		<-time.After(1)
		synctest.Wait()
		h.requireIdle(t)
	})
}

// departure is the presence of a caller that leaves when a test says so.
type departure struct{ left atomic.Bool }

func (d *departure) Left() bool { return d.left.Load() }

// Guards against requests that reach the server although their callers have disconnected
// while they waited for a slot.
func TestCallerIsCheckedBeforeSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, caller := newHarness(), new(departure)
		release, err := h.admitter.Admit(t.Context(), pollenlatch.AdmitRequest{})
		require.NoError(t, err)
		time.AfterFunc(100*time.Millisecond, func() {
			caller.left.Store(true)
			release()
		})
		_, err = h.server.Handle(pollenlatch.WithPresence(t.Context(), caller), newRequest())
		var f *pollenlatch.Failure
		require.ErrorAs(t, err, &f)
		require.Equal(t, []any{pollenlatch.OutcomeNotRun, pollenlatch.ReasonCancelled}, []any{f.Outcome, f.Reason})
		require.Zero(t, h.exchanger.runs)
		h.requireIdle(t)
	})
}

// In the time that an evacuation leaves, requests by key run, since their keys have no
// other owner yet. Others must not, since any other server can run them.
func TestEvacuatedServer(t *testing.T) {
	h := newHarness()
	h.server.cfg.Evacuated = func(sharded bool) bool { return !sharded }
	_, err := h.call(newRequest())
	require.NoError(t, err)
	h.control.view.service.Keyed = false
	r := newRequest()
	r.Shard, r.IdempotencyKey = pollenlatch.Shard{}, ""
	_, err = h.call(r)
	var f *pollenlatch.Failure
	require.ErrorAs(t, err, &f)
	require.Equal(t, pollenlatch.ReasonEvacuated, f.Reason)
	require.Positive(t, f.RetryAfter)
	require.Equal(t, 1, h.exchanger.runs)
}
