package link

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// nodeWithDial returns a node that connects with dial. It can be used in a synctest
// bubble only while no session is opened, because yamux shares timers between tests.
func nodeWithDial(t *testing.T, dial func(ctx context.Context) (net.Conn, error)) *Node {
	t.Helper()
	n, err := New(Config{
		Group: "g", Name: "a", Incarnation: 1, Key: testKey,
		Dial: func(ctx context.Context, _ string) (net.Conn, error) { return dial(ctx) },
	})
	require.NoError(t, err)
	return n
}

// Dialling a lost peer must back off, so that it does not use a whole processor.
// Messages to that peer must not block their sender.
func TestControlBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int64
		n := nodeWithDial(t, func(context.Context) (net.Conn, error) {
			dials.Add(1)
			return nil, errors.New("peer is not listening")
		})
		const duration = 10 * time.Second
		for range duration / (10 * time.Millisecond) {
			n.Send("x", renew(1))
			<-time.After(10 * time.Millisecond)
		}
		// Jitter makes an interval from 0.5 to 1.5 times as long.
		require.Less(t, dials.Load(), int64(duration/(maxRedialInterval/2))+10)
		require.Greater(t, dials.Load(), int64(duration/(maxRedialInterval*3/2)), "must continue to dial")
		<-time.After(2 * maxQueueAge)
		before := dials.Load()
		<-time.After(time.Minute)
		require.Equal(t, before, dials.Load(), "must not dial when nothing is queued")
		require.NoError(t, n.Close())
	})
}

// A dial that does not complete must not block the sender of messages.
func TestControlToSilentPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := nodeWithDial(t, func(ctx context.Context) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		start := time.Now()
		for range 3 * maxQueueLength {
			n.Send("x", renew(1))
		}
		require.Zero(t, time.Since(start))
		require.NoError(t, n.Close())
	})
}

// On a saturated network link a connection takes up to a second to open. A daemon that
// gives up each time before that has no control link, and serves by an outdated
// configuration for as long as its link is full.
func TestControlOverSaturatedLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var opened atomic.Bool
		n := nodeWithDial(t, func(ctx context.Context) (net.Conn, error) {
			select {
			case <-time.After(time.Second):
				opened.Store(true)
				return nil, errors.New("connected")
			case <-ctx.Done():
				return nil, ctx.Err()
			}
		})
		for range 40 {
			n.Send("x", renew(1))
			<-time.After(100 * time.Millisecond)
		}
		require.True(t, opened.Load())
		require.NoError(t, n.Close())
	})
}

// A peer that connects and sends nothing must not keep its connection.
func TestHandshakeTimesOut(t *testing.T) {
	for name, dialled := range map[string]bool{"dialling": true, "accepting": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b := net.Pipe()
				defer func() { _ = b.Close() }()
				n := &Node{cfg: Config{Group: "g", Name: "a", Incarnation: 1, Key: testKey}.withDefaults()}
				start := time.Now()
				_, err := n.handshake(a, dialled, purposeRequests)
				require.Error(t, err)
				require.Equal(t, DefaultHandshakeTimeout, time.Since(start))
			})
		})
	}
}

// A dial that takes longer than the time left for a request must not block its
// caller.
func TestForwardDialDeadline(t *testing.T) {
	for _, c := range []struct {
		name    string
		timeout time.Duration
		reason  pollenlatch.Reason
	}{
		{"deadline first", DefaultDialTimeout / 2, pollenlatch.ReasonDeadlineExceeded},
		{"dial timeout first", time.Second, pollenlatch.ReasonUnreachable},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := nodeWithDial(t, func(ctx context.Context) (net.Conn, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				})
				r := request(nil, 0)
				r.Deadline = time.Now().Add(c.timeout)
				start := time.Now()
				_, err := n.Forward(t.Context(), "x", r)
				requireFailure(t, err, pollenlatch.OutcomeNotRun, c.reason)
				require.Equal(t, min(c.timeout, DefaultDialTimeout), time.Since(start))
				require.NoError(t, n.Close())
				require.Empty(t, n.outbound.sessions)
			})
		})
	}
}
