package daemon

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A daemon whose callers stay connected until the drain timeout must reject
// forwarded requests earlier. Otherwise those in flight at the timeout are
// aborted.
func TestShutdownLeavesTimeForForwardedRequests(t *testing.T) {
	const drainTimeout, maxForwardedAcceptTime = 5 * time.Second, 700 * time.Millisecond
	for _, tt := range []struct {
		name             string
		callersLeave     time.Duration // time until the callers have disconnected
		wantForwardedEnd time.Duration // time from which forwarded requests are rejected
	}{
		{"callers leave soon", 200 * time.Millisecond, 200 * time.Millisecond},
		{"callers stay", time.Minute, maxForwardedAcceptTime},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), drainTimeout)
				defer cancel()
				start := time.Now()
				var forwardedEnd time.Duration
				c := connectionDrain{
					drainCallers: func(ctx context.Context) error {
						select {
						case <-time.After(tt.callersLeave):
							return nil
						case <-ctx.Done():
							return ctx.Err()
						}
					},
					drainForwarded: func(context.Context) error {
						forwardedEnd = time.Since(start)
						return nil
					},
					maxForwardedAcceptTime: maxForwardedAcceptTime,
				}
				callersErr, forwardedErr := c.run(ctx)
				require.Equal(t, tt.callersLeave > drainTimeout, callersErr != nil)
				require.NoError(t, forwardedErr)
				require.Equal(t, tt.wantForwardedEnd, forwardedEnd)
			})
		})
	}
}
