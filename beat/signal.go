package beat

import (
	"math"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
)

const (
	// minLimitChange is the relative change of a server's limit that is announced
	// before its next heartbeat, and minLimitInterval the minimum time between two
	// such announcements. Each is a log entry that goes to all daemons.
	minLimitChange   = 0.1
	minLimitInterval = 500 * time.Millisecond
	// minColdInterval is the minimum time between an announcement of the cold state and
	// the next one that does not wait for a heartbeat.
	minColdInterval = time.Second
	// recordTimeout limits the wait until the state records that a server is leaving.
	// The server discards an acknowledgement that takes longer than a second.
	recordTimeout = 800 * time.Millisecond
	// inheritedDrain is the time since which a server counts as leaving that left
	// before this process started: since the start of the machine.
	inheritedDrain pollenlatch.MonoTime = 1
)

// Observe records what the responses of a server say: its limit in requests a second,
// 0 for none, and whether it is leaving. The endpoint is announced with both.
func (t *Tracker) Observe(of pollenlatch.Incarnation, limit float64, leaving bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server.Incarnation != 0 && t.server.Incarnation != of {
		return
	}
	t.setSignalsOf(of)
	t.limit = limit
	now := t.cfg.Clock.Now()
	if leaving {
		t.startLeavingLocked(now)
	}
	if t.server.Incarnation == 0 || math.Abs(limit-t.server.Limit) <= minLimitChange*t.server.Limit || now.Sub(t.limitAnnouncedAt) < minLimitInterval {
		return
	}
	e := t.server
	e.Limit = limit
	t.announceLocked(e)
}

// ObserveCold announces that a server has become cold before its next heartbeat does.
// The end of the cold state is announced by a heartbeat, since only the distribution of
// new load waits for it: when all servers of a data centre are cold at once, each of them
// adds two entries to the log.
func (t *Tracker) ObserveCold(of pollenlatch.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server.Incarnation != of || of == 0 || t.server.Cold || t.cfg.Clock.Now().Sub(t.coldAnnouncedAt) < minColdInterval {
		return
	}
	e := t.server
	e.Cold = true
	t.announceLocked(e)
}

// leavingRecorded reports whether the replicated state records that a server is
// leaving. A restarted process of this daemon then knows it too.
func (t *Tracker) leavingRecorded(i pollenlatch.Incarnation) bool {
	self, ok := t.cfg.Control.View().Instance(t.cfg.Control.Self())
	return ok && self.Endpoint != nil && self.Endpoint.Incarnation == i && self.Endpoint.Draining
}

// awaitLeavingRecorded waits until leavingRecorded. The departure must not be
// acknowledged before: this process may be killed at any moment.
func (t *Tracker) awaitLeavingRecorded(i pollenlatch.Incarnation) error {
	start := time.Now()
	timeout := time.NewTimer(recordTimeout)
	defer timeout.Stop()
	for {
		changed := t.cfg.Control.Changed()
		if t.leavingRecorded(i) {
			klog.InfoS("departure of the server was recorded", "incarnation", i, "took", time.Since(start))
			return nil
		}
		select {
		case <-changed:
		case <-timeout.C:
			return pollenlatch.ErrNotRecorded
		}
	}
}

// startLeavingLocked records that the server is leaving although its heartbeats may not
// say so. A server does not return from that. The caller holds mu.
func (t *Tracker) startLeavingLocked(since pollenlatch.MonoTime) {
	t.leaving = true
	if t.drainingSince == 0 {
		t.drainingSince = since
	}
	if t.server.Incarnation == 0 || t.server.Draining {
		return
	}
	e := t.server
	e.Draining = true
	klog.InfoS("server is leaving", "server", e.ID)
	t.announceLocked(e)
}

// setSignalsOf discards the signals of another server.
func (t *Tracker) setSignalsOf(i pollenlatch.Incarnation) {
	if t.signalsOf != i {
		t.signalsOf, t.limit, t.leaving, t.drainingSince = i, 0, false, 0
	}
}

// Inherit takes over what an earlier process of this daemon has announced of a server
// that is still running. A server that was leaving then gets no further requests. It
// fails when the endpoint is not that of the local server.
func (t *Tracker) Inherit(e pollenlatch.Endpoint) error {
	if err := t.checkLocal(&e); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.server.Incarnation != 0 && t.server.Incarnation != e.Incarnation {
		if t.announced || t.server.StartedAt >= e.StartedAt {
			t.announcePendingLocked()
			return nil
		}
		klog.InfoS("delayed heartbeat of an earlier server is discarded", "server", t.server.ID, "recorded", e.ID)
		t.ended[t.server.Incarnation] = true
		t.server, t.seq = pollenlatch.Endpoint{}, 0
		t.held, t.heldKeys, t.released, t.fences = nil, nil, nil, nil
	}
	if t.signalsOf != e.Incarnation || t.limit == 0 {
		t.setSignalsOf(e.Incarnation)
		t.limit = e.Limit
	}
	if e.Draining {
		t.startLeavingLocked(inheritedDrain)
	}
	t.announcePendingLocked()
	return nil
}

// AnnouncePending announces a server whose heartbeat arrived before the state of this
// process. It is for a state without a recorded endpoint; see Inherit.
func (t *Tracker) AnnouncePending() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.announcePendingLocked()
}

func (t *Tracker) announcePendingLocked() {
	if t.server.Incarnation != 0 && !t.announced {
		t.announceLocked(t.server)
	}
}
