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

// Each file in testdata is a scenario. Its first line gives the failure that it
// guards against.
func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{Dir: "testdata", Setup: Setup, Cmds: Commands(), RequireUniqueNames: true})
}

// A scenario that does not end with check never compares outcomes with runs, so it
// would miss every contradiction.
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

// All scenarios rely on FindContradictions, so it must find each kind of
// contradiction and report nothing else.
func TestFindContradictions(t *testing.T) {
	run := func(id string, at int64, fence pollenlatch.Fence) sample.Run {
		return sample.Run{ID: id, Start: time.Unix(at, 0), Fence: fence}
	}
	for _, c := range []struct {
		name     string
		outcomes map[string]string
		runs     []sample.Run
		want     string // empty when there is none
	}{
		{"ran once", map[string]string{"a": "run"}, []sample.Run{run("a", 1, 5)}, ""},
		{"unknown may have run", map[string]string{"a": "unknown", "b": "unknown"}, []sample.Run{run("a", 1, 5)}, ""},
		{"ran twice", map[string]string{"a": "run"}, []sample.Run{run("a", 1, 5), run("a", 2, 6)}, "request a ran 2 times"},
		{"ran despite not-run", map[string]string{"a": "not-run"}, []sample.Run{run("a", 1, 5)}, "request a ran, but its caller received not-run"},
		{"never ran", map[string]string{"a": "run"}, nil, "request a did not run, but its caller received run"},
		{"lower fence after a higher one", nil, []sample.Run{run("a", 1, 6), run("b", 2, 5)}, "request b ran under fence 5 of range 0 after request a ran under fence 6"},
	} {
		t.Run(c.name, func(t *testing.T) {
			found := FindContradictions(c.outcomes, c.runs)
			if c.want == "" {
				require.Empty(t, found)
				return
			}
			require.Equal(t, []string{c.want}, found)
		})
	}
}
