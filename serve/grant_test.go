package serve

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// fakeGrants is a Grants with one answer for all shards.
type fakeGrants struct {
	granted        bool
	nextHeartbeat  time.Duration // time until the next heartbeat
	changed        chan struct{}
	grantsOnChange bool // shards are granted once changed is closed
	drainingSince  pollenlatch.MonoTime
}

func (g *fakeGrants) HasGrant(pollenlatch.Shard, pollenlatch.Fence) (bool, time.Duration) {
	if g.grantsOnChange {
		select {
		case <-g.changed:
			return true, 0
		default:
		}
	}
	return g.granted, g.nextHeartbeat
}
func (g *fakeGrants) Changed() <-chan struct{}            { return g.changed }
func (g *fakeGrants) DrainingSince() pollenlatch.MonoTime { return g.drainingSince }
func (g *fakeGrants) ServerRefused(pollenlatch.Shard)     {}
func (g *fakeGrants) ServerReplaced()                     {}

func newGrantServer(g *fakeGrants, owner pollenlatch.Owner) *Server {
	view := fakeShardView{owner: owner}
	return &Server{cfg: Config{Grants: g, Control: &fakeShardControl{view: view}}}
}

// fakeShardView is a View with one owner.
type fakeShardView struct {
	pollenlatch.View
	owner pollenlatch.Owner
}

func (v fakeShardView) ShardOwner(pollenlatch.Shard) (pollenlatch.Owner, bool) { return v.owner, true }

// fakeShardControl is the Control of instance 1.
type fakeShardControl struct {
	pollenlatch.Control
	view fakeShardView
}

func (c *fakeShardControl) Self() pollenlatch.InstanceID { return 1 }
func (c *fakeShardControl) View() pollenlatch.View       { return c.view }

// A request for a key that the server has not been granted yet waits for the next
// heartbeat if that comes in time, and is refused at once otherwise.
func TestAwaitGrant(t *testing.T) {
	owned := pollenlatch.Owner{Shard: shard, Instance: 1, Fence: 4}
	for _, tt := range []struct {
		name   string
		grants fakeGrants
		owner  pollenlatch.Owner
		reason pollenlatch.Reason // empty: the request is admitted
		after  time.Duration      // time until the decision
	}{
		{"granted", fakeGrants{granted: true}, owned, "", 0},
		{"another instance owns the key", fakeGrants{}, pollenlatch.Owner{Shard: shard, Instance: 2, Fence: 5}, pollenlatch.ReasonWrongOwner, 0},
		{"the key has a newer fence", fakeGrants{}, pollenlatch.Owner{Shard: shard, Instance: 1, Fence: 5}, pollenlatch.ReasonWrongOwner, 0},
		{"the key is being handed over", fakeGrants{}, pollenlatch.Owner{Shard: shard, Instance: 1, Fence: 4, Next: 2}, pollenlatch.ReasonWrongOwner, 0},
		{"the next heartbeat is too late for the request", fakeGrants{nextHeartbeat: 600 * time.Millisecond}, owned, pollenlatch.ReasonNotGranted, 0},
		{"the heartbeat is overdue", fakeGrants{nextHeartbeat: 100 * time.Millisecond}, owned, pollenlatch.ReasonNotGranted, 100*time.Millisecond + heartbeatTolerance},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := tt.grants
				g.changed = make(chan struct{})
				r := &pollenlatch.Request{RequestHead: pollenlatch.RequestHead{Shard: shard, Fence: 4}, Deadline: time.Now().Add(time.Second)}
				start := time.Now()
				f := newGrantServer(&g, tt.owner).awaitGrant(t.Context(), r)
				require.Equal(t, tt.after, time.Since(start))
				if tt.reason == "" {
					require.Nil(t, f)
					return
				}
				require.NotNil(t, f)
				require.Equal(t, tt.reason, f.Reason)
				require.Equal(t, pollenlatch.OutcomeNotRun, f.Outcome)
			})
		})
	}
	t.Run("granted by the next heartbeat", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := &fakeGrants{nextHeartbeat: 300 * time.Millisecond, grantsOnChange: true, changed: make(chan struct{})}
			r := &pollenlatch.Request{RequestHead: pollenlatch.RequestHead{Shard: shard, Fence: 4}, Deadline: time.Now().Add(time.Second)}
			time.AfterFunc(200*time.Millisecond, func() { close(g.changed) })
			require.Nil(t, newGrantServer(g, owned).awaitGrant(t.Context(), r))
		})
	})
	t.Run("the caller disconnects", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := &fakeGrants{nextHeartbeat: 300 * time.Millisecond, changed: make(chan struct{})}
			r := &pollenlatch.Request{RequestHead: pollenlatch.RequestHead{Shard: shard, Fence: 4}, Deadline: time.Now().Add(time.Second)}
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			f := newGrantServer(g, owned).awaitGrant(ctx, r)
			require.Equal(t, pollenlatch.ReasonCancelled, f.Reason)
		})
	})
}

// Guards against requests that wait for a slot of a server and are sent to it long after
// it has begun to drain: they reached it 2.07 s after the acknowledgement.
func TestQueuedRequestsAtDrainingServer(t *testing.T) {
	for _, tt := range []struct {
		name     string
		draining time.Duration // how long when the request is sent; 0 is not draining
		want     pollenlatch.Reason
	}{
		{"not draining", 0, ""},
		{"just begun to drain", pollenlatch.DrainGrace / 2, ""},
		{"grace time over", pollenlatch.DrainGrace, pollenlatch.ReasonDraining},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h, grants := newHarness(), &fakeGrants{granted: true}
			h.server.cfg.Grants = grants
			h.exchanger.beforeCheck = func() {
				if tt.draining > 0 {
					grants.drainingSince = pollenlatch.BootClock{}.Now().Add(-tt.draining)
				}
			}
			_, err := h.call(newRequest())
			if tt.want == "" {
				require.NoError(t, err)
				return
			}
			var f *pollenlatch.Failure
			require.ErrorAs(t, err, &f)
			require.Equal(t, tt.want, f.Reason)
			require.Equal(t, pollenlatch.OutcomeNotRun, f.Outcome)
			require.Zero(t, h.exchanger.runs)
			h.requireIdle(t)
		})
	}
}

// A draining server must receive no more requests well before it may be stopped.
func TestDrainGrace(t *testing.T) {
	now := pollenlatch.BootClock{}.Now()
	for _, tt := range []struct {
		name  string
		since pollenlatch.MonoTime
		want  bool
	}{
		{"not draining", 0, false},
		{"just begun to drain", now, false},
		{"grace time over", now.Add(-pollenlatch.DrainGrace), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, newGrantServer(&fakeGrants{drainingSince: tt.since}, pollenlatch.Owner{}).drainGraceOver())
		})
	}
	require.False(t, (&Server{}).drainGraceOver())
}
