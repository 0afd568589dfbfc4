package cmd

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A script sends a change after the check, so that a refused one must not exit with 0,
// and warnings must not look like an answer that is missing.
func TestCheckConfig(t *testing.T) {
	for _, tt := range []struct {
		name, stdin  string
		args         []string
		code         int
		stdout, text string
	}{
		{
			name: "fine", args: []string{"--current", "../platform/wire/testdata/current.json", "../platform/wire/testdata/change.json"}, code: exitOK,
			stdout: "../platform/wire/testdata/change.json: changed: routes.r: priority 1 -> 2, version \"r5\" -> \"r6\"\n" +
				"../platform/wire/testdata/change.json: without effect: services.s\n" +
				"../platform/wire/testdata/change.json: errors 0, warnings 0, notes 0\n",
		},
		{
			name: "the first file precedes the second", args: []string{"--current", "../platform/wire/testdata/current.json", "../platform/wire/testdata/change.json", "../platform/wire/testdata/stale.json"}, code: exitWarnings,
			stdout: "../platform/wire/testdata/change.json: changed: routes.r: priority 1 -> 2, version \"r5\" -> \"r6\"\n" +
				"../platform/wire/testdata/change.json: without effect: services.s\n" +
				"../platform/wire/testdata/change.json: errors 0, warnings 0, notes 0\n" +
				"../platform/wire/testdata/stale.json: warning: routes.r: has no effect: revision 6 is not above revision 6, which is in force\n" +
				"../platform/wire/testdata/stale.json: without effect: routes.r\n" +
				"../platform/wire/testdata/stale.json: errors 0, warnings 1, notes 0\n",
			text: "no errors, warnings: 1",
		},
		{
			name: "refused", args: []string{"--current", "../platform/wire/testdata/current.json", "../platform/wire/testdata/refused.json"}, code: exitFailed,
			stdout: "../platform/wire/testdata/refused.json: error: item \"q\": version is not the letter r followed by a positive number: \"7\"\n" +
				"../platform/wire/testdata/refused.json: error: item \"r\": timeout or priority: field is missing or invalid\n" +
				"../platform/wire/testdata/refused.json: errors 2, warnings 0, notes 0\n",
			text: "would refuse: 1",
		},
		{
			name: "nothing in force", args: []string{"../platform/wire/testdata/stale.json"}, code: exitFailed,
			stdout: "../platform/wire/testdata/stale.json: error: routes.r: service \"s\" does not exist\n" +
				"../platform/wire/testdata/stale.json: errors 1, warnings 0, notes 0\n",
			text: "on top of an empty configuration; name the one in force with --current",
		},
		{
			name: "standard input", args: []string{"-"}, stdin: "{", code: exitFailed,
			stdout: "/dev/stdin: error: unexpected end of JSON input\n/dev/stdin: errors 1, warnings 0, notes 0\n", text: "would refuse: 1",
		},
		{name: "a change as the configuration in force", args: []string{"--current", "../platform/wire/testdata/change.json", "../platform/wire/testdata/change.json"}, code: exitUsage, text: "not a configuration in force"},
		{name: "no file", code: exitUsage, text: "FILE is missing"},
		{name: "missing file", args: []string{"../platform/wire/testdata/none.json"}, code: exitUsage, text: "no such file"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			r := &commandRunner{t: t, stdin: tt.stdin, environ: make(map[string]string)}
			code, stdout, stderr := r.run(append([]string{"check-config"}, tt.args...)...)
			require.Equal(t, tt.code, code, stderr)
			require.Equal(t, tt.stdout, stdout)
			require.Contains(t, stderr, tt.text)
		})
	}
}
