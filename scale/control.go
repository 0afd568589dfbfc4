package scale

import (
	"context"
	"fmt"
	"time"

	"pollenlatch"
	"pollenlatch/ctrl"
	"pollenlatch/pack"
)

// renewRounds is the number of renewals of each daemon that one point averages.
const renewRounds = 50

// Sizes of a load report by the defaults of package sketch.
const (
	reportKeys   = 8
	reportRanges = 16 // as many as fit into 640 bytes
)

// measureRenewals measures the costs of lease renewals at the leader and at a
// daemon.
func measureRenewals(ctx context.Context, r *Report) error {
	for _, n := range daemonSizes {
		initial, g, err := newTargetGroup(ctx, r.Seed, n)
		if err != nil {
			return err
		}
		var sum leaderCost
		renewBytes := 0
		for range renewRounds {
			for i := range g.daemons {
				g.daemons[i].load = nil
				if (i+int(g.daemons[i].seq))%10 == 0 { // every tenth renewal carries a load report
					g.daemons[i].load = newLoadReport(i, initial)
				}
			}
			if len(g.daemons) > 1 {
				renewBytes += len(encodeMessage(&pollenlatch.Message{Renew: g.daemons[1].nextRenew()}))
			}
			g.now = g.now.Add(ctrl.DefaultTiming().Renew / 2) // ticks are measured by idleTicksMillis
			c := g.renewAll()
			sum.cpuTime += c.cpuTime
			sum.messages += c.messages
			sum.encodedBytes += c.encodedBytes
			sum.wireBytes += c.wireBytes
			g.now = g.now.Add(ctrl.DefaultTiming().Renew / 2)
			if err := g.tickVoters(); err != nil {
				return err
			}
		}
		messages := float64(sum.messages)
		r.add(PartRenew, "leader, one renewal", "daemon", "µs", float64(n), micros(sum.cpuTime)/messages)
		r.add(PartRenew, "leader, all renewals of a second", "daemon", "ms/s", float64(n), millis(sum.cpuTime)/renewRounds*10)
		r.add(PartRenew, "answer, encoded", "daemon", "B", float64(n), float64(sum.encodedBytes)/messages)
		r.add(PartRenew, "answer, on the wire", "daemon", "B", float64(n), float64(sum.wireBytes)/messages)
		r.add(PartRenew, "request, encoded, mean", "daemon", "B", float64(n), float64(renewBytes)/renewRounds)
		r.add(PartRenew, "leader, ticks of a second without events", "daemon", "ms/s", float64(n), g.idleTicksMillis())
		if err := measureDaemonRenewals(r, initial, float64(n)); err != nil {
			return err
		}
	}
	return nil
}

// tickVoters lets the voters exchange heartbeats without advancing the time.
func (g *group) tickVoters() error {
	for i := range g.voters {
		g.stepAndDeliver(i, ctrl.Tick{Now: g.now})
	}
	if g.leaderIndex() < 0 {
		return errUnsettled
	}
	return nil
}

// idleTicksMillis returns the leader's processor time, in ms, for the ticks of one
// second with nothing but heartbeats between voters.
func (g *group) idleTicksMillis() float64 {
	const ticks = 200
	g.cost = leaderCost{}
	for range ticks {
		g.tick()
	}
	return millis(g.cost.cpuTime) / ticks * 100
}

// newLoadReport returns a load report of daemon i with as many keys and ranges as
// daemons send.
func newLoadReport(i int, initial *initialState) *pollenlatch.Load {
	l := &pollenlatch.Load{InFlight: 8, Queued: 2, Rate: 13_500, MedianLatency: 2 * time.Millisecond}
	initial.state.EachOwned(pollenlatch.InstanceID(i+1), listing, func(o pollenlatch.Owner) bool {
		l.Ranges = append(l.Ranges, pollenlatch.RangeLoad{Service: listing, Range: o.Range, Rate: 126})
		if len(l.HotKeys) < reportKeys {
			l.HotKeys = append(l.HotKeys, pollenlatch.HotKey{Service: listing, Key: fmt.Sprintf("lot-%06d", o.Range), Rate: 15})
		}
		return len(l.Ranges) < reportRanges
	})
	return l
}

// measureDaemonRenewals measures the renewals of one daemon, by its reducer, over
// 100 s of simulated time.
func measureDaemonRenewals(r *Report, initial *initialState, daemons float64) error {
	const seconds = 100
	d, err := newMeasuredDaemon(initial)
	if err != nil {
		return err
	}
	load := newLoadReport(0, initial)
	encodedBytes, bytesOnWire, renewals := 0, 0, 0
	start := cpuTime()
	for i := range seconds * 100 {
		if i%100 == 0 {
			d.step(ctrl.LoadReported{Now: d.now, Load: *load})
		}
		d.now = d.now.Add(ctrl.TickInterval)
		for _, m := range d.step(ctrl.Tick{Now: d.now}) {
			if m.Renew == nil {
				continue
			}
			renewals++
			reply := d.renewReply(m.Renew)
			for _, x := range []*pollenlatch.Message{m, reply} {
				n := len(encodeMessage(x))
				encodedBytes += n
				bytesOnWire += wireBytes(n)
			}
			d.receive(reply)
		}
	}
	spent := cpuTime() - start
	r.add(PartRenew, "daemon, reducer in a second", "daemon", "µs/s", daemons, micros(spent)/seconds)
	r.add(PartRenew, "daemon, renewals in a second", "daemon", "1/s", daemons, float64(renewals)/seconds)
	r.add(PartRenew, "daemon, encoded in both directions", "daemon", "B/s", daemons, float64(encodedBytes)/seconds)
	r.add(PartRenew, "daemon, on the wire in both directions", "daemon", "B/s", daemons, float64(bytesOnWire)/seconds)
	return nil
}

// measuredDaemon is a daemon with a real reducer, whose costs are measured.
type measuredDaemon struct {
	reducer *ctrl.Reducer
	now     pollenlatch.MonoTime
	lease   pollenlatch.Lease
	access  ctrl.Access
}

// newMeasuredDaemon returns daemon 0 of an initial state. It has loaded the state
// in snapshot chunks and holds a lease.
func newMeasuredDaemon(initial *initialState) (*measuredDaemon, error) {
	instance, ok := initial.state.InstanceByName(daemonName(0))
	if !ok {
		return nil, errUnsettled
	}
	d := &measuredDaemon{lease: instance.Lease}
	d.reducer = ctrl.New(ctrl.Config{
		Self:   pollenlatch.Join{Name: instance.Name, DC: instance.DC, Addr: instance.Addr, Front: instance.Front, Incarnation: instance.Incarnation},
		Voters: []pollenlatch.Member{{Name: voterName(0), Incarnation: 1, Addr: voterName(0)}},
		Timing: ctrl.DefaultTiming(),
	})
	d.step(ctrl.Boot{})
	data, err := pack.Compress(initial.snapshot)
	if err != nil {
		return nil, err
	}
	for offset := 0; offset < len(data); offset += chunkBytes {
		d.receive(&pollenlatch.Message{Delta: &pollenlatch.Delta{Chunk: &pollenlatch.SnapshotChunk{
			Version: initial.state.Version(), Offset: uint64(offset), Total: uint64(len(data)), Data: data[offset:min(offset+chunkBytes, len(data))],
		}}})
	}
	d.now = d.now.Add(ctrl.DefaultTiming().Renew)
	for _, m := range d.step(ctrl.Tick{Now: d.now}) {
		if m.Renew != nil {
			d.receive(d.renewReply(m.Renew))
		}
	}
	if d.access.LeaseEnd <= d.now || d.access.View.Version() != initial.state.Version() {
		return nil, fmt.Errorf("measured daemon has version %d and no lease", d.access.View.Version())
	}
	return d, nil
}

// renewReply returns the leader's reply that extends the lease.
func (d *measuredDaemon) renewReply(m *pollenlatch.Renew) *pollenlatch.Message {
	return &pollenlatch.Message{RenewReply: &pollenlatch.RenewReply{
		Seq: m.Seq, Lease: d.lease, TTL: ctrl.DefaultTiming().Lease, Version: m.Version, InForce: m.Version,
	}}
}

func (d *measuredDaemon) receive(m *pollenlatch.Message) {
	d.step(ctrl.Received{Now: d.now, From: voterName(0), Message: m})
}

// step passes an event to the reducer and returns the messages that it sends.
func (d *measuredDaemon) step(ev ctrl.Event) []*pollenlatch.Message {
	var out []*pollenlatch.Message
	for _, e := range d.reducer.Step(ev) {
		switch e := e.(type) {
		case ctrl.Send:
			out = append(out, e.Message)
		case ctrl.Publish:
			d.access = e.Access
		}
	}
	return out
}

// applyEncoded decodes and applies encoded deltas and returns the processor time.
func (d *measuredDaemon) applyEncoded(deltas [][]byte) (time.Duration, error) {
	start := cpuTime()
	for _, b := range deltas {
		m := new(pollenlatch.Message)
		if err := pollenlatch.Decode(b, m); err != nil {
			return 0, fmt.Errorf("decode a delta: %w", err)
		}
		d.receive(m)
	}
	return cpuTime() - start, nil
}

// catchUp applies the deltas that the group has sent to daemon 0 since the last
// call. It returns the processor time and the size of the encoded deltas.
func (d *measuredDaemon) catchUp(g *group) (spent time.Duration, deltaBytes int, err error) {
	var deltas [][]byte
	for _, m := range g.measuredDeltas {
		b := encodeMessage(m)
		deltas = append(deltas, b)
		deltaBytes += len(b)
	}
	g.measuredDeltas = nil
	spent, err = d.applyEncoded(deltas)
	return spent, deltaBytes, err
}

// repetitions is the number of times that a short operation is repeated for one
// point.
const repetitions = 20

// measureDeltas measures what it costs the leader to send a small entry to all
// daemons, and what entries with more items cost a daemon.
func measureDeltas(ctx context.Context, r *Report) error {
	for _, n := range daemonSizes {
		_, g, err := newTargetGroup(ctx, r.Seed, n)
		if err != nil {
			return err
		}
		sum := leaderCost{}
		for i := range repetitions {
			c, err := g.announceEndpoint(1 + i%(n-1))
			if err != nil {
				return err
			}
			sum.cpuTime += c.cpuTime
			sum.messages += c.messages
			sum.encodedBytes += c.encodedBytes
		}
		r.add(PartDelta, "leader, one small entry to all", "daemon", "ms", float64(n), millis(sum.cpuTime)/repetitions)
		r.add(PartDelta, "leader, one small entry to one daemon", "daemon", "µs", float64(n), micros(sum.cpuTime)/float64(sum.messages))
		r.add(PartDelta, "one small entry, encoded", "daemon", "B", float64(n), float64(sum.encodedBytes)/float64(sum.messages))
	}
	return measureDaemonDeltas(r)
}

// announceEndpoint lets a daemon change its endpoint, which adds one entry to the
// log, and returns the leader's cost.
func (g *group) announceEndpoint(i int) (leaderCost, error) {
	d := &g.daemons[i]
	instance, _ := g.leaderState().InstanceByName(d.name)
	endpoint := *instance.Endpoint
	endpoint.Slots++
	m := d.nextRenew()
	m.Endpoint = &endpoint
	g.cost = leaderCost{}
	g.stepAndDeliver(g.leaderIndex(), ctrl.Received{Now: g.now, From: d.name, Message: &pollenlatch.Message{Renew: m}})
	announceCost := g.cost
	if !g.allCaughtUp() {
		return leaderCost{}, errUnsettled
	}
	g.tick()
	return announceCost, nil
}

// measureDaemonDeltas measures entries with 1, 107 and 1,000 items at a daemon.
func measureDaemonDeltas(r *Report) error {
	initial, err := newInitialState(r.Seed, targetDaemons, targetRangeBits)
	if err != nil {
		return err
	}
	d, err := newMeasuredDaemon(initial)
	if err != nil {
		return err
	}
	version := initial.state.Version()
	for _, n := range []int{1, 107, 1000} {
		var deltas [][]byte
		encodedBytes := 0
		for k := range repetitions {
			f := new(pollenlatch.Freeze)
			for i := range n {
				o, _ := initial.state.ShardOwner(pollenlatch.Shard{Service: listing, Range: pollenlatch.Range((k*n + i) * 23 % (1 << targetRangeBits))})
				f.Items = append(f.Items, pollenlatch.FreezeItem{Shard: o.Shard, To: 1 + o.Instance%targetDaemons, ExpectedFence: o.Fence})
			}
			b := encodeMessage(&pollenlatch.Message{Delta: &pollenlatch.Delta{From: version, Commands: []pollenlatch.Command{{Freeze: f}}}})
			version++
			deltas = append(deltas, b)
			encodedBytes += len(b)
		}
		spent, err := d.applyEncoded(deltas)
		if err != nil {
			return err
		}
		if got := d.access.View.Version(); got != version {
			return fmt.Errorf("measured daemon has version %d, want %d", got, version)
		}
		r.add(PartDelta, "daemon, one entry by items", "item", "µs", float64(n), micros(spent)/repetitions)
		r.add(PartDelta, "one entry by items, encoded", "item", "B", float64(n), float64(encodedBytes)/repetitions)
	}
	return nil
}

// measureLosses measures the loss of one instance at all sizes, and the loss of one
// instance, a rack and a data centre at the target size.
func measureLosses(ctx context.Context, r *Report) error {
	for _, n := range daemonSizes {
		if err := measureLoss(ctx, r, n, []int{n / 2}, "one instance lost", "daemon", float64(n)); err != nil {
			return err
		}
	}
	for _, count := range []int{1, daemonsPerRack, daemonsPerDC} {
		lost := make([]int, count)
		for i := range lost {
			lost[i] = 1 + i*targetDCs // all in one data centre
		}
		if err := measureLoss(ctx, r, targetDaemons, lost, "instances lost of 4,900", "instance lost", float64(count)); err != nil {
			return err
		}
	}
	return nil
}

// measureLoss measures the costs from the loss of instances until their shards are
// reassigned and all other daemons are up to date.
func measureLoss(ctx context.Context, r *Report, daemons int, lost []int, name, sizeUnit string, x float64) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	initial, err := newInitialState(r.Seed, daemons, targetRangeBits)
	if err != nil {
		return err
	}
	g, err := newGroup(r.Seed, initial)
	if err != nil {
		return err
	}
	d, err := newMeasuredDaemon(initial)
	if err != nil {
		return err
	}
	if _, _, err := d.catchUp(g); err != nil {
		return err
	}
	for _, i := range lost {
		g.daemons[i].running = false
	}
	g.cost = leaderCost{}
	lostAt := g.now
	if err := g.tickUntil(func() bool { return g.recovered(lost) && g.allCaughtUp() }); err != nil {
		return err
	}
	c := g.cost
	r.add(PartLoss, name+": leader", sizeUnit, "ms", x, millis(c.cpuTime))
	r.add(PartLoss, name+": leader, longest event", sizeUnit, "ms", x, millis(c.longestEvent))
	r.add(PartLoss, name+": messages to daemons", sizeUnit, "1", x, float64(c.messages))
	r.add(PartLoss, name+": encoded to daemons", sizeUnit, "MB", x, float64(c.encodedBytes)/1e6)
	r.add(PartLoss, name+": on the wire to daemons", sizeUnit, "MB", x, float64(c.wireBytes)/1e6)
	r.add(PartLoss, name+": encoded to voters", sizeUnit, "MB", x, float64(c.voterBytes)/1e6)
	r.add(PartLoss, name+": until all know, without processor and network", sizeUnit, "ms", x, millis(g.now.Sub(lostAt)))
	spent, encodedBytes, err := d.catchUp(g)
	if err != nil {
		return err
	}
	if got, want := d.access.View.Version(), g.leaderState().Version(); got != want {
		return fmt.Errorf("measured daemon has version %d, want %d", got, want)
	}
	r.add(PartLoss, name+": a daemon", sizeUnit, "ms", x, millis(spent))
	r.add(PartLoss, name+": encoded to one daemon", sizeUnit, "KB", x, float64(encodedBytes)/1e3)
	return nil
}

// recovered reports whether the lost daemons have no lease any more and every shard
// has an owner.
func (g *group) recovered(lost []int) bool {
	s := g.leaderState()
	for _, i := range lost {
		if me, ok := s.InstanceByName(g.daemons[i].name); !ok || me.Alive() {
			return false
		}
	}
	allOwned := true
	s.EachOwned(0, listing, func(pollenlatch.Owner) bool {
		allOwned = false
		return false
	})
	return allOwned
}

// measureTickets measures tickets from their proposal until every daemon has
// received that they are in force.
func measureTickets(ctx context.Context, r *Report) error {
	for _, n := range daemonSizes {
		_, g, err := newTargetGroup(ctx, r.Seed, n)
		if err != nil {
			return err
		}
		var sum leaderCost
		var elapsed time.Duration
		const tickets = 5
		for i := range tickets {
			g.cost = leaderCost{}
			proposedAt, number := g.now, uint64(i+2)
			t := pollenlatch.Ticket{Number: number, Sender: "scale", Text: ticketText(number)}
			g.stepAndDeliver(g.leaderIndex(), ctrl.Received{Now: g.now, From: g.daemons[1].name, Message: &pollenlatch.Message{
				Propose: &pollenlatch.Propose{Seq: number, Ticket: t},
			}})
			rec, ok := g.leaderState().Ticket(number)
			if !ok || !rec.Verdict.Accepted {
				return fmt.Errorf("ticket %d was not accepted: %v", number, rec.Verdict.Faults)
			}
			sum.cpuTime += g.cost.cpuTime
			sum.encodedBytes += g.cost.encodedBytes
			sum.messages += g.cost.messages
			if err := g.tickUntil(func() bool { return g.allInForce(rec.Verdict.Version) }); err != nil {
				return err
			}
			elapsed += g.now.Sub(proposedAt)
		}
		r.add(PartTicket, "leader, commit and push to all", "daemon", "ms", float64(n), millis(sum.cpuTime)/tickets)
		r.add(PartTicket, "encoded to one daemon", "daemon", "B", float64(n), float64(sum.encodedBytes)/float64(sum.messages))
		r.add(PartTicket, "until all were told it is in force, without processor and network", "daemon", "ms", float64(n), millis(elapsed)/tickets)
	}
	return nil
}

// ticketText returns a ticket that changes one service.
func ticketText(number uint64) string {
	return fmt.Sprintf(`number: %d
services:
  - name: catalogue
    ranges: 64
    maxrun: 10s
    queue: %d
    weights: {imbalance: 1, churn: 1, unavailable: 8}
    recordttl: 24h
    objectives:
      - {class: normal, availability: 0.999, latency: 50ms, fast: 0.99}
    rules:
      - {kind: view, class: routine}
      - {class: normal}
`, number, 40+number%20)
}
