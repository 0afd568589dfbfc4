package scale

import (
	"context"
	"fmt"
	"time"

	"pollenlatch"
	"pollenlatch/ctrl"
	"pollenlatch/pack"
)

// renewRounds is how many renewals of each daemon one point averages.
const renewRounds = 50

// reportKeys and reportRanges are what package sketch puts into a report by
// default: 8 hot keys, and ranges up to 640 bytes in all.
const (
	reportKeys   = 8
	reportRanges = 16
)

// measureRenewals measures the leader's costs of renewals, and a daemon's own.
func measureRenewals(ctx context.Context, r *Report) error {
	for _, n := range daemonSizes {
		w, g, err := groupOf(ctx, r.Seed, n)
		if err != nil {
			return err
		}
		// Every tenth renewal carries a load report.
		var sum cost
		request := 0
		for range renewRounds {
			for i := range g.daemons {
				g.daemons[i].load = nil
				if (i+int(g.daemons[i].seq))%10 == 0 {
					g.daemons[i].load = loadOf(i, w)
				}
			}
			if len(g.daemons) > 1 {
				request += len(encoded(&pollenlatch.Message{Renew: g.daemons[1].renewal()}))
			}
			g.now = g.now.Add(ctrl.DefaultTiming().Renew / 2) // ticks of the other half are measured below
			c := g.renew()
			sum.cpu += c.cpu
			sum.messages += c.messages
			sum.bytes += c.bytes
			sum.wire += c.wire
			g.now = g.now.Add(ctrl.DefaultTiming().Renew / 2)
			if err := g.heartbeat(); err != nil {
				return err
			}
		}
		messages := float64(sum.messages)
		r.add(Renew, "leader, one renewal", "daemon", "µs", float64(n), micros(sum.cpu)/messages)
		r.add(Renew, "leader, all renewals of a second", "daemon", "ms/s", float64(n), millis(sum.cpu)/renewRounds*10)
		r.add(Renew, "answer, encoded", "daemon", "B", float64(n), float64(sum.bytes)/messages)
		r.add(Renew, "answer, on the wire", "daemon", "B", float64(n), float64(sum.wire)/messages)
		r.add(Renew, "request, encoded, mean", "daemon", "B", float64(n), float64(request)/renewRounds)
		r.add(Renew, "leader, ticks of a second without events", "daemon", "ms/s", float64(n), g.idle())
		if err := daemonRenewals(r, w, float64(n)); err != nil {
			return err
		}
	}
	return nil
}

// heartbeat lets the voters exchange heartbeats at the present time.
func (g *group) heartbeat() error {
	for i := range g.voters {
		g.step(i, ctrl.Tick{Now: g.now})
	}
	if g.leader() < 0 {
		return errUnsettled
	}
	return nil
}

// idle returns the leader's processor time, in ms, for the ticks of a second in
// which nothing happens but heartbeats.
func (g *group) idle() float64 {
	const ticks = 200
	g.spent = cost{}
	for range ticks {
		g.tick()
	}
	return millis(g.spent.cpu) / ticks * 100
}

// loadOf returns a load report as large as daemons send.
func loadOf(i int, w *world) *pollenlatch.Load {
	l := &pollenlatch.Load{InFlight: 8, Queued: 2, Rate: 13_500, MedianLatency: 2 * time.Millisecond}
	w.s.EachOwned(pollenlatch.InstanceID(i+1), listing, func(o pollenlatch.Owner) bool {
		l.Ranges = append(l.Ranges, pollenlatch.RangeLoad{Service: listing, Range: o.Range, Rate: 126})
		if len(l.HotKeys) < reportKeys {
			l.HotKeys = append(l.HotKeys, pollenlatch.HotKey{Service: listing, Key: fmt.Sprintf("lot-%06d", o.Range), Rate: 15})
		}
		return len(l.Ranges) < reportRanges
	})
	return l
}

// daemonRenewals measures a daemon's own reducer over 100 s of its time.
func daemonRenewals(r *Report, w *world, size float64) error {
	const seconds = 100
	d, err := newDaemon(w)
	if err != nil {
		return err
	}
	load := loadOf(0, w)
	bytes, wire, renewals := 0, 0, 0
	start := cpu()
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
			answer := d.extend(m.Renew)
			for _, x := range []*pollenlatch.Message{m, answer} {
				n := len(encoded(x))
				bytes += n
				wire += wireBytes(n)
			}
			d.receive(answer)
		}
	}
	spent := cpu() - start
	r.add(Renew, "daemon, reducer in a second", "daemon", "µs/s", size, micros(spent)/seconds)
	r.add(Renew, "daemon, renewals in a second", "daemon", "1/s", size, float64(renewals)/seconds)
	r.add(Renew, "daemon, encoded in both directions", "daemon", "B/s", size, float64(bytes)/seconds)
	r.add(Renew, "daemon, on the wire in both directions", "daemon", "B/s", size, float64(wire)/seconds)
	return nil
}

// measured is a daemon with a real reducer.
type measured struct {
	r     *ctrl.Reducer
	now   pollenlatch.MonoTime
	lease pollenlatch.Lease
	pub   ctrl.Access
}

// newDaemon returns daemon 0 of a world, which has loaded the state by pieces
// and holds its lease.
func newDaemon(w *world) (*measured, error) {
	me, ok := w.s.InstanceByName(daemonName(0))
	if !ok {
		return nil, errUnsettled
	}
	d := &measured{lease: me.Lease}
	d.r = ctrl.New(ctrl.Config{
		Self:   pollenlatch.Join{Name: me.Name, DC: me.DC, Addr: me.Addr, Front: me.Front, Incarnation: me.Incarnation},
		Voters: []pollenlatch.Member{{Name: voterName(0), Incarnation: 1, Addr: voterName(0)}},
		Timing: ctrl.DefaultTiming(),
	})
	d.step(ctrl.Boot{})
	data, err := pack.Compress(w.data)
	if err != nil {
		return nil, err
	}
	for off := 0; off < len(data); off += pieceBytes {
		d.receive(&pollenlatch.Message{Delta: &pollenlatch.Delta{Chunk: &pollenlatch.SnapshotChunk{
			Version: w.s.Version(), Offset: uint64(off), Total: uint64(len(data)), Data: data[off:min(off+pieceBytes, len(data))],
		}}})
	}
	d.now = d.now.Add(ctrl.DefaultTiming().Renew)
	for _, m := range d.step(ctrl.Tick{Now: d.now}) {
		if m.Renew != nil {
			d.receive(d.extend(m.Renew))
		}
	}
	if d.pub.LeaseEnd <= d.now || d.pub.View.Version() != w.s.Version() {
		return nil, fmt.Errorf("the measured daemon holds version %d and no lease", d.pub.View.Version())
	}
	return d, nil
}

func (d *measured) extend(m *pollenlatch.Renew) *pollenlatch.Message {
	return &pollenlatch.Message{RenewReply: &pollenlatch.RenewReply{
		Seq: m.Seq, Lease: d.lease, TTL: ctrl.DefaultTiming().Lease, Version: m.Version, InForce: m.Version,
	}}
}

func (d *measured) receive(m *pollenlatch.Message) {
	d.step(ctrl.Received{Now: d.now, From: voterName(0), Message: m})
}

// step returns the messages that the daemon sends.
func (d *measured) step(ev ctrl.Event) []*pollenlatch.Message {
	var out []*pollenlatch.Message
	for _, e := range d.r.Step(ev) {
		switch e := e.(type) {
		case ctrl.Send:
			out = append(out, e.Message)
		case ctrl.Publish:
			d.pub = e.Access
		}
	}
	return out
}

// take returns the processor time for decoding and applying encoded deltas.
func (d *measured) take(deltas [][]byte) (time.Duration, error) {
	start := cpu()
	for _, b := range deltas {
		m := new(pollenlatch.Message)
		if err := pollenlatch.Decode(b, m); err != nil {
			return 0, fmt.Errorf("decode a delta: %w", err)
		}
		d.receive(m)
	}
	return cpu() - start, nil
}

// follow takes the deltas that the group has sent to daemon 0 since the last
// call, and returns their processor time and encoded bytes.
func (d *measured) follow(g *group) (spent time.Duration, size int, err error) {
	var deltas [][]byte
	for _, m := range g.deltas {
		b := encoded(m)
		deltas = append(deltas, b)
		size += len(b)
	}
	g.deltas = nil
	spent, err = d.take(deltas)
	return spent, size, err
}

// repeats is how many times a small step is measured for one point.
const repeats = 20

// measureDeltas measures the fan-out of one entry with one assignment and with
// more of them: a daemon moves ranges to another one by its own hand-over.
func measureDeltas(ctx context.Context, r *Report) error {
	for _, n := range daemonSizes {
		_, g, err := groupOf(ctx, r.Seed, n)
		if err != nil {
			return err
		}
		sum := cost{}
		for i := range repeats {
			c, err := g.announce(1 + i%(n-1))
			if err != nil {
				return err
			}
			sum.cpu += c.cpu
			sum.messages += c.messages
			sum.bytes += c.bytes
		}
		r.add(Delta, "leader, one small entry to all", "daemon", "ms", float64(n), millis(sum.cpu)/repeats)
		r.add(Delta, "leader, one small entry to one daemon", "daemon", "µs", float64(n), micros(sum.cpu)/float64(sum.messages))
		r.add(Delta, "one small entry, encoded", "daemon", "B", float64(n), float64(sum.bytes)/float64(sum.messages))
	}
	return deltaAtDaemon(r)
}

// announce lets a daemon change its endpoint's facts, which is one entry.
func (g *group) announce(i int) (cost, error) {
	d := &g.daemons[i]
	me, _ := g.state().InstanceByName(d.name)
	facts := *me.Endpoint
	facts.Slots++
	m := d.renewal()
	m.Endpoint = &facts
	g.spent = cost{}
	g.step(g.leader(), ctrl.Received{Now: g.now, From: d.name, Message: &pollenlatch.Message{Renew: m}})
	spent := g.spent
	if !g.caughtUp() {
		return cost{}, errUnsettled
	}
	g.tick()
	return spent, nil
}

// deltaAtDaemon measures entries with 1, 107 and 1,000 assignments at a daemon.
func deltaAtDaemon(r *Report) error {
	w, err := newWorld(r.Seed, targetDaemons, targetBits)
	if err != nil {
		return err
	}
	d, err := newDaemon(w)
	if err != nil {
		return err
	}
	at := w.s.Version()
	for _, n := range []int{1, 107, 1000} {
		var deltas [][]byte
		bytes := 0
		for k := range repeats {
			f := new(pollenlatch.Freeze)
			for i := range n {
				o, _ := w.s.ShardOwner(pollenlatch.Shard{Service: listing, Range: pollenlatch.Range((k*n + i) * 23 % (1 << targetBits))})
				f.Items = append(f.Items, pollenlatch.FreezeItem{Shard: o.Shard, To: 1 + o.Instance%targetDaemons, ExpectedFence: o.Fence})
			}
			b := encoded(&pollenlatch.Message{Delta: &pollenlatch.Delta{From: at, Commands: []pollenlatch.Command{{Freeze: f}}}})
			at++
			deltas = append(deltas, b)
			bytes += len(b)
		}
		spent, err := d.take(deltas)
		if err != nil {
			return err
		}
		if got := d.pub.View.Version(); got != at {
			return fmt.Errorf("the measured daemon holds version %d, not %d", got, at)
		}
		r.add(Delta, "daemon, one entry by items", "item", "µs", float64(n), micros(spent)/repeats)
		r.add(Delta, "one entry by items, encoded", "item", "B", float64(n), float64(bytes)/repeats)
	}
	return nil
}

// measureLosses measures the loss of one instance at several sizes, and of
// several instances at the target size.
func measureLosses(ctx context.Context, r *Report) error {
	for _, n := range daemonSizes {
		if err := measureLoss(ctx, r, n, []int{n / 2}, "one instance lost", "daemon", float64(n)); err != nil {
			return err
		}
	}
	for _, k := range []int{1, daemonsByRack, daemonsByDC} {
		lost := make([]int, k)
		for i := range lost {
			lost[i] = 1 + i*targetDCs // all in one data centre
		}
		if err := measureLoss(ctx, r, targetDaemons, lost, "instances lost of 4,900", "instance lost", float64(k)); err != nil {
			return err
		}
	}
	return nil
}

func measureLoss(ctx context.Context, r *Report, daemons int, lost []int, name, size string, x float64) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	w, err := newWorld(r.Seed, daemons, targetBits)
	if err != nil {
		return err
	}
	g, err := newGroup(r.Seed, w)
	if err != nil {
		return err
	}
	d, err := newDaemon(w)
	if err != nil {
		return err
	}
	if _, _, err := d.follow(g); err != nil {
		return err
	}
	for _, i := range lost {
		g.daemons[i].up = false
	}
	g.spent = cost{}
	begin := g.now
	if err := g.settle(func() bool { return g.repaired(lost) && g.caughtUp() }); err != nil {
		return err
	}
	c := g.spent
	r.add(Loss, name+": leader", size, "ms", x, millis(c.cpu))
	r.add(Loss, name+": leader, longest event", size, "ms", x, millis(c.longest))
	r.add(Loss, name+": messages to daemons", size, "1", x, float64(c.messages))
	r.add(Loss, name+": encoded to daemons", size, "MB", x, float64(c.bytes)/1e6)
	r.add(Loss, name+": on the wire to daemons", size, "MB", x, float64(c.wire)/1e6)
	r.add(Loss, name+": encoded to voters", size, "MB", x, float64(c.quorum)/1e6)
	r.add(Loss, name+": until all know, without processor and network", size, "ms", x, millis(g.now.Sub(begin)))
	spent, total, err := d.follow(g)
	if err != nil {
		return err
	}
	if got, want := d.pub.View.Version(), g.state().Version(); got != want {
		return fmt.Errorf("the measured daemon holds version %d, not %d", got, want)
	}
	r.add(Loss, name+": a daemon", size, "ms", x, millis(spent))
	r.add(Loss, name+": encoded to one daemon", size, "KB", x, float64(total)/1e3)
	return nil
}

// repaired reports whether the lost daemons have no lease and no shard is
// without an owner.
func (g *group) repaired(lost []int) bool {
	s := g.state()
	for _, i := range lost {
		if me, ok := s.InstanceByName(g.daemons[i].name); !ok || me.Alive() {
			return false
		}
	}
	whole := true
	s.EachOwned(0, listing, func(pollenlatch.Owner) bool {
		whole = false
		return false
	})
	return whole
}

// measureTickets measures a ticket from the proposal until every daemon was
// told that it is in force.
func measureTickets(ctx context.Context, r *Report) error {
	for _, n := range daemonSizes {
		_, g, err := groupOf(ctx, r.Seed, n)
		if err != nil {
			return err
		}
		var sum cost
		var took time.Duration
		const tickets = 5
		for i := range tickets {
			g.spent = cost{}
			begin, number := g.now, uint64(i+2)
			t := pollenlatch.Ticket{Number: number, Sender: "scale", Text: ticketText(number)}
			g.step(g.leader(), ctrl.Received{Now: g.now, From: g.daemons[1].name, Message: &pollenlatch.Message{
				Propose: &pollenlatch.Propose{Seq: number, Ticket: t},
			}})
			rec, ok := g.state().Ticket(number)
			if !ok || !rec.Verdict.Accepted {
				return fmt.Errorf("ticket %d was not accepted: %v", number, rec.Verdict.Faults)
			}
			sum.cpu += g.spent.cpu
			sum.bytes += g.spent.bytes
			sum.messages += g.spent.messages
			if err := g.settle(func() bool { return g.forced(rec.Verdict.Version) }); err != nil {
				return err
			}
			took += g.now.Sub(begin)
		}
		r.add(Ticket, "leader, commit and push to all", "daemon", "ms", float64(n), millis(sum.cpu)/tickets)
		r.add(Ticket, "encoded to one daemon", "daemon", "B", float64(n), float64(sum.bytes)/float64(sum.messages))
		r.add(Ticket, "until all were told it is in force, without processor and network", "daemon", "ms", float64(n), millis(took)/tickets)
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
