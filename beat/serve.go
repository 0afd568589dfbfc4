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
	// watchInterval is how often the keeper looks for the end of holds.
	watchInterval = 100 * time.Millisecond
	// dialTimeout bounds one connection that is opened to see whether the
	// server is there.
	dialTimeout = 250 * time.Millisecond
	// dialPause is the time between the two refusals that prove the end of a
	// server.
	dialPause = 20 * time.Millisecond
	// leavingProbe is how often a server that has said that it ends is looked
	// for, once it should be gone.
	leavingProbe = 500 * time.Millisecond
)

// Stats returns the number of ranges that the server was granted last, and
// the time since its newest heartbeat.
func (k *Tracker) Stats() (ranges int, silent time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.seq == 0 {
		return 0, 0
	}
	return len(k.given), k.cfg.Clock.Now().Sub(k.at)
}

// HasGrant reports whether the server has been granted a shard under a fence, and
// otherwise how long it takes until its next heartbeat.
func (k *Tracker) HasGrant(s pollenlatch.Shard, f pollenlatch.Fence) (held bool, wait time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.cfg.Clock.Now()
	if k.server.Incarnation == 0 {
		return now < k.until, 0
	}
	if g, ok := k.given[s.Range]; ok && g.fence == f && !g.denied && now < k.until {
		return true, 0
	}
	return false, max(k.at.Add(k.cfg.Interval).Sub(now), 0)
}

// Changed returns a channel that is closed at the next answer to a heartbeat.
func (k *Tracker) Changed() <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.changed == nil {
		k.changed = make(chan struct{})
	}
	return k.changed
}

// DrainingSince returns when the server first said that it leaves, or 0.
func (k *Tracker) DrainingSince() pollenlatch.MonoTime {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.leftAt
}

// ServerRefused implements serve.Grants. The server gets the shard again with the
// answer to its next heartbeat. Only that heartbeat can prove that the server
// does not hold it.
func (k *Tracker) ServerRefused(s pollenlatch.Shard) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if g, ok := k.given[s.Range]; ok {
		g.denied = true
		k.given[s.Range] = g
	}
}

// ServerReplaced implements serve.Grants.
func (k *Tracker) ServerReplaced() {
	k.mu.Lock()
	e := k.server
	k.mu.Unlock()
	if e.Incarnation != 0 {
		k.end(e, "another server has its address", true)
	}
}

// Leave implements pollenlatch.HeartbeatHandler.
func (k *Tracker) Leave(id string) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.server.ID != id || id == "" {
		return ErrUnknownServer
	}
	k.left = true
	if k.leftAt == 0 {
		k.leftAt = k.cfg.Clock.Now()
	}
	if !k.server.Draining {
		k.server.Draining = true
		k.cfg.Observer.Announce(k.server)
	}
	return nil
}

// Watch ends holds that have run out and notices the end of the server, until
// ctx ends.
func (k *Tracker) Watch(ctx context.Context) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	var probed time.Time
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		k.mu.Lock()
		now := k.cfg.Clock.Now()
		k.settle(now)
		e := k.server
		silent := e.Incarnation != 0 && now.Sub(k.at) > k.cfg.Interval+k.cfg.Interval/4
		svc, _ := k.cfg.Control.View().Service(e.Service)
		lapsed := svc.Heartbeats && e.Ready && silent && now >= k.until
		k.mu.Unlock()
		if lapsed {
			k.end(e, "it is silent and its hold has run out", false)
			continue
		}
		if silent && e.Ready && time.Since(probed) >= leavingProbe {
			probed = time.Now()
			k.Probe(ctx)
		}
	}
}

// Probe looks whether the server is still there.
func (k *Tracker) Probe(ctx context.Context) {
	k.mu.Lock()
	e := k.server
	k.mu.Unlock()
	if e.Incarnation == 0 || !e.Ready || !refuses(ctx, e.Addr) {
		return
	}
	select {
	case <-time.After(dialPause):
	case <-ctx.Done():
		return
	}
	if refuses(ctx, e.Addr) {
		k.end(e, "its address refuses connections", true)
	}
}

// refuses reports whether nobody listens at an address.
func refuses(ctx context.Context, addr string) bool {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", addr)
	if err == nil {
		_ = c.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// end notes that the server is lost. gone says that it has ended for certain.
func (k *Tracker) end(e pollenlatch.Endpoint, reason string, gone bool) {
	k.mu.Lock()
	if k.server.Incarnation != e.Incarnation || !k.server.Ready {
		k.mu.Unlock()
		return
	}
	klog.InfoS("server is lost", "server", e.ID, "reason", reason, "silent", k.cfg.Clock.Now().Sub(k.at))
	k.server.Ready = false
	if gone {
		k.forget()
	} else {
		k.settle(k.cfg.Clock.Now())
	}
	k.mu.Unlock()
	k.cfg.Observer.Lost()
}
