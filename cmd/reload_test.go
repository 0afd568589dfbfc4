package cmd

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/conf"
)

const platformSettings = `adapter: platform
name: 10.0.0.1
dc: howrah
addresses: {link: "10.0.0.1:7000", control: "10.0.0.1:7001"}
seeds: ["10.0.0.2:7001", "10.0.0.3:7001"]
beat: 1s
`

// A change of the voters must be applied: otherwise the process keeps contacting
// voters that are gone. An invalid or missing file must change nothing.
func TestReload(t *testing.T) {
	file := filepath.Join(t.TempDir(), "settings.yaml")
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	write(platformSettings)
	s, err := conf.Load(file)
	require.NoError(t, err)
	var got []pollenlatch.Member
	r := &reloader{file: file, current: s, setContacts: func(m []pollenlatch.Member) { got = m }}

	r.reload()
	require.Empty(t, got, "nothing has changed")
	write("adapter: platform\nseeds: [")
	r.reload()
	require.Empty(t, got, "an invalid file must change nothing")
	require.NoError(t, os.Remove(file))
	r.reload()
	require.Empty(t, got)
	write(strings.Replace(platformSettings, "10.0.0.3", "10.0.0.9", 1))
	r.reload()
	require.Equal(t, []pollenlatch.Member{
		{Name: "10.0.0.2", Addr: "10.0.0.2:7000"}, {Name: "10.0.0.9", Addr: "10.0.0.9:7000"},
	}, got)
}
