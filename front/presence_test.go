package front

import (
	"container/heap"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
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
	id           pollenlatch.InstanceID
	router       *Router
	stalledUntil time.Duration // since the start of the simulation
}

func (i *simInstance) Self() pollenlatch.InstanceID { return i.id }

// simCaller is the caller of one request.
type simCaller struct {
	sim      *callerSim
	leavesAt time.Duration
	// ownerCtx is the context of the request at its owner. It ends when the
	// cancellation has arrived there.
	ownerCtx context.Context
}

func (c *simCaller) Left() bool { return c.sim.now >= c.leavesAt }

// event is an action of the simulation at a time.
type event struct {
	at time.Duration
	do func()
}

// callerSim sends requests over many instances whose callers disconnect. It runs on one
// goroutine with a clock of its own.
type callerSim struct {
	ctx       context.Context
	rng       *rand.Rand
	now       time.Duration // since the start
	events    []event       // a binary heap
	instances []*simInstance
	total     int
	runs      int
	late      int // runs that began more than maxStartAfterLeaving after the caller had left
}

// Len, Less, Swap, Push and Pop implement heap.Interface for the events.
func (s *callerSim) Len() int           { return len(s.events) }
func (s *callerSim) Less(a, b int) bool { return s.events[a].at < s.events[b].at }
func (s *callerSim) Swap(a, b int)      { s.events[a], s.events[b] = s.events[b], s.events[a] }
func (s *callerSim) Push(x any)         { s.events = append(s.events, x.(event)) }
func (s *callerSim) Pop() any {
	last := s.events[len(s.events)-1]
	s.events = s.events[:len(s.events)-1]
	return last
}

func (s *callerSim) at(t time.Duration, do func()) { heap.Push(s, event{max(t, s.now), do}) }

// run runs the events in order of their time.
func (s *callerSim) run() {
	for len(s.events) > 0 {
		e := heap.Pop(s).(event)
		s.now = e.at
		e.do()
	}
}

func (s *callerSim) random(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d)))
}

func newCallerSim(ctx context.Context, instances int) *callerSim {
	s := &callerSim{ctx: ctx, rng: rand.New(rand.NewPCG(uint64(instances), 28))}
	view := &fakeView{version: 1}
	for n := range instances {
		i := &simInstance{id: pollenlatch.InstanceID(n + 1), fakeControl: &fakeControl{view: view, changed: make(chan struct{})}}
		view.endpoints = append(view.endpoints, pollenlatch.Instance{
			ID: i.id, Addr: fmt.Sprint(n), DC: "nadia", Lease: 1, Endpoint: &pollenlatch.Endpoint{Ready: true},
		})
		i.router = NewRouter(RouterConfig{Control: i, Local: pollenlatch.HandlerFunc(s.enqueue), Forwarder: s, Picker: s})
		s.instances = append(s.instances, i)
	}
	return s
}

// Pick implements pollenlatch.Picker.
func (s *callerSim) Pick(c []pollenlatch.Instance, _ string, _ pollenlatch.Set[pollenlatch.InstanceID]) (pollenlatch.Instance, func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration), bool) {
	return c[s.rng.IntN(len(c))], func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration) {}, true
}

// Forward implements pollenlatch.Forwarder.
func (s *callerSim) Forward(ctx context.Context, _ string, r *pollenlatch.Request) (*pollenlatch.Response, error) {
	return s.enqueue(ctx, r)
}

// callerKey is the context key of a simCaller.
type callerKey struct{}

// enqueue is the owner of a request: after a wait for a slot it begins the request unless
// the caller has left.
func (s *callerSim) enqueue(ctx context.Context, _ *pollenlatch.Request) (*pollenlatch.Response, error) {
	c := ctx.Value(callerKey{}).(*simCaller)
	s.at(s.now+linkDelay+s.random(maxQueueTime), func() {
		if pollenlatch.CallerLeft(c.ownerCtx) {
			return
		}
		s.runs++
		if s.now-c.leavesAt > maxStartAfterLeaving {
			s.late++
		}
	})
	return okResponse(""), nil
}

// send sends a request to an instance, whose caller disconnects after a while.
func (s *callerSim) send(i *simInstance) {
	s.total++
	c := &simCaller{sim: s, leavesAt: s.now + s.random(time.Second)}
	ctx, cancel := context.WithCancel(context.WithValue(pollenlatch.WithPresence(s.ctx, c), callerKey{}, c))
	var cancelOwner func()
	c.ownerCtx, cancelOwner = context.WithCancel(s.ctx)
	s.whenRunning(i, func() {
		r := newPost("catalogue", "")
		r.Deadline = time.Now().Add(time.Hour)
		if resp, err := i.router.Handle(ctx, r); err == nil {
			_ = resp.Body.Close()
		}
	})
	s.at(c.leavesAt, func() {
		s.whenRunning(i, func() {
			s.at(s.now+s.random(maxNoticeTime), func() {
				cancel()
				s.at(s.now+linkDelay, cancelOwner)
			})
		})
	})
}

// whenRunning calls f once an instance is not stalled.
func (s *callerSim) whenRunning(i *simInstance, f func()) {
	if s.now < i.stalledUntil {
		s.at(i.stalledUntil, func() { s.whenRunning(i, f) })
		return
	}
	f()
}

// Requests of callers that have disconnected must not be started, at any number of
// instances, while some of them are stalled.
func TestDepartedCallersOverManyInstances(t *testing.T) {
	for _, n := range []int{3, 17, 200} {
		s := newCallerSim(t.Context(), n)
		for at := time.Duration(0); at < 20*time.Second; at += 10 * time.Millisecond {
			s.at(at, func() {
				if s.rng.IntN(1000) < 10+n {
					i := s.instances[s.rng.IntN(n)]
					i.stalledUntil = max(i.stalledUntil, s.now+s.random(maxStall))
				}
				for range 1 + n/17 {
					s.send(s.instances[s.rng.IntN(n)])
				}
			})
		}
		s.run()
		require.Zero(t, s.late, "%d instances: requests were started late", n)
		require.Greater(t, 4*s.runs, s.total, "%d instances: too few requests ran", n)
		t.Logf("%d instances: %d of %d requests ran", n, s.runs, s.total)
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
