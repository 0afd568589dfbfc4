// Package calls learns what the nested calls of a route's runs meet, and refuses new
// requests of the route in such a share that the calls of the others succeed.
package calls

import (
	"math"
	"sync"
	"time"
)

const (
	// resultWindow is the time over which the results of calls are averaged. It is as
	// short as the few calls of one server allow, because a called service whose queue
	// is full answers late until the queue has drained.
	resultWindow = time.Second
	// habitWindow is the time over which the number of calls of a run is averaged. It is
	// longer because few runs are left to learn from while most requests are refused.
	habitWindow = 20 * time.Second
	// minResults is the number of recent results that are needed to begin refusing.
	// minDecreaseResults is the same for lowering the limit further.
	minResults         = 4
	minDecreaseResults = 2
	// beginShare is the share of failed calls at which refusing begins. Then slowShare is
	// the share of calls that fail or miss their objective above which the limit falls: a
	// call that misses its objective shows, before calls fail, that the called service
	// has as many as it can serve.
	beginShare = 0.15
	slowShare  = 0.1
	// minCallerShare is the share of a route's runs that must make calls. Below it, more
	// of the refused requests would have been served than failed.
	minCallerShare = 0.5
	// maxDecrease is the share by which the limit falls when all calls are slow. Results
	// in the settleTime after it don't count: they are of calls that were made before, or
	// that met the queue that those have left.
	maxDecrease = 0.4
	settleTime  = time.Second
	// growthRate is the relative growth of the limit a second for growthTime after a
	// decrease, which brings it back to where it was. Then the growth accelerates, so that
	// refusing ends soon after the overload, up to maxGrowthRate.
	growthRate    = 0.1
	growthTime    = 4 * time.Second
	acceleration  = 0.004 // per second, for each second after growthTime
	maxGrowthRate = 1.5
	// minLimit is the number of runs a second that is admitted at least. Without calls it
	// would not show that they succeed again. All servers of a service together must not
	// overload the called one with them.
	minLimit = 0.25
	// endFactor is how far the admitted rate must be above the offered one for refusing to
	// end, so that an uneven rate of requests doesn't end it early.
	endFactor = 1.5
	// burst is the number of runs that may begin at once.
	burst = 2
	// maxRoutes and maxServices limit the routes, and the services for each, that are
	// kept.
	maxRoutes   = 1024
	maxServices = 16
)

// Forecast holds what the runs at one server show of the nested calls of each route. It
// addresses a service whose runs are admitted although the service that they call is
// overloaded: the runs occupy slots, and then fail. The zero value is ready to use. It
// is safe for concurrent use.
type Forecast struct {
	mu     sync.Mutex
	routes map[string]*route
}

// route holds exponentially decaying counts of one route.
type route struct {
	offered   float64 // requests, over resultWindow
	began     float64 // runs, over resultWindow
	runs      float64 // over habitWindow
	callers   float64 // runs that have made a call, over habitWindow
	services  map[string]*service
	updatedAt time.Time
}

// service holds exponentially decaying counts of the calls of one route to a service.
type service struct {
	made    float64 // over habitWindow
	results float64 // over resultWindow
	slow    float64 // results other than OK, over resultWindow
	failed  float64 // over resultWindow
	// limit is the number of runs a second that is admitted because of these calls; 0
	// while none is refused. It isn't a share of the requests, which would admit more runs
	// when the refused callers come back.
	limit     float64
	tokens    float64   // runs that may begin now
	updatedAt time.Time // of limit and tokens
	settled   time.Time // results before it don't count
}

// Habit describes the calls of a route to one service.
type Habit struct {
	Service     string
	CallerShare float64 // share of the route's runs that make calls
	CallsPerRun float64 // calls to this service, over all runs
	FailedShare float64 // share of these calls that failed recently
	Limit       float64 // runs of the route a second that are admitted because of them; 0 is no limit
}

// route returns the counts of a route. The caller holds mu.
func (f *Forecast) route(name string, now time.Time) *route {
	r := f.routes[name]
	if r == nil {
		if f.routes == nil || len(f.routes) >= maxRoutes {
			f.routes = make(map[string]*route)
		}
		r = &route{updatedAt: now}
		f.routes[name] = r
	}
	elapsed := max(0, now.Sub(r.updatedAt)).Seconds()
	results, habits := math.Exp(-elapsed/resultWindow.Seconds()), math.Exp(-elapsed/habitWindow.Seconds())
	r.offered *= results
	r.began *= results
	r.runs *= habits
	r.callers *= habits
	for _, s := range r.services {
		s.made *= habits
		s.results *= results
		s.slow *= results
		s.failed *= results
	}
	r.updatedAt = now
	return r
}

func (r *route) service(name string) *service {
	s := r.services[name]
	if s == nil {
		if r.services == nil || len(r.services) >= maxServices {
			r.services = make(map[string]*service)
		}
		s = new(service)
		r.services[name] = s
	}
	return s
}

// RecordRun counts a run of a route that begins.
func (f *Forecast) RecordRun(route string, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.route(route, now)
	r.runs++
	r.began++
}

// RecordCall counts a call of a run to a service. first is set for the first call of the
// run.
func (f *Forecast) RecordCall(route, service string, first bool, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.route(route, now)
	if first {
		r.callers++
	}
	r.service(service).made++
}

// Result is the result of a call.
type Result int

// Results of calls.
const (
	OK     Result = iota // within its objective
	Slow                 // after its objective
	Failed               // not at all, after its deadline, or with an error
)

// RecordResult counts the result of a call.
func (f *Forecast) RecordResult(route, service string, result Result, now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.route(route, now).service(service)
	if now.Before(s.settled) {
		return
	}
	s.results++
	if result != OK {
		s.slow++
	}
	if result == Failed {
		s.failed++
	}
}

// Admit counts a request of a route, and reports whether to run it. habit describes the
// calls because of which it is refused.
func (f *Forecast) Admit(route string, now time.Time) (ok bool, habit Habit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := f.route(route, now)
	r.offered++
	ok = true
	for name, s := range r.services {
		r.update(s, now)
		if s.limit > 0 && s.tokens < 1 {
			ok = false
			habit = Habit{Service: name, CallerShare: r.callerShare(), CallsPerRun: s.made / max(r.runs, 1), FailedShare: s.share(s.failed), Limit: s.limit}
		}
	}
	for _, s := range r.services {
		if ok && s.limit > 0 {
			s.tokens--
		}
	}
	return ok, habit
}

// callerShare returns the share of the runs that make calls.
func (r *route) callerShare() float64 { return min(1, r.callers/max(r.runs, 1)) }

// share returns the share of the recent results that n of them are; 0 without results.
func (s *service) share(n float64) float64 {
	if n == 0 {
		return 0
	}
	return n / s.results
}

// update changes the share that is admitted because of the calls to a service.
func (r *route) update(s *service, now time.Time) {
	elapsed := max(0, now.Sub(s.updatedAt)).Seconds()
	s.updatedAt = now
	failed := s.share(s.failed)
	if s.limit == 0 {
		if failed < beginShare || s.results < minResults || r.callerShare() < minCallerShare {
			return
		}
		s.limit, s.tokens, elapsed = max(minLimit, r.began/resultWindow.Seconds()), 0, 0
	}
	late := max(0, now.Sub(s.settled)-growthTime).Seconds()
	s.limit *= math.Exp(min(maxGrowthRate, growthRate+acceleration*late*late) * min(elapsed, 1))
	if slow := s.share(s.slow); slow > slowShare && s.results >= minDecreaseResults {
		s.limit *= 1 - maxDecrease*slow
		s.results, s.slow, s.failed, s.settled = 0, 0, 0, now.Add(settleTime)
	}
	s.limit = max(minLimit, s.limit)
	s.tokens = min(burst, s.tokens+s.limit*elapsed)
	if offered := r.offered / resultWindow.Seconds(); s.limit > endFactor*offered+1 && failed < beginShare {
		s.limit = 0
	}
}
