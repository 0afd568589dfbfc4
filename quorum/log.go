package quorum

import (
	"slices"

	"pollenlatch"
)

// Entries that stay in memory below a snapshot, so that a follower that is
// slightly behind does not need the snapshot.
const (
	keepEntries = 1000
	keepBytes   = 4 << 20
)

// group is the set of voters from the entry at index on.
type group struct {
	index   uint64 // 0: from the settings
	members []pollenlatch.Member
}

// entryLog is the part of the log that is in memory.
type entryLog struct {
	offset     uint64 // index of the last entry that is not in memory
	offsetTerm uint64
	entries    []Entry
	snapshot   Snapshot
	groups     []group // ascending; the first one is in force at the snapshot
}

func (l *entryLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 { return l.termAt(l.last()) }

// termAt returns the term of an entry, or 0 when it is not known.
func (l *entryLog) termAt(index uint64) uint64 {
	switch {
	case index == l.offset:
		return l.offsetTerm
	case index == l.snapshot.Index:
		return l.snapshot.Term
	case index < l.offset || index > l.last():
		return 0
	default:
		return l.entries[index-l.offset-1].Term
	}
}

// from returns entries from index on: at least one if there is one, and more
// while they fit into maxBytes.
func (l *entryLog) from(index uint64, maxBytes int) []Entry {
	if index <= l.offset || index > l.last() {
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
			l.groups = append(l.groups, group{entries[i].Index, entries[i].Members})
		}
	}
	l.entries = append(l.entries, entries...)
}

// truncate drops the entries from index on.
func (l *entryLog) truncate(index uint64) {
	// Slices handed out in effects share the array, so it is not reused.
	l.entries = slices.Clip(l.entries[:index-l.offset-1])
	for len(l.groups) > 1 && l.groups[len(l.groups)-1].index >= index {
		l.groups = l.groups[:len(l.groups)-1]
	}
}

// reset replaces the whole log by a snapshot.
func (l *entryLog) reset(s Snapshot) {
	l.offset, l.offsetTerm = s.Index, s.Term
	l.entries = nil
	l.snapshot = s
	l.groups = []group{{s.Index, s.Members}}
}

// compact keeps the snapshot and drops old entries below it.
func (l *entryLog) compact(s Snapshot) {
	l.snapshot = s
	at := l.groupAt(s.Index)
	i := slices.IndexFunc(l.groups, func(g group) bool { return g.index == at.index })
	l.groups = slices.Clone(l.groups[i:])
	first, size := s.Index, 0
	for first > l.offset && s.Index-first < keepEntries {
		size += entrySize(&l.entries[first-l.offset-1])
		if size > keepBytes {
			break
		}
		first--
	}
	if first == l.offset {
		return
	}
	term := l.termAt(first)
	l.entries = slices.Clone(l.entries[first-l.offset:])
	l.offset, l.offsetTerm = first, term
}

// group returns the voters in force.
func (l *entryLog) group() group { return l.groups[len(l.groups)-1] }

// groupAt returns the voters in force at an index that is not below the snapshot.
func (l *entryLog) groupAt(index uint64) group {
	for _, g := range slices.Backward(l.groups) {
		if g.index <= index {
			return g
		}
	}
	return l.groups[0]
}

func entrySize(e *Entry) int {
	const header = 24 // bytes for index, term and lengths
	size := header + len(e.Data)
	for i := range e.Members {
		size += header + len(e.Members[i].Name) + len(e.Members[i].Addr)
	}
	return size
}
