// Package fair keeps a minimum share for each route of a service under overload.
package fair

import (
	"math"
	"time"
)

const (
	// window is the time over which requests are averaged.
	window = 4 * time.Second
	// minShare is how often the callers of a route are served at least, relative to all
	// callers. Callers need a quarter; the margin makes up for requests that are started
	// and then fail.
	minShare = 0.3
	// minRequests is the number of recent callers of a route below which it is not said to
	// be starved.
	minRequests = 4
	// maxRoutes limits the routes that are kept.
	maxRoutes = 1024
)

// Shares counts how many callers of each route there are, and how many are served. It
// addresses an overload in which more urgent requests take all that can be served. It
// takes the time as an argument, and its callers must lock it. The zero value is ready to
// use.
type Shares struct {
	routes    map[string]*share
	all       share
	decayedAt time.Time
}

// share holds exponentially decaying counts.
type share struct{ offered, served float64 }

func (s *share) decay(x float64) { s.offered, s.served = s.offered*x, s.served*x }

func (s *Shares) decay(now time.Time) {
	elapsed := now.Sub(s.decayedAt)
	if elapsed < window/64 { // often enough, and not for every request
		return
	}
	s.decayedAt = now
	x := math.Exp(-elapsed.Seconds() / window.Seconds())
	s.all.decay(x)
	for name, r := range s.routes {
		if r.decay(x); r.offered+r.served < 0.01 {
			delete(s.routes, name)
		}
	}
}

func (s *Shares) route(name string) *share {
	r := s.routes[name]
	if r == nil {
		if s.routes == nil || len(s.routes) >= maxRoutes {
			s.routes = make(map[string]*share)
		}
		r = new(share)
		s.routes[name] = r
	}
	return r
}

// Offer counts a request, and reports whether its route is served too rarely. A caller
// that has come back counts only once: the callers of a route that is often refused would
// otherwise get a share for each of their attempts.
func (s *Shares) Offer(route string, returned bool, now time.Time) (starved bool) {
	s.decay(now)
	r := s.route(route)
	if !returned {
		r.offered++
		s.all.offered++
	}
	return r.offered >= minRequests && r.served*s.all.offered < minShare*s.all.served*r.offered
}

// Serve counts a request that is served. A starved one is counted as soon as it goes
// first, so that of several requests that arrive together only as many do as the minimum
// share needs.
func (s *Shares) Serve(route string) {
	s.route(route).served++
	s.all.served++
}

// Unserve takes back Serve for a request that was not served after all.
func (s *Shares) Unserve(route string) {
	r := s.route(route)
	r.served = max(0, r.served-1)
	s.all.served = max(0, s.all.served-1)
}
