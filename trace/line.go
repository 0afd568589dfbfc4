// Package trace reconstructs the path of one request from the logs of several
// processes.
package trace

import (
	"strconv"
	"strings"
	"time"
)

// Field is one key-value pair of a structured line.
type Field struct{ Name, Value string }

// Line is one structured line of a log.
type Line struct {
	Time    time.Time // the year is missing in logs, so it is 0
	Source  string    // name of the process, or of its log file
	Message string
	Fields  []Field
}

// Field returns the value of the named field, or "".
func (l *Line) Field(name string) string {
	for _, f := range l.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// timestampLayout is the layout of the time that follows the severity letter, such as
// 0716 04:42:05.312181.
const timestampLayout = "0102 15:04:05.000000"

// severityLetters are the letters with which the header of a line begins.
const severityLetters = "IWEF"

// parseLine parses a structured line. If a collector has put the name of a process
// before the header of the line, that name becomes the source.
func parseLine(source, text string) (Line, bool) {
	head, rest, ok := strings.Cut(text, `] "`)
	if !ok {
		return Line{}, false
	}
	at, prefix, ok := parseHeader(head)
	if !ok {
		return Line{}, false
	}
	if prefix != "" {
		source = prefix
	}
	message, rest, ok := parseQuoted(`"` + rest)
	if !ok {
		return Line{}, false
	}
	fields, ok := parseFields(rest)
	return Line{Time: at, Source: source, Message: message, Fields: fields}, ok
}

// parseHeader parses the header of a line: the collector's prefix, the severity and
// time, the process ID and the position in the source code. It returns the last word
// of the prefix.
func parseHeader(head string) (at time.Time, prefix string, ok bool) {
	words := strings.Fields(head)
	for n := 0; n+1 < len(words); n++ {
		w := words[n]
		if len(w) != len("I0716") || !strings.Contains(severityLetters, w[:1]) {
			continue
		}
		at, err := time.Parse(timestampLayout, w[1:]+" "+words[n+1])
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

// parseQuoted parses a quoted text at the start of s.
func parseQuoted(s string) (text, rest string, ok bool) {
	quoted, err := strconv.QuotedPrefix(s)
	if err != nil {
		return "", s, false
	}
	text, err = strconv.Unquote(quoted)
	return text, s[len(quoted):], err == nil
}

// parseFields parses name=value pairs.
func parseFields(s string) ([]Field, bool) {
	var out []Field
	for s = strings.TrimSpace(s); s != ""; s = strings.TrimSpace(s) {
		name, rest, ok := strings.Cut(s, "=")
		if !ok || name == "" || strings.ContainsAny(name, ` "`) {
			return out, false
		}
		var value string
		if strings.HasPrefix(rest, `"`) {
			if value, rest, ok = parseQuoted(rest); !ok {
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
