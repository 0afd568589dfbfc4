package ctrl

import (
	"slices"
	"time"

	"pollenlatch"
	"pollenlatch/lease"
	"pollenlatch/quorum"
	"pollenlatch/state"
)

// Config configures a Reducer.
type Config struct {
	Self    pollenlatch.Join     // the Join that this process sends
	Voters  []pollenlatch.Member // voters named in the settings
	Timing  Timing
	Quorum  *quorum.Config // nil in a process that is not a voter
	Planner pollenlatch.Planner
	// GroupSize is the number of voters that the leader keeps the group at, by
	// adding and replacing instances that can vote. With 0 only tickets change the
	// group.
	GroupSize int
	// LoadReportInterval is the interval at which the load is reported; 0 is 1 s.
	LoadReportInterval time.Duration
	// QuarantineTime is how long a request is quarantined; 0 is DefaultQuarantineTime.
	QuarantineTime time.Duration
	// CompactAfter is the number of log entries after which a voter takes a
	// snapshot. 0 is DefaultCompactAfter.
	CompactAfter uint64
}

// DefaultCompactAfter limits the log, in entries, that a voter reads when it starts.
const DefaultCompactAfter = 20_000

// injectedFaults lets tests break single rules of the protocol, to show that their
// checks detect it. The zero value breaks none.
type injectedFaults struct {
	noElectionWait    bool // a new leader does not wait for leases that its predecessor may have extended
	leaseFromArrival  bool // a holder counts its lease from the arrival of the reply, not from the sending of the request
	noIdleWait        bool // a shard is released while requests for it are in flight
	activateEarly     bool // a holder uses a lease before its state includes the lease
	noQuorumCheck     bool // a leader extends leases without a majority that still follows it
	publishLast       bool // a frozen shard is published after the wait for its requests has started
	releaseInHoldOff  bool // a restarted daemon may release shards whose requests of the previous process still run
	forgetPastMaxRuns bool // hold-offs ignore maxruns that a ticket has replaced
	noHoldOffDrift    bool // hold-offs have no allowance for clock drift
	leaveAtOnce       bool // the lease of a leaving instance ends at once although it owns shards
	noSeqMask         bool // a process accepts verdicts for an earlier process of its name
	keepOldGrants     bool // a new lease extends the server's grants from the lease before
	retryFromLastSend bool // commands are sent again only after a pause in sending
}

// Reducer is the control state of one process. It is not safe for concurrent use.
type Reducer struct {
	cfg          Config
	injected     injectedFaults
	now          pollenlatch.MonoTime // time of the present event
	state        *state.State
	effects      []Effect               // of the present event
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

// State returns the newest state of this process.
func (r *Reducer) State() *state.State { return r.state }

// Step handles one event and returns its effects, in the order in which they must be
// carried out. Publish comes first, so that a request that was admitted by the old
// view is counted before AwaitIdle reads the count.
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
	case CrashReported:
		r.now = e.Now
		r.onCrashReported(e.Crash)
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

// refuseAsNonVoter replies to requests that only a voter can handle.
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

// logf emits a log line with alternating keys and values.
func (r *Reducer) logf(message string, pairs ...any) {
	r.emit(Log{Message: message, Pairs: pairs})
}

// reply sends a message to an instance by its name, which may be this one.
func (r *Reducer) reply(to string, m *pollenlatch.Message) {
	if to == r.cfg.Self.Name {
		r.selfMessages = append(r.selfMessages, m)
		return
	}
	r.emit(Reply{To: to, Message: m})
}

// send sends a message to an address, which may be that of this process.
func (r *Reducer) send(addr string, m *pollenlatch.Message) {
	if addr == r.cfg.Self.Addr {
		r.selfMessages = append(r.selfMessages, m)
		return
	}
	r.emit(Send{Addr: addr, Message: m})
}

// setState replaces the state by a newer one.
func (r *Reducer) setState(s *state.State) {
	if !s.SameSuspects(r.state) {
		r.logQuarantines(r.state.Quarantined(), s.Quarantined())
	}
	r.state = s
	r.dirty = true
	r.updateEvacuations()
}

// KeyOf returns the key of a shard under its present assignment.
func KeyOf(o pollenlatch.Owner) lease.Key {
	return lease.Key{Shard: o.Shard, Fence: o.Fence}
}

// reportChanged emits ShardsChanged for the shards that a command changed. It skips
// changes of more than maxOwnerChanges shards.
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
