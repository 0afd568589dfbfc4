package ctrl

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"pollenlatch"
)

// meter counts what the control loop does.
type meter struct {
	step   *metrics.Histogram
	sync   *metrics.Histogram
	commit *metrics.Histogram
	moved  *metrics.Counter
	leads  *metrics.Counter
	led    bool
}

func newMeter(set *metrics.Set, l *Loop) *meter {
	if set == nil {
		set = metrics.NewSet()
	}
	gauge := func(name string, f func(a *Access) float64) {
		set.GetOrCreateGauge("pollenlatch_ctrl_"+name, func() float64 { return f(l.Control.Access()) })
	}
	gauge("version", func(a *Access) float64 { return float64(a.View.Version()) })
	gauge("in_force_version", func(a *Access) float64 { return float64(a.InForce) })
	gauge("leases_started", func(a *Access) float64 { return float64(a.LeasesStarted) })
	gauge("leader", func(a *Access) float64 { return truth(a.IsLeader) })
	gauge("term", func(a *Access) float64 { return float64(a.Term) })
	gauge("in_flight", func(*Access) float64 { return float64(l.Control.InFlight()) })
	gauge("events_waiting", func(*Access) float64 { return float64(len(l.events)) })
	gauge("lease_left_seconds", func(a *Access) float64 { return max(0, a.LeaseEnd.Sub(l.Clock.Now()).Seconds()) })
	return &meter{
		step:   set.GetOrCreateHistogram("pollenlatch_ctrl_event_seconds"),
		sync:   set.GetOrCreateHistogram("pollenlatch_store_sync_seconds"),
		commit: set.GetOrCreateHistogram("pollenlatch_ctrl_commit_seconds"),
		moved:  set.GetOrCreateCounter("pollenlatch_ctrl_moved_shards_total"),
		leads:  set.GetOrCreateCounter("pollenlatch_ctrl_leaderships_total"),
	}
}

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// published counts the start of leaderships.
func (m *meter) published(a Access) {
	if a.IsLeader && !m.led {
		m.leads.Inc()
	}
	m.led = a.IsLeader
}

// since records the time from start to now.
func since(h *metrics.Histogram, c pollenlatch.Clock, start pollenlatch.MonoTime) {
	h.Update(time.Duration(c.Now() - start).Seconds())
}
