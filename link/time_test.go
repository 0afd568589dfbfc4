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

// dialNode returns a node that connects with dial. It runs on the fake clock
// as long as no session comes about: yamux shares timers between tests.
func dialNode(t *testing.T, dial func(ctx context.Context) (net.Conn, error)) *Node {
	t.Helper()
	n, err := New(Config{
		Group: "g", Name: "a", Incarnation: 1, Key: testKey,
		Dial: func(ctx context.Context, _ string) (net.Conn, error) { return dial(ctx) },
	})
	require.NoError(t, err)
	return n
}

// Messages to a lost peer must not block their sender, and the attempts to
// reach it must not take all the time of a processor.
func TestControlBacksOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var dials atomic.Int64
		n := dialNode(t, func(context.Context) (net.Conn, error) {
			dials.Add(1)
			return nil, errors.New("nobody there")
		})
		const span = 10 * time.Second
		for range span / (10 * time.Millisecond) {
			n.Send("x", renew(1))
			<-time.After(10 * time.Millisecond)
		}
		// Half of an interval is random: from half to one and a half times.
		require.Less(t, dials.Load(), int64(span/(redialMost/2))+10)
		require.Greater(t, dials.Load(), int64(span/(redialMost*3/2)), "but it goes on trying")
		<-time.After(2 * queueAge)
		last := dials.Load()
		<-time.After(time.Minute)
		require.Equal(t, last, dials.Load(), "nothing to send")
		require.NoError(t, n.Close())
	})
}

// A peer that accepts and says nothing must not hold up the sender.
func TestControlToSilentPeer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := dialNode(t, func(ctx context.Context) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		})
		start := time.Now()
		for range 3 * queueLength {
			n.Send("x", renew(1))
		}
		require.Zero(t, time.Since(start))
		require.NoError(t, n.Close())
	})
}

// A stranger that connects and says nothing must not keep a connection.
func TestHandshakeTimesOut(t *testing.T) {
	for name, dialled := range map[string]bool{"dialling": true, "accepting": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b := net.Pipe()
				defer func() { _ = b.Close() }()
				n := &Node{cfg: Config{Group: "g", Name: "a", Incarnation: 1, Key: testKey}.withDefaults()}
				start := time.Now()
				_, err := n.handshake(a, dialled, forData)
				require.Error(t, err)
				require.Equal(t, DefaultHandshakeTimeout, time.Since(start))
			})
		})
	}
}

// A dial that takes longer than the request has must not hold its caller.
func TestForwardDialDeadline(t *testing.T) {
	for _, c := range []struct {
		name   string
		left   time.Duration
		reason pollenlatch.Reason
	}{
		{"deadline first", DefaultDialTimeout / 2, pollenlatch.ReasonDeadlineExceeded},
		{"dial gives up first", time.Second, pollenlatch.ReasonUnreachable},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				n := dialNode(t, func(ctx context.Context) (net.Conn, error) {
					<-ctx.Done()
					return nil, ctx.Err()
				})
				r := request(nil, 0)
				r.Deadline = time.Now().Add(c.left)
				start := time.Now()
				_, err := n.Forward(t.Context(), "x", r)
				requireFailure(t, err, pollenlatch.OutcomeNotRun, c.reason)
				require.Equal(t, min(c.left, DefaultDialTimeout), time.Since(start))
				require.NoError(t, n.Close())
				require.Empty(t, n.pool.sessions)
			})
		})
	}
}
