package trial

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"pollenlatch"
)

// Deployment is the shape of one user's service that is divided by key.
type Deployment struct {
	Name    string
	Service pollenlatch.Service
	DCs     []string // of its endpoints
	Slots   uint32   // of each endpoint
	Rate    float64  // requests a second
	Keys    int
	Most    string // the measure that it weighs most
}

// Board returns the listing service of the offcut exchange.
func Board() Deployment {
	return Deployment{
		Name: "board",
		Service: pollenlatch.Service{
			Name: "listing", Keyed: true, RangeBits: 9, MaxRun: 2 * time.Second,
			Weights: pollenlatch.Weights{Imbalance: 1, Churn: 1, Unavailable: 5},
		},
		DCs: []string{"howrah", "hooghly", "nadia", "bardhaman"}, Slots: 10, Rate: 2000, Keys: 20000, Most: Unavailable,
	}
}

// Cratehaul returns the catalogue service of the office mover.
func Cratehaul() Deployment {
	return Deployment{
		Name: "cratehaul",
		Service: pollenlatch.Service{
			Name: "catalogue", Keyed: true, RangeBits: 9, MaxRun: 2 * time.Second,
			Weights: pollenlatch.Weights{Imbalance: 1, Churn: 5, Unavailable: 1},
		},
		DCs: []string{"ikeja", "ikeja", "apapa", "apapa", "lekki"}, Slots: 10, Rate: 2500, Keys: 20000, Most: Churn,
	}
}

// Large returns a service of 100 endpoints in 8 data centres, towards the
// target size.
func Large() Deployment {
	d := Deployment{
		Name: "large",
		Service: pollenlatch.Service{
			Name: "large", Keyed: true, RangeBits: 13, MaxRun: 2 * time.Second,
			Weights: pollenlatch.Weights{Imbalance: 1, Churn: 1, Unavailable: 1},
		},
		Slots: 10, Rate: 100000, Keys: 200000, Most: Unavailable,
	}
	for i := range 100 {
		d.DCs = append(d.DCs, fmt.Sprintf("dc%d", i%8))
	}
	return d
}

// rollingMost bounds the endpoints that a rolling restart goes through.
const rollingMost = 10

// Trace is a sequence of events at seconds after its start.
type Trace struct {
	Name    string
	Seconds int
	Events  []Event
	Cold    bool // measured from the first assignment, not after the warm-up
}

// Event changes the world of a trial.
type Event struct {
	At float64 // seconds
	Do func(*Sim)
}

// Traces returns the traces for a deployment of n endpoints.
func Traces(n int) []Trace {
	rolling := Trace{Name: "rolling restart", Seconds: 60 + 20*min(n, rollingMost)}
	short := Trace{Name: "short rolling restart", Seconds: 60 + 20*min(n, rollingMost)}
	for i := range min(n, rollingMost) {
		id, at := pollenlatch.InstanceID(i+1), 20+20*float64(i)
		rolling.Events = append(rolling.Events, Event{at, func(s *Sim) { s.Restart(id, 5*time.Second) }})
		short.Events = append(short.Events, Event{at, func(s *Sim) { s.Restart(id, 500*time.Millisecond) }})
	}
	flap := Trace{Name: "flapping server", Seconds: 240}
	for i := range 8 {
		flap.Events = append(flap.Events, Event{20 + 20*float64(i), func(s *Sim) { s.Kill(s.victim, 8*time.Second) }})
	}
	shift := Trace{Name: "hot keys shift", Seconds: 300}
	for i := range 4 {
		shift.Events = append(shift.Events, Event{30 + 60*float64(i), func(s *Sim) { s.Shift() }})
	}
	return []Trace{
		{Name: "cold start", Seconds: 180, Cold: true},
		{Name: "steady", Seconds: 180},
		shift,
		rolling,
		short,
		{Name: "single loss", Seconds: 120, Events: []Event{{10, func(s *Sim) { s.Kill(s.victim, 0) }}}},
		{Name: "data centre lost", Seconds: 120, Events: []Event{{10, func(s *Sim) { s.KillDC(s.victim) }}}},
		{Name: "server added", Seconds: 120, Events: []Event{{10, func(s *Sim) { s.Add() }}}},
		flap,
		{Name: "lying reports", Seconds: 180, Events: []Event{
			{30, func(s *Sim) { s.Lie(s.victim, 5) }},
			{100, func(s *Sim) { s.Lie(s.victim, 0.1) }},
		}},
	}
}

// keyLoad is one key with its rate.
type keyLoad struct {
	key  string
	rng  pollenlatch.Range
	rate float64 // requests a second
}

// zipf is the exponent of the keys' rates, as in common key-value workloads.
const zipf = 0.99

// traffic is the true load of a trial.
type traffic struct {
	keys   []keyLoad // by rank; the first hot ones are tracked one by one
	hot    int
	ranges []float64 // rate without the hot keys
	count  []int     // keys by range
	total  float64
	rnd    *rand.Rand
}

func newTraffic(d Deployment, rnd *rand.Rand) *traffic {
	t := &traffic{keys: make([]keyLoad, d.Keys), hot: min(64, d.Keys), total: d.Rate, rnd: rnd}
	sum := 0.0
	for i := range t.keys {
		key := fmt.Sprintf("key-%d-%d", i, rnd.Uint32())
		t.keys[i] = keyLoad{key, pollenlatch.RangeOf(d.Service.Name, key, d.Service.RangeBits), math.Pow(float64(i+1), -zipf)}
		sum += t.keys[i].rate
	}
	for i := range t.keys {
		t.keys[i].rate *= d.Rate / sum
	}
	t.ranges = make([]float64, d.Service.NumRanges())
	t.count = make([]int, d.Service.NumRanges())
	t.fill()
	return t
}

// fill sums the cold keys by range.
func (t *traffic) fill() {
	clear(t.ranges)
	clear(t.count)
	for i, k := range t.keys {
		t.count[k.rng]++
		if i >= t.hot {
			t.ranges[k.rng] += k.rate
		}
	}
}

// shift gives the rates of the hottest 50 keys to others.
func (t *traffic) shift() {
	const hottest = 50
	for i := range min(hottest, len(t.keys)/2) {
		j := hottest + t.rnd.IntN(len(t.keys)-hottest)
		t.keys[i].rate, t.keys[j].rate = t.keys[j].rate, t.keys[i].rate
	}
	slices.SortFunc(t.keys, func(a, b keyLoad) int {
		if c := cmp.Compare(b.rate, a.rate); c != 0 {
			return c
		}
		return cmp.Compare(a.key, b.key)
	})
	t.fill()
}
