package lint

import (
	"encoding/json"
	"errors"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/state"
)

func newRoute(name string, revision uint64, edit func(*pollenlatch.Route)) pollenlatch.ConfigItem {
	r := &pollenlatch.Route{
		Name: name, Host: "a.example", Prefix: "/" + name + "/", Idempotent: true, Timeout: time.Second,
		Services: []pollenlatch.WeightedService{{Service: "s", Weight: 1}},
	}
	if edit != nil {
		edit(r)
	}
	raw, _ := json.Marshal(r)
	return pollenlatch.ConfigItem{Kind: pollenlatch.ItemRoute, Name: name, Revision: revision, Raw: raw, Route: r}
}

func newService(name string, revision uint64, edit func(*pollenlatch.Service)) pollenlatch.ConfigItem {
	s := &pollenlatch.Service{Name: name, MaxRun: 30 * time.Second, HealthPath: "/h"}
	if edit != nil {
		edit(s)
	}
	raw, _ := json.Marshal(s)
	return pollenlatch.ConfigItem{Kind: pollenlatch.ItemService, Name: name, Revision: revision, Raw: raw, Service: s}
}

func newLimits(l pollenlatch.Limits) pollenlatch.ConfigItem {
	return pollenlatch.ConfigItem{Kind: pollenlatch.ItemLimits, Revision: 9, Limits: &l}
}

func removal(kind pollenlatch.ItemKind, name string, revision uint64) pollenlatch.ConfigItem {
	return pollenlatch.ConfigItem{Kind: kind, Name: name, Revision: revision, Deleted: true}
}

// newState returns a state with service s and route r at revision 5, and with route
// gone removed at revision 6.
func newState(t *testing.T) *state.State {
	t.Helper()
	s, res := new(state.State).Apply(1, &pollenlatch.Command{Change: &pollenlatch.ConfigChange{Items: []pollenlatch.ConfigItem{
		newService("s", 5, nil), newRoute("r", 5, nil), removal(pollenlatch.ItemRoute, "gone", 6),
	}}})
	require.True(t, res.Verdict.Accepted)
	return s
}

func texts[T interface{ String() string }](list []T) []string {
	out := []string{}
	for _, v := range list {
		out = append(out, v.String())
	}
	return out
}

type items = []pollenlatch.ConfigItem

func TestCheck(t *testing.T) {
	route := func(edit func(*pollenlatch.Route)) items { return items{newRoute("n", 9, edit)} }
	host := func(h string) items { return route(func(r *pollenlatch.Route) { r.Host = h }) }
	prefix := func(p string) items { return route(func(r *pollenlatch.Route) { r.Prefix = p }) }
	service := func(edit func(*pollenlatch.Service)) items { return items{newService("s", 9, edit)} }
	split := func(s ...pollenlatch.WeightedService) items {
		return route(func(r *pollenlatch.Route) { r.Services = s })
	}
	for _, tt := range []struct {
		mistake string
		items   items
		want    []string
	}{
		{"none", route(nil), nil},
		{"none: an upper-case host, an IPv6 address, an escape", items{
			newRoute("n", 9, func(r *pollenlatch.Route) { r.Host = "A.Example" }),
			newRoute("m", 9, func(r *pollenlatch.Route) { r.Host, r.Prefix = "::1", "/%2F/" }),
		}, nil},
		{"none: a longer prefix leaves the path that equals the shorter one", prefix("/r/x/"), nil},
		{"none: the file as read, sent back", items{newService("s", 5, nil), newRoute("r", 5, nil)}, nil},

		{"service forgotten", split(pollenlatch.WeightedService{Service: "typo", Weight: 1}), []string{`error: routes.n: service "typo" does not exist`}},
		{"service in use removed", items{removal(pollenlatch.ItemService, "s", 9)}, []string{`error: routes.r: service "s" does not exist`}},
		{"host and prefix of another route, copied", prefix("/r/"), []string{`error: routes.r: has the same host and path prefix as "n"`}},
		{"item without a timeout", route(func(r *pollenlatch.Route) { r.Timeout = 0 }), []string{`error: item "n": timeout is not above 0`}},

		{"host with a port", host("a.example:80"), []string{`warning: routes.n: never matches: host "a.example:80" has a port, and hosts are compared without one`}},
		{"URL as host", host("http://a.example"), []string{`warning: routes.n: never matches: "http://a.example" is not the name of a host`}},
		{"space after the host", host("a.example "), []string{`warning: routes.n: never matches: "a.example " is not the name of a host`}},
		{"wildcard host", host("*.example"), []string{`warning: routes.n: host "*.example" has a wildcard, but hosts are compared literally`}},
		{"prefix with a query", prefix("/a?b=/"), []string{`warning: routes.n: never matches: prefix "/a?b=/" has a query or a fragment, which no path has`}},
		{"prefix with a space", prefix("/a b/"), []string{`warning: routes.n: never matches: prefix "/a b/" has a space or control character, and paths are compared as sent`}},
		{"prefix with a percent sign", prefix("/100%/"), []string{`warning: routes.n: never matches: prefix "/100%/" has an invalid percent escape`}},
		{"prefix without a slash at the end", prefix("/a"), []string{`warning: routes.n: prefix "/a" does not end with a slash and also matches longer names, such as "/ax"`}},
		{"weight left at 0", split(pollenlatch.WeightedService{Service: "s", Weight: 1}, pollenlatch.WeightedService{Service: "s"}), []string{
			`warning: routes.n: service "s" has weight 0 and gets no requests`,
			`warning: routes.n: service "s" is listed more than once, and its weights add up`,
		}},

		{"change in the format of what is read", nil, []string{`warning: the change names no item`}},
		{"removal of a misspelt route", items{removal(pollenlatch.ItemRoute, "typo", 9)}, []string{`warning: routes.typo: is removed, but does not exist`}},
		{"revision not raised", items{newRoute("r", 5, func(r *pollenlatch.Route) { r.Timeout = time.Minute })}, []string{
			`warning: routes.r: has no effect: revision 5 is not above revision 5, which is in force`,
		}},
		{"revision of a removal not raised", items{removal(pollenlatch.ItemRoute, "r", 4)}, []string{`warning: routes.r: has no effect: revision 4 is not above revision 5, which is in force`}},
		{"removed route added with its old revision", items{newRoute("gone", 5, nil)}, []string{`warning: routes.gone: has no effect: revision 5 is not above that of its removal`}},
		{"route set and removed", items{newRoute("r", 9, nil), removal(pollenlatch.ItemRoute, "r", 9)}, []string{
			`warning: routes.r: is named twice by the same change; the highest revision is in force`,
		}},

		{"target and timeout swapped", route(func(r *pollenlatch.Route) { r.LatencyTarget = 2 * time.Second }), []string{
			`warning: routes.n: latency target 2s is above the timeout 1s: no response in time misses it`,
		}},
		{"negative target", route(func(r *pollenlatch.Route) { r.LatencyTarget = -1 }), []string{`warning: routes.n: latency target -1ns is negative and is not used`}},
		{"attempts of a purchase copied from a read", route(func(r *pollenlatch.Route) { r.Idempotent, r.MaxAttempts = false, 3 }), []string{
			`note: routes.n: requests are not repeatable: of 3 attempts, those after the first follow only a refusal`,
		}},
		{"timeout in the wrong unit", route(func(r *pollenlatch.Route) { r.Timeout = time.Minute }), []string{`note: routes.n: timeout 1m0s is above the 30s that a request to service "s" may run`}},
		{"cold rate without a cold time", service(func(s *pollenlatch.Service) { s.ColdRate = 14 }), []string{
			`warning: services.s: has a request rate for cold servers, but no time for which they are cold: there is no slow start`,
		}},
		{"cold rate without a health path", service(func(s *pollenlatch.Service) { s.ColdRate, s.ColdTime, s.HealthPath = 14, 1, "" }), []string{
			`note: services.s: has a request rate for cold servers, but no health path: a server that becomes cold again is not noticed by a health check`,
		}},
		{"negative limits", items{newLimits(pollenlatch.Limits{MaxBodyBytes: -1, IdleTimeout: -1})}, []string{
			`warning: limits: size -1 is negative and is not used`, `warning: limits: timeout -1ns is negative and is not used`,
		}},
		{"service whose route was forgotten", items{newService("new", 9, nil)}, []string{`note: services.new: no route leads to it`}},
	} {
		t.Run(tt.mistake, func(t *testing.T) {
			before := newState(t)
			r := Check(before, true, tt.items)
			require.Equal(t, append([]string{}, tt.want...), texts(r.Findings))
			change := &pollenlatch.ConfigChange{Items: tt.items}
			_, res := before.Apply(2, &pollenlatch.Command{Change: change})
			require.Equal(t, change.Check() != nil || !res.Verdict.Accepted, r.Count(SeverityError) > 0, "the verdict must be the group's")
			if r.Count(SeverityError) > 0 {
				require.Same(t, before, r.Next, "a refused change must not be the base of the next one")
			}
		})
	}
}

// An operator must see what a change does before it is sent: an item that is changed
// or removed by mistake is in force at once.
func TestDifferences(t *testing.T) {
	r := Check(newState(t), true, items{
		newRoute("r", 9, func(r *pollenlatch.Route) { r.MaxAttempts = 2 }), newService("s", 5, nil), newService("t", 9, nil),
	})
	require.Equal(t, []string{"changed: routes.r: MaxAttempts 0 -> 2", "without effect: services.s", "added: services.t"}, texts(r.Differences))
	r = Check(newState(t), true, items{removal(pollenlatch.ItemRoute, "r", 9)})
	require.Equal(t, []string{"removed: routes.r"}, texts(r.Differences))
}

// Without the configuration in force it is not known which items exist.
func TestCheckWithoutCurrent(t *testing.T) {
	require.Empty(t, Check(new(state.State), false, items{removal(pollenlatch.ItemRoute, "r", 9)}).Findings)
}

// Scripts compare outputs, so that the order of faults must not vary between runs.
func TestOrder(t *testing.T) {
	require.Equal(t, []string{"error: a", "error: b"}, texts(Undecodable(nil, errors.Join(errors.New("b"), errors.New("a"))).Findings))
	change := items{}
	for _, name := range []string{"d", "c", "b", "a"} {
		change = append(change, newRoute(name, 9, func(r *pollenlatch.Route) { r.Host = name }), newRoute(name+"2", 9, func(r *pollenlatch.Route) { r.Host, r.Prefix = name, "/"+name+"/" }))
	}
	first := texts(Check(newState(t), true, change).Findings)
	require.Len(t, first, 4)
	for range 20 {
		require.Equal(t, first, texts(Check(newState(t), true, change).Findings))
	}
}

// Asking the group's rule about each item on its own takes 1.2 s, since it copies the
// items each time.
func BenchmarkCheck(b *testing.B) {
	before, change := items{newService("s", 9, nil)}, items{}
	for n := range 1000 {
		before = append(before, newRoute(strconv.Itoa(n), 9, nil))
		change = append(change, newRoute(strconv.Itoa(n), 10, nil))
	}
	s, _ := new(state.State).Apply(1, &pollenlatch.Command{Change: &pollenlatch.ConfigChange{Items: before}})
	for b.Loop() {
		Check(s, true, change)
	}
}
