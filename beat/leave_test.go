package beat

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// Guards against acknowledged departures that a restart of the daemon forgets: the
// acknowledgement came from memory, before the replicated state had the departure.
func TestDepartureIsAcknowledgedOnceRecorded(t *testing.T) {
	for _, tt := range []struct {
		name  string
		leave func(f *fixture, e pollenlatch.Endpoint) error
	}{
		{"deregistration", func(f *fixture, e pollenlatch.Endpoint) error { return f.tracker.Leave(e.ID) }},
		{"heartbeat", func(f *fixture, e pollenlatch.Endpoint) error {
			f.seq++
			e.Draining = true
			_, err := f.tracker.Heartbeat(pollenlatch.Heartbeat{Endpoint: e, Seq: f.seq})
			return err
		}},
	} {
		start := func(t *testing.T) (f *fixture, e pollenlatch.Endpoint, result chan error) {
			t.Helper()
			f, e, result = newFixture(t), newEndpoint("i-1", 1), make(chan error, 1)
			f.initState(e)
			f.heartbeat(e)
			go func() { result <- tt.leave(f, e) }()
			synctest.Wait()
			require.Empty(t, result, "acknowledged before it was recorded")
			require.True(t, f.announced[len(f.announced)-1].Draining)
			return f, e, result
		}
		t.Run(tt.name+", recorded", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, e, result := start(t)
				time.Sleep(recordTimeout / 2)
				e.Draining = true
				f.announce(e)
				synctest.Wait()
				require.NoError(t, <-result)
				begin := time.Now()
				require.NoError(t, tt.leave(f, e), "sent again")
				require.Zero(t, time.Since(begin))
			})
		})
		t.Run(tt.name+", no quorum", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, _, result := start(t)
				begin := time.Now()
				require.ErrorIs(t, <-result, pollenlatch.ErrNotRecorded)
				require.Less(t, time.Since(begin), time.Second, "the server does not wait longer")
			})
		})
		t.Run(tt.name+", another server is recorded", func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f, _, result := start(t)
				other := newEndpoint("i-0", 7)
				other.Draining = true
				f.announce(other)
				require.ErrorIs(t, <-result, pollenlatch.ErrNotRecorded)
			})
		})
	}
}

// Guards against the acknowledgement of a draining heartbeat through an older one that
// arrives while it waits for its record.
func TestDelayedDrainingHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f, e := newFixture(t), newEndpoint("i-1", 1)
		f.initState(e)
		f.heartbeat(e)
		e.Draining = true
		go func() { _, _ = f.tracker.Heartbeat(pollenlatch.Heartbeat{Endpoint: e, Seq: 9}) }()
		synctest.Wait()
		_, err := f.tracker.Heartbeat(pollenlatch.Heartbeat{Endpoint: e, Seq: 8})
		require.ErrorIs(t, err, pollenlatch.ErrNotRecorded)
		time.Sleep(recordTimeout)
	})
}

// Guards against servers that return to work after they said that they leave.
func TestServerDoesNotReturnFromDraining(t *testing.T) {
	f, e := newFixture(t), newEndpoint("i-1", 1)
	f.initState(e)
	left := e
	left.Draining = true
	f.announce(left)
	f.heartbeat(left)
	f.heartbeat(e)
	require.True(t, f.announced[len(f.announced)-1].Draining)
}
