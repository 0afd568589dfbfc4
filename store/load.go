package store

import (
	"errors"
	"fmt"
	"slices"

	"pollenlatch/quorum"
)

// load reads the folder. Names are fixed-width, so sorting orders segments by
// number.
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
		if _, ok := numbered(logPrefix, name); ok {
			s.segments = append(s.segments, segment{name: name})
		}
	}
	for i := range s.segments {
		if err := s.loadSegment(i); err != nil {
			return err
		}
	}
	if err := quorum.CheckEntries(s.entries, s.snapshot.Index, s.snapshot.Term, s.hard.Term); err != nil {
		return fmt.Errorf("%w: log after the snapshot: %w", ErrCorrupt, err)
	}
	if s.hard.Term < s.snapshot.Term {
		return fmt.Errorf("%w: term %d is before the snapshot's", ErrCorrupt, s.hard.Term)
	}
	// A process that ended between a change of names and the folder's sync
	// leaves names that this one sees but a crash would undo.
	if err := s.folder.Sync(); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return nil
}

// loadSnapshot reads the newest snapshot and removes older ones.
func (s *Store) loadSnapshot(names []string) error {
	newest := uint64(0)
	for _, name := range names {
		if n, ok := numbered(snapshotPrefix, name); ok {
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
	// The name may not be synced yet; without it the older one is needed.
	if err := s.folder.Sync(); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	for _, name := range names {
		if n, ok := numbered(snapshotPrefix, name); ok && n < newest {
			if err := s.folder.Remove(name); err != nil {
				return fmt.Errorf("remove an old snapshot: %w", err)
			}
		}
	}
	return nil
}

func (s *Store) loadSegment(i int) error {
	g := &s.segments[i]
	first, _ := numbered(logPrefix, g.name)
	if i == 0 {
		s.seq = first
	}
	if first != s.seq {
		return fmt.Errorf("%w: %s stands where frame %d belongs", ErrCorrupt, g.name, s.seq)
	}
	content, err := s.folder.Read(g.name)
	if err != nil {
		return fmt.Errorf("read %s: %w", g.name, err)
	}
	last := i == len(s.segments)-1
	next, size, err := readFrames(content, s.seq, last, func(b *batch) error { return s.replay(g, b) })
	if err != nil {
		return fmt.Errorf("%s: %w", g.name, err)
	}
	s.seq = next
	if !last {
		return nil
	}
	return s.openLast(g.name, size, int64(len(content)))
}

// openLast opens the last segment for writing and drops a torn tail. The sync
// covers frames that were written but not synced before the process ended:
// they are about to be relied on.
func (s *Store) openLast(name string, size, found int64) error {
	f, err := s.folder.Append(name)
	if err != nil {
		return fmt.Errorf("open %s: %w", name, err)
	}
	s.file, s.size = f, size
	if size < found {
		if err := f.Truncate(size); err != nil {
			return fmt.Errorf("truncate the torn tail of %s: %w", name, err)
		}
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync %s: %w", name, err)
	}
	return nil
}

// replay applies a batch to what was read so far.
func (s *Store) replay(g *segment, b *batch) error {
	s.hard = b.Hard
	if b.Truncate > 0 {
		s.entries = slices.DeleteFunc(s.entries, func(e quorum.Entry) bool { return e.Index >= b.Truncate })
	}
	for _, e := range b.Entries {
		g.last = max(g.last, e.Index)
		if e.Index <= s.snapshot.Index {
			continue
		}
		if n := len(s.entries); n > 0 && s.entries[n-1].Index >= e.Index {
			return errors.New("an entry is there twice")
		}
		s.entries = append(s.entries, e)
	}
	return nil
}
