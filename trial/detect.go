package trial

import (
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"time"
)

// Network models the delays of heartbeats between two data centres.
type Network struct {
	Name          string
	OneWayDelay   time.Duration // without jitter
	MeanJitter    time.Duration // jitter is distributed exponentially
	LossRate      float64       // share of heartbeats that are lost and sent again
	ResendDelay   time.Duration // additional delay of such a heartbeat, which also delays those behind it
	PausesPerHour float64       // of the sender
	MedianPause   time.Duration // pauses are distributed log-normally
	BusyShare     float64       // share of time with busyJitterFactor times the jitter
}

// Networks returns the networks of both users' deployments. The one-way delays are
// the users'; jitter, loss, pauses and busy times are assumed.
func Networks() []Network {
	n := Network{
		MeanJitter: 300 * time.Microsecond, LossRate: 1e-4, ResendDelay: 200 * time.Millisecond,
		PausesPerHour: 20, MedianPause: 60 * time.Millisecond, BusyShare: 0.1,
	}
	board, cratehaul := n, n
	board.Name, board.OneWayDelay = "board", 500*time.Microsecond
	cratehaul.Name, cratehaul.OneWayDelay, cratehaul.MeanJitter = "cratehaul", 1500*time.Microsecond, time.Millisecond
	return []Network{board, cratehaul}
}

const (
	heartbeatInterval  = 100 * time.Millisecond
	traceHours         = 24
	meanBusyTime       = 10 * time.Minute // mean length of a period with more jitter
	pauseSigma         = 0.8              // standard deviation of the logarithm of pauses
	busyJitterFactor   = 10
	historySize        = 1000 // number of intervals that an accrual detector keeps
	binWidth           = time.Millisecond
	binCount           = 2000
	heartbeatsPerCrash = 50 // heartbeats between two samples of the detection time
)

// arrivals returns the times at which the heartbeats arrive over a connection that
// keeps their order.
func (n Network) arrivals(rnd *rand.Rand) []time.Duration {
	count := int(traceHours * time.Hour / heartbeatInterval)
	arrivals := make([]time.Duration, 0, count)
	last, resumeAt := time.Duration(0), time.Duration(0)
	busy := false
	busyEndProbability := float64(heartbeatInterval) / float64(meanBusyTime)
	for i := range count {
		if busy && rnd.Float64() < busyEndProbability {
			busy = false
		} else if !busy && rnd.Float64() < busyEndProbability*n.BusyShare/(1-n.BusyShare) {
			busy = true
		}
		sent := time.Duration(i) * heartbeatInterval
		if rnd.Float64() < n.PausesPerHour*heartbeatInterval.Hours() {
			resumeAt = sent + time.Duration(float64(n.MedianPause)*math.Exp(pauseSigma*rnd.NormFloat64()))
		}
		jitter := rnd.ExpFloat64() * float64(n.MeanJitter)
		if busy {
			jitter *= busyJitterFactor
		}
		arrival := max(sent, resumeAt) + n.OneWayDelay + time.Duration(jitter)
		if rnd.Float64() < n.LossRate {
			arrival += n.ResendDelay
		}
		last = max(last, arrival)
		arrivals = append(arrivals, last)
	}
	return arrivals
}

// history is a histogram of the latest intervals between heartbeats.
type history struct {
	bins       [binCount]int
	recentBins []int // ring buffer of the bins of the latest intervals
	oldest     int   // index of the oldest bin in recentBins once that is full
}

func (h *history) add(d time.Duration) {
	b := min(int(d/binWidth), binCount-1)
	if len(h.recentBins) < historySize {
		h.recentBins = append(h.recentBins, b)
	} else {
		h.bins[h.recentBins[h.oldest]]--
		h.recentBins[h.oldest] = b
		h.oldest = (h.oldest + 1) % historySize
	}
	h.bins[b]++
}

// timeout returns the time since the last heartbeat at which the suspicion level,
// the share of past intervals that were shorter, reaches level. ok is false until
// the history is full.
func (h *history) timeout(level float64) (d time.Duration, ok bool) {
	if len(h.recentBins) < historySize {
		return 0, false
	}
	wantCount := int(math.Ceil(level * historySize))
	sum := 0
	for b, n := range h.bins {
		if sum += n; sum >= wantCount {
			return time.Duration(b+1) * binWidth, true
		}
	}
	return binCount * binWidth, true
}

// DetectorResult contains the measures of one detector on one network.
type DetectorResult struct {
	Network           string
	Detector          string
	FalsePerHour      float64       // suspicions per hour of a sender that is alive
	MeanDetectionTime time.Duration // from a crash to its suspicion
	MaxDetectionTime  time.Duration
}

// evaluate measures a detector. timeout returns its timeout after heartbeat i, or
// false while the detector has too little data.
func evaluate(arrivals []time.Duration, timeout func(i int) (time.Duration, bool)) DetectorResult {
	var d DetectorResult
	var sum time.Duration
	samples, evaluated := 0, 0
	for i := 0; i+1 < len(arrivals); i++ {
		t, ok := timeout(i)
		if !ok {
			continue
		}
		evaluated++
		if arrivals[i+1]-arrivals[i] > t {
			d.FalsePerHour++
		}
		if i%heartbeatsPerCrash == 0 {
			// The sender crashes half an interval after it sent heartbeat i.
			crash := time.Duration(i)*heartbeatInterval + heartbeatInterval/2
			detectionTime := arrivals[i] + t - crash
			sum += detectionTime
			d.MaxDetectionTime = max(d.MaxDetectionTime, detectionTime)
			samples++
		}
	}
	d.FalsePerHour /= (time.Duration(evaluated) * heartbeatInterval).Hours()
	d.MeanDetectionTime = sum / time.Duration(samples)
	return d
}

// CompareDetectors compares an accrual failure detector with fixed timeouts of the
// same mean detection time and with other fixed timeouts. The results are
// aggregated over the seeds from 1 to seeds.
func CompareDetectors(seeds int) []DetectorResult {
	var results []DetectorResult
	for _, network := range Networks() {
		for _, level := range []float64{0.99, 0.999, 1} {
			for _, margin := range []float64{1, 1.5, 2, 3} {
				results = append(results, compareAccrual(network, level, margin, seeds)...)
			}
		}
		for _, t := range []time.Duration{150, 200, 300, 400, 600} {
			t *= time.Millisecond
			var fixed DetectorResult
			for seed := range seeds {
				arrivals := network.arrivals(rand.New(rand.NewPCG(uint64(seed+1), 7)))
				fixed = fixed.addRun(evaluate(arrivals, func(int) (time.Duration, bool) { return t, true }), seeds)
			}
			fixed.Network, fixed.Detector = network.Name, fmt.Sprintf("fixed %v", t)
			results = append(results, fixed)
		}
	}
	return results
}

// compareAccrual returns the results of an accrual detector and of the fixed
// timeout with the same mean detection time.
func compareAccrual(network Network, level, margin float64, seeds int) []DetectorResult {
	var accrual, fixed DetectorResult
	for seed := range seeds {
		arrivals := network.arrivals(rand.New(rand.NewPCG(uint64(seed+1), 7)))
		var h history
		var sum time.Duration
		evaluated := 0
		result := evaluate(arrivals, func(i int) (time.Duration, bool) {
			if i > 0 {
				h.add(arrivals[i] - arrivals[i-1])
			}
			t, ok := h.timeout(level)
			t = time.Duration(float64(t) * margin)
			if ok {
				sum += t
				evaluated++
			}
			return t, ok
		})
		meanTimeout := sum / time.Duration(evaluated)
		accrual = accrual.addRun(result, seeds)
		fixed = fixed.addRun(evaluate(arrivals, func(i int) (time.Duration, bool) { return meanTimeout, i >= historySize }), seeds)
	}
	accrual.Network, fixed.Network = network.Name, network.Name
	accrual.Detector = fmt.Sprintf("accrual %g x %g", level, margin)
	fixed.Detector = "fixed, same time"
	return []DetectorResult{accrual, fixed}
}

// addRun adds the result of one of several runs to their means and maximum.
func (d DetectorResult) addRun(o DetectorResult, runs int) DetectorResult {
	d.FalsePerHour += o.FalsePerHour / float64(runs)
	d.MeanDetectionTime += o.MeanDetectionTime / time.Duration(runs)
	d.MaxDetectionTime = max(d.MaxDetectionTime, o.MaxDetectionTime)
	return d
}

// WriteDetectors writes the results as a Markdown table.
func WriteDetectors(w io.Writer, results []DetectorResult) error {
	if _, err := fmt.Fprint(w, "| network | detector | false suspicions/h | mean ms to suspect | longest ms |\n|---|---|---|---|---|\n"); err != nil {
		return fmt.Errorf("writing the table of failure detectors: %w", err)
	}
	for _, d := range results {
		if _, err := fmt.Fprintf(w, "| %s | %s | %.2f | %.0f | %.0f |\n", d.Network, d.Detector, d.FalsePerHour,
			float64(d.MeanDetectionTime)/float64(time.Millisecond), float64(d.MaxDetectionTime)/float64(time.Millisecond)); err != nil {
			return fmt.Errorf("writing the table of failure detectors: %w", err)
		}
	}
	return nil
}
