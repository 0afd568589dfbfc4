package lint

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"pollenlatch"
)

// DifferenceKind says what a change does to an item.
type DifferenceKind string

// Kinds of differences.
const (
	Added         DifferenceKind = "added"
	Changed       DifferenceKind = "changed"
	Removed       DifferenceKind = "removed"
	WithoutEffect DifferenceKind = "without effect"
)

// Difference is what a change does to one item.
type Difference struct {
	Item   string
	Kind   DifferenceKind
	Fields []string // of a changed item, with old and new value
}

func (d Difference) String() string {
	s := string(d.Kind) + ": " + d.Item
	if len(d.Fields) > 0 {
		s += ": " + strings.Join(d.Fields, ", ")
	}
	return s
}

// differences compares the items before and after a change.
func differences(before, after map[key]pollenlatch.ConfigItem) []Difference {
	var list []Difference
	for k, i := range after {
		old, ok := before[k]
		switch {
		case !ok:
			list = append(list, Difference{Item: itemName(&i), Kind: Added})
		case old.Revision != i.Revision:
			list = append(list, Difference{Item: itemName(&i), Kind: Changed, Fields: changedFields(old.Raw, i.Raw)})
		}
	}
	for k, i := range before {
		if _, ok := after[k]; !ok {
			list = append(list, Difference{Item: itemName(&i), Kind: Removed})
		}
	}
	return list
}

// changedFields compares two items as operators sent them, so that fields are named
// as in their files and fields that the program does not use are included.
func changedFields(old, next []byte) []string {
	a, b := decodeFields(old), decodeFields(next)
	names := maps.Clone(a)
	maps.Copy(names, b)
	var list []string
	for _, name := range slices.Sorted(maps.Keys(names)) {
		was, had := a[name]
		is, has := b[name]
		if had != has || !reflect.DeepEqual(was, is) {
			list = append(list, fmt.Sprintf("%s %s -> %s", name, valueText(was, had), valueText(is, has)))
		}
	}
	return list
}

func decodeFields(raw []byte) map[string]any {
	m := make(map[string]any)
	_ = json.Unmarshal(raw, &m) // has been decoded before
	return m
}

func valueText(v any, present bool) string {
	if !present {
		return "absent"
	}
	b, _ := json.Marshal(v) // was decoded from JSON
	return string(b)
}
