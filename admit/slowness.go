package admit

import (
	"math"
	"time"

	"pollenlatch/gauge"
)

const (
	// errorWeight is the weight of the newest run in the averages of the errors of the
	// forecasts. All slots of a server miss their forecast when a slow span begins, so
	// the average is over more runs than that.
	errorWeight = 0.02
	// meanTimeWeight is the weight of the newest run in the run time that counts for the
	// offered load: as many runs as fall into several slow spans.
	meanTimeWeight = 0.01
	// maxExcessError is the error by which a forecast that uses the slowness that the
	// server states may exceed one that does not, before it is not used: less than a
	// wrong slowness causes, and more than the averages differ by chance.
	maxExcessError = 0.1
	// maxRunFactor limits the run time that is recorded, relative to the forecast, at a
	// server that states its load: the time of a request to which the server never
	// responds is not a run time.
	maxRunFactor = 4
)

// serverLoad is what the schedule knows of a server that states its load. The zero value
// is for servers that do not, and has no effect: work and time are the same.
//
// Run times are recorded twice: as measured, and as work, in which the slowness during
// the run has been taken out. The forecasts of work are used unless the run times show
// that those without the slowness are better.
type serverLoad struct {
	gauge      *gauge.Gauge             // nil: loads are not known
	works      map[string]time.Duration // by route
	meanTimes  map[string]meanTime      // by route: run times over several slow spans
	workError  float64                  // mean error of the forecasts from works and slowness, as a logarithm
	timeError  float64                  // and of those from run times
	unreliable bool                     // the slowness is not used, because the run times contradict it

	// As of updatedAt:
	updatedAt time.Time
	clock     time.Duration // of the gauge
	stated    gauge.Outlook // by what the server states
	active    bool          // it is used
	outlook   gauge.Outlook // that is used
	mean      float64       // of the slowness that is used
}

// updateLoad applies the load of the server at now.
func (s *schedule) updateLoad(now time.Time) {
	l := &s.load
	if l.gauge == nil {
		l.outlook, l.mean = gauge.Steady(1), 1
		return
	}
	if l.updatedAt.Equal(now) {
		return
	}
	state, wasActive := l.gauge.State(now), l.active
	l.updatedAt, l.clock, l.stated = now, state.Clock, state.Outlook
	if !state.Known { // nothing is kept of an earlier server
		l.works, l.meanTimes, l.workError, l.timeError, l.unreliable = nil, nil, 0, 0, false
	}
	l.active = state.Known && !l.unreliable
	switch {
	case !l.active:
		l.outlook, l.mean = gauge.Steady(1), 1
	case len(s.running) == 0:
		// No run would show that the slowness is wrong if all requests were refused.
		l.outlook, l.mean = gauge.Steady(state.Mean), state.Mean
	default:
		l.outlook, l.mean = state.Outlook, state.Mean
	}
	if l.active != wasActive {
		for r := range s.running {
			r.work = s.typicalWork(r.Route)
		}
		for _, r := range s.waiting {
			r.work = s.typicalWork(r.Route)
		}
	}
	if l.active || wasActive {
		for _, r := range s.waiting {
			l.forecast(r)
		}
	}
}

// forecast sets the run times of a request that waits.
func (l *serverLoad) forecast(r *request) {
	r.runTime = l.outlook.End(0, r.work)
	r.longExcess = time.Duration((longRunFactor - 1) * float64(r.runTime))
	if l.active {
		r.longExcess = l.outlook.End(0, time.Duration(longRunFactor*float64(r.work))) - r.runTime
	}
}

// predict returns the run time of a request that starts now by what the server states; 0
// is unknown.
func (l *serverLoad) predict(route string) time.Duration {
	if l.gauge == nil {
		return 0
	}
	return l.stated.End(0, l.works[route])
}

// done returns the work of a running request that has been done by now.
func (l *serverLoad) done(r *request, now time.Time) time.Duration {
	if !l.active {
		return now.Sub(r.started)
	}
	return l.clock - r.startClock
}

// typicalWork returns the work of a typical request of a route, which is its run time if
// the slowness is not used.
func (s *schedule) typicalWork(route string) time.Duration {
	run := s.typicalRunTime(route)
	if !s.load.active {
		return run
	}
	if w, ok := s.load.works[route]; ok {
		return w
	}
	return time.Duration(float64(run) / s.load.mean)
}

// recordRun records a run that ends at now.
func (s *schedule) recordRun(r *request, now time.Time) {
	began, ok := r.runBegan()
	if !ok {
		return
	}
	d, l := now.Sub(began), &s.load
	if l.gauge != nil && l.gauge.StatesLoad() {
		if typical, ok := s.runTimes[r.Route]; ok {
			d = min(d, maxRunFactor*max(typical, r.predicted))
		}
	}
	if l.gauge == nil {
		s.recordRunTime(r.Route, d)
		return
	}
	state := l.gauge.State(now)
	if !state.Known {
		s.recordRunTime(r.Route, d)
		return
	}
	work := state.Clock - r.startClock
	if inSlot := now.Sub(r.started); inSlot > now.Sub(began) { // the slot was taken before the body arrived
		work = time.Duration(float64(work) * now.Sub(began).Seconds() / inSlot.Seconds())
	}
	if l.works == nil || len(l.works) >= maxRoutes {
		l.works, l.meanTimes = make(map[string]time.Duration), make(map[string]meanTime)
	}
	typical, known := l.works[r.Route]
	run, runKnown := s.runTimes[r.Route]
	if r.predicted > 0 && runKnown && r.Body == nil {
		l.workError += errorWeight * (logError(d, r.predicted) - l.workError)
		l.timeError += errorWeight * (logError(d, run) - l.timeError)
		excess := l.workError - l.timeError
		l.unreliable = excess > maxExcessError || (l.unreliable && excess > 0)
	}
	if known {
		work = typical + time.Duration(runTimeWeight*float64(min(work, maxRunFactor*typical)-typical))
	}
	l.works[r.Route] = work
	l.recordMeanTime(r.Route, d)
	s.recordRunTime(r.Route, d)
}

// meanTime is the mean of some runs.
type meanTime struct {
	time time.Duration
	runs int
}

func (l *serverLoad) recordMeanTime(route string, d time.Duration) {
	m := l.meanTimes[route]
	m.runs++
	m.time += time.Duration(max(meanTimeWeight, 1/float64(m.runs)) * float64(d-m.time))
	l.meanTimes[route] = m
}

// meanRunTime returns the run time of a route by which the offered load is counted. At a
// server that states its slowness it does not follow single slow spans: the planner would
// move keys away that would have to return.
func (s *schedule) meanRunTime(route string) time.Duration {
	if m, ok := s.load.meanTimes[route]; ok {
		return m.time
	}
	return s.typicalRunTime(route)
}

// logError returns the absolute logarithm of the factor by which a run differs from its
// forecast.
func logError(run, forecast time.Duration) float64 {
	return math.Abs(math.Log(max(run, time.Millisecond).Seconds() / max(forecast, time.Millisecond).Seconds()))
}
