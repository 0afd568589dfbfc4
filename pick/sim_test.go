package pick

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// The simulation has two servers with ten slots in each of four data centres.
// Each has a local daemon, which receives requests and picks endpoints on its
// own.
const (
	simServers      = 8
	simDCs          = 4
	simSlots        = 10
	simQueue        = 100
	simRate         = 4800 // requests a second at all daemons; the capacity of the servers is 8000
	simRunTime      = 10 * time.Millisecond
	simOtherDCDelay = 500 * time.Microsecond // one way
	simSameDCDelay  = 50 * time.Microsecond
	simDeadline     = time.Second
)

// faultTimes is the length of a simulation, and the start and end of the fault
// of server 0.
type faultTimes struct{ length, from, to pollenlatch.MonoTime }

var (
	longRun  = faultTimes{pollenlatch.MonoTime(20 * time.Second), pollenlatch.MonoTime(5 * time.Second), pollenlatch.MonoTime(15 * time.Second)}
	shortRun = faultTimes{pollenlatch.MonoTime(5 * time.Second), pollenlatch.MonoTime(time.Second), pollenlatch.MonoTime(4 * time.Second)}
)

type scenario struct {
	name         string
	reportDelay  time.Duration // delay of load reports
	falseReports bool          // server 0 reports no load
	cold         bool          // server 0 starts with the fault, ten times slower, and warms up until the end of the fault
	fastErrors   bool          // server 0 responds with errors at once during the fault
	frozen       bool          // server 0 completes no request during the fault
	slow         bool          // server 0 is four times slower
	crowded      bool          // half of all requests arrive in one data centre
}

var scenarios = []scenario{
	{name: "steady", reportDelay: 100 * time.Millisecond},
	{name: "lagging reports", reportDelay: 2 * time.Second},
	{name: "lying report", reportDelay: 100 * time.Millisecond, falseReports: true},
	{name: "cold server", reportDelay: 100 * time.Millisecond, cold: true},
	{name: "fast errors", reportDelay: 100 * time.Millisecond, fastErrors: true},
	{name: "frozen server", reportDelay: 100 * time.Millisecond, frozen: true},
	{name: "slow server", reportDelay: 100 * time.Millisecond, slow: true},
	{name: "crowded data centre", reportDelay: 100 * time.Millisecond, crowded: true},
}

// strategies are the compared estimators. Picker uses the last one.
var strategies = []struct {
	name      string
	estimator func(s *sim) estimator
}{
	{"random", func(*sim) estimator {
		return func(*endpoint, pollenlatch.MonoTime) (float64, float64) { return 1, 0 }
	}},
	{"in flight", func(*sim) estimator {
		return func(e *endpoint, _ pollenlatch.MonoTime) (float64, float64) { return 1, float64(e.inflight) }
	}},
	{"report", func(s *sim) estimator {
		return func(e *endpoint, _ pollenlatch.MonoTime) (float64, float64) {
			return 1, float64(s.servers[e.instance.ID-1].reported)
		}
	}},
	{"latency", func(*sim) estimator { return (*endpoint).estimate }},
}

type simEvent struct {
	at  pollenlatch.MonoTime
	seq int
	do  func()
}

type simEvents []simEvent

func (h simEvents) Len() int { return len(h) }
func (h simEvents) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].seq < h[j].seq)
}
func (h simEvents) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *simEvents) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *simEvents) Pop() any {
	o := *h
	x := o[len(o)-1]
	*h = o[:len(o)-1]
	return x
}

type simServer struct {
	id       int
	running  int
	waiting  []func()
	reported int
	runs     int
}

type sim struct {
	scenario
	faultTimes
	instances []pollenlatch.Instance
	now       pollenlatch.MonoTime
	seq       int
	events    simEvents
	rand      *rand.Rand
	servers   []*simServer
	pickers   []*Picker

	total, failed, otherDC int
	faulty                 int // requests to server 0 during its fault
	latencies              []float64
}

// Now implements pollenlatch.Clock, so that the simulation is the clock of the
// pickers.
func (s *sim) Now() pollenlatch.MonoTime { return s.now }

func (s *sim) after(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.seq, f})
}

func simulate(sc scenario, times faultTimes, seed uint64, strategy int) *sim {
	s := &sim{scenario: sc, faultTimes: times, rand: rand.New(rand.NewPCG(seed, 2))}
	for i := range simServers {
		s.instances = append(s.instances, pollenlatch.Instance{
			ID: pollenlatch.InstanceID(i + 1), DC: dcOf(i), Lease: 1,
			Endpoint: &pollenlatch.Endpoint{Service: "catalogue", Slots: simSlots, Ready: true},
		})
		s.servers = append(s.servers, &simServer{id: i})
		p := New(Config{Clock: s, Seed: seed + uint64(i) + 1})
		p.estimate = strategies[strategy].estimator(s)
		s.pickers = append(s.pickers, p)
	}
	s.scheduleRequests()
	s.scheduleReports()
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at > s.length {
			break
		}
		s.now = e.at
		e.do()
	}
	return s
}

func (s *sim) scheduleRequests() {
	s.after(time.Duration(s.rand.ExpFloat64()/simRate*1e9), func() {
		s.send()
		s.scheduleRequests()
	})
}

func (s *sim) scheduleReports() {
	s.after(100*time.Millisecond, func() {
		for _, v := range s.servers {
			load := v.running + len(v.waiting)
			if s.falseReports && v.id == 0 {
				load = 0
			}
			s.after(s.reportDelay, func() { v.reported = load })
		}
		s.scheduleReports()
	})
}

func (s *sim) inFault() bool { return s.now >= s.from && s.now < s.to }

func dcOf(server int) string { return string(rune('a' + server%simDCs)) }

func (s *sim) send() {
	entry := s.rand.IntN(simServers)
	if s.crowded && s.rand.IntN(3) == 0 {
		entry = s.rand.IntN(2) * simDCs // in data centre 0
	}
	all := s.instances
	if s.cold && s.now < s.from {
		all = all[1:]
	}
	i, done, ok := s.pickers[entry].Pick(all, dcOf(entry), nil)
	if !ok {
		panic("no endpoint was picked")
	}
	v := s.servers[i.ID-1]
	start, delay := s.now, simSameDCDelay
	if dcOf(v.id) != dcOf(entry) {
		delay = simOtherDCDelay
		s.otherDC++
	}
	s.total++
	if v.id == 0 && s.inFault() {
		s.faulty++
	}
	ended := false
	end := func(o pollenlatch.Outcome, r pollenlatch.Reason) {
		if ended {
			return
		}
		ended = true
		done(o, r, s.now.Sub(start))
		if o != pollenlatch.OutcomeRan || r != "" {
			s.failed++
			return
		}
		s.latencies = append(s.latencies, s.now.Sub(start).Seconds()*1e3)
	}
	s.after(simDeadline, func() { end(pollenlatch.OutcomeUnknown, pollenlatch.ReasonDeadlineExceeded) })
	s.after(delay, func() {
		s.handle(v, func() bool { return ended }, func(o pollenlatch.Outcome, r pollenlatch.Reason) {
			s.after(delay, func() { end(o, r) })
		})
	})
}

// handle lets a server run, queue or refuse a request.
func (s *sim) handle(v *simServer, cancelled func() bool, respond func(pollenlatch.Outcome, pollenlatch.Reason)) {
	switch {
	case s.fastErrors && v.id == 0 && s.inFault():
		s.after(200*time.Microsecond, func() { respond(pollenlatch.OutcomeRan, pollenlatch.ReasonServerError) })
		return
	case v.running < simSlots:
	case len(v.waiting) < simQueue:
		v.waiting = append(v.waiting, func() {
			if !cancelled() {
				s.start(v, respond)
			}
		})
		return
	default:
		respond(pollenlatch.OutcomeNotRun, pollenlatch.ReasonQueueFull)
		return
	}
	s.start(v, respond)
}

func (s *sim) start(v *simServer, respond func(pollenlatch.Outcome, pollenlatch.Reason)) {
	v.running++
	v.runs++
	d := time.Duration(s.rand.ExpFloat64() * float64(simRunTime))
	switch {
	case v.id != 0:
	case s.slow:
		d *= 4
	case s.cold && s.inFault():
		d = time.Duration(float64(d) * (1 + 9*s.to.Sub(s.now).Seconds()/s.to.Sub(s.from).Seconds()))
	case s.frozen && s.inFault():
		d += s.to.Sub(s.now)
	}
	s.after(d, func() {
		v.running--
		respond(pollenlatch.OutcomeRan, "")
		for len(v.waiting) > 0 && v.running < simSlots {
			next := v.waiting[0]
			v.waiting = v.waiting[1:]
			next()
		}
	})
}

// simResults are the results of one or more simulations.
type simResults struct {
	failed, otherDC, faulty float64 // shares, in percent
	p50, p99                float64 // ms, of successful requests
}

func measure(sc scenario, times faultTimes, strategy int, seeds ...uint64) simResults {
	var res simResults
	var latencies []float64
	for _, seed := range seeds {
		s := simulate(sc, times, seed, strategy)
		n := float64(s.total) * float64(len(seeds)) / 100
		res.failed += float64(s.failed) / n
		res.otherDC += float64(s.otherDC) / n
		res.faulty += float64(s.faulty) / n
		latencies = append(latencies, s.latencies...)
	}
	slices.Sort(latencies)
	at := func(q float64) float64 { return latencies[int(math.Ceil(q*float64(len(latencies))))-1] }
	res.p50, res.p99 = at(0.5), at(0.99)
	return res
}

// BenchmarkStrategies reports the table in docs/pick.md.
func BenchmarkStrategies(b *testing.B) {
	for _, sc := range scenarios {
		for i, st := range strategies {
			b.Run(sc.name+"/"+st.name, func(b *testing.B) {
				var f simResults
				for b.Loop() {
					f = measure(sc, longRun, i, 1, 2, 3)
				}
				b.ReportMetric(f.failed, "%bad")
				b.ReportMetric(f.otherDC, "%far")
				b.ReportMetric(f.faulty, "%faulty")
				b.ReportMetric(f.p50, "p50-ms")
				b.ReportMetric(f.p99, "p99-ms")
			})
		}
	}
}

// Guards the choice of the latency strategy: with a slow or new server it must
// harm fewer requests than the strategy by requests in flight.
func TestLatencyBeatsInFlight(t *testing.T) {
	const inFlight, latency = 1, 3
	for _, sc := range scenarios {
		if !sc.cold && !sc.slow {
			continue
		}
		t.Run(sc.name, func(t *testing.T) {
			old, kept := measure(sc, shortRun, inFlight, 1), measure(sc, shortRun, latency, 1)
			require.Less(t, kept.p99, old.p99)
			require.Less(t, kept.faulty, old.faulty)
			require.LessOrEqual(t, kept.failed, old.failed)
		})
	}
}

// A fault of one server must not fail requests that other servers could run,
// and excess requests must not stay in a data centre that cannot serve them.
func TestLatencyContainsFaults(t *testing.T) {
	const random, latency = 0, 3
	for _, sc := range scenarios {
		if !sc.fastErrors && !sc.frozen && !sc.crowded {
			continue
		}
		t.Run(sc.name, func(t *testing.T) {
			base, kept := measure(sc, longRun, random, 1), measure(sc, longRun, latency, 1)
			require.Less(t, kept.failed, base.failed/10)
			require.Less(t, kept.p99, base.p99)
		})
	}
}
