package ctrl

import (
	"slices"
	"time"

	"pollenlatch"
	"pollenlatch/lease"
	"pollenlatch/quorum"
	"pollenlatch/state"
)

// Config is what a reducer knows before its first event.
type Config struct {
	Self    pollenlatch.Join // what this process says of itself when it joins
	Voters  []pollenlatch.Member
	Timing  Timing
	Quorum  *quorum.Config // nil in a process that is not a voter
	Planner pollenlatch.Planner
	// GroupSize is the number of voters that the leader keeps the group at by
	// itself, of those that can vote. 0 leaves the group to tickets.
	GroupSize int
	// LoadReportInterval is the interval at which the load is reported; 0 is a second.
	LoadReportInterval time.Duration
	// CompactAfter is the number of log entries after which a voter makes a
	// snapshot. 0 is DefaultCompactAfter.
	CompactAfter uint64
}

// DefaultCompactAfter bounds the log that a voter reads at its start.
const DefaultCompactAfter = 20_000

// injectedFaults lets tests break a rule of the protocol, to show that the checks notice.
// The zero value keeps them all.
type injectedFaults struct {
	noElectionWait    bool // a new leader ends leases that its predecessor may have extended
	leaseFromArrival  bool // a holder counts its lease from the arrival of the answer
	noIdleWait        bool // a shard is released while requests for it are in flight
	activateEarly     bool // a holder uses a lease before it has applied the log up to it
	noQuorumCheck     bool // a leader grants without asking whether a majority still follows it
	publishLast       bool // traffic learns of a hand-over after the wait for its requests has begun
	releaseInHoldOff  bool // a restarted daemon may release what its predecessor's requests still run for
	forgetPastMaxRuns bool // the wait for requests at lost servers forgets replaced maxruns
	noHoldOffDrift    bool // that wait has no allowance for clock drift
	leaveAtOnce       bool // an instance that leaves while it owns shards ends its lease at once
	noSeqMask         bool // a verdict for an earlier process of the name counts for this one
	keepOldGrants     bool // a new lease prolongs the server's grants of the one before
	retryFromLastSend bool // commands are sent again only after a pause in sending
}

// Reducer is the control state of one process.
type Reducer struct {
	cfg          Config
	injected     injectedFaults
	now          pollenlatch.MonoTime
	state        *state.State
	effects      []Effect
	selfMessages []*pollenlatch.Message // messages of this process to itself

	*holder
	*voter
}

// New returns the reducer of a process that has not started yet.
func New(cfg Config) *Reducer {
	r := &Reducer{cfg: cfg, state: &state.State{}}
	r.holder = &holder{Reducer: r}
	if cfg.Quorum != nil {
		r.voter = newVoter(r, *cfg.Quorum)
	}
	return r
}

// State returns the state that this process holds.
func (r *Reducer) State() *state.State { return r.state }

// Step takes one event and returns its effects, in the order in which they
// have to be carried out. Publish comes first: a request that still entered by
// the old view must be counted before an Await looks at what is in flight.
func (r *Reducer) Step(ev Event) []Effect {
	r.effects = nil
	r.handle(ev)
	for len(r.selfMessages) > 0 {
		m := r.selfMessages[0]
		r.selfMessages = r.selfMessages[1:]
		r.onMessage(r.cfg.Self.Name, m)
	}
	switch a, changed := r.takeAccess(); {
	case changed && r.injected.publishLast:
		r.emit(Publish{Access: a})
	case changed:
		r.effects = slices.Insert(r.effects, 0, Effect(Publish{Access: a}))
	}
	return r.effects
}

func (r *Reducer) handle(ev Event) {
	switch e := ev.(type) {
	case Boot:
		r.now = e.Now
		if r.voter != nil && e.RecoveredLog != nil {
			r.startReplica(*e.RecoveredLog)
		}
	case Tick:
		r.now = e.Now
		if r.voter != nil {
			r.tickVoter()
		}
		r.tickHolder()
	case Received:
		r.now = e.Now
		r.onMessage(e.From, e.Message)
	case Synced:
		r.now = e.Now
		if r.voter != nil {
			r.onSynced(e)
		}
	case Announced:
		r.now = e.Now
		r.onAnnounced(e.Endpoint)
	case LoadReported:
		r.now = e.Now
		r.load = &e.Load
	case ShardsIdle:
		r.now = e.Now
		for _, k := range e.Shards {
			r.onShardIdle(k)
		}
		r.sendPendingReleases()
	case RecordsSent:
		r.now = e.Now
		r.onRecordsSent(e)
	case Submitted:
		r.now = e.Now
		r.submit(e)
	case CallCancelled:
		r.now = e.Now
		delete(r.submissions, e.ID)
		delete(r.pendingReads, e.ID)
	case ReadIndexRequested:
		r.now = e.Now
		r.startRead(e.ID)
	case VotersUpdated:
		r.now = e.Now
		r.cfg.Voters = e.Voters
	case DrainRequested:
		r.now = e.Now
		r.startDrain()
	case LeaveRequested:
		r.now = e.Now
		r.leave()
	}
}

func (r *Reducer) onMessage(from string, m *pollenlatch.Message) {
	switch {
	case m.RenewReply != nil:
		r.onRenewReply(from, m.RenewReply)
	case m.Delta != nil:
		r.onDelta(m.Delta)
	case m.ProposeReply != nil:
		r.onProposeReply(m.ProposeReply)
	case m.ReadIndexReply != nil:
		r.onReadIndexReply(m.ReadIndexReply)
	case r.voter == nil:
		r.refuseAsNonVoter(from, m)
	case m.Renew != nil:
		r.onRenew(from, m.Renew)
	case m.Release != nil:
		r.onRelease(from, m.Release)
	case m.Propose != nil:
		r.onPropose(from, m.Propose)
	case m.ReadIndex != nil:
		r.onReadIndex(from, m.ReadIndex)
	case m.ChunkRequest != nil:
		r.onChunkRequest(from, m.ChunkRequest)
	case m.Quorum != nil:
		r.onQuorum(from, m.Quorum)
	}
}

// refuseAsNonVoter answers what only a voter could.
func (r *Reducer) refuseAsNonVoter(from string, m *pollenlatch.Message) {
	switch {
	case m.Renew != nil:
		r.reply(from, &pollenlatch.Message{RenewReply: &pollenlatch.RenewReply{Seq: m.Renew.Seq, Refusal: pollenlatch.RefusalNotLeader}})
	case m.ReadIndex != nil:
		r.reply(from, &pollenlatch.Message{ReadIndexReply: &pollenlatch.ReadIndexReply{Seq: m.ReadIndex.Seq}})
	case m.Propose != nil:
		r.reply(from, &pollenlatch.Message{ProposeReply: &pollenlatch.ProposeReply{Seq: m.Propose.Seq, Verdict: pollenlatch.Verdict{Retry: true}}})
	}
}

func (r *Reducer) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *Reducer) logf(message string, pairs ...any) {
	r.emit(Log{Message: message, Pairs: pairs})
}

func (r *Reducer) reply(to string, m *pollenlatch.Message) {
	if to == r.cfg.Self.Name {
		r.selfMessages = append(r.selfMessages, m)
		return
	}
	r.emit(Reply{To: to, Message: m})
}

func (r *Reducer) send(addr string, m *pollenlatch.Message) {
	if addr == r.cfg.Self.Addr {
		r.selfMessages = append(r.selfMessages, m)
		return
	}
	r.emit(Send{Addr: addr, Message: m})
}

// setState takes a newer state and starts what follows from it.
func (r *Reducer) setState(s *state.State) {
	r.state = s
	r.dirty = true
}

// KeyOf names a shard under its present assignment.
func KeyOf(o pollenlatch.Owner) lease.Key {
	return lease.Key{Shard: o.Shard, Fence: o.Fence}
}

// reportChanged tells which shards a command changed.
func (r *Reducer) reportChanged(s *state.State, changed []pollenlatch.Shard) {
	if len(changed) == 0 || len(changed) > maxOwnerChanges {
		return
	}
	changes := ShardsChanged{Keys: make([]lease.Key, len(changed)), Reasons: make([]string, len(changed))}
	for i, shard := range changed {
		o, _ := s.ShardOwner(shard)
		changes.Keys[i] = KeyOf(o)
		if r.voter != nil {
			changes.Reasons[i] = r.moveReasons[shard]
		}
	}
	r.emit(changes)
}
