package hints

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// fakeView is a View with services, and perhaps with large request bodies.
type fakeView struct {
	pollenlatch.View
	version  pollenlatch.Version
	services []pollenlatch.Service
	large    bool
}

func (v fakeView) Version() pollenlatch.Version    { return v.version }
func (v fakeView) Services() []pollenlatch.Service { return v.services }
func (v fakeView) HasLargeBodies() bool            { return v.large }

// A deployment that does not ask for the parts for overload is served as before.
func TestCondition(t *testing.T) {
	var c Condition
	plain := fakeView{version: 1, services: []pollenlatch.Service{{Name: "a"}}}
	require.False(t, c.Applies(plain))
	require.True(t, c.Applies(fakeView{version: 2, services: []pollenlatch.Service{{Name: "a"}, {Name: "b", ColdTime: time.Second}}}))
	require.False(t, c.Applies(plain), "the configuration was taken back")
	require.True(t, c.Applies(fakeView{version: 3, large: true}))
	c.RecordLoad(nil)
	c.RecordLoad(&pollenlatch.ServerLoad{Running: 1, Slots: 2})
	require.False(t, c.Applies(plain), "servers that report three figures")
	c.RecordLoad(&pollenlatch.ServerLoad{Slowness: 100})
	require.True(t, c.Applies(plain))
}

func instance(id pollenlatch.InstanceID) pollenlatch.Instance {
	return pollenlatch.Instance{ID: id, Endpoint: &pollenlatch.Endpoint{Incarnation: pollenlatch.Incarnation(id)}}
}

// Guards against requests that are held although no server can take them, and against
// refusals where a server could: one with less urgent work, or of which too little is
// known.
func TestFull(t *testing.T) {
	now := time.Unix(1000, 0)
	full := pollenlatch.ServerHint{Slots: 9, Waiting: 8, WaitMillis: 200, LowestClass: 2, RefusedClass: 2}
	for _, tt := range []struct {
		name   string
		change func(h *pollenlatch.ServerHint)
		age    time.Duration
		class  pollenlatch.Class
		want   bool
	}{
		{"full of as urgent requests", nil, 0, 2, true},
		{"full of more urgent requests", nil, 0, 3, true},
		{"the request is more urgent than the refused one", nil, 0, 1, false},
		{"something less urgent waits or runs", func(h *pollenlatch.ServerHint) { h.LowestClass = 3 }, 0, 2, false},
		{"a slot is free", func(h *pollenlatch.ServerHint) { h.FreeSlots = 1 }, 0, 2, false},
		{"nothing was refused", func(h *pollenlatch.ServerHint) { h.RefusedClass = 0 }, 0, 2, false},
		{"the named wait has passed", nil, 200 * time.Millisecond, 2, false},
		{"the hint is old", func(h *pollenlatch.ServerHint) { h.WaitMillis = 5000 }, maxFullAge, 2, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			var table Table
			servers := []pollenlatch.Instance{instance(1), instance(7)}
			table.Record(servers[0], &full, now)
			_, got := table.Full(servers, tt.class, false, now)
			require.False(t, got, "nothing is known of a server")
			h := full
			h.WaitMillis = 120
			if tt.change != nil {
				tt.change(&h)
			}
			table.Record(servers[1], &h, now)
			if h.WaitMillis == 5000 {
				table.Record(servers[0], &h, now)
			}
			wait, got := table.Full(servers[1:], tt.class, false, now.Add(tt.age))
			require.Equal(t, tt.want, got)
			if tt.want {
				require.Equal(t, 120*time.Millisecond, wait)
				wait, _ = table.Full(servers, tt.class, false, now)
				require.Equal(t, 120*time.Millisecond, wait, "the best server")
				_, got = table.Full(servers, tt.class, true, now)
				require.Equal(t, tt.class > full.RefusedClass, got, "a caller that has come back goes first in its class")
			}
		})
	}
	t.Run("another server at the instance", func(t *testing.T) {
		var table Table
		i := instance(1)
		table.Record(i, &full, now)
		i.Endpoint = &pollenlatch.Endpoint{Incarnation: 99}
		_, got := table.Full([]pollenlatch.Instance{i}, 3, false, now)
		require.False(t, got)
	})
}

// Retry-After names the time at which the best server is likely to have a slot.
func TestWait(t *testing.T) {
	var table Table
	now := time.Unix(1000, 0)
	servers := []pollenlatch.Instance{instance(1), instance(2), instance(3)}
	_, known := table.Wait(servers, now)
	require.False(t, known)
	table.Record(servers[0], &pollenlatch.ServerHint{WaitMillis: 300}, now)
	table.Record(servers[2], &pollenlatch.ServerHint{WaitMillis: 80}, now)
	wait, known := table.Wait(servers, now)
	require.True(t, known)
	require.Equal(t, 80*time.Millisecond, wait)
	_, known = table.Wait(servers, now.Add(maxAge))
	require.False(t, known)
}

// The worst case: all of 200 servers are full.
func BenchmarkFull(b *testing.B) {
	var table Table
	now := time.Unix(1000, 0)
	var servers []pollenlatch.Instance
	for n := range 200 {
		servers = append(servers, instance(pollenlatch.InstanceID(n+1)))
		table.Record(servers[n], &pollenlatch.ServerHint{WaitMillis: 200, LowestClass: 1, RefusedClass: 1}, now)
	}
	for b.Loop() {
		if _, full := table.Full(servers, 2, false, now); !full {
			b.Fatal("not full")
		}
	}
}
