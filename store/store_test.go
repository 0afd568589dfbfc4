package store

import (
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"pollenlatch"
	"pollenlatch/quorum"
)

func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		_ = f.Value.Set("20261204")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// testSegment is a small limit, so that sequences span several segments.
const testSegment = 2000 // bytes

var group = []pollenlatch.Member{{Name: "a", Incarnation: 1}}

// model is what a folder should hold.
type model struct {
	hard    quorum.HardState
	index   uint64 // of the snapshot
	term    uint64
	data    string
	entries []quorum.Entry
}

// stages returns the states that Save may leave when it is cut short.
func (m model) stages(p quorum.Persist) []model {
	all := []model{m}
	m.hard = *p.HardState
	m.entries = slices.DeleteFunc(slices.Clone(m.entries), func(e quorum.Entry) bool {
		return p.TruncateFrom > 0 && e.Index >= p.TruncateFrom
	})
	if p.Snapshot != nil {
		all = append(all, m)
		m.index, m.term, m.data = p.Snapshot.Index, p.Snapshot.Term, string(p.Snapshot.Data)
		m.entries = slices.DeleteFunc(slices.Clone(m.entries), func(e quorum.Entry) bool { return e.Index <= m.index })
		all = append(all, m)
	}
	m.entries = slices.Concat(m.entries, p.Entries)
	all = append(all, m)
	for i := range all {
		all[i].entries = slices.Concat(all[i].entries) // nil when there are none
	}
	return all
}

func read(s *Store) model {
	start := s.Start(0)
	return model{
		start.HardState, start.Snapshot.Index, start.Snapshot.Term, string(start.Snapshot.Data),
		slices.Concat(start.Entries),
	}
}

func (m model) next(t *rapid.T) quorum.Persist {
	hard := m.hard
	hard.Term = max(hard.Term, 1) + uint64(rapid.IntRange(0, 1).Draw(t, "term"))
	hard.Vote, hard.CountedVoters = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "vote"), []string{"a"}
	p := quorum.Persist{HardState: &hard}
	last := m.index + uint64(len(m.entries))
	if len(m.entries) > 0 && rapid.IntRange(0, 3).Draw(t, "truncate") == 0 {
		p.TruncateFrom = m.index + 1 + rapid.Uint64Range(0, uint64(len(m.entries))).Draw(t, "to")
		last = min(last, p.TruncateFrom-1)
	}
	switch kind := rapid.IntRange(0, 9).Draw(t, "snapshot"); {
	case kind == 0 && last > m.index: // of the own log
		i := rapid.Uint64Range(m.index+1, last).Draw(t, "index")
		p.Snapshot = &quorum.Snapshot{Index: i, Term: m.entries[i-m.index-1].Term}
	case kind == 1: // received; replaces the whole log
		p.Snapshot = &quorum.Snapshot{Index: last + 5, Term: hard.Term}
		last += 5
	}
	if p.Snapshot != nil {
		p.Snapshot.Members, p.Snapshot.Data = group, make([]byte, rapid.IntRange(0, 100).Draw(t, "size"))
	}
	for range rapid.IntRange(0, 12).Draw(t, "entries") {
		last++
		size := rapid.SampledFrom([]int{0, 10, testSegment}).Draw(t, "data")
		e := quorum.Entry{Index: last, Term: hard.Term}
		if size > 0 {
			e.Data = make([]byte, size)
		}
		p.Entries = append(p.Entries, e)
	}
	return p
}

// A folder that loses a synced batch, or takes half of one, would make a voter
// forget a vote or an acknowledged entry.
func TestCrashKeepsWhatWasSaved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder := newMemory(rapid.Uint64().Draw(t, "seed"))
		_, err := Init(folder, "a")
		require.NoError(t, err)
		now := model{}
		s, err := Open(folder)
		require.NoError(t, err)
		s.limit = testSegment
		for range rapid.IntRange(1, 20).Draw(t, "batches") {
			p := now.next(t)
			if rapid.IntRange(0, 3).Draw(t, "fault") == 0 {
				folder.fail, folder.err = rapid.IntRange(1, 12).Draw(t, "operation"), errFull
			}
			allowed := now.stages(p)
			err := s.Save(p)
			if err == nil {
				now = allowed[len(allowed)-1]
				allowed = []model{now}
			} else {
				require.ErrorIs(t, err, errFull)
				require.ErrorIs(t, s.Save(p), errFull, "saved after a failure")
			}
			if err != nil || rapid.IntRange(0, 4).Draw(t, "crash") == 0 {
				// What an ended process leaves unsynced, the next one may read
				// and rely on before the power fails.
				if rapid.Bool().Draw(t, "process only") {
					folder.fail = 0
					s, err = Open(folder)
					require.NoError(t, err)
					now = read(s)
					require.Contains(t, allowed, now)
					allowed = []model{now}
				}
				folder.crash()
				s, err = Open(folder)
				require.NoError(t, err)
				now = read(s)
				require.Contains(t, allowed, now)
				s.limit = testSegment
			}
			folder.fail = 0
		}
	})
}

func filled(t *testing.T) (*memory, string) {
	t.Helper()
	folder := newMemory(1)
	_, err := Init(folder, "a")
	require.NoError(t, err)
	s, err := Open(folder)
	require.NoError(t, err)
	for i := range uint64(5) {
		require.NoError(t, s.Save(quorum.Persist{
			HardState: &quorum.HardState{Term: 1}, Entries: []quorum.Entry{{Index: i + 1, Term: 1, Data: []byte("data")}},
		}))
	}
	require.NoError(t, s.Close())
	return folder, "log-0000000000000001"
}

// A voter that starts on a damaged or foreign folder would vote against what
// it has acknowledged.
func TestOpenRefuses(t *testing.T) {
	t.Run("folder without identity", func(t *testing.T) {
		_, err := Open(newMemory(1))
		require.ErrorIs(t, err, ErrNoIdentity)
	})
	t.Run("log without identity", func(t *testing.T) {
		folder, _ := filled(t)
		delete(folder.names, identityName)
		_, err := Open(folder)
		require.ErrorIs(t, err, ErrNoIdentity)
		_, err = Init(folder, "a")
		require.ErrorIs(t, err, ErrNotEmpty)
	})
	t.Run("any byte before the last frame", func(t *testing.T) {
		folder, name := filled(t)
		whole := folder.names[name].now
		frame := len(whole) / 5
		for i := range whole[:4*frame] {
			damaged := slices.Clone(whole)
			damaged[i] ^= 1
			folder.names[name].now = damaged
			_, err := Open(folder)
			require.ErrorIs(t, err, ErrCorrupt, "byte %d", i)
		}
	})
	t.Run("missing segment", func(t *testing.T) {
		folder, name := filled(t)
		folder.names["log-0000000000000009"] = folder.names[name]
		_, err := Open(folder)
		require.ErrorIs(t, err, ErrCorrupt)
	})
	t.Run("folder in use", func(t *testing.T) {
		dir := Dir(filepath.Join(t.TempDir(), "data"))
		_, err := Init(dir, "a")
		require.NoError(t, err)
		s, err := Open(dir)
		require.NoError(t, err)
		_, err = Open(dir)
		require.ErrorContains(t, err, "in use")
		require.NoError(t, s.Close())
	})
}

// A torn tail that is refused would keep a voter out after every power loss.
func TestTornTail(t *testing.T) {
	folder, name := filled(t)
	whole := folder.names[name].now
	frame := len(whole) / 5
	for cut := range frame {
		folder.names[name].now = slices.Clone(whole[:4*frame+cut])
		s, err := Open(folder)
		require.NoError(t, err)
		require.Len(t, s.Start(0).Entries, 4)
		require.NoError(t, s.Close())
	}
}

// The operating system's folder must behave as the one in memory.
func TestDir(t *testing.T) {
	dir := Dir(filepath.Join(t.TempDir(), "data"))
	id, err := Init(dir, "a")
	require.NoError(t, err)
	now := model{}
	for i := range uint64(6) {
		s, err := Open(dir)
		require.NoError(t, err)
		require.Equal(t, id, s.Identity())
		require.Len(t, s.Start(0).Entries, len(now.entries))
		p := quorum.Persist{HardState: &quorum.HardState{Term: 1}}
		if i == 3 {
			p.Snapshot = &quorum.Snapshot{Index: 2, Term: 1, Members: group, Data: []byte("state")}
		}
		p.Entries = []quorum.Entry{{Index: i + 1, Term: 1, Data: []byte(strings.Repeat("x", segmentBytes))}}
		require.NoError(t, s.Save(p))
		require.NoError(t, s.Close())
		all := now.stages(p)
		now = all[len(all)-1]
	}
	names, err := dir.List()
	require.NoError(t, err)
	require.Equal(t, []string{
		"identity", "log-0000000000000003", "log-0000000000000004", "log-0000000000000006", "log-0000000000000007",
		"snapshot-0000000000000002",
	}, names)
}

// A reader that panics or accepts damaged frames would take the voter down, or
// hand wrong entries to it, at every start.
func FuzzReadFrames(f *testing.F) {
	one, err := encodeFrame(1, &batch{Hard: quorum.HardState{Term: 2}, Entries: []quorum.Entry{{Index: 4, Term: 1}}})
	require.NoError(f, err)
	two, err := encodeFrame(2, &batch{Hard: quorum.HardState{Term: 2}, Truncate: 4})
	require.NoError(f, err)
	f.Add(slices.Concat(one, two))
	f.Add(one[:len(one)-1])
	f.Fuzz(func(t *testing.T, b []byte) {
		_ = pollenlatch.Decode(b, &batch{}) // a payload, without the checksum in the way
		seen := uint64(0)
		next, size, err := readFrames(b, 1, true, func(x *batch) error {
			seen++
			return x.Check()
		})
		if err != nil {
			require.ErrorIs(t, err, ErrCorrupt)
			return
		}
		require.Equal(t, seen+1, next)
		again, end, err := readFrames(b[:size], 1, false, func(*batch) error { return nil })
		require.NoError(t, err, "the kept part is not whole")
		require.Equal(t, next, again)
		require.Equal(t, size, end)
	})
}
