package state

import (
	"fmt"
	"maps"

	"pollenlatch"
)

// Result describes the effect of a command.
type Result struct {
	// Rejection is the reason why the command changed nothing. It is empty when
	// the command, or at least one of its items, was applied.
	Rejection string
	// ItemRejections has one entry for each item of an Assign or Freeze: the reason
	// why it changed nothing, or "" when it was applied. It is nil when all items
	// were applied.
	ItemRejections []string
	// Verdict is the decision on a Ticket, a ConfigChange or an Evacuate.
	Verdict *pollenlatch.Verdict
	// Instance and Lease are set for a Join, also for a duplicate one whose lease
	// exists already.
	Instance pollenlatch.InstanceID
	Lease    pollenlatch.Lease
	// Changed lists the shards whose owner, fence or hand-over changed, and the
	// hot keys whose owner record was removed.
	Changed []pollenlatch.Shard
}

// Advance returns the state after a log entry without a command at the index.
func (s *State) Advance(index pollenlatch.Version) *State {
	c := *s
	c.version = max(s.version, index)
	return &c
}

// Apply returns the state after the command at the log index, and its effect.
// It is deterministic. A command that conflicts with the state is rejected and
// only advances the version. An index that is not after the version is
// rejected and changes nothing.
func (s *State) Apply(index pollenlatch.Version, c *pollenlatch.Command) (*State, Result) {
	if index <= s.version {
		return s, Result{Rejection: fmt.Sprintf("entry %d is not after version %d", index, s.version)}
	}
	if c == nil {
		return s.Advance(index), Result{}
	}
	d := newDraft(s, index)
	switch {
	case c.Ticket != nil:
		d.decideTicket(c.Ticket)
	case c.Join != nil:
		d.join(c.Join)
	case c.Expire != nil:
		d.expire(c.Expire)
	case c.Announce != nil:
		d.announce(c.Announce)
	case c.Assign != nil:
		applyItems(d, c.Assign.Items, d.assign)
	case c.Freeze != nil:
		applyItems(d, c.Freeze.Items, d.freeze)
	case c.Change != nil:
		d.decideChange(c.Change)
	case c.Divide != nil:
		d.divide(c.Divide)
	case c.Crash != nil:
		d.crash(c.Crash)
	case c.Evacuate != nil:
		d.evacuate(c.Evacuate)
	case c.Noop != nil:
	default:
		d.result.Rejection = "entry holds no command"
	}
	return d.finish(), d.result
}

// draft is the copy of a state that a command modifies.
type draft struct {
	State
	result Result
	fence  pollenlatch.Fence       // index of the log entry, as a fence
	edits  map[string]*serviceEdit // services whose owner table is modified, by name
}

// serviceEdit is a modifiable copy of a service with its owner table. Pages and
// hot keys are copied on the first write to them.
type serviceEdit struct {
	service       *service
	version       pollenlatch.Version // index of the log entry
	copiedPages   map[int]struct{}    // pages that are not shared with other states
	hotKeysCopied bool                // the map of hot keys is not shared with other states
}

func newDraft(s *State, index pollenlatch.Version) *draft {
	d := &draft{State: *s, fence: pollenlatch.Fence(index)}
	d.version = index
	return d
}

// finish returns the new state, which includes the edited services.
func (d *draft) finish() *State {
	if len(d.edits) > 0 {
		d.services = cloneMap(d.services)
		for name, e := range d.edits {
			d.services[name] = e.service
		}
	}
	s := d.State
	return &s
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

// applyItems applies the items of a batch independently of each other. apply
// returns the reason why an item is rejected, or "".
func applyItems[T any](d *draft, list []T, apply func(*T) string) {
	rejected := 0
	for i := range list {
		rejection := apply(&list[i])
		if rejection == "" {
			continue
		}
		if d.result.ItemRejections == nil {
			d.result.ItemRejections = make([]string, len(list))
		}
		d.result.ItemRejections[i] = rejection
		d.result.Rejection = rejection
		rejected++
	}
	if rejected < len(list) {
		d.result.Rejection = ""
	}
}

// lookupService returns a service with the changes that the command has made to
// it so far, or nil.
func (d *draft) lookupService(name string) *service {
	if e, ok := d.edits[name]; ok {
		return e.service
	}
	return d.services[name]
}

func (d *draft) editService(name string) *serviceEdit {
	if e, ok := d.edits[name]; ok {
		return e
	}
	if d.edits == nil {
		d.edits = make(map[string]*serviceEdit)
	}
	c := *d.services[name]
	c.pages = append([]*ownerPage(nil), c.pages...)
	e := &serviceEdit{service: &c, version: d.version, copiedPages: make(map[int]struct{})}
	d.edits[name] = e
	return e
}

// setOwner sets the owner record of a shard of an existing service.
func (d *draft) setOwner(o pollenlatch.Owner) {
	e := d.editService(o.Service)
	d.result.Changed = append(d.result.Changed, o.Shard)
	if o.Key != "" {
		e.mutableHotKeys()[o.Key] = o
		return
	}
	e.mutablePage(int(o.Range>>ownerPageShift)).set(int(o.Range&ownerPageMask), o)
}

// deleteHotKey deletes the owner record of a hot key.
func (d *draft) deleteHotKey(shard pollenlatch.Shard) {
	delete(d.editService(shard.Service).mutableHotKeys(), shard.Key)
	d.result.Changed = append(d.result.Changed, shard)
}

func (e *serviceEdit) mutablePage(n int) *ownerPage {
	if _, ok := e.copiedPages[n]; ok {
		return e.service.pages[n]
	}
	p := new(ownerPage)
	if old := e.service.pages[n]; old != nil {
		p = old.clone()
	}
	p.version = e.version
	e.service.pages[n] = p
	e.copiedPages[n] = struct{}{}
	return p
}

func (e *serviceEdit) mutableHotKeys() map[string]pollenlatch.Owner {
	if !e.hotKeysCopied {
		e.service.hotKeys = cloneMap(e.service.hotKeys)
		e.hotKeysCopied = true
	}
	return e.service.hotKeys
}
