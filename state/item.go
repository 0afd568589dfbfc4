package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"pollenlatch"
)

// MaxItems bounds the items of a configuration, with those that were dropped
// and whose revisions are kept.
const MaxItems = 1 << 16

type itemKey struct {
	kind pollenlatch.ItemKind
	name string
}

func keyOf(i *pollenlatch.ConfigItem) itemKey { return itemKey{i.Kind, i.Name} }

// catalog is the configuration as items. It is immutable once it belongs to a
// State.
type itemSet struct {
	byKey        map[itemKey]pollenlatch.ConfigItem
	routesByHost map[string][]*pollenlatch.Route // the longest prefix first
}

// change decides on a change of items. Items whose revision is not above the
// one held change nothing; the others are checked together with what is held,
// and are put in place only when nothing is wrong.
func (d *draft) decideChange(c *pollenlatch.ConfigChange) {
	v := pollenlatch.Verdict{Version: d.version}
	next, faults := d.items.withChanges(c.Items)
	v.Faults = faults
	v.Accepted = len(faults) == 0
	d.result.Verdict = &v
	if !v.Accepted || next == nil {
		return
	}
	d.items = next
	d.services = cloneMap(d.services)
	for n := range c.Items {
		i := next.byKey[keyOf(&c.Items[n])]
		if i.Kind == pollenlatch.ItemService && !i.Deleted {
			d.setService(*i.Service)
		}
	}
}

// ChangeFaults returns what is wrong with a change, and whether it would change
// anything.
func (s *State) ChangeFaults(c *pollenlatch.ConfigChange) (faults []string, effect bool) {
	next, faults := s.items.withChanges(c.Items)
	return faults, next != nil
}

// setService puts a service in place. A table that exists is kept, with its
// number of ranges.
func (d *draft) setService(svc pollenlatch.Service) {
	old, ok := d.services[svc.Name]
	if !ok {
		added := newService(svc)
		added.trackedSince = d.version
		d.services[svc.Name] = added
		return
	}
	c := *old
	svc.RangeBits = old.RangeBits
	c.Service = svc
	d.services[svc.Name] = &c
}

// merged returns the items after a change, or nil when it changes nothing.
func (s *itemSet) withChanges(list []pollenlatch.ConfigItem) (*itemSet, []string) {
	var f faultList
	var out *itemSet
	for n := range list {
		i := &list[n]
		current, ok := s.get(keyOf(i))
		if out != nil {
			current, ok = out.get(keyOf(i))
		}
		if ok && i.Revision <= current.Revision {
			continue
		}
		if out == nil {
			out = &itemSet{byKey: cloneMap(s.all())}
		}
		out.byKey[keyOf(i)] = *i
	}
	if out == nil {
		return nil, nil
	}
	if len(out.byKey) > MaxItems {
		f.add("items", "%d items in all, more than %d", len(out.byKey), MaxItems)
		return nil, f
	}
	out.indexRoutes(&f)
	if len(f) > 0 {
		return nil, f
	}
	return out, nil
}

func (s *itemSet) all() map[itemKey]pollenlatch.ConfigItem {
	if s == nil {
		return nil
	}
	return s.byKey
}

func (s *itemSet) get(k itemKey) (pollenlatch.ConfigItem, bool) {
	i, ok := s.all()[k]
	return i, ok
}

// index builds the table of routes, and reports those that contradict others.
func (s *itemSet) indexRoutes(f *faultList) {
	s.routesByHost = make(map[string][]*pollenlatch.Route)
	for _, k := range s.sortedKeys() {
		i := s.byKey[k]
		if k.kind != pollenlatch.ItemRoute || i.Deleted {
			continue
		}
		for _, ws := range i.Route.Services {
			if svc, ok := s.byKey[itemKey{pollenlatch.ItemService, ws.Service}]; !ok || svc.Deleted {
				f.add("routes."+k.name, "service %q does not exist", ws.Service)
			}
		}
		host := strings.ToLower(i.Route.Host)
		s.routesByHost[host] = append(s.routesByHost[host], i.Route)
	}
	for _, routes := range s.routesByHost {
		slices.SortStableFunc(routes, func(a, b *pollenlatch.Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
		seen := make(map[string]string, len(routes))
		for _, r := range routes {
			if other, ok := seen[r.Prefix]; ok {
				f.add("routes."+r.Name, "has the same host and path prefix as %q", other)
			}
			seen[r.Prefix] = r.Name
		}
	}
}

// sorted returns the keys of all items, by kind and name.
func (s *itemSet) sortedKeys() []itemKey {
	return slices.SortedFunc(maps.Keys(s.all()), func(a, b itemKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
	})
}

// Configured reports whether any items were ever accepted.
func (s *State) Configured() bool { return s.items != nil }

// SameItems reports whether no change of items lies between two states of one
// process.
func (s *State) SameItems(o *State) bool { return s.items == o.items }

// Items returns all items that are not dropped, by kind and name.
func (s *State) Items() []pollenlatch.ConfigItem {
	var list []pollenlatch.ConfigItem
	for _, k := range s.items.sortedKeys() {
		if i := s.items.byKey[k]; !i.Deleted {
			list = append(list, i)
		}
	}
	return list
}

// Route returns the route of a host with the longest prefix that begins the
// path. Hosts are compared without regard to case.
func (s *State) Route(host, path string) (pollenlatch.Route, bool) {
	if s.items == nil {
		return pollenlatch.Route{}, false
	}
	for _, r := range s.items.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return *r, true
		}
	}
	return pollenlatch.Route{}, false
}

// Limits returns what bounds callers.
func (s *State) Limits() (pollenlatch.Limits, bool) {
	i, ok := s.items.get(itemKey{kind: pollenlatch.ItemLimits})
	if !ok || i.Deleted {
		return pollenlatch.Limits{}, false
	}
	return *i.Limits, true
}

// divide sets the number of ranges of a numeric service that nobody has owned
// a part of yet.
func (d *draft) divide(c *pollenlatch.Divide) {
	svc := d.lookupService(c.Service)
	switch {
	case svc == nil || !svc.NumericKeys:
		d.result.Rejection = fmt.Sprintf("service %q is not a numeric one", c.Service)
	case svc.RangeBits != 0:
		d.result.Rejection = fmt.Sprintf("service %q is divided already", c.Service)
	case c.RangeBits == 0 || c.RangeBits > pollenlatch.KeyBits:
		d.result.Rejection = fmt.Sprintf("%d is no length of a range's number", c.RangeBits)
	default:
		next := svc.Service
		next.RangeBits = c.RangeBits
		added := newService(next)
		added.trackedSince = d.version
		d.services = cloneMap(d.services)
		d.services[c.Service] = added
	}
}

// loadItems puts the items of a snapshot into a state that nobody else holds.
func (s *State) loadItems(msg *snapshotProto) error {
	if len(msg.Items) == 0 {
		return nil
	}
	s.items = &itemSet{byKey: make(map[itemKey]pollenlatch.ConfigItem, len(msg.Items))}
	for n := range msg.Items {
		i := &msg.Items[n]
		if err := i.Check(); err != nil {
			return fmt.Errorf("item %q: %w", i.Name, err)
		}
		if _, ok := s.items.byKey[keyOf(i)]; ok {
			return fmt.Errorf("item %q occurs twice", i.Name)
		}
		s.items.byKey[keyOf(i)] = *i
	}
	var f faultList
	s.items.indexRoutes(&f)
	if len(f) > 0 {
		return fmt.Errorf("items contradict each other: %s", f[0])
	}
	return nil
}

// itemImages returns all items, dropped ones too, in their order.
func (s *State) itemsWithDeleted() []pollenlatch.ConfigItem {
	var list []pollenlatch.ConfigItem
	for _, k := range s.items.sortedKeys() {
		list = append(list, s.items.byKey[k])
	}
	return list
}
