package front

import (
	"sync"
	"time"
)

const (
	// usualSpan is how long the longest remaining time of a route's requests is
	// remembered.
	usualSpan = 30 * time.Second
	// usualShare is the part of the longest remaining time from which on a request
	// counts as a caller's first attempt: callers of one route differ by less.
	usualShare = 0.8
	// usualWeight is the weight of the newest first attempt in the mean remaining
	// time of first attempts.
	usualWeight = 0.05
	// leastUsual is the number of first attempts from which on their mean is known.
	leastUsual = 5
)

// waits tells how long callers had been waiting when their requests came. The
// zero value is ready to use. It is safe for concurrent use.
//
// It answers the load of callers that were refused and come back. They state how
// long they will still wait, which is clearly less than what first attempts of the
// route state, and their latency objective has run since their first attempt.
// Without that, the slots and the link go to answers that are late already.
type waits struct {
	mu     sync.Mutex
	routes map[string]*patience
}

// patience is the remaining time that requests of one route state.
type patience struct {
	most  time.Duration // in this span
	last  time.Duration // in the span before
	since time.Time     // begin of this span
	mean  time.Duration // of first attempts
	count int           // of those, up to leastUsual
}

// waited returns how long the caller of a request had been waiting when it came at
// now with so much time left; 0 when that is not known.
func (w *waits) waited(route string, left time.Duration, now time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.routes[route]
	if p == nil {
		if w.routes == nil || len(w.routes) >= maxRoutes {
			w.routes = make(map[string]*patience)
		}
		p = &patience{since: now}
		w.routes[route] = p
	}
	if now.Sub(p.since) >= usualSpan {
		p.last, p.most, p.since = p.most, 0, now
	}
	p.most = max(p.most, left)
	if float64(left) < usualShare*float64(max(p.most, p.last)) {
		if p.count < leastUsual {
			return 0
		}
		return max(0, p.mean-left)
	}
	if p.count == 0 {
		p.mean = left
	}
	p.count = min(p.count+1, leastUsual)
	p.mean += time.Duration(usualWeight * float64(left-p.mean))
	return 0
}
