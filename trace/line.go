// Package trace follows one request through the logs of several processes.
package trace

import (
	"strconv"
	"strings"
	"time"
)

// Field is one value of a structured line.
type Field struct{ Name, Value string }

// Line is one structured line of a log.
type Line struct {
	Time    time.Time // without a year
	Source  string    // the process, as its log is called
	Message string
	Fields  []Field
}

// Field returns a value by its name, or "".
func (l *Line) Field(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// stamp is the time of a line after its severity, such as 0716 04:42:05.312181.
const stamp = "0102 15:04:05.000000"

// severities are the first letters of lines.
const severities = "IWEF"

// parse reads a structured line. Text before the severity, such as the name of a
// process that a collector adds, becomes the source.
func parse(source, text string) (Line, bool) {
	head, rest, ok := strings.Cut(text, `] "`)
	if !ok {
		return Line{}, false
	}
	at, prefix, ok := timeOf(head)
	if !ok {
		return Line{}, false
	}
	if prefix != "" {
		source = prefix
	}
	message, rest, ok := quoted(`"` + rest)
	if !ok {
		return Line{}, false
	}
	fields, ok := fieldsOf(rest)
	return Line{Time: at, Source: source, Message: message, Fields: fields}, ok
}

// timeOf reads the head of a line: what a collector added, severity and time,
// process number and place in the source.
func timeOf(head string) (at time.Time, prefix string, ok bool) {
	words := strings.Fields(head)
	for n := 0; n+1 < len(words); n++ {
		w := words[n]
		if len(w) != len("I0716") || !strings.Contains(severities, w[:1]) {
			continue
		}
		at, err := time.Parse(stamp, w[1:]+" "+words[n+1])
		if err != nil {
			continue
		}
		if n > 0 {
			prefix = words[n-1]
		}
		return at, prefix, true
	}
	return time.Time{}, "", false
}

// quoted reads a quoted text at the start of s.
func quoted(s string) (text, rest string, ok bool) {
	q, err := strconv.QuotedPrefix(s)
	if err != nil {
		return "", s, false
	}
	text, err = strconv.Unquote(q)
	return text, s[len(q):], err == nil
}

// fieldsOf reads name=value pairs.
func fieldsOf(s string) ([]Field, bool) {
	var out []Field
	for s = strings.TrimSpace(s); s != ""; s = strings.TrimSpace(s) {
		name, rest, ok := strings.Cut(s, "=")
		if !ok || name == "" || strings.ContainsAny(name, ` "`) {
			return out, false
		}
		var value string
		if strings.HasPrefix(rest, `"`) {
			if value, rest, ok = quoted(rest); !ok {
				return out, false
			}
		} else {
			value, rest, _ = strings.Cut(rest, " ")
		}
		out = append(out, Field{name, value})
		s = rest
	}
	return out, true
}
