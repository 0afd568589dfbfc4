package state

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
)

// configHarness applies configuration changes to a state.
type configHarness struct {
	t     *testing.T
	state *State
}

func newConfigHarness(t *testing.T) *configHarness {
	t.Helper()
	return &configHarness{t: t, state: &State{}}
}

func (h *configHarness) change(items ...pollenlatch.ConfigItem) pollenlatch.Verdict {
	h.t.Helper()
	c := &pollenlatch.ConfigChange{Items: items}
	faults, _ := h.state.ChangeFaults(c)
	next, result := h.state.Apply(h.state.Version()+1, &pollenlatch.Command{Change: c})
	h.state = next
	require.NotNil(h.t, result.Verdict)
	require.Equal(h.t, len(faults) == 0, result.Verdict.Accepted, "ChangeFaults differs from the verdict")
	return *result.Verdict
}

// service returns the service that receives a request for a path, or "".
func (h *configHarness) service(host, path string) string {
	r, ok := h.state.Route(host, path)
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

// A request that matches several routes takes the one with the longest prefix.
func TestRoute(t *testing.T) {
	h := newConfigHarness(t)
	require.False(t, h.state.Configured())
	require.True(t, h.change(
		serviceItem("all", 1), serviceItem("deep", 1), serviceItem("other", 1),
		routeItem("r1", 1, "a.example", "/", "all"),
		routeItem("r2", 1, "a.example", "/deep/", "deep"),
		routeItem("r3", 1, "b.example", "/x/", "other"),
	).Accepted)
	require.True(t, h.state.Configured())
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
		t.Run(tt.host+tt.path, func(t *testing.T) { require.Equal(t, tt.want, h.service(tt.host, tt.path)) })
	}
}

// For each item the highest revision is in force, in whatever order changes arrive.
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
		{"newer deletion", []pollenlatch.ConfigItem{set(3, "s1"), drop(4)}, ""},
		{"older deletion changes nothing", []pollenlatch.ConfigItem{set(5, "s1"), drop(4)}, "s1"},
		{"older item after a deletion", []pollenlatch.ConfigItem{drop(4), set(3, "s1")}, ""},
		{"newer item after a deletion", []pollenlatch.ConfigItem{drop(4), set(6, "s1")}, "s1"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newConfigHarness(t)
			h.change(serviceItem("s1", 1), serviceItem("s2", 1))
			for _, i := range tt.changes {
				require.True(t, h.change(i).Accepted, "an outdated change is accepted too")
			}
			require.Equal(t, tt.want, h.service("a", "/"))

			img, err := h.state.Snapshot()
			require.NoError(t, err)
			h.state, err = Load(img)
			require.NoError(t, err)
			require.Equal(t, tt.want, h.service("a", "/"), "after a snapshot")
			require.True(t, h.change(set(1, "s2")).Accepted)
			require.Equal(t, tt.want, h.service("a", "/"), "the snapshot lost the revision")
		})
	}
}

// A change with a fault, in itself or with the current configuration, must have no
// effect, not even by its valid items.
func TestRejectedChange(t *testing.T) {
	for _, tt := range []struct {
		name  string
		items []pollenlatch.ConfigItem
	}{
		{"route to an unknown service", []pollenlatch.ConfigItem{routeItem("r2", 2, "b", "/", "s9")}},
		{"two routes with one host and prefix", []pollenlatch.ConfigItem{routeItem("r2", 2, "A", "/", "s1")}},
		{"two such routes within one change", []pollenlatch.ConfigItem{routeItem("r2", 2, "b", "/", "s1"), routeItem("r3", 2, "b", "/", "s1")}},
		{"a service in use is deleted", []pollenlatch.ConfigItem{dropItem(pollenlatch.ItemService, "s1", 2)}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newConfigHarness(t)
			require.True(t, h.change(serviceItem("s1", 1), routeItem("r1", 1, "a", "/", "s1")).Accepted)
			before := h.state.Items()
			v := h.change(append([]pollenlatch.ConfigItem{routeItem("good", 2, "good", "/", "s1")}, tt.items...)...)
			require.False(t, v.Accepted)
			require.NotEmpty(t, v.Faults)
			require.Equal(t, before, h.state.Items())
			require.Empty(t, h.service("good", "/"))
		})
	}
	t.Run("a service is deleted with its routes", func(t *testing.T) {
		h := newConfigHarness(t)
		h.change(serviceItem("s1", 1), routeItem("r1", 1, "a", "/", "s1"))
		require.True(t, h.change(dropItem(pollenlatch.ItemService, "s1", 2), dropItem(pollenlatch.ItemRoute, "r1", 2)).Accepted)
		require.Empty(t, h.state.Items())
		require.True(t, h.state.Configured())
	})
}
