package state

import (
	"fmt"
	"maps"

	"pollenlatch"
)

// Result tells what a command changed.
type Result struct {
	// Rejection says why the command changed nothing. It is empty when the
	// command, or any item of it, was applied.
	Rejection string
	// ItemRejections says for every item of an Assign or Freeze why it changed nothing;
	// an applied item has an empty entry. It is nil when all were applied.
	ItemRejections []string
	// Verdict is the answer to a Ticket or a Change.
	Verdict *pollenlatch.Verdict
	// Instance and Lease are of a Join, also when it found its own lease.
	Instance pollenlatch.InstanceID
	Lease    pollenlatch.Lease
	// Changed lists the shards whose owner, fence or hand-over changed, and
	// those of hot keys whose record was removed.
	Changed []pollenlatch.Shard
}

// Advance returns the state at a later index whose entry holds no command.
func (s *State) Advance(index pollenlatch.Version) *State {
	c := *s
	c.version = max(s.version, index)
	return &c
}

// Apply returns the state after the command at the index, and what it changed.
// It is deterministic. A command that does not fit the state is rejected and
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
		d.ticket(c.Ticket)
	case c.Join != nil:
		d.join(c.Join)
	case c.Expire != nil:
		d.expire(c.Expire)
	case c.Announce != nil:
		d.announce(c.Announce)
	case c.Assign != nil:
		items(d, c.Assign.Items, d.assign)
	case c.Freeze != nil:
		items(d, c.Freeze.Items, d.freeze)
	case c.Change != nil:
		d.change(c.Change)
	case c.Divide != nil:
		d.divide(c.Divide)
	case c.Noop != nil:
	default:
		d.res.Rejection = "entry holds no command"
	}
	return d.finish(), d.res
}

// draft is a copy of a state that one command is changing.
type draft struct {
	State
	res    Result
	fence  pollenlatch.Fence // of this entry
	edited map[string]*edit  // services whose table is changed
}

// edit is a private copy of a service's table.
type edit struct {
	service *service
	at      pollenlatch.Version // of this entry
	pages   map[int]struct{}    // pages that are already private
	keys    bool                // the map of keys is already private
}

func newDraft(s *State, index pollenlatch.Version) *draft {
	d := &draft{State: *s, fence: pollenlatch.Fence(index)}
	d.version = index
	return d
}

// finish puts the edited tables into the new state.
func (d *draft) finish() *State {
	if len(d.edited) > 0 {
		d.services = cloned(d.services)
		for name, e := range d.edited {
			d.services[name] = e.service
		}
	}
	s := d.State
	return &s
}

func cloned[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return make(map[K]V)
	}
	return maps.Clone(m)
}

// items applies each item of a batch on its own.
func items[T any](d *draft, list []T, apply func(*T) string) {
	rejected := 0
	for i := range list {
		why := apply(&list[i])
		if why == "" {
			continue
		}
		if d.res.ItemRejections == nil {
			d.res.ItemRejections = make([]string, len(list))
		}
		d.res.ItemRejections[i] = why
		d.res.Rejection = why
		rejected++
	}
	if rejected < len(list) {
		d.res.Rejection = ""
	}
}

// lookup returns a service as this command has left it so far, or nil.
func (d *draft) lookup(name string) *service {
	if e, ok := d.edited[name]; ok {
		return e.service
	}
	return d.services[name]
}

func (d *draft) edit(name string) *edit {
	if e, ok := d.edited[name]; ok {
		return e
	}
	if d.edited == nil {
		d.edited = make(map[string]*edit)
	}
	c := *d.services[name]
	c.pages = append([]*page(nil), c.pages...)
	e := &edit{service: &c, at: d.version, pages: make(map[int]struct{})}
	d.edited[name] = e
	return e
}

// put changes the record of a shard of an existing service.
func (d *draft) put(o pollenlatch.Owner) {
	e := d.edit(o.Service)
	d.res.Changed = append(d.res.Changed, o.Shard)
	if o.Key != "" {
		e.private()[o.Key] = o
		return
	}
	e.page(int(o.Range>>tableShift)).set(int(o.Range&tableMask), o)
}

// drop removes the record of a hot key.
func (d *draft) drop(p pollenlatch.Shard) {
	delete(d.edit(p.Service).private(), p.Key)
	d.res.Changed = append(d.res.Changed, p)
}

func (e *edit) page(n int) *page {
	if _, ok := e.pages[n]; ok {
		return e.service.pages[n]
	}
	p := new(page)
	if old := e.service.pages[n]; old != nil {
		p = old.clone()
	}
	p.at = e.at
	e.service.pages[n] = p
	e.pages[n] = struct{}{}
	return p
}

func (e *edit) private() map[string]pollenlatch.Owner {
	if !e.keys {
		e.service.keys = cloned(e.service.keys)
		e.keys = true
	}
	return e.service.keys
}
