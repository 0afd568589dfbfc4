package ctrl

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"pollenlatch"
	"pollenlatch/lease"
	"pollenlatch/state"
)

// maxPlanInterval is the maximum time between two runs of the planner. A state
// change runs it at once.
const maxPlanInterval = 100 * time.Millisecond

func (v *voter) onRenew(from string, m *pollenlatch.Renew) {
	reply := &pollenlatch.RenewReply{Seq: m.Seq, Lease: m.Lease, Version: v.state.Version()}
	defer func() { v.reply(from, &pollenlatch.Message{RenewReply: reply}) }()
	if !v.canGrant() {
		reply.Refusal = pollenlatch.RefusalNotLeader
		reply.Leader = v.leaderAddr()
		v.addAwaitingLeader(from, reply.Leader)
		return
	}
	v.updateSubscriber(from, m.Incarnation, m.Version)
	sender, known := v.state.InstanceByName(m.Name)
	switch {
	case from != m.Name:
		reply.Refusal = pollenlatch.RefusalLeaseEnded
	case m.Lease == 0:
		v.onJoin(m, sender, known, reply)
	case !known || sender.Lease != m.Lease:
		reply.Refusal = pollenlatch.RefusalLeaseEnded
	case m.Leave:
		v.endLease(sender)
		reply.Refusal = pollenlatch.RefusalJoining // the lease is not extended any more
	default:
		v.renewLease(m, sender, reply)
	}
}

// maxAwaitingLeader limits the daemons that are notified of a new leader. Others
// find it when they renew again.
const maxAwaitingLeader = 1 << 13

// addAwaitingLeader records a daemon whose renewal was refused without the address
// of a leader.
func (v *voter) addAwaitingLeader(from, leaderAddr string) {
	if leaderAddr != "" || len(v.awaitingLeader) >= maxAwaitingLeader {
		return
	}
	if v.awaitingLeader == nil {
		v.awaitingLeader = make(map[string]bool)
	}
	v.awaitingLeader[from] = true
}

// notifyAwaitingLeader redirects the daemons that asked while there was no leader.
// Otherwise, after the loss of a leader or a restart of all processes, each of them
// would first wait for the end of its backoff.
func (v *voter) notifyAwaitingLeader(leaderAddr string) {
	for _, name := range slices.Sorted(maps.Keys(v.awaitingLeader)) {
		v.reply(name, &pollenlatch.Message{RenewReply: &pollenlatch.RenewReply{Refusal: pollenlatch.RefusalNotLeader, Leader: leaderAddr}})
	}
	v.awaitingLeader = nil
}

// leaderAddr returns the address of another voter that leads, or "" when there is
// none.
func (v *voter) leaderAddr() string {
	if v.leaderName == "" || v.leading {
		return ""
	}
	for _, m := range v.replica.Members() {
		if m.Name == v.leaderName {
			return m.Addr
		}
	}
	return ""
}

// onJoin starts a lease. While an earlier process of the same name has a lease, the
// new process must wait for its end, since the earlier one may still be acting. With
// Takeover the earlier process is known to have ended, so there is no wait.
func (v *voter) onJoin(m *pollenlatch.Renew, sender pollenlatch.Instance, known bool, reply *pollenlatch.RenewReply) {
	reply.Refusal = pollenlatch.RefusalJoining
	if known && sender.Alive() {
		if sender.Incarnation == m.Incarnation {
			reply.Lease = sender.Lease
			v.renewLease(m, sender, reply)
			return
		}
		if m.Join == nil || !m.Join.Takeover {
			return
		}
	}
	if m.Join == nil || m.Join.Name != m.Name {
		reply.Refusal = pollenlatch.RefusalLeaseEnded
		return
	}
	v.proposeOnce("join "+m.Name, &pollenlatch.Command{Join: m.Join})
}

// endLease ends the lease of an instance that leaves. An instance that still owns
// shards may have requests in flight. Its lease is left to expire as that of a lost
// instance, so that the grants of its server have expired too and the hold-off of its
// shards applies.
func (v *voter) endLease(sender pollenlatch.Instance) {
	owns := false
	v.state.EachOwned(sender.ID, "", func(pollenlatch.Owner) bool {
		owns = true
		return false
	})
	if owns && !v.injected.leaveAtOnce {
		return
	}
	v.proposeOnce(fmt.Sprintf("expire %d", sender.Lease), &pollenlatch.Command{Expire: &pollenlatch.Expire{
		Instance: sender.ID, Lease: sender.Lease, Graceful: true,
	}})
}

// renewLease extends a lease and takes over the load and endpoint that the instance
// reported.
func (v *voter) renewLease(m *pollenlatch.Renew, sender pollenlatch.Instance, reply *pollenlatch.RenewReply) {
	if m.Version < v.ticketVersion && v.now.Sub(v.ticketAppliedAt) > v.cfg.Timing.Grace {
		reply.Refusal = pollenlatch.RefusalBehind
		return
	}
	if !v.granter.Extend(sender.ID, sender.Lease, v.now, v.cfg.Timing.Lease) {
		reply.Refusal = pollenlatch.RefusalLeaseEnded
		return
	}
	reply.Refusal = pollenlatch.RefusalNone
	reply.TTL = v.cfg.Timing.Lease
	reply.InForce = v.inForce()
	reply.Voters = v.voterAddrs()
	if m.Load != nil {
		v.loads[sender.ID] = *m.Load
	}
	v.onCrashes(m.Crashes)
	if m.Endpoint != nil && (sender.Endpoint == nil || *sender.Endpoint != *m.Endpoint) {
		v.proposeOnce(fmt.Sprintf("announce %d", sender.ID), &pollenlatch.Command{Announce: &pollenlatch.Announce{
			Instance: sender.ID, Lease: sender.Lease, Endpoint: *m.Endpoint,
		}})
	}
}

// voterAddrs returns the addresses of the present voters.
func (v *voter) voterAddrs() []string {
	members := v.replica.Members()
	list := make([]string, 0, len(members))
	for _, m := range members {
		list = append(list, m.Addr)
	}
	return list
}

// inForce returns a version that every daemon with a lease has reached. It is
// computed twice in a renewal interval at most, since that visits every daemon.
func (v *voter) inForce() pollenlatch.Version {
	if v.now.Sub(v.inForceComputedAt) >= v.cfg.Timing.Renew/2 {
		v.inForceComputedAt = v.now
		v.inForceVersion = max(v.inForceVersion, v.computeInForce())
	}
	return v.inForceVersion
}

func (v *voter) computeInForce() pollenlatch.Version {
	lowest := v.state.Version()
	for _, i := range v.state.Instances() {
		if !i.Alive() || i.Name == v.cfg.Self.Name {
			continue
		}
		s, ok := v.subscribers[i.Name]
		if !ok {
			return 0 // has a lease from a former leader and has not renewed it since
		}
		lowest = min(lowest, s.reported)
	}
	return lowest
}

// maxConcurrentExpirations limits the Expire commands that are proposed at a time.
// Each scans the owner table, which takes 1 ms at the design size. When the 612
// leases of a lost data centre were ended at once, the leader could not extend other
// leases for longer than a lease lasts.
const maxConcurrentExpirations = 128

// expireLeases proposes the end of expired leases, and starts the hold-off of their
// instances.
func (v *voter) expireLeases() {
	for n, l := range v.granter.Expired(v.now) {
		v.startHoldOff(v.state, l.Instance, l.End)
		if n >= maxConcurrentExpirations {
			continue
		}
		v.proposeOnce(fmt.Sprintf("expire %d", l.Lease), &pollenlatch.Command{Expire: &pollenlatch.Expire{
			Instance: l.Instance, Lease: l.Lease,
		}})
	}
}

func (v *voter) onRelease(from string, m *pollenlatch.Release) {
	sender, ok := v.state.InstanceByName(from)
	if !v.canGrant() || !ok || sender.ID != m.Instance || sender.Lease != m.Lease || v.inHoldOff(sender.ID) {
		return
	}
	var items []pollenlatch.AssignItem
	for _, i := range m.Items {
		o, ok := v.state.ShardOwner(i.Shard)
		if !ok || o.Instance != sender.ID || o.Fence != i.Fence || !o.Frozen() {
			continue
		}
		item := v.releaseItem(o, sender.Lease, i.NoRecords)
		item.Token = i.Token
		items = append(items, item)
	}
	if len(items) > 0 {
		v.proposeOnce(fmt.Sprintf("release %d", sender.ID), &pollenlatch.Command{Assign: &pollenlatch.Assign{Items: items}})
	}
}

// releaseItem returns the assignment that ends the hand-over of a released shard.
// When a range was frozen for one of its keys, only that key is assigned. A hot key
// that goes to the owner of its range loses its own record.
func (v *voter) releaseItem(o pollenlatch.Owner, l pollenlatch.Lease, noRecords bool) pollenlatch.AssignItem {
	item := pollenlatch.AssignItem{Shard: o.Shard, To: o.Next, ExpectedFence: o.Fence, ReleasedLease: l, NoRecords: noRecords}
	if o.Key == "" {
		item.Key = v.frozenForKey[lease.Key{Shard: o.Shard, Fence: o.Fence}]
		return item
	}
	if r, ok := v.state.ShardOwner(rangeOf(o.Shard)); ok && r.Instance == o.Next {
		item.To = 0
	}
	return item
}

func rangeOf(s pollenlatch.Shard) pollenlatch.Shard {
	return pollenlatch.Shard{Service: s.Service, Range: s.Range}
}

// runPlanner proposes the moves of the planner. It does nothing until the moves of
// the last run are applied, so that no move is proposed twice.
func (v *voter) runPlanner() {
	if v.cfg.Planner == nil || (!v.planNeeded && v.now.Sub(v.plannedAt) < maxPlanInterval) {
		return
	}
	if _, planPending := v.unapplied["plan"]; planPending {
		return
	}
	v.planNeeded, v.plannedAt = false, v.now
	v.logLoads()
	v.endQuarantines()
	v.divideServices()
	moves := v.cfg.Planner.Plan(v.planInput())
	moves = moves[:min(len(moves), maxPlannedMoves)]
	v.recordReasons(moves)
	v.logMoves(moves)
	commands := append(v.moveCommands(moves), v.overdueCancellations()...)
	if len(commands) > 0 {
		v.proposeOnce("plan", commands...)
	}
}

const (
	// maxPlannedMoves limits the moves of one proposal. A new service at the design
	// size has 2^19 ranges, and a proposal of them all would exceed the log's limit
	// of 32 MiB.
	maxPlannedMoves = 1 << 16
	// maxBatchItems limits the items of one command, so that it takes about 60 KB
	// and fits a message between voters.
	maxBatchItems = 2048
	// loadLogInterval is the interval at which the loads of servers are logged.
	loadLogInterval = 5 * time.Second
	// maxLoggedMoves limits the log lines for one plan.
	maxLoggedMoves = 64
	// maxHandOverTime is the time after which a hand-over is cancelled. New requests
	// for the shard wait meanwhile, and a caller that reads its response slowly can
	// delay it.
	maxHandOverTime = 10 * time.Second
)

// overdueCancellations returns the commands that cancel hand-overs which take longer
// than maxHandOverTime. The owner keeps the shard with a new fence. An owner whose
// endpoint is leaving, or whose data centre is evacuated, does not: it must receive no
// new work, so the shard waits until its last request has ended.
func (v *voter) overdueCancellations() []*pollenlatch.Command {
	var items []pollenlatch.FreezeItem
	for shard, ho := range v.activeHandOvers {
		if v.now.Sub(ho.since) < maxHandOverTime {
			continue
		}
		if o, ok := v.state.ShardOwner(shard); ok && o.Frozen() && o.Instance != 0 && o.Next != o.Instance && !v.mustHandOver(o.Instance) {
			items = append(items, pollenlatch.FreezeItem{Shard: shard, To: o.Instance, ExpectedFence: o.Fence})
		}
	}
	slices.SortFunc(items, func(a, b pollenlatch.FreezeItem) int { return compareShards(a.Shard, b.Shard) })
	var commands []*pollenlatch.Command
	for batch := range slices.Chunk(items, maxBatchItems) {
		commands = append(commands, &pollenlatch.Command{Freeze: &pollenlatch.Freeze{Items: batch}})
	}
	return commands
}

// mustHandOver reports whether the endpoint of an instance is leaving, or its data
// centre is evacuated.
func (v *voter) mustHandOver(id pollenlatch.InstanceID) bool {
	i, ok := v.state.Instance(id)
	return ok && (i.Evacuated || (i.Endpoint != nil && i.Endpoint.Draining))
}

// logMoves logs the planned moves, with one line for each service, source, target
// and reason.
func (v *voter) logMoves(moves []pollenlatch.Move) {
	type moveGroup struct {
		service  string
		from, to pollenlatch.InstanceID
		reason   string
	}
	var order []moveGroup
	counts := make(map[moveGroup]int)
	for _, m := range moves {
		g := moveGroup{m.Service, m.From, m.To, m.Reason}
		if counts[g] == 0 {
			order = append(order, g)
		}
		counts[g]++
	}
	for _, g := range order[:min(len(order), maxLoggedMoves)] {
		from, _ := v.state.Instance(g.from)
		to, _ := v.state.Instance(g.to)
		v.logf("moves planned", "service", g.service, "shards", counts[g], "from", from.Name, "to", to.Name,
			"reason", g.reason, "version", v.state.Version())
	}
}

// logLoads logs the loads that the planner uses, every loadLogInterval.
func (v *voter) logLoads() {
	if v.cfg.LoadReportInterval == 0 || v.now.Sub(v.loadsLoggedAt) < loadLogInterval {
		return
	}
	v.loadsLoggedAt = v.now
	for _, svc := range v.state.Services() {
		var b strings.Builder
		for _, i := range v.state.Endpoints(svc.Name) {
			l := v.loads[i.ID]
			fmt.Fprintf(&b, " %s:%.1f/%d@%.0f,%d", i.Name, l.Offered, i.Endpoint.Slots, l.Rate, l.InFlight)
		}
		v.logf("loads of servers", "service", svc.Name, "slotsWantedAtRateRunning", strings.TrimSpace(b.String()))
	}
}

// recordReasons keeps the reasons of planned moves, for reportChanged.
func (v *voter) recordReasons(moves []pollenlatch.Move) {
	if v.moveReasons == nil || len(v.moveReasons)+len(moves) > maxOwnerChanges {
		v.moveReasons = make(map[pollenlatch.Shard]string)
	}
	for i := range min(len(moves), maxOwnerChanges) {
		v.moveReasons[moves[i].Shard] = moves[i].Reason
	}
}

func (v *voter) planInput() pollenlatch.PlanInput {
	handOvers := make(map[pollenlatch.InstanceID]int)
	for _, ho := range v.activeHandOvers {
		handOvers[ho.owner]++
	}
	return pollenlatch.PlanInput{View: v.state, Loads: v.loads, Withheld: v.holdOffs.active(v.now), HandOvers: handOvers, Now: v.now}
}

// moveCommands returns the commands that start moves, in batches.
func (v *voter) moveCommands(moves []pollenlatch.Move) []*pollenlatch.Command {
	var assign []pollenlatch.AssignItem
	var freeze []pollenlatch.FreezeItem
	for _, m := range moves {
		switch {
		case m.From != 0:
			freeze = append(freeze, v.freezeItem(m))
		case m.Fence == 0 && !v.hasDividedRanges(m.Service) && v.awaitingEndpoints(m.Service):
		default:
			o, _ := v.state.ShardOwner(m.Shard)
			assign = append(assign, pollenlatch.AssignItem{
				Shard: m.Shard, To: m.To, ExpectedFence: m.Fence, NoRecords: o.Previous != 0,
			})
		}
	}
	var commands []*pollenlatch.Command
	for batch := range slices.Chunk(assign, maxBatchItems) {
		commands = append(commands, &pollenlatch.Command{Assign: &pollenlatch.Assign{Items: batch}})
	}
	for batch := range slices.Chunk(freeze, maxBatchItems) {
		commands = append(commands, &pollenlatch.Command{Freeze: &pollenlatch.Freeze{Items: batch}})
	}
	return commands
}

// endpointArrivals tracks the number of usable endpoints of a service whose ranges
// have no owners yet.
type endpointArrivals struct {
	usable      int
	changedAt   pollenlatch.MonoTime // when usable last changed
	firstSeenAt pollenlatch.MonoTime
}

const (
	// arrivalQuietPeriod is the time without a further endpoint after which the
	// ranges of a new service are assigned. Otherwise the first endpoint would get
	// nearly all of them, and to spread them would take minutes within the planner's
	// churn budget.
	arrivalQuietPeriod = 500 * time.Millisecond
	// maxArrivalWait limits the wait when endpoints keep arriving.
	maxArrivalWait = 2 * time.Second
)

// awaitingEndpoints reports whether the first assignment of a service's ranges
// should wait for more endpoints.
func (v *voter) awaitingEndpoints(service string) bool {
	if v.arrivals == nil {
		v.arrivals = make(map[string]endpointArrivals)
	}
	usable := 0
	for _, i := range v.state.Endpoints(service) {
		if i.Usable() {
			usable++
		}
	}
	a, ok := v.arrivals[service]
	if !ok {
		a.firstSeenAt = v.now
	}
	if a.usable != usable {
		a.usable, a.changedAt = usable, v.now
	}
	v.arrivals[service] = a
	return v.now.Sub(a.changedAt) < arrivalQuietPeriod && v.now.Sub(a.firstSeenAt) < maxArrivalWait
}

// rangesPerServer is the number of ranges that a server of a numeric service gets
// when the service is divided. It is high enough to tell a single busy key from its
// neighbours. Package place keeps neighbouring ranges together.
const rangesPerServer = 800

// hasDividedRanges reports whether a service is numeric and has been divided. Its
// first assignment needs no further wait, since divideServices has waited already.
func (v *voter) hasDividedRanges(service string) bool {
	svc, _ := v.state.Service(service)
	return svc.NumericKeys && svc.RangeBits > 0
}

// divideServices proposes the number of ranges of numeric services, by the number of
// their servers once no more arrive.
func (v *voter) divideServices() {
	for _, svc := range v.state.Services() {
		if !svc.NumericKeys || svc.RangeBits > 0 || v.awaitingEndpoints(svc.Name) {
			continue
		}
		usable := v.arrivals[svc.Name].usable
		if usable == 0 {
			continue
		}
		bits := uint32(math.Round(math.Log2(float64(usable * rangesPerServer))))
		v.proposeOnce("divide "+svc.Name, &pollenlatch.Command{Divide: &pollenlatch.Divide{
			Service: svc.Name, RangeBits: min(bits, pollenlatch.KeyBits),
		}})
	}
}

// freezeItem returns the command item that starts a hand-over. A hot key without a
// record of its own is handed over by freezing its range until the key has a record.
func (v *voter) freezeItem(m pollenlatch.Move) pollenlatch.FreezeItem {
	item := pollenlatch.FreezeItem{Shard: m.Shard, To: m.To, ExpectedFence: m.Fence}
	if m.Key == "" {
		return item
	}
	r, _ := v.state.ShardOwner(rangeOf(m.Shard))
	if m.To == 0 {
		item.To = r.Instance
		return item
	}
	if _, ok := v.state.ShardOwner(m.Shard); ok {
		return item
	}
	item.Shard = rangeOf(m.Shard)
	if v.frozenForKey == nil {
		v.frozenForKey = make(map[lease.Key]string)
	}
	v.frozenForKey[lease.Key{Shard: item.Shard, Fence: m.Fence}] = m.Key
	return item
}

// updateHandOvers updates the hand-overs in progress by the changes of a command.
func (v *voter) updateHandOvers(s *state.State, changed []pollenlatch.Shard) {
	for _, shard := range changed {
		o, ok := s.ShardOwner(shard)
		if ok && o.Frozen() {
			if _, ok := v.activeHandOvers[shard]; !ok {
				v.activeHandOvers[shard] = activeHandOver{owner: o.Instance, since: v.now}
			}
			continue
		}
		delete(v.activeHandOvers, shard)
	}
	for k := range v.frozenForKey {
		if o, ok := s.ShardOwner(k.Shard); !ok || o.Fence != k.Fence {
			delete(v.frozenForKey, k)
		}
	}
}

// rebuildHandOvers finds the hand-overs in progress by a scan of the whole state,
// after changes that updateHandOvers has not seen.
func (v *voter) rebuildHandOvers(s *state.State) {
	v.activeHandOvers = make(map[pollenlatch.Shard]activeHandOver)
	for _, svc := range s.Services() {
		s.EachShard(svc.Name, func(o pollenlatch.Owner) bool {
			if o.Frozen() {
				v.activeHandOvers[o.Shard] = activeHandOver{owner: o.Instance, since: v.now}
			}
			return true
		})
	}
}
