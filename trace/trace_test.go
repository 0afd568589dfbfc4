package trace

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// restart is the id of a request of a played day that was refused by a daemon
// that had just started.
const restart = "7e484ef31174a601"

func readDay(t *testing.T, id string) *RequestTrace {
	t.Helper()
	files, err := filepath.Glob("testdata/restart/*.log")
	require.NoError(t, err)
	require.Len(t, files, 2)
	l := &RequestTrace{ID: id}
	for _, name := range files {
		f, err := os.Open(name)
		require.NoError(t, err)
		require.NoError(t, l.Read(strings.TrimSuffix(filepath.Base(name), ".log"), f))
		require.NoError(t, f.Close())
	}
	return l
}

// The lines of several processes must come out as one path, with the cause that
// stands in other lines: here the start of the daemon that refused.
func TestPathOfARequest(t *testing.T) {
	l := readDay(t, restart)
	steps := l.Steps()
	require.Len(t, steps, 2)
	require.Equal(t, "nadia-3", steps[0].Source)
	require.Equal(t, "no-lease", steps[0].Field("reason"))
	require.Equal(t, "nadia-2", steps[1].Source)
	require.Equal(t, "request", steps[1].Message)
	var seen []string
	for _, e := range l.Events() {
		if e.Source == "nadia-3" {
			seen = append(seen, e.Message)
		}
	}
	require.Contains(t, seen, "daemon started")
	require.Contains(t, seen, "lease started")
	require.Equal(t, 1, l.Unstructured)
	var b strings.Builder
	require.NoError(t, l.Write(&b))
	require.Contains(t, b.String(), "1 lines are not structured")
	require.Less(t, strings.Index(b.String(), "no-lease"), strings.Index(b.String(), "daemon started"))
}

func TestUnknownRequest(t *testing.T) {
	l := readDay(t, "ffff")
	require.Empty(t, l.Steps())
	require.Empty(t, l.Events())
}

// A line that is read wrongly puts a decision at the wrong process or time.
func TestParse(t *testing.T) {
	const plain = `I0716 04:42:01.956295   10314 log.go:53] "a \"b\"" id="x.y" ms=3 detail="two words, k=v" empty=""`
	for _, tt := range []struct {
		name, text, source string
		ok                 bool
	}{
		{"a line of a file", plain, "file", true},
		{"a collector's time and process before it", "   6.95 nadia-3 " + plain, "nadia-3", true},
		{"a panic", "panic: x", "", false},
		{"an empty line", "", "", false},
		{"a time that is none", strings.Replace(plain, "04:42", "34:42", 1), "", false},
		{"a line that was cut off", plain[:len(plain)-3], "", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			l, ok := parse("file", tt.text)
			require.Equal(t, tt.ok, ok)
			if !ok {
				return
			}
			require.Equal(t, tt.source, l.Source)
			require.Equal(t, `a "b"`, l.Message)
			require.Equal(t, "two words, k=v", l.Field("detail"))
			require.Equal(t, "3", l.Field("ms"))
			require.Equal(t, 956295000, l.Time.Nanosecond())
		})
	}
}

// The id of a call that a server made begins with that of its request; another
// request whose id is only longer does not belong to it.
func TestCallsOfARequest(t *testing.T) {
	line := func(id string) string {
		return `I0716 04:42:01.956295   10314 log.go:53] "request" id="` + id + "\"\n"
	}
	l := &RequestTrace{ID: "ab"}
	require.NoError(t, l.Read("x", strings.NewReader(line("ab")+line("ab.1")+line("abc")+line("b"))))
	require.Len(t, l.Steps(), 2)
}

func FuzzParse(f *testing.F) {
	f.Add(`I0716 04:42:01.956295   10314 log.go:53] "m" id="x"`)
	f.Fuzz(func(t *testing.T, text string) {
		if l, ok := parse("s", text); ok {
			require.NotEmpty(t, l.Source)
		}
	})
}
