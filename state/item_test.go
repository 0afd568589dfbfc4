package state

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// itemBook applies changes to a state.
type itemBook struct {
	t *testing.T
	s *State
}

func newItemBook(t *testing.T) *itemBook {
	t.Helper()
	return &itemBook{t: t, s: &State{}}
}

func (b *itemBook) change(items ...pollenlatch.ConfigItem) pollenlatch.Verdict {
	b.t.Helper()
	c := &pollenlatch.ConfigChange{Items: items}
	faults, _ := b.s.ChangeFaults(c)
	next, result := b.s.Apply(b.s.Version()+1, &pollenlatch.Command{Change: c})
	b.s = next
	require.NotNil(b.t, result.Verdict)
	require.Equal(b.t, len(faults) == 0, result.Verdict.Accepted, "the check before agreement differs from the verdict")
	return *result.Verdict
}

// service returns the service that a request for a path goes to, or "".
func (b *itemBook) service(host, path string) string {
	r, ok := b.s.Route(host, path)
	if !ok {
		return ""
	}
	return r.Services[0].Service
}

func routeItem(name string, revision uint64, host, prefix, service string) pollenlatch.ConfigItem {
	return pollenlatch.ConfigItem{Kind: pollenlatch.ItemRoute, Name: name, Revision: revision, Raw: []byte(name), Route: &pollenlatch.Route{
		Name: name, Host: host, Prefix: prefix, Timeout: time.Second, Services: []pollenlatch.WeightedService{{Service: service, Weight: 1}},
	}}
}

func serviceItem(name string, revision uint64) pollenlatch.ConfigItem {
	return pollenlatch.ConfigItem{Kind: pollenlatch.ItemService, Name: name, Revision: revision, Service: &pollenlatch.Service{Name: name}}
}

func dropItem(kind pollenlatch.ItemKind, name string, revision uint64) pollenlatch.ConfigItem {
	return pollenlatch.ConfigItem{Kind: kind, Name: name, Revision: revision, Deleted: true}
}

// A request that matches several routes goes to the longest prefix only.
func TestRoute(t *testing.T) {
	b := newItemBook(t)
	require.False(t, b.s.Configured())
	require.True(t, b.change(
		serviceItem("all", 1), serviceItem("deep", 1), serviceItem("other", 1),
		routeItem("r1", 1, "a.example", "/", "all"),
		routeItem("r2", 1, "a.example", "/deep/", "deep"),
		routeItem("r3", 1, "b.example", "/x/", "other"),
	).Accepted)
	require.True(t, b.s.Configured())
	for _, tt := range []struct{ host, path, want string }{
		{"a.example", "/", "all"},
		{"a.example", "/deep", "all"},
		{"a.example", "/deep/1", "deep"},
		{"A.EXAMPLE", "/deep/1", "deep"},
		{"b.example", "/x/1", "other"},
		{"b.example", "/deep/1", ""},
		{"c.example", "/", ""},
		{"", "/", ""},
	} {
		t.Run(tt.host+tt.path, func(t *testing.T) { require.Equal(t, tt.want, b.service(tt.host, tt.path)) })
	}
}

// For each name the highest revision counts, in whatever order changes arrive.
func TestRevisions(t *testing.T) {
	set := func(revision uint64, service string) pollenlatch.ConfigItem {
		return routeItem("r1", revision, "a", "/", service)
	}
	drop := func(revision uint64) pollenlatch.ConfigItem { return dropItem(pollenlatch.ItemRoute, "r1", revision) }
	for _, tt := range []struct {
		name    string
		changes []pollenlatch.ConfigItem
		want    string
	}{
		{"newer replaces", []pollenlatch.ConfigItem{set(3, "s1"), set(5, "s2")}, "s2"},
		{"older changes nothing", []pollenlatch.ConfigItem{set(5, "s2"), set(3, "s1")}, "s2"},
		{"equal changes nothing", []pollenlatch.ConfigItem{set(5, "s2"), set(5, "s1")}, "s2"},
		{"newer drop", []pollenlatch.ConfigItem{set(3, "s1"), drop(4)}, ""},
		{"older drop changes nothing", []pollenlatch.ConfigItem{set(5, "s1"), drop(4)}, "s1"},
		{"older item after a drop", []pollenlatch.ConfigItem{drop(4), set(3, "s1")}, ""},
		{"newer item after a drop", []pollenlatch.ConfigItem{drop(4), set(6, "s1")}, "s1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newItemBook(t)
			b.change(serviceItem("s1", 1), serviceItem("s2", 1))
			for _, i := range tt.changes {
				require.True(t, b.change(i).Accepted, "an overtaken change is acknowledged too")
			}
			require.Equal(t, tt.want, b.service("a", "/"))

			img, err := b.s.Snapshot()
			require.NoError(t, err)
			b.s, err = Load(img)
			require.NoError(t, err)
			require.Equal(t, tt.want, b.service("a", "/"), "after a snapshot")
			require.True(t, b.change(set(1, "s2")).Accepted)
			require.Equal(t, tt.want, b.service("a", "/"), "a snapshot forgets revisions")
		})
	}
}

// No part of a change that contradicts itself or what stands comes into force.
func TestBadChange(t *testing.T) {
	for _, tt := range []struct {
		name  string
		items []pollenlatch.ConfigItem
	}{
		{"route to an unknown service", []pollenlatch.ConfigItem{routeItem("r2", 2, "b", "/", "s9")}},
		{"two routes with one host and prefix", []pollenlatch.ConfigItem{routeItem("r2", 2, "A", "/", "s1")}},
		{"the same within one change", []pollenlatch.ConfigItem{routeItem("r2", 2, "b", "/", "s1"), routeItem("r3", 2, "b", "/", "s1")}},
		{"a service in use is dropped", []pollenlatch.ConfigItem{dropItem(pollenlatch.ItemService, "s1", 2)}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b := newItemBook(t)
			require.True(t, b.change(serviceItem("s1", 1), routeItem("r1", 1, "a", "/", "s1")).Accepted)
			before := b.s.Items()
			v := b.change(append([]pollenlatch.ConfigItem{routeItem("good", 2, "good", "/", "s1")}, tt.items...)...)
			require.False(t, v.Accepted)
			require.NotEmpty(t, v.Faults)
			require.Equal(t, before, b.s.Items())
			require.Empty(t, b.service("good", "/"))
		})
	}
	t.Run("a service is dropped with its routes", func(t *testing.T) {
		b := newItemBook(t)
		b.change(serviceItem("s1", 1), routeItem("r1", 1, "a", "/", "s1"))
		require.True(t, b.change(dropItem(pollenlatch.ItemService, "s1", 2), dropItem(pollenlatch.ItemRoute, "r1", 2)).Accepted)
		require.Empty(t, b.s.Items())
		require.True(t, b.s.Configured())
	})
}
