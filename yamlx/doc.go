package yamlx

import (
	"errors"
	"fmt"
	"slices"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
)

// Doc is a document that has been read, with the faults found so far.
type Doc struct {
	file   string
	lines  map[string]int // of every field that is present, by path
	faults []Fault
}

// Decode reads a YAML document into out, a pointer to a struct. Fields are named
// by their yaml tags. Faults are kept in the Doc, and a field with a fault
// keeps its value. File names the document in faults and may be empty.
func Decode(file string, text []byte, out any) *Doc {
	d := &Doc{file: file, lines: make(map[string]int)}
	if nests(text) {
		d.add(0, "", "the document is nested more than %d deep", maxNesting)
		return d
	}
	f, err := parser.ParseBytes(text, 0)
	if err != nil {
		d.syntax(err)
		return d
	}
	switch {
	case len(f.Docs) == 0 || f.Docs[0].Body == nil:
		d.add(0, "", "the document is empty")
	case len(f.Docs) > 1:
		d.add(lineOf(f.Docs[1].Body), "", "there must be one document, not %d", len(f.Docs))
	default:
		d.decode(f.Docs[0].Body, out)
	}
	return d
}

// maxNesting bounds brackets and list marks that are open at once. The parser's
// time grows with the square of the nesting: 30,000 brackets take it a second.
const maxNesting = 200

// nests reports whether a text is nested too deeply to be parsed. It counts
// brackets and list marks without regard to quotes.
func nests(text []byte) bool {
	depth, marks := 0, 0
	for _, c := range text {
		switch c {
		case '[', '{':
			depth++
		case ']', '}':
			depth = max(0, depth-1)
		case '-':
			marks++
		case ' ':
		default:
			marks = 0
		}
		if depth > maxNesting || marks > maxNesting {
			return true
		}
	}
	return false
}

// Has reports whether the document sets the field. Path "" is the document
// itself, which is absent when its syntax is wrong.
func (d *Doc) Has(path string) bool {
	_, ok := d.lines[path]
	return ok
}

// AddFault adds a fault of the field at the path.
func (d *Doc) AddFault(path, format string, args ...any) {
	d.add(d.line(path), path, format, args...)
}

// Err returns all faults as an *Error in order of their lines, or nil.
func (d *Doc) Err() error {
	if len(d.faults) == 0 {
		return nil
	}
	list := slices.Clone(d.faults)
	slices.SortStableFunc(list, func(a, b Fault) int { return a.Line - b.Line })
	if n := len(list); n > maxFaults {
		list = append(list[:maxFaults], Fault{File: d.file, Text: fmt.Sprintf("%d more faults", n-maxFaults)})
	}
	return &Error{Faults: list}
}

func (d *Doc) add(line int, path, format string, args ...any) {
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Path: path, Text: fmt.Sprintf(format, args...)})
}

// line returns the line of a field, or of the nearest field around it.
func (d *Doc) line(path string) int {
	for {
		if n, ok := d.lines[path]; ok || path == "" {
			return n
		}
		path = parent(path)
	}
}

func parent(path string) string {
	for i := len(path) - 1; i > 0; i-- {
		if path[i] == '.' || path[i] == '[' {
			return path[:i]
		}
	}
	return ""
}

// syntax adds a fault of the YAML parser.
func (d *Doc) syntax(err error) {
	var e *yaml.SyntaxError
	if errors.As(err, &e) && e.GetToken() != nil {
		d.add(e.GetToken().Position.Line, "", "YAML syntax: %s", e.GetMessage())
		return
	}
	d.add(0, "", "YAML syntax: %s", err)
}

func lineOf(n ast.Node) int {
	if n == nil || n.GetToken() == nil || n.GetToken().Position == nil {
		return 0
	}
	return n.GetToken().Position.Line
}
