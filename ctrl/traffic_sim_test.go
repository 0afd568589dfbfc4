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

// trafficSim adds requests, servers and tickets to a simulation. A paused daemon and
// a frozen server keep what they have received and continue with it later.
type trafficSim struct {
	*sim
	services     []string
	running      map[string][]*serverRequest // by service and key
	newestRun    map[string]*serverRequest   // with the highest fence so far, by service and key
	accepted     map[uint64]acceptedTicket   // by number
	lastAccepted uint64                      // highest number of a ticket with a verdict that accepts it
	nextNumber   uint64                      // highest Next of all verdicts
	violation    string                      // the first violated invariant
	started      int                         // requests that a server started to run
	decided      int                         // verdicts received
}

// serverRequest is one request at a server.
type serverRequest struct {
	id           string // service and key
	key          lease.Key
	env          *nodeEnv
	permit       pollenlatch.Permit
	processEpoch int // of the daemon that forwarded it
	maxRun       time.Duration
	deadline     pollenlatch.MonoTime // by the instance's clock
	finished     bool
}

// acceptedTicket is the text and verdict of an accepted ticket.
type acceptedTicket struct {
	text    string
	verdict pollenlatch.Verdict
}

// nodeEnv simulates the surroundings of a node's reducer: its Control, the calls to
// its server, the server, the condition of its disk, and tickets.
type nodeEnv struct {
	*node
	traffic *trafficSim
	control *Control

	// The daemon's calls to the server.
	grantSeq        uint64 // increases with each set of grants, as in package local
	wantedGrants    map[lease.Key]bool
	grantsConfirmed bool // the server has acknowledged wantedGrants
	callInProgress  bool
	nextCall        func()
	nextIsGrant     bool

	// The server.
	serverFrozen    bool
	serverBuffer    []func() // messages received while it is frozen
	serverEpoch     int      // increases when the server process is replaced
	serverGrants    map[lease.Key]bool
	serverGrantSeq  uint64
	serverGrantsEnd pollenlatch.MonoTime

	maxDiskDelay time.Duration
	diskFails    bool
	version      pollenlatch.Version
	nextID       uint64
	submitted    map[uint64]pollenlatch.Ticket
}

type nodeClock struct{ *node }

func (c nodeClock) Now() pollenlatch.MonoTime { return c.now() }

// randomMovePlanner adds random moves, as a planner might plan them to balance load:
// of ranges, of hot keys that get a record of their own, and of keys that lose it.
type randomMovePlanner struct {
	pollenlatch.Planner
	rng *rand.Rand
}

func (p randomMovePlanner) Plan(in pollenlatch.PlanInput) []pollenlatch.Move {
	moves := p.Planner.Plan(in)
	if p.rng.IntN(3) > 0 {
		return moves
	}
	for _, svc := range in.View.Services() {
		var usable []pollenlatch.InstanceID
		for _, i := range in.View.Endpoints(svc.Name) {
			if i.Usable() {
				usable = append(usable, i.ID)
			}
		}
		key := keyName(p.rng.IntN(simKeys))
		o, ok := in.View.Owner(svc.Name, key)
		if !ok || o.Instance == 0 || o.Frozen() || len(usable) == 0 {
			continue
		}
		m := pollenlatch.Move{Shard: o.Shard, From: o.Instance, Fence: o.Fence, To: usable[p.rng.IntN(len(usable))], Reason: "test"}
		switch p.rng.IntN(3) {
		case 0:
			m.Key = key // creates or moves the key's own record
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

func simTicketText(number uint64, services []string, maxRun time.Duration, note string) string {
	text := fmt.Sprintf("number: %d\n# %s\nservices:\n", number, note)
	for _, name := range services {
		text += fmt.Sprintf("  - name: %s\n    keyed: true\n    ranges: 4\n    maxrun: %v\n", name, maxRun)
	}
	return text
}

// newTrafficSim creates voters v1, v2, ... and daemons d1, d2, ... with servers of two
// services. Half of the servers check fences.
func newTrafficSim(seed uint64, voters, daemons int, injected injectedFaults) *trafficSim {
	rng := rand.New(rand.NewPCG(seed, 2))
	base := newSim(seed, voters, daemons, func() pollenlatch.Planner {
		return randomMovePlanner{newPlanner(), rand.New(rand.NewPCG(rng.Uint64(), 3))}
	})
	base.injected = injected
	t := &trafficSim{
		sim: base, services: []string{"claims", "listing"},
		running: make(map[string][]*serverRequest), newestRun: make(map[string]*serverRequest), accepted: make(map[uint64]acceptedTicket),
	}
	base.traffic = t
	base.checkInvariants = t.checkState
	for i, name := range base.names {
		n := base.nodes[name]
		n.kill()
		n.disk = memDisk{}
		n.clockPPM = base.rng.Int64N(10_000) - 5_000
		n.endpoint.Service = t.services[i%2]
		n.endpoint.Fenced = i/2%2 == 0
		n.env = &nodeEnv{node: n, traffic: t, serverEpoch: 1}
		n.start()
	}
	return t
}

// startProcess resets what belongs to the daemon process.
func (env *nodeEnv) startProcess() {
	env.control = &Control{Clock: nodeClock{env.node}}
	env.grantSeq = uint64(env.sim.now/1000) + 1
	env.wantedGrants, env.grantsConfirmed, env.callInProgress, env.nextCall, env.nextIsGrant = nil, false, false, nil, false
	env.version, env.nextID, env.submitted = 0, 0, make(map[uint64]pollenlatch.Ticket)
	env.later(time.Second, env.reportLoad)
}

// reportLoad reports the load of the server once a second. The hot key changes every
// 3 s.
func (env *nodeEnv) reportLoad() {
	hot := keyName(int(env.sim.now.Sub(0)/(3*time.Second)) % simKeys)
	load := pollenlatch.Load{Rate: 10}
	if o, ok := env.control.View().Owner(env.endpoint.Service, hot); ok && o.Instance != 0 && o.Instance == env.control.Self() {
		load.Rate = 300
		load.HotKeys = []pollenlatch.HotKey{{Service: env.endpoint.Service, Key: hot, Rate: 250}}
		load.Ranges = []pollenlatch.RangeLoad{{Service: env.endpoint.Service, Range: o.Range, Rate: 280}}
	}
	env.step(LoadReported{Now: env.now(), Load: load})
	env.later(time.Second, env.reportLoad)
}

// whenRunning runs f when the process of the epoch is not paused. f is dropped when
// that process has ended.
func (env *nodeEnv) whenRunning(epoch int, f func()) {
	switch {
	case env.processEpoch != epoch || !env.up:
	case env.paused:
		env.deferred = append(env.deferred, func() { env.whenRunning(epoch, f) })
	default:
		f()
	}
}

// later runs f in the present process after d.
func (env *nodeEnv) later(d time.Duration, f func()) {
	epoch := env.processEpoch
	env.sim.after(d, func() { env.whenRunning(epoch, f) })
}

// carryOut carries out the effects on the request path, the server and tickets. It
// returns false for those that the node must carry out. Requests may arrive between
// any two effects.
func (env *nodeEnv) carryOut(e Effect) bool {
	env.maybeAcceptRequest()
	defer env.maybeAcceptRequest()
	switch e := e.(type) {
	case Publish:
		if v := e.Access.View.Version(); v < env.version {
			env.traffic.recordViolation("version of %s decreases from %d to %d", env.name, env.version, v)
		} else {
			env.version = v
		}
		env.control.Publish(e.Access)
		env.traffic.checkInForce(env, e.Access.InForce)
		return false
	case AwaitIdle:
		env.control.AwaitIdle(e.Key, func() {
			env.later(0, func() { env.step(ShardsIdle{Now: env.now(), Shards: []IdleShard{{Key: e.Key}}}) })
		})
	case Grant:
		wanted := make(map[lease.Key]bool)
		for _, g := range e.Grants {
			wanted[lease.Key{Shard: g.Shard, Fence: g.Fence}] = true
		}
		env.callServer(true, func() { env.wantedGrants, env.grantsConfirmed = wanted, false; env.replaceGrants(e.Until) })
	case Extend:
		env.callServer(false, func() { env.extendGrants(e.Until) })
	case DeliverVerdict:
		env.traffic.checkVerdict(env.submitted[e.ID], e.Verdict)
	case Drained:
		env.leaveWhenIdle(100)
		return false
	case Left:
		epoch := env.processEpoch
		env.sim.after(env.traffic.randomDuration(time.Second), func() {
			if env.processEpoch == epoch {
				env.kill()
				env.start()
			}
		})
		return false
	default:
		return false
	}
	return true
}

// leaveWhenIdle requests to leave once no request is in flight, or after a number of
// checks.
func (env *nodeEnv) leaveWhenIdle(checks int) {
	if env.control.InFlight() == 0 || checks == 0 {
		env.step(LeaveRequested{Now: env.now()})
		return
	}
	env.later(10*time.Millisecond, func() { env.leaveWhenIdle(checks - 1) })
}

// callServer makes calls to the server one at a time, as Loop does. One further call
// may wait; new grants replace it.
func (env *nodeEnv) callServer(grant bool, f func()) {
	if env.callInProgress {
		if grant || env.nextCall == nil {
			env.nextCall, env.nextIsGrant = f, grant
		}
		return
	}
	env.callInProgress = true
	f()
}

func (env *nodeEnv) callReturned() {
	next := env.nextCall
	env.callInProgress, env.nextCall = false, nil
	if next != nil {
		env.callServer(env.nextIsGrant, next)
	}
}

// sendToServer sends a message to the server, which handles it when it is not frozen.
func (env *nodeEnv) sendToServer(f func()) {
	serverEpoch := env.serverEpoch
	env.sim.after(100*time.Microsecond, func() {
		switch {
		case env.serverEpoch != serverEpoch:
		case env.serverFrozen:
			env.serverBuffer = append(env.serverBuffer, f)
		default:
			f()
		}
	})
}

// request sends a call to the server. f runs in the server and returns whether the
// wanted grants are in effect.
func (env *nodeEnv) request(f func() bool) {
	epoch, returned := env.processEpoch, false
	env.sendToServer(func() {
		ok := f()
		env.sim.after(100*time.Microsecond, func() {
			env.whenRunning(epoch, func() {
				if !returned {
					returned, env.grantsConfirmed = true, ok
					env.callReturned()
				}
			})
		})
	})
	env.later(grantTimeout, func() {
		if !returned {
			returned, env.grantsConfirmed = true, false
			env.callReturned()
		}
	})
}

func (env *nodeEnv) replaceGrants(until pollenlatch.MonoTime) {
	env.grantSeq++
	seq, wanted := env.grantSeq, env.wantedGrants
	env.request(func() bool {
		if seq <= env.serverGrantSeq || env.now() >= until {
			return false
		}
		env.serverGrants, env.serverGrantSeq, env.serverGrantsEnd = wanted, seq, until
		return true
	})
}

func (env *nodeEnv) extendGrants(until pollenlatch.MonoTime) {
	if !env.grantsConfirmed {
		env.replaceGrants(until)
		return
	}
	seq := env.grantSeq
	env.request(func() bool {
		if seq == env.serverGrantSeq && env.now() < until {
			env.serverGrantsEnd = until
		}
		return seq == env.serverGrantSeq
	})
}

// maybeAcceptRequest lets a request arrive at this daemon, with a probability of 1/4.
func (env *nodeEnv) maybeAcceptRequest() {
	if env.paused || !env.up || env.sim.rng.IntN(4) > 0 {
		return
	}
	service, key := env.endpoint.Service, keyName(env.sim.rng.IntN(simKeys))
	a := env.control.Access()
	o, ok := a.View.Owner(service, key)
	if !ok || o.Instance == 0 || o.Instance != a.Self {
		return
	}
	permit, err := env.control.Acquire(o.Shard, o.Fence)
	if err != nil {
		return
	}
	req := &serverRequest{id: service + "/" + key, key: KeyOf(o), env: env, permit: permit, processEpoch: env.processEpoch}
	if env.sim.rng.IntN(3) > 0 {
		env.forward(req)
		return
	}
	env.later(env.traffic.randomDuration(50*time.Millisecond), func() { env.forward(req) })
}

// forward checks the permit and writes the request to the server. The process may be
// paused in between.
func (env *nodeEnv) forward(req *serverRequest) {
	req.maxRun = defaultMaxRun
	if svc, ok := env.control.View().Service(req.key.Service); ok {
		req.maxRun = svc.MaxRun
	}
	req.deadline = env.now().Add(req.maxRun)
	if req.permit.Check() != nil {
		req.permit.Release()
		return
	}
	write := func() {
		env.sendToServer(func() { env.runRequest(req) })
		env.later(env.simDuration(req.maxRun), func() { env.abandon(req) })
	}
	if env.sim.rng.IntN(10) > 0 {
		write()
		return
	}
	env.later(env.traffic.randomDuration(20*time.Millisecond), write)
}

// simDuration converts a duration by the instance's clock to simulated time.
func (env *nodeEnv) simDuration(d time.Duration) time.Duration {
	return d - d/1_000_000*time.Duration(env.clockPPM)
}

// abandon releases a request without a response after another maxRun, since the
// server may run it until its deadline.
func (env *nodeEnv) abandon(req *serverRequest) {
	env.later(env.simDuration(req.maxRun), req.permit.Release)
}

// runRequest runs a request in the server.
func (env *nodeEnv) runRequest(req *serverRequest) {
	respond := func() {
		env.sim.after(100*time.Microsecond, func() { env.whenRunning(req.processEpoch, req.permit.Release) })
	}
	now := env.now()
	if now >= req.deadline || env.endpoint.Fenced && (!env.serverGrants[req.key] || now >= env.serverGrantsEnd) {
		respond() // the server refuses the request
		return
	}
	env.traffic.checkExclusive(req)
	work := env.traffic.randomDuration(req.maxRun / 4)
	if env.sim.rng.IntN(4) == 0 {
		work = req.deadline.Sub(now)
	}
	var end func()
	serverEpoch := env.serverEpoch
	end = func() {
		switch left := req.deadline.Sub(env.now()); {
		case env.serverEpoch != serverEpoch:
		case env.serverFrozen && left > 0:
			env.sim.after(left, end)
		default:
			req.finished = true
			if env.sim.rng.IntN(10) > 0 {
				respond()
			}
		}
	}
	env.sim.after(env.simDuration(min(work, req.deadline.Sub(now))), end)
}

func (t *trafficSim) randomDuration(d time.Duration) time.Duration {
	return time.Duration(t.rng.Int64N(int64(d)))
}

func (t *trafficSim) recordViolation(format string, args ...any) {
	if t.violation == "" {
		t.violation = fmt.Sprintf("at %v: ", time.Duration(t.now)) + fmt.Sprintf(format, args...)
	}
}

// checkExclusive records the start of a request and checks that no other server runs
// a request of the key. A server that checks fences does so immediately before it
// acts, so its requests count as running only at that moment.
func (t *trafficSim) checkExclusive(req *serverRequest) {
	t.started++
	running := slices.DeleteFunc(t.running[req.id], func(r *serverRequest) bool { return r.finished })
	for _, r := range running {
		if r.env != req.env {
			t.recordViolation("%s runs %s with fence %d while %s still runs one with fence %d", req.env.name, req.id, req.key.Fence, r.env.name, r.key.Fence)
		}
	}
	if r := t.newestRun[req.id]; r != nil && r.key.Fence > req.key.Fence && r.env != req.env {
		t.recordViolation("%s runs %s with fence %d after %s ran one with fence %d", req.env.name, req.id, req.key.Fence, r.env.name, r.key.Fence)
	} else if r == nil || r.key.Fence <= req.key.Fence {
		t.newestRun[req.id] = req
	}
	if !req.env.endpoint.Fenced {
		running = append(running, req)
	}
	t.running[req.id] = running
}

// checkVerdict checks that all verdicts on a ticket agree.
func (t *trafficSim) checkVerdict(ticket pollenlatch.Ticket, v pollenlatch.Verdict) {
	t.decided++
	t.nextNumber = max(t.nextNumber, v.Next)
	old, known := t.accepted[ticket.Number]
	switch {
	case v.Number != ticket.Number:
		t.recordViolation("ticket %d got the verdict of ticket %d", ticket.Number, v.Number)
	case known && old.text == ticket.Text && (!v.Accepted || v.Version != old.verdict.Version):
		t.recordViolation("verdict on ticket %d is %+v after %+v", ticket.Number, v, old.verdict)
	case known && old.text != ticket.Text && v.Accepted:
		t.recordViolation("two different tickets with number %d were accepted", ticket.Number)
	case v.Accepted:
		t.accepted[ticket.Number] = acceptedTicket{ticket.Text, v}
		t.lastAccepted = max(t.lastAccepted, ticket.Number)
	}
}

// checkInForce checks that every daemon that may serve has the version that a node
// reports as in force.
func (t *trafficSim) checkInForce(env *nodeEnv, v pollenlatch.Version) {
	for _, name := range t.names {
		n := t.nodes[name]
		if n != env.node && n.up && n.now() < n.access.LeaseEnd && n.access.View.Version() < v {
			t.recordViolation("%s reports that version %d is in force, but %s serves with %d", env.name, v, name, n.access.View.Version())
		}
	}
}

// checkState checks after every event that each shard has at most one owner and that
// all states include the last accepted ticket.
func (t *trafficSim) checkState() {
	last := t.accepted[t.lastAccepted]
	for _, service := range t.services {
		for r := range 4 {
			sh := pollenlatch.Shard{Service: service, Range: pollenlatch.Range(r)}
			if o := t.owners(sh); len(o) > 1 {
				t.recordViolation("%v has several owners: %v", sh, o)
			}
		}
	}
	for _, name := range t.names {
		n := t.nodes[name]
		if s := n.access.State(); n.up && s != nil && last.text != "" && s.Version() >= last.verdict.Version {
			v, ok := s.Decided(&pollenlatch.Ticket{Number: t.lastAccepted, Text: last.text})
			if !ok || !v.Accepted || v.Version != last.verdict.Version {
				t.recordViolation("state of %s at version %d lacks ticket %d of version %d", name, s.Version(), t.lastAccepted, last.verdict.Version)
			}
		}
	}
}

// proposeTickets submits one or two tickets through random nodes: a new one or an
// older one again, and sometimes the same or a competing one with the same number.
func (t *trafficSim) proposeTickets() {
	number := max(t.nextNumber, 1)
	if t.rng.IntN(4) == 0 {
		number = uint64(1 + t.rng.Int64N(int64(number)))
	}
	text := func() string {
		if a, ok := t.accepted[number]; ok && t.rng.IntN(2) == 0 {
			return a.text
		}
		maxRun := []time.Duration{200 * time.Millisecond, time.Second, 3 * time.Second}[t.rng.IntN(3)]
		return simTicketText(number, t.services, maxRun, fmt.Sprint(t.rng.IntN(3)))
	}
	first := text()
	t.submitAnywhere(pollenlatch.Ticket{Number: number, Text: first})
	switch t.rng.IntN(3) {
	case 0:
		t.submitAnywhere(pollenlatch.Ticket{Number: number, Text: first})
	case 1:
		t.submitAnywhere(pollenlatch.Ticket{Number: number, Text: text()})
	}
}

// replaceLostDisk restarts one voter with an empty disk. A ticket that names its new
// incarnation is submitted until it is accepted. A group must tolerate that at any
// time.
func (t *trafficSim) replaceLostDisk() {
	lost := t.nodes[t.voters[t.rng.IntN(len(t.voters))].Name]
	lost.kill()
	lost.replaceDisk()
	lost.haltErr = nil
	lost.start()
	var send func()
	send = func() {
		for _, a := range t.accepted {
			if strings.Contains(a.text, "voters:") {
				return
			}
		}
		group := []pollenlatch.Member{*lost.member}
		for _, m := range t.voters {
			if m.Name != lost.name {
				group = append(group, m)
			}
		}
		t.submitAnywhere(groupTicket(int(t.nextNumber), group...))
		t.after(500*time.Millisecond, send)
	}
	send()
}

// submitAnywhere submits a ticket through a random node.
func (t *trafficSim) submitAnywhere(ticket pollenlatch.Ticket) {
	env := t.nodes[t.names[t.rng.IntN(len(t.names))]].env
	env.whenRunning(env.processEpoch, func() {
		env.nextID++
		env.submitted[env.nextID] = ticket
		env.step(Submitted{Now: env.now(), ID: env.nextID, Ticket: ticket})
	})
}

// injectServerFault injects or ends a random fault of a server or disk, or starts a
// drain or a ticket.
func (t *trafficSim) injectServerFault() {
	env := t.nodes[t.names[t.rng.IntN(len(t.names))]].env
	switch t.rng.IntN(10) {
	case 9:
		env.restartServer()
	case 0, 1:
		env.serverFrozen = true
	case 2, 3:
		env.thawServer()
	case 4:
		env.whenRunning(env.processEpoch, func() { env.step(DrainRequested{Now: env.now()}) })
	case 5, 6:
		t.proposeTickets()
	case 7:
		env.maxDiskDelay = t.randomDuration(80*time.Millisecond) + 1
	case 8:
		env.diskFails = t.rng.IntN(2) == 0
		if env.haltErr != nil {
			env.kill()
			env.diskFails, env.haltErr = false, nil
			env.start()
		}
	}
}

// restartServer replaces the server process. Its requests and grants are lost.
func (env *nodeEnv) restartServer() {
	env.serverEpoch++
	env.serverFrozen, env.serverBuffer, env.serverGrants, env.serverGrantSeq = false, nil, nil, 0
	for _, list := range env.traffic.running {
		for _, req := range list {
			req.finished = req.finished || req.env == env
		}
	}
	env.endpoint.Incarnation++
	env.whenRunning(env.processEpoch, func() {
		env.grantsConfirmed = false
		env.step(Announced{Now: env.now(), Endpoint: env.endpoint})
	})
}

func (env *nodeEnv) thawServer() {
	env.serverFrozen = false
	buffer := env.serverBuffer
	env.serverBuffer = nil
	// The messages came on several connections, so they have no order.
	env.sim.rng.Shuffle(len(buffer), func(i, j int) { buffer[i], buffer[j] = buffer[j], buffer[i] })
	for _, f := range buffer {
		f()
	}
}

// endAllFaults ends all faults, including those of servers and disks.
func (t *trafficSim) endAllFaults() {
	for _, name := range t.names {
		env := t.nodes[name].env
		env.thawServer()
		env.maxDiskDelay, env.diskFails = 0, false
		if env.haltErr != nil {
			env.haltErr = nil
			env.kill()
		}
	}
	t.endFaults()
}
