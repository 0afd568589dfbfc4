package state

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"pollenlatch"
)

// MaxItems limits the configuration items, including deleted ones, whose
// revisions are kept.
const MaxItems = 1 << 16

type itemKey struct {
	kind pollenlatch.ItemKind
	name string
}

func keyOf(i *pollenlatch.ConfigItem) itemKey { return itemKey{i.Kind, i.Name} }

// itemSet is the configuration. It is immutable once it belongs to a State. A nil
// itemSet is empty.
type itemSet struct {
	byKey        map[itemKey]pollenlatch.ConfigItem
	routesByHost map[string][]*pollenlatch.Route // by lower-case host; the longest prefix first
	largeBodies  bool                            // a route has large request bodies
}

// decideChange decides on a configuration change. Items whose revision is not
// above the current one have no effect. The others are checked together with the
// current configuration, and take effect only when nothing is wrong.
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

// ChangeFaults returns the faults of a configuration change, and whether it
// would have an effect.
func (s *State) ChangeFaults(c *pollenlatch.ConfigChange) (faults []string, effect bool) {
	next, faults := s.items.withChanges(c.Items)
	return faults, next != nil
}

// setService adds or updates a service. An existing service keeps its owner
// table and its number of ranges.
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

// withChanges returns the configuration after a change, or nil when the change
// has no effect or has faults.
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

// indexRoutes builds routesByHost. It reports routes to services that do not
// exist and routes with the same host and prefix.
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
		s.largeBodies = s.largeBodies || i.Route.LargeBody
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

// sortedKeys returns the keys of all items, sorted by kind and name.
func (s *itemSet) sortedKeys() []itemKey {
	return slices.SortedFunc(maps.Keys(s.all()), func(a, b itemKey) int {
		return cmp.Or(cmp.Compare(a.kind, b.kind), cmp.Compare(a.name, b.name))
	})
}

// Configured reports whether any configuration change was ever accepted.
func (s *State) Configured() bool { return s.items != nil }

// SameItems reports whether two states of this process have the same
// configuration. It compares pointers: loading a snapshot makes it false.
func (s *State) SameItems(o *State) bool { return s.items == o.items }

// Items returns all items that are not deleted, sorted by kind and name.
func (s *State) Items() []pollenlatch.ConfigItem {
	var list []pollenlatch.ConfigItem
	for _, k := range s.items.sortedKeys() {
		if i := s.items.byKey[k]; !i.Deleted {
			list = append(list, i)
		}
	}
	return list
}

// Route returns the route of the host with the longest prefix of path. Hosts are
// compared case-insensitively.
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

// HasLargeBodies reports whether a route has large request bodies.
func (s *State) HasLargeBodies() bool { return s.items != nil && s.items.largeBodies }

// Limits returns the limits for callers, or false when none are set.
func (s *State) Limits() (pollenlatch.Limits, bool) {
	i, ok := s.items.get(itemKey{kind: pollenlatch.ItemLimits})
	if !ok || i.Deleted {
		return pollenlatch.Limits{}, false
	}
	return *i.Limits, true
}

// divide sets the number of ranges of a numeric service that has not been divided
// yet.
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

// loadItems adds the items of a snapshot to a state that is not shared yet.
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
		return fmt.Errorf("items are inconsistent: %s", f[0])
	}
	return nil
}

// itemsWithDeleted returns all items, including deleted ones, sorted by kind and
// name.
func (s *State) itemsWithDeleted() []pollenlatch.ConfigItem {
	var list []pollenlatch.ConfigItem
	for _, k := range s.items.sortedKeys() {
		list = append(list, s.items.byKey[k])
	}
	return list
}
