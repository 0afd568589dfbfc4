package front

import (
	"slices"
	"time"

	"pollenlatch"
)

// doneFunc reports the result of a request to the picker.
type doneFunc = func(pollenlatch.Outcome, pollenlatch.Reason, time.Duration)

// preferOwnServer returns the own server instead of the picked endpoint for a request
// with a large body, if it is free: the body then does not cross the network a second
// time.
func (p *pendingRequest) preferOwnServer(usable []pollenlatch.Instance, picked pollenlatch.Instance, done doneFunc) (pollenlatch.Instance, doneFunc) {
	self := p.cfg.Control.Self()
	if !p.request.LargeBody || picked.ID == self || p.tried.Has(self) || p.cfg.OwnServerFree == nil || !p.cfg.OwnServerFree() {
		return picked, done
	}
	n := slices.IndexFunc(usable, func(i pollenlatch.Instance) bool { return i.ID == self })
	if n < 0 {
		return picked, done
	}
	own, ownDone, ok := p.cfg.Picker.Pick(usable[n:n+1], p.cfg.DC, p.tried)
	if !ok {
		return picked, done
	}
	done(pollenlatch.OutcomeNotRun, pollenlatch.ReasonCancelled, 0)
	p.ownServer.Inc()
	return own, ownDone
}
