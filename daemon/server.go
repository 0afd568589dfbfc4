package daemon

import (
	"context"
	"time"

	"pollenlatch"
	"pollenlatch/admit"
)

// Announce implements pollenlatch.EndpointObserver.
func (d *Daemon) Announce(e pollenlatch.Endpoint) {
	d.mu.Lock()
	d.endpoint, d.announced = e, true
	d.mu.Unlock()
	d.relay.SetEndpoint(withConns(e))
	d.gate.SetSlots(int(e.Slots))
	d.loop.Announce(e)
}

// connsPerSlot bounds the connections to a server that does not say how many it
// accepts. At most one for each slot is in use; the others are being replaced.
const connsPerSlot = 2

// withConns returns an endpoint with a bound on its connections.
func withConns(e pollenlatch.Endpoint) pollenlatch.Endpoint {
	if e.MaxConns == 0 {
		e.MaxConns = connsPerSlot * e.Slots
	}
	return e
}

// Lost implements pollenlatch.EndpointObserver.
func (d *Daemon) Lost() {
	d.mu.Lock()
	d.endpoint.Ready = false
	e := d.endpoint
	d.mu.Unlock()
	d.gate.SetSlots(0) // what waits is told now that it did not run
	d.loop.Announce(e)
}

// server returns what is known of the server beside this daemon.
func (d *Daemon) server() (pollenlatch.Endpoint, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.endpoint, d.announced
}

// defaultMaxRun is for a service that the state no longer names.
const defaultMaxRun = 2 * time.Second

func (d *Daemon) maxRun(service string) time.Duration {
	if s, ok := d.desk.View().Service(service); ok && s.MaxRun > 0 {
		return s.MaxRun
	}
	return defaultMaxRun
}

// beside returns this instance and how many slots of the server beside it are
// free.
func (d *Daemon) beside() (id pollenlatch.InstanceID, free int) {
	e, ok := d.server()
	if !ok {
		return 0, 0
	}
	running, waiting := d.gate.Load()
	return d.desk.Self(), int(e.Slots) - running - waiting
}

func (d *Daemon) queue(service string) int {
	s, _ := d.desk.View().Service(service)
	return int(s.QueueLimit)
}

func (d *Daemon) limit(caller string) (perSecond float64, burst int) {
	c, _ := d.desk.View().Caller(caller)
	return c.Rate, int(c.Burst)
}

// measureInterval is how often the load of the server is reported.
const measureInterval = time.Second

// measure reports the load of the server beside this daemon until ctx ends.
func (d *Daemon) measure(ctx context.Context) {
	every := measureInterval
	if d.cfg.Platform != nil {
		every = meshReport
	}
	t := time.NewTicker(every)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			running, waiting := d.gate.Load()
			load := d.hot.EndInterval(pollenlatch.SystemClock{}.Now())
			seen := d.serve.Observe()
			load.MedianLatency, load.Suspect = seen.MedianLatency, seen.Suspect
			load.InFlight, load.Queued = uint32(running), uint32(waiting)
			if s, ok := d.gate.(*admit.Scheduler); ok {
				seen := s.Demand()
				load.Offered, load.RefusedShare, load.TypicalRun = seen.Slots, seen.RefusedShare, seen.TypicalRun
			}
			d.loop.ReportLoad(load)
		case <-ctx.Done():
			return
		}
	}
}
