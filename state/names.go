package state

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"pollenlatch"
)

// nameBuckets keeps a bucket at 20 names for 4,900 instances, so that a new
// name copies a few KB instead of a map of all names.
const nameBuckets = 256

type name struct {
	name string
	id   pollenlatch.InstanceID
}

// names is an immutable hash table from instance names to numbers.
type names struct {
	buckets [][]name // nil or nameBuckets long
}

func bucketOf(s string) int { return int(xxhash.Sum64String(s) % nameBuckets) }

// get returns the number of a name, or 0.
func (n names) get(s string) pollenlatch.InstanceID {
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

// with returns a copy that also holds a new name.
func (n names) with(s string, id pollenlatch.InstanceID) names {
	c := n.copied()
	b := bucketOf(s)
	c.buckets[b] = append(slices.Clip(c.buckets[b]), name{s, id})
	return c
}

// without returns a copy that lacks a name.
func (n names) without(s string) names {
	c := n.copied()
	b := bucketOf(s)
	c.buckets[b] = slices.DeleteFunc(slices.Clone(c.buckets[b]), func(e name) bool { return e.name == s })
	return c
}

func (n names) copied() names {
	b := make([][]name, nameBuckets)
	copy(b, n.buckets)
	return names{buckets: b}
}
