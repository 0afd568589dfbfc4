package admit

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pollenlatch"
)

// Simulation describes a simulated server under an open load.
type Simulation struct {
	Discipline      Discipline
	Seed            uint64
	Slots           int
	QueueLimit      int           // bound of the queue
	MeanServiceTime time.Duration // mean of the exponential service time
	Timeout         time.Duration // from arrival to the caller's deadline
	LoadFactor      float64       // arrivals as a multiple of the capacity
	UrgentShare     float64       // share of urgent requests, 0 to 1
	Duration        time.Duration // of the arrivals
}

// ClassResult is the result for one class.
type ClassResult struct {
	Arrived int
	Good    int // answered within the timeout
	Late    int // answered after it: wasted work
	Dropped int // not run

	P50, P99, P999 time.Duration // of the good answers, from arrival
	DropWaitP99    time.Duration // 99th percentile of the wait of what was dropped
}

// Goodput returns the share of the arrived requests that were answered in
// time.
func (r ClassResult) Goodput() float64 {
	if r.Arrived == 0 {
		return 0
	}
	return float64(r.Good) / float64(r.Arrived)
}

// job is a running request of a simulation.
type job struct {
	end   time.Time
	start time.Time // arrival
	class int
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
	rand    *rand.Rand
	queue   queue
	running jobs
	now     time.Time
	result  [classes]ClassResult
	times   [classes][]time.Duration // of good answers
	waits   [classes][]time.Duration // of what was dropped
}

// Simulate runs a simulation and returns the results by class. The same
// simulation gives the same results.
func Simulate(s Simulation) map[pollenlatch.Class]ClassResult {
	m := &simulator{Simulation: s, rand: rand.New(rand.NewPCG(s.Seed, 0))}
	m.queue.discipline = s.Discipline
	m.queue.end = func(it *item, _ verdict) { m.drop(it.class, min(m.now.Sub(it.since), s.Timeout)) }
	begin := time.Unix(0, 0)
	mean := float64(s.MeanServiceTime) / float64(s.Slots) / s.LoadFactor
	for now := begin; now.Sub(begin) < s.Duration; now = now.Add(m.exp(mean)) {
		m.advance(now)
		m.arrive(now)
	}
	for len(m.running) > 0 {
		m.advance(m.running[0].end)
	}
	out := map[pollenlatch.Class]ClassResult{}
	for c := range m.result {
		if r := m.summary(c); r.Arrived > 0 {
			out[pollenlatch.Class(c+1)] = r
		}
	}
	return out
}

func (m *simulator) exp(mean float64) time.Duration {
	return time.Duration(m.rand.ExpFloat64() * mean)
}

// advance ends what is finished by now, and starts what waited for a slot.
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

func (m *simulator) drop(class int, wait time.Duration) {
	m.result[class].Dropped++
	m.waits[class] = append(m.waits[class], wait)
}

func (m *simulator) finish(j job) {
	d := j.end.Sub(j.start)
	if d > m.Timeout {
		m.result[j.class].Late++
		return
	}
	m.result[j.class].Good++
	m.times[j.class] = append(m.times[j.class], d)
}

func (m *simulator) start(class int, arrived, now time.Time) {
	heap.Push(&m.running, job{end: now.Add(m.exp(float64(m.MeanServiceTime))), start: arrived, class: class})
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
		m.drop(class, 0)
	}
}

func (m *simulator) summary(c int) ClassResult {
	r := m.result[c]
	slices.Sort(m.times[c])
	slices.Sort(m.waits[c])
	r.P50, r.P99, r.P999 = quantile(m.times[c], 0.5), quantile(m.times[c], 0.99), quantile(m.times[c], 0.999)
	r.DropWaitP99 = quantile(m.waits[c], 0.99)
	return r
}

// quantile returns the smallest value that the share q of the sorted values
// does not exceed; 0 when there is none.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[max(0, int(math.Ceil(q*float64(len(sorted))))-1)]
}
