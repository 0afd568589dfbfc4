package relay

import (
	"errors"
	"time"
)

// giveUp records that the exchange has failed with err after bytes were sent. When this
// daemon has ended it, the server may go on with the request until the deadline that it
// was told.
func (x *exchange) giveUp(err error) {
	if x.inFlight == nil {
		return
	}
	g, now := x.relay.cfg.Gauge, time.Now()
	silent := errors.Is(err, errSilent)
	if !silent && !isTimeout(err) && x.ctx.Err() == nil && x.bodyErr == nil {
		g.End(x.inFlight)
		return
	}
	g.Abandon(x.inFlight, x.runDeadline, now)
	x.afterSilence(silent, now)
}
