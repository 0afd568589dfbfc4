package cmd

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// The error must name the remedy: otherwise an operator may run init on the data
// folder of a voter that has to be replaced, or start a second process.
func TestServeErrorNamesRemedy(t *testing.T) {
	dir := t.TempDir()
	require.NoError(t, os.WriteFile(filepath.Join(dir, "key"), bytes.Repeat([]byte("k"), 40), 0o600))
	require.NoError(t, os.Mkdir(filepath.Join(dir, "data"), 0o700))
	file := filepath.Join(dir, "s.yaml")
	settings := `name: one
dc: howrah
addresses: {link: "127.0.0.1:1", front: "127.0.0.1:2", local: "127.0.0.1:3", admin: "127.0.0.1:4"}
voters:
  - {name: one, addr: "127.0.0.1:1"}
voter: {data: data}
keyfile: key
`
	require.NoError(t, os.WriteFile(file, []byte(settings), 0o600))
	var out, errs bytes.Buffer
	require.Equal(t, exitFailed, Run([]string{"serve", "-c", file}, &out, &errs))
	require.Contains(t, errs.String(), "has no identity")
	require.Contains(t, errs.String(), "run pollenlatch init once")
}
