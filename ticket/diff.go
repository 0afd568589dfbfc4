package ticket

import (
	"fmt"
	"reflect"
	"slices"
	"strconv"
	"time"

	"pollenlatch"
)

// Change is one difference between two specs.
type Change struct {
	Path string `json:"path"` // such as services[listing].maxrun
	Old  string `json:"old"`  // empty when it is new
	New  string `json:"new"`  // empty when it is removed
}

// Merge returns the whole configuration after a ticket: base is the whole
// configuration before it, spec names what it changes.
func Merge(base, spec pollenlatch.Spec) pollenlatch.Spec {
	out := pollenlatch.Spec{
		Services: replace(base.Services, spec.Services, func(s pollenlatch.Service) string { return s.Name }),
		Callers:  replace(base.Callers, spec.Callers, func(c pollenlatch.Caller) string { return c.Name }),
		Voters:   base.Voters,
	}
	if len(spec.Voters) > 0 {
		out.Voters = spec.Voters
	}
	out.Services = slices.DeleteFunc(out.Services, func(s pollenlatch.Service) bool {
		return slices.Contains(spec.Remove, s.Name)
	})
	return out
}

func replace[T any](base, with []T, name func(T) string) []T {
	out := slices.Clone(base)
	for _, e := range with {
		i := slices.IndexFunc(out, func(o T) bool { return name(o) == name(e) })
		if i < 0 {
			out = append(out, e)
			continue
		}
		out[i] = e
	}
	return out
}

// Diff returns what differs between two whole configurations, by path: first
// the changes of what is in a, in its order, then what only b has.
func Diff(a, b pollenlatch.Spec) []Change {
	old, now := flatten(a), flatten(b)
	var list []Change
	for _, path := range old.order {
		if old.values[path] != now.values[path] {
			list = append(list, Change{Path: path, Old: old.values[path], New: now.values[path]})
		}
	}
	for _, path := range now.order {
		if _, ok := old.values[path]; !ok {
			list = append(list, Change{Path: path, New: now.values[path]})
		}
	}
	return list
}

// flat is a configuration as values by path.
type flat struct {
	values map[string]string
	order  []string
}

func flatten(s pollenlatch.Spec) *flat {
	f := &flat{values: make(map[string]string)}
	for _, svc := range s.Services {
		f.add(fmt.Sprintf("services[%s]", svc.Name), reflect.ValueOf(svc))
	}
	for _, c := range s.Callers {
		f.add(fmt.Sprintf("callers[%s]", c.Name), reflect.ValueOf(c))
	}
	for _, m := range s.Voters {
		f.add(fmt.Sprintf("voters[%s]", m.Name), reflect.ValueOf(m))
	}
	return f
}

func (f *flat) add(path string, v reflect.Value) {
	if s, ok := scalar(v); ok {
		f.values[path] = s
		f.order = append(f.order, path)
		return
	}
	if v.Kind() == reflect.Slice {
		for i := range v.Len() {
			f.add(index(path, i), v.Index(i))
		}
		return
	}
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("yaml")
		if name == "bits" {
			f.add(path+".ranges", reflect.ValueOf(uint64(1)<<v.Field(i).Uint()))
			continue
		}
		f.add(path+"."+name, v.Field(i))
	}
}

func scalar(v reflect.Value) (string, bool) {
	switch x := v.Interface().(type) {
	case time.Duration:
		return x.String(), true
	case pollenlatch.Class:
		return x.String(), true
	}
	switch {
	case v.Kind() == reflect.String:
		return strconv.Quote(v.String()), true
	case v.Kind() == reflect.Bool, v.CanUint(), v.CanFloat():
		return fmt.Sprint(v.Interface()), true
	}
	return "", false
}
