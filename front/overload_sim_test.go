package front

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/admit"
	"pollenlatch/pick"
)

// bubbleClock is the clock of a synctest bubble.
type bubbleClock struct{}

func (bubbleClock) Now() pollenlatch.MonoTime { return pollenlatch.MonoTime(time.Now().UnixNano()) }

// overloadSim plays callers, entries and the servers of one service that is not keyed, with
// their daemons. Refused callers come back after the Retry-After until their deadline.
type overloadSim struct {
	adaptive bool
	servers  map[string]*admit.Scheduler // by address
	routers  []*Router

	mu      sync.Mutex
	rng     *rand.Rand
	results map[string]*simResult // by route
}

// simResult counts what the callers of one route get.
type simResult struct{ callers, inTime, late, refused, attempts, hops int }

func (r *simResult) served() float64 { return float64(r.inTime+r.late) / float64(r.callers) }

const (
	simServers   = 8
	simSlots     = 4
	simRun       = 100 * time.Millisecond
	simObjective = 500 * time.Millisecond
	simDeadline  = 1200 * time.Millisecond
	simHop       = 2 * time.Millisecond
)

func newOverloadSim(adaptive bool) *overloadSim {
	s := &overloadSim{adaptive: adaptive, servers: map[string]*admit.Scheduler{}, rng: rand.New(rand.NewPCG(3, 4)), results: map[string]*simResult{}}
	control := newFakeControl(0)
	for n := range simServers {
		i := instance(pollenlatch.InstanceID(n + 10))
		i.Endpoint = &pollenlatch.Endpoint{Service: "catalogue", Ready: true, Slots: simSlots, Incarnation: pollenlatch.Incarnation(n + 10)}
		control.view.endpoints = append(control.view.endpoints, i)
		s.servers[i.Addr] = admit.NewScheduler()
		s.servers[i.Addr].SetSlots(simSlots)
	}
	for n := range 12 {
		s.routers = append(s.routers, NewRouter(RouterConfig{
			Control: control, Forwarder: s, Picker: pick.New(pick.Config{Clock: bubbleClock{}, Seed: uint64(n + 1)}), DC: "nadia",
			ServiceBudgets: &pick.ServiceBudgets{Ratio: 0.1, Burst: 10}, Adaptive: func() bool { return s.adaptive },
			Local: pollenlatch.HandlerFunc(func(context.Context, *pollenlatch.Request) (*pollenlatch.Response, error) {
				return nil, errors.New("there is no local server")
			}),
		}))
	}
	return s
}

// Forward implements pollenlatch.Forwarder: it is the daemon beside a server, with it.
func (s *overloadSim) Forward(ctx context.Context, addr string, r *pollenlatch.Request) (*pollenlatch.Response, error) {
	time.Sleep(simHop)
	a := s.servers[addr]
	s.mu.Lock()
	s.results[r.Route].hops++
	run := time.Duration((0.5 + s.rng.Float64()) * float64(simRun))
	s.mu.Unlock()
	release, err := a.Admit(ctx, pollenlatch.AdmitRequest{
		Service: r.Service, Class: r.Class, Deadline: r.Deadline, Route: r.Route, SoftDeadline: r.SoftDeadline,
		Returned: r.Returned, Starved: r.Starved, Adaptive: s.adaptive,
	})
	var hint *pollenlatch.ServerHint
	if s.adaptive {
		defer time.Sleep(simHop)
	}
	if err != nil {
		f := *asFailure(err)
		if s.adaptive {
			f.Hint = a.Hint()
		}
		return nil, &f
	}
	time.Sleep(run)
	release()
	if s.adaptive {
		hint = a.Hint()
	}
	resp := okResponse("done")
	resp.Hint = hint
	return resp, nil
}

// call plays one caller.
func (s *overloadSim) call(route string, class pollenlatch.Class) {
	start := time.Now()
	s.mu.Lock()
	res := s.results[route]
	if res == nil {
		res = new(simResult)
		s.results[route] = res
	}
	res.callers++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		res.attempts++
		router := s.routers[s.rng.IntN(len(s.routers))]
		s.mu.Unlock()
		r := &pollenlatch.Request{Deadline: start.Add(simDeadline), SoftDeadline: start.Add(simObjective), Waited: time.Since(start)}
		r.Service, r.Route, r.Class, r.MaxAttempts, r.ID = "catalogue", route, class, 2, "a"
		resp, err := router.Handle(context.Background(), r)
		if err == nil {
			_ = resp.Body.Close()
			s.mu.Lock()
			if time.Since(start) <= simObjective {
				res.inTime++
			} else {
				res.late++
			}
			s.mu.Unlock()
			return
		}
		after := asFailure(err).RetryAfter
		if time.Since(start)+after+simRun > simDeadline {
			s.mu.Lock()
			res.refused++
			s.mu.Unlock()
			return
		}
		time.Sleep(after)
	}
}

// play offers requests of three classes for d: 40%, 60% and 50% of what the servers can
// run.
func (s *overloadSim) play(d time.Duration) {
	var wg sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		capacity := float64(simServers*simSlots) / simRun.Seconds() * (2 * time.Millisecond).Seconds()
		for n, load := range []float64{0.4, 0.6, 0.5} {
			s.mu.Lock()
			arrives := s.rng.Float64() < load*capacity
			s.mu.Unlock()
			if arrives {
				wg.Go(func() { s.call(fmt.Sprintf("route-%d", n+1), pollenlatch.Class(n+1)) })
			}
		}
	}
	wg.Wait()
}

// Guards against urgent requests that are refused or late while servers run less urgent
// ones, against hops in vain, and against a class that gets nothing.
func TestOrderAcrossServers(t *testing.T) {
	results := map[bool]map[string]*simResult{}
	overall := map[bool]float64{}
	for _, adaptive := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := newOverloadSim(adaptive)
			s.play(20 * time.Second)
			results[adaptive] = s.results
			var served, callers float64
			for n := range 3 {
				r := s.results[fmt.Sprintf("route-%d", n+1)]
				c := float64(r.callers)
				served, callers = served+float64(r.inTime+r.late), callers+c
				t.Logf("adaptive %v, class %d: served %.3f in time, %.3f late; refused %.3f; %.2f attempts and %.2f hops for each caller",
					adaptive, n+1, float64(r.inTime)/c, float64(r.late)/c, float64(r.refused)/c, float64(r.attempts)/c, float64(r.hops)/c)
			}
			overall[adaptive] = served / callers
		})
	}
	urgent, normal, routine := results[true]["route-1"], results[true]["route-2"], results[true]["route-3"]
	require.Greater(t, float64(urgent.inTime)/float64(urgent.callers), 0.98, "the servers could run all urgent requests")
	require.Greater(t, normal.served(), 2*routine.served(), "the order of the classes")
	require.Greater(t, routine.served(), overall[true]/4, "the least urgent route is starved")
	require.Less(t, float64(routine.hops)/float64(routine.callers), 1.5, "refused requests are sent in vain")
	require.Greater(t, overall[true], 0.95*overall[false], "servers are left idle")
}
