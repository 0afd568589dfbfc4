package ctrl

import (
	"time"

	"github.com/VictoriaMetrics/metrics"

	"pollenlatch"
)

// loopMetrics holds the metrics of a Loop.
type loopMetrics struct {
	step          *metrics.Histogram // handling of one event, in seconds
	sync          *metrics.Histogram // one write to the disk, in seconds
	commit        *metrics.Histogram // from a proposal until it is applied, in seconds
	changedShards *metrics.Counter
	leaderships   *metrics.Counter
	diskFull      *metrics.Gauge // 1 while writes fail for lack of space
	wasLeader     bool
}

func newLoopMetrics(set *metrics.Set, l *Loop) *loopMetrics {
	if set == nil {
		set = metrics.NewSet()
	}
	gauge := func(name string, f func(a *Access) float64) {
		set.GetOrCreateGauge("pollenlatch_ctrl_"+name, func() float64 { return f(l.Control.Access()) })
	}
	gauge("version", func(a *Access) float64 { return float64(a.View.Version()) })
	gauge("in_force_version", func(a *Access) float64 { return float64(a.InForce) })
	gauge("leases_started", func(a *Access) float64 { return float64(a.LeasesStarted) })
	gauge("leader", func(a *Access) float64 { return boolValue(a.IsLeader) })
	gauge("term", func(a *Access) float64 { return float64(a.Term) })
	gauge("quarantined", func(a *Access) float64 {
		s := a.State()
		if s == nil {
			return 0
		}
		return float64(len(s.Quarantined()))
	})
	gauge("evacuated_dcs", func(a *Access) float64 { return float64(len(a.EvacuatedSince)) })
	gauge("in_flight", func(*Access) float64 { return float64(l.Control.InFlight()) })
	gauge("events_waiting", func(*Access) float64 { return float64(len(l.events)) })
	gauge("lease_left_seconds", func(a *Access) float64 { return max(0, a.LeaseEnd.Sub(l.Clock.Now()).Seconds()) })
	return &loopMetrics{
		step:          set.GetOrCreateHistogram("pollenlatch_ctrl_event_seconds"),
		sync:          set.GetOrCreateHistogram("pollenlatch_store_sync_seconds"),
		commit:        set.GetOrCreateHistogram("pollenlatch_ctrl_commit_seconds"),
		changedShards: set.GetOrCreateCounter("pollenlatch_ctrl_moved_shards_total"),
		leaderships:   set.GetOrCreateCounter("pollenlatch_ctrl_leaderships_total"),
		diskFull:      set.GetOrCreateGauge("pollenlatch_store_disk_full", nil),
	}
}

func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// countLeadership counts the leaderships that this process starts.
func (m *loopMetrics) countLeadership(a Access) {
	if a.IsLeader && !m.wasLeader {
		m.leaderships.Inc()
	}
	m.wasLeader = a.IsLeader
}

// observeSince records the time since start, in seconds.
func observeSince(h *metrics.Histogram, c pollenlatch.Clock, start pollenlatch.MonoTime) {
	h.Update(time.Duration(c.Now() - start).Seconds())
}
