package trial

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"
)

// Network is the delays of heartbeats between two data centres.
type Network struct {
	Name   string
	OneWay time.Duration
	Jitter time.Duration // mean of the exponential part of the delay
	Loss   float64       // share of heartbeats that are sent again
	Resend time.Duration // delay of such a heartbeat, and of those behind it
	Pause  float64       // pauses of the sender in an hour
	Longer time.Duration // median pause; the pauses are log-normal
	Busy   float64       // share of time with tenfold jitter
}

// Networks returns the delays of both deployments. The one-way times are the
// users'; loss, pauses and busy times are assumed.
func Networks() []Network {
	n := Network{
		Jitter: 300 * time.Microsecond, Loss: 1e-4, Resend: 200 * time.Millisecond,
		Pause: 20, Longer: 60 * time.Millisecond, Busy: 0.1,
	}
	board, cratehaul := n, n
	board.Name, board.OneWay = "board", 500*time.Microsecond
	cratehaul.Name, cratehaul.OneWay, cratehaul.Jitter = "cratehaul", 1500*time.Microsecond, time.Millisecond
	return []Network{board, cratehaul}
}

const (
	heartbeat    = 100 * time.Millisecond
	traceHours   = 24
	busyFor      = 10 * time.Minute // mean length of a busy time
	pauseSpread  = 0.8              // sigma of the log of pauses
	busyJitter   = 10
	historySize  = 1000 // intervals that an accrual detector remembers
	historyBin   = time.Millisecond
	historyBins  = 2000
	crashesEvery = 50 // heartbeats between two samples of the time to suspect
)

// arrivals returns the times at which heartbeats arrive, in order, as over a
// connection that keeps the order.
func (n Network) arrivals(rnd *rand.Rand) []time.Duration {
	count := int(traceHours * time.Hour / heartbeat)
	list := make([]time.Duration, 0, count)
	last, late := time.Duration(0), time.Duration(0)
	busy := false
	flip := float64(heartbeat) / float64(busyFor)
	for i := range count {
		if busy && rnd.Float64() < flip {
			busy = false
		} else if !busy && rnd.Float64() < flip*n.Busy/(1-n.Busy) {
			busy = true
		}
		sent := time.Duration(i) * heartbeat
		if rnd.Float64() < n.Pause*heartbeat.Hours() {
			late = sent + time.Duration(float64(n.Longer)*math.Exp(pauseSpread*rnd.NormFloat64()))
		}
		jitter := rnd.ExpFloat64() * float64(n.Jitter)
		if busy {
			jitter *= busyJitter
		}
		at := max(sent, late) + n.OneWay + time.Duration(jitter)
		if rnd.Float64() < n.Loss {
			at += n.Resend
		}
		last = max(last, at)
		list = append(list, last)
	}
	return list
}

// history estimates the distribution of past intervals by a histogram.
type history struct {
	bins [historyBins]int
	ring []int // bins of the remembered intervals
	next int
}

func (h *history) add(d time.Duration) {
	b := min(int(d/historyBin), historyBins-1)
	if len(h.ring) < historySize {
		h.ring = append(h.ring, b)
	} else {
		h.bins[h.ring[h.next]]--
		h.ring[h.next] = b
		h.next = (h.next + 1) % historySize
	}
	h.bins[b]++
}

// timeout returns the time after which the share of past intervals that were
// shorter, the suspicion level, reaches a threshold. ok is false before the
// history is full.
func (h *history) timeout(level float64) (d time.Duration, ok bool) {
	if len(h.ring) < historySize {
		return 0, false
	}
	need := int(math.Ceil(level * historySize))
	sum := 0
	for b, n := range h.bins {
		if sum += n; sum >= need {
			return time.Duration(b+1) * historyBin, true
		}
	}
	return historyBins * historyBin, true
}

// Detection is how one detector did on one network.
type Detection struct {
	Network  string
	Detector string
	False    float64       // suspicions of a living sender in an hour
	Suspect  time.Duration // mean time from a crash to its suspicion
	Slowest  time.Duration // longest such time
}

// judge runs a detector whose timeout after each heartbeat is given.
func judge(arrivals []time.Duration, timeout func(i int) (time.Duration, bool)) Detection {
	var d Detection
	var sum time.Duration
	samples, judged := 0, 0
	for i := 0; i+1 < len(arrivals); i++ {
		t, ok := timeout(i)
		if !ok {
			continue
		}
		judged++
		if arrivals[i+1]-arrivals[i] > t {
			d.False++
		}
		if i%crashesEvery == 0 {
			// The sender crashes half an interval after it sent heartbeat i.
			crash := time.Duration(i)*heartbeat + heartbeat/2
			wait := arrivals[i] + t - crash
			sum += wait
			d.Slowest = max(d.Slowest, wait)
			samples++
		}
	}
	d.False /= (time.Duration(judged) * heartbeat).Hours()
	d.Suspect = sum / time.Duration(samples)
	return d
}

// Detectors compares an accrual failure detector with fixed timeouts of the
// same mean time to suspect, on seeds 1 to n.
func Detectors(n int) []Detection {
	var all []Detection
	for _, net := range Networks() {
		for _, level := range []float64{0.99, 0.999, 1} {
			for _, margin := range []float64{1, 1.5, 2, 3} {
				all = append(all, compare(net, level, margin, n)...)
			}
		}
		for _, t := range []time.Duration{150, 200, 300, 400, 600} {
			t *= time.Millisecond
			var f Detection
			for seed := range n {
				a := net.arrivals(rand.New(rand.NewPCG(uint64(seed+1), 7)))
				f = f.plus(judge(a, func(int) (time.Duration, bool) { return t, true }), n)
			}
			f.Network, f.Detector = net.Name, fmt.Sprintf("fixed %v", t)
			all = append(all, f)
		}
	}
	return all
}

// compare returns the accrual detector and the fixed timeout that suspects
// after the same mean time.
func compare(net Network, level, margin float64, n int) []Detection {
	var accrual, fixed Detection
	for seed := range n {
		a := net.arrivals(rand.New(rand.NewPCG(uint64(seed+1), 7)))
		var h history
		var sum time.Duration
		known := 0
		got := judge(a, func(i int) (time.Duration, bool) {
			if i > 0 {
				h.add(a[i] - a[i-1])
			}
			t, ok := h.timeout(level)
			t = time.Duration(float64(t) * margin)
			if ok {
				sum += t
				known++
			}
			return t, ok
		})
		same := sum / time.Duration(known)
		accrual = accrual.plus(got, n)
		fixed = fixed.plus(judge(a, func(i int) (time.Duration, bool) { return same, i >= historySize }), n)
	}
	accrual.Network, fixed.Network = net.Name, net.Name
	accrual.Detector = fmt.Sprintf("accrual %g x %g", level, margin)
	fixed.Detector = "fixed, same time"
	return []Detection{accrual, fixed}
}

// plus adds one of n runs to a mean.
func (d Detection) plus(o Detection, n int) Detection {
	d.False += o.False / float64(n)
	d.Suspect += o.Suspect / time.Duration(n)
	d.Slowest = max(d.Slowest, o.Slowest)
	return d
}

// WriteDetectors writes the comparison as a table in Markdown.
func WriteDetectors(w io.Writer, all []Detection) error {
	if _, err := fmt.Fprint(w, "| network | detector | false suspicions/h | mean ms to suspect | longest ms |\n|---|---|---|---|---|\n"); err != nil {
		return fmt.Errorf("writing the detectors' table: %w", err)
	}
	for _, d := range all {
		if _, err := fmt.Fprintf(w, "| %s | %s | %.2f | %.0f | %.0f |\n", d.Network, d.Detector, d.False,
			float64(d.Suspect)/float64(time.Millisecond), float64(d.Slowest)/float64(time.Millisecond)); err != nil {
			return fmt.Errorf("writing the detectors' table: %w", err)
		}
	}
	return nil
}
