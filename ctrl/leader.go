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

// maxPlanInterval is the longest time between two runs of the planner. A change of
// the state runs it at once.
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
		reply.Refusal = pollenlatch.RefusalJoining // not extended any more
	default:
		v.renewLease(m, sender, reply)
	}
}

// maxAwaitingLeader bounds the daemons that are told of a new leader. Others ask again.
const maxAwaitingLeader = 1 << 13

// addAwaitingLeader remembers a daemon that could not be told where to ask.
func (v *voter) addAwaitingLeader(from, leaderAddr string) {
	if leaderAddr != "" || len(v.awaitingLeader) >= maxAwaitingLeader {
		return
	}
	if v.awaitingLeader == nil {
		v.awaitingLeader = make(map[string]bool)
	}
	v.awaitingLeader[from] = true
}

// notifyAwaitingLeader lets daemons that asked before there was a leader ask it at once.
// After the loss of a leader, or of all processes, each of them would go on with
// its own pause otherwise.
func (v *voter) notifyAwaitingLeader(leaderAddr string) {
	for _, name := range slices.Sorted(maps.Keys(v.awaitingLeader)) {
		v.reply(name, &pollenlatch.Message{RenewReply: &pollenlatch.RenewReply{Refusal: pollenlatch.RefusalNotLeader, Leader: leaderAddr}})
	}
	v.awaitingLeader = nil
}

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

// onJoin starts a lease. A process that runs under a name whose last lease has
// not ended waits for its end, since the process before it may still be
// acting, unless that is known to have ended.
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

// endLease ends the lease of an instance that leaves. One that still owns
// shards may have requests in flight: its lease lapses as that of a lost one,
// which its server's grants outlast as little as any, and its shards are held
// back for what its server may still run.
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
	if m.Endpoint != nil && (sender.Endpoint == nil || *sender.Endpoint != *m.Endpoint) {
		v.proposeOnce(fmt.Sprintf("announce %d", sender.ID), &pollenlatch.Command{Announce: &pollenlatch.Announce{
			Instance: sender.ID, Lease: sender.Lease, Endpoint: *m.Endpoint,
		}})
	}
}

// voterAddrs returns where the present voters are.
func (v *voter) voterAddrs() []string {
	members := v.replica.Members()
	list := make([]string, 0, len(members))
	for _, m := range members {
		list = append(list, m.Addr)
	}
	return list
}

// inForce returns a version that every daemon with a lease holds. It is counted
// anew at intervals, since it looks at every daemon.
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
			return 0 // a lease of the former leader's time that was not renewed yet
		}
		lowest = min(lowest, s.reported)
	}
	return lowest
}

// maxConcurrentExpirations bounds the leases that are being ended at a time. Ending one scans
// the owner table, 1 ms at the target size; all 612 of a lost data centre at
// once kept the leader from renewals for longer than a lease.
const maxConcurrentExpirations = 128

// expireLeases ends the leases that have lapsed.
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

// releaseItem returns the assignment that ends the hand-over of a shard. A range
// may have been frozen for one of its keys only, and a key that goes to the
// owner of its range loses its own record.
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

// runPlanner asks the planner for moves. It waits for the last moves to be
// applied, so that the same move is not proposed twice.
func (v *voter) runPlanner() {
	if v.cfg.Planner == nil || (!v.planNeeded && v.now.Sub(v.plannedAt) < maxPlanInterval) {
		return
	}
	if _, planPending := v.unapplied["plan"]; planPending {
		return
	}
	v.planNeeded, v.plannedAt = false, v.now
	v.logLoads()
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
	// maxPlannedMoves bounds the moves of one proposal, which would otherwise pass the
	// log's bound of 32 MiB: a new service at the target size has 2^19 ranges.
	maxPlannedMoves = 1 << 16
	// maxBatchItems bounds the items of one command, so that a command is about
	// 60 KB and a voter's message holds it.
	maxBatchItems = 2048
	// loadLogInterval is the interval of the lines on the loads of servers.
	loadLogInterval = 5 * time.Second
	// maxLoggedMoves bounds the lines on one plan.
	maxLoggedMoves = 64
	// maxHandOverTime is how long a hand-over may take before it is given up.
	// Requests for the shard wait for it, and a caller that reads its answer
	// slowly can hold it up.
	maxHandOverTime = 10 * time.Second
)

// overdueCancellations returns the commands that give up hand-overs which take too long: the
// owner goes on, with a new fence.
func (v *voter) overdueCancellations() []*pollenlatch.Command {
	var items []pollenlatch.FreezeItem
	for shard, ho := range v.activeHandOvers {
		if v.now.Sub(ho.since) < maxHandOverTime {
			continue
		}
		if o, ok := v.state.ShardOwner(shard); ok && o.Frozen() && o.Instance != 0 && o.Next != o.Instance {
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

// logMoves tells what the planner decided: a line for each source, target and
// reason.
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

// logLoads tells the loads that the planner goes by, now and then.
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

// recordReasons keeps the reasons of moves for operators.
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

// endpointArrivals is the count of a service's usable endpoints when its first
// assignment was wanted, and since.
type endpointArrivals struct {
	usable      int
	changedAt   pollenlatch.MonoTime // of this count
	firstSeenAt pollenlatch.MonoTime
}

const (
	// arrivalQuietPeriod is how long no further endpoint of a new service must have
	// arrived before its ranges get their first owners. Otherwise the first
	// endpoint gets nearly all of them, and spreading them takes minutes of the
	// churn budget.
	arrivalQuietPeriod = 500 * time.Millisecond
	// maxArrivalWait bounds the wait when endpoints keep arriving.
	maxArrivalWait = 2 * time.Second
)

// awaitingEndpoints reports whether the first assignment of a service should wait for
// more endpoints.
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

// rangesPerServer is how many ranges of a numeric service a server gets at the
// first division: so many that a single busy key can be told from its
// neighbours. Package place keeps neighbouring ranges together in groups.
const rangesPerServer = 800

// hasDividedRanges reports whether a service is a numeric one whose ranges are fixed:
// its servers had time to arrive before that.
func (v *voter) hasDividedRanges(service string) bool {
	svc, _ := v.state.Service(service)
	return svc.NumericKeys && svc.RangeBits > 0
}

// divideServices fixes the ranges of numeric services once their servers have arrived.
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

// freezeItem returns the start of a hand-over. A key without a record of its own
// is handed over by freezing its range until the key has a record.
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

// updateHandOvers keeps the list of hand-overs in progress.
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

// rebuildHandOvers lists the hand-overs in progress of a state that was loaded whole.
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
