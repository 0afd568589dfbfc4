package beat

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
)

const (
	// watchInterval is the interval of the checks for expired grants and overdue
	// heartbeats.
	watchInterval = 100 * time.Millisecond
	// dialTimeout limits one connection attempt of a probe.
	dialTimeout = 250 * time.Millisecond
	// secondDialDelay is the time between the two connection attempts that must
	// both be refused before the server counts as ended.
	secondDialDelay = 20 * time.Millisecond
	// silentProbeInterval is the minimum time between probes of a server whose
	// heartbeat is overdue.
	silentProbeInterval = 500 * time.Millisecond
)

// Stats returns the number of ranges that are granted to the server, and the time
// since its newest heartbeat.
func (t *Tracker) Stats() (ranges int, silent time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.seq == 0 {
		return 0, 0
	}
	return len(t.granted), t.cfg.Clock.Now().Sub(t.receivedAt)
}

// HasGrant implements serve.Grants. It reports whether the server has a valid grant
// of a shard with a fence; if not, nextHeartbeat is the time until the server's next
// heartbeat is due. Before the first heartbeat it assumes that an earlier process of
// this daemon has granted the shard.
func (t *Tracker) HasGrant(s pollenlatch.Shard, f pollenlatch.Fence) (granted bool, nextHeartbeat time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.cfg.Clock.Now()
	if !t.announced {
		return now < t.grantsEnd, 0
	}
	if g, ok := t.granted[s.Range]; ok && g.fence == f && !g.refused && now < t.grantsEnd {
		return true, 0
	}
	return false, max(t.receivedAt.Add(t.cfg.Interval).Sub(now), 0)
}

// Changed implements serve.Grants. It returns a channel that is closed at the
// next reply to a heartbeat.
func (t *Tracker) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.replied == nil {
		t.replied = make(chan struct{})
	}
	return t.replied
}

// DrainingSince implements serve.Grants. It returns the time at which the server
// first reported that it is leaving, or 0.
func (t *Tracker) DrainingSince() pollenlatch.MonoTime {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.drainingSince
}

// ServerRefused implements serve.Grants. The reply to the server's next heartbeat
// grants the shard again. Only that heartbeat can prove that the server does not
// hold the shard.
func (t *Tracker) ServerRefused(s pollenlatch.Shard) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g, ok := t.granted[s.Range]; ok {
		g.refused = true
		t.granted[s.Range] = g
	}
}

// ServerReplaced implements serve.Grants.
func (t *Tracker) ServerReplaced() {
	t.mu.Lock()
	e := t.server
	t.mu.Unlock()
	if e.Incarnation != 0 {
		t.markLost(e, "another server listens at its address", true)
	}
}

// Leave implements pollenlatch.HeartbeatHandler.
func (t *Tracker) Leave(id string) error {
	t.mu.Lock()
	if t.server.ID != id || id == "" {
		t.mu.Unlock()
		return ErrUnknownServer
	}
	t.startLeavingLocked(t.cfg.Clock.Now())
	i := t.server.Incarnation
	t.mu.Unlock()
	return t.awaitLeavingRecorded(i)
}

// Watch notifies the waiters when grants expire, and detects the end of the
// server, until ctx ends.
func (t *Tracker) Watch(ctx context.Context) {
	ticker := time.NewTicker(watchInterval)
	defer ticker.Stop()
	var lastProbe time.Time
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		t.mu.Lock()
		now := t.cfg.Clock.Now()
		t.notifyReleased(now)
		t.logReleases()
		e := t.server
		silent := e.Incarnation != 0 && now.Sub(t.receivedAt) > t.cfg.Interval+t.cfg.Interval/4
		svc, _ := t.cfg.Control.View().Service(e.Service)
		expired := svc.Heartbeats && e.Ready && silent && now >= t.grantsEnd
		t.mu.Unlock()
		if expired {
			t.markLost(e, "its heartbeat is overdue and its grants have expired", false)
			continue
		}
		if silent && e.Ready && time.Since(lastProbe) >= silentProbeInterval {
			lastProbe = time.Now()
			t.Probe(ctx)
		}
	}
}

// Probe checks whether the server still accepts connections. If not, it marks the
// server as lost.
func (t *Tracker) Probe(ctx context.Context) {
	t.mu.Lock()
	e := t.server
	t.mu.Unlock()
	if e.Incarnation == 0 || !e.Ready || !refusesConnections(ctx, e.Addr) {
		return
	}
	select {
	case <-time.After(secondDialDelay):
	case <-ctx.Done():
		return
	}
	if refusesConnections(ctx, e.Addr) {
		t.markLost(e, "its address refuses connections", true)
	}
}

// refusesConnections reports whether no process listens at an address.
func refusesConnections(ctx context.Context, addr string) bool {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err == nil {
		_ = c.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// markLost reports the server as lost. When ended is true, its process is known to
// have ended, so its grants are cleared before they expire.
func (t *Tracker) markLost(e pollenlatch.Endpoint, reason string, ended bool) {
	t.mu.Lock()
	if t.server.Incarnation != e.Incarnation || !t.server.Ready || !t.announced {
		t.mu.Unlock()
		return
	}
	klog.InfoS("server is lost", "server", e.ID, "reason", reason, "silent", t.cfg.Clock.Now().Sub(t.receivedAt))
	t.server.Ready = false
	if ended {
		t.clearGrants()
	} else {
		t.notifyReleased(t.cfg.Clock.Now())
	}
	t.mu.Unlock()
	t.cfg.Observer.Lost(ended)
}
