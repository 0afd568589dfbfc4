package beat

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// A limit must reach the state at once and stay there with the next heartbeats, which
// do not name it. Small and quick changes must not fill the log.
func TestLimitIsAnnounced(t *testing.T) {
	f := newFixture(t)
	e := newEndpoint("s1", 1)
	f.initState(e)
	f.heartbeat(e)
	set := func(limit float64) { f.tracker.Observe(e.Incarnation, limit, false) }
	limits := func() (out []float64) {
		for _, e := range f.announced[1:] {
			out = append(out, e.Limit)
		}
		return out
	}
	set(30)
	require.Equal(t, []float64{30}, limits())
	set(60)
	require.Equal(t, []float64{30}, limits(), "too soon after the last")
	f.now = f.now.Add(time.Second)
	set(61)
	set(62)
	f.heartbeat(e)
	require.Equal(t, []float64{30, 61, 62}, limits(), "the heartbeat announces the small change")
	f.tracker.Observe(e.Incarnation+1, 5, false)
	require.Len(t, limits(), 3, "another server")
	set(62)
	f.now = f.now.Add(time.Second)
	set(0)
	require.Equal(t, []float64{30, 61, 62, 0}, limits())
}

// A restarted daemon must keep the limit of a server that is still running; its
// heartbeats do not name it.
func TestLimitIsInherited(t *testing.T) {
	e := newEndpoint("s1", 1)
	limited := e
	limited.Limit = 12
	for name, next := range map[string]struct {
		id        string
		startedAt int64
		want      float64
	}{
		"same server":    {"s1", 1, 12},
		"another server": {"s2", 2, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.initState(limited)
			require.NoError(t, f.tracker.Inherit(limited))
			f.heartbeat(newEndpoint(next.id, next.startedAt))
			require.Equal(t, next.want, f.announced[len(f.announced)-1].Limit)
		})
	}
}

// A server that says in a response that it leaves must get no new work, although its
// heartbeats do not say so, and also after a restart of this daemon.
func TestLeavingResponse(t *testing.T) {
	e := newEndpoint("s1", 1)
	t.Run("announced", func(t *testing.T) {
		f := newFixture(t)
		f.initState(e)
		f.heartbeat(e)
		f.tracker.Observe(e.Incarnation+1, 0, true)
		require.Zero(t, f.tracker.DrainingSince(), "another server")
		f.tracker.Observe(e.Incarnation, 0, true)
		require.Equal(t, f.now, f.tracker.DrainingSince())
		require.True(t, f.announced[len(f.announced)-1].Draining)
		f.now = f.now.Add(time.Second)
		f.tracker.Observe(e.Incarnation, 0, true)
		f.heartbeat(e)
		require.Len(t, f.announced, 2)
		require.Equal(t, f.now.Add(-time.Second), f.tracker.DrainingSince())
	})
	left := e
	left.Draining = true
	for name, heartbeatFirst := range map[string]bool{"restart, state first": false, "restart, heartbeat first": true} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.initState(left)
			if heartbeatFirst {
				f.heartbeat(e)
			}
			require.NoError(t, f.tracker.Inherit(left))
			f.heartbeat(e)
			require.Equal(t, inheritedDrain, f.tracker.DrainingSince())
			require.True(t, f.announced[len(f.announced)-1].Draining)
		})
	}
	t.Run("the next server", func(t *testing.T) {
		f := newFixture(t)
		f.initState(left)
		require.NoError(t, f.tracker.Inherit(left))
		f.heartbeat(newEndpoint("s2", 2))
		require.Zero(t, f.tracker.DrainingSince())
		require.False(t, f.announced[len(f.announced)-1].Draining)
	})
}

// The cold state must reach the state with the announcement of the server, and at once
// when the server becomes cold in mid-life. Servers that alternate, and all servers of a
// data centre that are cold at once, must not fill the log.
func TestColdIsAnnounced(t *testing.T) {
	f := newFixture(t)
	e := newEndpoint("s1", 1)
	f.initState(e)
	coldFor := 3 * time.Second
	var service string
	f.tracker.cfg.Cold = func(e pollenlatch.Endpoint, left time.Duration) bool {
		service = e.Service
		return left > 0
	}
	heartbeat := func(left time.Duration) {
		f.seq++
		_, err := f.tracker.Heartbeat(pollenlatch.Heartbeat{Endpoint: e, Seq: f.seq, ColdFor: left})
		require.NoError(t, err)
	}
	cold := func() (out []bool) {
		for _, e := range f.announced {
			out = append(out, e.Cold)
		}
		return out
	}
	heartbeat(coldFor)
	require.Equal(t, "listing", service)
	require.Equal(t, []bool{true}, cold(), "with the first announcement")
	heartbeat(coldFor)
	f.now = f.now.Add(5 * time.Second)
	heartbeat(0)
	require.Equal(t, []bool{true, false}, cold())
	f.tracker.ObserveCold(e.Incarnation)
	require.Len(t, cold(), 2, "too soon after the last")
	f.now = f.now.Add(minColdInterval)
	f.tracker.ObserveCold(e.Incarnation + 1)
	require.Len(t, cold(), 2, "another server")
	f.tracker.ObserveCold(e.Incarnation)
	f.tracker.ObserveCold(e.Incarnation)
	require.Equal(t, []bool{true, false, true}, cold())
}

// Keys that come to a server without the token of the previous one are slow there at
// first. The server must not be taken for new when it holds them already, and the daemon
// has only restarted.
func TestMovedKeysAreReported(t *testing.T) {
	f := newFixture(t)
	e := newEndpoint("s1", 1)
	f.initState(e)
	var moved [][2]int
	f.tracker.cfg.Moved = func(added, total int) { moved = append(moved, [2]int{added, total}) }
	f.assign(0, 1, 2)
	f.heartbeat(e, keyRanges(f.fence(0), 0)...)
	require.Equal(t, [][2]int{{2, 3}}, moved, "the server holds one of them")
	f.heartbeat(e)
	require.Len(t, moved, 2)
	f.heartbeat(e, keyRanges(f.fence(0), 0, 1, 2)...)
	f.assign(3)
	f.heartbeat(e, keyRanges(f.fence(0), 0, 1, 2)...)
	require.Equal(t, [2]int{1, 4}, moved[len(moved)-1])
}
