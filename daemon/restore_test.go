package daemon

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

func newPlatformDaemon(t *testing.T) *Daemon {
	t.Helper()
	d, err := New(Config{
		Name: "a", DC: "howrah", Group: "main", Key: make([]byte, 32), Front: "127.0.0.1:0", Link: "127.0.0.1:0", Voters: []pollenlatch.Member{{Name: "v", Addr: "127.0.0.1:1"}},
		Platform: &Platform{LocalService: "listing", HeartbeatInterval: time.Second},
	})
	require.NoError(t, err)
	return d
}

// A daemon that restarts must keep the limit of its server from the first request on,
// whichever of the state and the server's heartbeat it receives first. The heartbeat
// does not name the limit.
func TestLimitAfterRestart(t *testing.T) {
	const limit = 12.0
	e := pollenlatch.Endpoint{Service: "listing", Addr: "127.0.0.1:1", Incarnation: 7, Slots: 9, Ready: true, Heartbeats: true, ID: "s1", StartedAt: 1}
	limited := e
	limited.Limit = limit
	other := limited
	other.Incarnation = 8
	for _, tt := range []struct {
		name  string
		known *pollenlatch.Endpoint // from a heartbeat before the state
		state pollenlatch.Endpoint
		want  float64
	}{
		{"state first", nil, limited, limit},
		{"heartbeat first", &e, limited, limit},
		{"state without a limit", &e, e, 0},
		{"state of an earlier server", &e, other, 0},
	} {
		t.Run(tt.name, func(t *testing.T) {
			d := newPlatformDaemon(t)
			if tt.known != nil {
				d.mu.Lock()
				d.useEndpointLocked(*tt.known)
				d.mu.Unlock()
			}
			d.inheritEndpoint(tt.state)
			require.Equal(t, tt.want, d.limit.Limit())
			d.observeServer(pollenlatch.ServerSignals{Incarnation: e.Incarnation, SentAt: time.Now()})
			require.Zero(t, d.limit.Limit(), "the server names no limit any more")
		})
	}
}

// The load that one server states must not be taken for that of the next one at its
// address, and requests that an earlier process of the daemon has sent take up slots.
func TestLoadOfServer(t *testing.T) {
	d := newPlatformDaemon(t)
	e := pollenlatch.Endpoint{Service: "listing", Addr: "127.0.0.1:1", Incarnation: 7, Slots: 9, Ready: true, Heartbeats: true, ID: "s1", StartedAt: 1}
	d.inheritEndpoint(e)
	state := func(of pollenlatch.Incarnation) {
		d.observeServer(pollenlatch.ServerSignals{Incarnation: of, Load: &pollenlatch.ServerLoad{Running: 4, Slots: 9, Slowness: 300}})
	}
	state(7)
	require.EqualValues(t, 300, d.gauge.Slowness(time.Now()))
	_, free := d.localFreeSlots()
	require.Equal(t, 5, free)
	e.Incarnation, e.StartedAt = 8, 2
	d.Announce(e)
	state(7)
	require.Zero(t, d.gauge.Slowness(time.Now()))
	_, free = d.localFreeSlots()
	require.Equal(t, 9, free)
}

// A deployment that asks for none of the parts for overload is served as before, although
// its servers state three figures of their load.
func TestLoadWithoutSlowness(t *testing.T) {
	d := newPlatformDaemon(t)
	d.inheritEndpoint(pollenlatch.Endpoint{Service: "listing", Addr: "127.0.0.1:1", Incarnation: 7, Slots: 9, Ready: true, Heartbeats: true, ID: "s1", StartedAt: 1})
	d.observeServer(pollenlatch.ServerSignals{Incarnation: 7, Load: &pollenlatch.ServerLoad{Running: 4, Slots: 9}})
	require.False(t, d.gauge.StatesLoad())
}
