package serve

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// grants says what the server was granted.
type grants struct {
	held    bool
	wait    time.Duration // until its next heartbeat
	changed chan struct{}
	brings  bool // the heartbeat that closes changed brings the grant
	leaving pollenlatch.MonoTime
}

func (g *grants) HasGrant(pollenlatch.Shard, pollenlatch.Fence) (bool, time.Duration) {
	if g.brings {
		select {
		case <-g.changed:
			return true, 0
		default:
		}
	}
	return g.held, g.wait
}
func (g *grants) Changed() <-chan struct{}            { return g.changed }
func (g *grants) DrainingSince() pollenlatch.MonoTime { return g.leaving }
func (g *grants) ServerRefused(pollenlatch.Shard)     {}
func (g *grants) ServerReplaced()                     {}

func grantServer(g *grants, owner pollenlatch.Owner) *Server {
	view := shardView{owner: owner}
	return &Server{cfg: Config{Grants: g, Control: &shardControl{view: view}}}
}

// shardView is a view with one owner.
type shardView struct {
	pollenlatch.View
	owner pollenlatch.Owner
}

func (v shardView) ShardOwner(pollenlatch.Shard) (pollenlatch.Owner, bool) { return v.owner, true }

// shardControl is the control state of instance 1.
type shardControl struct {
	pollenlatch.Control
	view shardView
}

func (c *shardControl) Self() pollenlatch.InstanceID { return 1 }
func (c *shardControl) View() pollenlatch.View       { return c.view }

// A request for a key that the server does not have yet waits for the next
// heartbeat if that comes in time, and is refused at once if it does not.
func TestGranted(t *testing.T) {
	owned := pollenlatch.Owner{Shard: shard, Instance: 1, Fence: 4}
	for _, tt := range []struct {
		name   string
		grants grants
		owner  pollenlatch.Owner
		reason pollenlatch.Reason // empty: it may run
		after  time.Duration      // until the answer
	}{
		{"granted", grants{held: true}, owned, "", 0},
		{"another instance owns the key", grants{}, pollenlatch.Owner{Shard: shard, Instance: 2, Fence: 5}, pollenlatch.ReasonWrongOwner, 0},
		{"the key has a newer fence", grants{}, pollenlatch.Owner{Shard: shard, Instance: 1, Fence: 5}, pollenlatch.ReasonWrongOwner, 0},
		{"the key is being handed over", grants{}, pollenlatch.Owner{Shard: shard, Instance: 1, Fence: 4, Next: 2}, pollenlatch.ReasonWrongOwner, 0},
		{"the heartbeat comes too late for it", grants{wait: 600 * time.Millisecond}, owned, pollenlatch.ReasonNotGranted, 0},
		{"the heartbeat does not come", grants{wait: 100 * time.Millisecond}, owned, pollenlatch.ReasonNotGranted, 100*time.Millisecond + grantSlack},
	} {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := tt.grants
				g.changed = make(chan struct{})
				r := &pollenlatch.Request{RequestHead: pollenlatch.RequestHead{Shard: shard, Fence: 4}, Deadline: time.Now().Add(time.Second)}
				start := time.Now()
				f := grantServer(&g, tt.owner).granted(t.Context(), r)
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
	t.Run("the heartbeat brings it", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := &grants{wait: 300 * time.Millisecond, brings: true, changed: make(chan struct{})}
			r := &pollenlatch.Request{RequestHead: pollenlatch.RequestHead{Shard: shard, Fence: 4}, Deadline: time.Now().Add(time.Second)}
			time.AfterFunc(200*time.Millisecond, func() { close(g.changed) })
			require.Nil(t, grantServer(g, owned).granted(t.Context(), r))
		})
	})
	t.Run("the caller leaves", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			g := &grants{wait: 300 * time.Millisecond, changed: make(chan struct{})}
			r := &pollenlatch.Request{RequestHead: pollenlatch.RequestHead{Shard: shard, Fence: 4}, Deadline: time.Now().Add(time.Second)}
			ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
			defer cancel()
			f := grantServer(g, owned).granted(ctx, r)
			require.Equal(t, pollenlatch.ReasonCancelled, f.Reason)
		})
	})
}

// A server that leaves gets nothing more well before it may be stopped.
func TestDrained(t *testing.T) {
	now := pollenlatch.BootClock{}.Now()
	for _, tt := range []struct {
		name  string
		since pollenlatch.MonoTime
		want  bool
	}{
		{"does not leave", 0, false},
		{"has just said so", now, false},
		{"said so a while ago", now.Add(-drainStop), true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			require.Equal(t, tt.want, grantServer(&grants{leaving: tt.since}, pollenlatch.Owner{}).drained())
		})
	}
	require.False(t, (&Server{}).drained())
}
