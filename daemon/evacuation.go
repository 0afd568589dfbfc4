package daemon

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/evac"
	"pollenlatch/serve"
)

// evacuationTimeout limits the wait for the verdict on an order. Operators wait for a
// second, and try another instance then.
const evacuationTimeout = 850 * time.Millisecond

// errOrderRefused is the error of an order that the group has refused.
var errOrderRefused = errors.New("order refused")

// evacuator implements pollenlatch.Evacuator.
type evacuator struct{ *Daemon }

// Evacuate implements pollenlatch.Evacuator.
func (e evacuator) Evacuate(order pollenlatch.Evacuate) error {
	ctx, cancel := context.WithTimeout(context.Background(), evacuationTimeout)
	defer cancel()
	verdict, err := e.loop.SubmitEvacuation(ctx, &order)
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", pollenlatch.ErrNoVerdict, err)
	case !verdict.Accepted:
		return fmt.Errorf("%w: %s", errOrderRefused, strings.Join(verdict.Faults, "; "))
	default:
		return nil
	}
}

// newEvacuationRule returns the rule for servers of evacuated data centres.
func (d *Daemon) newEvacuationRule() evac.Rule {
	r := evac.Rule{Since: d.control.EvacuatedSince}
	if p := d.cfg.Platform; p != nil {
		r.Limit = p.EvacuationTime
	}
	return r
}

// watchEvacuation refuses the requests that wait for the local server once it must get
// no more, until ctx ends. Otherwise they would wait for slots in vain.
func (d *Daemon) watchEvacuation(ctx context.Context) {
	var graceOver <-chan time.Time
	watched := false
	for {
		changed := d.control.Changed()
		left, evacuated := d.evacuation.Left(d.cfg.DC)
		switch {
		case evacuated && !watched:
			e, _ := d.localServer()
			s, _ := d.control.View().Service(e.Service)
			klog.InfoS("data centre of this instance is evacuated", "dc", d.cfg.DC, "server", e.ID, "keyed", s.Keyed, "graceMs", left.Milliseconds())
			if !s.Keyed {
				left = 0
			}
			graceOver = time.After(left)
		case !evacuated && watched:
			klog.InfoS("data centre of this instance is no longer evacuated", "dc", d.cfg.DC)
			graceOver = nil
		}
		watched = evacuated
		select {
		case <-changed:
		case <-graceOver:
			graceOver = nil
			if a, ok := d.admitter.(drainingAdmitter); ok {
				a.RefuseWaiting(serve.Evacuated)
			}
		case <-ctx.Done():
			return
		}
	}
}
