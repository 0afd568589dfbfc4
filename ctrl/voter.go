package ctrl

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"pollenlatch"
	"pollenlatch/lease"
	"pollenlatch/quorum"
	"pollenlatch/state"
	"pollenlatch/ticket"
)

// voter is the part of a reducer that a voter has in addition. It drives the replica
// of the log and, while it leads, grants leases, decides on tickets, sends commands to
// daemons and runs the planner.
type voter struct {
	*Reducer
	replica       *quorum.Replica
	appliedIndex  uint64 // index of the last log entry that was applied
	snapshotIndex uint64 // index of the last snapshot
	appliedDeltas bool   // the state was changed by deltas too, so it may be ahead of appliedIndex
	halted        bool

	leading    bool
	term       uint64
	leaderName string
	electedAt  pollenlatch.MonoTime
	ready      bool   // the state includes everything that earlier leaders committed
	readyIndex uint64 // appliedIndex at which the leader is ready

	granter           lease.Granter
	nextProposalID    uint64
	unindexed         map[uint64]proposal          // proposals without a log index, by ID
	unapplied         map[string]unappliedProposal // proposals that are not applied yet, by purpose
	awaitingLeader    map[string]bool              // daemons that asked while no leader was known or ready
	subscribers       map[string]*subscriber       // by instance name
	subscriberNames   []string                     // in order of arrival, which makes the order of messages deterministic
	tail              commandTail
	sharedSnapshot    sharedSnapshot
	verdictWaiters    map[submissionKey][]verdictWaiter
	loads             map[pollenlatch.InstanceID]pollenlatch.Load // newest report of each instance
	holdOffs          holdOffs
	ticketAppliedAt   pollenlatch.MonoTime                             // when the newest ticket was applied
	ticketVersion     pollenlatch.Version                              // version of the newest accepted ticket
	quarantinedSince  map[pollenlatch.Fingerprint]pollenlatch.MonoTime // as this leader knows
	activeHandOvers   map[pollenlatch.Shard]activeHandOver
	frozenForKey      map[lease.Key]string         // ranges that are frozen for one of their keys, and that key
	moveReasons       map[pollenlatch.Shard]string // of the planner's newest moves
	arrivals          map[string]endpointArrivals  // by service, before its first assignment
	plannedAt         pollenlatch.MonoTime
	planNeeded        bool
	inForceVersion    pollenlatch.Version // every daemon with a lease had at least this version at inForceComputedAt
	inForceComputedAt pollenlatch.MonoTime

	loadsLoggedAt  pollenlatch.MonoTime
	groupCheckedAt pollenlatch.MonoTime
	groupChangeID  uint64 // proposal ID of the group change in progress; 0 is none
	proposedGroup  []pollenlatch.Member
	queuedEvents   []quorum.Event // raised while another event was handled
	stepping       bool           // the replica is handling an event
}

// proposal is a list of commands that was given to the replica.
type proposal struct {
	purpose string // identifies what it is for, see proposeOnce
	count   uint64 // commands
}

// unappliedProposal is a proposal whose commands are not all applied yet.
type unappliedProposal struct {
	lastIndex  uint64 // log index of its last command; 0 before it has one
	proposedAt pollenlatch.MonoTime
}

// activeHandOver is a hand-over in progress.
type activeHandOver struct {
	owner pollenlatch.InstanceID // the present owner
	since pollenlatch.MonoTime
}

// submissionKey identifies a ticket by its number and text. Two tickets with the
// same number and different texts get verdicts of their own.
type submissionKey struct {
	number uint64
	text   string
}

// verdictWaiter is a daemon that waits for the verdict on a ticket or change.
type verdictWaiter struct {
	name string
	seq  uint64 // of its Propose
}

func newVoter(r *Reducer, cfg quorum.Config) *voter {
	return &voter{
		Reducer: r, replica: quorum.New(cfg),
		activeHandOvers: make(map[pollenlatch.Shard]activeHandOver),
	}
}

func (v *voter) startReplica(s quorum.Start) {
	s.Now = v.now
	v.stepReplica(s)
}

func (v *voter) tickVoter() {
	v.stepReplica(quorum.Tick{Now: v.now})
	if !v.leading {
		return
	}
	v.tryBecomeReady()
	if v.ready {
		v.expireLeases()
		v.runPlanner()
		v.manageGroup()
	}
}

func (v *voter) onSynced(e Synced) {
	v.stepReplica(quorum.Persisted{Now: v.now, Seq: e.Seq, Err: e.Err})
}

func (v *voter) onQuorum(from string, b []byte) {
	var m quorum.Message
	if err := pollenlatch.Decode(b, &m); err != nil {
		v.logf("message from a voter could not be decoded", "from", from, "err", err)
		return
	}
	v.stepReplica(quorum.Receive{Now: v.now, From: from, Message: m})
}

// stepReplica passes an event to the replica and carries out its effects. An event
// that is raised meanwhile is queued until all effects are carried out, so that
// writes keep their order.
func (v *voter) stepReplica(ev quorum.Event) {
	v.queuedEvents = append(v.queuedEvents, ev)
	if v.stepping {
		return
	}
	v.stepping = true
	for len(v.queuedEvents) > 0 {
		next := v.queuedEvents[0]
		v.queuedEvents = v.queuedEvents[1:]
		for _, e := range v.replica.Step(next) {
			v.handleEffect(e)
		}
		v.tryBecomeReady()
	}
	v.stepping = false
}

func (v *voter) handleEffect(e quorum.Effect) {
	switch e := e.(type) {
	case quorum.Send:
		b, err := pollenlatch.Encode(&e.Message)
		if err != nil {
			v.logf("message to a voter could not be encoded", "to", e.To.Name, "err", err)
			return
		}
		v.emit(Send{Addr: e.To.Addr, Message: &pollenlatch.Message{Quorum: b}})
	case quorum.Persist:
		v.emit(Persist{Persist: e})
	case quorum.Apply:
		v.applyEntries(e.Entries)
	case quorum.Restore:
		v.restore(e.Snapshot)
	case quorum.Accepted:
		v.groupChangeEnded(e.ID)
		if p, ok := v.unindexed[e.ID]; ok {
			delete(v.unindexed, e.ID)
			v.unapplied[p.purpose] = unappliedProposal{lastIndex: e.Index + p.count - 1, proposedAt: v.unapplied[p.purpose].proposedAt}
		}
	case quorum.Rejected:
		v.groupChangeEnded(e.ID)
		if p, ok := v.unindexed[e.ID]; ok {
			delete(v.unindexed, e.ID)
			delete(v.unapplied, p.purpose)
		}
	case quorum.Leadership:
		v.onLeadership(e)
	case quorum.Halt:
		v.halted = true
		v.emit(Halt{Err: e.Err})
	}
}

// onLeadership handles a new leader or term. All that a leader keeps is reset when
// leadership starts or ends.
func (v *voter) onLeadership(e quorum.Leadership) {
	v.leaderName, v.term, v.dirty = e.Leader, e.Term, true
	v.updateHolderLeader()
	if addr := v.leaderAddr(); addr != "" {
		v.notifyAwaitingLeader(addr)
	}
	if e.IsLeader == v.leading {
		return
	}
	v.leading, v.ready = e.IsLeader, false
	v.granter.Reset()
	v.unindexed, v.unapplied = nil, nil
	v.subscribers, v.subscriberNames, v.verdictWaiters = nil, nil, nil
	v.loads, v.frozenForKey, v.arrivals = nil, nil, nil
	v.groupChangeID, v.proposedGroup = 0, nil
	v.holdOffs.reset()
	if !e.IsLeader {
		v.logf("leadership ended", "term", e.Term)
		return
	}
	v.electedAt = v.now
	v.readyIndex = v.replica.LastIndex()
	v.unindexed = make(map[uint64]proposal)
	v.unapplied = make(map[string]unappliedProposal)
	v.subscribers = make(map[string]*subscriber)
	v.verdictWaiters = make(map[submissionKey][]verdictWaiter)
	v.loads = make(map[pollenlatch.InstanceID]pollenlatch.Load)
	v.logf("leadership started", "term", e.Term)
}

// updateHolderLeader makes the holder of this process send its next request to the
// new leader.
func (v *voter) updateHolderLeader() {
	for _, m := range v.replica.Members() {
		if m.Name == v.leaderName {
			v.knownLeaderAddr = m.Addr
		}
	}
}

// tryBecomeReady makes a leader ready once it has applied every entry that was in
// the log at its election. The previous leader may have extended any lease until the
// election, so all leases count as extended at that time.
func (v *voter) tryBecomeReady() {
	if !v.leading || v.ready || v.appliedIndex < v.readyIndex {
		return
	}
	v.ready, v.planNeeded = true, true
	v.notifyAwaitingLeader(v.cfg.Self.Addr)
	v.ticketAppliedAt, v.ticketVersion = v.now, newestTicketVersion(v.state)
	v.holdOffs.extendPastMaxRuns(v.now, v.maxTicketLag())
	if v.appliedDeltas {
		v.appliedDeltas = false
		v.recallMaxRuns(v.state)
		v.rebuildHandOvers(v.state)
	}
	for _, i := range v.state.Instances() {
		if i.Alive() {
			wait := v.cfg.Timing.Lease
			if v.injected.noElectionWait {
				wait = 0
			}
			v.granter.Extend(i.ID, i.Lease, v.electedAt, wait)
		}
		// An earlier leader may have ended leases at any time before the election.
		v.startHoldOff(v.state, i.ID, v.electedAt)
	}
	v.resumeGroupChange()
}

// newestTicketVersion returns the version of the newest accepted ticket.
func newestTicketVersion(s *state.State) pollenlatch.Version {
	for _, r := range s.Tickets(0, state.MaxTicketRecords) {
		if r.Verdict.Accepted {
			return r.Verdict.Version
		}
	}
	return 0
}

// canGrant reports whether this process may act as the leader now: it is ready, and
// a majority still follows it.
func (v *voter) canGrant() bool {
	return v.leading && v.ready && !v.halted && (v.replica.Leading(v.now) || v.injected.noQuorumCheck)
}

func (v *voter) applyEntries(entries []quorum.Entry) {
	s := v.state
	for i := range entries {
		s = v.applyEntry(s, &entries[i])
	}
	v.adoptState(s)
	v.planNeeded = true
	v.pushToAll()
	if v.leading && v.ready {
		v.runPlanner()
	}
	if v.appliedIndex-v.snapshotIndex >= v.snapshotInterval() {
		v.takeSnapshot()
	}
}

func (v *voter) snapshotInterval() uint64 {
	if v.cfg.CompactAfter > 0 {
		return v.cfg.CompactAfter
	}
	return DefaultCompactAfter
}

func (v *voter) applyEntry(s *state.State, e *quorum.Entry) *state.State {
	v.appliedIndex = e.Index
	for purpose, p := range v.unapplied {
		if p.lastIndex != 0 && p.lastIndex <= e.Index {
			delete(v.unapplied, purpose)
			v.emit(Committed{Took: v.now.Sub(p.proposedAt)})
		}
	}
	c := &pollenlatch.Command{Noop: &pollenlatch.Noop{Term: e.Term}}
	if len(e.Data) > 0 {
		c = new(pollenlatch.Command)
		if err := pollenlatch.Decode(e.Data, c); err != nil {
			// All voters get the same bytes, so all of them skip the entry.
			v.logf("log entry could not be decoded and is skipped", "index", e.Index, "err", err)
			c = &pollenlatch.Command{Noop: &pollenlatch.Noop{Term: e.Term}}
		}
	}
	version := pollenlatch.Version(e.Index)
	v.tail.add(version, c, len(e.Data))
	if c.Noop != nil {
		return s.Advance(version)
	}
	next, result := s.Apply(version, c)
	if c.Expire != nil && result.Rejection == "" && !c.Expire.Graceful {
		v.startHoldOff(s, c.Expire.Instance, v.now)
	}
	v.afterApply(c, s, result)
	v.updateHandOvers(next, result.Changed)
	v.reportChanged(next, result.Changed)
	return next
}

// afterApply updates leases, replies to waiting daemons and continues group changes
// after a command was applied. before is the state without the command.
func (v *voter) afterApply(c *pollenlatch.Command, before *state.State, result state.Result) {
	switch {
	case c.Expire != nil:
		v.granter.Forget(c.Expire.Instance, c.Expire.Lease)
	case c.Join != nil && result.Rejection == "":
		if v.leading {
			v.granter.Extend(result.Instance, result.Lease, v.now, v.cfg.Timing.Lease)
		}
	case c.Change != nil && result.Verdict != nil:
		v.replyToWaiters(changeKey(c.Change), *result.Verdict)
	case c.Evacuate != nil && result.Verdict != nil:
		v.replyToWaiters(evacuateKey(c.Evacuate), *result.Verdict)
	case c.Ticket != nil && result.Verdict != nil:
		v.replyToWaiters(submissionKey{c.Ticket.Number, c.Ticket.Text}, *result.Verdict)
		if result.Verdict.Accepted && v.ticketVersion < result.Verdict.Version {
			v.ticketVersion, v.ticketAppliedAt = result.Verdict.Version, v.now
			v.holdOffs.addPastMaxRun(v.now, stateMaxRun(before), v.maxTicketLag())
			if v.leading && v.ready && len(c.Ticket.Spec.Voters) > 0 {
				v.proposeGroup(c.Ticket.Spec.Voters)
			}
		}
	}
}

// restore replaces the state by a snapshot, unless deltas have brought a newer one.
func (v *voter) restore(snap quorum.Snapshot) {
	s, err := state.Load(snap.Data)
	if err != nil {
		v.halted = true
		v.emit(Halt{Err: fmt.Errorf("snapshot at index %d: %w", snap.Index, err)})
		return
	}
	v.appliedIndex, v.snapshotIndex = snap.Index, snap.Index
	v.tail.reset(pollenlatch.Version(snap.Index))
	if s.Version() < v.state.Version() {
		return
	}
	v.rebuildHandOvers(s)
	v.recallMaxRuns(s)
	v.adoptState(s.Advance(pollenlatch.Version(snap.Index)))
}

func (v *voter) takeSnapshot() {
	b, err := v.state.Snapshot()
	if err != nil {
		v.logf("snapshot could not be encoded", "index", v.appliedIndex, "err", err)
		return
	}
	v.snapshotIndex = v.appliedIndex
	v.stepReplica(quorum.Compact{Now: v.now, Index: v.appliedIndex, Data: b})
}

// proposeOnce proposes commands, unless a proposal with the same purpose is not
// applied yet.
func (v *voter) proposeOnce(purpose string, commands ...*pollenlatch.Command) {
	if _, ok := v.unapplied[purpose]; ok || !v.leading || v.halted {
		return
	}
	data := make([][]byte, 0, len(commands))
	for _, c := range commands {
		b, err := pollenlatch.Encode(c)
		if err != nil {
			v.logf("command could not be encoded", "for", purpose, "err", err)
			return
		}
		data = append(data, b)
	}
	v.nextProposalID++
	v.unindexed[v.nextProposalID] = proposal{purpose: purpose, count: uint64(len(data))}
	v.unapplied[purpose] = unappliedProposal{proposedAt: v.now}
	v.stepReplica(quorum.Propose{Now: v.now, ID: v.nextProposalID, Data: data})
}

// resumeGroupChange continues a group change that a former leader may have started:
// it proposes the voters of the last ticket that named any.
func (v *voter) resumeGroupChange() {
	if want := v.state.Voters(); len(want) > 0 {
		v.proposeGroup(want)
	}
}

func (v *voter) proposeGroup(members []pollenlatch.Member) {
	v.nextProposalID++
	v.stepReplica(quorum.ChangeMembership{Now: v.now, ID: v.nextProposalID, Members: members})
}

func (v *voter) onPropose(from string, p *pollenlatch.Propose) {
	reply := func(verdict pollenlatch.Verdict) {
		v.reply(from, &pollenlatch.Message{ProposeReply: &pollenlatch.ProposeReply{Seq: p.Seq, Verdict: verdict}})
	}
	if !v.canGrant() {
		reply(pollenlatch.Verdict{Retry: true})
		return
	}
	if p.Change != nil {
		v.onChange(from, p, reply)
		return
	}
	if p.Evacuate != nil {
		v.onEvacuate(from, p, reply)
		return
	}
	if verdict, ok := v.state.Decided(&p.Ticket); ok {
		reply(verdict)
		return
	}
	number, spec, err := ticket.Parse(p.Ticket.Text)
	if err == nil && number != p.Ticket.Number {
		err = fmt.Errorf("number: the document says %d, the request %d", number, p.Ticket.Number)
	}
	if err != nil {
		reply(pollenlatch.Verdict{Number: p.Ticket.Number, Faults: ticket.Faults(err), Next: v.state.NextTicket()})
		return
	}
	t := p.Ticket
	t.Spec = spec
	t.Digest = xxhash.Sum64String(t.Text)
	key := submissionKey{t.Number, t.Text}
	v.verdictWaiters[key] = append(v.verdictWaiters[key], verdictWaiter{name: from, seq: p.Seq})
	v.proposeOnce(fmt.Sprintf("ticket %d %s", t.Number, t.Text), &pollenlatch.Command{Ticket: &t})
}

// onChange decides on a configuration change. A change without effect, or one that
// the present state rejects, gets its verdict without a log entry.
func (v *voter) onChange(from string, p *pollenlatch.Propose, reply func(pollenlatch.Verdict)) {
	c := p.Change
	if err := c.Check(); err != nil {
		reply(pollenlatch.Verdict{Faults: []string{err.Error()}})
		return
	}
	faults, effect := v.state.ChangeFaults(c)
	if len(faults) > 0 || !effect {
		reply(pollenlatch.Verdict{Accepted: len(faults) == 0, Version: v.state.Version(), Faults: faults})
		return
	}
	c.ID = p.Seq
	key := changeKey(c)
	v.verdictWaiters[key] = append(v.verdictWaiters[key], verdictWaiter{name: from, seq: p.Seq})
	v.proposeOnce(fmt.Sprintf("change %d", c.ID), &pollenlatch.Command{Change: c})
}

// changeKey returns the key of a configuration change. Its text distinguishes it from
// tickets.
func changeKey(c *pollenlatch.ConfigChange) submissionKey {
	return submissionKey{number: c.ID, text: "items"}
}

// replyToWaiters sends the verdict to all daemons that wait for it.
func (v *voter) replyToWaiters(key submissionKey, verdict pollenlatch.Verdict) {
	for _, w := range v.verdictWaiters[key] {
		v.reply(w.name, &pollenlatch.Message{ProposeReply: &pollenlatch.ProposeReply{Seq: w.seq, Verdict: verdict}})
	}
	delete(v.verdictWaiters, key)
}

// addVoterAccess sets the fields of an Access that only a voter has.
func (v *voter) addVoterAccess(a *Access) {
	a.IsVoter = true
	a.IsLeader = v.leading
	a.Leader = v.leaderName
	a.Term = v.term
	a.AppliedIndex = v.appliedIndex
}
