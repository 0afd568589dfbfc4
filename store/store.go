package store

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strconv"
	"strings"

	"pollenlatch"
	"pollenlatch/quorum"
)

const (
	logPrefix      = "log-"      // followed by the number of the first frame
	snapshotPrefix = "snapshot-" // followed by the index
	segmentBytes   = 4 << 20     // a segment that is larger gets no more frames
)

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	folder   Folder
	lock     io.Closer
	identity Identity
	hard     quorum.HardState
	snapshot quorum.Snapshot
	entries  []quorum.Entry // only until Start hands them out

	segments []segment
	file     File  // of the last segment; nil before the first one
	size     int64 // of the last segment, bytes
	seq      uint64
	limit    int64 // of the size of a segment, bytes
	err      error
}

type segment struct {
	name string
	last uint64 // highest index of an entry in it
}

// Open locks and reads a folder. It truncates a torn tail of the log. The error
// is ErrNoIdentity, or ErrCorrupt when something that was synced is damaged.
func Open(folder Folder) (*Store, error) {
	lock, err := folder.Lock()
	if err != nil {
		return nil, fmt.Errorf("lock data folder: %w", err)
	}
	s := &Store{folder: folder, lock: lock, seq: 1, limit: segmentBytes}
	if err := s.load(); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// Identity returns the voter that the folder belongs to.
func (s *Store) Identity() Identity { return s.identity }

// Start returns the first event of a replica on this folder. It hands out the
// entries, so it is called once.
func (s *Store) Start(now pollenlatch.MonoTime) quorum.Start {
	entries := s.entries
	s.entries = nil
	return quorum.Start{Now: now, HardState: s.hard, Snapshot: s.snapshot, Entries: entries}
}

// Close ends the use of the folder.
func (s *Store) Close() error {
	var err error
	if s.file != nil {
		err = s.file.Close()
	}
	s.err = errors.Join(s.err, fs.ErrClosed)
	return errors.Join(err, s.lock.Close())
}

// Save writes and syncs what a replica asks for. After an error, such as a
// full disk or a failed sync, it is not known what the disk holds: every later
// call returns the same error, and the voter must stop.
func (s *Store) Save(p quorum.Persist) error {
	if s.err != nil {
		return s.err
	}
	if err := s.save(p); err != nil {
		s.err = fmt.Errorf("data folder failed, voter must stop: %w", err)
	}
	return s.err
}

func (s *Store) save(p quorum.Persist) error {
	if p.HardState != nil {
		s.hard = *p.HardState
	}
	if p.Snapshot == nil {
		return s.write(batch{Hard: s.hard, Truncate: p.TruncateFrom, Entries: p.Entries})
	}
	// Entries after a received snapshot need it below them, so they follow it.
	// Those that conflict with it are dropped before.
	if err := s.write(batch{Hard: s.hard, Truncate: p.TruncateFrom}); err != nil {
		return err
	}
	if err := s.saveSnapshot(p.Snapshot); err != nil {
		return err
	}
	if len(p.Entries) > 0 {
		if err := s.write(batch{Hard: s.hard, Entries: p.Entries}); err != nil {
			return err
		}
	}
	return s.dropSegments(p.Snapshot.Index)
}

// write appends one frame and syncs it.
func (s *Store) write(b batch) error {
	// A batch that the next start would refuse must not be acknowledged.
	if err := b.Check(); err != nil {
		return err
	}
	frame, err := encodeFrame(s.seq, &b)
	if err != nil {
		return err
	}
	created := false
	if s.file == nil || s.size >= s.limit {
		if err := s.addSegment(); err != nil {
			return fmt.Errorf("add a log segment: %w", err)
		}
		created = true
	}
	n, err := s.file.Write(frame)
	s.size += int64(n)
	if err != nil {
		return fmt.Errorf("write the log: %w", err)
	}
	if err := s.file.Sync(); err != nil {
		return fmt.Errorf("sync the log: %w", err)
	}
	if created {
		if err := s.folder.Sync(); err != nil {
			return fmt.Errorf("sync the data folder: %w", err)
		}
	}
	s.seq++
	if len(b.Entries) > 0 {
		g := &s.segments[len(s.segments)-1]
		g.last = max(g.last, b.Entries[len(b.Entries)-1].Index)
	}
	return nil
}

func (s *Store) addSegment() error {
	name := fmt.Sprintf("%s%016x", logPrefix, s.seq)
	f, err := s.folder.Create(name)
	if err != nil {
		return err
	}
	if s.file != nil {
		if err := s.file.Close(); err != nil {
			_ = f.Close()
			return err
		}
	}
	s.file, s.size = f, 0
	s.segments = append(s.segments, segment{name: name})
	return nil
}

func (s *Store) saveSnapshot(p *quorum.Snapshot) error {
	frame, err := encodeFrame(p.Index, &snapshotFile{*p})
	if err != nil {
		return err
	}
	if err := writeFile(s.folder, snapshotName(p.Index), frame); err != nil {
		return fmt.Errorf("write a snapshot: %w", err)
	}
	if old := s.snapshot.Index; old > 0 && old != p.Index {
		if err := s.folder.Remove(snapshotName(old)); err != nil {
			return fmt.Errorf("remove a snapshot: %w", err)
		}
	}
	s.snapshot = quorum.Snapshot{Index: p.Index} // the data is not needed again
	return nil
}

// dropSegments removes segments from the front that hold nothing after index.
// Each removal is synced before the next, so that no gap can appear.
func (s *Store) dropSegments(index uint64) error {
	for len(s.segments) > 1 && s.segments[0].last <= index {
		if err := s.folder.Remove(s.segments[0].name); err != nil {
			return fmt.Errorf("remove a log segment: %w", err)
		}
		if err := s.folder.Sync(); err != nil {
			return fmt.Errorf("sync the data folder: %w", err)
		}
		s.segments = slices.Delete(s.segments, 0, 1)
	}
	return nil
}

func snapshotName(index uint64) string { return fmt.Sprintf("%s%016x", snapshotPrefix, index) }

// numbered returns the number in a name such as log-000000000000002a.
func numbered(prefix, name string) (n uint64, ok bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	return n, err == nil
}

func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }
