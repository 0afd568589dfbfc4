package conf

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/state"
	"pollenlatch/ticket"
	"pollenlatch/yamlx"
)

const minimal = `name: a
dc: nadia
addresses: {link: "10.0.0.1:7000", front: "10.0.0.1:8080"}
voters:
  - {name: v, addr: "10.0.0.9:7000"}
keyfile: key
`

// A default that is lost or changed would change the timings of a group unnoticed.
func TestDefaults(t *testing.T) {
	s, err := Parse("/etc/pollenlatch/s.yaml", []byte(minimal))
	require.NoError(t, err)
	want := Defaults()
	want.Name, want.DC = "a", "nadia"
	want.Addresses.Link, want.Addresses.Front = "10.0.0.1:7000", "10.0.0.1:8080"
	want.Voters = []Contact{{Name: "v", Addr: "10.0.0.9:7000"}}
	want.KeyFile = "/etc/pollenlatch/key"
	require.Equal(t, want, s)
	require.Equal(t, 500*time.Millisecond, s.Timings.Lease)
}

// Invalid or contradictory settings must be rejected at the start. Otherwise the
// process fails later, while it serves.
func TestInvalidSettings(t *testing.T) {
	for _, c := range []struct{ name, extra, want string }{
		{"lease shorter than two renewals", "timings: {lease: 150ms}", "s.yaml:7: timings.lease: 150ms is shorter than two renewals of 100ms"},
		{"lease shorter than an election", "timings: {lease: 300ms}", "does not outlast an election"},
		{"election timeout shorter than three heartbeats", "timings: {election: 100ms}", "s.yaml:7: timings.election: 100ms is shorter than three heartbeats"},
		{"grace shorter than two renewals", "timings: {grace: 150ms}", "timings.grace: 150ms is shorter than two renewals"},
		{"ticket in force too late", "timings: {grace: 10.6s}", "only after 11.1s"},
		{"drain too long", "timings: {drain: 3s}", "timings.drain: 3s is longer than 2s"},
		{"zero timing", "timings: {renew: 0s}", "timings.renew: 0s is shorter than 5ms"},
		{"timing without unit", "timings: {renew: 100}", "timings.renew: must be a time with a unit"},
		{"unknown field", "timing: {renew: 1s}", "s.yaml:7: timing: unknown field; known fields: name, dc,"},
		{"too many sessions", "sessions: 5000", "sessions: 5000 is not between 8 and 1024"},
		{"voter without data folder", "voter: {}", "s.yaml:7: voter.data: is missing; name the data folder"},
		{"unknown scope", "tokens: [{name: t, file: f, scope: all}]", "tokens[0].scope: \"all\" is not a scope; give read, tickets or everything"},
		{"token without services", "tokens: [{name: t, file: f, scope: tickets}]", "tokens[0].services: is missing"},
		{"token with services", "tokens: [{name: t, file: f, scope: read, services: [x]}]", "tokens[0].services: has no effect"},
		{"token without scope", "tokens: [{name: t, file: f}]", "tokens[0].scope: is missing"},
	} {
		t.Run(c.name, func(t *testing.T) { requireFault(t, minimal+c.extra, c.want) })
	}
	t.Run("YAML syntax error only", func(t *testing.T) {
		_, err := Parse("s.yaml", []byte("name: [\n"))
		require.ErrorContains(t, err, "YAML syntax")
		require.NotContains(t, err.Error(), "missing")
	})
	for _, c := range []struct{ name, old, new, want string }{
		{"host name", "10.0.0.1:7000", "nadia:7000", "s.yaml:3: addresses.link: \"nadia:7000\" is not an IP address"},
		{"unspecified IP address", "10.0.0.1:7000", "0.0.0.0:7000", "addresses.link: 0.0.0.0:7000 is announced"},
		{"same address twice", "10.0.0.1:8080", "10.0.0.1:7000", "addresses.front: 10.0.0.1:7000 is also addresses.link"},
		{"local address not loopback", "front:", "local: \"10.0.0.1:1\", front:", "addresses.local: 10.0.0.1:1 is not a loopback address"},
		{"public admin address without tokens", "front:", "admin: \"10.0.0.1:1\", front:", "addresses.admin: 10.0.0.1:1 can be reached from outside"},
		{"missing front address", "front: ", "local: ", "addresses.front: is missing"},
		{"listed as voter without data folder", "name: v, addr: \"10.0.0.9", "name: a, addr: \"10.0.0.1", "voters[0]: this instance is listed as a voter"},
		{"listed with another address", "name: v,", "name: a,", "voters[0].addr: 10.0.0.9:7000 is not this instance's"},
		{"no voters", "  - {name: v, addr: \"10.0.0.9:7000\"}\n", "  []\n", "voters: 0 voters to contact"},
		{"invalid name", "name: a", "name: a b", "s.yaml:1: name: \"a b\" is not a name"},
		{"no key file", "keyfile: key", "region: x", "keyfile: is missing"},
	} {
		t.Run(c.name, func(t *testing.T) {
			text := strings.Replace(minimal, c.old, c.new, 1)
			require.NotEqual(t, minimal, text)
			requireFault(t, text, c.want)
		})
	}
}

func requireFault(t *testing.T, text, want string) {
	t.Helper()
	_, err := Parse("s.yaml", []byte(text))
	var e *yamlx.Error
	require.ErrorAs(t, err, &e)
	require.Contains(t, err.Error(), want)
}

// Secrets that other users can read, or that are short enough to be guessed, must
// be rejected.
func TestSecrets(t *testing.T) {
	file := filepath.Join(t.TempDir(), "key")
	s := Settings{KeyFile: file}
	_, err := s.Key()
	require.ErrorIs(t, err, os.ErrNotExist)
	require.NoError(t, os.WriteFile(file, []byte("short\n"), 0o600))
	_, err = s.Key()
	require.ErrorContains(t, err, "holds 5 bytes; put at least 32")
	long := strings.Repeat("x", MinKeyBytes)
	require.NoError(t, os.WriteFile(file, []byte(long+"\n"), 0o600))
	key, err := s.Key()
	require.NoError(t, err)
	require.Equal(t, long, string(key))
	require.NoError(t, os.Chmod(file, 0o640))
	_, err = s.Key()
	require.ErrorContains(t, err, "set its mode to 0600")
}

// Operators copy the examples, so they must stay valid.
func TestExamples(t *testing.T) {
	for _, c := range []struct {
		settings, ticket string
		voter            bool
		services         int
	}{
		{"board/howrah-1.yaml", "board/ticket.yaml", true, 3},
		{"cratehaul/lekki-3.yaml", "cratehaul/ticket.yaml", false, 3},
	} {
		t.Run(c.settings, func(t *testing.T) {
			s, err := Load(filepath.Join("../examples", c.settings))
			require.NoError(t, err)
			require.Equal(t, c.voter, s.Voter.Data != "")
			text, err := os.ReadFile(filepath.Join("../examples", c.ticket))
			require.NoError(t, err)
			number, spec, err := ticket.Parse(string(text))
			require.NoError(t, err)
			st, res := new(state.State).Apply(1, &pollenlatch.Command{Ticket: &pollenlatch.Ticket{Number: number, Text: string(text), Spec: spec}})
			require.Empty(t, res.Verdict.Faults)
			require.Len(t, st.Services(), c.services)
		})
	}
}
