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

func notRun(why pollenlatch.Reason, status int) error {
	return &pollenlatch.Failure{Outcome: pollenlatch.OutcomeNotRun, Reason: why, Status: status}
}

// state is a View with one service and one owner.
type state struct {
	pollenlatch.View
	version pollenlatch.Version
	service pollenlatch.Service
	owner   pollenlatch.Owner
}

func (s state) Version() pollenlatch.Version { return s.version }

func (s state) Service(name string) (pollenlatch.Service, bool) {
	return s.service, name == s.service.Name
}

func (s state) Owner(service, _ string) (pollenlatch.Owner, bool) {
	return s.owner, service == s.service.Name
}

// control is a Control that this instance, number 1, serves with.
type control struct {
	state    state
	changed  chan struct{}
	serving  error
	enter    error
	check    error
	inFlight atomic.Int64
}

func (c *control) Self() pollenlatch.InstanceID { return 1 }
func (c *control) View() pollenlatch.View       { return c.state }
func (c *control) Changed() <-chan struct{}     { return c.changed }
func (c *control) Serving() error               { return c.serving }

func (c *control) Acquire(pollenlatch.Shard, pollenlatch.Fence) (pollenlatch.Permit, error) {
	if c.enter != nil {
		return nil, c.enter
	}
	c.inFlight.Add(1)
	return pass{c}, nil
}

type pass struct{ c *control }

func (p pass) Check() error { return p.c.check }
func (p pass) Release()     { p.c.inFlight.Add(-1) }

func (p pass) ReleaseAfter(d time.Duration) {
	time.AfterFunc(d, p.Release)
}

// exchanger answers "claimed", or fails.
type exchanger struct {
	err  error
	cut  error // after the body
	runs int

	panics bool
	before func() // of the check
}

func (x *exchanger) Exchange(_ context.Context, r *pollenlatch.Request, check func() error) (*pollenlatch.Response, error) {
	if x.before != nil {
		x.before()
	}
	if err := check(); err != nil {
		return nil, err
	}
	x.runs++
	if x.panics {
		panic("fault in the exchange")
	}
	if r.Body != nil {
		_, _ = io.Copy(io.Discard, r.Body)
	}
	if x.err != nil {
		return nil, x.err
	}
	var b io.Reader = strings.NewReader("claimed")
	if x.cut != nil {
		b = io.MultiReader(b, failing{x.cut})
	}
	return &pollenlatch.Response{ResponseHead: pollenlatch.ResponseHead{Status: 200, Length: -1}, Body: io.NopCloser(b)}, nil
}

type failing struct{ err error }

func (f failing) Read([]byte) (int, error) { return 0, f.err }

// bench is the pipeline with its parts.
type bench struct {
	control  *control
	gate     *admit.Gate
	exchange *exchanger
	records  *dedup.Store
	endpoint pollenlatch.Endpoint
	suspects int
	server   *Server
}

func newBench() *bench {
	b := &bench{
		control: &control{state: state{
			version: 30,
			service: pollenlatch.Service{Name: "claims", Keyed: true, RangeBits: 4, MaxRun: maxRun},
			owner:   pollenlatch.Owner{Shard: shard, Instance: 1, Fence: 20},
		}, changed: make(chan struct{})},
		gate:     admit.New(admit.Config{}),
		exchange: &exchanger{},
		records:  dedup.New(dedup.Config{}),
		endpoint: pollenlatch.Endpoint{Service: "claims", Ready: true},
	}
	b.gate.SetSlots(1)
	b.server = New(Config{
		Control: b.control, Admitter: b.gate, Exchanger: b.exchange, Records: b.records, FrontAddr: "10.0.0.1:80",
		Endpoint: func() (pollenlatch.Endpoint, bool) { return b.endpoint, true },
		Probe:    func() { b.suspects++ },
	})
	return b
}

func request() *pollenlatch.Request {
	return &pollenlatch.Request{
		RequestHead: pollenlatch.RequestHead{
			Service: "claims", Key: "lot-1", Caller: "mender", Method: "POST", URI: "/", Length: 3,
			IdempotencyKey: "a", Attempt: 1, Version: 30, Shard: shard, Fence: 20,
		},
		Deadline: time.Now().Add(time.Second),
		Body:     strings.NewReader("abc"),
	}
}

func (b *bench) call(r *pollenlatch.Request) (string, error) {
	resp, err := b.server.Handle(context.Background(), r)
	if err != nil {
		return "", err
	}
	body, err := io.ReadAll(resp.Body)
	return string(body), errors.Join(err, resp.Body.Close())
}

func (b *bench) requireNothingCounted(t *testing.T) {
	t.Helper()
	running, waiting := b.gate.Load()
	require.Equal(t, []int64{0, 0, 0}, []int64{int64(running), int64(waiting), b.control.inFlight.Load()},
		"running, waiting and in flight after the end")
}

// requireCountedUntilDeadline checks that a request that the server may still
// run frees its slot but holds up a hand-over until its deadline.
func (b *bench) requireCountedUntilDeadline(t *testing.T) {
	t.Helper()
	running, _ := b.gate.Load()
	require.Equal(t, []int64{0, 1}, []int64{int64(running), b.control.inFlight.Load()}, "running and in flight")
	<-time.After(maxRun)
	synctest.Wait()
	b.requireNothingCounted(t)
}

const maxRun = time.Second

// A wrong outcome makes a caller repeat what ran or give up what did not, and
// a request that stays counted holds up hand-overs or takes a slot for good.
// These are the rows of the outcome table for the owner's daemon.
func TestOutcomes(t *testing.T) {
	unknown := &pollenlatch.Failure{Outcome: pollenlatch.OutcomeUnknown, Reason: pollenlatch.ReasonConnectionLost, Status: 502}
	for _, c := range []struct {
		name    string
		change  func(b *bench, r *pollenlatch.Request)
		outcome pollenlatch.Outcome
		why     pollenlatch.Reason
		status  int
	}{
		{"no lease", func(b *bench, _ *pollenlatch.Request) { b.control.serving = notRun(pollenlatch.ReasonNoLease, 503) }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoLease, 503},
		{"no service", func(_ *bench, r *pollenlatch.Request) { r.Service = "depot" }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoService, 404},
		{"no owner's shard", func(_ *bench, r *pollenlatch.Request) { r.Shard = pollenlatch.Shard{} }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonBadRequest, 400},
		{"other owner", func(b *bench, _ *pollenlatch.Request) { b.control.state.owner.Instance = 2 }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonWrongOwner, 503},
		{"other fence", func(_ *bench, r *pollenlatch.Request) { r.Fence = 19 }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonWrongOwner, 503},
		{"key has a record of its own", func(b *bench, _ *pollenlatch.Request) { b.control.state.owner.Key = "lot-1" }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonWrongOwner, 503},
		{"newer state of the sender", func(_ *bench, r *pollenlatch.Request) { r.Version, r.Fence = 31, 31 }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonVersionMismatch, 503},
		{"server of another service", func(b *bench, _ *pollenlatch.Request) { b.endpoint.Service = "depot" }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoEndpoint, 503},
		{"server not ready", func(b *bench, _ *pollenlatch.Request) { b.endpoint.Ready = false }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoEndpoint, 503},
		{"no server", func(b *bench, _ *pollenlatch.Request) { b.gate.SetSlots(0) }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoEndpoint, 503},
		{"deadline passes in the queue", func(b *bench, _ *pollenlatch.Request) {
			release, _ := b.gate.Admit(context.Background(), pollenlatch.AdmitRequest{})
			time.AfterFunc(2*time.Second, release)
		}, pollenlatch.OutcomeNotRun, pollenlatch.ReasonDeadlineExceeded, 504},
		{"moving", func(b *bench, _ *pollenlatch.Request) { b.control.enter = notRun(pollenlatch.ReasonNoOwner, 503) }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoOwner, 503},
		{"check fails", func(b *bench, _ *pollenlatch.Request) { b.control.check = notRun(pollenlatch.ReasonNoLease, 503) }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonNoLease, 503},
		{"fence refused", func(b *bench, _ *pollenlatch.Request) { b.exchange.err = notRun(pollenlatch.ReasonServerRefused, 503) }, pollenlatch.OutcomeNotRun, pollenlatch.ReasonServerRefused, 503},
		{"connection lost", func(b *bench, _ *pollenlatch.Request) { b.exchange.err = unknown }, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502},
		{"exchange breaks its promise", func(b *bench, _ *pollenlatch.Request) { b.exchange.err = errors.New("x") }, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502},
		{"answer cut", func(b *bench, _ *pollenlatch.Request) { b.exchange.cut = unknown }, pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502},
		{"repeat on a range without records", func(b *bench, r *pollenlatch.Request) {
			b.control.state.owner.NoRecords = true
			r.Attempt = 2
		}, pollenlatch.OutcomeUnknown, pollenlatch.ReasonUnknownRetry, 409},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				b := newBench()
				r := request()
				c.change(b, r)
				_, err := b.call(r)
				var f *pollenlatch.Failure
				require.ErrorAs(t, err, &f)
				require.Equal(t, []any{c.outcome, c.why, c.status}, []any{f.Outcome, f.Reason, f.Status}, f.Detail)
				if c.why == pollenlatch.ReasonConnectionLost {
					b.requireCountedUntilDeadline(t)
				}
				<-time.After(2 * time.Second)
				b.requireNothingCounted(t)
				records, _ := b.records.Size()
				if c.outcome == pollenlatch.OutcomeNotRun {
					require.Zero(t, records, "a record of a request that did not run")
				} else if c.why == pollenlatch.ReasonConnectionLost {
					require.Equal(t, 1, b.suspects+boolInt(b.exchange.cut != nil))
					_, err = b.call(request())
					require.ErrorAs(t, err, &f)
					require.Equal(t, pollenlatch.ReasonUnknownRetry, f.Reason, "the repeat ran")
					require.Equal(t, 1, b.exchange.runs)
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

// A request ends too early for a hand-over when it is not counted while its
// answer is read, and its repeat must get the same answer.
func TestAnswer(t *testing.T) {
	b := newBench()
	resp, err := b.server.Handle(t.Context(), request())
	require.NoError(t, err)
	require.Equal(t, "10.0.0.1:80", resp.OwnerAddr)
	require.EqualValues(t, 1, b.control.inFlight.Load())
	got, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	require.Equal(t, "claimed", string(got))
	b.requireNothingCounted(t)
	require.NoError(t, resp.Body.Close())
	b.requireNothingCounted(t)

	b.endpoint.Ready = false // the record answers without the server
	again, err := b.call(request())
	require.NoError(t, err)
	require.Equal(t, "claimed", again)
	require.Equal(t, 1, b.exchange.runs)
}

// A fault of the program in one exchange must not take a slot for good, and
// what it left behind may have run.
func TestPanic(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.exchange.panics = true
		require.Panics(t, func() { _, _ = b.call(request()) })
		b.requireCountedUntilDeadline(t)
		b.exchange.panics = false
		_, err := b.call(request())
		var f *pollenlatch.Failure
		require.ErrorAs(t, err, &f)
		require.Equal(t, pollenlatch.ReasonUnknownRetry, f.Reason)
	})
}

// A body that nobody reads must not hold the slot after it is closed.
func TestClosedEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		resp, err := b.server.Handle(t.Context(), request())
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		b.requireCountedUntilDeadline(t)
	})
}

// A safe request needs no record: it may run as often as it likes.
func TestSafe(t *testing.T) {
	b := newBench()
	for range 2 {
		r := request()
		r.Idempotent = true
		_, err := b.call(r)
		require.NoError(t, err)
	}
	require.Equal(t, 2, b.exchange.runs)
	records, _ := b.records.Size()
	require.Zero(t, records)
}

// A request routed by an older state whose shard and fence still match must
// run, and one routed by a newer state must wait for that state to arrive.
func TestVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		r := request()
		r.Version = 3
		_, err := b.call(r)
		require.NoError(t, err)

		b = newBench()
		r = request()
		r.Version, r.Fence = 31, 31
		done := make(chan error, 1)
		go func() {
			_, err := b.call(r)
			done <- err
		}()
		synctest.Wait()
		require.Empty(t, done)
		b.control.state.version, b.control.state.owner.Fence = 31, 31
		close(b.control.changed)
		require.NoError(t, <-done)
	})
}

// A leaving server that gets new work delays its end; keyed work has nowhere
// else to go until its range has moved.
func TestDraining(t *testing.T) {
	b := newBench()
	b.endpoint.Draining = true
	_, err := b.call(request())
	require.NoError(t, err)
	b.control.state.service.Keyed = false
	r := request()
	r.Shard, r.IdempotencyKey = pollenlatch.Shard{}, ""
	_, err = b.call(r)
	var f *pollenlatch.Failure
	require.ErrorAs(t, err, &f)
	require.Equal(t, pollenlatch.ReasonDraining, f.Reason)
	b.endpoint.Draining = false
	_, err = b.call(r)
	require.NoError(t, err)
	r.IdempotencyKey = "b"
	_, err = b.call(r)
	require.ErrorAs(t, err, &f)
	require.Equal(t, pollenlatch.ReasonBadRequest, f.Reason, "a record on no shard cannot be found again")
}

// A lost server that keeps its load, or a good one that is suspected for its
// callers' faults, is given the wrong share of work.
func TestObserve(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		send := func(n int, err error) {
			b.exchange.err = err
			for range n {
				r := request()
				r.Idempotent = true
				_, _ = b.call(r)
			}
		}
		fail := func(o pollenlatch.Outcome, why pollenlatch.Reason) error {
			return &pollenlatch.Failure{Outcome: o, Reason: why}
		}
		send(4, fail(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost))
		<-time.After(2 * time.Second)
		require.Equal(t, Observation{Rate: 2}, b.server.Observe(), "too few to tell")
		send(6, nil)
		send(6, fail(pollenlatch.OutcomeUnknown, pollenlatch.ReasonDeadlineExceeded))
		require.True(t, b.server.Observe().Suspect)
		require.Equal(t, 10, b.suspects)
		send(6, nil)
		send(20, fail(pollenlatch.OutcomeNotRun, pollenlatch.ReasonServerRefused))
		send(20, fail(pollenlatch.OutcomeUnknown, pollenlatch.ReasonCancelled))
		require.False(t, b.server.Observe().Suspect)
		require.Equal(t, 10, b.suspects)
	})
}

// BenchmarkHandle is the cost of the pipeline without the exchange.
func BenchmarkHandle(b *testing.B) {
	for _, name := range []string{"safe", "recorded"} {
		b.Run(name, func(b *testing.B) {
			x := newBench()
			x.gate.SetSlots(1000)
			x.records = dedup.New(dedup.Config{Records: 1 << 30})
			x.server.cfg.Records = x.records
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				r := request()
				r.Idempotent = name == "safe"
				r.IdempotencyKey = strconv.Itoa(n)
				if _, err := x.call(r); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "req/s")
		})
	}
}

// A ticket that raises maxrun while a request waits gives the server longer for
// it. A release after the former maxrun would let the next owner act beside it.
func TestRaisedMaxRunHoldsUpRelease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench()
		b.exchange.before = func() { b.control.state.service.MaxRun = 5 * maxRun }
		b.exchange.err = &pollenlatch.Failure{Outcome: pollenlatch.OutcomeUnknown, Reason: pollenlatch.ReasonConnectionLost, Status: 502}
		_, err := b.call(request())
		require.Error(t, err)
		<-time.After(5*maxRun - 1)
		synctest.Wait()
		require.EqualValues(t, 1, b.control.inFlight.Load(), "released while the server may still run the request")
		<-time.After(1)
		synctest.Wait()
		b.requireNothingCounted(t)
	})
}
