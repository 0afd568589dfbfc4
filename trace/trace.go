package trace

import (
	"bufio"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"
)

const (
	// maxLineBytes limits the length of a line. Lines about moves name many
	// instances.
	maxLineBytes = 1 << 20
	// eventMargin is the time before the first step and after the last one in which
	// other lines of the participating processes are shown, since a cause such as the
	// end of a lease comes before the request.
	eventMargin = time.Second
	// maxEvents limits the number of those lines.
	maxEvents = 40
)

// RequestTrace collects the log lines that concern one request. The ID must be set.
type RequestTrace struct {
	ID string // ID of the request, as the caller sent it

	Unstructured int // lines that are not structured, such as a stack trace

	steps  []Line
	events []Line // lines of all processes that are not about a request
}

// Read reads the log of one process, or of several if a collector has put their names
// before the lines.
func (t *RequestTrace) Read(source string, r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for scanner.Scan() {
		t.add(source, scanner.Text())
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("log of %s: %w", source, err)
	}
	return nil
}

func (t *RequestTrace) add(source, text string) {
	mentionsID := strings.Contains(text, t.ID)
	if !mentionsID && strings.Contains(text, `] "request`) && !strings.Contains(text, `] "request link`) {
		return // lines about other requests are not parsed
	}
	line, ok := parseLine(source, text)
	switch {
	case !ok:
		t.Unstructured++
	case t.matchesID(line.Field("id")):
		t.steps = append(t.steps, line)
	default:
		t.events = append(t.events, line)
	}
}

// matchesID reports whether id is the ID of the request or of one of its nested
// requests. The latter consists of the request's ID, a dot and a suffix.
func (t *RequestTrace) matchesID(id string) bool {
	return id == t.ID || strings.HasPrefix(id, t.ID+".")
}

// Steps returns the lines about the request and its nested requests, sorted by time.
func (t *RequestTrace) Steps() []Line {
	slices.SortStableFunc(t.steps, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return t.steps
}

// Events returns the other lines that the participating processes logged around the
// request, sorted by time. If there are more than maxEvents, it returns the last ones.
func (t *RequestTrace) Events() []Line {
	steps := t.Steps()
	if len(steps) == 0 {
		return nil
	}
	participants := make(map[string]bool)
	for _, s := range steps {
		participants[s.Source] = true
	}
	from, to := steps[0].Time.Add(-eventMargin), steps[len(steps)-1].Time.Add(eventMargin)
	var out []Line
	for _, e := range t.events {
		if participants[e.Source] && e.Time.After(from) && e.Time.Before(to) {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out[max(0, len(out)-maxEvents):]
}

// Write writes the steps of the request and the events around it.
func (t *RequestTrace) Write(w io.Writer) error {
	var b strings.Builder
	steps, events := t.Steps(), t.Events()
	fmt.Fprintf(&b, "request %s: %d lines\n", t.ID, len(steps))
	for _, s := range steps {
		s.write(&b)
	}
	if len(events) > 0 {
		fmt.Fprintf(&b, "\naround it, at the same processes:\n")
	}
	for _, e := range events {
		e.write(&b)
	}
	if t.Unstructured > 0 {
		fmt.Fprintf(&b, "\n%d lines are not structured and were passed over\n", t.Unstructured)
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func (l *Line) write(b *strings.Builder) {
	fmt.Fprintf(b, "%s  %s  %s", l.Time.Format("15:04:05.000000"), l.Source, l.Message)
	for _, f := range l.Fields {
		if f.Value != "" {
			fmt.Fprintf(b, "  %s=%s", f.Name, f.Value)
		}
	}
	b.WriteByte('\n')
}
