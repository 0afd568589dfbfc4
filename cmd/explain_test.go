package cmd

import (
	"bytes"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
)

// The explain command must find a request by its ID in a folder of logs or on
// standard input, which is all that an engineer on call has.
func TestExplain(t *testing.T) {
	const logs = "../trace/testdata/restart"
	call := func(stdin string, args ...string) (int, string, string) {
		var out, errs bytes.Buffer
		code := run(args, &env{stdin: bytes.NewBufferString(stdin), stdout: &out, stderr: &errs, getenv: os.Getenv})
		return code, out.String(), errs.String()
	}
	t.Run("folder", func(t *testing.T) {
		code, out, errs := call("", "explain", "7e484ef31174a601", logs)
		require.Equal(t, exitOK, code, errs)
		require.Contains(t, out, "reason=no-lease")
		require.Contains(t, out, "daemon started")
	})
	t.Run("standard input", func(t *testing.T) {
		b, err := os.ReadFile(logs + "/nadia-2.log")
		require.NoError(t, err)
		code, out, errs := call(string(b), "explain", "7e484ef31174a601", "-")
		require.Equal(t, exitOK, code, errs)
		require.Contains(t, out, "reason=no-lease")
	})
	t.Run("ID without log lines", func(t *testing.T) {
		code, _, errs := call("", "explain", "ffffffffffffffff", logs)
		require.Equal(t, exitFailed, code)
		require.Contains(t, errs, "no log line mentions request")
	})
	t.Run("no such file", func(t *testing.T) {
		code, _, errs := call("", "explain", "x", logs+"/none.log")
		require.Equal(t, exitUsage, code)
		require.Contains(t, errs, "none.log")
	})
}
