package ctrl

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"pollenlatch"
	"pollenlatch/lease"
)

var errDisk = errors.New("disk failed")

// traffic runs requests through the desks of a simulation, on servers that
// keep what they were given while their daemon or they themselves are paused.
type traffic struct {
	*sim
	services []string
	runs     map[string][]*run // in progress, by service and key
	newest   map[string]*run   // with the highest fence so far, by service and key
	accepted map[uint64]decision
	number   uint64 // highest number of a ticket whose acceptance was told
	next     uint64 // next number, as verdicts tell
	failure  string // first broken promise
	started  int    // requests that a server began
	decided  int
}

// run is one request at a server.
type run struct {
	id       string // service and key
	key      lease.Key
	side     *side
	pass     pollenlatch.Permit
	epoch    int // of the daemon that passed it on
	maxRun   time.Duration
	deadline pollenlatch.MonoTime // on the machine's clock
	over     bool
}

// decision is a ticket's text and verdict.
type decision struct {
	text    string
	verdict pollenlatch.Verdict
}

// side is what runs beside the reducer of a node: its desk, the calls to its
// server, the server, its disk's condition, and the operators' tickets.
type side struct {
	*node
	t    *traffic
	desk *Control

	seq     uint64 // of grants, as package local counts them
	want    map[lease.Key]bool
	held    bool // the server confirmed them
	calling bool
	next    func()
	isGrant bool

	frozen   bool
	buffer   []func()
	life     int // of the server process
	granted  map[lease.Key]bool
	grantSeq uint64
	until    pollenlatch.MonoTime

	slowDisk time.Duration
	badDisk  bool
	version  pollenlatch.Version
	nextID   uint64
	sent     map[uint64]pollenlatch.Ticket
}

type sideClock struct{ *node }

func (c sideClock) Now() pollenlatch.MonoTime { return c.now() }

// chaos adds moves that a planner might make for reasons of load: of ranges,
// of keys that get a record of their own, and of keys that lose it.
type chaos struct {
	pollenlatch.Planner
	rng *rand.Rand
}

func (c chaos) Plan(p pollenlatch.PlanInput) []pollenlatch.Move {
	moves := c.Planner.Plan(p)
	if c.rng.IntN(3) > 0 {
		return moves
	}
	for _, svc := range p.View.Services() {
		var usable []pollenlatch.InstanceID
		for _, i := range p.View.Endpoints(svc.Name) {
			if i.Usable() {
				usable = append(usable, i.ID)
			}
		}
		key := keyName(c.rng.IntN(simKeys))
		o, ok := p.View.Owner(svc.Name, key)
		if !ok || o.Instance == 0 || o.Frozen() || len(usable) == 0 {
			continue
		}
		m := pollenlatch.Move{Shard: o.Shard, From: o.Instance, Fence: o.Fence, To: usable[c.rng.IntN(len(usable))], Reason: "test"}
		switch c.rng.IntN(3) {
		case 0:
			m.Key = key // its own record, made or moved
		case 1:
			if m.Key != "" {
				m.To = 0
			}
		}
		if m.To != m.From {
			moves = append(moves, m)
		}
	}
	return moves
}

const simKeys = 12

func keyName(n int) string { return fmt.Sprint("key", n) }

func chaosText(number uint64, services []string, maxRun time.Duration, note string) string {
	text := fmt.Sprintf("number: %d\n# %s\nservices:\n", number, note)
	for _, name := range services {
		text += fmt.Sprintf("  - name: %s\n    keyed: true\n    ranges: 4\n    maxrun: %v\n", name, maxRun)
	}
	return text
}

// newTraffic makes voters v1.. and daemons d1.. with servers of two services,
// every other one of which checks fences.
func newTraffic(seed uint64, voters, daemons int, broken rules) *traffic {
	rng := rand.New(rand.NewPCG(seed, 2))
	s := newSim(seed, voters, daemons, func() pollenlatch.Planner {
		return chaos{newPlanner(), rand.New(rand.NewPCG(rng.Uint64(), 3))}
	})
	s.rules = broken
	t := &traffic{
		sim: s, services: []string{"claims", "listing"},
		runs: make(map[string][]*run), newest: make(map[string]*run), accepted: make(map[uint64]decision),
	}
	s.traffic = t
	s.check = t.invariants
	for i, name := range s.order {
		n := s.nodes[name]
		n.kill()
		n.disk = memDisk{}
		n.ppm = s.rng.Int64N(10_000) - 5_000
		n.facts.Service = t.services[i%2]
		n.facts.Fenced = i/2%2 == 0
		n.side = &side{node: n, t: t, life: 1}
		n.start()
	}
	return t
}

// begin starts the parts of a new daemon process.
func (p *side) begin() {
	p.desk = &Control{Clock: sideClock{p.node}}
	p.seq = uint64(p.sim.now/1000) + 1
	p.want, p.held, p.calling, p.next, p.isGrant = nil, false, false, nil, false
	p.version, p.nextID, p.sent = 0, 0, make(map[uint64]pollenlatch.Ticket)
	p.later(time.Second, p.report)
}

// report tells the load of the server once a second. The hot keys change every
// few seconds.
func (p *side) report() {
	hot := keyName(int(p.sim.now.Sub(0)/(3*time.Second)) % simKeys)
	load := pollenlatch.Load{Rate: 10}
	if o, ok := p.desk.View().Owner(p.facts.Service, hot); ok && o.Instance != 0 && o.Instance == p.desk.Self() {
		load.Rate = 300
		load.HotKeys = []pollenlatch.HotKey{{Service: p.facts.Service, Key: hot, Rate: 250}}
		load.Ranges = []pollenlatch.RangeLoad{{Service: p.facts.Service, Range: o.Range, Rate: 280}}
	}
	p.step(LoadReported{Now: p.now(), Load: load})
	p.later(time.Second, p.report)
}

// guarded runs f in the present process, once it is not paused.
func (p *side) guarded(epoch int, f func()) {
	switch {
	case p.epoch != epoch || !p.up:
	case p.paused:
		p.backlog = append(p.backlog, func() { p.guarded(epoch, f) })
	default:
		f()
	}
}

// later runs f in the present process after d.
func (p *side) later(d time.Duration, f func()) {
	epoch := p.epoch
	p.sim.after(d, func() { p.guarded(epoch, f) })
}

// carryOut takes over the effects that concern traffic, the server and
// tickets. Requests arrive between any two effects.
func (p *side) carryOut(e Effect) bool {
	p.arrive()
	defer p.arrive()
	switch e := e.(type) {
	case Publish:
		if v := e.Access.View.Version(); v < p.version {
			p.t.broken("%s went back from version %d to %d", p.name, p.version, v)
		} else {
			p.version = v
		}
		p.desk.Publish(e.Access)
		p.t.forced(p, e.Access.InForce)
		return false
	case AwaitIdle:
		p.desk.AwaitIdle(e.Key, func() {
			p.later(0, func() { p.step(ShardsIdle{Now: p.now(), Shards: []IdleShard{{Key: e.Key}}}) })
		})
	case Grant:
		want := make(map[lease.Key]bool)
		for _, g := range e.Grants {
			want[lease.Key{Shard: g.Shard, Fence: g.Fence}] = true
		}
		p.call(true, func() { p.want, p.held = want, false; p.sendAll(e.Until) })
	case Extend:
		p.call(false, func() { p.extend(e.Until) })
	case DeliverVerdict:
		p.t.decide(p.sent[e.ID], e.Verdict)
	case Drained:
		p.waitIdle(100)
		return false
	case Left:
		epoch := p.epoch
		p.sim.after(p.t.random(time.Second), func() {
			if p.epoch == epoch {
				p.kill()
				p.start()
			}
		})
		return false
	default:
		return false
	}
	return true
}

// waitIdle leaves once nothing is in flight, or after so many checks.
func (p *side) waitIdle(checks int) {
	if p.desk.InFlight() == 0 || checks == 0 {
		p.step(LeaveRequested{Now: p.now()})
		return
	}
	p.later(10*time.Millisecond, func() { p.waitIdle(checks - 1) })
}

// call makes one call to the server after the other, as Loop does.
func (p *side) call(grant bool, f func()) {
	if p.calling {
		if grant || p.next == nil {
			p.next, p.isGrant = f, grant
		}
		return
	}
	p.calling = true
	f()
}

func (p *side) returned() {
	next := p.next
	p.calling, p.next = false, nil
	if next != nil {
		p.call(p.isGrant, next)
	}
}

// toServer sends a message that waits while the server is frozen.
func (p *side) toServer(f func()) {
	life := p.life
	p.sim.after(100*time.Microsecond, func() {
		switch {
		case p.life != life:
		case p.frozen:
			p.buffer = append(p.buffer, f)
		default:
			f()
		}
	})
}

func (p *side) message(f func() bool) {
	epoch, answered := p.epoch, false
	p.toServer(func() {
		ok := f()
		p.sim.after(100*time.Microsecond, func() {
			p.guarded(epoch, func() {
				if !answered {
					answered, p.held = true, ok
					p.returned()
				}
			})
		})
	})
	p.later(grantTimeout, func() {
		if !answered {
			answered, p.held = true, false
			p.returned()
		}
	})
}

func (p *side) sendAll(until pollenlatch.MonoTime) {
	p.seq++
	seq, want := p.seq, p.want
	p.message(func() bool {
		if seq <= p.grantSeq || p.now() >= until {
			return false
		}
		p.granted, p.grantSeq, p.until = want, seq, until
		return true
	})
}

func (p *side) extend(until pollenlatch.MonoTime) {
	if !p.held {
		p.sendAll(until)
		return
	}
	seq := p.seq
	p.message(func() bool {
		if seq == p.grantSeq && p.now() < until {
			p.until = until
		}
		return seq == p.grantSeq
	})
}

// arrive lets a request come in at this daemon with some probability.
func (p *side) arrive() {
	if p.paused || !p.up || p.sim.rng.IntN(4) > 0 {
		return
	}
	service, key := p.facts.Service, keyName(p.sim.rng.IntN(simKeys))
	a := p.desk.Access()
	o, ok := a.View.Owner(service, key)
	if !ok || o.Instance == 0 || o.Instance != a.Self {
		return
	}
	pass, err := p.desk.Acquire(o.Shard, o.Fence)
	if err != nil {
		return
	}
	q := &run{id: service + "/" + key, key: KeyOf(o), side: p, pass: pass, epoch: p.epoch}
	if p.sim.rng.IntN(3) > 0 {
		p.pass(q)
		return
	}
	p.later(p.t.random(50*time.Millisecond), func() { p.pass(q) })
}

// pass makes the check and writes the request. The process may be paused in
// between.
func (p *side) pass(q *run) {
	q.maxRun = defaultRun
	if svc, ok := p.desk.View().Service(q.key.Service); ok {
		q.maxRun = svc.MaxRun
	}
	q.deadline = p.now().Add(q.maxRun)
	if q.pass.Check() != nil {
		q.pass.Release()
		return
	}
	write := func() {
		p.toServer(func() { p.serve(q) })
		p.later(p.real(q.maxRun), func() { p.giveUp(q) })
	}
	if p.sim.rng.IntN(10) > 0 {
		write()
		return
	}
	p.later(p.t.random(20*time.Millisecond), write)
}

// real returns the simulation's time for a duration on the machine's clock.
func (p *side) real(d time.Duration) time.Duration {
	return d - d/1_000_000*time.Duration(p.ppm)
}

// giveUp leaves a request open: the server may run it until its deadline.
func (p *side) giveUp(q *run) {
	p.later(p.real(q.maxRun), q.pass.Release)
}

// serve is the server's part.
func (p *side) serve(q *run) {
	answer := func() { p.sim.after(100*time.Microsecond, func() { p.guarded(q.epoch, q.pass.Release) }) }
	now := p.now()
	if now >= q.deadline || p.facts.Fenced && (!p.granted[q.key] || now >= p.until) {
		answer() // not run
		return
	}
	p.t.start(q)
	work := p.t.random(q.maxRun / 4)
	if p.sim.rng.IntN(4) == 0 {
		work = q.deadline.Sub(now)
	}
	var end func()
	life := p.life
	end = func() {
		switch left := q.deadline.Sub(p.now()); {
		case p.life != life:
		case p.frozen && left > 0:
			p.sim.after(left, end)
		default:
			q.over = true
			if p.sim.rng.IntN(10) > 0 {
				answer()
			}
		}
	}
	p.sim.after(p.real(min(work, q.deadline.Sub(now))), end)
}

func (t *traffic) random(d time.Duration) time.Duration { return time.Duration(t.rng.Int64N(int64(d))) }

func (t *traffic) broken(format string, args ...any) {
	if t.failure == "" {
		t.failure = fmt.Sprintf("at %v: ", time.Duration(t.now)) + fmt.Sprintf(format, args...)
	}
}

// start checks that no other server runs a request of the key. A server that
// checks fences does so last before it acts, so its requests count as running
// at that moment only.
func (t *traffic) start(q *run) {
	t.started++
	list := slices.DeleteFunc(t.runs[q.id], func(r *run) bool { return r.over })
	for _, r := range list {
		if r.side != q.side {
			t.broken("%s runs %s with fence %d while %s still runs one with fence %d", q.side.name, q.id, q.key.Fence, r.side.name, r.key.Fence)
		}
	}
	if r := t.newest[q.id]; r != nil && r.key.Fence > q.key.Fence && r.side != q.side {
		t.broken("%s runs %s with fence %d after %s ran one with fence %d", q.side.name, q.id, q.key.Fence, r.side.name, r.key.Fence)
	} else if r == nil || r.key.Fence <= q.key.Fence {
		t.newest[q.id] = q
	}
	if !q.side.facts.Fenced {
		list = append(list, q)
	}
	t.runs[q.id] = list
}

// decide checks that operators get one answer for each ticket.
func (t *traffic) decide(k pollenlatch.Ticket, v pollenlatch.Verdict) {
	t.decided++
	t.next = max(t.next, v.Next)
	old, known := t.accepted[k.Number]
	switch {
	case v.Number != k.Number:
		t.broken("ticket %d got the verdict of ticket %d", k.Number, v.Number)
	case known && old.text == k.Text && (!v.Accepted || v.Version != old.verdict.Version):
		t.broken("ticket %d got %+v after %+v", k.Number, v, old.verdict)
	case known && old.text != k.Text && v.Accepted:
		t.broken("two tickets with number %d were accepted", k.Number)
	case v.Accepted:
		t.accepted[k.Number] = decision{k.Text, v}
		t.number = max(t.number, k.Number)
	}
}

// forced checks that every daemon that may serve holds a version that is said
// to be in force everywhere.
func (t *traffic) forced(by *side, v pollenlatch.Version) {
	for _, name := range t.order {
		n := t.nodes[name]
		if n != by.node && n.up && n.now() < n.access.LeaseEnd && n.access.View.Version() < v {
			t.broken("%s says that version %d is in force, and %s serves with %d", by.name, v, name, n.access.View.Version())
		}
	}
}

// invariants hold after every event.
func (t *traffic) invariants() {
	last := t.accepted[t.number]
	for _, service := range t.services {
		for r := range 4 {
			sh := pollenlatch.Shard{Service: service, Range: pollenlatch.Range(r)}
			if o := t.owners(sh); len(o) > 1 {
				t.broken("%v is owned by %v", sh, o)
			}
		}
	}
	for _, name := range t.order {
		n := t.nodes[name]
		if s := n.access.State(); n.up && s != nil && last.text != "" && s.Version() >= last.verdict.Version {
			v, ok := s.Decided(&pollenlatch.Ticket{Number: t.number, Text: last.text})
			if !ok || !v.Accepted || v.Version != last.verdict.Version {
				t.broken("%s at version %d does not hold ticket %d of version %d", name, s.Version(), t.number, last.verdict.Version)
			}
		}
	}
}

// propose submits a ticket through one or two processes, sometimes one that
// competes with it, and sometimes an older one again.
func (t *traffic) propose() {
	number := max(t.next, 1)
	if t.rng.IntN(4) == 0 {
		number = uint64(1 + t.rng.Int64N(int64(number)))
	}
	text := func() string {
		if d, ok := t.accepted[number]; ok && t.rng.IntN(2) == 0 {
			return d.text
		}
		maxRun := []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second}[t.rng.IntN(3)]
		return chaosText(number, t.services, maxRun, fmt.Sprint(t.rng.IntN(3)))
	}
	first := text()
	t.submitTo(pollenlatch.Ticket{Number: number, Text: first})
	switch t.rng.IntN(3) {
	case 0:
		t.submitTo(pollenlatch.Ticket{Number: number, Text: first})
	case 1:
		t.submitTo(pollenlatch.Ticket{Number: number, Text: text()})
	}
}

// loseDisk takes the disk of one voter and replaces it by a ticket, which is
// sent until it is accepted. A group tolerates that at any moment.
func (t *traffic) loseDisk() {
	lost := t.nodes[t.voters[t.rng.IntN(len(t.voters))].Name]
	lost.kill()
	lost.replaceDisk()
	lost.halted = nil
	lost.start()
	var send func()
	send = func() {
		for _, d := range t.accepted {
			if strings.Contains(d.text, "voters:") {
				return
			}
		}
		group := []pollenlatch.Member{*lost.member}
		for _, m := range t.voters {
			if m.Name != lost.name {
				group = append(group, m)
			}
		}
		t.submitTo(groupTicket(int(t.next), group...))
		t.after(500*time.Millisecond, send)
	}
	send()
}

func (t *traffic) submitTo(k pollenlatch.Ticket) {
	p := t.nodes[t.order[t.rng.IntN(len(t.order))]].side
	p.guarded(p.epoch, func() {
		p.nextID++
		p.sent[p.nextID] = k
		p.step(Submitted{Now: p.now(), ID: p.nextID, Ticket: k})
	})
}

// trouble breaks or repairs one thing beside the reducers.
func (t *traffic) trouble() {
	p := t.nodes[t.order[t.rng.IntN(len(t.order))]].side
	switch t.rng.IntN(10) {
	case 9:
		p.restartServer()
	case 0, 1:
		p.frozen = true
	case 2, 3:
		p.thaw()
	case 4:
		p.guarded(p.epoch, func() { p.step(DrainRequested{Now: p.now()}) })
	case 5, 6:
		t.propose()
	case 7:
		p.slowDisk = t.random(80*time.Millisecond) + 1
	case 8:
		p.badDisk = t.rng.IntN(2) == 0
		if p.halted != nil {
			p.kill()
			p.badDisk, p.halted = false, nil
			p.start()
		}
	}
}

// restartServer replaces the server process: what it ran and had before it is
// gone.
func (p *side) restartServer() {
	p.life++
	p.frozen, p.buffer, p.granted, p.grantSeq = false, nil, nil, 0
	for _, list := range p.t.runs {
		for _, q := range list {
			q.over = q.over || q.side == p
		}
	}
	p.facts.Incarnation++
	p.guarded(p.epoch, func() {
		p.held = false
		p.step(Announced{Now: p.now(), Endpoint: p.facts})
	})
}

func (p *side) thaw() {
	p.frozen = false
	buffer := p.buffer
	p.buffer = nil
	// Several connections wait, in no order.
	p.sim.rng.Shuffle(len(buffer), func(i, j int) { buffer[i], buffer[j] = buffer[j], buffer[i] })
	for _, f := range buffer {
		f()
	}
}

// restore ends all faults.
func (t *traffic) restore() {
	for _, name := range t.order {
		p := t.nodes[name].side
		p.thaw()
		p.slowDisk, p.badDisk = 0, false
		if p.halted != nil {
			p.halted = nil
			p.kill()
		}
	}
	t.heal()
}
