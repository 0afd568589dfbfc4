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

// synctestClock counts the fake time of a synctest bubble.
type synctestClock struct{ start time.Time }

func (c synctestClock) Now() pollenlatch.MonoTime {
	return pollenlatch.MonoTime(time.Since(c.start) + 1)
}

type noSender struct{}

func (noSender) Send(string, *pollenlatch.Message)  {}
func (noSender) Reply(string, *pollenlatch.Message) {}

// silentServer answers no call within its time.
type silentServer struct{}

func (s silentServer) Grant(ctx context.Context, _ []pollenlatch.Grant, _ time.Duration) error {
	<-ctx.Done()
	return ctx.Err()
}
func (s silentServer) Extend(ctx context.Context, _ time.Duration) error { return s.Grant(ctx, nil, 0) }

// stuckDisk does not answer until it is released.
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

// A shutdown must end although the disk and the server never answer, events
// fill the queue, and callers wait for verdicts.
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
			t.Error("the loop waits for the disk for ever")
		}
		require.Error(t, control.Serving())
		close(disk.release)
	})
}

// A server that never answers a grant must not keep the control loop from its
// other work: the lease would end and all its shards move.
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
