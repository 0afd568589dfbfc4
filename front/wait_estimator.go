package front

import (
	"sync"
	"time"
)

const (
	// waitWindow is the length of the windows in which the maximum time left of
	// the requests of a route is recorded.
	waitWindow = 30 * time.Second
	// firstAttemptShare is the share of the maximum time left above which a
	// request counts as a first attempt. The first attempts of one route differ
	// by less.
	firstAttemptShare = 0.8
	// firstAttemptWeight is the weight of the newest first attempt in the
	// exponentially weighted moving average of the time left of first attempts.
	firstAttemptWeight = 0.05
	// minFirstAttempts is the minimum number of first attempts for a usable
	// average.
	minFirstAttempts = 5
)

// waitEstimator estimates how long callers had been waiting before their
// requests arrived. The zero value is ready to use. It is safe for concurrent
// use.
//
// A caller that retries after a refusal states a time left that is clearly
// shorter than that of the first attempts of its route. Its latency objective
// has been running since its first attempt. If the objective were restarted,
// slots and link capacity would be spent on responses that are already late.
type waitEstimator struct {
	mu     sync.Mutex
	routes map[string]*routeWaits
}

// routeWaits summarises the times left that the requests of one route state.
type routeWaits struct {
	windowMax   time.Duration // maximum in this window
	previousMax time.Duration // maximum in the window before
	windowStart time.Time
	firstMean   time.Duration // moving average of first attempts
	firstCount  int           // number of first attempts, up to minFirstAttempts
}

// estimate returns how long the caller had been waiting when its request
// arrived at now with the time left; 0 when that is not known.
func (w *waitEstimator) estimate(route string, left time.Duration, now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.routes[route]
	if p == nil {
		if w.routes == nil || len(w.routes) >= maxRoutes {
			w.routes = make(map[string]*routeWaits)
		}
		p = &routeWaits{windowStart: now}
		w.routes[route] = p
	}
	if now.Sub(p.windowStart) >= waitWindow {
		p.previousMax, p.windowMax, p.windowStart = p.windowMax, 0, now
	}
	p.windowMax = max(p.windowMax, left)
	if float64(left) < firstAttemptShare*float64(max(p.windowMax, p.previousMax)) {
		if p.firstCount < minFirstAttempts {
			return 0
		}
		return max(0, p.firstMean-left)
	}
	if p.firstCount == 0 {
		p.firstMean = left
	}
	p.firstCount = min(p.firstCount+1, minFirstAttempts)
	p.firstMean += time.Duration(firstAttemptWeight * float64(left-p.firstMean))
	return 0
}
