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

// planInterval is the longest time between two runs of the planner. A change of
// the state runs it at once.
const planInterval = 100 * time.Millisecond

func (v *voter) onRenew(from string, m *pollenlatch.Renew) {
	answer := &pollenlatch.RenewReply{Seq: m.Seq, Lease: m.Lease, Version: v.state.Version()}
	defer func() { v.reply(from, &pollenlatch.Message{RenewReply: answer}) }()
	if !v.canGrant() {
		answer.Refusal = pollenlatch.RefusalNotLeader
		answer.Leader = v.leaderAddr()
		v.noteAsker(from, answer.Leader)
		return
	}
	v.subscribe(from, m.Incarnation, m.Version)
	me, known := v.state.InstanceByName(m.Name)
	switch {
	case from != m.Name:
		answer.Refusal = pollenlatch.RefusalLeaseEnded
	case m.Lease == 0:
		v.join(m, me, known, answer)
	case !known || me.Lease != m.Lease:
		answer.Refusal = pollenlatch.RefusalLeaseEnded
	case m.Leave:
		v.endLease(me)
		answer.Refusal = pollenlatch.RefusalJoining // not extended any more
	default:
		v.extend(m, me, answer)
	}
}

// mostAskers bounds the daemons that are told of a new leader. Others ask again.
const mostAskers = 1 << 13

// noteAsker remembers a daemon that could not be told where to ask.
func (v *voter) noteAsker(from, told string) {
	if told != "" || len(v.askers) >= mostAskers {
		return
	}
	if v.askers == nil {
		v.askers = make(map[string]bool)
	}
	v.askers[from] = true
}

// tellAskers lets daemons that asked before there was a leader ask it at once.
// After the loss of a leader, or of all processes, each of them would go on with
// its own pause otherwise.
func (v *voter) tellAskers(leader string) {
	for _, name := range slices.Sorted(maps.Keys(v.askers)) {
		v.reply(name, &pollenlatch.Message{RenewReply: &pollenlatch.RenewReply{Refusal: pollenlatch.RefusalNotLeader, Leader: leader}})
	}
	v.askers = nil
}

func (v *voter) leaderAddr() string {
	if v.leader == "" || v.lead {
		return ""
	}
	for _, m := range v.log.Members() {
		if m.Name == v.leader {
			return m.Addr
		}
	}
	return ""
}

// join starts a lease. A process that runs under a name whose last lease has
// not ended waits for its end, since the process before it may still be
// acting, unless that is known to have ended.
func (v *voter) join(m *pollenlatch.Renew, me pollenlatch.Instance, known bool, answer *pollenlatch.RenewReply) {
	answer.Refusal = pollenlatch.RefusalJoining
	if known && me.Alive() {
		if me.Incarnation == m.Incarnation {
			answer.Lease = me.Lease
			v.extend(m, me, answer)
			return
		}
		if m.Join == nil || !m.Join.Takeover {
			return
		}
	}
	if m.Join == nil || m.Join.Name != m.Name {
		answer.Refusal = pollenlatch.RefusalLeaseEnded
		return
	}
	v.proposeOnce("join "+m.Name, &pollenlatch.Command{Join: m.Join})
}

// endLease ends the lease of an instance that leaves. One that still owns
// shards may have requests in flight: its lease lapses as that of a lost one,
// which its server's grants outlast as little as any, and its shards are held
// back for what its server may still run.
func (v *voter) endLease(me pollenlatch.Instance) {
	owns := false
	v.state.EachOwned(me.ID, "", func(pollenlatch.Owner) bool {
		owns = true
		return false
	})
	if owns && !v.rules.quickLeave {
		return
	}
	v.proposeOnce(fmt.Sprintf("expire %d", me.Lease), &pollenlatch.Command{Expire: &pollenlatch.Expire{
		Instance: me.ID, Lease: me.Lease, Graceful: true,
	}})
}

func (v *voter) extend(m *pollenlatch.Renew, me pollenlatch.Instance, answer *pollenlatch.RenewReply) {
	if m.Version < v.newest && v.now.Sub(v.behind) > v.cfg.Timing.Grace {
		answer.Refusal = pollenlatch.RefusalBehind
		return
	}
	if !v.granter.Extend(me.ID, me.Lease, v.now, v.cfg.Timing.Lease) {
		answer.Refusal = pollenlatch.RefusalLeaseEnded
		return
	}
	answer.Refusal = pollenlatch.RefusalNone
	answer.TTL = v.cfg.Timing.Lease
	answer.InForce = v.inForce()
	answer.Voters = v.addresses()
	if m.Load != nil {
		v.loads[me.ID] = *m.Load
	}
	if m.Endpoint != nil && (me.Endpoint == nil || *me.Endpoint != *m.Endpoint) {
		v.proposeOnce(fmt.Sprintf("announce %d", me.ID), &pollenlatch.Command{Announce: &pollenlatch.Announce{
			Instance: me.ID, Lease: me.Lease, Endpoint: *m.Endpoint,
		}})
	}
}

// addresses returns where the present voters are.
func (v *voter) addresses() []string {
	members := v.log.Members()
	list := make([]string, 0, len(members))
	for _, m := range members {
		list = append(list, m.Addr)
	}
	return list
}

// inForce returns a version that every daemon with a lease holds. It is counted
// anew at intervals, since it looks at every daemon.
func (v *voter) inForce() pollenlatch.Version {
	if v.now.Sub(v.forceAt) >= v.cfg.Timing.Renew/2 {
		v.forceAt = v.now
		v.force = max(v.force, v.countForce())
	}
	return v.force
}

func (v *voter) countForce() pollenlatch.Version {
	low := v.state.Version()
	for _, i := range v.state.Instances() {
		if !i.Alive() || i.Name == v.cfg.Self.Name {
			continue
		}
		s, ok := v.subs[i.Name]
		if !ok {
			return 0 // a lease of the former leader's time that was not renewed yet
		}
		low = min(low, s.held)
	}
	return low
}

// expireMost bounds the leases that are being ended at a time. Ending one scans
// the owner table, 1 ms at the target size; all 612 of a lost data centre at
// once kept the leader from renewals for longer than a lease.
const expireMost = 128

// expire ends the leases that have lapsed.
func (v *voter) expire() {
	for n, l := range v.granter.Expired(v.now) {
		v.holdBack(v.state, l.Instance, l.End)
		if n >= expireMost {
			continue
		}
		v.proposeOnce(fmt.Sprintf("expire %d", l.Lease), &pollenlatch.Command{Expire: &pollenlatch.Expire{
			Instance: l.Instance, Lease: l.Lease,
		}})
	}
}

func (v *voter) onRelease(from string, m *pollenlatch.Release) {
	me, ok := v.state.InstanceByName(from)
	if !v.canGrant() || !ok || me.ID != m.Instance || me.Lease != m.Lease || v.heldBack(me.ID) {
		return
	}
	var items []pollenlatch.AssignItem
	for _, i := range m.Items {
		o, ok := v.state.ShardOwner(i.Shard)
		if !ok || o.Instance != me.ID || o.Fence != i.Fence || !o.Frozen() {
			continue
		}
		item := v.released(o, me.Lease, i.NoRecords)
		item.Token = i.Token
		items = append(items, item)
	}
	if len(items) > 0 {
		v.proposeOnce(fmt.Sprintf("release %d", me.ID), &pollenlatch.Command{Assign: &pollenlatch.Assign{Items: items}})
	}
}

// released returns the assignment that ends the hand-over of a shard. A range
// may have been frozen for one of its keys only, and a key that goes to the
// owner of its range loses its own record.
func (v *voter) released(o pollenlatch.Owner, l pollenlatch.Lease, noRecords bool) pollenlatch.AssignItem {
	item := pollenlatch.AssignItem{Shard: o.Shard, To: o.Next, ExpectedFence: o.Fence, ReleasedLease: l, NoRecords: noRecords}
	if o.Key == "" {
		item.Key = v.splits[lease.Key{Shard: o.Shard, Fence: o.Fence}]
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

// runPlan asks the planner for moves. It waits for the last moves to be
// applied, so that the same move is not proposed twice.
func (v *voter) runPlan() {
	if v.cfg.Planner == nil || (!v.replan && v.now.Sub(v.planAt) < planInterval) {
		return
	}
	if _, busy := v.pending["plan"]; busy {
		return
	}
	v.replan, v.planAt = false, v.now
	v.logLoads()
	v.divide()
	moves := v.cfg.Planner.Plan(v.placement())
	moves = moves[:min(len(moves), planMost)]
	v.remember(moves)
	v.logMoves(moves)
	commands := append(v.commandsOf(moves), v.overdue()...)
	if len(commands) > 0 {
		v.proposeOnce("plan", commands...)
	}
}

const (
	// planMost bounds the moves of one proposal, which would otherwise pass the
	// log's bound of 32 MiB: a new service at the target size has 2^19 ranges.
	planMost = 1 << 16
	// batchItems bounds the items of one command, so that a command is about
	// 60 KB and a voter's message holds it.
	batchItems = 2048
	// loadsInterval is the interval of the lines on the loads of servers.
	loadsInterval = 5 * time.Second
	// loggedMoves bounds the lines on one plan.
	loggedMoves = 64
	// handOverMost is how long a hand-over may take before it is given up.
	// Requests for the shard wait for it, and a caller that reads its answer
	// slowly can hold it up.
	handOverMost = 10 * time.Second
)

// overdue returns the commands that give up hand-overs which take too long: the
// owner goes on, with a new fence.
func (v *voter) overdue() []*pollenlatch.Command {
	var late []pollenlatch.FreezeItem
	for sh, m := range v.moving {
		if v.now.Sub(m.since) < handOverMost {
			continue
		}
		if o, ok := v.state.ShardOwner(sh); ok && o.Frozen() && o.Instance != 0 && o.Next != o.Instance {
			late = append(late, pollenlatch.FreezeItem{Shard: sh, To: o.Instance, ExpectedFence: o.Fence})
		}
	}
	slices.SortFunc(late, func(a, b pollenlatch.FreezeItem) int { return compareShards(a.Shard, b.Shard) })
	var out []*pollenlatch.Command
	for part := range slices.Chunk(late, batchItems) {
		out = append(out, &pollenlatch.Command{Freeze: &pollenlatch.Freeze{Items: part}})
	}
	return out
}

// logMoves tells what the planner decided: a line for each source, target and
// reason.
func (v *voter) logMoves(moves []pollenlatch.Move) {
	type course struct {
		service  string
		from, to pollenlatch.InstanceID
		reason   string
	}
	var order []course
	counts := make(map[course]int)
	for _, m := range moves {
		c := course{m.Service, m.From, m.To, m.Reason}
		if counts[c] == 0 {
			order = append(order, c)
		}
		counts[c]++
	}
	for _, c := range order[:min(len(order), loggedMoves)] {
		from, _ := v.state.Instance(c.from)
		to, _ := v.state.Instance(c.to)
		v.logf("moves planned", "service", c.service, "shards", counts[c], "from", from.Name, "to", to.Name,
			"reason", c.reason, "version", v.state.Version())
	}
}

// logLoads tells the loads that the planner goes by, now and then.
func (v *voter) logLoads() {
	if v.cfg.LoadReportInterval == 0 || v.now.Sub(v.loadsAt) < loadsInterval {
		return
	}
	v.loadsAt = v.now
	for _, svc := range v.state.Services() {
		var b strings.Builder
		for _, i := range v.state.Endpoints(svc.Name) {
			l := v.loads[i.ID]
			fmt.Fprintf(&b, " %s:%.1f/%d@%.0f,%d", i.Name, l.Offered, i.Endpoint.Slots, l.Rate, l.InFlight)
		}
		v.logf("loads of servers", "service", svc.Name, "slotsWantedAtRateRunning", strings.TrimSpace(b.String()))
	}
}

// remember keeps the reasons of moves for operators.
func (v *voter) remember(moves []pollenlatch.Move) {
	if v.reasons == nil || len(v.reasons)+len(moves) > originsKept {
		v.reasons = make(map[pollenlatch.Shard]string)
	}
	for i := range min(len(moves), originsKept) {
		v.reasons[moves[i].Shard] = moves[i].Reason
	}
}

func (v *voter) placement() pollenlatch.PlanInput {
	busy := make(map[pollenlatch.InstanceID]int)
	for _, m := range v.moving {
		busy[m.owner]++
	}
	return pollenlatch.PlanInput{View: v.state, Loads: v.loads, Withheld: v.holds.at(v.now), HandOvers: busy, Now: v.now}
}

// commandsOf returns the commands that start moves, in batches.
func (v *voter) commandsOf(moves []pollenlatch.Move) []*pollenlatch.Command {
	var assign []pollenlatch.AssignItem
	var freeze []pollenlatch.FreezeItem
	for _, m := range moves {
		switch {
		case m.From != 0:
			freeze = append(freeze, v.freezeOf(m))
		case m.Fence == 0 && !v.divided(m.Service) && v.arriving(m.Service):
		default:
			o, _ := v.state.ShardOwner(m.Shard)
			assign = append(assign, pollenlatch.AssignItem{
				Shard: m.Shard, To: m.To, ExpectedFence: m.Fence, NoRecords: o.Previous != 0,
			})
		}
	}
	var out []*pollenlatch.Command
	for part := range slices.Chunk(assign, batchItems) {
		out = append(out, &pollenlatch.Command{Assign: &pollenlatch.Assign{Items: part}})
	}
	for part := range slices.Chunk(freeze, batchItems) {
		out = append(out, &pollenlatch.Command{Freeze: &pollenlatch.Freeze{Items: part}})
	}
	return out
}

// arrivals is the count of a service's usable endpoints when its first
// assignment was wanted, and since.
type arrivals struct {
	usable  int
	since   pollenlatch.MonoTime // of this count
	started pollenlatch.MonoTime
}

const (
	// arrivalPause is how long no further endpoint of a new service must have
	// arrived before its ranges get their first owners. Otherwise the first
	// endpoint gets nearly all of them, and spreading them takes minutes of the
	// churn budget.
	arrivalPause = 500 * time.Millisecond
	// arrivalMost bounds the wait when endpoints keep arriving.
	arrivalMost = 2 * time.Second
)

// arriving reports whether the first assignment of a service should wait for
// more endpoints.
func (v *voter) arriving(service string) bool {
	if v.arrivals == nil {
		v.arrivals = make(map[string]arrivals)
	}
	usable := 0
	for _, i := range v.state.Endpoints(service) {
		if i.Usable() {
			usable++
		}
	}
	a, ok := v.arrivals[service]
	if !ok {
		a.started = v.now
	}
	if a.usable != usable {
		a.usable, a.since = usable, v.now
	}
	v.arrivals[service] = a
	return v.now.Sub(a.since) < arrivalPause && v.now.Sub(a.started) < arrivalMost
}

// rangesEach is how many ranges of a numeric service a server gets at the
// first division: so many that a single busy key can be told from its
// neighbours. Package place keeps neighbouring ranges together in groups.
const rangesEach = 800

// divided reports whether a service is a numeric one whose ranges are fixed:
// its servers had time to arrive before that.
func (v *voter) divided(service string) bool {
	svc, _ := v.state.Service(service)
	return svc.NumericKeys && svc.RangeBits > 0
}

// divide fixes the ranges of numeric services once their servers have arrived.
func (v *voter) divide() {
	for _, svc := range v.state.Services() {
		if !svc.NumericKeys || svc.RangeBits > 0 || v.arriving(svc.Name) {
			continue
		}
		usable := v.arrivals[svc.Name].usable
		if usable == 0 {
			continue
		}
		bits := uint32(math.Round(math.Log2(float64(usable * rangesEach))))
		v.proposeOnce("divide "+svc.Name, &pollenlatch.Command{Divide: &pollenlatch.Divide{
			Service: svc.Name, RangeBits: min(bits, pollenlatch.KeyBits),
		}})
	}
}

// freezeOf returns the start of a hand-over. A key without a record of its own
// is handed over by freezing its range until the key has a record.
func (v *voter) freezeOf(m pollenlatch.Move) pollenlatch.FreezeItem {
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
	if v.splits == nil {
		v.splits = make(map[lease.Key]string)
	}
	v.splits[lease.Key{Shard: item.Shard, Fence: m.Fence}] = m.Key
	return item
}

// noteMoves keeps the list of hand-overs in progress.
func (v *voter) noteMoves(s *state.State, changed []pollenlatch.Shard) {
	for _, sh := range changed {
		o, ok := s.ShardOwner(sh)
		if ok && o.Frozen() {
			if _, ok := v.moving[sh]; !ok {
				v.moving[sh] = moving{owner: o.Instance, since: v.now}
			}
			continue
		}
		delete(v.moving, sh)
	}
	for k := range v.splits {
		if o, ok := s.ShardOwner(k.Shard); !ok || o.Fence != k.Fence {
			delete(v.splits, k)
		}
	}
}

// findMoves lists the hand-overs in progress of a state that was loaded whole.
func (v *voter) findMoves(s *state.State) {
	v.moving = make(map[pollenlatch.Shard]moving)
	for _, svc := range s.Services() {
		s.EachShard(svc.Name, func(o pollenlatch.Owner) bool {
			if o.Frozen() {
				v.moving[o.Shard] = moving{owner: o.Instance, since: v.now}
			}
			return true
		})
	}
}
