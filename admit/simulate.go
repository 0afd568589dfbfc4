package admit

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pollenlatch"
)

// Simulation describes a simulated server with open-loop arrivals.
type Simulation struct {
	Discipline      Discipline
	Seed            uint64
	Slots           int
	QueueLimit      int           // maximum length of the queue
	MeanServiceTime time.Duration // service times are exponentially distributed
	Timeout         time.Duration // from arrival to the caller's deadline
	LoadFactor      float64       // arrivals as a multiple of the capacity
	UrgentShare     float64       // share of urgent requests, 0 to 1
	Duration        time.Duration // time during which requests arrive
}

// ClassResult is the result of a simulation for one class.
type ClassResult struct {
	Arrived int
	Good    int // completed within the timeout
	Late    int // completed after the timeout: wasted work
	Dropped int // not run

	P50, P99, P999 time.Duration // latency of good requests, from arrival
	DropWaitP99    time.Duration // 99th percentile of the wait of dropped requests
}

// Goodput returns the share of the arrived requests that were completed within the
// timeout.
func (r ClassResult) Goodput() float64 {
	if r.Arrived == 0 {
		return 0
	}
	return float64(r.Good) / float64(r.Arrived)
}

// job is a running request of a simulation.
type job struct {
	end     time.Time
	arrival time.Time
	class   int
}

type jobs []job

func (h jobs) Len() int           { return len(h) }
func (h jobs) Less(i, j int) bool { return h[i].end.Before(h[j].end) }
func (h jobs) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *jobs) Push(v any)        { *h = append(*h, v.(job)) }
func (h *jobs) Pop() any {
	old := *h
	v := old[len(old)-1]
	*h = old[:len(old)-1]
	return v
}

type simulator struct {
	Simulation
	rand      *rand.Rand
	queue     queue
	running   jobs
	now       time.Time
	result    [numClasses]ClassResult
	latencies [numClasses][]time.Duration // of good requests
	dropWaits [numClasses][]time.Duration // of dropped requests
}

// Simulate runs a simulation and returns the results by class. It is deterministic.
func Simulate(s Simulation) map[pollenlatch.Class]ClassResult {
	m := &simulator{Simulation: s, rand: rand.New(rand.NewPCG(s.Seed, 0))}
	m.queue.discipline = s.Discipline
	m.queue.onEvict = func(it *item, _ decision) { m.recordDrop(it.class, min(m.now.Sub(it.enqueuedAt), s.Timeout)) }
	begin := time.Unix(0, 0)
	mean := float64(s.MeanServiceTime) / float64(s.Slots) / s.LoadFactor
	for now := begin; now.Sub(begin) < s.Duration; now = now.Add(m.exponential(mean)) {
		m.advance(now)
		m.arrive(now)
	}
	for len(m.running) > 0 {
		m.advance(m.running[0].end)
	}
	out := map[pollenlatch.Class]ClassResult{}
	for c := range m.result {
		if r := m.summarise(c); r.Arrived > 0 {
			out[pollenlatch.Class(c+1)] = r
		}
	}
	return out
}

func (m *simulator) exponential(mean float64) time.Duration {
	return time.Duration(m.rand.ExpFloat64() * mean)
}

// advance finishes the jobs that end by now, and starts queued requests.
func (m *simulator) advance(now time.Time) {
	for len(m.running) > 0 && !m.running[0].end.After(now) {
		j := heap.Pop(&m.running).(job)
		m.now = j.end
		m.finish(j)
		if it := m.queue.pop(j.end); it != nil {
			m.start(it.class, it.deadline.Add(-m.Timeout), j.end)
		}
	}
}

func (m *simulator) recordDrop(class int, wait time.Duration) {
	m.result[class].Dropped++
	m.dropWaits[class] = append(m.dropWaits[class], wait)
}

func (m *simulator) finish(j job) {
	d := j.end.Sub(j.arrival)
	if d > m.Timeout {
		m.result[j.class].Late++
		return
	}
	m.result[j.class].Good++
	m.latencies[j.class] = append(m.latencies[j.class], d)
}

func (m *simulator) start(class int, arrived, now time.Time) {
	heap.Push(&m.running, job{end: now.Add(m.exponential(float64(m.MeanServiceTime))), arrival: arrived, class: class})
}

func (m *simulator) arrive(now time.Time) {
	m.now = now
	class := classIndex(pollenlatch.ClassRoutine)
	if m.rand.Float64() < m.UrgentShare {
		class = classIndex(pollenlatch.ClassUrgent)
	}
	m.result[class].Arrived++
	if len(m.running) < m.Slots {
		m.start(class, now, now)
		return
	}
	it := &item{class: class, deadline: now.Add(m.Timeout)}
	if !m.queue.push(it, m.QueueLimit, now) {
		m.recordDrop(class, 0)
	}
}

func (m *simulator) summarise(c int) ClassResult {
	r := m.result[c]
	slices.Sort(m.latencies[c])
	slices.Sort(m.dropWaits[c])
	r.P50, r.P99, r.P999 = quantile(m.latencies[c], 0.5), quantile(m.latencies[c], 0.99), quantile(m.latencies[c], 0.999)
	r.DropWaitP99 = quantile(m.dropWaits[c], 0.99)
	return r
}

// quantile returns the smallest of the sorted values that a share q of them does not
// exceed, or 0 when there are none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[max(0, int(math.Ceil(q*float64(len(sorted))))-1)]
}
