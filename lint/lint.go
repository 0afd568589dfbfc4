// Package lint examines configuration changes before they are sent. What it reports
// as an error is what the group refuses, decided by the group's own code. Warnings and
// notes are about changes that the group accepts.
package lint

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"pollenlatch"
	"pollenlatch/state"
)

// Severity says how serious a finding is.
type Severity uint8

// Severities of findings.
const (
	SeverityNote    Severity = iota // may be intended
	SeverityWarning                 // has no effect, or contradicts itself
	SeverityError                   // the group refuses the change
)

func (s Severity) String() string {
	switch s {
	case SeverityError:
		return "error"
	case SeverityWarning:
		return "warning"
	default:
		return "note"
	}
}

// Finding is one remark on a change.
type Finding struct {
	Severity Severity
	Item     string // empty when the text names the item
	Text     string
}

func (f Finding) String() string {
	if f.Item == "" {
		return f.Severity.String() + ": " + f.Text
	}
	return f.Severity.String() + ": " + f.Item + ": " + f.Text
}

// Result is the result of a check.
type Result struct {
	Findings    []Finding    // the most severe first, then by item
	Differences []Difference // by item; of a refused change only items without effect
	// Next is the state after the change, or the state before it if the change is
	// refused.
	Next *state.State
}

// Count returns the number of findings of a severity.
func (r *Result) Count(s Severity) int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}

func (r *Result) add(s Severity, item, text string) {
	r.Findings = append(r.Findings, Finding{Severity: s, Item: item, Text: text})
}

func (r *Result) sort() {
	slices.SortStableFunc(r.Findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(b.Severity, a.Severity), cmp.Compare(a.Item, b.Item), cmp.Compare(a.Text, b.Text))
	})
	slices.SortStableFunc(r.Differences, func(a, b Difference) int {
		return cmp.Or(cmp.Compare(a.Item, b.Item), cmp.Compare(a.Kind, b.Kind))
	})
}

// Undecodable returns the result for a change that could not be decoded. Decoding
// reads maps, so joined errors have no order of their own.
func Undecodable(before *state.State, err error) Result {
	r := Result{Next: before}
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		for _, e := range joined.Unwrap() {
			r.add(SeverityError, "", e.Error())
		}
	} else {
		r.add(SeverityError, "", err.Error())
	}
	r.sort()
	return r
}

type key struct {
	kind pollenlatch.ItemKind
	name string
}

// Check examines a change of the configuration in before. known says that before is
// the configuration in force; otherwise nothing is said about items that are missing
// from it.
func Check(before *state.State, known bool, items []pollenlatch.ConfigItem) Result {
	r := Result{Next: before}
	change := &pollenlatch.ConfigChange{Items: items}
	if err := change.Check(); err != nil {
		r.add(SeverityError, "", err.Error())
		return r
	}
	faults, effect := before.ChangeFaults(change)
	for _, text := range faults {
		r.add(SeverityError, "", text)
	}
	if effect {
		r.Next, _ = before.Apply(before.Version()+1, &pollenlatch.Command{Change: change})
	}
	inForce, after := itemsByKey(before), itemsByKey(r.Next)
	set := make(map[key]bool)
	if len(items) == 0 {
		r.add(SeverityWarning, "", "the change names no item")
	}
	for n := range items {
		i := &items[n]
		k := key{i.Kind, i.Name}
		old, exists := inForce[k]
		if set[k] {
			r.add(SeverityWarning, itemName(i), "is named twice by the same change; the highest revision is in force")
		}
		switch {
		case i.Deleted && !exists && known:
			r.add(SeverityWarning, itemName(i), "is removed, but does not exist")
		case after[k].Revision == old.Revision && !hasEffect(before, i):
			r.checkStale(&old, exists, i)
		case !i.Deleted:
			r.checkItem(i)
		}
		set[k] = true
	}
	if len(faults) == 0 {
		r.checkServices(set, after)
		r.Differences = append(r.Differences, differences(inForce, after)...)
	}
	r.sort()
	return r
}

// hasEffect reports whether the revision of an item is above the one in force. Only
// items with an effect are checked against the others, so faults show one too. Each
// item with an effect copies the map of items, so that Check asks only where the state
// after the change does not answer.
func hasEffect(s *state.State, i *pollenlatch.ConfigItem) bool {
	faults, effect := s.ChangeFaults(&pollenlatch.ConfigChange{Items: []pollenlatch.ConfigItem{*i}})
	return effect || len(faults) > 0
}

// checkStale reports an item without effect. Operators send back what they have read
// with a few items changed, so that an item with the content in force is no mistake.
// A removed item keeps its revision, but is not among the items that can be read.
func (r *Result) checkStale(old *pollenlatch.ConfigItem, exists bool, i *pollenlatch.ConfigItem) {
	r.Differences = append(r.Differences, Difference{Item: itemName(i), Kind: WithoutEffect})
	switch {
	case !exists:
		r.add(SeverityWarning, itemName(i), fmt.Sprintf("has no effect: revision %d is not above that of its removal", i.Revision))
	case i.Deleted || len(changedFields(old.Raw, i.Raw)) > 0:
		r.add(SeverityWarning, itemName(i), fmt.Sprintf("has no effect: revision %d is not above revision %d, which is in force", i.Revision, old.Revision))
	}
}

func itemsByKey(s *state.State) map[key]pollenlatch.ConfigItem {
	m := make(map[key]pollenlatch.ConfigItem)
	for _, i := range s.Items() {
		m[key{i.Kind, i.Name}] = i
	}
	return m
}

// itemName returns the name of an item as the group's faults have it.
func itemName(i *pollenlatch.ConfigItem) string {
	switch i.Kind {
	case pollenlatch.ItemRoute:
		return "routes." + i.Name
	case pollenlatch.ItemService:
		return "services." + i.Name
	default:
		return "limits"
	}
}
