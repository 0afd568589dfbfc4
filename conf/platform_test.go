package conf

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const platformSettings = `adapter: platform
name: 10.0.0.1
dc: howrah
addresses: {link: "10.0.0.1:7000", front: "10.0.0.1:8000", control: "10.0.0.1:7001"}
server: 10.0.0.1:9000
service: shop
seeds: ["10.0.0.2:7001", "10.0.0.3:7001", "10.0.0.4:7001"]
beat: 1s
`

// The voters and timings that are derived from the settings must be those of the
// deployment, or the process finds no leader.
func TestPlatformSettings(t *testing.T) {
	s, err := Parse("x.yaml", []byte(platformSettings))
	require.NoError(t, err)
	require.Equal(t, []Contact{
		{Name: "10.0.0.2", Addr: "10.0.0.2:7000"}, {Name: "10.0.0.3", Addr: "10.0.0.3:7000"}, {Name: "10.0.0.4", Addr: "10.0.0.4:7000"},
	}, s.Voters)
	require.Equal(t, TimingsFor(time.Second), s.Timings)
}

func TestTimingsFor(t *testing.T) {
	for _, heartbeatInterval := range []time.Duration{100 * time.Millisecond, time.Second, 5 * time.Second} {
		got := TimingsFor(heartbeatInterval)
		require.Greater(t, got.Lease, 2*heartbeatInterval, "a late heartbeat must not end the server's grants")
		require.GreaterOrEqual(t, got.Lease, got.Election+got.Grace, "the loss of the leader must not end all leases")
		require.Greater(t, got.Election, 2*got.Heartbeat)
		require.Greater(t, got.Lease, 3*got.Renew)
	}
}

// A drain that is shorter than the platform's grace period allows aborts responses
// for no reason. One that is longer lasts until the process is killed while it
// sends responses.
func TestDrainFollowsKillGrace(t *testing.T) {
	for grace, want := range map[time.Duration]time.Duration{
		6 * time.Second:        5600 * time.Millisecond,
		4 * time.Second:        3600 * time.Millisecond,
		300 * time.Millisecond: 150 * time.Millisecond,
	} {
		text := strings.Replace(platformSettings, "beat: 1s\n", "beat: 1s\nbounds: {grace: "+grace.String()+"}\n", 1)
		require.NotEqual(t, platformSettings, text)
		s, err := Parse("x.yaml", []byte(text))
		require.NoError(t, err)
		require.Equal(t, want, s.Timings.Drain, grace)
	}
}

// The names of the limits are fixed by deploy/settings.yaml.
func TestPlatformLimits(t *testing.T) {
	text := platformSettings + "bounds: {hold: 10000ms, drain: 2000ms, evacuate: 5000ms}\n"
	s, err := Parse("x.yaml", []byte(text))
	require.NoError(t, err)
	require.Equal(t, PlatformLimits{MaxGrantTTL: 10 * time.Second, Drain: 2 * time.Second, Evacuation: 5 * time.Second}, s.PlatformLimits)
}

// Invalid settings must be rejected at the start, with the name of the field.
func TestInvalidPlatformSettings(t *testing.T) {
	for _, tt := range []struct{ name, old, replacement, want string }{
		{"unknown adapter", "adapter: platform", "adapter: cloud", "adapter"},
		{"no name", "name: 10.0.0.1\n", "", "name"},
		{"no data centre", "dc: howrah\n", "", "dc"},
		{"no heartbeat interval", "beat: 1s\n", "", "beat"},
		{"no control address", `, control: "10.0.0.1:7001"`, "", "addresses.control"},
		{"link address without port", `link: "10.0.0.1:7000"`, `link: "10.0.0.1"`, "addresses.link"},
		{"invalid front address", `front: "10.0.0.1:8000"`, `front: "here"`, "addresses.front"},
		{"front address without local server", "server: 10.0.0.1:9000\n", "", "service"},
		{"no seeds", `seeds: ["10.0.0.2:7001", "10.0.0.3:7001", "10.0.0.4:7001"]` + "\n", "", "seeds"},
		{"seed without port", `"10.0.0.3:7001"`, `"10.0.0.3"`, "seeds[1]"},
		{"not YAML", "beat: 1s", "beat: [", ""},
	} {
		t.Run(tt.name, func(t *testing.T) {
			require.Contains(t, platformSettings, tt.old)
			_, err := Parse("x.yaml", []byte(strings.Replace(platformSettings, tt.old, tt.replacement, 1)))
			require.ErrorContains(t, err, tt.want)
		})
	}
}
