package store

import (
	"errors"
	"flag"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
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

// testSegmentBytes is a small segment limit, so that tests use several segments.
const testSegmentBytes = 2000 // bytes

var testMembers = []pollenlatch.Member{{Name: "a", Incarnation: 1}}

// model is the expected content of a folder.
type model struct {
	hardState quorum.HardState
	index     uint64 // of the snapshot
	term      uint64
	data      string
	entries   []quorum.Entry
}

// crashStates returns the states that an interrupted Save may leave. The last one is
// that of a completed Save.
func (m model) crashStates(p quorum.Persist) []model {
	states := []model{m}
	m.hardState = *p.HardState
	m.entries = slices.DeleteFunc(slices.Clone(m.entries), func(e quorum.Entry) bool {
		return p.TruncateFrom > 0 && e.Index >= p.TruncateFrom
	})
	if p.Snapshot != nil {
		states = append(states, m)
		m.index, m.term, m.data = p.Snapshot.Index, p.Snapshot.Term, string(p.Snapshot.Data)
		m.entries = slices.DeleteFunc(slices.Clone(m.entries), func(e quorum.Entry) bool { return e.Index <= m.index })
		states = append(states, m)
	}
	m.entries = slices.Concat(m.entries, p.Entries)
	states = append(states, m)
	for i := range states {
		states[i].entries = slices.Concat(states[i].entries) // nil when there are none
	}
	return states
}

func readModel(s *Store) model {
	start := s.Start(0)
	return model{
		start.HardState, start.Snapshot.Index, start.Snapshot.Term, string(start.Snapshot.Data),
		slices.Concat(start.Entries),
	}
}

// nextPersist draws a valid random Persist that follows the state of the model.
func (m model) nextPersist(t *rapid.T) quorum.Persist {
	hard := m.hardState
	hard.Term = max(hard.Term, 1) + uint64(rapid.IntRange(0, 1).Draw(t, "term"))
	hard.Vote, hard.CountedVoters = rapid.SampledFrom([]string{"a", "b"}).Draw(t, "vote"), []string{"a"}
	p := quorum.Persist{HardState: &hard}
	last := m.index + uint64(len(m.entries))
	if len(m.entries) > 0 && rapid.IntRange(0, 3).Draw(t, "truncate") == 0 {
		p.TruncateFrom = m.index + 1 + rapid.Uint64Range(0, uint64(len(m.entries))).Draw(t, "to")
		last = min(last, p.TruncateFrom-1)
	}
	switch kind := rapid.IntRange(0, 9).Draw(t, "snapshot"); {
	case kind == 0 && last > m.index: // compaction of the voter's own log
		i := rapid.Uint64Range(m.index+1, last).Draw(t, "index")
		p.Snapshot = &quorum.Snapshot{Index: i, Term: m.entries[i-m.index-1].Term}
	case kind == 1: // received from the leader; replaces the whole log
		p.Snapshot = &quorum.Snapshot{Index: last + 5, Term: hard.Term}
		last += 5
	}
	if p.Snapshot != nil {
		p.Snapshot.Members, p.Snapshot.Data = testMembers, make([]byte, rapid.IntRange(0, 100).Draw(t, "size"))
	}
	for range rapid.IntRange(0, 12).Draw(t, "entries") {
		last++
		size := rapid.SampledFrom([]int{0, 10, testSegmentBytes}).Draw(t, "data")
		e := quorum.Entry{Index: last, Term: hard.Term}
		if size > 0 {
			e.Data = make([]byte, size)
		}
		p.Entries = append(p.Entries, e)
	}
	return p
}

// A crash must not lose a batch that Save has synced, or apply a part of one: the
// voter would forget a vote or an acknowledged entry.
func TestCrashKeepsSavedState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		folder := newMemoryFolder(rapid.Uint64().Draw(t, "seed"))
		_, err := Init(folder, "a")
		require.NoError(t, err)
		current := model{}
		s, err := Open(folder)
		require.NoError(t, err)
		s.segmentLimit = testSegmentBytes
		for range rapid.IntRange(1, 20).Draw(t, "batches") {
			p := current.nextPersist(t)
			if rapid.IntRange(0, 3).Draw(t, "fault") == 0 {
				folder.failAfter, folder.err = rapid.IntRange(1, 12).Draw(t, "operation"), rapid.SampledFrom([]error{errDiskFailed, syscall.ENOSPC}).Draw(t, "error")
			}
			allowed := current.crashStates(p)
			err := s.Save(p)
			// Nothing is acknowledged while the disk is full, and the process may end
			// meanwhile. Otherwise a later attempt succeeds.
			if errors.Is(err, quorum.ErrNoSpace) && rapid.Bool().Draw(t, "retry") {
				err = s.Save(p)
				require.NoError(t, err, "Save after the disk was full")
			}
			if err == nil {
				current = allowed[len(allowed)-1]
				allowed = []model{current}
			} else {
				require.ErrorIs(t, err, folder.err)
				if !errors.Is(err, quorum.ErrNoSpace) {
					require.ErrorIs(t, s.Save(p), folder.err, "Save after a failure did not return its error")
				}
			}
			if err != nil || rapid.IntRange(0, 4).Draw(t, "crash") == 0 {
				// When only the process ends, the next one reads unsynced data
				// and may rely on it before a power loss.
				if rapid.Bool().Draw(t, "process only") {
					folder.failAfter = 0
					s, err = Open(folder)
					require.NoError(t, err)
					current = readModel(s)
					require.Contains(t, allowed, current)
					allowed = []model{current}
				}
				folder.crash()
				s, err = Open(folder)
				require.NoError(t, err)
				current = readModel(s)
				require.Contains(t, allowed, current)
				s.segmentLimit = testSegmentBytes
			}
			folder.failAfter = 0
		}
	})
}

// newFilledFolder returns a folder with five entries, and the name of its only
// segment.
func newFilledFolder(t *testing.T) (*memoryFolder, string) {
	t.Helper()
	folder := newMemoryFolder(1)
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

// Open must reject a folder that is damaged, not initialised or in use. A voter that
// starts on it could contradict what it has acknowledged before.
func TestOpenRejectsInvalidFolder(t *testing.T) {
	t.Run("folder without identity", func(t *testing.T) {
		_, err := Open(newMemoryFolder(1))
		require.ErrorIs(t, err, ErrNoIdentity)
	})
	t.Run("log without identity", func(t *testing.T) {
		folder, _ := newFilledFolder(t)
		delete(folder.names, identityName)
		_, err := Open(folder)
		require.ErrorIs(t, err, ErrNoIdentity)
		_, err = Init(folder, "a")
		require.ErrorIs(t, err, ErrNotEmpty)
	})
	t.Run("any byte before the last frame", func(t *testing.T) {
		folder, name := newFilledFolder(t)
		intact := folder.names[name].written
		frameBytes := len(intact) / 5
		for i := range intact[:4*frameBytes] {
			damaged := slices.Clone(intact)
			damaged[i] ^= 1
			folder.names[name].written = damaged
			_, err := Open(folder)
			require.ErrorIs(t, err, ErrCorrupt, "byte %d", i)
		}
	})
	t.Run("missing segment", func(t *testing.T) {
		folder, name := newFilledFolder(t)
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

// Open must accept a torn tail, or the voter could not start after a power loss.
func TestTornTail(t *testing.T) {
	folder, name := newFilledFolder(t)
	intact := folder.names[name].written
	frameBytes := len(intact) / 5
	for cut := range frameBytes {
		folder.names[name].written = slices.Clone(intact[:4*frameBytes+cut])
		s, err := Open(folder)
		require.NoError(t, err)
		require.Len(t, s.Start(0).Entries, 4)
		require.NoError(t, s.Close())
	}
}

// Dir must behave like the folder in memory of the other tests.
func TestDir(t *testing.T) {
	dir := Dir(filepath.Join(t.TempDir(), "data"))
	id, err := Init(dir, "a")
	require.NoError(t, err)
	current := model{}
	for i := range uint64(6) {
		s, err := Open(dir)
		require.NoError(t, err)
		require.Equal(t, id, s.Identity())
		require.Len(t, s.Start(0).Entries, len(current.entries))
		p := quorum.Persist{HardState: &quorum.HardState{Term: 1}}
		if i == 3 {
			p.Snapshot = &quorum.Snapshot{Index: 2, Term: 1, Members: testMembers, Data: []byte("state")}
		}
		p.Entries = []quorum.Entry{{Index: i + 1, Term: 1, Data: []byte(strings.Repeat("x", maxSegmentBytes))}}
		require.NoError(t, s.Save(p))
		require.NoError(t, s.Close())
		states := current.crashStates(p)
		current = states[len(states)-1]
	}
	names, err := dir.List()
	require.NoError(t, err)
	require.Equal(t, []string{
		"identity", "log-0000000000000003", "log-0000000000000004", "log-0000000000000006", "log-0000000000000007",
		"snapshot-0000000000000002",
	}, names)
}

// Damaged frames must not make the reader panic, which would crash the voter at every
// start, or be accepted as valid entries.
func FuzzReadFrames(f *testing.F) {
	first, err := encodeFrame(1, &batch{HardState: quorum.HardState{Term: 2}, Entries: []quorum.Entry{{Index: 4, Term: 1}}})
	require.NoError(f, err)
	second, err := encodeFrame(2, &batch{HardState: quorum.HardState{Term: 2}, TruncateFrom: 4})
	require.NoError(f, err)
	f.Add(slices.Concat(first, second))
	f.Add(first[:len(first)-1])
	f.Fuzz(func(t *testing.T, b []byte) {
		_ = pollenlatch.Decode(b, &batch{}) // as a payload, without the checksum
		batches := uint64(0)
		next, size, err := readFrames(b, 1, true, func(decoded *batch) error {
			batches++
			return decoded.Check()
		})
		if err != nil {
			require.ErrorIs(t, err, ErrCorrupt)
			return
		}
		require.Equal(t, batches+1, next)
		nextAgain, end, err := readFrames(b[:size], 1, false, func(*batch) error { return nil })
		require.NoError(t, err, "the part before the torn tail is damaged")
		require.Equal(t, next, nextAgain)
		require.Equal(t, size, end)
	})
}
