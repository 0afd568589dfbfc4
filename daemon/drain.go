package daemon

import (
	"context"
	"sync"
	"time"
)

// connectionDrain drains the connections of callers and of other daemons.
// Forwarded requests are accepted until the callers have disconnected, but only
// for a limited time, so that those in flight can complete before the drain
// timeout.
type connectionDrain struct {
	drainCallers           func(context.Context) error // returns when the callers have disconnected
	drainForwarded         func(context.Context) error // rejects further forwarded requests, and waits for those in flight
	maxForwardedAcceptTime time.Duration               // maximum time for which forwarded requests are still accepted
}

// run drains both and returns their errors.
func (c connectionDrain) run(ctx context.Context) (callersErr, forwardedErr error) {
	callersGone := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		defer close(callersGone)
		callersErr = c.drainCallers(ctx)
	})
	t := time.NewTimer(c.maxForwardedAcceptTime)
	defer t.Stop()
	select {
	case <-callersGone:
	case <-t.C:
	}
	forwardedErr = c.drainForwarded(ctx)
	wg.Wait()
	return callersErr, forwardedErr
}
