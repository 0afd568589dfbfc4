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
	pieceBytes = pollenlatch.ChunkBytes
	voterCount = 3
	listing    = "listing"
	// settleTicks bounds the wait for an outcome, in ticks: 10 s of fake time.
	settleTicks = 1000
)

var errUnsettled = errors.New("the group did not settle in 10 s of its time")

// world is the state that a group starts with.
type world struct {
	s    *state.State
	data []byte // the snapshot
}

// newWorld returns a state in which daemons own 1<<size ranges evenly.
func newWorld(seed uint64, daemons int, size uint32) (*world, error) {
	return newWorldOf(seed, daemons, 1<<size)
}

// newWorldOf returns a state in which daemons own ranges evenly. A number that
// is no power of two takes several services.
func newWorldOf(seed uint64, daemons, ranges int) (*world, error) {
	b := builder{s: new(state.State)}
	shards := b.ticket(ranges)
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := range daemons {
		b.daemon(i, pollenlatch.Incarnation(rng.Uint64()|1))
	}
	rng.Shuffle(len(shards), func(i, j int) { shards[i], shards[j] = shards[j], shards[i] })
	b.assign(shards, daemons)
	if b.err != nil {
		return nil, b.err
	}
	data, err := b.s.Snapshot()
	return &world{s: b.s, data: data}, err
}

// builder makes a state by commands.
type builder struct {
	s   *state.State
	err error
}

func (b *builder) apply(c *pollenlatch.Command) state.Result {
	next, res := b.s.Apply(b.s.Version()+1, c)
	if res.Rejection != "" && b.err == nil {
		b.err = errors.New(res.Rejection)
	}
	b.s = next
	return res
}

// ticket creates the services, the largest first, and returns their ranges.
func (b *builder) ticket(ranges int) []pollenlatch.Shard {
	var spec pollenlatch.Spec
	var shards []pollenlatch.Shard
	for left, name := ranges, listing; left > 0; name = fmt.Sprint("service-", left) {
		size := bits.Len(uint(left)) - 1
		left -= 1 << size
		spec.Services = append(spec.Services, pollenlatch.Service{
			Name: name, Keyed: true, RangeBits: uint32(size), MaxRun: 2 * time.Second, QueueLimit: 100, RecordTTL: time.Hour,
			Weights: pollenlatch.Weights{Imbalance: 1, Churn: 1, Unavailable: 8},
		})
		for i := range 1 << size {
			shards = append(shards, pollenlatch.Shard{Service: name, Range: pollenlatch.Range(i)})
		}
	}
	res := b.apply(&pollenlatch.Command{Ticket: &pollenlatch.Ticket{Number: 1, Text: "number: 1", Sender: "scale", Spec: spec}})
	if b.err == nil && (res.Verdict == nil || !res.Verdict.Accepted) {
		b.err = fmt.Errorf("first ticket refused: %v", res.Verdict)
	}
	return shards
}

func daemonName(i int) string { return fmt.Sprintf("instance-%04d", i) }

// daemon adds daemon i, whose instance number is i+1.
func (b *builder) daemon(i int, life pollenlatch.Incarnation) {
	res := b.apply(&pollenlatch.Command{Join: joinOf(i, life)})
	b.apply(&pollenlatch.Command{Announce: &pollenlatch.Announce{
		Instance: res.Instance, Lease: res.Lease, Endpoint: pollenlatch.Endpoint{
			Service: listing, Addr: "127.0.0.1:9000", Incarnation: life, Slots: 10, MaxConns: 100, Fenced: true, Ready: true,
		},
	}})
}

func joinOf(i int, life pollenlatch.Incarnation) *pollenlatch.Join {
	host := fmt.Sprintf("10.%d.%d.%d", 1+i%targetDCs, i/250, 1+i%250)
	return &pollenlatch.Join{
		Name: daemonName(i), DC: fmt.Sprintf("dc%d", i%targetDCs), Addr: host + ":7001", Front: host + ":8080", Incarnation: life,
	}
}

func (b *builder) assign(shards []pollenlatch.Shard, daemons int) {
	const batch = 1000
	for from := 0; from < len(shards); from += batch {
		a := new(pollenlatch.Assign)
		for i := from; i < min(from+batch, len(shards)); i++ {
			a.Items = append(a.Items, pollenlatch.AssignItem{Shard: shards[i], To: pollenlatch.InstanceID(1 + i%daemons)})
		}
		b.apply(&pollenlatch.Command{Assign: a})
	}
}

// fake is a daemon that only renews and notes which version it holds.
type fake struct {
	name  string
	lease pollenlatch.Lease
	held  pollenlatch.Version
	force pollenlatch.Version
	life  pollenlatch.Incarnation
	up    bool
	seq   uint64
	load  *pollenlatch.Load
}

// cost is what the leader spent and sent.
type cost struct {
	cpu      time.Duration
	messages int
	bytes    int // encoded messages to daemons
	wire     int // the same with frames, yamux, TCP and IP
	quorum   int // encoded bytes to other voters
	longest  time.Duration
}

// group is three voters with real reducers and daemons that are fakes.
type group struct {
	now     pollenlatch.MonoTime
	voters  []*ctrl.Reducer
	index   map[string]int // of voters by name
	views   []ctrl.Access  // of voters
	daemons []fake
	byName  map[string]int
	inbox   []envelope
	spent   cost
	renewAt pollenlatch.MonoTime
	deltas  []*pollenlatch.Message // that daemon 0 was sent
}

type envelope struct {
	to   int
	from string
	m    *pollenlatch.Message
}

func voterName(i int) string { return fmt.Sprintf("voter-%d", i) }

// groupOf returns the world of so many daemons at the target table size and a
// group that leads it. The error is ctx's when it has ended.
func groupOf(ctx context.Context, seed uint64, daemons int) (*world, *group, error) {
	w, err := newWorld(seed, daemons, targetBits)
	if err != nil {
		return nil, nil, err
	}
	g, err := newGroup(seed, w)
	if err != nil {
		return nil, nil, err
	}
	return w, g, ctx.Err()
}

// newGroup starts a group from a state and lets it elect a leader.
func newGroup(seed uint64, w *world) (*group, error) {
	g := &group{index: make(map[string]int), byName: make(map[string]int)}
	var members []pollenlatch.Member
	for i := range voterCount {
		name := voterName(i)
		members = append(members, pollenlatch.Member{Name: name, Incarnation: pollenlatch.Incarnation(i + 1), Addr: name})
		g.index[name] = i
	}
	for _, i := range w.s.Instances() {
		g.byName[i.Name] = len(g.daemons)
		g.daemons = append(g.daemons, fake{name: i.Name, lease: i.Lease, held: w.s.Version(), life: i.Incarnation, up: true})
	}
	g.views = make([]ctrl.Access, voterCount)
	at := uint64(w.s.Version())
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
		g.step(i, ctrl.Boot{RecoveredLog: &quorum.Start{
			HardState: quorum.HardState{Term: 1, Commit: at},
			Snapshot:  quorum.Snapshot{Index: at, Term: 1, Members: members, Data: w.data},
		}})
	}
	return g, g.settle(func() bool { return g.leader() >= 0 && g.caughtUp() && g.forced(1) })
}

func (g *group) leader() int {
	for i, a := range g.views {
		if a.IsLeader {
			return i
		}
	}
	return -1
}

// state returns the state of the leader.
func (g *group) state() *state.State { return g.voters[max(0, g.leader())].State() }

// caughtUp reports whether every daemon holds the leader's version.
func (g *group) caughtUp() bool {
	want := g.state().Version()
	for i := range g.daemons {
		if g.daemons[i].up && g.daemons[i].held < want {
			return false
		}
	}
	return true
}

// forced reports whether every daemon was told that the version is in force.
func (g *group) forced(v pollenlatch.Version) bool {
	for i := range g.daemons {
		if g.daemons[i].up && g.daemons[i].force < v {
			return false
		}
	}
	return true
}

// settle lets time pass until ok.
func (g *group) settle(ok func() bool) error {
	for range settleTicks {
		g.tick()
		if ok() {
			return nil
		}
	}
	return errUnsettled
}

// tick lets 10 ms pass.
func (g *group) tick() {
	g.now = g.now.Add(ctrl.TickInterval)
	for i := range g.voters {
		g.step(i, ctrl.Tick{Now: g.now})
	}
	if g.now >= g.renewAt {
		g.renewAt = g.now.Add(ctrl.DefaultTiming().Renew)
		g.renew()
	}
}

// renew lets every daemon renew. Its cost does not count to spent.
func (g *group) renew() cost {
	before := g.spent
	lead := g.leader()
	if lead < 0 {
		return cost{}
	}
	type renewal struct {
		from string
		b    []byte
	}
	var list []renewal
	for i := range g.daemons {
		if d := &g.daemons[i]; d.up {
			b, err := pollenlatch.Encode(&pollenlatch.Message{Renew: d.renewal()})
			if err != nil {
				panic(err) // a fault of the program
			}
			list = append(list, renewal{from: d.name, b: b})
		}
	}
	g.spent = cost{}
	start := cpu()
	var out []ctrl.Effect
	for _, e := range list {
		m := new(pollenlatch.Message)
		if err := pollenlatch.Decode(e.b, m); err != nil {
			panic(err)
		}
		effects := g.voters[lead].Step(ctrl.Received{Now: g.now, From: e.from, Message: m})
		g.encode(effects)
		out = append(out, effects...)
	}
	g.spent.cpu += cpu() - start
	spent := g.spent
	g.spent = before
	g.carryOut(lead, out)
	g.deliver()
	return spent
}

func (d *fake) renewal() *pollenlatch.Renew {
	d.seq++
	return &pollenlatch.Renew{Seq: d.seq, Lease: d.lease, Version: d.held, Incarnation: d.life, Name: d.name, Load: d.load}
}

// step gives an event to a voter and delivers what follows.
func (g *group) step(i int, ev ctrl.Event) {
	g.stepOne(i, ev)
	g.deliver()
}

// stepOne gives an event to a voter. What the leader spends and sends is counted.
func (g *group) stepOne(i int, ev ctrl.Event) {
	start := cpu()
	effects := g.voters[i].Step(ev)
	if g.views[i].IsLeader {
		g.encode(effects)
		d := cpu() - start
		g.spent.cpu += d
		g.spent.longest = max(g.spent.longest, d)
	}
	g.carryOut(i, effects)
}

// encode does what package link does with each message.
func (g *group) encode(effects []ctrl.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case ctrl.Reply:
			n := len(encoded(e.Message))
			if _, ok := g.index[e.To]; !ok {
				g.spent.messages++
				g.spent.bytes += n
				g.spent.wire += wireBytes(n)
			}
		case ctrl.Send:
			g.spent.quorum += len(encoded(e.Message))
		}
	}
}

// encoded returns the encoding of a message, as package link gets it.
func encoded(m *pollenlatch.Message) []byte {
	if b := m.Encoded(); b != nil {
		return b
	}
	b, err := pollenlatch.Encode(m)
	if err != nil {
		panic(err) // a fault of the program
	}
	return b
}

func (g *group) carryOut(i int, effects []ctrl.Effect) {
	for _, e := range effects {
		switch e := e.(type) {
		case ctrl.Reply:
			g.reply(i, e)
		case ctrl.Send:
			g.inbox = append(g.inbox, envelope{to: g.index[e.Addr], from: voterName(i), m: e.Message})
		case ctrl.Persist:
			// The disk takes no time, so that only processor time is measured.
			g.inbox = append(g.inbox, envelope{to: i, m: &pollenlatch.Message{RecordsAck: &pollenlatch.RecordsAck{Seq: e.Seq}}})
		case ctrl.Publish:
			g.views[i] = e.Access
		}
	}
}

func (g *group) reply(i int, e ctrl.Reply) {
	if to, ok := g.index[e.To]; ok {
		g.inbox = append(g.inbox, envelope{to: to, from: voterName(i), m: e.Message})
		return
	}
	n, ok := g.byName[e.To]
	if !ok || !g.daemons[n].up {
		return
	}
	d := &g.daemons[n]
	switch m := e.Message; {
	case m.RenewReply != nil:
		d.force = max(d.force, m.RenewReply.InForce)
	case m.Delta != nil && m.Delta.Chunk == nil:
		if m.Delta.From <= d.held {
			d.held = max(d.held, m.Delta.From+pollenlatch.Version(m.Delta.Len()))
		}
		if n == 0 {
			g.deltas = append(g.deltas, m)
		}
	}
}

// deliver handles messages between voters until none is left.
func (g *group) deliver() {
	for len(g.inbox) > 0 {
		e := g.inbox[0]
		g.inbox = g.inbox[1:]
		if e.m.RecordsAck != nil {
			g.stepOne(e.to, ctrl.Synced{Now: g.now, Seq: e.m.RecordsAck.Seq})
			continue
		}
		g.stepOne(e.to, ctrl.Received{Now: g.now, From: e.from, Message: e.m})
	}
}
