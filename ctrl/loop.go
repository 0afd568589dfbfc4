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

// Sender sends control messages. The methods don't block, and messages may be lost.
type Sender interface {
	// Send sends a message to the process at an address.
	Send(addr string, m *pollenlatch.Message)
	// Reply sends a message to an instance on the session that it opened.
	Reply(to string, m *pollenlatch.Message)
}

// Disk stores a voter's log.
type Disk interface {
	// Save writes p and returns when it is synced.
	Save(p quorum.Persist) error
}

// RecordsSender sends the idempotency records of a shard to its next owner and
// reports whether they arrived.
type RecordsSender func(ctx context.Context, k lease.Key, to pollenlatch.Instance) bool

var (
	// ErrClosed says that the loop has stopped.
	ErrClosed = errors.New("control loop has stopped")
	// ErrWritePending says that the loop has stopped while a write to the disk was
	// still pending. The disk must not be closed then.
	ErrWritePending = errors.New("pending write to the data folder did not complete")
)

const (
	// eventQueueSize is the capacity of the queue of events.
	eventQueueSize = 4096
	// diskQueueSize is the capacity of the queue of writes to the disk. The queue of
	// their results is twice as large, so that the disk never waits for a loop that
	// itself waits for the disk.
	diskQueueSize = 1024
	// grantTimeout limits one call to the local server.
	grantTimeout = 500 * time.Millisecond
	// sendRecordsTimeout limits the sending of one shard's idempotency records.
	// Requests for the shard wait meanwhile.
	sendRecordsTimeout = time.Second
	// diskFullRetryInterval is the time between two writes to a full disk. A voter
	// that can write again catches up within it and a round trip.
	diskFullRetryInterval = 100 * time.Millisecond

	// shutdownTimeout limits the wait for pending writes when the loop stops. A disk
	// that takes longer may never complete them, and the process must be able to end.
	shutdownTimeout = 5 * time.Second
)

// Loop runs a Reducer: one goroutine handles the events in order and carries out
// their effects. The exported fields must be set before Start.
type Loop struct {
	Reducer         *Reducer
	Control         *Control
	Clock           pollenlatch.Clock
	Sender          Sender
	Disk            Disk                   // nil in a process that is not a voter
	Granter         pollenlatch.Granter    // nil when grants are not sent to a local server
	SendRecords     RecordsSender          // nil sends nothing, which counts as success
	Metrics         *metrics.Set           // nil exports no metrics
	OnShardsChanged func(keys []lease.Key) // called with changed shards after the new view is published; may be nil
	RecoveredLog    *quorum.Start          // content of the data folder; nil in a process that is not a voter
	TickInterval    time.Duration          // interval of Tick events; 0 is the constant TickInterval
	// AwaitIdle calls done once the local server runs no request of the shard any
	// more. When it is nil, the requests in flight are counted by Control.
	AwaitIdle func(k lease.Key, done func(token string))

	once          sync.Once // creates the channels
	events        chan func(pollenlatch.MonoTime) Event
	writes        chan quorum.Persist
	synced        chan Synced
	grantCalls    chan func(context.Context)
	stopped       chan struct{} // closed when no further events are handled
	done          chan struct{}
	drained       chan struct{}
	left          chan struct{}
	haltErr       error
	workers       sync.WaitGroup
	ownerChanges  ownerChanges
	loopMetrics   *loopMetrics
	changedShards []lease.Key // by the present event

	mu         sync.Mutex
	nextID     uint64
	calls      map[uint64]chan pollenlatch.Verdict // pending calls, by ID
	idleShards []IdleShard                         // not yet posted as an event
}

// initChannels creates the channels, so that events may be posted before Start.
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

// Start starts the loop, which runs until ctx ends or the voter halts. Events may be
// posted before; they are queued.
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

// Done returns a channel that is closed when the loop has stopped. The disk is not
// used any more then, unless Err is ErrWritePending.
func (l *Loop) Done() <-chan struct{} {
	l.initChannels()
	return l.done
}

// Drained returns a channel that is closed when the drain that Drain started has
// ended.
func (l *Loop) Drained() <-chan struct{} {
	l.initChannels()
	return l.drained
}

// Left returns a channel that is closed when the lease has ended after Leave.
func (l *Loop) Left() <-chan struct{} {
	l.initChannels()
	return l.left
}

// Err returns why this process can no longer be a voter, or ErrWritePending. It may
// be called when Done is closed.
func (l *Loop) Err() error { return l.haltErr }

// OwnerChange returns when and why a shard got its fence, or false when that was not
// among the newest changes that this process applied.
func (l *Loop) OwnerChange(k lease.Key) (OwnerChange, bool) { return l.ownerChanges.get(k) }

// Receive handles a control message from an instance.
func (l *Loop) Receive(from string, m *pollenlatch.Message) {
	l.post(func(now pollenlatch.MonoTime) Event { return Received{Now: now, From: from, Message: m} })
}

// Announce reports the newest state of the local server's endpoint.
func (l *Loop) Announce(e pollenlatch.Endpoint) {
	l.post(func(now pollenlatch.MonoTime) Event { return Announced{Now: now, Endpoint: e} })
}

// ReportLoad reports the newest load of the local server.
func (l *Loop) ReportLoad(load pollenlatch.Load) {
	l.post(func(now pollenlatch.MonoTime) Event { return LoadReported{Now: now, Load: load} })
}

// Drain starts a graceful shutdown by handing over all shards.
func (l *Loop) Drain() {
	l.post(func(now pollenlatch.MonoTime) Event { return DrainRequested{Now: now} })
}

// Leave ends the lease.
func (l *Loop) Leave() {
	l.post(func(now pollenlatch.MonoTime) Event { return LeaveRequested{Now: now} })
}

// Submit proposes a ticket and waits for its verdict. It returns the cause of ctx's
// end when there is no verdict in time; the same ticket may then be submitted again.
func (l *Loop) Submit(ctx context.Context, t pollenlatch.Ticket) (pollenlatch.Verdict, error) {
	return l.submit(ctx, Submitted{Ticket: t})
}

// SubmitChange proposes a configuration change and waits for its verdict, like
// Submit.
func (l *Loop) SubmitChange(ctx context.Context, c *pollenlatch.ConfigChange) (pollenlatch.Verdict, error) {
	return l.submit(ctx, Submitted{Change: c})
}

// SubmitEvacuation proposes the evacuation of a data centre, or its end, and waits for
// the verdict, like Submit.
func (l *Loop) SubmitEvacuation(ctx context.Context, e *pollenlatch.Evacuate) (pollenlatch.Verdict, error) {
	return l.submit(ctx, Submitted{Evacuate: e})
}

// WaitReadIndex waits until the published view includes everything that was committed
// before the call. It returns the cause of ctx's end when that takes too long.
func (l *Loop) WaitReadIndex(ctx context.Context) error {
	_, err := l.call(ctx, func(id uint64, now pollenlatch.MonoTime) Event { return ReadIndexRequested{Now: now, ID: id} })
	return err
}

// UpdateVoters replaces Config.Voters.
func (l *Loop) UpdateVoters(voters []pollenlatch.Member) {
	l.post(func(now pollenlatch.MonoTime) Event { return VotersUpdated{Now: now, Voters: voters} })
}

func (l *Loop) submit(ctx context.Context, e Submitted) (pollenlatch.Verdict, error) {
	return l.call(ctx, func(id uint64, now pollenlatch.MonoTime) Event {
		e.Now, e.ID = now, id
		return e
	})
}

// call posts an event with a new ID and waits for the effect with that ID.
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

// post queues an event. Its time is read when the loop handles it, so that the times
// of successive events never decrease.
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

// shutdown publishes an Access without a lease and waits for the workers.
func (l *Loop) shutdown() {
	l.Control.Publish(Access{View: l.Reducer.State(), JoinVersion: l.Reducer.joinVersion, EvacuatedSince: l.Reducer.evacuatedSince})
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
		klog.ErrorS(e.Err, "voter has halted")
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

// onShardIdle collects idle shards and posts them as one event.
func (l *Loop) onShardIdle(e IdleShard) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idleShards = append(l.idleShards, e)
	if len(l.idleShards) > 1 {
		return // the event is posted already
	}
	l.postAsync(func(now pollenlatch.MonoTime) Event {
		l.mu.Lock()
		defer l.mu.Unlock()
		e := ShardsIdle{Now: now, Shards: l.idleShards}
		l.idleShards = nil
		return e
	})
}

// postAsync posts an event from the loop's goroutine, which must not block on its own
// queue.
func (l *Loop) postAsync(newEvent func(pollenlatch.MonoTime) Event) { go l.post(newEvent) }

// completeCall returns a verdict to the pending call with its ID, if there is one.
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
		err := l.save(p)
		observeSince(l.loopMetrics.sync, l.Clock, start)
		select {
		case l.synced <- Synced{Seq: p.Seq, Err: err}:
		case <-l.stopped:
		}
	}
}

// save writes to the disk. While the disk is full it tries again until it succeeds or
// the loop stops: the voter serves what needs no disk, and votes once it can write.
func (l *Loop) save(p quorum.Persist) error {
	err := l.Disk.Save(p)
	if !errors.Is(err, quorum.ErrNoSpace) {
		return err
	}
	start := l.Clock.Now()
	klog.ErrorS(err, "disk is full: this voter does not vote or acknowledge entries until it can write")
	l.loopMetrics.diskFull.Set(1)
	defer l.loopMetrics.diskFull.Set(0)
	retry := time.NewTicker(diskFullRetryInterval)
	defer retry.Stop()
	for errors.Is(err, quorum.ErrNoSpace) {
		select {
		case <-retry.C:
			err = l.Disk.Save(p)
		case <-l.stopped:
			return err
		}
	}
	klog.InfoS("disk is writable again", "after", l.Clock.Now().Sub(start), "err", err)
	return err
}

// extendGrants extends the server's grants, unless another call is waiting. The next
// renewal extends them further anyway.
func (l *Loop) extendGrants(e Extend) {
	if l.Granter == nil {
		return
	}
	select {
	case l.grantCalls <- func(ctx context.Context) {
		if err := l.Granter.Extend(ctx, e.Until.Sub(l.Clock.Now())); err != nil {
			klog.V(1).InfoS("local server did not extend its grants", "err", err)
		}
	}:
	default:
	}
}

// replaceGrants queues a call with new grants in place of a waiting call, which they
// supersede.
func (l *Loop) replaceGrants(call func(context.Context) error) {
	if l.Granter == nil {
		return
	}
	f := func(ctx context.Context) {
		if err := call(ctx); err != nil {
			klog.V(1).InfoS("local server did not accept its grants", "err", err)
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
