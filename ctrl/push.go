package ctrl

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"pollenlatch"
	"pollenlatch/pack"
)

const (
	// tailEntries and tailBytes bound the commands kept for daemons that lag.
	// One that lags further gets a snapshot.
	tailEntries = 8192
	tailBytes   = 8 << 20

	// deltaBytes bounds one Delta.
	deltaBytes = 256 << 10

	// historyBytes bounds the commands that a daemon without any state is sent in
	// place of a snapshot, and those that follow an older snapshot: a command
	// may set what a later one sets again.
	historyBytes = 64 << 10

	// mostDecompressed bounds commands and snapshots from other instances, in
	// bytes. The largest change of an operator has 16 MB, and items are kept as
	// text and decoded; the tables of 524,288 ranges have 2.87 MB.
	mostDecompressed = 64 << 20

	// pushRetry is the least time after which commands that a daemon does not
	// show in its renewals are sent again. It is longer than two renewals.
	pushRetry = 300 * time.Millisecond
	// pushRenewals is the same as a number of renewals.
	pushRenewals = 3
)

// sub is a daemon that is told of new commands.
type sub struct {
	life   pollenlatch.Incarnation // of the process
	held   pollenlatch.Version     // as the daemon says
	sent   pollenlatch.Version
	sentAt pollenlatch.MonoTime

	// The daemon is to show due, or what it lacks is sent again. The time is
	// not that of the newest message: commands may follow each other for ever.
	due   pollenlatch.Version
	dueAt pollenlatch.MonoTime // when due was sent

	loading pollenlatch.Version // version of the snapshot that it is receiving; 0 is none
}

// offer is an encoded and compressed snapshot for daemons that lag.
type offer struct {
	version pollenlatch.Version
	data    []byte
}

// tail keeps the newest commands. The zero value is empty.
type tail struct {
	first    pollenlatch.Version // version of commands[0]
	commands []*pollenlatch.Command
	sizes    []int
	bytes    int
	deltas   map[pollenlatch.Version]*pollenlatch.Message // packed, by the version before them
}

// deltasKept bounds the deltas that are kept encoded. Nearly all daemons hold
// the same version, and a few are behind by a little.
const deltasKept = 16

func (t *tail) reset(at pollenlatch.Version) {
	*t = tail{first: at + 1}
}

func (t *tail) add(at pollenlatch.Version, c *pollenlatch.Command, size int) {
	if len(t.commands) == 0 {
		t.first = at
	}
	t.commands = append(t.commands, c)
	t.sizes = append(t.sizes, size)
	t.bytes += size
	t.deltas = nil
	for len(t.commands) > tailEntries || (t.bytes > tailBytes && len(t.commands) > 1) {
		t.bytes -= t.sizes[0]
		t.commands[0] = nil
		t.commands, t.sizes = t.commands[1:], t.sizes[1:]
		t.first++
	}
}

// after returns the commands after version v, up to deltaBytes, or false when
// they are no longer kept.
func (t *tail) after(v pollenlatch.Version) ([]pollenlatch.Command, bool) {
	if v+1 < t.first {
		return nil, false
	}
	var out []pollenlatch.Command
	bytes := 0
	for i := int(v + 1 - t.first); i < len(t.commands) && bytes < deltaBytes; i++ {
		out = append(out, *t.commands[i])
		bytes += t.sizes[i]
	}
	return out, true
}

// heavier reports whether the commands after version v have more than some
// bytes, or are no longer kept.
func (t *tail) heavier(v pollenlatch.Version, most int) bool {
	if v+1 < t.first {
		return true
	}
	sum := 0
	for n := int(v + 1 - t.first); n < len(t.sizes) && sum <= most; n++ {
		sum += t.sizes[n]
	}
	return sum > most
}

// delta returns the commands after version v as a message. Daemons that hold
// the same version share it, and it is encoded once. It is nil when there are
// none; ok is false when they are no longer kept.
func (t *tail) delta(v pollenlatch.Version) (m *pollenlatch.Message, ok bool, err error) {
	if m, ok := t.deltas[v]; ok {
		return m, true, nil
	}
	commands, ok := t.after(v)
	if !ok || len(commands) == 0 {
		return nil, ok, nil
	}
	d, err := compressed(v, commands)
	if err != nil {
		return nil, true, err
	}
	m = &pollenlatch.Message{Delta: d}
	if err := m.Preencode(); err != nil {
		return nil, true, err
	}
	if t.deltas == nil || len(t.deltas) >= deltasKept {
		t.deltas = make(map[pollenlatch.Version]*pollenlatch.Message)
	}
	t.deltas[v] = m
	return m, true, nil
}

// compressed returns commands as a delta, compressed when that pays: the same
// bytes leave by one network link for every daemon.
func compressed(from pollenlatch.Version, commands []pollenlatch.Command) (*pollenlatch.Delta, error) {
	d := &pollenlatch.Delta{From: from, Commands: commands}
	b, err := pollenlatch.Encode(&pollenlatch.Delta{Commands: commands})
	if err != nil || len(b) < pack.MinBytes {
		return d, err
	}
	s, err := pack.Compress(b)
	if err != nil {
		return nil, err
	}
	return &pollenlatch.Delta{From: from, Compressed: s, Count: uint32(len(commands))}, nil
}

// decompressed returns the commands of a delta.
func decompressed(d *pollenlatch.Delta) ([]pollenlatch.Command, error) {
	if len(d.Compressed) == 0 {
		return d.Commands, nil
	}
	b, err := pack.Decompress(d.Compressed, mostDecompressed)
	if err != nil {
		return nil, err
	}
	var inner pollenlatch.Delta
	if err := pollenlatch.Decode(b, &inner); err != nil {
		return nil, err
	}
	if len(inner.Commands) != int(d.Count) {
		return nil, fmt.Errorf("%w: %d of %d", errCount, len(inner.Commands), d.Count)
	}
	return inner.Commands, nil
}

var errCount = errors.New("commands are missing")

// subscribe notes what a daemon holds and sends it what it lacks. A process that
// has just started got nothing of what the one before it was sent.
func (v *voter) subscribe(name string, life pollenlatch.Incarnation, held pollenlatch.Version) {
	if name == v.cfg.Self.Name {
		return
	}
	s, ok := v.subs[name]
	if !ok {
		v.order = append(v.order, name)
	}
	if !ok || s.life != life {
		s = &sub{life: life, sent: held}
		v.subs[name] = s
	}
	s.held = held
	since := s.dueAt
	if v.rules.pushByLast {
		since = s.sentAt
	}
	switch {
	case held > s.sent, held < s.due && v.now.Sub(since) >= v.pushRetry():
		s.sent, s.due = held, held
	case held >= s.due && held < s.sent:
		s.due, s.dueAt = s.sent, v.now
	}
	v.pushTo(name, s, v.log.Members())
}

func (v *voter) pushRetry() time.Duration {
	return max(pushRetry, pushRenewals*v.cfg.Timing.Renew)
}

// push sends new commands to every daemon. A voter applies its own log.
func (v *voter) push() {
	if !v.lead {
		return
	}
	members := v.log.Members()
	for _, name := range v.order {
		v.pushTo(name, v.subs[name], members)
	}
}

func (v *voter) pushTo(name string, s *sub, voters []pollenlatch.Member) {
	if slices.ContainsFunc(voters, func(m pollenlatch.Member) bool { return m.Name == name }) {
		s.sent = v.state.Version()
		return
	}
	if s.loading > s.held && v.now.Sub(s.sentAt) < v.pushRetry() {
		return // it is receiving a snapshot
	}
	s.loading = 0
	if s.held == 0 && s.sent == 0 && v.tail.heavier(0, historyBytes) {
		v.offerSnapshot(name, s)
		return
	}
	for s.sent < v.state.Version() {
		m, ok, err := v.tail.delta(s.sent)
		switch {
		case err != nil:
			v.logf("commands for a daemon not encoded", "to", name, "err", err)
			return
		case !ok:
			v.offerSnapshot(name, s)
			return
		case m == nil:
			return
		}
		v.reply(name, m)
		s.sent += pollenlatch.Version(m.Delta.Len())
		s.note(v.now)
	}
}

// note notes that something was sent.
func (s *sub) note(now pollenlatch.MonoTime) {
	s.sentAt = now
	if s.held >= s.due || s.loading != 0 {
		s.due, s.dueAt = s.sent, now
	}
}

// offerSnapshot sends the first piece of a snapshot; the daemon asks for each
// of the others, so that no more than one waits for it at a time. Daemons share
// a snapshot for as long as the commands after it are kept.
func (v *voter) offerSnapshot(name string, s *sub) {
	if v.offer.data == nil || v.tail.heavier(v.offer.version, historyBytes) {
		b, err := v.state.Snapshot()
		if err == nil {
			b, err = pack.Compress(b)
		}
		if err != nil {
			v.logf("snapshot for a daemon not made", "to", name, "err", err)
			return
		}
		v.offer = offer{version: v.state.Version(), data: b}
	}
	s.loading, s.sent = v.offer.version, v.offer.version
	v.sendPiece(name, s, 0)
}

func (v *voter) onMore(from string, m *pollenlatch.ChunkRequest) {
	s, ok := v.subs[from]
	if !ok || m.Version != v.offer.version || m.Offset >= uint64(len(v.offer.data)) {
		return
	}
	s.loading = v.offer.version
	v.sendPiece(from, s, m.Offset)
}

func (v *voter) sendPiece(name string, s *sub, off uint64) {
	end := min(off+pollenlatch.ChunkBytes, uint64(len(v.offer.data)))
	v.reply(name, &pollenlatch.Message{Delta: &pollenlatch.Delta{Chunk: &pollenlatch.SnapshotChunk{
		Version: v.offer.version, Offset: off, Total: uint64(len(v.offer.data)), Data: v.offer.data[off:end],
	}}})
	s.note(v.now)
}
