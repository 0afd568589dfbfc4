package pick

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/gauge"
)

const (
	failingDaemons = 68
	failingServers = 29
	failingSlots   = 12
	failingFault   = 6 * time.Second
	failingStart   = 3 * time.Second
)

// failingFaults are the faults that servers have from failingStart on.
type failingFaults struct {
	name    string
	servers int     // that have the fault
	share   float64 // of their requests that they spoil
	refused bool    // instead of ended by the loss of the connection
}

// failingModel plays daemons that send about one request a second to each of the servers.
// Half of the requests are nested, and half can be repeated after a lost connection.
type failingModel struct {
	failingFaults
	hinted  bool
	now     pollenlatch.MonoTime
	seq     int
	events  simEvents
	rand    *rand.Rand
	servers []pollenlatch.Instance
	running []int
	failing []gauge.Failing
	pickers []*Picker
	budgets []*ServiceBudgets

	requests, failed, spoiled int   // failed: callers that get no response
	sent, late                []int // to each of the servers: during the fault, and in the third second after it
}

func (m *failingModel) Now() pollenlatch.MonoTime { return m.now }

func (m *failingModel) after(d time.Duration, f func()) {
	m.seq++
	heap.Push(&m.events, simEvent{m.now.Add(d), m.seq, f})
}

func (m *failingModel) wall() time.Time { return time.Unix(0, int64(m.now)) }

func (m *failingModel) elapsed() time.Duration { return m.now.Sub(pollenlatch.MonoTime(time.Hour)) }

func (m *failingModel) inFault() bool {
	return m.elapsed() >= failingStart && m.elapsed() < failingStart+failingFault
}

func playFailing(f failingFaults, hinted bool, seed uint64) *failingModel {
	m := &failingModel{
		failingFaults: f, hinted: hinted, now: pollenlatch.MonoTime(time.Hour), rand: rand.New(rand.NewPCG(seed, 3)),
		running: make([]int, failingServers), failing: make([]gauge.Failing, failingServers),
		sent: make([]int, failingServers), late: make([]int, failingServers),
	}
	for n := range failingServers {
		i := candidate(pollenlatch.InstanceID(n+1), dcOf(n))
		i.Endpoint.Slots = failingSlots
		m.servers = append(m.servers, i)
	}
	for n := range failingDaemons {
		m.pickers = append(m.pickers, New(Config{Clock: m, Seed: seed + uint64(n) + 1, Paced: func(string) bool { return true }}))
		m.budgets = append(m.budgets, &ServiceBudgets{Ratio: 0.1, Burst: 10})
	}
	m.arrive()
	for m.elapsed() < failingStart+failingFault+3*time.Second {
		e := heap.Pop(&m.events).(simEvent)
		m.now = e.at
		e.do()
	}
	return m
}

func (m *failingModel) arrive() {
	m.after(time.Duration(m.rand.ExpFloat64()*float64(time.Second)/(failingDaemons*failingServers)), func() {
		daemon := m.rand.IntN(failingDaemons)
		m.budgets[daemon].RecordRequest("catalogue")
		if m.inFault() {
			m.requests++
		}
		m.send(daemon, m.rand.IntN(2) == 0, m.rand.IntN(2) == 0, nil)
		m.arrive()
	})
}

func (m *failingModel) send(daemon int, nested, repeatable bool, tried pollenlatch.Set[pollenlatch.InstanceID]) {
	p := m.pickers[daemon]
	pick := p.Pick
	if nested {
		pick = p.PickMostRoom
	}
	i, done, _ := pick(m.servers, dcOf(daemon), tried)
	n, start, counted := int(i.ID)-1, m.now, m.inFault()
	if counted {
		m.sent[n]++
	}
	if m.elapsed() >= failingStart+failingFault+2*time.Second {
		m.late[n]++
	}
	const hop = 5 * time.Millisecond
	m.after(hop, func() {
		m.running[n]++
		bad := m.inFault() && n < m.failingFaults.servers && m.rand.Float64() < m.share
		run := time.Duration(m.rand.ExpFloat64() * float64(100*time.Millisecond))
		if bad {
			run = time.Millisecond
		}
		m.after(run, func() {
			m.running[n]--
			m.failing[n].Record(bad, m.wall())
			h := pollenlatch.ServerHint{Slots: failingSlots, FreeSlots: uint32(max(0, failingSlots-m.running[n]))}
			if m.hinted {
				h.Failing = m.failing[n].Percent(m.wall())
			}
			m.after(hop, func() {
				p.Observe(i.ID, h)
				took := m.now.Sub(start)
				switch {
				case !bad:
					done(pollenlatch.OutcomeRan, "", took)
					return
				case m.refused:
					done(pollenlatch.OutcomeNotRun, pollenlatch.ReasonQueueFull, took)
				default:
					done(pollenlatch.OutcomeUnknown, pollenlatch.ReasonConnectionLost, took)
				}
				if counted {
					m.spoiled++
				}
				if (m.refused || repeatable) && len(tried) < 2 && m.budgets[daemon].TakeRetry("catalogue") {
					m.send(daemon, nested, repeatable, tried.With(i.ID))
				} else if counted {
					m.failed++
				}
			})
		})
	})
}

// Guards against a server that breaks or refuses its requests and is found by each of the
// daemons on its own, at the cost of several requests each, and against the exclusion of
// servers when all of them fail alike.
func TestFailingServers(t *testing.T) {
	for _, f := range []failingFaults{
		{name: "three reset all", servers: 3, share: 1},
		{name: "three refuse 55%", servers: 3, share: 0.55, refused: true},
		{name: "all refuse 55%", servers: failingServers, share: 0.55, refused: true},
	} {
		t.Run(f.name, func(t *testing.T) {
			without, with := playFailing(f, false, 1), playFailing(f, true, 1)
			for _, m := range []*failingModel{without, with} {
				t.Logf("hinted %v: %d requests, %d spoiled, %d callers failed; to each server %d to %d, later %d to %d", m.hinted, m.requests, m.spoiled, m.failed,
					slices.Min(m.sent), slices.Max(m.sent), slices.Min(m.late), slices.Max(m.late))
			}
			require.Positive(t, slices.Min(with.sent), "its recovery must be seen")
			require.Greater(t, slices.Min(with.late), failingDaemons/2, "traffic must return after the fault")
			if f.servers == failingServers {
				require.LessOrEqual(t, with.spoiled, without.spoiled*102/100)
				require.LessOrEqual(t, with.failed, without.failed*102/100)
				require.Greater(t, slices.Min(with.sent), slices.Max(with.sent)/2, "no server may be excluded")
				return
			}
			require.Less(t, with.spoiled, without.spoiled*55/100)
			require.Less(t, with.failed, without.failed/2)
		})
	}
}

// Guards against servers that stay excluded once the others turn out to fail as well, and
// against more excluded servers than one in maxEjectedDivisor.
func TestEjectionsByHintAreLimited(t *testing.T) {
	p, c, all := newHintedPicker(t, 9, 0)
	ejected := func() (n int) {
		for _, e := range p.endpoints {
			if e.ejectedUntil > c.now {
				n++
			}
		}
		return n
	}
	observe := func(from, to int, failing uint32) {
		for _, i := range all[from:to] {
			p.Observe(i.ID, pollenlatch.ServerHint{Slots: 10, FreeSlots: 10, Failing: failing})
		}
	}
	observe(0, 1, 100)
	require.Zero(t, ejected(), "nothing is known of the other servers")
	observe(0, 9, 0)
	observe(0, 1, 49)
	require.Zero(t, ejected(), "most requests succeed")
	observe(0, 3, 50)
	require.Equal(t, 3, ejected())
	observe(3, 4, 100)
	require.Zero(t, ejected(), "too many fail")
	c.advance(hintAge)
	observe(1, 9, 0)
	observe(0, 1, 100)
	require.Equal(t, 1, ejected())
	c.advance(hintAge)
	require.Zero(t, ejected(), "the hint is old")
	require.Greater(t, p.endpoints[1].hint.attempts(c.now), 10.0)
	c.advance(hintAge)
	require.InDelta(t, 1, p.endpoints[1].hint.attempts(c.now), 1e-9)
}

func BenchmarkObserveFailing(b *testing.B) {
	p := New(Config{Seed: 1})
	all := candidates(200)
	_, done, _ := p.Pick(all, "a", nil)
	done(pollenlatch.OutcomeNotRun, pollenlatch.ReasonCancelled, 0)
	for n := 0; b.Loop(); n++ {
		p.Observe(all[n%3].ID, pollenlatch.ServerHint{Slots: 10, FreeSlots: 10, Failing: 100})
	}
}
