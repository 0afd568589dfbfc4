// Package yamlx decodes YAML documents into structs and reports all faults with
// their lines and paths. An unknown field is a fault.
package yamlx

import (
	"fmt"
	"strings"
)

// maxReportedFaults limits the number of faults that are reported for one
// document.
const maxReportedFaults = 100

// Fault is one error in a document.
type Fault struct {
	File string `json:"file,omitempty"`
	Line int    `json:"line"` // 0 when no line is known
	Path string `json:"path,omitempty"`
	Text string `json:"text"`
}

// String returns the fault as "file:line: path: text", without the parts that are
// unknown.
func (f Fault) String() string {
	var b strings.Builder
	switch {
	case f.File != "" && f.Line != 0:
		fmt.Fprintf(&b, "%s:%d: ", f.File, f.Line)
	case f.File != "":
		fmt.Fprintf(&b, "%s: ", f.File)
	case f.Line != 0:
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Path != "" {
		fmt.Fprintf(&b, "%s: ", f.Path)
	}
	b.WriteString(f.Text)
	return b.String()
}

// Error holds all faults of a document.
type Error struct{ Faults []Fault }

// Error returns the faults, one per line.
func (e *Error) Error() string {
	return strings.Join(e.Strings(), "\n")
}

// Strings returns the text of each fault.
func (e *Error) Strings() []string {
	list := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		list[i] = f.String()
	}
	return list
}
