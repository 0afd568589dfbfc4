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
	Path string `json:"path"` // for example services[listing].maxrun
	Old  string `json:"old"`  // empty when the value is new
	New  string `json:"new"`  // empty when the value is removed
}

// Merge returns the whole configuration after a ticket with the content spec is
// applied to the whole configuration base.
func Merge(base, spec pollenlatch.Spec) pollenlatch.Spec {
	out := pollenlatch.Spec{
		Services: replaceByName(base.Services, spec.Services, func(s pollenlatch.Service) string { return s.Name }),
		Callers:  replaceByName(base.Callers, spec.Callers, func(c pollenlatch.Caller) string { return c.Name }),
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

// replaceByName returns base with the elements of updates, which replace those of
// the same name.
func replaceByName[T any](base, updates []T, nameOf func(T) string) []T {
	out := slices.Clone(base)
	for _, update := range updates {
		i := slices.IndexFunc(out, func(existing T) bool { return nameOf(existing) == nameOf(update) })
		if i < 0 {
			out = append(out, update)
			continue
		}
		out[i] = update
	}
	return out
}

// Diff returns the differences between two whole configurations: first the values
// of before that changed or are gone, in their order, then those only in after.
func Diff(before, after pollenlatch.Spec) []Change {
	old, updated := flatten(before), flatten(after)
	var list []Change
	for _, path := range old.order {
		if old.values[path] != updated.values[path] {
			list = append(list, Change{Path: path, Old: old.values[path], New: updated.values[path]})
		}
	}
	for _, path := range updated.order {
		if _, ok := old.values[path]; !ok {
			list = append(list, Change{Path: path, New: updated.values[path]})
		}
	}
	return list
}

// flatSpec is a configuration as a flat list of values, each with its path.
type flatSpec struct {
	values map[string]string // by path
	order  []string          // paths in the order of the configuration
}

func flatten(s pollenlatch.Spec) *flatSpec {
	f := &flatSpec{values: make(map[string]string)}
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

func (f *flatSpec) add(path string, v reflect.Value) {
	if text, ok := formatScalar(v); ok {
		f.values[path] = text
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

// formatScalar formats v, or returns false if v is a list or a struct.
func formatScalar(v reflect.Value) (string, bool) {
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
