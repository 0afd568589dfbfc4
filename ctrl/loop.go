package ctrl

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"k8s.io/klog/v2"

	"pollenlatch"
	"pollenlatch/lease"
	"pollenlatch/quorum"
)

// Sender sends control messages. Neither method blocks, and both may lose the
// message.
type Sender interface {
	Send(addr string, m *pollenlatch.Message)
	Reply(to string, m *pollenlatch.Message)
}

// Disk keeps a voter's log. Save returns once everything is synced.
type Disk interface {
	Save(p quorum.Persist) error
}

// RecordsSender sends the idempotency records of a shard to its next owner and
// reports whether they arrived.
type RecordsSender func(ctx context.Context, k lease.Key, to pollenlatch.Instance) bool

var (
	// ErrClosed says that the loop has ended.
	ErrClosed = errors.New("control loop has ended")
	// ErrWritePending says that the loop has ended while the disk still kept a
	// write. The disk must not be closed then.
	ErrWritePending = errors.New("data folder did not finish its last write")
)

const (
	// eventQueueSize is the number of events that may wait for the loop.
	eventQueueSize = 4096
	// diskQueueSize is the number of writes that may wait for the disk. Answers
	// have a queue of twice that size, so that a loop that waits for the disk
	// never keeps the disk waiting.
	diskQueueSize = 1024
	// grantTimeout bounds one call to the server beside this daemon.
	grantTimeout = 500 * time.Millisecond
	// sendRecordsTimeout bounds the sending of one shard's records. Requests for
	// the shard wait for it.
	sendRecordsTimeout = time.Second
	// shutdownTimeout bounds the wait for a write of the disk at the end. A disk that
	// takes longer may never answer, and the process must be able to end.
	shutdownTimeout = 5 * time.Second
)

// Loop owns a Reducer: one goroutine handles the events in order and carries
// out the effects.
type Loop struct {
	Reducer         *Reducer
	Control         *Control
	Clock           pollenlatch.Clock
	Sender          Sender
	Disk            Disk                // nil in a process that is not a voter
	Granter         pollenlatch.Granter // nil when there is no server beside this daemon
	SendRecords     RecordsSender
	Metrics         *metrics.Set           // nil keeps the figures to itself
	OnShardsChanged func(keys []lease.Key) // told of changed shards after the new view is published; may be nil
	RecoveredLog    *quorum.Start          // what the data folder held; nil in a process that is not a voter
	TickInterval    time.Duration          // interval of Tick events; 0 is TickInterval
	// AwaitIdle calls done once nothing of the shard is at the server beside this
	// daemon any more. nil counts the requests in flight.
	AwaitIdle func(k lease.Key, done func(token string))

	once          sync.Once // makes the channels
	events        chan func(pollenlatch.MonoTime) Event
	writes        chan quorum.Persist
	synced        chan Synced
	grantCalls    chan func(context.Context)
	stopped       chan struct{} // closed when no more events are handled
	done          chan struct{}
	drained       chan struct{}
	left          chan struct{}
	haltErr       error
	workers       sync.WaitGroup
	ownerChanges  ownerChanges
	loopMetrics   *loopMetrics
	changedShards []lease.Key

	mu         sync.Mutex
	nextID     uint64
	calls      map[uint64]chan pollenlatch.Verdict
	idleShards []IdleShard // answers to Awaits that the loop has not taken yet
}

// initChannels makes the channels, so that events may be posted before Start.
func (l *Loop) initChannels() {
	l.once.Do(func() {
		l.events = make(chan func(pollenlatch.MonoTime) Event, eventQueueSize)
		l.writes = make(chan quorum.Persist, diskQueueSize)
		l.synced = make(chan Synced, 2*diskQueueSize)
		l.grantCalls = make(chan func(context.Context), 1)
		l.stopped = make(chan struct{})
		l.done = make(chan struct{})
		l.drained = make(chan struct{})
		l.left = make(chan struct{})
		l.calls = make(map[uint64]chan pollenlatch.Verdict)
	})
}

// Start runs the loop until ctx ends. Events posted before wait for it.
func (l *Loop) Start(ctx context.Context) {
	l.initChannels()
	if l.Clock == nil {
		l.Clock = pollenlatch.SystemClock{}
	}
	l.loopMetrics = newLoopMetrics(l.Metrics, l)
	if l.Disk != nil {
		l.workers.Go(l.runWrites)
	}
	if l.Granter != nil {
		l.workers.Go(func() { l.runGrantCalls(ctx) })
	}
	go l.run(ctx)
}

// Done is closed when the loop has ended and the disk is no longer used, unless
// Err is ErrDiskHangs.
func (l *Loop) Done() <-chan struct{} {
	l.initChannels()
	return l.done
}

// Drained is closed when this instance owns nothing any more after Drain.
func (l *Loop) Drained() <-chan struct{} {
	l.initChannels()
	return l.drained
}

// Left is closed when the lease has ended after Leave.
func (l *Loop) Left() <-chan struct{} {
	l.initChannels()
	return l.left
}

// Err returns why this process can no longer be a voter, or ErrDiskHangs, once
// Done is closed.
func (l *Loop) Err() error { return l.haltErr }

// OwnerChange returns how a shard got its fence, if this process has seen that
// lately.
func (l *Loop) OwnerChange(k lease.Key) (OwnerChange, bool) { return l.ownerChanges.get(k) }

// Receive hands over a control message.
func (l *Loop) Receive(from string, m *pollenlatch.Message) {
	l.post(func(now pollenlatch.MonoTime) Event { return Received{Now: now, From: from, Message: m} })
}

// Announce takes the newest facts of the server beside this daemon.
func (l *Loop) Announce(e pollenlatch.Endpoint) {
	l.post(func(now pollenlatch.MonoTime) Event { return Announced{Now: now, Endpoint: e} })
}

// ReportLoad takes the newest load of the server beside this daemon.
func (l *Loop) ReportLoad(load pollenlatch.Load) {
	l.post(func(now pollenlatch.MonoTime) Event { return LoadReported{Now: now, Load: load} })
}

// Drain starts a graceful shutdown.
func (l *Loop) Drain() {
	l.post(func(now pollenlatch.MonoTime) Event { return DrainRequested{Now: now} })
}

// Leave ends the lease.
func (l *Loop) Leave() {
	l.post(func(now pollenlatch.MonoTime) Event { return LeaveRequested{Now: now} })
}

// Submit proposes a ticket and waits for its verdict. It returns ctx's error
// when no verdict came in time; the same ticket may then be submitted again.
func (l *Loop) Submit(ctx context.Context, t pollenlatch.Ticket) (pollenlatch.Verdict, error) {
	return l.submit(ctx, Submitted{Ticket: t})
}

// SubmitChange proposes a change of items and waits for its verdict, as Submit.
func (l *Loop) SubmitChange(ctx context.Context, c *pollenlatch.ConfigChange) (pollenlatch.Verdict, error) {
	return l.submit(ctx, Submitted{Change: c})
}

// WaitReadIndex waits until the published view holds everything that was committed
// before the call. It returns ctx's error when that did not come in time.
func (l *Loop) WaitReadIndex(ctx context.Context) error {
	_, err := l.call(ctx, func(id uint64, now pollenlatch.MonoTime) Event { return ReadIndexRequested{Now: now, ID: id} })
	return err
}

// UpdateVoters replaces the voters that the settings name.
func (l *Loop) UpdateVoters(voters []pollenlatch.Member) {
	l.post(func(now pollenlatch.MonoTime) Event { return VotersUpdated{Now: now, Voters: voters} })
}

func (l *Loop) submit(ctx context.Context, e Submitted) (pollenlatch.Verdict, error) {
	return l.call(ctx, func(id uint64, now pollenlatch.MonoTime) Event {
		e.Now, e.ID = now, id
		return e
	})
}

// call hands over an event that the reducer answers by its number.
func (l *Loop) call(ctx context.Context, newEvent func(id uint64, now pollenlatch.MonoTime) Event) (pollenlatch.Verdict, error) {
	l.initChannels()
	result := make(chan pollenlatch.Verdict, 1)
	l.mu.Lock()
	l.nextID++
	id := l.nextID
	l.calls[id] = result
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.calls, id)
		l.mu.Unlock()
	}()
	l.post(func(now pollenlatch.MonoTime) Event { return newEvent(id, now) })
	select {
	case v := <-result:
		return v, nil
	case <-ctx.Done():
		l.post(func(now pollenlatch.MonoTime) Event { return CallCancelled{Now: now, ID: id} })
		return pollenlatch.Verdict{}, context.Cause(ctx)
	case <-l.stopped:
		return pollenlatch.Verdict{}, ErrClosed
	}
}

// post queues an event. Its time is read when the loop takes it, so that times
// never go backwards.
func (l *Loop) post(newEvent func(pollenlatch.MonoTime) Event) {
	l.initChannels()
	select {
	case l.events <- newEvent:
	case <-l.stopped:
	}
}

func (l *Loop) run(ctx context.Context) {
	defer l.shutdown()
	interval := l.TickInterval
	if interval == 0 {
		interval = TickInterval
	}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	l.step(ctx, Boot{Now: l.Clock.Now(), RecoveredLog: l.RecoveredLog})
	for l.haltErr == nil {
		select {
		case <-ctx.Done():
			return
		case e := <-l.synced:
			e.Now = l.Clock.Now()
			l.step(ctx, e)
		case ev := <-l.events:
			l.step(ctx, ev(l.Clock.Now()))
		case <-tick.C:
			l.step(ctx, Tick{Now: l.Clock.Now()})
		}
	}
}

func (l *Loop) shutdown() {
	l.Control.Publish(Access{View: l.Reducer.State(), JoinVersion: l.Reducer.joinVersion})
	close(l.stopped)
	close(l.writes)
	close(l.grantCalls)
	workersDone := make(chan struct{})
	go func() {
		l.workers.Wait()
		close(workersDone)
	}()
	select {
	case <-workersDone:
	case <-time.After(shutdownTimeout):
		l.haltErr = errors.Join(l.haltErr, ErrWritePending)
	}
	close(l.done)
}

func (l *Loop) step(ctx context.Context, ev Event) {
	start := l.Clock.Now()
	for _, e := range l.Reducer.Step(ev) {
		l.carryOut(ctx, e)
	}
	observeSince(l.loopMetrics.step, l.Clock, start)
	if len(l.changedShards) > 0 && l.OnShardsChanged != nil {
		l.OnShardsChanged(l.changedShards)
	}
	l.changedShards = nil
}

func (l *Loop) carryOut(ctx context.Context, e Effect) {
	switch e := e.(type) {
	case Send:
		l.Sender.Send(e.Addr, e.Message)
	case Reply:
		l.Sender.Reply(e.To, e.Message)
	case Persist:
		l.writes <- e.Persist
	case Publish:
		l.Control.Publish(e.Access)
		l.loopMetrics.countLeadership(e.Access)
	case Grant:
		l.replaceGrants(func(ctx context.Context) error {
			return l.Granter.Grant(ctx, e.Grants, e.Until.Sub(l.Clock.Now()))
		})
	case Extend:
		l.extendGrants(e)
	case AwaitIdle:
		l.awaitIdle(e.Key)
	case SendRecords:
		go l.sendRecords(ctx, e)
	case DeliverVerdict:
		l.completeCall(e)
	case ReadIndexReached:
		l.completeCall(DeliverVerdict{ID: e.ID})
	case Drained:
		close(l.drained)
	case Left:
		close(l.left)
	case Halt:
		l.haltErr = e.Err
		klog.ErrorS(e.Err, "this process can no longer be a voter")
	case Committed:
		l.loopMetrics.commit.Update(e.Took.Seconds())
	case ShardsChanged:
		l.loopMetrics.changedShards.Add(len(e.Keys))
		l.ownerChanges.add(e, time.Now())
		l.changedShards = append(l.changedShards, e.Keys...)
	case Log:
		klog.InfoS(e.Message, e.Pairs...)
	}
}

func (l *Loop) awaitIdle(k lease.Key) {
	done := func(token string) { l.onShardIdle(IdleShard{Key: k, Token: token}) }
	if l.AwaitIdle != nil {
		l.AwaitIdle(k, done)
		return
	}
	l.Control.AwaitIdle(k, func() { done("") })
}

// onShardIdle collects the answers to Awaits until the loop takes them.
func (l *Loop) onShardIdle(e IdleShard) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idleShards = append(l.idleShards, e)
	if len(l.idleShards) > 1 {
		return // the loop has been told
	}
	l.postAsync(func(now pollenlatch.MonoTime) Event {
		l.mu.Lock()
		defer l.mu.Unlock()
		e := ShardsIdle{Now: now, Shards: l.idleShards}
		l.idleShards = nil
		return e
	})
}

// postAsync posts from the loop's own goroutine, which must not wait for its queue.
func (l *Loop) postAsync(newEvent func(pollenlatch.MonoTime) Event) { go l.post(newEvent) }

func (l *Loop) completeCall(e DeliverVerdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c, ok := l.calls[e.ID]; ok {
		c <- e.Verdict
		delete(l.calls, e.ID)
	}
}

func (l *Loop) sendRecords(ctx context.Context, e SendRecords) {
	ctx, cancel := context.WithTimeout(ctx, sendRecordsTimeout)
	defer cancel()
	ok := l.SendRecords == nil || l.SendRecords(ctx, e.Key, e.To)
	l.post(func(now pollenlatch.MonoTime) Event { return RecordsSent{Now: now, Key: e.Key, OK: ok} })
}

func (l *Loop) runWrites() {
	for p := range l.writes {
		start := l.Clock.Now()
		err := l.Disk.Save(p)
		observeSince(l.loopMetrics.sync, l.Clock, start)
		select {
		case l.synced <- Synced{Seq: p.Seq, Err: err}:
		case <-l.stopped:
		}
	}
}

// extendGrants is skipped while another call to the server is under way: the next
// renewal brings a later end.
func (l *Loop) extendGrants(e Extend) {
	if l.Granter == nil {
		return
	}
	select {
	case l.grantCalls <- func(ctx context.Context) {
		if err := l.Granter.Extend(ctx, e.Until.Sub(l.Clock.Now())); err != nil {
			klog.V(1).InfoS("grants not extended", "err", err)
		}
	}:
	default:
	}
}

// replaceGrants replaces what waits for the server, since the newest grants count.
func (l *Loop) replaceGrants(call func(context.Context) error) {
	if l.Granter == nil {
		return
	}
	f := func(ctx context.Context) {
		if err := call(ctx); err != nil {
			klog.V(1).InfoS("grants not accepted", "err", err)
		}
	}
	select {
	case <-l.grantCalls:
	default:
	}
	l.grantCalls <- f
}

func (l *Loop) runGrantCalls(ctx context.Context) {
	for call := range l.grantCalls {
		c, cancel := context.WithTimeout(ctx, grantTimeout)
		call(c)
		cancel()
	}
}
