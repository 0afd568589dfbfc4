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
	// maxTailEntries and tailBytes bound the commands kept for daemons that lag.
	// One that lags further gets a snapshot.
	maxTailEntries = 8192
	maxTailBytes   = 8 << 20

	// maxDeltaBytes bounds one Delta.
	maxDeltaBytes = 256 << 10

	// maxReplayBytes bounds the commands that a daemon without any state is sent in
	// place of a snapshot, and those that follow an older snapshot: a command
	// may set what a later one sets again.
	maxReplayBytes = 64 << 10

	// maxDecompressedBytes bounds commands and snapshots from other instances, in
	// bytes. The largest change of an operator has 16 MB, and items are kept as
	// text and decoded; the tables of 524,288 ranges have 2.87 MB.
	maxDecompressedBytes = 64 << 20

	// minPushRetry is the least time after which commands that a daemon does not
	// show in its renewals are sent again. It is longer than two renewals.
	minPushRetry = 300 * time.Millisecond
	// pushRetryRenewals is the same as a number of renewals.
	pushRetryRenewals = 3
)

// subscriber is a daemon that is told of new commands.
type subscriber struct {
	incarnation pollenlatch.Incarnation // of the process
	reported    pollenlatch.Version     // as the daemon says
	sent        pollenlatch.Version
	sentAt      pollenlatch.MonoTime

	// The daemon is to show expected, or what it lacks is sent again. The time is
	// not that of the newest message: commands may follow each other for ever.
	expected      pollenlatch.Version
	expectedSince pollenlatch.MonoTime // when due was sent

	snapshotVersion pollenlatch.Version // version of the snapshot that it is receiving; 0 is none
}

// sharedSnapshot is an encoded and compressed snapshot for daemons that lag.
type sharedSnapshot struct {
	version pollenlatch.Version
	data    []byte
}

// commandTail keeps the newest commands. The zero value is empty.
type commandTail struct {
	first        pollenlatch.Version // version of commands[0]
	commands     []*pollenlatch.Command
	sizes        []int
	bytes        int
	cachedDeltas map[pollenlatch.Version]*pollenlatch.Message // packed, by the version before them
}

// maxCachedDeltas bounds the deltas that are kept encoded. Nearly all daemons hold
// the same version, and a few are behind by a little.
const maxCachedDeltas = 16

func (t *commandTail) reset(at pollenlatch.Version) {
	*t = commandTail{first: at + 1}
}

func (t *commandTail) add(at pollenlatch.Version, c *pollenlatch.Command, size int) {
	if len(t.commands) == 0 {
		t.first = at
	}
	t.commands = append(t.commands, c)
	t.sizes = append(t.sizes, size)
	t.bytes += size
	t.cachedDeltas = nil
	for len(t.commands) > maxTailEntries || (t.bytes > maxTailBytes && len(t.commands) > 1) {
		t.bytes -= t.sizes[0]
		t.commands[0] = nil
		t.commands, t.sizes = t.commands[1:], t.sizes[1:]
		t.first++
	}
}

// after returns the commands after version v, up to deltaBytes, or false when
// they are no longer kept.
func (t *commandTail) after(v pollenlatch.Version) ([]pollenlatch.Command, bool) {
	if v+1 < t.first {
		return nil, false
	}
	var commands []pollenlatch.Command
	bytes := 0
	for i := int(v + 1 - t.first); i < len(t.commands) && bytes < maxDeltaBytes; i++ {
		commands = append(commands, *t.commands[i])
		bytes += t.sizes[i]
	}
	return commands, true
}

// exceeds reports whether the commands after version v have more than some
// bytes, or are no longer kept.
func (t *commandTail) exceeds(v pollenlatch.Version, limit int) bool {
	if v+1 < t.first {
		return true
	}
	sum := 0
	for n := int(v + 1 - t.first); n < len(t.sizes) && sum <= limit; n++ {
		sum += t.sizes[n]
	}
	return sum > limit
}

// delta returns the commands after version v as a message. Daemons that hold
// the same version share it, and it is encoded once. It is nil when there are
// none; ok is false when they are no longer kept.
func (t *commandTail) delta(v pollenlatch.Version) (m *pollenlatch.Message, ok bool, err error) {
	if m, ok := t.cachedDeltas[v]; ok {
		return m, true, nil
	}
	commands, ok := t.after(v)
	if !ok || len(commands) == 0 {
		return nil, ok, nil
	}
	d, err := compressDelta(v, commands)
	if err != nil {
		return nil, true, err
	}
	m = &pollenlatch.Message{Delta: d}
	if err := m.Preencode(); err != nil {
		return nil, true, err
	}
	if t.cachedDeltas == nil || len(t.cachedDeltas) >= maxCachedDeltas {
		t.cachedDeltas = make(map[pollenlatch.Version]*pollenlatch.Message)
	}
	t.cachedDeltas[v] = m
	return m, true, nil
}

// compressDelta returns commands as a delta, compressDelta when that pays: the same
// bytes leave by one network link for every daemon.
func compressDelta(from pollenlatch.Version, commands []pollenlatch.Command) (*pollenlatch.Delta, error) {
	d := &pollenlatch.Delta{From: from, Commands: commands}
	b, err := pollenlatch.Encode(&pollenlatch.Delta{Commands: commands})
	if err != nil || len(b) < pack.MinBytes {
		return d, err
	}
	compressed, err := pack.Compress(b)
	if err != nil {
		return nil, err
	}
	return &pollenlatch.Delta{From: from, Compressed: compressed, Count: uint32(len(commands))}, nil
}

// decompressDelta returns the commands of a delta.
func decompressDelta(d *pollenlatch.Delta) ([]pollenlatch.Command, error) {
	if len(d.Compressed) == 0 {
		return d.Commands, nil
	}
	b, err := pack.Decompress(d.Compressed, maxDecompressedBytes)
	if err != nil {
		return nil, err
	}
	var decoded pollenlatch.Delta
	if err := pollenlatch.Decode(b, &decoded); err != nil {
		return nil, err
	}
	if len(decoded.Commands) != int(d.Count) {
		return nil, fmt.Errorf("%w: %d of %d", errMissingCommands, len(decoded.Commands), d.Count)
	}
	return decoded.Commands, nil
}

var errMissingCommands = errors.New("commands are missing")

// updateSubscriber notes what a daemon holds and sends it what it lacks. A process that
// has just started got nothing of what the one before it was sent.
func (v *voter) updateSubscriber(name string, incarnation pollenlatch.Incarnation, reported pollenlatch.Version) {
	if name == v.cfg.Self.Name {
		return
	}
	s, ok := v.subscribers[name]
	if !ok {
		v.subscriberNames = append(v.subscriberNames, name)
	}
	if !ok || s.incarnation != incarnation {
		s = &subscriber{incarnation: incarnation, sent: reported}
		v.subscribers[name] = s
	}
	s.reported = reported
	since := s.expectedSince
	if v.injected.retryFromLastSend {
		since = s.sentAt
	}
	switch {
	case reported > s.sent, reported < s.expected && v.now.Sub(since) >= v.pushRetryInterval():
		s.sent, s.expected = reported, reported
	case reported >= s.expected && reported < s.sent:
		s.expected, s.expectedSince = s.sent, v.now
	}
	v.pushTo(name, s, v.replica.Members())
}

func (v *voter) pushRetryInterval() time.Duration {
	return max(minPushRetry, pushRetryRenewals*v.cfg.Timing.Renew)
}

// pushToAll sends new commands to every daemon. A voter applies its own log.
func (v *voter) pushToAll() {
	if !v.leading {
		return
	}
	members := v.replica.Members()
	for _, name := range v.subscriberNames {
		v.pushTo(name, v.subscribers[name], members)
	}
}

func (v *voter) pushTo(name string, s *subscriber, voters []pollenlatch.Member) {
	if slices.ContainsFunc(voters, func(m pollenlatch.Member) bool { return m.Name == name }) {
		s.sent = v.state.Version()
		return
	}
	if s.snapshotVersion > s.reported && v.now.Sub(s.sentAt) < v.pushRetryInterval() {
		return // it is receiving a snapshot
	}
	s.snapshotVersion = 0
	if s.reported == 0 && s.sent == 0 && v.tail.exceeds(0, maxReplayBytes) {
		v.sendSnapshot(name, s)
		return
	}
	for s.sent < v.state.Version() {
		m, ok, err := v.tail.delta(s.sent)
		switch {
		case err != nil:
			v.logf("commands for a daemon not encoded", "to", name, "err", err)
			return
		case !ok:
			v.sendSnapshot(name, s)
			return
		case m == nil:
			return
		}
		v.reply(name, m)
		s.sent += pollenlatch.Version(m.Delta.Len())
		s.recordSend(v.now)
	}
}

// recordSend notes that something was sent.
func (s *subscriber) recordSend(now pollenlatch.MonoTime) {
	s.sentAt = now
	if s.reported >= s.expected || s.snapshotVersion != 0 {
		s.expected, s.expectedSince = s.sent, now
	}
}

// sendSnapshot sends the first piece of a snapshot; the daemon asks for each
// of the others, so that no more than one waits for it at a time. Daemons share
// a snapshot for as long as the commands after it are kept.
func (v *voter) sendSnapshot(name string, s *subscriber) {
	if v.sharedSnapshot.data == nil || v.tail.exceeds(v.sharedSnapshot.version, maxReplayBytes) {
		b, err := v.state.Snapshot()
		if err == nil {
			b, err = pack.Compress(b)
		}
		if err != nil {
			v.logf("snapshot for a daemon not made", "to", name, "err", err)
			return
		}
		v.sharedSnapshot = sharedSnapshot{version: v.state.Version(), data: b}
	}
	s.snapshotVersion, s.sent = v.sharedSnapshot.version, v.sharedSnapshot.version
	v.sendChunk(name, s, 0)
}

func (v *voter) onChunkRequest(from string, m *pollenlatch.ChunkRequest) {
	s, ok := v.subscribers[from]
	if !ok || m.Version != v.sharedSnapshot.version || m.Offset >= uint64(len(v.sharedSnapshot.data)) {
		return
	}
	s.snapshotVersion = v.sharedSnapshot.version
	v.sendChunk(from, s, m.Offset)
}

func (v *voter) sendChunk(name string, s *subscriber, offset uint64) {
	end := min(offset+pollenlatch.ChunkBytes, uint64(len(v.sharedSnapshot.data)))
	v.reply(name, &pollenlatch.Message{Delta: &pollenlatch.Delta{Chunk: &pollenlatch.SnapshotChunk{
		Version: v.sharedSnapshot.version, Offset: offset, Total: uint64(len(v.sharedSnapshot.data)), Data: v.sharedSnapshot.data[offset:end],
	}}})
	s.recordSend(v.now)
}
