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

// Deployment describes a keyed service of one user.
type Deployment struct {
	Name            string
	Service         pollenlatch.Service
	DCs             []string // data centre of each endpoint
	Slots           uint32   // of each endpoint
	Rate            float64  // requests per second
	Keys            int      // number of keys
	HeaviestMeasure string   // the measure with the most weight
}

// Board returns the listing service of the offcut exchange.
func Board() Deployment {
	return Deployment{
		Name: "board",
		Service: pollenlatch.Service{
			Name: "listing", Keyed: true, RangeBits: 9, MaxRun: 2 * time.Second,
			Weights: pollenlatch.Weights{Imbalance: 1, Churn: 1, Unavailable: 5},
		},
		DCs: []string{"howrah", "hooghly", "nadia", "bardhaman"}, Slots: 10, Rate: 2000, Keys: 20000, HeaviestMeasure: Unavailable,
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
		DCs: []string{"ikeja", "ikeja", "apapa", "apapa", "lekki"}, Slots: 10, Rate: 2500, Keys: 20000, HeaviestMeasure: Churn,
	}
}

// Large returns a service with 100 endpoints in 8 data centres. It is closer to the
// target size than the users' deployments.
func Large() Deployment {
	d := Deployment{
		Name: "large",
		Service: pollenlatch.Service{
			Name: "large", Keyed: true, RangeBits: 13, MaxRun: 2 * time.Second,
			Weights: pollenlatch.Weights{Imbalance: 1, Churn: 1, Unavailable: 1},
		},
		Slots: 10, Rate: 100000, Keys: 200000, HeaviestMeasure: Unavailable,
	}
	for i := range 100 {
		d.DCs = append(d.DCs, fmt.Sprintf("dc%d", i%8))
	}
	return d
}

// maxRollingRestarts limits the endpoints that are restarted in a rolling restart.
const maxRollingRestarts = 10

// Trace is a sequence of events in a simulation.
type Trace struct {
	Name            string
	DurationSeconds int
	Events          []Event
	ColdStart       bool // measure from the first assignment on, without warm-up
}

// Event is a change during a simulation.
type Event struct {
	AtSeconds float64 // after the start of the measurement
	Do        func(*Sim)
}

// Traces returns the traces for a deployment of n endpoints.
func Traces(n int) []Trace {
	rolling := Trace{Name: "rolling restart", DurationSeconds: 60 + 20*min(n, maxRollingRestarts)}
	short := Trace{Name: "short rolling restart", DurationSeconds: 60 + 20*min(n, maxRollingRestarts)}
	for i := range min(n, maxRollingRestarts) {
		id, at := pollenlatch.InstanceID(i+1), 20+20*float64(i)
		rolling.Events = append(rolling.Events, Event{at, func(s *Sim) { s.Restart(id, 5*time.Second) }})
		short.Events = append(short.Events, Event{at, func(s *Sim) { s.Restart(id, 500*time.Millisecond) }})
	}
	flap := Trace{Name: "flapping server", DurationSeconds: 240}
	for i := range 8 {
		flap.Events = append(flap.Events, Event{20 + 20*float64(i), func(s *Sim) { s.Kill(s.victim, 8*time.Second) }})
	}
	shift := Trace{Name: "hot keys shift", DurationSeconds: 300}
	for i := range 4 {
		shift.Events = append(shift.Events, Event{30 + 60*float64(i), func(s *Sim) { s.ShiftHotKeys() }})
	}
	return []Trace{
		{Name: "cold start", DurationSeconds: 180, ColdStart: true},
		{Name: "steady", DurationSeconds: 180},
		shift,
		rolling,
		short,
		{Name: "single loss", DurationSeconds: 120, Events: []Event{{10, func(s *Sim) { s.Kill(s.victim, 0) }}}},
		{Name: "data centre lost", DurationSeconds: 120, Events: []Event{{10, func(s *Sim) { s.KillDC(s.victim) }}}},
		{Name: "server added", DurationSeconds: 120, Events: []Event{{10, func(s *Sim) { s.AddInstance() }}}},
		flap,
		{Name: "lying reports", DurationSeconds: 180, Events: []Event{
			{30, func(s *Sim) { s.ScaleReports(s.victim, 5) }},
			{100, func(s *Sim) { s.ScaleReports(s.victim, 0.1) }},
		}},
	}
}

// keyLoad is the true load of one key.
type keyLoad struct {
	key      string
	keyRange pollenlatch.Range
	rate     float64 // requests per second
}

// zipfExponent is the exponent of the Zipf distribution of the keys' rates. Its
// value is typical of key-value workloads.
const zipfExponent = 0.99

// keyTraffic is the true load of a simulation.
type keyTraffic struct {
	keys      []keyLoad // in descending order of their rates
	hotCount  int       // number of hot keys, which are the first of keys
	coldRates []float64 // rate of each range without its hot keys
	keyCounts []int     // number of keys of each range
	totalRate float64
	rnd       *rand.Rand
}

func newKeyTraffic(d Deployment, rnd *rand.Rand) *keyTraffic {
	t := &keyTraffic{keys: make([]keyLoad, d.Keys), hotCount: min(64, d.Keys), totalRate: d.Rate, rnd: rnd}
	sum := 0.0
	for i := range t.keys {
		key := fmt.Sprintf("key-%d-%d", i, rnd.Uint32())
		t.keys[i] = keyLoad{key, pollenlatch.RangeOf(d.Service.Name, key, d.Service.RangeBits), math.Pow(float64(i+1), -zipfExponent)}
		sum += t.keys[i].rate
	}
	for i := range t.keys {
		t.keys[i].rate *= d.Rate / sum
	}
	t.coldRates = make([]float64, d.Service.NumRanges())
	t.keyCounts = make([]int, d.Service.NumRanges())
	t.sumByRange()
	return t
}

// sumByRange computes coldRates and keyCounts from keys.
func (t *keyTraffic) sumByRange() {
	clear(t.coldRates)
	clear(t.keyCounts)
	for i, k := range t.keys {
		t.keyCounts[k.keyRange]++
		if i >= t.hotCount {
			t.coldRates[k.keyRange] += k.rate
		}
	}
}

// swapHottest swaps the rates of the 50 hottest keys with those of random others.
func (t *keyTraffic) swapHottest() {
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
	t.sumByRange()
}
