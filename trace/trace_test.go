package trace

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// refusedRequestID is the ID of a request in the test logs that was refused by a daemon
// that had just started.
const refusedRequestID = "7e484ef31174a601"

func readTestLogs(t *testing.T, id string) *RequestTrace {
	t.Helper()
	files, err := filepath.Glob("testdata/restart/*.log")
	require.NoError(t, err)
	require.Len(t, files, 2)
	tr := &RequestTrace{ID: id}
	for _, name := range files {
		f, err := os.Open(name)
		require.NoError(t, err)
		require.NoError(t, tr.Read(strings.TrimSuffix(filepath.Base(name), ".log"), f))
		require.NoError(t, f.Close())
	}
	return tr
}

// The lines of several processes must form one path, together with other lines that
// show the cause: here the start of the daemon that refused the request.
func TestRequestPath(t *testing.T) {
	tr := readTestLogs(t, refusedRequestID)
	steps := tr.Steps()
	require.Len(t, steps, 2)
	require.Equal(t, "nadia-3", steps[0].Source)
	require.Equal(t, "no-lease", steps[0].Field("reason"))
	require.Equal(t, "nadia-2", steps[1].Source)
	require.Equal(t, "request", steps[1].Message)
	var messages []string
	for _, e := range tr.Events() {
		if e.Source == "nadia-3" {
			messages = append(messages, e.Message)
		}
	}
	require.Contains(t, messages, "daemon started")
	require.Contains(t, messages, "lease started")
	require.Equal(t, 1, tr.Unstructured)
	var b strings.Builder
	require.NoError(t, tr.Write(&b))
	require.Contains(t, b.String(), "1 lines are not structured")
	require.Less(t, strings.Index(b.String(), "no-lease"), strings.Index(b.String(), "daemon started"))
}

func TestUnknownRequest(t *testing.T) {
	tr := readTestLogs(t, "ffff")
	require.Empty(t, tr.Steps())
	require.Empty(t, tr.Events())
}

// A line that is parsed incorrectly assigns a decision to the wrong process or time.
func TestParse(t *testing.T) {
	const plain = `I0716 04:42:01.956295   10314 log.go:53] "a \"b\"" id="x.y" ms=3 detail="two words, k=v" empty=""`
	for _, tc := range []struct {
		name, text, source string
		ok                 bool
	}{
		{"line of a file", plain, "file", true},
		{"prefix of a collector", "   6.95 nadia-3 " + plain, "nadia-3", true},
		{"panic message", "panic: x", "", false},
		{"empty line", "", "", false},
		{"invalid time", strings.Replace(plain, "04:42", "34:42", 1), "", false},
		{"truncated line", plain[:len(plain)-3], "", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			l, ok := parseLine("file", tc.text)
			require.Equal(t, tc.ok, ok)
			if !ok {
				return
			}
			require.Equal(t, tc.source, l.Source)
			require.Equal(t, `a "b"`, l.Message)
			require.Equal(t, "two words, k=v", l.Field("detail"))
			require.Equal(t, "3", l.Field("ms"))
			require.Equal(t, 956295000, l.Time.Nanosecond())
		})
	}
}

// The ID of a nested request is the ID of its request, a dot and a suffix. Another
// request whose ID merely begins with the same characters must not match.
func TestNestedRequests(t *testing.T) {
	line := func(id string) string {
		return `I0716 04:42:01.956295   10314 log.go:53] "request" id="` + id + "\"\n"
	}
	tr := &RequestTrace{ID: "ab"}
	require.NoError(t, tr.Read("x", strings.NewReader(line("ab")+line("ab.1")+line("abc")+line("b"))))
	require.Len(t, tr.Steps(), 2)
}

func FuzzParse(f *testing.F) {
	f.Add(`I0716 04:42:01.956295   10314 log.go:53] "m" id="x"`)
	f.Fuzz(func(t *testing.T, text string) {
		if l, ok := parseLine("s", text); ok {
			require.NotEmpty(t, l.Source)
		}
	})
}
