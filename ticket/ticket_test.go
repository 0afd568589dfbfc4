package ticket

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A field that is misspelt and ignored would change something else than the
// operator meant.
func TestParseRefuses(t *testing.T) {
	for name, text := range map[string]string{
		"unknown field":      "number: 1\nservcies: []\n",
		"not a power of two": "number: 1\nservices:\n  - name: a\n    ranges: 3\n",
		"no YAML":            "number: [",
	} {
		t.Run(name, func(t *testing.T) {
			_, _, err := Parse(text)
			require.Error(t, err)
		})
	}
}
