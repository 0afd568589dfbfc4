package calls

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// model plays one route at several servers whose runs call another service. A run
// keeps its slot while it waits for its calls. The called service serves in order of
// arrival, so a long queue makes its responses late. Refused callers come back until
// their deadline; the route is not repeatable, so those that get an error do not.
type model struct {
	learn     bool
	rng       *rand.Rand
	now       time.Time
	forecasts []*Forecast
	slots     int // of the servers of the route that are free
	events    map[int64][]func()
	calleeEnd time.Time // end of the queue of the called service
	perCall   time.Duration
}

// result counts what the callers of the route get.
type result struct{ offered, served, late, refused, failed, calls, callsServed float64 }

func (r result) String() string {
	return fmt.Sprintf("of %.0f callers %.2f served (%.2f late), %.2f refused, %.2f failed; calls served %.2f",
		r.offered, r.served/r.offered, r.late/r.offered, r.refused/r.offered, r.failed/r.offered, r.callsServed/r.calls)
}

const (
	modelStep     = 2 * time.Millisecond
	modelRun      = 210 * time.Millisecond
	modelLate     = time.Second
	modelDeadline = 6 * time.Second
	callLate      = 200 * time.Millisecond
	callDeadline  = 600 * time.Millisecond
)

func newModel(servers int, learn bool) *model {
	m := &model{learn: learn, rng: rand.New(rand.NewPCG(7, 9)), now: time.Unix(1000, 0), events: map[int64][]func(){}, slots: 9 * servers}
	for range servers {
		m.forecasts = append(m.forecasts, new(Forecast))
	}
	m.calleeEnd = m.now
	return m
}

func (m *model) after(d time.Duration, f func()) {
	at := m.now.Add(d).UnixNano() / int64(modelStep)
	m.events[at] = append(m.events[at], f)
}

// play offers requests of which callShare make n calls each, for d. The called service
// serves capacity calls a second.
func (m *model) play(d time.Duration, offered, callShare float64, n int, capacity float64) *result {
	r := new(result)
	m.perCall = time.Duration(float64(time.Second) / capacity)
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(modelStep) {
		at := m.now.UnixNano() / int64(modelStep)
		for _, f := range m.events[at] {
			f()
		}
		delete(m.events, at)
		for mean := offered * modelStep.Seconds(); mean > 0; mean-- {
			if m.rng.Float64() < mean {
				r.offered++
				calls := 0
				if m.rng.Float64() < callShare {
					calls = n
				}
				m.arrive(r, m.now, calls)
			}
		}
	}
	return r
}

// arrive plays one attempt of a caller whose first attempt was at start.
func (m *model) arrive(r *result, start time.Time, calls int) {
	f := m.forecasts[m.rng.IntN(len(m.forecasts))]
	admitted := m.slots > 0
	if m.learn && admitted {
		admitted, _ = f.Admit("booking", m.now)
	}
	if !admitted {
		if m.now.Sub(start) > modelDeadline-time.Second {
			r.refused++
			return
		}
		m.after(time.Second, func() { m.arrive(r, start, calls) })
		return
	}
	m.slots--
	f.RecordRun("booking", m.now)
	held, ok := modelRun, true
	for i := range calls {
		r.calls++
		f.RecordCall("booking", "pay", i == 0, m.now)
		m.calleeEnd = m.calleeEnd.Add(max(m.perCall, m.now.Sub(m.calleeEnd)))
		wait := m.calleeEnd.Sub(m.now)
		outcome := Failed
		switch { // a queue of 1.2 s of work is full, and a full server never answers
		case wait <= callDeadline:
			r.callsServed++
			if outcome = OK; wait > callLate {
				outcome = Slow
			}
		case wait > 2*callDeadline:
			m.calleeEnd = m.calleeEnd.Add(-m.perCall)
			fallthrough
		default:
			wait, ok = callDeadline, false
		}
		held = max(held, modelRun+wait)
		m.after(wait, func() { f.RecordResult("booking", "pay", outcome, m.now) })
	}
	m.after(held, func() {
		m.slots++
		switch {
		case !ok:
			r.failed++
		case m.now.Sub(start) > modelLate:
			r.late++
			fallthrough
		default:
			r.served++
		}
	})
}

// Guards against runs that are admitted although their calls fail: their callers get
// errors that guarantee nothing, after the runs have occupied slots.
func TestRequestsAreRefusedBeforeTheirCallsFail(t *testing.T) {
	// 479 requests a second at 32 servers, of which 0.7 make a call.
	for _, tt := range []struct {
		capacity    float64 // calls a second
		calls       float64 // least share of the calls that succeed
		servedShare float64 // least change of the callers that are served
	}{{280, 0.85, 1.5}, {150, 0.75, 1}, {60, 0.6, 0.3}} {
		t.Run(fmt.Sprintf("capacity %.0f", tt.capacity), func(t *testing.T) {
			before := newModel(32, false).play(30*time.Second, 479, 0.7, 1, tt.capacity)
			m := newModel(32, true)
			m.play(10*time.Second, 479, 0.7, 1, tt.capacity)
			after := m.play(30*time.Second, 479, 0.7, 1, tt.capacity)
			t.Log("before: ", before)
			t.Log("after:  ", after)
			require.Less(t, before.callsServed/before.calls, 0.2, "the model must be overloaded")
			require.Greater(t, after.callsServed/after.calls, tt.calls, "most calls of admitted runs must succeed")
			require.Less(t, after.failed, before.failed/5)
			require.Greater(t, after.served, tt.servedShare*before.served)
		})
	}
}

// Guards against refusals that outlast the overload, or that begin without one.
func TestForecastFollowsTheLoad(t *testing.T) {
	for _, n := range []int{1, 2} {
		m := newModel(8, true)
		quiet := m.play(10*time.Second, 120, 0.7, n, 400)
		require.Zero(t, quiet.refused, "refused without overload, %d calls a run", n)
		m.play(10*time.Second, 120, 0.7, n, 20)
		m.play(15*time.Second, 120, 0.7, n, 400)
		after := m.play(10*time.Second, 120, 0.7, n, 400)
		require.Zero(t, after.refused, "still refused after the overload, %d calls a run", n)
	}
}

// Guards against a route that makes no calls being refused for those of another, and
// against decisions from a handful of results.
func TestForecastIsKeptForEachRoute(t *testing.T) {
	var f Forecast
	now := time.Unix(1000, 0)
	for range 3 {
		f.RecordRun("a", now)
		f.RecordCall("a", "s", true, now)
		f.RecordResult("a", "s", Failed, now)
	}
	ok, _ := f.Admit("a", now)
	require.True(t, ok, "three results are too few")
	for range 100 {
		f.Admit("a", now)
		f.RecordRun("a", now)
		f.RecordCall("a", "s", true, now)
		f.RecordResult("a", "s", Failed, now)
	}
	ok, habit := f.Admit("a", now)
	require.False(t, ok)
	require.Equal(t, "s", habit.Service)
	ok, _ = f.Admit("b", now)
	require.True(t, ok)
}

func BenchmarkAdmit(b *testing.B) {
	var f Forecast
	now := time.Unix(1000, 0)
	for n := range 4 {
		f.RecordRun("a", now)
		f.RecordCall("a", string(rune('s'+n)), true, now)
	}
	for b.Loop() {
		now = now.Add(time.Millisecond)
		f.Admit("a", now)
	}
}
