package cold

import "time"

const (
	// dipFactor is how many times longer than usual a response must take to count as
	// slow, and dipResponses the number of slow responses in a row that make a dip. A
	// server that becomes cold answers about half as fast.
	dipFactor    = 1.8
	dipResponses = 3
	// usualWeight is the weight of a response in the exponentially weighted moving
	// average of the usual time.
	usualWeight = 0.05
	// minDipInterval is the minimum time between two dips. A server with noisy
	// neighbours is slow several times a second.
	minDipInterval = 250 * time.Millisecond
	// maxDipRoutes is the maximum number of routes whose usual times are kept.
	maxDipRoutes = 256
)

// Dip detects a sudden loss of speed of a server. The zero value is ready to use. It
// takes the time as an argument, and its callers must lock it.
type Dip struct {
	usual  map[string]float64 // seconds, by route
	slow   int                // slow responses in a row
	lastAt time.Time
}

// Observe records that a response of a route took a time, and reports whether the
// server has suddenly become slow.
func (d *Dip) Observe(route string, took time.Duration, now time.Time) bool {
	usual, ok := d.usual[route]
	if !ok {
		if d.usual == nil || len(d.usual) >= maxDipRoutes {
			d.usual = make(map[string]float64)
		}
		d.usual[route] = took.Seconds()
		return false
	}
	slow := took.Seconds() > dipFactor*usual
	d.usual[route] = usual + usualWeight*(min(took.Seconds(), dipFactor*usual)-usual)
	if !slow {
		d.slow = 0
		return false
	}
	d.slow++
	if d.slow < dipResponses || now.Sub(d.lastAt) < minDipInterval {
		return false
	}
	d.slow, d.lastAt = 0, now
	return true
}
