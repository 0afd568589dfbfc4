package quorum

import (
	"slices"

	"pollenlatch"
)

// Limits of the entries that stay in memory below a snapshot, so that a
// follower that is slightly behind can catch up without the snapshot.
const (
	maxRetainedEntries = 1000
	maxRetainedBytes   = 4 << 20 // bytes
)

// membership is the set of voters in force from the entry at index on.
type membership struct {
	index   uint64 // 0: the initial voters of the settings
	members []pollenlatch.Member
}

// entryLog holds the newest snapshot and the entries that are in memory.
type entryLog struct {
	offset      uint64 // index of the last entry that was dropped from memory
	offsetTerm  uint64
	entries     []Entry
	snapshot    Snapshot
	memberships []membership // ascending; the first one is in force at the snapshot
}

func (l *entryLog) lastIndex() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 { return l.termAt(l.lastIndex()) }

// termAt returns the term of an entry, or 0 when it is not known.
func (l *entryLog) termAt(index uint64) uint64 {
	switch {
	case index == l.offset:
		return l.offsetTerm
	case index == l.snapshot.Index:
		return l.snapshot.Term
	case index < l.offset || index > l.lastIndex():
		return 0
	default:
		return l.entries[index-l.offset-1].Term
	}
}

// entriesFrom returns entries from index on that fit into maxBytes, but at least
// one if there is any.
func (l *entryLog) entriesFrom(index uint64, maxBytes int) []Entry {
	if index <= l.offset || index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.offset-1:]
	size := 0
	for i := range rest {
		size += entrySize(&rest[i])
		if i > 0 && size > maxBytes {
			return slices.Clip(rest[:i])
		}
	}
	return slices.Clip(rest)
}

func (l *entryLog) append(entries ...Entry) {
	for i := range entries {
		if len(entries[i].Members) > 0 {
			l.memberships = append(l.memberships, membership{entries[i].Index, entries[i].Members})
		}
	}
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries from index on.
func (l *entryLog) truncate(index uint64) {
	// Slices in earlier effects share the array, so it must not be overwritten.
	l.entries = slices.Clip(l.entries[:index-l.offset-1])
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= index {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// reset replaces the whole log with a snapshot.
func (l *entryLog) reset(s Snapshot) {
	l.offset, l.offsetTerm = s.Index, s.Term
	l.entries = nil
	l.snapshot = s
	l.memberships = []membership{{s.Index, s.Members}}
}

// compact stores the snapshot and drops entries below it, except for the newest
// ones within the limits for retained entries.
func (l *entryLog) compact(s Snapshot) {
	l.snapshot = s
	atSnapshot := l.membershipAt(s.Index)
	i := slices.IndexFunc(l.memberships, func(ms membership) bool { return ms.index == atSnapshot.index })
	l.memberships = slices.Clone(l.memberships[i:])
	newOffset, size := s.Index, 0
	for newOffset > l.offset && s.Index-newOffset < maxRetainedEntries {
		size += entrySize(&l.entries[newOffset-l.offset-1])
		if size > maxRetainedBytes {
			break
		}
		newOffset--
	}
	if newOffset == l.offset {
		return
	}
	term := l.termAt(newOffset)
	l.entries = slices.Clone(l.entries[newOffset-l.offset:])
	l.offset, l.offsetTerm = newOffset, term
}

// membership returns the newest membership, which is in force even if its entry is
// not committed yet.
func (l *entryLog) membership() membership { return l.memberships[len(l.memberships)-1] }

// membershipAt returns the membership in force at an index, which must not be
// below the snapshot.
func (l *entryLog) membershipAt(index uint64) membership {
	for _, ms := range slices.Backward(l.memberships) {
		if ms.index <= index {
			return ms
		}
	}
	return l.memberships[0]
}

func entrySize(e *Entry) int {
	const overhead = 24 // bytes for index, term and lengths
	size := overhead + len(e.Data)
	for i := range e.Members {
		size += overhead + len(e.Members[i].Name) + len(e.Members[i].Addr)
	}
	return size
}
