// Package fair keeps a minimum share for each group of requests under overload.
package fair

import (
	"math"
	"time"
)

const (
	// window is the time over which requests are averaged.
	window = 4 * time.Second
	// minShare is how often the requests of a group are served at least, relative to all
	// requests. Callers need a quarter; the margin makes up for requests that are started
	// and then fail.
	minShare = 0.3
	// minRequests is the number of recent requests of a group below which it is not said
	// to be starved.
	minRequests = 4
	// maxGroups limits the groups that are kept.
	maxGroups = 1024
)

// Group is a group of requests that keeps a minimum share. The requests whose callers
// have come back are a group of their own: their objective has often passed, so the
// others of their route would always go first.
type Group struct {
	Route    string
	Returned bool
}

// Shares counts how many of the requests of each group are offered and served. It
// addresses an overload in which more urgent requests take all that can be served. It
// takes the time as an argument, and its callers must lock it. The zero value is ready to
// use.
type Shares struct {
	groups    map[Group]*share
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
	for k, g := range s.groups {
		if g.decay(x); g.offered < 0.01 {
			delete(s.groups, k)
		}
	}
}

func (s *Shares) group(k Group) *share {
	g := s.groups[k]
	if g == nil {
		if s.groups == nil || len(s.groups) >= maxGroups {
			s.groups = make(map[Group]*share)
		}
		g = new(share)
		s.groups[k] = g
	}
	return g
}

// Offer counts a new request, and reports whether its group is served too rarely.
func (s *Shares) Offer(k Group, now time.Time) (starved bool) {
	s.decay(now)
	g := s.group(k)
	g.offered++
	s.all.offered++
	return g.offered >= minRequests && g.served*s.all.offered < minShare*s.all.served*g.offered
}

// Serve counts a request that is served.
func (s *Shares) Serve(k Group) {
	s.group(k).served++
	s.all.served++
}
