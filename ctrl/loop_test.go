package ctrl

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/quorum"
)

// synctestClock returns the fake time of a synctest bubble.
type synctestClock struct{ start time.Time }

func (c synctestClock) Now() pollenlatch.MonoTime {
	return pollenlatch.MonoTime(time.Since(c.start) + 1)
}

type noSender struct{}

func (noSender) Send(string, *pollenlatch.Message)  {}
func (noSender) Reply(string, *pollenlatch.Message) {}

// silentServer does not respond to calls before they time out.
type silentServer struct{}

func (s silentServer) Grant(ctx context.Context, _ []pollenlatch.Grant, _ time.Duration) error {
	<-ctx.Done()
	return ctx.Err()
}
func (s silentServer) Extend(ctx context.Context, _ time.Duration) error { return s.Grant(ctx, nil, 0) }

// stuckDisk does not complete a write until release is closed.
type stuckDisk struct{ release chan struct{} }

func (d stuckDisk) Save(quorum.Persist) error { <-d.release; return nil }

func newSingleVoterLoop(disk Disk, server pollenlatch.Granter) (*Loop, *Control) {
	self := pollenlatch.Member{Name: "v1", Incarnation: 1, Addr: "v1"}
	control := &Control{Clock: synctestClock{time.Now()}}
	return &Loop{
		Reducer: New(Config{
			Self: pollenlatch.Join{Name: "v1", Addr: "v1", Incarnation: 1}, Voters: []pollenlatch.Member{self}, Timing: DefaultTiming(),
			Quorum:  &quorum.Config{Self: self, InitialVoters: []pollenlatch.Member{self}, HeartbeatInterval: DefaultTiming().Heartbeat, MinElectionTimeout: DefaultTiming().Election},
			Planner: newPlanner(),
		}),
		Control: control, Clock: control.Clock, Sender: noSender{}, Disk: disk, Granter: server, RecoveredLog: &quorum.Start{},
	}, control
}

// A shutdown must end although the disk and the server never respond, the event queue
// is full, and callers wait for verdicts.
func TestShutdownWithHungDiskAndServer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := stuckDisk{make(chan struct{})}
		l, control := newSingleVoterLoop(disk, silentServer{})
		ctx, cancel := context.WithCancel(t.Context())
		l.Start(ctx)
		<-time.After(time.Second)
		var posted sync.WaitGroup
		for range 2 * eventQueueSize {
			posted.Go(func() { l.Announce(pollenlatch.Endpoint{Service: "listing"}) })
		}
		posted.Go(func() {
			_, err := l.Submit(context.Background(), testTicket(1, "waits"))
			require.ErrorIs(t, err, ErrClosed)
		})
		synctest.Wait()
		l.Drain()
		l.Leave()
		cancel()
		posted.Wait()
		select {
		case <-l.Done():
			require.ErrorIs(t, l.Err(), ErrWritePending)
		case <-time.After(time.Minute):
			t.Error("the loop does not stop while a write to the disk is pending")
		}
		require.Error(t, control.Serving())
		close(disk.release)
	})
}

// fullDisk refuses writes until a time.
type fullDisk struct {
	clock  pollenlatch.Clock
	until  pollenlatch.MonoTime
	writes *int
}

func (d fullDisk) Save(quorum.Persist) error {
	*d.writes++
	if d.clock.Now() < d.until {
		return quorum.ErrNoSpace
	}
	return nil
}

// A voter that ended by itself on a full disk would take the configuration and the
// leases that it serves with it. It must stay up, acknowledge nothing that is not
// written, and go on once there is space.
func TestFullDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		clock, writes := pollenlatch.SystemClock{}, 0
		start := clock.Now()
		l, _ := newSingleVoterLoop(fullDisk{clock, start.Add(5 * time.Second), &writes}, silentServer{})
		ctx, cancel := context.WithCancel(t.Context())
		l.Start(ctx)
		_, err := l.Submit(t.Context(), testTicket(1, "waits"))
		require.NoError(t, err)
		require.GreaterOrEqual(t, clock.Now().Sub(start), 5*time.Second, "acknowledged while the disk was full")
		require.Greater(t, writes, 10)
		cancel()
		<-l.Done()
		require.NoError(t, l.Err())
	})
}

// A server that never responds to grants must not block the control loop. Otherwise
// the lease would expire and all shards would move.
func TestUnresponsiveServerDoesNotBlockLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := stuckDisk{make(chan struct{})}
		close(disk.release)
		l, control := newSingleVoterLoop(disk, silentServer{})
		ctx, cancel := context.WithCancel(t.Context())
		l.Start(ctx)
		l.Announce(pollenlatch.Endpoint{Service: "listing", Addr: "s", Incarnation: 1, Slots: 10, Fenced: true, Ready: true})
		_, err := l.Submit(t.Context(), testTicket(1, "first"))
		require.NoError(t, err)
		for range 30 {
			<-time.After(time.Second)
			require.NoError(t, control.Serving())
		}
		l.Leave()
		<-l.Left()
		cancel()
		<-l.Done()
		require.NoError(t, l.Err())
	})
}
