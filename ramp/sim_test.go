package ramp

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The model has four servers of one service. At time 0 one of them has just started,
// while the others are warm. Each request goes to the better of two servers by requests
// in flight, and once more elsewhere when it is refused. Keyed requests go to the new
// server only, at a quarter of the load.
const (
	simServers   = 4
	simSlots     = 12
	simRun       = 140 * time.Millisecond
	simObjective = 500 * time.Millisecond
	simDeadline  = 1200 * time.Millisecond
	simColdTime  = 3 * time.Second
	simLength    = 6 * time.Second
	simRate      = 190.0 // requests a second; the servers can run 343
)

// strategy is how the load of the new server is limited.
type strategy string

const (
	withRamp strategy = "ramp"
	hidden   strategy = "ramp, not reported to the callers' daemons"
	byTime   strategy = "warm-up by time" // 10 s, as package pick does
	unpaced  strategy = "no warm-up"
)

// behaviour is how the new server runs requests.
type behaviour struct {
	name     string
	slowness float64 // factor of the run time while it is cold
	capacity int     // requests that it runs at that speed while it is cold; 0 is all
}

var behaviours = []behaviour{
	{"fast", 1, 0},
	{"twice the run time", 2, 0},
	{"thrashes above 4 requests", 1.5, 4},
}

type simRequest struct {
	arrived, started time.Duration
	work             float64 // run time that is left, in seconds
	hops             int
}

type simServer struct {
	limit            Limit
	fresh            bool
	runTime          time.Duration // moving average, as package admit keeps it
	running, waiting []*simRequest
}

// result is what callers got.
type result struct{ onTime, late, refused, byNew int }

type sim struct {
	behaviour
	strategy
	keyed   bool
	rng     *rand.Rand
	now     time.Duration
	servers [simServers]simServer
	result
}

func clock(d time.Duration) time.Time { return time.Unix(1000, 0).Add(d) }

func newSim(b behaviour, s strategy, keyed bool, seed uint64) *sim {
	m := &sim{behaviour: b, strategy: s, keyed: keyed, rng: rand.New(rand.NewPCG(seed, 1))}
	for n := range m.servers {
		m.servers[n].limit.SetServer(simSlots, simColdTime)
		m.servers[n].runTime = simRun
	}
	m.servers[0].fresh = true
	if s == withRamp || s == hidden {
		m.servers[0].limit.Begin(0, clock(0))
	}
	return m
}

func (m *sim) run() result {
	rate := simRate
	if m.keyed {
		rate /= simServers
	}
	for ; m.now < simLength; m.now += time.Millisecond {
		if m.rng.Float64() < rate/1000 {
			m.send(&simRequest{arrived: m.now, work: simRun.Seconds() * (0.7 + 0.6*m.rng.Float64())}, -1)
		}
		for n := range m.servers {
			m.advance(n)
		}
	}
	return m.result
}

// share returns the share of its full traffic that a server gets.
func (m *sim) share(n int) float64 {
	switch {
	case n == 0 && m.strategy == byTime:
		return max(0.1, m.now.Seconds()/10)
	case m.strategy == withRamp:
		return float64(m.servers[n].limit.Slots()) / simSlots
	default:
		return 1
	}
}

func (m *sim) pick(except int) int {
	for {
		a := m.rng.IntN(simServers)
		if a != except && m.rng.Float64() < m.share(a) {
			return a
		}
	}
}

func (m *sim) send(r *simRequest, except int) {
	n := 0
	if !m.keyed {
		a, b := m.pick(except), m.pick(except)
		if n = a; len(m.servers[b].running)+len(m.servers[b].waiting) < len(m.servers[a].running)+len(m.servers[a].waiting) {
			n = b
		}
	}
	s := &m.servers[n]
	s.limit.Arrive("r", simObjective-(m.now-r.arrived))
	ahead := max(0, len(s.running)+len(s.waiting)+1-s.limit.Slots())
	end := m.now + s.runTime + time.Duration(float64(ahead)/float64(s.limit.Slots())*float64(s.runTime))
	if end > r.arrived+simDeadline || (ahead > 0 && end > r.arrived+simObjective) {
		if r.hops++; r.hops < 3 && !m.keyed {
			m.send(r, n)
			return
		}
		m.refused++
		return
	}
	s.waiting = append(s.waiting, r)
}

func (m *sim) advance(n int) {
	s := &m.servers[n]
	for len(s.waiting) > 0 && len(s.running) < s.limit.Slots() {
		s.waiting[0].started = m.now
		s.running, s.waiting = append(s.running, s.waiting[0]), s.waiting[1:]
	}
	speed := 1.0
	if s.fresh && m.now < simColdTime {
		speed /= m.slowness
		if over := float64(len(s.running)) / float64(max(m.capacity, 1)); m.capacity > 0 && over > 1 {
			speed /= over * over
		}
	}
	inFlight := len(s.running)
	kept := s.running[:0]
	for _, r := range s.running {
		if r.work -= speed / 1000; r.work > 0 {
			kept = append(kept, r)
			continue
		}
		s.runTime += (m.now - r.started - s.runTime) / 10
		s.limit.Observe(Run{Route: "r", StartedAt: clock(r.started), Took: m.now - r.started, InFlight: inFlight}, clock(m.now))
		if m.now-r.arrived <= simObjective {
			m.onTime++
		} else {
			m.late++
		}
		if s.fresh {
			m.byNew++
		}
	}
	s.running = kept
}

// total returns the sum of the results of several seeds, in percent of all requests.
func total(b behaviour, s strategy, keyed bool) (onTime, late, refused float64, byNew int) {
	var t result
	for seed := range uint64(8) {
		r := newSim(b, s, keyed, seed).run()
		t.onTime, t.late, t.refused, t.byNew = t.onTime+r.onTime, t.late+r.late, t.refused+r.refused, t.byNew+r.byNew
	}
	all := float64(t.onTime+t.late+t.refused) / 100
	return float64(t.onTime) / all, float64(t.late) / all, float64(t.refused) / all, t.byNew / 8
}

// The limit must serve callers about as well as no limit where the server can run its full
// load, and better where it cannot. It must not leave the server idle as a pace by time
// does.
func TestComparison(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		for _, b := range behaviours {
			t.Run(fmt.Sprintf("%s, keyed %t", b.name, keyed), func(t *testing.T) {
				onTime := make(map[strategy]float64)
				byNew := make(map[strategy]int)
				for _, s := range []strategy{withRamp, hidden, byTime, unpaced} {
					var late, refused float64
					onTime[s], late, refused, byNew[s] = total(b, s, keyed)
					t.Logf("%-16s %6.2f%% on time %6.2f%% late %6.2f%% refused, %d by the new server", s, onTime[s], late, refused, byNew[s])
				}
				maxLoss := 0.5
				if keyed && b.slowness == 2 {
					maxLoss = 3.5 // such a server could run its full load at once, which is not known
				}
				require.GreaterOrEqual(t, onTime[withRamp], onTime[unpaced]-maxLoss)
				require.GreaterOrEqual(t, onTime[withRamp], onTime[byTime]-maxLoss)
				require.GreaterOrEqual(t, byNew[withRamp], byNew[byTime]-5, "the server is idle for longer than with a pace by time")
				if b.capacity > 0 {
					require.Greater(t, onTime[withRamp], onTime[unpaced]+0.5, "the limit is of no use")
				}
			})
		}
	}
}
