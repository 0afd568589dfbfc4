package admit

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/gauge"
)

// slowServer is a model of a server that is three times as slow for a fifth of the time.
type slowServer struct {
	seed   uint64
	load   float64 // arrivals as a share of the capacity at the usual speed
	random bool    // slow spans begin at random, and may follow each other
	steady bool    // never slow
	// stated returns the slowness that the server states; nil: it states none.
	stated    func(slowness uint32, at time.Duration) uint32
	idleGauge bool          // the scheduler knows a gauge, which gets no load
	duration  time.Duration // 0 is two minutes
}

// modelResult counts the requests of a model by how they ended.
type modelResult struct {
	offered, onTime, late, missed, refused, refusedLater int
	minTypical, maxTypical                               float64 // run time that is reported, in seconds
}

func (r modelResult) share(n int) float64 { return float64(n) / float64(r.offered) }

func (r modelResult) String() string {
	p := func(n int) float64 { return 100 * r.share(n) }
	return fmt.Sprintf("on time %.1f%%, late %.1f%%, after the deadline %.1f%%, refused %.1f%% (%.1f%% after a wait), reported run time %.0f to %.0f ms",
		p(r.onTime), p(r.late), p(r.missed), p(r.refused), p(r.refusedLater), 1000*r.minTypical, 1000*r.maxTypical)
}

const (
	slowSpan   = 400 * time.Millisecond
	slowFactor = 3
	slowSlots  = 12
)

// run plays the load of two routes with run times of 140 and 190 ms.
func (m slowServer) run(t *testing.T) modelResult {
	t.Helper()
	routes := []struct {
		name                     string
		run, objective, deadline time.Duration
		class                    pollenlatch.Class
	}{
		{"read", 140 * time.Millisecond, 500 * time.Millisecond, 1200 * time.Millisecond, pollenlatch.ClassUrgent},
		{"read", 140 * time.Millisecond, 500 * time.Millisecond, 1200 * time.Millisecond, pollenlatch.ClassUrgent},
		{"buy", 190 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond, pollenlatch.ClassNormal},
	}
	const spread = 0.4
	rnd := rand.New(rand.NewPCG(m.seed, 1))
	spans := rand.New(rand.NewPCG(m.seed, 2))
	h := newHarness(t, slowSlots)
	g := new(gauge.Gauge)
	if m.stated != nil || m.idleGauge {
		h.sched.load.gauge = g
	}
	result := modelResult{minTypical: math.Inf(1)}
	left := make(map[*request]time.Duration) // work
	var started []*request
	perStep := m.load * slowSlots * float64(time.Millisecond) / (157 * float64(time.Millisecond))
	slowness, period := uint32(100), 0
	begin := h.now
	duration := cmp.Or(m.duration, 2*time.Minute)
	for step := 0; h.now.Sub(begin) < duration; step++ {
		h.now = h.now.Add(time.Millisecond)
		if step%int(slowSpan/time.Millisecond) == 0 {
			slow := period%5 == 4
			if m.random {
				slow = spans.Float64() < 0.2
			}
			period++
			if slowness = 100; slow && !m.steady {
				slowness = 100 * slowFactor
			}
		}
		if step%250 == 0 && step > 10_000 {
			typical := h.sched.demandSlots / h.sched.arrivalRate
			result.minTypical, result.maxTypical = min(result.minTypical, typical), max(result.maxTypical, typical)
		}
		for _, r := range slices.Clone(started) {
			left[r] -= time.Duration(float64(time.Millisecond) * 100 / float64(slowness))
			if left[r] > 0 {
				continue
			}
			delete(left, r)
			started = slices.DeleteFunc(started, func(o *request) bool { return o == r })
			if m.stated != nil {
				g.Observe(pollenlatch.ServerLoad{Slots: slowSlots, Slowness: m.stated(slowness, h.now.Sub(begin))}, h.now)
			}
			h.sched.finish(r, h.now)
			switch {
			case h.now.After(r.Deadline):
				result.missed++
			case h.now.After(r.SoftDeadline):
				result.late++
			default:
				result.onTime++
			}
		}
		if rnd.Float64() < perStep {
			p := routes[rnd.IntN(len(routes))]
			work := time.Duration(float64(p.run) * math.Exp(spread*rnd.NormFloat64()-spread*spread/2))
			r := &request{AdmitRequest: pollenlatch.AdmitRequest{
				Route: p.name, Class: p.class, SoftDeadline: h.now.Add(p.objective), Deadline: h.now.Add(p.deadline),
			}}
			at := h.now
			r.onDecision = func(f *pollenlatch.Failure) {
				if f == nil {
					left[r] = work
					started = append(started, r)
					return
				}
				result.refused++
				if h.now.After(at) {
					result.refusedLater++
				}
			}
			result.offered++
			if f := h.sched.arrive(r, h.now); f != nil {
				result.refused++
			}
		}
	}
	return result
}

func truthful(slowness uint32, _ time.Duration) uint32 { return slowness }

// Guards against forecasts that lag behind a server which is slow for short times: without
// the slowness, requests that will be late are accepted in a slow span, and others are
// refused after it.
func TestSlowSpans(t *testing.T) {
	for _, random := range []bool{false, true} {
		for _, tt := range []struct{ load, minGain float64 }{{0.6, -0.005}, {0.8, 0.005}, {1, 0.01}, {1.3, 0.005}} {
			t.Run(fmt.Sprintf("load %.1f, random %v", tt.load, random), func(t *testing.T) {
				m := slowServer{seed: 1, load: tt.load, random: random}
				without := m.run(t)
				m.stated = truthful
				with := m.run(t)
				t.Logf("\nwithout the slowness: %v\nwith the slowness:    %v", without, with)
				require.Greater(t, with.share(with.onTime), without.share(without.onTime)+tt.minGain)
				require.LessOrEqual(t, with.share(with.late+with.missed), without.share(without.late+without.missed)+0.01)
				require.Less(t, with.maxTypical-with.minTypical, 0.8*(without.maxTypical-without.minTypical), "keys would move after each slow span")
				require.LessOrEqual(t, with.share(with.refused), without.share(without.refused)+0.005)
			})
		}
	}
}

// A server that states a wrong slowness must be served about as if it stated none: what
// its runs take counts.
func TestWrongSlowness(t *testing.T) {
	const maxLoss, wrongDuration = 0.01, 50 * time.Second // a share of the requests
	without := map[bool]modelResult{
		true:  slowServer{seed: 1, load: 0.8, steady: true, duration: wrongDuration}.run(t),
		false: slowServer{seed: 1, load: 0.8, duration: wrongDuration}.run(t),
	}
	for name, stated := range map[string]func(uint32, time.Duration) uint32{
		"always slow":         func(uint32, time.Duration) uint32 { return 1000 },
		"always fast":         func(uint32, time.Duration) uint32 { return 25 },
		"the reverse":         func(s uint32, _ time.Duration) uint32 { return 10000 / s },
		"suddenly slow":       func(s uint32, at time.Duration) uint32 { return s + 900*uint32(at/(20*time.Second)%2) },
		"slow at short times": func(_ uint32, at time.Duration) uint32 { return 100 + 900*uint32(at/(400*time.Millisecond)%2) },
		"random":              func(_ uint32, at time.Duration) uint32 { return 25 + uint32(at/time.Millisecond)*7919%976 },
	} {
		for _, steady := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, steady %v", name, steady), func(t *testing.T) {
				m := slowServer{seed: 1, load: 0.8, steady: steady, stated: stated, duration: wrongDuration}
				with := m.run(t)
				t.Logf("\nwithout the slowness: %v\nwith the slowness:    %v", without[steady], with)
				require.Greater(t, with.share(with.onTime), without[steady].share(without[steady].onTime)-maxLoss)
			})
		}
	}
}

// An idle server must get requests whatever slowness it states, since no run could show
// otherwise.
func TestIdleServerStatesSlowness(t *testing.T) {
	h := newHarness(t, 1)
	h.learnRunTime("r", 200*time.Millisecond)
	g := new(gauge.Gauge)
	h.sched.load.gauge = g
	g.Observe(pollenlatch.ServerLoad{Slowness: 100}, h.now)
	h.now = h.now.Add(10 * time.Second)
	g.Observe(pollenlatch.ServerLoad{Slowness: 100}, h.now)
	h.now = h.now.Add(10 * time.Millisecond)
	g.Observe(pollenlatch.ServerLoad{Slowness: 1000}, h.now)
	require.True(t, h.offer("r", pollenlatch.ClassNormal, 0, time.Second).started)
}

// Requests that hold slots of the server although this daemon does not wait for them must
// not be joined by as many as there are slots.
func TestOtherRequestsTakeSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := new(gauge.Gauge)
		s := NewScheduler().WithGauge(g)
		s.SetSlots(4)
		admit := func() chan func() {
			out := make(chan func(), 1)
			go func() {
				release, err := s.Admit(t.Context(), pollenlatch.AdmitRequest{Route: "r", Deadline: time.Now().Add(time.Minute)})
				require.NoError(t, err)
				out <- release
			}()
			synctest.Wait()
			return out
		}
		g.Observe(pollenlatch.ServerLoad{Running: 3, Slowness: 100}, time.Now())
		s.LoadChanged()
		first, second := admit(), admit()
		require.Len(t, first, 1)
		require.Empty(t, second, "three of four slots are taken")
		g.Observe(pollenlatch.ServerLoad{Running: 2, Slowness: 100}, time.Now())
		s.LoadChanged()
		synctest.Wait()
		require.Len(t, second, 1, "a slot has become free")
		(<-first)()
		(<-second)()
	})
}

// The begin and the end of a slow span must show in the decisions at once, not after ten
// runs.
func TestSlowSpanShowsAtOnce(t *testing.T) {
	const run = 150 * time.Millisecond
	g := new(gauge.Gauge)
	h := newHarness(t, 1)
	h.sched.load.gauge = g
	state := func(slowness uint32) { g.Observe(pollenlatch.ServerLoad{Slowness: slowness}, h.now) }
	slowness := uint32(100)
	h.runTime = func(*request) time.Duration { return run * time.Duration(slowness) / 100 }
	for range 20 { // usual spans of 1.8 s, slow ones of 450 ms
		slowness = 100
		for n := range 13 {
			if slowness = 100; n == 12 {
				slowness = 300
			}
			state(slowness)
			h.offer("r", pollenlatch.ClassNormal, 0, time.Minute)
			h.advance(run*time.Duration(slowness)/100+time.Millisecond, run)
		}
	}
	objectiveMet := func() bool { // by a request that waits for one other
		defer func() { h.advance(time.Second, run) }()
		require.True(t, h.offer("r", pollenlatch.ClassNormal, 0, time.Minute).started)
		h.now = h.now.Add(time.Millisecond)
		state(slowness)
		return h.offer("r", pollenlatch.ClassNormal, 0, 2*run+100*time.Millisecond).refused == nil
	}
	slowness = 100
	state(slowness)
	require.True(t, objectiveMet())
	slowness = 300
	state(slowness)
	require.False(t, objectiveMet(), "a slow span has begun")
	slowness = 100
	state(slowness)
	require.True(t, objectiveMet(), "the slow span has ended")
}

// A server that states no load must be served as before.
func TestServerWithoutLoad(t *testing.T) {
	m := slowServer{seed: 1, load: 1, duration: 20 * time.Second}
	want := m.run(t)
	m.idleGauge = true
	require.Equal(t, want, m.run(t))
}
