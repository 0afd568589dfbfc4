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

// voter is the part of a reducer that keeps the replicated log and, while it
// leads, grants leases, decides tickets and runs the planner.
type voter struct {
	*Reducer
	log     *quorum.Replica
	applied uint64 // index of the last entry given to the state
	compact uint64 // index of the last snapshot
	fed     bool   // the state came from deltas too and may be ahead of applied
	halted  bool

	lead      bool
	term      uint64
	leader    string
	electedAt pollenlatch.MonoTime
	ready     bool   // the state holds everything that earlier leaders committed
	readyAt   uint64 // index after which the leader is ready

	granter  lease.Granter
	nextID   uint64
	proposed map[uint64]proposal // in the log's hands
	pending  map[string]pending  // what is being proposed
	askers   map[string]bool     // daemons that asked while the leader was not known, or not ready
	subs     map[string]*sub
	order    []string // names of subs, so that messages go out in the same order each run
	tail     tail
	offer    offer
	waiters  map[document][]waiter
	loads    map[pollenlatch.InstanceID]pollenlatch.Load
	holds    holds
	behind   pollenlatch.MonoTime // when the newest ticket was applied
	newest   pollenlatch.Version
	moving   map[pollenlatch.Shard]moving // hand-overs in progress
	splits   map[lease.Key]string         // ranges frozen for one of their keys
	reasons  map[pollenlatch.Shard]string // of the planner's newest moves
	arrivals map[string]arrivals          // of services without a first assignment
	planAt   pollenlatch.MonoTime
	replan   bool
	force    pollenlatch.Version // version held by every daemon with a lease, as of forceAt
	forceAt  pollenlatch.MonoTime

	loadsAt   pollenlatch.MonoTime // when loads were logged last
	groupAt   pollenlatch.MonoTime // when the group was looked at last
	groupID   uint64               // of the change of the group in progress; 0 is none
	groupWant []pollenlatch.Member
	queue     []quorum.Event // events that came up while another was handled
	stepping  bool
}

// proposal is what was given to the log.
type proposal struct {
	what     string // its purpose
	commands uint64
}

// pending is a purpose whose proposal is not applied yet.
type pending struct {
	last  uint64 // index of its last command; 0 before it has one
	since pollenlatch.MonoTime
}

// moving is a hand-over in progress.
type moving struct {
	owner pollenlatch.InstanceID // present one
	since pollenlatch.MonoTime
}

// document is a ticket as sent. Two documents with the same number get verdicts
// of their own.
type document struct {
	number uint64
	text   string
}

// waiter is a daemon that waits for a ticket's verdict.
type waiter struct {
	name string
	seq  uint64
}

func newVoter(r *Reducer, cfg quorum.Config) *voter {
	return &voter{
		Reducer: r, log: quorum.New(cfg),
		moving: make(map[pollenlatch.Shard]moving),
	}
}

func (v *voter) start(s quorum.Start) {
	s.Now = v.now
	v.step(s)
}

func (v *voter) tickVoter() {
	v.step(quorum.Tick{Now: v.now})
	if !v.lead {
		return
	}
	v.checkReady()
	if v.ready {
		v.expire()
		v.runPlan()
		v.manageGroup()
	}
}

func (v *voter) synced(e Synced) {
	v.step(quorum.Persisted{Now: v.now, Seq: e.Seq, Err: e.Err})
}

func (v *voter) onQuorum(from string, b []byte) {
	var m quorum.Message
	if err := pollenlatch.Decode(b, &m); err != nil {
		v.logf("message of a voter refused", "from", from, "err", err)
		return
	}
	v.step(quorum.Receive{Now: v.now, From: from, Message: m})
}

// step gives an event to the replicated log and takes its effects over. An
// event that an effect brings about is handled after the effect's successors,
// so that writes keep their order.
func (v *voter) step(ev quorum.Event) {
	v.queue = append(v.queue, ev)
	if v.stepping {
		return
	}
	v.stepping = true
	for len(v.queue) > 0 {
		next := v.queue[0]
		v.queue = v.queue[1:]
		for _, e := range v.log.Step(next) {
			v.effect(e)
		}
		v.checkReady()
	}
	v.stepping = false
}

func (v *voter) effect(e quorum.Effect) {
	switch e := e.(type) {
	case quorum.Send:
		b, err := pollenlatch.Encode(&e.Message)
		if err != nil {
			v.logf("message to a voter not encoded", "to", e.To.Name, "err", err)
			return
		}
		v.do(Send{Addr: e.To.Addr, Message: &pollenlatch.Message{Quorum: b}})
	case quorum.Persist:
		v.do(Persist{Persist: e})
	case quorum.Apply:
		v.apply(e.Entries)
	case quorum.Restore:
		v.restore(e.Snapshot)
	case quorum.Accepted:
		v.groupDone(e.ID)
		if p, ok := v.proposed[e.ID]; ok {
			delete(v.proposed, e.ID)
			v.pending[p.what] = pending{last: e.Index + p.commands - 1, since: v.pending[p.what].since}
		}
	case quorum.Rejected:
		v.groupDone(e.ID)
		if p, ok := v.proposed[e.ID]; ok {
			delete(v.proposed, e.ID)
			delete(v.pending, p.what)
		}
	case quorum.Leadership:
		v.role(e)
	case quorum.Halt:
		v.halted = true
		v.do(Halt{Err: e.Err})
	}
}

func (v *voter) role(e quorum.Leadership) {
	v.leader, v.term, v.dirty = e.Leader, e.Term, true
	v.knowLeader()
	if addr := v.leaderAddr(); addr != "" {
		v.tellAskers(addr)
	}
	if e.IsLeader == v.lead {
		return
	}
	v.lead, v.ready = e.IsLeader, false
	v.granter.Reset()
	v.proposed, v.pending = nil, nil
	v.subs, v.order, v.waiters = nil, nil, nil
	v.loads, v.splits, v.arrivals = nil, nil, nil
	v.groupID, v.groupWant = 0, nil
	v.holds.forget()
	if !e.IsLeader {
		v.logf("leadership ended", "term", e.Term)
		return
	}
	v.electedAt = v.now
	v.readyAt = v.log.LastIndex()
	v.proposed = make(map[uint64]proposal)
	v.pending = make(map[string]pending)
	v.subs = make(map[string]*sub)
	v.waiters = make(map[document][]waiter)
	v.loads = make(map[pollenlatch.InstanceID]pollenlatch.Load)
	v.logf("leadership started", "term", e.Term)
}

// knowLeader lets this process's own daemon ask the new leader at once.
func (v *voter) knowLeader() {
	for _, m := range v.log.Members() {
		if m.Name == v.leader {
			v.holder.leader = m.Addr
		}
	}
}

// checkReady starts the leader's work once the state holds every entry that
// stood in the log at its election. The old leader may have extended any lease
// until the election, so each of them counts as extended then.
func (v *voter) checkReady() {
	if !v.lead || v.ready || v.applied < v.readyAt {
		return
	}
	v.ready, v.replan = true, true
	v.tellAskers(v.cfg.Self.Addr)
	v.behind, v.newest = v.now, newestTicket(v.state)
	v.holds.prolong(v.now, v.lagBound())
	if v.fed {
		v.fed = false
		v.recallRuns(v.state)
		v.findMoves(v.state)
	}
	for _, i := range v.state.Instances() {
		if i.Alive() {
			wait := v.cfg.Timing.Lease
			if v.rules.noElectionWait {
				wait = 0
			}
			v.granter.Extend(i.ID, i.Lease, v.electedAt, wait)
		}
		// When a lease ended under an earlier leader is not known.
		v.holdBack(v.state, i.ID, v.electedAt)
	}
	v.changeGroup()
}

// newestTicket returns the version of the newest accepted ticket.
func newestTicket(s *state.State) pollenlatch.Version {
	for _, r := range s.Tickets(0, state.MaxTicketRecords) {
		if r.Verdict.Accepted {
			return r.Verdict.Version
		}
	}
	return 0
}

// canGrant reports whether this process may extend leases now.
func (v *voter) canGrant() bool {
	return v.lead && v.ready && !v.halted && (v.log.Leading(v.now) || v.rules.noLeaderCheck)
}

func (v *voter) apply(entries []quorum.Entry) {
	s := v.state
	for i := range entries {
		s = v.applyEntry(s, &entries[i])
	}
	v.adopt(s)
	v.replan = true
	v.push()
	if v.lead && v.ready {
		v.runPlan()
	}
	if v.applied-v.compact >= v.compactAfter() {
		v.makeSnapshot()
	}
}

func (v *voter) compactAfter() uint64 {
	if v.cfg.CompactAfter > 0 {
		return v.cfg.CompactAfter
	}
	return DefaultCompactAfter
}

func (v *voter) applyEntry(s *state.State, e *quorum.Entry) *state.State {
	v.applied = e.Index
	for what, p := range v.pending {
		if p.last != 0 && p.last <= e.Index {
			delete(v.pending, what)
			v.do(Committed{Took: v.now.Sub(p.since)})
		}
	}
	c := &pollenlatch.Command{Noop: &pollenlatch.Noop{Term: e.Term}}
	if len(e.Data) > 0 {
		c = new(pollenlatch.Command)
		if err := pollenlatch.Decode(e.Data, c); err != nil {
			// Every voter sees the same bytes, so every voter skips them.
			v.logf("log entry not decoded", "index", e.Index, "err", err)
			c = &pollenlatch.Command{Noop: &pollenlatch.Noop{Term: e.Term}}
		}
	}
	at := pollenlatch.Version(e.Index)
	v.tail.add(at, c, len(e.Data))
	if c.Noop != nil {
		return s.Advance(at)
	}
	next, result := s.Apply(at, c)
	if c.Expire != nil && result.Rejection == "" && !c.Expire.Graceful {
		v.holdBack(s, c.Expire.Instance, v.now)
	}
	v.afterApply(c, s, result)
	v.noteMoves(next, result.Changed)
	v.note(next, result.Changed)
	return next
}

// afterApply does what the leader has to do once a command is committed.
func (v *voter) afterApply(c *pollenlatch.Command, before *state.State, result state.Result) {
	switch {
	case c.Expire != nil:
		v.granter.Forget(c.Expire.Instance, c.Expire.Lease)
	case c.Join != nil && result.Rejection == "":
		if v.lead {
			v.granter.Extend(result.Instance, result.Lease, v.now, v.cfg.Timing.Lease)
		}
	case c.Change != nil && result.Verdict != nil:
		v.answer(changeDocument(c.Change), *result.Verdict)
	case c.Ticket != nil && result.Verdict != nil:
		v.answer(document{c.Ticket.Number, c.Ticket.Text}, *result.Verdict)
		if result.Verdict.Accepted && v.newest < result.Verdict.Version {
			v.newest, v.behind = result.Verdict.Version, v.now
			v.holds.shorten(v.now, longestRun(before), v.lagBound())
			if v.lead && v.ready && len(c.Ticket.Spec.Voters) > 0 {
				v.changeTo(c.Ticket.Spec.Voters)
			}
		}
	}
}

func (v *voter) restore(snap quorum.Snapshot) {
	s, err := state.Load(snap.Data)
	if err != nil {
		v.halted = true
		v.do(Halt{Err: fmt.Errorf("snapshot at index %d: %w", snap.Index, err)})
		return
	}
	v.applied, v.compact = snap.Index, snap.Index
	v.tail.reset(pollenlatch.Version(snap.Index))
	if s.Version() < v.state.Version() {
		return
	}
	v.findMoves(s)
	v.recallRuns(s)
	v.adopt(s.Advance(pollenlatch.Version(snap.Index)))
}

func (v *voter) makeSnapshot() {
	b, err := v.state.Snapshot()
	if err != nil {
		v.logf("snapshot not made", "index", v.applied, "err", err)
		return
	}
	v.compact = v.applied
	v.step(quorum.Compact{Now: v.now, Index: v.applied, Data: b})
}

// proposeOnce proposes commands unless the same purpose is still in the log's
// hands.
func (v *voter) proposeOnce(what string, commands ...*pollenlatch.Command) {
	if _, ok := v.pending[what]; ok || !v.lead || v.halted {
		return
	}
	data := make([][]byte, 0, len(commands))
	for _, c := range commands {
		b, err := pollenlatch.Encode(c)
		if err != nil {
			v.logf("command not encoded", "for", what, "err", err)
			return
		}
		data = append(data, b)
	}
	v.nextID++
	v.proposed[v.nextID] = proposal{what: what, commands: uint64(len(data))}
	v.pending[what] = pending{since: v.now}
	v.step(quorum.Propose{Now: v.now, ID: v.nextID, Data: data})
}

// changeGroup carries on with a change of the group that a former leader began.
func (v *voter) changeGroup() {
	if want := v.state.Voters(); len(want) > 0 {
		v.changeTo(want)
	}
}

func (v *voter) changeTo(members []pollenlatch.Member) {
	v.nextID++
	v.step(quorum.ChangeMembership{Now: v.now, ID: v.nextID, Members: members})
}

func (v *voter) onPropose(from string, p *pollenlatch.Propose) {
	answer := func(verdict pollenlatch.Verdict) {
		v.reply(from, &pollenlatch.Message{ProposeReply: &pollenlatch.ProposeReply{Seq: p.Seq, Verdict: verdict}})
	}
	if !v.canGrant() {
		answer(pollenlatch.Verdict{Retry: true})
		return
	}
	if p.Change != nil {
		v.onChange(from, p, answer)
		return
	}
	if verdict, ok := v.state.Decided(&p.Ticket); ok {
		answer(verdict)
		return
	}
	number, spec, err := ticket.Parse(p.Ticket.Text)
	if err == nil && number != p.Ticket.Number {
		err = fmt.Errorf("number: the document says %d, the request %d", number, p.Ticket.Number)
	}
	if err != nil {
		answer(pollenlatch.Verdict{Number: p.Ticket.Number, Faults: ticket.Faults(err), Next: v.state.NextTicket()})
		return
	}
	t := p.Ticket
	t.Spec = spec
	t.Digest = xxhash.Sum64String(t.Text)
	d := document{t.Number, t.Text}
	v.waiters[d] = append(v.waiters[d], waiter{name: from, seq: p.Seq})
	v.proposeOnce(fmt.Sprintf("ticket %d %s", t.Number, t.Text), &pollenlatch.Command{Ticket: &t})
}

// onChange decides on a change of items. What would change nothing, or is wrong
// by the present state, needs no entry in the log.
func (v *voter) onChange(from string, p *pollenlatch.Propose, answer func(pollenlatch.Verdict)) {
	c := p.Change
	if err := c.Check(); err != nil {
		answer(pollenlatch.Verdict{Faults: []string{err.Error()}})
		return
	}
	faults, effect := v.state.ChangeFaults(c)
	if len(faults) > 0 || !effect {
		answer(pollenlatch.Verdict{Accepted: len(faults) == 0, Version: v.state.Version(), Faults: faults})
		return
	}
	c.ID = p.Seq
	d := changeDocument(c)
	v.waiters[d] = append(v.waiters[d], waiter{name: from, seq: p.Seq})
	v.proposeOnce(fmt.Sprintf("change %d", c.ID), &pollenlatch.Command{Change: c})
}

// changeDocument names a change among the documents that wait for a verdict.
func changeDocument(c *pollenlatch.ConfigChange) document {
	return document{number: c.ID, text: "items"}
}

// answer tells everyone who waits for the verdict on a document.
func (v *voter) answer(d document, verdict pollenlatch.Verdict) {
	for _, w := range v.waiters[d] {
		v.reply(w.name, &pollenlatch.Message{ProposeReply: &pollenlatch.ProposeReply{Seq: w.seq, Verdict: verdict}})
	}
	delete(v.waiters, d)
}

func (v *voter) describe(a *Access) {
	a.IsVoter = true
	a.IsLeader = v.lead
	a.Leader = v.leader
	a.Term = v.term
	a.AppliedIndex = v.applied
}
