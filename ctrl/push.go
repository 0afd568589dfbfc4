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
	// maxTailEntries and maxTailBytes limit the commands that are kept for daemons
	// that lag. A daemon that lags further gets a snapshot.
	maxTailEntries = 8192
	maxTailBytes   = 8 << 20

	// maxDeltaBytes limits the encoded commands of one Delta. The last command may
	// exceed it.
	maxDeltaBytes = 256 << 10

	// maxReplayBytes limits the commands that a daemon is sent from the start of the
	// log, or on top of a shared snapshot. Beyond it a new snapshot is smaller, since
	// later commands overwrite what earlier ones have set.
	maxReplayBytes = 64 << 10

	// maxDecompressedBytes limits deltas and snapshots from other instances. The
	// largest change by an operator has 16 MB, and its items are kept both as text
	// and decoded. The tables of 524,288 ranges take 2.87 MB.
	maxDecompressedBytes = 64 << 20

	// minPushRetry is the minimum time after which commands are sent again that a
	// daemon has not acknowledged by its renewals. It is longer than two renewals.
	minPushRetry = 300 * time.Millisecond
	// pushRetryRenewals is the same limit as a number of renewal intervals.
	pushRetryRenewals = 3
)

// subscriber is a daemon that the leader sends committed commands to.
type subscriber struct {
	incarnation pollenlatch.Incarnation // of the process
	reported    pollenlatch.Version     // version in the daemon's last renewal
	sent        pollenlatch.Version     // version up to which commands were sent
	sentAt      pollenlatch.MonoTime

	// When the daemon does not report expected within the retry interval, commands
	// are sent again. The interval does not start anew with each message, since
	// commands may follow each other without a pause.
	expected      pollenlatch.Version
	expectedSince pollenlatch.MonoTime // when expected was sent

	snapshotVersion pollenlatch.Version // version of the snapshot that it is receiving; 0 is none
}

// sharedSnapshot is a compressed snapshot that is sent to all daemons that need one.
type sharedSnapshot struct {
	version pollenlatch.Version
	data    []byte
}

// commandTail keeps the newest committed commands. The zero value is empty.
type commandTail struct {
	first        pollenlatch.Version // version of commands[0]
	commands     []*pollenlatch.Command
	sizes        []int                                        // bytes of each command
	bytes        int                                          // sum of sizes
	cachedDeltas map[pollenlatch.Version]*pollenlatch.Message // encoded, by the version before the first command
}

// maxCachedDeltas limits the encoded deltas that are cached. Nearly all daemons have
// the same version, and a few lag by some commands.
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

// after returns the commands after version v, up to about maxDeltaBytes, or false
// when they are no longer kept.
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

// exceeds reports whether the commands after version v have more than limit bytes,
// or are no longer kept.
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

// delta returns an encoded message with the commands after version v. Daemons with
// the same version share it. m is nil when there are no commands; ok is false when
// they are no longer kept.
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

// compressDelta returns a delta of the commands, compressed unless it is small. All
// daemons get it over the same network link of the leader.
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
		return nil, fmt.Errorf("%w: got %d, want %d", errMissingCommands, len(decoded.Commands), d.Count)
	}
	return decoded.Commands, nil
}

var errMissingCommands = errors.New("wrong number of commands in a delta")

// updateSubscriber records the version that a daemon reported and sends it newer
// commands. A restarted process is a new subscriber, since it has not received what
// was sent to the process before it.
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

// pushToAll sends new commands to all subscribers.
func (v *voter) pushToAll() {
	if !v.leading {
		return
	}
	members := v.replica.Members()
	for _, name := range v.subscriberNames {
		v.pushTo(name, v.subscribers[name], members)
	}
}

// pushTo sends a daemon what it lacks. Voters apply their own log and are skipped.
func (v *voter) pushTo(name string, s *subscriber, voters []pollenlatch.Member) {
	if slices.ContainsFunc(voters, func(m pollenlatch.Member) bool { return m.Name == name }) {
		s.sent = v.state.Version()
		return
	}
	if s.snapshotVersion > s.reported && v.now.Sub(s.sentAt) < v.pushRetryInterval() {
		return // the daemon is receiving a snapshot
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
			v.logf("delta for a daemon could not be encoded", "to", name, "err", err)
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

// recordSend records that commands or a snapshot chunk were sent now.
func (s *subscriber) recordSend(now pollenlatch.MonoTime) {
	s.sentAt = now
	if s.reported >= s.expected || s.snapshotVersion != 0 {
		s.expected, s.expectedSince = s.sent, now
	}
}

// sendSnapshot sends the first chunk of a snapshot. The daemon requests each further
// chunk, so that no more than one is queued for it. A snapshot is shared by daemons
// until the commands after it exceed maxReplayBytes.
func (v *voter) sendSnapshot(name string, s *subscriber) {
	if v.sharedSnapshot.data == nil || v.tail.exceeds(v.sharedSnapshot.version, maxReplayBytes) {
		b, err := v.state.Snapshot()
		if err == nil {
			b, err = pack.Compress(b)
		}
		if err != nil {
			v.logf("snapshot for a daemon could not be encoded", "to", name, "err", err)
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
