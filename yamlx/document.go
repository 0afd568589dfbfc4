package yamlx

import (
	"errors"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Doc is a decoded document with the faults found in it so far.
type Doc struct {
	file   string
	lines  map[string]int // line of every field that is present, by path
	faults []Fault
}

// Decode decodes a YAML document into out, a pointer to a struct, by the yaml tags
// of its fields. Faults are collected in the Doc; a field with a fault keeps its
// previous value. file is the name of the document in faults and may be empty.
func Decode(file string, text []byte, out any) *Doc {
	d := &Doc{file: file, lines: make(map[string]int)}
	if tooDeep(text) {
		d.addFaultAt(0, "", "the document is nested more than %d levels deep", maxNesting)
		return d
	}
	f, err := parser.ParseBytes(text, 0)
	if err != nil {
		d.addSyntaxFault(err)
		return d
	}
	switch {
	case len(f.Docs) == 0 || f.Docs[0].Body == nil:
		d.addFaultAt(0, "", "the document is empty")
	case len(f.Docs) > 1:
		d.addFaultAt(lineOfNode(f.Docs[1].Body), "", "there must be one document, not %d", len(f.Docs))
	default:
		d.decodeRoot(f.Docs[0].Body, out)
	}
	return d
}

// maxNesting limits the number of nested brackets, and of consecutive list marks.
// The run time of the parser is quadratic in the nesting: 30,000 brackets take it
// one second.
const maxNesting = 200

// tooDeep reports whether a text is nested too deeply to be parsed. It also counts
// brackets and list marks within quotes.
func tooDeep(text []byte) bool {
	depth, listMarks := 0, 0
	for _, c := range text {
		switch c {
		case '[', '{':
			depth++
		case ']', '}':
			depth = max(0, depth-1)
		case '-':
			listMarks++
		case ' ':
		default:
			listMarks = 0
		}
		if depth > maxNesting || listMarks > maxNesting {
			return true
		}
	}
	return false
}

// Has reports whether the document sets the field at the path. Path "" stands for
// the document itself, which is absent when it has a syntax error.
func (d *Doc) Has(path string) bool {
	_, ok := d.lines[path]
	return ok
}

// AddFault adds a fault of the field at the path. The text is formatted as by
// fmt.Sprintf.
func (d *Doc) AddFault(path, format string, args ...any) {
	d.addFaultAt(d.lineOfField(path), path, format, args...)
}

// Err returns all faults as an *Error, sorted by line, or nil when there are none.
func (d *Doc) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	faults := slices.Clone(d.faults)
	slices.SortStableFunc(faults, func(a, b Fault) int { return a.Line - b.Line })
	if n := len(faults); n > maxReportedFaults {
		faults = append(faults[:maxReportedFaults], Fault{File: d.file, Text: fmt.Sprintf("%d more faults", n-maxReportedFaults)})
	}
	return &Error{Faults: faults}
}

func (d *Doc) addFaultAt(line int, path, format string, args ...any) {
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Path: path, Text: fmt.Sprintf(format, args...)})
}

// lineOfField returns the line of a field. For an absent field it returns that of
// the nearest enclosing field.
func (d *Doc) lineOfField(path string) int {
	for {
		if n, ok := d.lines[path]; ok || path == "" {
			return n
		}
		path = parentPath(path)
	}
}

func parentPath(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}

// addSyntaxFault adds a fault for an error of the YAML parser.
func (d *Doc) addSyntaxFault(err error) {
	var e *yaml.SyntaxError
	if errors.As(err, &e) && e.GetToken() != nil {
		d.addFaultAt(e.GetToken().Position.Line, "", "YAML syntax: %s", e.GetMessage())
		return
	}
	d.addFaultAt(0, "", "YAML syntax: %s", err)
}

func lineOfNode(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 0
	}
	return n.GetToken().Position.Line
}
