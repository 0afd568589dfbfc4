package ctrl

import (
	"cmp"
	"slices"
	"time"

	"pollenlatch"
	"pollenlatch/lease"
	"pollenlatch/pack"
	"pollenlatch/state"
)

// maxUnanswered is the number of consecutive renewals without a reply after which
// the daemon turns to the next voter. With 1, a single lost message would make it
// leave the leader.
const maxUnanswered = 2

// retryInterval is the interval at which tickets, changes and read index requests
// without a reply are sent again.
const retryInterval = 200 * time.Millisecond

// minRenewBackoff is the initial backoff after a reply that did not grant a lease.
// It allows for the commit of the Join, which takes a few milliseconds.
const minRenewBackoff = 50 * time.Millisecond

// maxBackoffDoublings limits how often the backoff doubles.
const maxBackoffDoublings = 10

// voterSearchDelay is how long a daemon without a lease waits for a voter's reply
// before it asks the next one. It is longer than a round trip between regions.
const voterSearchDelay = 100 * time.Millisecond

// maxVoterSearchFactor limits the factor by which voterSearchDelay grows.
const maxVoterSearchFactor = 10

// minRedirectInterval is the minimum time between two redirects that are followed
// at once. Two voters with outdated information may redirect to each other.
const minRedirectInterval = 20 * time.Millisecond

// holder is the part of a reducer that every process has. It holds the lease of
// this daemon, applies committed commands to the local state, and hands over the
// shards of this instance.
type holder struct {
	*Reducer
	ownLease        lease.Holder
	activeLease     pollenlatch.Lease // the lease that the state shows too, so that this process may act under it; 0 is none
	leasesStarted   uint64
	voterIndex      int    // index of the voter to ask when no leader is known
	knownLeaderAddr string // empty when the leader is unknown
	unanswered      int    // renewals sent since the last reply
	silentVoters    int    // voters asked since the last reply, up to maxVoterSearchFactor
	renewedAt       pollenlatch.MonoTime
	redirectedAt    pollenlatch.MonoTime // when a redirect was last followed at once
	renewStarted    bool
	inForceVersion  pollenlatch.Version

	endpoint   *pollenlatch.Endpoint // as last announced by the local server
	crashes    []pollenlatch.Crash   // reported, and not known to be recorded
	load       *pollenlatch.Load     // as last reported
	loadSentAt pollenlatch.MonoTime

	snapshotData      []byte // chunks received so far
	receivingSnapshot pollenlatch.Version
	handOvers         map[lease.Key]*handOver
	releasePending    bool // shards were released that have not been reported to the leader
	grants            []pollenlatch.Grant
	grantsSent        bool // grants were sent to the server under the present lease
	submissions       map[uint64]*submission

	pendingReads    map[uint64]*pendingRead
	knownVoterAddrs []string // from the leader's last reply
	draining        bool
	drainDeadline   pollenlatch.MonoTime
	closed          bool // no new requests are admitted
	drained         bool
	leaving         bool
	left            bool

	earlyRenewalAt    pollenlatch.MonoTime // time of a renewal before the regular interval ends; 0 is none
	noLeaderReplies   int                  // replies that named no other leader, since the lease was last extended
	notGrantedReplies int                  // consecutive replies of a leader that did not grant a lease

	upToDateAt     pollenlatch.MonoTime            // the state had everything that was committed before this time
	evacuatedSince map[string]pollenlatch.MonoTime // by data centre; see Access
	evacuationsAt  pollenlatch.Version             // version of the evacuations in evacuatedSince

	joinVersion pollenlatch.Version // version of the first state with the Join of this process; 0 until then
	dirty       bool                // the Access has changed since the last Publish
}

// handOver is the hand-over of one shard of this instance.
type handOver struct {
	idle      bool // no request is in flight
	released  bool // the next owner has the idempotency records, or cannot get them
	noRecords bool
	token     string
}

func (h *holder) tickHolder() {
	renewEarly := h.earlyRenewalAt != 0 && h.now >= h.earlyRenewalAt
	if !h.renewStarted || renewEarly || h.now.Sub(h.renewedAt) >= h.cfg.Timing.Renew {
		h.renew()
	}
	h.resubmit()
	h.retryReads()
	if h.draining {
		h.checkDrain()
	}
}

// renew asks the leader for a lease, or for the extension of the present one.
func (h *holder) renew() {
	if h.left || len(h.cfg.Voters) == 0 {
		return
	}
	h.renewStarted, h.earlyRenewalAt = true, 0
	h.renewedAt = h.now
	if h.unanswered >= maxUnanswered || (h.activeLease == 0 && h.unanswered > 0) {
		h.tryNextVoter()
	}
	h.unanswered++
	if h.activeLease == 0 {
		h.scheduleVoterSearch()
	}
	m := &pollenlatch.Renew{
		Seq:         h.ownLease.BeginRenewal(h.now),
		Lease:       h.activeLease,
		Version:     h.state.Version(),
		Incarnation: h.cfg.Self.Incarnation,
		Name:        h.cfg.Self.Name,
		Leave:       h.leaving,
	}
	if h.activeLease == 0 {
		join := h.cfg.Self
		m.Join = &join
	}
	if h.activeLease != 0 && h.endpoint != nil && !h.endpointRecorded() {
		endpoint := h.currentEndpoint()
		m.Endpoint = &endpoint
	}
	if h.load != nil && h.now.Sub(h.loadSentAt) >= h.loadReportInterval() {
		m.Load, h.loadSentAt = h.load, h.now
	}
	if h.activeLease != 0 {
		m.Crashes = h.pendingCrashes()
	}
	h.send(h.requestAddr(), &pollenlatch.Message{Renew: m})
	h.sendReleases()
}

func (h *holder) loadReportInterval() time.Duration {
	if h.cfg.LoadReportInterval > 0 {
		return h.cfg.LoadReportInterval
	}
	return time.Second
}

// requestAddr returns the address that requests are sent to. It is the leader's, or
// while that is unknown one of the voters', first those named in the leader's last
// reply and then those in the settings.
func (h *holder) requestAddr() string {
	if h.knownLeaderAddr != "" {
		return h.knownLeaderAddr
	}
	n := h.voterIndex % (len(h.knownVoterAddrs) + len(h.cfg.Voters))
	if n < len(h.knownVoterAddrs) {
		return h.knownVoterAddrs[n]
	}
	return h.cfg.Voters[n-len(h.knownVoterAddrs)].Addr
}

func (h *holder) tryNextVoter() {
	h.knownLeaderAddr = ""
	h.voterIndex++
	h.unanswered = 0
}

// currentEndpoint returns the endpoint as the state should record it.
func (h *holder) currentEndpoint() pollenlatch.Endpoint {
	e := *h.endpoint
	e.Draining = e.Draining || h.draining
	return e
}

// endpointRecorded reports whether the state has the current endpoint.
func (h *holder) endpointRecorded() bool {
	self, ok := h.state.InstanceByName(h.cfg.Self.Name)
	return ok && self.Endpoint != nil && *self.Endpoint == h.currentEndpoint()
}

func (h *holder) onRenewReply(from string, m *pollenlatch.RenewReply) {
	h.unanswered, h.silentVoters = 0, 0
	repliesBefore := h.notGrantedReplies
	h.notGrantedReplies = 0
	switch m.Refusal {
	case pollenlatch.RefusalJoining, pollenlatch.RefusalBehind:
		h.knownLeaderAddr = h.addrOf(from)
		h.notGrantedReplies = repliesBefore + 1
		h.backOffRenewal(h.notGrantedReplies)
	case pollenlatch.RefusalNotLeader:
		h.followRedirect(m.Leader)
	case pollenlatch.RefusalLeaseEnded:
		if m.Lease == h.activeLease {
			h.dropLease("the leader reports that the lease has ended")
		}
	case pollenlatch.RefusalNone:
		h.knownLeaderAddr = h.addrOf(from)
		h.noLeaderReplies = 0
		h.extendLease(m)
	}
}

// backOffRenewal schedules a renewal before the regular one, since a Join takes only
// a commit, and the next voter may know the leader. The backoff doubles with each
// reply that did not grant a lease, so that daemons don't overload the voters while
// there is no leader.
func (h *holder) backOffRenewal(replies int) {
	backoff := min(minRenewBackoff<<min(replies-1, maxBackoffDoublings), h.cfg.Timing.Renew)
	h.earlyRenewalAt = h.now.Add(backoff)
}

// scheduleVoterSearch schedules the renewal that goes to the next voter if this one
// does not reply. The delay grows with each voter, so that daemons don't overload a
// group that is starting.
func (h *holder) scheduleVoterSearch() {
	h.silentVoters = min(h.silentVoters+1, maxVoterSearchFactor)
	h.earlyRenewalAt = h.now.Add(min(time.Duration(h.silentVoters)*voterSearchDelay, h.cfg.Timing.Renew))
}

// followRedirect renews at the leader that a voter named. When it named none, or the
// address that was tried already, the next voter is asked after a backoff.
func (h *holder) followRedirect(leaderAddr string) {
	if leaderAddr == "" || leaderAddr == h.knownLeaderAddr {
		h.tryNextVoter()
		h.noLeaderReplies++
		h.backOffRenewal(h.noLeaderReplies)
		return
	}
	h.knownLeaderAddr = leaderAddr
	if h.now.Sub(h.redirectedAt) < minRedirectInterval {
		h.earlyRenewalAt = h.redirectedAt.Add(minRedirectInterval)
		return
	}
	h.redirectedAt = h.now
	h.renew()
}

// addrOf returns the address of an instance that replied as the leader.
func (h *holder) addrOf(name string) string {
	for _, v := range h.cfg.Voters {
		if v.Name == name {
			return v.Addr
		}
	}
	if i, ok := h.state.InstanceByName(name); ok {
		return i.Addr
	}
	return h.knownLeaderAddr
}

func (h *holder) extendLease(m *pollenlatch.RenewReply) {
	if !h.ownLease.Extend(m.Seq, m.Lease, m.TTL) {
		return
	}
	if h.injected.leaseFromArrival {
		h.ownLease.Extend(h.ownLease.BeginRenewal(h.now), m.Lease, m.TTL)
	}
	h.inForceVersion = max(h.inForceVersion, m.InForce)
	if len(m.Voters) > 0 {
		h.knownVoterAddrs = m.Voters
	}
	if m.Version <= h.state.Version() {
		h.upToDateAt = max(h.upToDateAt, h.ownLease.SentAt(m.Seq))
	}
	h.dirty = true
	previous := h.activeLease
	h.activateLease()
	if h.activeLease != previous && !h.injected.keepOldGrants {
		// Replace the grants of an earlier lease instead of extending them.
		self, _ := h.state.InstanceByName(h.cfg.Self.Name)
		h.updateOwnedShards(self)
	}
	if _, end := h.ownLease.Lease(); h.activeLease != 0 {
		h.emit(Extend{Until: end})
	}
}

// activateLease lets this process act under its new lease once the local state
// includes the lease. That state also includes every earlier loss of its shards.
func (h *holder) activateLease() {
	l, _ := h.ownLease.Lease()
	self, ok := h.state.InstanceByName(h.cfg.Self.Name)
	if l == 0 || l == h.activeLease || !ok {
		return
	}
	if (self.Lease != l || self.Incarnation != h.cfg.Self.Incarnation) && !h.injected.activateEarly {
		return
	}
	h.activeLease = l
	h.leasesStarted++
	h.dirty = true
	h.logf("lease started", "lease", l, "version", h.state.Version())
	if h.endpoint != nil && !h.endpointRecorded() {
		h.earlyRenewalAt = h.now // the server gets no ranges before its endpoint is recorded
	}
}

func (h *holder) dropLease(reason string) {
	if h.activeLease == 0 {
		return
	}
	h.logf("lease ended", "lease", h.activeLease, "reason", reason)
	h.activeLease = 0
	h.grantsSent = h.injected.keepOldGrants
	h.ownLease.Drop()
	h.handOvers = nil
	h.dirty = true
	if h.leaving && !h.left {
		h.left = true
		h.emit(Left{})
	}
}

func (h *holder) onAnnounced(e pollenlatch.Endpoint) {
	h.endpoint = &e
	if h.activeLease != 0 && !h.endpointRecorded() {
		h.renew()
	}
}

// onDelta applies committed commands, or adds a chunk to a snapshot.
func (h *holder) onDelta(d *pollenlatch.Delta) {
	if h.voter != nil {
		if h.leading {
			return
		}
		// The leader sends deltas only to processes that it does not count as
		// voters, so the replica of this process may get no further entries. Both
		// sources carry the same commands.
		h.appliedDeltas = true
	}
	if d.Chunk != nil {
		h.onChunk(d.Chunk)
		return
	}
	s := h.state
	if d.From > s.Version() {
		return // commands are missing; the next renewal reports the local version
	}
	skip := int(s.Version() - d.From)
	if skip >= d.Len() {
		return
	}
	commands, err := decompressDelta(d)
	if err != nil {
		h.logf("delta from the leader could not be decoded", "from", d.From, "count", d.Count, "err", err)
		return
	}
	for i := skip; i < len(commands); i++ {
		next, result := s.Apply(d.From+pollenlatch.Version(i)+1, &commands[i])
		h.reportChanged(next, result.Changed)
		s = next
	}
	h.adoptState(s)
}

// onChunk adds a chunk to the snapshot. It requests the next chunk, or loads the
// snapshot when it is complete.
func (h *holder) onChunk(chunk *pollenlatch.SnapshotChunk) {
	if chunk.Version <= h.state.Version() {
		return
	}
	if chunk.Version != h.receivingSnapshot {
		h.snapshotData, h.receivingSnapshot = nil, chunk.Version
	}
	if chunk.Offset == uint64(len(h.snapshotData)) {
		h.snapshotData = append(h.snapshotData, chunk.Data...)
	}
	if received := uint64(len(h.snapshotData)); received < chunk.Total {
		h.send(h.requestAddr(), &pollenlatch.Message{ChunkRequest: &pollenlatch.ChunkRequest{Version: chunk.Version, Offset: received}})
		return
	}
	b, err := pack.Decompress(h.snapshotData, maxDecompressedBytes)
	h.snapshotData = nil
	var s *state.State
	if err == nil {
		s, err = state.Load(b)
	}
	if err != nil {
		h.logf("snapshot from the leader could not be loaded", "err", err)
		return
	}
	h.adoptState(s)
}

// adoptState replaces the state by a newer one, and updates the lease and the shards
// of this instance by it.
func (h *holder) adoptState(s *state.State) {
	if !s.SameItems(h.state) {
		h.logf("configuration changed", "items", len(s.Items()), "from", h.state.Version(), "version", s.Version())
	}
	h.setState(s)
	h.completeReads()
	self, ok := s.InstanceByName(h.cfg.Self.Name)
	if h.activeLease != 0 && (!ok || self.Lease != h.activeLease) {
		h.dropLease("a log entry has ended the lease")
	}
	h.activateLease()
	if h.activeLease == 0 {
		return
	}
	h.updateOwnedShards(self)
}

// updateOwnedShards starts hand-overs of frozen shards, and sends new grants to the
// server when they have changed.
func (h *holder) updateOwnedShards(self pollenlatch.Instance) {
	// Most state changes concern other instances, so the grants are compared first
	// and the list is only built when one differs.
	owned, unchanged := 0, h.grantsSent
	handOvers := make(map[lease.Key]*handOver)
	h.state.EachOwned(self.ID, "", func(o pollenlatch.Owner) bool {
		unchanged = unchanged && owned < len(h.grants) && h.grants[owned] == grantOf(o)
		owned++
		if !o.Frozen() {
			return true
		}
		k := KeyOf(o)
		if ho, ok := h.handOvers[k]; ok {
			handOvers[k] = ho
			return true
		}
		if o.Next == self.ID { // a hot key returns to its range, which this instance owns too
			handOvers[k] = &handOver{idle: true, released: true}
			return true
		}
		handOvers[k] = &handOver{}
		h.emit(AwaitIdle{Key: k})
		if h.injected.noIdleWait {
			handOvers[k].idle, handOvers[k].released = true, true
		}
		return true
	})
	h.handOvers = handOvers
	if unchanged && owned == len(h.grants) {
		return
	}
	grants := make([]pollenlatch.Grant, 0, owned)
	h.state.EachOwned(self.ID, "", func(o pollenlatch.Owner) bool {
		grants = append(grants, grantOf(o))
		return true
	})
	h.grants, h.grantsSent = grants, true
	_, end := h.ownLease.Lease()
	h.emit(Grant{Grants: grants, Until: end})
}

func grantOf(o pollenlatch.Owner) pollenlatch.Grant {
	return pollenlatch.Grant{Shard: o.Shard, Fence: o.Fence}
}

func (h *holder) onShardIdle(e IdleShard) {
	k := e.Key
	ho, ok := h.handOvers[k]
	if !ok || ho.idle {
		return
	}
	ho.idle = true
	o, ok := h.state.ShardOwner(k.Shard)
	if !ok || o.Fence != k.Fence {
		return
	}
	if svc, _ := h.state.Service(k.Service); svc.Heartbeats {
		ho.released, ho.token = true, e.Token
		h.releasePending = true
		return
	}
	to, ok := h.state.Instance(o.Next)
	if !ok {
		return
	}
	h.emit(SendRecords{Key: k, To: to})
}

func (h *holder) onRecordsSent(e RecordsSent) {
	ho, ok := h.handOvers[e.Key]
	if !ok {
		return
	}
	ho.released, ho.noRecords = true, !e.OK
	h.sendReleases()
}

// sendPendingReleases reports the shards that have just been released to the leader.
func (h *holder) sendPendingReleases() {
	if h.releasePending {
		h.releasePending = false
		h.sendReleases()
	}
}

// sendReleases reports all released shards to the leader. It is repeated with every
// renewal until the state shows that the hand-over has ended.
func (h *holder) sendReleases() {
	var items []pollenlatch.ReleasedShard
	for k, ho := range h.handOvers {
		if ho.released {
			items = append(items, pollenlatch.ReleasedShard{Shard: k.Shard, Fence: k.Fence, NoRecords: ho.noRecords, Token: ho.token})
		}
	}
	if len(items) == 0 || h.activeLease == 0 {
		return
	}
	slices.SortFunc(items, func(a, b pollenlatch.ReleasedShard) int {
		return compareShards(a.Shard, b.Shard)
	})
	self, _ := h.state.InstanceByName(h.cfg.Self.Name)
	h.send(h.requestAddr(), &pollenlatch.Message{Release: &pollenlatch.Release{Instance: self.ID, Lease: h.activeLease, Items: items}})
}

func (h *holder) startDrain() {
	if h.draining {
		return
	}
	h.draining = true
	h.drainDeadline = h.now.Add(h.cfg.Timing.Drain)
	h.renew()
	h.checkDrain()
}

// checkDrain ends the drain once this instance owns no shard and the state records
// its endpoint as draining, or once the drain time is over.
func (h *holder) checkDrain() {
	if h.drained {
		return
	}
	owns := false
	if self, ok := h.state.InstanceByName(h.cfg.Self.Name); ok && h.activeLease != 0 {
		h.state.EachOwned(self.ID, "", func(pollenlatch.Owner) bool {
			owns = true
			return false
		})
	}
	drainAnnounced := h.endpoint == nil || h.activeLease == 0 || h.endpointRecorded()
	if (owns || !drainAnnounced) && h.now < h.drainDeadline {
		return
	}
	h.drained, h.closed, h.dirty = true, true, true
	h.emit(Drained{})
}

// leave asks the leader to end the lease. The request path must not use the lease
// any more, since the leader may end it before its reply arrives.
func (h *holder) leave() {
	if h.leaving {
		return
	}
	h.leaving, h.closed, h.dirty = true, true, true
	if h.activeLease == 0 {
		h.left = true
		h.emit(Left{})
		return
	}
	h.renew()
}

// takeAccess returns the Access to publish, if it has changed since the last call.
func (r *Reducer) takeAccess() (a Access, changed bool) {
	if !r.dirty {
		return Access{}, false
	}
	r.dirty = false
	a = Access{View: r.state, Closed: r.closed, InForce: r.holder.inForceVersion, LeasesStarted: r.leasesStarted, EvacuatedSince: r.evacuatedSince}
	if self, ok := r.state.InstanceByName(r.cfg.Self.Name); ok {
		a.Self = self.ID
		if r.joinVersion == 0 && self.Incarnation == r.cfg.Self.Incarnation {
			r.joinVersion = r.state.Version()
		}
	}
	a.JoinVersion = r.joinVersion
	if r.activeLease != 0 && (!r.leaving || r.injected.leaveAtOnce) {
		_, a.LeaseEnd = r.ownLease.Lease()
	}
	if r.voter != nil {
		r.addVoterAccess(&a)
	}
	return a, true
}

func compareShards(a, b pollenlatch.Shard) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Range, b.Range), cmp.Compare(a.Key, b.Key))
}
