package state

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"pollenlatch"
)

// numNameBuckets gives about 20 names a bucket with 4,900 instances, so that adding
// a name copies a few KB instead of a map of all names.
const numNameBuckets = 256

type nameEntry struct {
	name string
	id   pollenlatch.InstanceID
}

// nameTable is an immutable hash table from instance names to IDs.
type nameTable struct {
	buckets [][]nameEntry // nil or numNameBuckets long
}

func bucketOf(s string) int { return int(xxhash.Sum64String(s) % numNameBuckets) }

// get returns the ID of a name, or 0.
func (n nameTable) get(s string) pollenlatch.InstanceID {
	if n.buckets == nil {
		return 0
	}
	for _, e := range n.buckets[bucketOf(s)] {
		if e.name == s {
			return e.id
		}
	}
	return 0
}

// with returns a copy with one more name.
func (n nameTable) with(s string, id pollenlatch.InstanceID) nameTable {
	c := n.clone()
	b := bucketOf(s)
	c.buckets[b] = append(slices.Clip(c.buckets[b]), nameEntry{s, id})
	return c
}

// without returns a copy without a name.
func (n nameTable) without(s string) nameTable {
	c := n.clone()
	b := bucketOf(s)
	c.buckets[b] = slices.DeleteFunc(slices.Clone(c.buckets[b]), func(e nameEntry) bool { return e.name == s })
	return c
}

func (n nameTable) clone() nameTable {
	b := make([][]nameEntry, numNameBuckets)
	copy(b, n.buckets)
	return nameTable{buckets: b}
}
