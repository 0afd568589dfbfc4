package scale

import (
	"context"
	"errors"
	"fmt"
	"math/bits"
	"math/rand/v2"
	"time"

	"pollenlatch"
	"pollenlatch/ctrl"
	"pollenlatch/plan"
	"pollenlatch/quorum"
	"pollenlatch/state"
)

const (
	chunkBytes = pollenlatch.ChunkBytes
	voterCount = 3
	listing    = "listing"
	// maxSettleTicks limits tickUntil to 10 s of simulated time.
	maxSettleTicks = 1000
)

var errUnsettled = errors.New("group did not reach the expected state within 10 s of simulated time")

// initialState is a replicated state that a group starts with.
type initialState struct {
	state    *state.State
	snapshot []byte // of state
}

// newInitialState returns a state in which each daemon owns about the same number
// of 1<<rangeBits ranges.
func newInitialState(seed uint64, daemons int, rangeBits uint32) (*initialState, error) {
	return newInitialStateOf(seed, daemons, 1<<rangeBits)
}

// newInitialStateOf returns a state in which each daemon owns about the same number
// of ranges. A number of ranges that is no power of two is spread over several
// services.
func newInitialStateOf(seed uint64, daemons, ranges int) (*initialState, error) {
	sb := stateBuilder{s: new(state.State)}
	shards := sb.createServices(ranges)
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := range daemons {
		sb.addDaemon(i, pollenlatch.Incarnation(rng.Uint64()|1))
	}
	rng.Shuffle(len(shards), func(i, j int) { shards[i], shards[j] = shards[j], shards[i] })
	sb.assignEvenly(shards, daemons)
	if sb.err != nil {
		return nil, sb.err
	}
	data, err := sb.s.Snapshot()
	return &initialState{state: sb.s, snapshot: data}, err
}

// stateBuilder builds a state by applying commands.
type stateBuilder struct {
	s   *state.State
	err error // the first rejection
}

func (b *stateBuilder) apply(c *pollenlatch.Command) state.Result {
	next, res := b.s.Apply(b.s.Version()+1, c)
	if res.Rejection != "" && b.err == nil {
		b.err = errors.New(res.Rejection)
	}
	b.s = next
	return res
}

// createServices creates services with so many ranges in all, the largest service
// first, and returns the ranges.
func (b *stateBuilder) createServices(ranges int) []pollenlatch.Shard {
	var spec pollenlatch.Spec
	var shards []pollenlatch.Shard
	for remaining, name := ranges, listing; remaining > 0; name = fmt.Sprint("service-", remaining) {
		rangeBits := bits.Len(uint(remaining)) - 1
		remaining -= 1 << rangeBits
		spec.Services = append(spec.Services, pollenlatch.Service{
			Name: name, Keyed: true, RangeBits: uint32(rangeBits), MaxRun: 2 * time.Second, QueueLimit: 100, RecordTTL: time.Hour,
			Weights: pollenlatch.Weights{Imbalance: 1, Churn: 1, Unavailable: 8},
		})
		for i := range 1 << rangeBits {
			shards = append(shards, pollenlatch.Shard{Service: name, Range: pollenlatch.Range(i)})
		}
	}
	res := b.apply(&pollenlatch.Command{Ticket: &pollenlatch.Ticket{Number: 1, Text: "number: 1", Sender: "scale", Spec: spec}})
	if b.err == nil && (res.Verdict == nil || !res.Verdict.Accepted) {
		b.err = fmt.Errorf("ticket that creates the services was refused: %v", res.Verdict)
	}
	return shards
}

func daemonName(i int) string { return fmt.Sprintf("instance-%04d", i) }

// addDaemon adds daemon i, whose InstanceID is i+1, with its endpoint.
func (b *stateBuilder) addDaemon(i int, incarnation pollenlatch.Incarnation) {
	res := b.apply(&pollenlatch.Command{Join: newJoin(i, incarnation)})
	b.apply(&pollenlatch.Command{Announce: &pollenlatch.Announce{
		Instance: res.Instance, Lease: res.Lease, Endpoint: pollenlatch.Endpoint{
			Service: listing, Addr: "127.0.0.1:9000", Incarnation: incarnation, Slots: 10, MaxConns: 100, Fenced: true, Ready: true,
		},
	}})
}

func newJoin(i int, incarnation pollenlatch.Incarnation) *pollenlatch.Join {
	host := fmt.Sprintf("10.%d.%d.%d", 1+i%targetDCs, i/250, 1+i%250)
	return &pollenlatch.Join{
		Name: daemonName(i), DC: fmt.Sprintf("dc%d", i%targetDCs), Addr: host + ":7001", Front: host + ":8080", Incarnation: incarnation,
	}
}

// assignEvenly assigns the shards to the daemons in turn.
func (b *stateBuilder) assignEvenly(shards []pollenlatch.Shard, daemons int) {
	const batchSize = 1000
	for from := 0; from < len(shards); from += batchSize {
		a := new(pollenlatch.Assign)
		for i := from; i < min(from+batchSize, len(shards)); i++ {
			a.Items = append(a.Items, pollenlatch.AssignItem{Shard: shards[i], To: pollenlatch.InstanceID(1 + i%daemons)})
		}
		b.apply(&pollenlatch.Command{Assign: a})
	}
}

// fakeDaemon is a daemon that only renews its lease and records which version of
// the state it has.
type fakeDaemon struct {
	name        string
	lease       pollenlatch.Lease
	version     pollenlatch.Version
	inForce     pollenlatch.Version // newest version known to be in force
	incarnation pollenlatch.Incarnation
	running     bool
	seq         uint64
	load        *pollenlatch.Load
}

// leaderCost is the processor time that the leader used and the messages that it
// sent.
type leaderCost struct {
	cpuTime      time.Duration
	messages     int           // to daemons
	encodedBytes int           // of messages to daemons
	wireBytes    int           // of messages to daemons, including frames, yamux, TCP and IP
	voterBytes   int           // encoded, of messages to other voters
	longestEvent time.Duration // maximum processor time of one event
}

// group is a group of three voters, which are real reducers, and of fake daemons.
// Its time is simulated.
type group struct {
	now            pollenlatch.MonoTime
	voters         []*ctrl.Reducer
	voterIndex     map[string]int // index in voters, by name
	access         []ctrl.Access  // last published access of each voter
	daemons        []fakeDaemon
	daemonIndex    map[string]int // index in daemons, by name
	voterInbox     []envelope     // messages to voters that were not delivered yet
	cost           leaderCost     // since it was reset last
	nextRenewal    pollenlatch.MonoTime
	measuredDeltas []*pollenlatch.Message // sent to daemon 0 since the last catchUp
}

// envelope is a message to a voter.
type envelope struct {
	to   int // index in group.voters
	from string
	m    *pollenlatch.Message
}

func voterName(i int) string { return fmt.Sprintf("voter-%d", i) }

// newTargetGroup returns an initial state with the target number of ranges, and a
// group that was started from it. It returns the error of ctx if that has ended.
func newTargetGroup(ctx context.Context, seed uint64, daemons int) (*initialState, *group, error) {
	initial, err := newInitialState(seed, daemons, targetRangeBits)
	if err != nil {
		return nil, nil, err
	}
	g, err := newGroup(seed, initial)
	if err != nil {
		return nil, nil, err
	}
	return initial, g, ctx.Err()
}

// newGroup starts a group from an initial state. It returns once the group has a
// leader and all daemons are up to date.
func newGroup(seed uint64, initial *initialState) (*group, error) {
	g := &group{voterIndex: make(map[string]int), daemonIndex: make(map[string]int)}
	var members []pollenlatch.Member
	for i := range voterCount {
		name := voterName(i)
		members = append(members, pollenlatch.Member{Name: name, Incarnation: pollenlatch.Incarnation(i + 1), Addr: name})
		g.voterIndex[name] = i
	}
	for _, i := range initial.state.Instances() {
		g.daemonIndex[i.Name] = len(g.daemons)
		g.daemons = append(g.daemons, fakeDaemon{name: i.Name, lease: i.Lease, version: initial.state.Version(), incarnation: i.Incarnation, running: true})
	}
	g.access = make([]ctrl.Access, voterCount)
	version := uint64(initial.state.Version())
	for i, m := range members {
		r := ctrl.New(ctrl.Config{
			Self:   pollenlatch.Join{Name: m.Name, DC: "dc0", Addr: m.Addr, Front: m.Addr, Incarnation: 1},
			Voters: members, Timing: ctrl.DefaultTiming(), Planner: plan.New(plan.Settings{}),
			Quorum: &quorum.Config{
				Self: m, InitialVoters: members, HeartbeatInterval: ctrl.DefaultTiming().Heartbeat,
				MinElectionTimeout: ctrl.DefaultTiming().Election, Seed: seed + uint64(i),
			},
		})
		g.voters = append(g.voters, r)
		g.stepAndDeliver(i, ctrl.Boot{RecoveredLog: &quorum.Start{
			HardState: quorum.HardState{Term: 1, Commit: version},
			Snapshot:  quorum.Snapshot{Index: version, Term: 1, Members: members, Data: initial.snapshot},
		}})
	}
	return g, g.tickUntil(func() bool { return g.leaderIndex() >= 0 && g.allCaughtUp() && g.allInForce(1) })
}

// leaderIndex returns the index of the leader in voters, or -1 if there is none.
func (g *group) leaderIndex() int {
	for i, a := range g.access {
		if a.IsLeader {
			return i
		}
	}
	return -1
}

// leaderState returns the state of the leader, or of voter 0 if there is none.
func (g *group) leaderState() *state.State { return g.voters[max(0, g.leaderIndex())].State() }

// allCaughtUp reports whether every running daemon has the leader's version.
func (g *group) allCaughtUp() bool {
	want := g.leaderState().Version()
	for i := range g.daemons {
		if g.daemons[i].running && g.daemons[i].version < want {
			return false
		}
	}
	return true
}

// allInForce reports whether every running daemon has received that the version is
// in force.
func (g *group) allInForce(v pollenlatch.Version) bool {
	for i := range g.daemons {
		if g.daemons[i].running && g.daemons[i].inForce < v {
			return false
		}
	}
	return true
}

// tickUntil advances the time until settled returns true.
func (g *group) tickUntil(settled func() bool) error {
	for range maxSettleTicks {
		g.tick()
		if settled() {
			return nil
		}
	}
	return errUnsettled
}

// tick advances the time by one tick of 10 ms.
func (g *group) tick() {
	g.now = g.now.Add(ctrl.TickInterval)
	for i := range g.voters {
		g.stepAndDeliver(i, ctrl.Tick{Now: g.now})
	}
	if g.now >= g.nextRenewal {
		g.nextRenewal = g.now.Add(ctrl.DefaultTiming().Renew)
		g.renewAll()
	}
}

// renewAll sends a renewal of every running daemon to the leader. It returns the
// leader's cost, which is not added to g.cost.
func (g *group) renewAll() leaderCost {
	costBefore := g.cost
	leader := g.leaderIndex()
	if leader < 0 {
		return leaderCost{}
	}
	type encodedRenewal struct {
		from string
		b    []byte
	}
	var renewals []encodedRenewal
	for i := range g.daemons {
		if d := &g.daemons[i]; d.running {
			b, err := pollenlatch.Encode(&pollenlatch.Message{Renew: d.nextRenew()})
			if err != nil {
				panic(err) // a bug in this package
			}
			renewals = append(renewals, encodedRenewal{from: d.name, b: b})
		}
	}
	g.cost = leaderCost{}
	start := cpuTime()
	var allEffects []ctrl.Effect
	for _, e := range renewals {
		m := new(pollenlatch.Message)
		if err := pollenlatch.Decode(e.b, m); err != nil {
			panic(err)
		}
		effects := g.voters[leader].Step(ctrl.Received{Now: g.now, From: e.from, Message: m})
		g.countMessages(effects)
		allEffects = append(allEffects, effects...)
	}
	g.cost.cpuTime += cpuTime() - start
	renewCost := g.cost
	g.cost = costBefore
	g.apply(leader, allEffects)
	g.deliverToVoters()
	return renewCost
}

// nextRenew returns the next renewal of the daemon.
func (d *fakeDaemon) nextRenew() *pollenlatch.Renew {
	d.seq++
	return &pollenlatch.Renew{Seq: d.seq, Lease: d.lease, Version: d.version, Incarnation: d.incarnation, Name: d.name, Load: d.load}
}

// stepAndDeliver passes an event to a voter and delivers the messages between
// voters that follow.
func (g *group) stepAndDeliver(i int, ev ctrl.Event) {
	g.step(i, ev)
	g.deliverToVoters()
}

// step passes an event to a voter and applies the effects. If the voter leads, it
// adds the cost to g.cost.
func (g *group) step(i int, ev ctrl.Event) {
	start := cpuTime()
	effects := g.voters[i].Step(ev)
	if g.access[i].IsLeader {
		g.countMessages(effects)
		d := cpuTime() - start
		g.cost.cpuTime += d
		g.cost.longestEvent = max(g.cost.longestEvent, d)
	}
	g.apply(i, effects)
}

// countMessages encodes the messages among the effects, as package link does, and
// counts them in g.cost.
func (g *group) countMessages(effects []ctrl.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case ctrl.Reply:
			n := len(encodeMessage(e.Message))
			if _, ok := g.voterIndex[e.To]; !ok {
				g.cost.messages++
				g.cost.encodedBytes += n
				g.cost.wireBytes += wireBytes(n)
			}
		case ctrl.Send:
			g.cost.voterBytes += len(encodeMessage(e.Message))
		}
	}
}

// encodeMessage returns the encoding of a message. Like package link it uses the
// encoding that the message already has, if any.
func encodeMessage(m *pollenlatch.Message) []byte {
	if b := m.Encoded(); b != nil {
		return b
	}
	b, err := pollenlatch.Encode(m)
	if err != nil {
		panic(err) // a bug in this package
	}
	return b
}

func (g *group) apply(i int, effects []ctrl.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case ctrl.Reply:
			g.receiveReply(i, e)
		case ctrl.Send:
			g.voterInbox = append(g.voterInbox, envelope{to: g.voterIndex[e.Addr], from: voterName(i), m: e.Message})
		case ctrl.Persist:
			// Writes to disk complete at once, so that only processor time is measured.
			// RecordsAck stands for their completion.
			g.voterInbox = append(g.voterInbox, envelope{to: i, m: &pollenlatch.Message{RecordsAck: &pollenlatch.RecordsAck{Seq: e.Seq}}})
		case ctrl.Publish:
			g.access[i] = e.Access
		}
	}
}

func (g *group) receiveReply(voter int, e ctrl.Reply) {
	if to, ok := g.voterIndex[e.To]; ok {
		g.voterInbox = append(g.voterInbox, envelope{to: to, from: voterName(voter), m: e.Message})
		return
	}
	n, ok := g.daemonIndex[e.To]
	if !ok || !g.daemons[n].running {
		return
	}
	d := &g.daemons[n]
	switch m := e.Message; {
	case m.RenewReply != nil:
		d.inForce = max(d.inForce, m.RenewReply.InForce)
	case m.Delta != nil && m.Delta.Chunk == nil:
		if m.Delta.From <= d.version {
			d.version = max(d.version, m.Delta.From+pollenlatch.Version(m.Delta.Len()))
		}
		if n == 0 {
			g.measuredDeltas = append(g.measuredDeltas, m)
		}
	}
}

// deliverToVoters delivers messages and completed writes to voters until none is
// left.
func (g *group) deliverToVoters() {
	for len(g.voterInbox) > 0 {
		e := g.voterInbox[0]
		g.voterInbox = g.voterInbox[1:]
		if e.m.RecordsAck != nil {
			g.step(e.to, ctrl.Synced{Now: g.now, Seq: e.m.RecordsAck.Seq})
			continue
		}
		g.step(e.to, ctrl.Received{Now: g.now, From: e.from, Message: e.m})
	}
}
