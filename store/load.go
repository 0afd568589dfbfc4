package store

import (
	"errors"
	"fmt"
	"slices"

	"pollenlatch/quorum"
)

// load reads the folder. Sorting the file names orders the segments, because the
// numbers in them have a fixed width.
func (s *Store) load() error {
	names, err := s.folder.List()
	if err != nil {
		return fmt.Errorf("list data folder: %w", err)
	}
	slices.Sort(names)
	if s.identity, err = readIdentity(s.folder, names); err != nil {
		return err
	}
	if err := s.loadSnapshot(names); err != nil {
		return err
	}
	for _, name := range names {
		if _, ok := parseName(logPrefix, name); ok {
			s.segments = append(s.segments, segment{name: name})
		}
	}
	for i := range s.segments {
		if err := s.loadSegment(i); err != nil {
			return err
		}
	}
	if err := quorum.CheckEntries(s.entries, s.snapshot.Index, s.snapshot.Term, s.hardState.Term); err != nil {
		return fmt.Errorf("%w: log after the snapshot: %w", ErrCorrupt, err)
	}
	if s.hardState.Term < s.snapshot.Term {
		return fmt.Errorf("%w: term %d is lower than that of the snapshot", ErrCorrupt, s.hardState.Term)
	}
	// If an earlier process ended after it changed a file name and before it synced
	// the folder, the change is visible now but a power loss would undo it.
	if err := s.folder.Sync(); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return nil
}

// loadSnapshot reads the newest snapshot and removes older ones.
func (s *Store) loadSnapshot(names []string) error {
	newest := uint64(0)
	for _, name := range names {
		if n, ok := parseName(snapshotPrefix, name); ok {
			newest = max(newest, n)
		}
	}
	if newest == 0 {
		return nil
	}
	var f snapshotFile
	if err := readFile(s.folder, snapshotName(newest), &f); err != nil {
		return err
	}
	if f.Snapshot.Index != newest {
		return fmt.Errorf("%w: %s holds index %d", ErrCorrupt, snapshotName(newest), f.Snapshot.Index)
	}
	s.snapshot = f.Snapshot
	// The name of the newest snapshot may not be synced yet. Until then, a power loss
	// could leave the older one as the only snapshot, so it must not be removed.
	if err := s.folder.Sync(); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	for _, name := range names {
		if n, ok := parseName(snapshotPrefix, name); ok && n < newest {
			if err := s.folder.Remove(name); err != nil {
				return fmt.Errorf("remove an old snapshot: %w", err)
			}
		}
	}
	return nil
}

func (s *Store) loadSegment(i int) error {
	seg := &s.segments[i]
	first, _ := parseName(logPrefix, seg.name)
	if i == 0 {
		s.nextSeq = first
	}
	if first != s.nextSeq {
		return fmt.Errorf("%w: found log segment %s, expected frame %d", ErrCorrupt, seg.name, s.nextSeq)
	}
	content, err := s.folder.Read(seg.name)
	if err != nil {
		return fmt.Errorf("read %s: %w", seg.name, err)
	}
	isLast := i == len(s.segments)-1
	next, size, err := readFrames(content, s.nextSeq, isLast, func(b *batch) error { return s.replay(seg, b) })
	if err != nil {
		return fmt.Errorf("%s: %w", seg.name, err)
	}
	s.nextSeq = next
	if !isLast {
		return nil
	}
	return s.openLastSegment(seg.name, size, int64(len(content)))
}

// openLastSegment opens the last segment for appending and truncates a torn tail. It
// syncs the file, because the last frames may have been written but not synced
// before an earlier process ended, and the replica relies on them from now on.
func (s *Store) openLastSegment(name string, size, fileSize int64) error {
	f, err := s.folder.Append(name)
	if err != nil {
		return fmt.Errorf("open %s: %w", name, err)
	}
	s.segmentFile, s.segmentSize = f, size
	if size < fileSize {
		if err := f.Truncate(size); err != nil {
			return fmt.Errorf("truncate the torn tail of %s: %w", name, err)
		}
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", name, err)
	}
	return nil
}

// replay applies a batch to the state that was read before it.
func (s *Store) replay(seg *segment, b *batch) error {
	s.hardState = b.HardState
	if b.TruncateFrom > 0 {
		s.entries = slices.DeleteFunc(s.entries, func(e quorum.Entry) bool { return e.Index >= b.TruncateFrom })
	}
	for _, e := range b.Entries {
		seg.lastIndex = max(seg.lastIndex, e.Index)
		if e.Index <= s.snapshot.Index {
			continue
		}
		if n := len(s.entries); n > 0 && s.entries[n-1].Index >= e.Index {
			return errors.New("entry does not follow the previous one")
		}
		s.entries = append(s.entries, e)
	}
	return nil
}
