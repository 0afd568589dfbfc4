package ctrl

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"pollenlatch"
	"pollenlatch/lease"
	"pollenlatch/pack"
	"pollenlatch/state"
)

// rotateAfter is the number of renewals without an answer after which the next
// voter is asked: one lost message must not cost a change of target.
const rotateAfter = 2

// submitRetry is the interval at which an undecided ticket is sent again.
const submitRetry = 200 * time.Millisecond

// askPause is the first pause before a daemon without a lease asks again: a
// commit takes a few milliseconds.
const askPause = 50 * time.Millisecond

// askDoublings bounds how often that pause doubles.
const askDoublings = 10

// searchPause is the pause after which a daemon without a lease asks the next
// voter when the last one is silent. It is longer than a message and its answer
// take between regions.
const searchPause = 100 * time.Millisecond

// searchMost bounds the factor by which searchPause grows.
const searchMost = 10

// redirectPause bounds how often a hint to the leader is followed at once, since
// two voters with old news may name each other.
const redirectPause = 20 * time.Millisecond

// holder is the part of a reducer that every process has: its own lease, its
// copy of the state, and the hand-overs of its shards.
type holder struct {
	*Reducer
	held     lease.Holder
	joined   pollenlatch.Lease // lease under which this process may act; 0 is none
	restarts uint64
	target   int    // index of the voter to ask when no leader is known
	leader   string // address of the leader as last heard
	silent   int    // renewals without answer
	searched int    // voters that were silent since the last answer
	lastSent pollenlatch.MonoTime
	turnedAt pollenlatch.MonoTime // when a hint to the leader was last followed at once
	started  bool
	force    pollenlatch.Version

	facts  *pollenlatch.Endpoint
	load   *pollenlatch.Load
	loadAt pollenlatch.MonoTime

	parts   []byte // snapshot being received
	partsOf pollenlatch.Version
	moves   map[lease.Key]*move
	unsent  bool // hand-overs have finished that the leader was not told of
	grants  []pollenlatch.Grant
	granted bool // grants were sent under the present lease
	tickets map[uint64]*submitted

	questions map[uint64]*question
	known     []string // addresses of the voters as the leader told them last
	draining  bool
	drainEnd  pollenlatch.MonoTime
	closed    bool
	drained   bool
	leaving   bool
	left      bool

	askAt pollenlatch.MonoTime // when to ask again before the next renewal; 0 is not
	lost  int                  // answers that named no leader, since a lease was extended
	waits int                  // answers in a row of a leader that has not granted the lease yet

	began pollenlatch.Version // of the first state that shows this process; 0 until then
	dirty bool                // state or lease changed since the last Publish
}

// move is the hand-over of one of this instance's shards.
type move struct {
	empty     bool // nothing in flight
	released  bool // the next owner has the records, or cannot get them
	noRecords bool
	token     string
}

type submitted struct {
	ticket pollenlatch.Ticket
	change *pollenlatch.ConfigChange
	sentAt pollenlatch.MonoTime
}

func (h *holder) tickHolder() {
	again := h.askAt != 0 && h.now >= h.askAt
	if !h.started || again || h.now.Sub(h.lastSent) >= h.cfg.Timing.Renew {
		h.renew()
	}
	h.resubmit()
	h.askAgain()
	if h.draining {
		h.checkDrain()
	}
}

// renew asks for the lease, or for its extension.
func (h *holder) renew() {
	if h.left || len(h.cfg.Voters) == 0 {
		return
	}
	h.started, h.askAt = true, 0
	h.lastSent = h.now
	if h.silent >= rotateAfter || (h.joined == 0 && h.silent > 0) {
		h.rotate()
	}
	h.silent++
	if h.joined == 0 {
		h.searchOn()
	}
	m := &pollenlatch.Renew{
		Seq:         h.held.BeginRenewal(h.now),
		Lease:       h.joined,
		Version:     h.state.Version(),
		Incarnation: h.cfg.Self.Incarnation,
		Name:        h.cfg.Self.Name,
		Leave:       h.leaving,
	}
	if h.joined == 0 {
		join := h.cfg.Self
		m.Join = &join
	}
	if h.joined != 0 && h.facts != nil && !h.factsKnown() {
		facts := h.currentFacts()
		m.Endpoint = &facts
	}
	if h.load != nil && h.now.Sub(h.loadAt) >= h.reportEvery() {
		m.Load, h.loadAt = h.load, h.now
	}
	h.send(h.contact(), &pollenlatch.Message{Renew: m})
	h.sendReleases()
}

func (h *holder) reportEvery() time.Duration {
	if h.cfg.LoadReportInterval > 0 {
		return h.cfg.LoadReportInterval
	}
	return time.Second
}

// contact returns the address of the process to send requests to: the leader,
// or one after the other of the voters that it told and that the settings name.
func (h *holder) contact() string {
	if h.leader != "" {
		return h.leader
	}
	n := h.target % (len(h.known) + len(h.cfg.Voters))
	if n < len(h.known) {
		return h.known[n]
	}
	return h.cfg.Voters[n-len(h.known)].Addr
}

func (h *holder) rotate() {
	h.leader = ""
	h.target++
	h.silent = 0
}

// currentFacts returns the endpoint as this daemon wants it recorded.
func (h *holder) currentFacts() pollenlatch.Endpoint {
	f := *h.facts
	f.Draining = f.Draining || h.draining
	return f
}

func (h *holder) factsKnown() bool {
	me, ok := h.state.InstanceByName(h.cfg.Self.Name)
	return ok && me.Endpoint != nil && *me.Endpoint == h.currentFacts()
}

func (h *holder) renewed(from string, m *pollenlatch.RenewReply) {
	h.silent, h.searched = 0, 0
	waits := h.waits
	h.waits = 0
	switch m.Refusal {
	case pollenlatch.RefusalJoining, pollenlatch.RefusalBehind:
		h.leader = h.addrOf(from)
		h.waits = waits + 1
		h.askSoon(h.waits)
	case pollenlatch.RefusalNotLeader:
		h.redirect(m.Leader)
	case pollenlatch.RefusalLeaseEnded:
		if m.Lease == h.joined {
			h.dropLease("the leader has ended the lease")
		}
	case pollenlatch.RefusalNone:
		h.leader = h.addrOf(from)
		h.lost = 0
		h.extended(m)
	}
}

// askSoon asks again before the next renewal is due: a join takes a commit, and
// of several voters to ask only one may know the leader. The pause doubles with
// each of so many answers without a lease, so that daemons without a leader do
// not flood the voters.
func (h *holder) askSoon(times int) {
	pause := min(askPause<<min(times-1, askDoublings), h.cfg.Timing.Renew)
	h.askAt = h.now.Add(pause)
}

// searchOn asks the next voter soon if the present one is silent. The pause
// grows with each voter, so that daemons do not flood a group that starts.
func (h *holder) searchOn() {
	h.searched = min(h.searched+1, searchMost)
	h.askAt = h.now.Add(min(time.Duration(h.searched)*searchPause, h.cfg.Timing.Renew))
}

// redirect follows a hint to the leader. Without one the next voter is asked
// after a pause, so that voters without a leader are not asked in a loop.
func (h *holder) redirect(leader string) {
	if leader == "" || leader == h.leader {
		h.rotate()
		h.lost++
		h.askSoon(h.lost)
		return
	}
	h.leader = leader
	if h.now.Sub(h.turnedAt) < redirectPause {
		h.askAt = h.turnedAt.Add(redirectPause)
		return
	}
	h.turnedAt = h.now
	h.renew()
}

func (h *holder) addrOf(name string) string {
	for _, v := range h.cfg.Voters {
		if v.Name == name {
			return v.Addr
		}
	}
	if i, ok := h.state.InstanceByName(name); ok {
		return i.Addr
	}
	return h.leader
}

func (h *holder) extended(m *pollenlatch.RenewReply) {
	if !h.held.Extend(m.Seq, m.Lease, m.TTL) {
		return
	}
	if h.rules.fromArrival {
		h.held.Extend(h.held.BeginRenewal(h.now), m.Lease, m.TTL)
	}
	h.force = max(h.force, m.InForce)
	if len(m.Voters) > 0 {
		h.known = m.Voters
	}
	h.dirty = true
	before := h.joined
	h.activate()
	if h.joined != before && !h.rules.keepGrants {
		// The server must not keep what it was granted under an earlier lease.
		me, _ := h.state.InstanceByName(h.cfg.Self.Name)
		h.follow(me)
	}
	if _, end := h.held.Lease(); h.joined != 0 {
		h.do(Extend{Until: end})
	}
}

// activate lets this process act under the lease that it was given, once the
// state that it holds shows the lease: every loss of its shards before it is
// in that state too.
func (h *holder) activate() {
	l, _ := h.held.Lease()
	me, ok := h.state.InstanceByName(h.cfg.Self.Name)
	if l == 0 || l == h.joined || !ok {
		return
	}
	if (me.Lease != l || me.Incarnation != h.cfg.Self.Incarnation) && !h.rules.joinAtOnce {
		return
	}
	h.joined = l
	h.restarts++
	h.dirty = true
	h.logf("lease started", "lease", l, "version", h.state.Version())
	if h.facts != nil && !h.factsKnown() {
		h.askAt = h.now // the server's ranges wait for the facts
	}
}

func (h *holder) dropLease(reason string) {
	if h.joined == 0 {
		return
	}
	h.logf("lease ended", "lease", h.joined, "reason", reason)
	h.joined = 0
	h.granted = h.rules.keepGrants
	h.held.Drop()
	h.moves = nil
	h.dirty = true
	if h.leaving && !h.left {
		h.left = true
		h.do(Left{})
	}
}

func (h *holder) announced(e pollenlatch.Endpoint) {
	h.facts = &e
	if h.joined != 0 && !h.factsKnown() {
		h.renew()
	}
}

// delta applies committed commands, or collects a snapshot.
func (h *holder) delta(d *pollenlatch.Delta) {
	if h.voter != nil {
		if h.lead {
			return
		}
		// The leader does not count this process as a voter (any more), so its
		// own log may end here. What both bring is the same.
		h.fed = true
	}
	if d.Chunk != nil {
		h.piece(d.Chunk)
		return
	}
	s := h.state
	if d.From > s.Version() {
		return // a gap; the next renewal tells the leader what is held
	}
	skip := int(s.Version() - d.From)
	if skip >= d.Len() {
		return
	}
	commands, err := decompressed(d)
	if err != nil {
		h.logf("commands of the leader refused", "from", d.From, "count", d.Count, "err", err)
		return
	}
	for i := skip; i < len(commands); i++ {
		next, result := s.Apply(d.From+pollenlatch.Version(i)+1, &commands[i])
		h.note(next, result.Changed)
		s = next
	}
	h.adopt(s)
}

func (h *holder) piece(p *pollenlatch.SnapshotChunk) {
	if p.Version <= h.state.Version() {
		return
	}
	if p.Version != h.partsOf {
		h.parts, h.partsOf = nil, p.Version
	}
	if p.Offset == uint64(len(h.parts)) {
		h.parts = append(h.parts, p.Data...)
	}
	if have := uint64(len(h.parts)); have < p.Total {
		h.send(h.contact(), &pollenlatch.Message{ChunkRequest: &pollenlatch.ChunkRequest{Version: p.Version, Offset: have}})
		return
	}
	b, err := pack.Decompress(h.parts, mostDecompressed)
	h.parts = nil
	var s *state.State
	if err == nil {
		s, err = state.Load(b)
	}
	if err != nil {
		h.logf("snapshot of the leader refused", "err", err)
		return
	}
	h.adopt(s)
}

// adopt takes a newer state and starts what follows from it for this instance.
func (h *holder) adopt(s *state.State) {
	if !s.SameItems(h.state) {
		h.logf("configuration changed", "items", len(s.Items()), "from", h.state.Version(), "version", s.Version())
	}
	h.setState(s)
	h.checkQuestions()
	me, ok := s.InstanceByName(h.cfg.Self.Name)
	if h.joined != 0 && (!ok || me.Lease != h.joined) {
		h.dropLease("the log has ended the lease")
	}
	h.activate()
	if h.joined == 0 {
		return
	}
	h.follow(me)
}

// follow starts hand-overs and renews the server's grants.
func (h *holder) follow(me pollenlatch.Instance) {
	// Most changes of the state concern other instances, so the list of grants is
	// only made anew when one of them differs.
	owned, same := 0, h.granted
	moves := make(map[lease.Key]*move)
	h.state.EachOwned(me.ID, "", func(o pollenlatch.Owner) bool {
		same = same && owned < len(h.grants) && h.grants[owned] == grantOf(o)
		owned++
		if !o.Frozen() {
			return true
		}
		k := KeyOf(o)
		if m, ok := h.moves[k]; ok {
			moves[k] = m
			return true
		}
		if o.Next == me.ID { // a key that goes back to its range, which is ours too
			moves[k] = &move{empty: true, released: true}
			return true
		}
		moves[k] = &move{}
		h.do(AwaitIdle{Key: k})
		if h.rules.noDrainWait {
			moves[k].empty, moves[k].released = true, true
		}
		return true
	})
	h.moves = moves
	if same && owned == len(h.grants) {
		return
	}
	grants := make([]pollenlatch.Grant, 0, owned)
	h.state.EachOwned(me.ID, "", func(o pollenlatch.Owner) bool {
		grants = append(grants, grantOf(o))
		return true
	})
	h.grants, h.granted = grants, true
	_, end := h.held.Lease()
	h.do(Grant{Grants: grants, Until: end})
}

func grantOf(o pollenlatch.Owner) pollenlatch.Grant {
	return pollenlatch.Grant{Shard: o.Shard, Fence: o.Fence}
}

func (h *holder) emptied(e IdleShard) {
	k := e.Key
	m, ok := h.moves[k]
	if !ok || m.empty {
		return
	}
	m.empty = true
	o, ok := h.state.ShardOwner(k.Shard)
	if !ok || o.Fence != k.Fence {
		return
	}
	if svc, _ := h.state.Service(k.Service); svc.Heartbeats {
		m.released, m.token = true, e.Token
		h.unsent = true
		return
	}
	to, ok := h.state.Instance(o.Next)
	if !ok {
		return
	}
	h.do(SendRecords{Key: k, To: to})
}

func (h *holder) handedOver(e RecordsSent) {
	m, ok := h.moves[e.Key]
	if !ok {
		return
	}
	m.released, m.noRecords = true, !e.OK
	h.sendReleases()
}

// sendEmptied tells the leader of the hand-overs that have just finished.
func (h *holder) sendEmptied() {
	if h.unsent {
		h.unsent = false
		h.sendReleases()
	}
}

// sendReleases tells the leader of finished hand-overs, again and again until
// the state shows their end.
func (h *holder) sendReleases() {
	var items []pollenlatch.ReleasedShard
	for k, m := range h.moves {
		if m.released {
			items = append(items, pollenlatch.ReleasedShard{Shard: k.Shard, Fence: k.Fence, NoRecords: m.noRecords, Token: m.token})
		}
	}
	if len(items) == 0 || h.joined == 0 {
		return
	}
	slices.SortFunc(items, func(a, b pollenlatch.ReleasedShard) int {
		return compareShards(a.Shard, b.Shard)
	})
	me, _ := h.state.InstanceByName(h.cfg.Self.Name)
	h.send(h.contact(), &pollenlatch.Message{Release: &pollenlatch.Release{Instance: me.ID, Lease: h.joined, Items: items}})
}

func (h *holder) submit(e Submitted) {
	if h.tickets == nil {
		h.tickets = make(map[uint64]*submitted)
	}
	h.tickets[e.ID] = &submitted{ticket: e.Ticket, change: e.Change, sentAt: h.now}
	h.propose(e.ID, h.tickets[e.ID])
}

func (h *holder) propose(id uint64, s *submitted) {
	h.send(h.contact(), &pollenlatch.Message{Propose: &pollenlatch.Propose{Seq: id ^ h.seqMask(), Ticket: s.ticket, Change: s.change}})
}

// seqMask tells this process's proposals from those of an earlier process of
// the same name, whose verdicts may still arrive.
func (h *holder) seqMask() uint64 {
	if h.rules.plainSeq {
		return 0
	}
	return uint64(h.cfg.Self.Incarnation)
}

func (h *holder) resubmit() {
	for _, id := range slices.Sorted(maps.Keys(h.tickets)) {
		s := h.tickets[id]
		if h.now.Sub(s.sentAt) >= submitRetry {
			s.sentAt = h.now
			h.propose(id, s)
		}
	}
}

func (h *holder) decided(d *pollenlatch.ProposeReply) {
	id := d.Seq ^ h.seqMask()
	if _, ok := h.tickets[id]; !ok || d.Verdict.Retry {
		return
	}
	delete(h.tickets, id)
	h.do(DeliverVerdict{ID: id, Verdict: d.Verdict})
}

func (h *holder) startDrain() {
	if h.draining {
		return
	}
	h.draining = true
	h.drainEnd = h.now.Add(h.cfg.Timing.Drain)
	h.renew()
	h.checkDrain()
}

// checkDrain reports the end of a drain: this instance owns nothing, the state
// shows that it is leaving, or the drain time is over.
func (h *holder) checkDrain() {
	if h.drained {
		return
	}
	owns := false
	if me, ok := h.state.InstanceByName(h.cfg.Self.Name); ok && h.joined != 0 {
		h.state.EachOwned(me.ID, "", func(pollenlatch.Owner) bool {
			owns = true
			return false
		})
	}
	announced := h.facts == nil || h.joined == 0 || h.factsKnown()
	if (owns || !announced) && h.now < h.drainEnd {
		return
	}
	h.drained, h.closed, h.dirty = true, true, true
	h.do(Drained{})
}

// leave ends the lease. Traffic may do nothing under it from here on, since
// the leader may end it before its answer arrives.
func (h *holder) leave() {
	if h.leaving {
		return
	}
	h.leaving, h.closed, h.dirty = true, true, true
	if h.joined == 0 {
		h.left = true
		h.do(Left{})
		return
	}
	h.renew()
}

// publish returns what traffic may do now, if that has changed.
func (r *Reducer) publish() (a Access, changed bool) {
	if !r.dirty {
		return Access{}, false
	}
	r.dirty = false
	a = Access{View: r.state, Closed: r.closed, InForce: r.holder.force, LeasesStarted: r.restarts}
	if me, ok := r.state.InstanceByName(r.cfg.Self.Name); ok {
		a.Self = me.ID
		if r.began == 0 && me.Incarnation == r.cfg.Self.Incarnation {
			r.began = r.state.Version()
		}
	}
	a.JoinVersion = r.began
	if r.joined != 0 && (!r.leaving || r.rules.quickLeave) {
		_, a.LeaseEnd = r.held.Lease()
	}
	if r.voter != nil {
		r.describe(&a)
	}
	return a, true
}

func compareShards(a, b pollenlatch.Shard) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Range, b.Range), cmp.Compare(a.Key, b.Key))
}
