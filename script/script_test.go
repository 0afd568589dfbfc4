package script

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"

	"pollenlatch"
	"pollenlatch/sample"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pollenlatch": func() { os.Exit(RunPollenlatch()) },
		"endpoint":    func() { os.Exit(RunEndpoint()) },
	})
}

// Each scenario guards against the failure that its first line names.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: Setup, Cmds: Commands(), RequireUniqueNames: true})
}

// A scenario without check compares nothing and always passes.
func TestScenariosCheck(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		a, err := txtar.ParseFile(f)
		require.NoError(t, err)
		require.True(t, bytes.HasSuffix(bytes.TrimSpace(a.Comment), []byte("\ncheck")), "%s does not end with check", f)
	}
}

// A check that misses a contradiction lets every scenario pass.
func TestCheck(t *testing.T) {
	run := func(id string, at int64, fence pollenlatch.Fence) sample.Run {
		return sample.Run{ID: id, Start: time.Unix(at, 0), Fence: fence}
	}
	for _, c := range []struct {
		name  string
		told  map[string]string
		runs  []sample.Run
		fault string // empty: none
	}{
		{"run once", map[string]string{"a": "run"}, []sample.Run{run("a", 1, 5)}, ""},
		{"unknown may have run", map[string]string{"a": "unknown", "b": "unknown"}, []sample.Run{run("a", 1, 5)}, ""},
		{"twice", map[string]string{"a": "run"}, []sample.Run{run("a", 1, 5), run("a", 2, 6)}, "request a ran 2 times"},
		{"after not-run", map[string]string{"a": "not-run"}, []sample.Run{run("a", 1, 5)}, "request a ran, and its caller was told not-run"},
		{"never", map[string]string{"a": "run"}, nil, "request a did not run, and its caller was told run"},
		{"earlier owner after a later one", nil, []sample.Run{run("a", 1, 6), run("b", 2, 5)}, "request b ran under fence 5 of range 0 after a had run under fence 6"},
	} {
		t.Run(c.name, func(t *testing.T) {
			faults := FindContradictions(c.told, c.runs)
			if c.fault == "" {
				require.Empty(t, faults)
				return
			}
			require.Equal(t, []string{c.fault}, faults)
		})
	}
}
