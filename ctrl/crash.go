package ctrl

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"pollenlatch"
)

const (
	// DefaultQuarantineTime is how long a request is quarantined at first. Afterwards it
	// may run again, and the next end of a server under it renews the quarantine for
	// twice as long.
	DefaultQuarantineTime = 2 * time.Minute
	// maxQuarantineDoublings limits how often the time doubles, to about an hour.
	maxQuarantineDoublings = 5
	// maxPendingCrashes limits the reports of a daemon that the state does not show
	// yet. The oldest are dropped.
	maxPendingCrashes = 32
)

// CrashReported reports that the local server has ended under requests, or that
// suspects have completed.
type CrashReported struct {
	Now   pollenlatch.MonoTime
	Crash pollenlatch.Crash
}

func (CrashReported) event() {}

// ReportCrash reports that the local server has ended under requests, or that suspects
// have completed. The report is sent until the state shows it.
func (l *Loop) ReportCrash(c pollenlatch.Crash) {
	l.post(func(now pollenlatch.MonoTime) Event { return CrashReported{Now: now, Crash: c} })
}

func (h *holder) onCrashReported(c pollenlatch.Crash) {
	pending := slices.ContainsFunc(h.crashes, func(o pollenlatch.Crash) bool { return o.Server == c.Server && slices.Equal(o.Cleared, c.Cleared) })
	if pending || h.state.IsRecorded(c) {
		return
	}
	h.crashes = append(h.crashes, c)
	h.crashes = h.crashes[max(0, len(h.crashes)-maxPendingCrashes):]
	if h.activeLease != 0 {
		h.renew()
	}
}

// pendingCrashes returns the reports that the state does not show yet.
func (h *holder) pendingCrashes() []pollenlatch.Crash {
	pending := h.crashes[:0]
	for _, c := range h.crashes {
		if !h.state.IsRecorded(c) {
			pending = append(pending, c)
		}
	}
	clear(h.crashes[len(pending):])
	h.crashes = pending
	return pending
}

// onCrashes proposes the reports of a daemon.
func (v *voter) onCrashes(crashes []pollenlatch.Crash) {
	for _, c := range crashes {
		if !v.state.IsRecorded(c) {
			v.proposeOnce(fmt.Sprintf("crash %d %v", c.Server, c.Cleared), &pollenlatch.Command{Crash: &c})
		}
	}
}

// endQuarantines proposes the end of the quarantines that have lasted for
// Config.QuarantineTime. A new leader counts from its first look at them.
func (v *voter) endQuarantines() {
	if !v.state.HasSuspects() {
		v.quarantinedSince = nil
		return
	}
	since := make(map[pollenlatch.Fingerprint]pollenlatch.MonoTime)
	var over []pollenlatch.Fingerprint
	for _, s := range v.state.Quarantined() {
		f := s.Fingerprint
		since[f] = v.now
		if at, known := v.quarantinedSince[f]; known {
			since[f] = at
		}
		if v.now.Sub(since[f]) >= cmp.Or(v.cfg.QuarantineTime, DefaultQuarantineTime)<<min(s.Ended, maxQuarantineDoublings) {
			over = append(over, f)
		}
	}
	v.quarantinedSince = since
	if len(over) > 0 {
		v.proposeOnce("end quarantines", &pollenlatch.Command{Crash: &pollenlatch.Crash{Probation: over}})
	}
}

// logQuarantines logs the requests that a new state quarantines or releases.
func (h *holder) logQuarantines(before, after []pollenlatch.Suspect) {
	for _, s := range missingFrom(before, after) {
		h.logf("request is quarantined: several servers have ended under it", "fingerprint", s.Fingerprint, "earlier", s.Ended)
	}
	for _, s := range missingFrom(after, before) {
		h.logf("quarantine of a request has ended", "fingerprint", s.Fingerprint)
	}
}

// missingFrom returns the suspects of list that others does not contain.
func missingFrom(others, list []pollenlatch.Suspect) []pollenlatch.Suspect {
	return slices.DeleteFunc(slices.Clone(list), func(s pollenlatch.Suspect) bool {
		return slices.ContainsFunc(others, func(o pollenlatch.Suspect) bool { return o.Fingerprint == s.Fingerprint })
	})
}
