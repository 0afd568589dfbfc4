package front

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// An instance that is behind reads requests whose callers have disconnected since. They
// must not reach a server.
func TestRequestsReadAfterTheirCallersDisconnected(t *testing.T) {
	const callers = 50
	for _, tt := range []struct {
		name, request string
		owner         pollenlatch.InstanceID // 1 is the instance itself
	}{
		{"forwarded", getRequest, 2},
		{"for the local server", getRequest, 1},
		{"with a body", "POST /s/claims/k HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody", 2},
		{"with a long body", fmt.Sprintf("POST /s/claims/k HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", 20<<10, strings.Repeat("x", 20<<10)), 2},
		{"pipelined", getRequest + getRequest, 2},
	} {
		t.Run(tt.name, func(t *testing.T) {
			fx := newRouterFixture(tt.owner, respondRemote(t))
			recorder := make(fakeRecorder, 2*callers)
			s, err := NewServer(Config{Control: fx.control, Handler: fx.router, Recorder: recorder})
			require.NoError(t, err)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			for range callers {
				c, err := net.Dial("tcp", l.Addr().String())
				require.NoError(t, err)
				_, err = io.WriteString(c, tt.request)
				require.NoError(t, err)
				require.NoError(t, c.Close())
			}
			go func() { _ = s.Serve(l) }()
			defer func() { _ = s.Close(); <-s.Done() }()
			for range callers {
				<-recorder
			}
			require.Zero(t, len(fx.forwarder.addrs)+fx.localRequests, "requests were sent")
		})
	}
}

// departure is the presence of a caller that leaves when a test says so.
type departure struct{ left atomic.Bool }

func (d *departure) Left() bool { return d.left.Load() }

// Guards against attempts for a caller whose connection is closed, before the context of
// the request has ended.
func TestRouterSendsNothingForDepartedCallers(t *testing.T) {
	for _, tt := range []struct {
		name    string
		leave   time.Duration // 0: before the first attempt
		owner   pollenlatch.InstanceID
		failure *pollenlatch.Failure // of the first attempt, after which the caller has left
		sends   int
		outcome pollenlatch.Outcome
		status  int
	}{
		{"at the first attempt", 0, 2, nil, 0, pollenlatch.OutcomeNotRun, 503},
		{"while the key has no owner", 300 * time.Millisecond, 0, nil, 0, pollenlatch.OutcomeNotRun, 503},
		{"between two attempts", time.Hour, 2, failure(pollenlatch.OutcomeNotRun, pollenlatch.ReasonUnreachable, 503), 1, pollenlatch.OutcomeNotRun, 503},
		{"after an attempt that may have run", time.Hour, 2, failure(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, 502), 1, pollenlatch.OutcomeUnknown, 502},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				caller := new(departure)
				fx := newRouterFixture(tt.owner, func(int, *pollenlatch.Request) (*pollenlatch.Response, error) {
					caller.left.Store(true)
					if tt.failure == nil {
						return okResponse("sent"), nil
					}
					return nil, tt.failure
				})
				caller.left.Store(tt.leave == 0)
				time.AfterFunc(tt.leave, func() { caller.left.Store(true) })
				time.AfterFunc(500*time.Millisecond, func() {
					fx.control.updateView(func(v *fakeView) { v.owner = pollenlatch.Owner{Instance: 2, Fence: 9} })
				})
				r := newPost("claims", "k")
				r.Kind = "poll" // idempotent
				_, err := fx.router.Handle(pollenlatch.WithPresence(t.Context(), caller), r)
				var f *pollenlatch.Failure
				require.ErrorAs(t, err, &f)
				require.Equal(t, []any{tt.outcome, tt.status}, []any{f.Outcome, f.Status}, f.Error())
				require.Len(t, fx.forwarder.addrs, tt.sends)
			})
		})
	}
}

const (
	// maxStartAfterLeaving is how long after its caller has disconnected a server may
	// begin a request.
	maxStartAfterLeaving = 500 * time.Millisecond
	maxStall             = 2 * time.Second        // of an instance that gets no processor time
	maxNoticeTime        = 20 * time.Millisecond  // until an instance that runs has read the end of a connection
	maxQueueTime         = 300 * time.Millisecond // at the owner
	linkDelay            = time.Millisecond
)

// simInstance is an instance without a network. While it is stalled, it neither reads
// requests nor notices that callers disconnect.
type simInstance struct {
	*fakeControl
	id         pollenlatch.InstanceID
	router     *Router
	stalledTil time.Time // guarded by the simulation
}

func (i *simInstance) Self() pollenlatch.InstanceID { return i.id }

// simCaller is the caller of one request.
type simCaller struct{ leavesAt time.Time }

func (c simCaller) Left() bool { return !time.Now().Before(c.leavesAt) }

// callerSim sends requests over many instances whose callers disconnect.
type callerSim struct {
	wg        sync.WaitGroup // of the requests
	mu        sync.Mutex
	rng       *rand.Rand
	instances []*simInstance
	leavesAt  map[string]time.Time // by request ID
	runs      int
	late      int // runs that began more than maxStartAfterLeaving after the caller had left
}

func newCallerSim(instances int) *callerSim {
	s := &callerSim{rng: rand.New(rand.NewPCG(uint64(instances), 28)), leavesAt: make(map[string]time.Time)}
	view := &fakeView{version: 1}
	for n := range instances {
		i := &simInstance{id: pollenlatch.InstanceID(n + 1), fakeControl: &fakeControl{view: view, changed: make(chan struct{})}}
		view.endpoints = append(view.endpoints, pollenlatch.Instance{
			ID: i.id, Addr: fmt.Sprint(n), DC: "nadia", Lease: 1, Endpoint: &pollenlatch.Endpoint{Ready: true},
		})
		i.router = NewRouter(RouterConfig{Control: i, Local: pollenlatch.HandlerFunc(s.run), Forwarder: s, Picker: s})
		s.instances = append(s.instances, i)
	}
	return s
}

func (s *callerSim) random(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.rng.Int64N(int64(d)))
}

// awaitRunning waits until an instance is no longer stalled.
func (s *callerSim) awaitRunning(i *simInstance) {
	s.mu.Lock()
	d := time.Until(i.stalledTil)
	s.mu.Unlock()
	<-time.After(d)
}

// stall stalls an instance that runs for a random time.
func (s *callerSim) stall(i *simInstance) {
	d := s.random(maxStall)
	s.mu.Lock()
	defer s.mu.Unlock()
	if time.Now().After(i.stalledTil) {
		i.stalledTil = time.Now().Add(d)
	}
}

// Pick implements pollenlatch.Picker.
func (s *callerSim) Pick(c []pollenlatch.Instance, _ string, _ pollenlatch.Set[pollenlatch.InstanceID]) (pollenlatch.Instance, func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration), bool) {
	return c[s.random(time.Duration(len(c)))], func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration) {}, true
}

// Forward implements pollenlatch.Forwarder. The owner learns of a cancellation later.
func (s *callerSim) Forward(ctx context.Context, _ string, r *pollenlatch.Request) (*pollenlatch.Response, error) {
	<-time.After(linkDelay)
	ownerCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer context.AfterFunc(ctx, func() { time.AfterFunc(linkDelay, cancel) })()
	return s.run(ownerCtx, r)
}

// run is the owner of a request: it waits for a slot and begins the request unless the
// caller has left.
func (s *callerSim) run(ctx context.Context, r *pollenlatch.Request) (*pollenlatch.Response, error) {
	<-time.After(s.random(maxQueueTime))
	if pollenlatch.CallerLeft(ctx) {
		return nil, notRunFailure(pollenlatch.ReasonCancelled, 499, "caller disconnected")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	if time.Since(s.leavesAt[r.ID]) > maxStartAfterLeaving {
		s.late++
	}
	return okResponse(""), nil
}

// send sends a request to an instance, and disconnects after a while.
func (s *callerSim) send(i *simInstance, id string) {
	caller := simCaller{time.Now().Add(s.random(time.Second))}
	s.mu.Lock()
	s.leavesAt[id] = caller.leavesAt
	s.mu.Unlock()
	s.awaitRunning(i)
	ctx, cancel := context.WithCancel(pollenlatch.WithPresence(context.Background(), caller))
	defer cancel()
	s.wg.Go(func() {
		select {
		case <-time.After(time.Until(caller.leavesAt)):
			s.awaitRunning(i)
			<-time.After(s.random(maxNoticeTime))
			cancel()
		case <-ctx.Done():
		}
	})
	r := newPost("catalogue", "")
	r.ID, r.Deadline = id, time.Now().Add(3*time.Second)
	if resp, err := i.router.Handle(ctx, r); err == nil {
		_ = resp.Body.Close()
	}
}

// Requests of callers that have disconnected must not be started, at any number of
// instances, while some of them are stalled.
func TestDepartedCallersOverManyInstances(t *testing.T) {
	for _, n := range []int{3, 17, 200} {
		synctest.Test(t, func(t *testing.T) {
			s := newCallerSim(n)
			total := 0
			for ms := 0; ms < 20_000; ms += 10 {
				<-time.After(10 * time.Millisecond)
				if ms%(3000/n+1) < 10 {
					s.stall(s.instances[s.random(time.Duration(n))])
				}
				for range 1 + n/17 {
					total++
					i, id := s.instances[s.random(time.Duration(n))], fmt.Sprint(total)
					s.wg.Go(func() { s.send(i, id) })
				}
			}
			s.wg.Wait()
			require.Zero(t, s.late, "%d instances: requests were started late", n)
			require.Greater(t, 4*s.runs, total, "%d instances: too few requests ran", n)
			t.Logf("%d instances: %d of %d requests ran", n, s.runs, total)
		})
	}
}

// BenchmarkCallerLeft measures what the check of a caller's connection costs.
func BenchmarkCallerLeft(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	limited := newLimitListener(l, 1)
	defer func() { _ = limited.Close() }()
	c, err := net.Dial("tcp", l.Addr().String())
	require.NoError(b, err)
	defer func() { _ = c.Close() }()
	accepted, err := limited.Accept()
	require.NoError(b, err)
	defer func() { _ = accepted.Close() }()
	ctx, cancel := context.WithCancel(connContext(b.Context(), accepted))
	defer cancel()
	b.ReportAllocs()
	for b.Loop() {
		if pollenlatch.CallerLeft(ctx) {
			b.Fatal("the caller has left")
		}
	}
}
