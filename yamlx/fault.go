// Package yamlx reads YAML documents into structs and reports every fault
// with its line and path. Unknown fields are faults.
package yamlx

import (
	"fmt"
	"strings"
)

// maxFaults bounds the faults reported of one document.
const maxFaults = 100

// Fault is one thing that is wrong with a document.
type Fault struct {
	File string `json:"file,omitempty"`
	Line int    `json:"line"` // 0 when it concerns no line
	Path string `json:"path,omitempty"`
	Text string `json:"text"`
}

// String returns the fault as file:line: path: text, without what is unknown.
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

// Error is all that is wrong with a document.
type Error struct{ Faults []Fault }

// Error returns the faults, one a line.
func (e *Error) Error() string {
	return strings.Join(e.Strings(), "\n")
}

// Strings returns the faults as text.
func (e *Error) Strings() []string {
	list := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		list[i] = f.String()
	}
	return list
}
