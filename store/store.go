package store

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"pollenlatch"
	"pollenlatch/quorum"
)

const (
	logPrefix       = "log-"      // followed by the number of the first frame
	snapshotPrefix  = "snapshot-" // followed by the index of the snapshot
	maxSegmentBytes = 4 << 20     // a segment that has reached this size gets no more frames
)

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	folder    Folder
	lock      io.Closer
	identity  Identity
	hardState quorum.HardState
	snapshot  quorum.Snapshot
	entries   []quorum.Entry // nil after Start has returned them

	segments    []segment
	segmentFile File  // of the last segment; nil before the first one
	segmentSize int64 // of the last segment, bytes
	// segmentCreated says that the name of the last segment is not synced yet.
	segmentCreated bool
	nextSeq        uint64
	segmentLimit   int64 // bytes; a segment that has reached it gets no more frames
	failure        error
}

type segment struct {
	name      string
	lastIndex uint64 // highest index of an entry in it
}

// Open locks a folder, reads it and truncates a torn tail of the log. It returns
// ErrNoIdentity when Init was not called, and ErrCorrupt when synced data is damaged.
func Open(folder Folder) (*Store, error) {
	lock, err := folder.Lock()
	if err != nil {
		return nil, fmt.Errorf("lock data folder: %w", err)
	}
	s := &Store{folder: folder, lock: lock, nextSeq: 1, segmentLimit: maxSegmentBytes}
	if err := s.load(); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// Identity returns the identity of the voter that the folder belongs to.
func (s *Store) Identity() Identity { return s.identity }

// Start returns the first event for a replica that uses this folder. It must be
// called only once, because the store does not keep the entries afterwards.
func (s *Store) Start(now pollenlatch.MonoTime) quorum.Start {
	entries := s.entries
	s.entries = nil
	return quorum.Start{Now: now, HardState: s.hardState, Snapshot: s.snapshot, Entries: entries}
}

// Close closes the log and releases the lock of the folder.
func (s *Store) Close() error {
	var err error
	if s.segmentFile != nil {
		err = s.segmentFile.Close()
	}
	s.failure = errors.Join(s.failure, fs.ErrClosed)
	return errors.Join(err, s.lock.Close())
}

// Save executes the Persist effect of a replica. After quorum.ErrNoSpace the same Persist
// may be saved again. After any other error, such as a failed sync, the content of the
// disk is unknown. Every later call returns the same error, and the voter must stop.
func (s *Store) Save(p quorum.Persist) error {
	if s.failure != nil {
		return s.failure
	}
	err := s.save(p)
	if err != nil && !errors.Is(err, quorum.ErrNoSpace) {
		s.failure = fmt.Errorf("data folder failed, voter must stop: %w", err)
		return s.failure
	}
	return err
}

// noSpace returns quorum.ErrNoSpace for an error that only a full disk causes, or err.
func noSpace(err error) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return fmt.Errorf("%w: %w", quorum.ErrNoSpace, err)
	}
	return err
}

func (s *Store) save(p quorum.Persist) error {
	if p.HardState != nil {
		s.hardState = *p.HardState
	}
	if p.Snapshot == nil {
		return s.writeBatch(batch{HardState: s.hardState, TruncateFrom: p.TruncateFrom, Entries: p.Entries})
	}
	// Conflicting entries are dropped before a received snapshot is written, and
	// entries that follow it are written afterwards, so that the log has no gap
	// after a crash in between.
	if err := s.writeBatch(batch{HardState: s.hardState, TruncateFrom: p.TruncateFrom}); err != nil {
		return err
	}
	if err := s.saveSnapshot(p.Snapshot); err != nil {
		return err
	}
	if len(p.Entries) > 0 {
		if err := s.writeBatch(batch{HardState: s.hardState, Entries: p.Entries}); err != nil {
			return err
		}
	}
	return s.removeSegments(p.Snapshot.Index)
}

// writeBatch appends one frame and syncs it.
func (s *Store) writeBatch(b batch) error {
	// An invalid batch must not be acknowledged: the next start would refuse it.
	if err := b.Check(); err != nil {
		return err
	}
	frame, err := encodeFrame(s.nextSeq, &b)
	if err != nil {
		return err
	}
	if s.segmentFile == nil || s.segmentSize >= s.segmentLimit {
		if err := s.addSegment(); err != nil {
			return fmt.Errorf("add a log segment: %w", err)
		}
	}
	if _, err := s.segmentFile.Write(frame); err != nil {
		// A part of the frame may have been written. It must not precede the next one.
		if err := s.segmentFile.Truncate(s.segmentSize); err != nil {
			return fmt.Errorf("truncate the log after a failed write: %w", err)
		}
		return fmt.Errorf("write the log: %w", noSpace(err))
	}
	s.segmentSize += int64(len(frame))
	if err := s.segmentFile.Sync(); err != nil {
		return fmt.Errorf("sync the log: %w", err)
	}
	if s.segmentCreated {
		if err := s.folder.Sync(); err != nil {
			return fmt.Errorf("sync the data folder: %w", err)
		}
		s.segmentCreated = false
	}
	s.nextSeq++
	if len(b.Entries) > 0 {
		seg := &s.segments[len(s.segments)-1]
		seg.lastIndex = max(seg.lastIndex, b.Entries[len(b.Entries)-1].Index)
	}
	return nil
}

func (s *Store) addSegment() error {
	name := fmt.Sprintf("%s%016x", logPrefix, s.nextSeq)
	f, err := s.folder.Create(name)
	if err != nil {
		return noSpace(err)
	}
	if s.segmentFile != nil {
		if err := s.segmentFile.Close(); err != nil {
			_ = f.Close()
			return err
		}
	}
	s.segmentFile, s.segmentSize, s.segmentCreated = f, 0, true
	s.segments = append(s.segments, segment{name: name})
	return nil
}

func (s *Store) saveSnapshot(snap *quorum.Snapshot) error {
	frame, err := encodeFrame(snap.Index, &snapshotFile{*snap})
	if err != nil {
		return err
	}
	if err := writeFile(s.folder, snapshotName(snap.Index), frame); err != nil {
		return fmt.Errorf("write a snapshot: %w", err)
	}
	if old := s.snapshot.Index; old > 0 && old != snap.Index {
		if err := s.folder.Remove(snapshotName(old)); err != nil {
			return fmt.Errorf("remove a snapshot: %w", err)
		}
	}
	s.snapshot = quorum.Snapshot{Index: snap.Index} // the data is not needed any more
	return nil
}

// removeSegments removes the oldest segments, as long as they have no entries after
// index. It syncs each removal before the next, so that a crash cannot leave a gap.
func (s *Store) removeSegments(index uint64) error {
	for len(s.segments) > 1 && s.segments[0].lastIndex <= index {
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

// parseName returns the number in a file name such as log-000000000000002a.
func parseName(prefix, name string) (n uint64, ok bool) {
	digits, ok := strings.CutPrefix(name, prefix)
	if !ok || len(digits) != 16 {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 16, 64)
	return n, err == nil
}

func isNotExist(err error) bool { return errors.Is(err, fs.ErrNotExist) }
