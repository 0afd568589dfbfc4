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
	// maxLine bounds a line, in bytes. Lines on moves name many instances.
	maxLine = 1 << 20
	// around is how long before and after a request other lines of the processes
	// that took part are shown: a cause such as the end of a lease comes first.
	around = time.Second
	// maxEvents bounds those lines.
	maxEvents = 40
)

// RequestTrace collects the lines that tell of one request. The zero value needs an ID.
type RequestTrace struct {
	ID string // of the request, as the caller sent it

	Unstructured int // lines that are not structured, such as a stack trace

	steps  []Line
	events []Line // of all processes, but for those on requests
}

// Read takes the lines of one process, or of several whose names a collector has
// put before their lines.
func (l *RequestTrace) Read(source string, r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLine)
	for s.Scan() {
		l.add(source, s.Text())
	}
	if err := s.Err(); err != nil {
		return fmt.Errorf("log of %s: %w", source, err)
	}
	return nil
}

func (l *RequestTrace) add(source, text string) {
	onRequest := strings.Contains(text, l.ID)
	if !onRequest && strings.Contains(text, `] "request`) && !strings.Contains(text, `] "request link`) {
		return // a line on another request is not parsed
	}
	line, ok := parse(source, text)
	switch {
	case !ok:
		l.Unstructured++
	case l.about(line.Field("id")):
		l.steps = append(l.steps, line)
	default:
		l.events = append(l.events, line)
	}
}

// about reports whether an id is that of the request, or of a call that its
// server made: the id of the request, a dot, and one of its own.
func (l *RequestTrace) about(id string) bool {
	return id == l.ID || strings.HasPrefix(id, l.ID+".")
}

// Steps returns the lines on the request and its calls, in order of time.
func (l *RequestTrace) Steps() []Line {
	slices.SortStableFunc(l.steps, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return l.steps
}

// Events returns what the processes that took part logged around the request,
// the lines nearest to its end if there are many.
func (l *RequestTrace) Events() []Line {
	steps := l.Steps()
	if len(steps) == 0 {
		return nil
	}
	part := make(map[string]bool)
	for _, s := range steps {
		part[s.Source] = true
	}
	from, to := steps[0].Time.Add(-around), steps[len(steps)-1].Time.Add(around)
	var out []Line
	for _, e := range l.events {
		if part[e.Source] && e.Time.After(from) && e.Time.Before(to) {
			out = append(out, e)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return out[max(0, len(out)-maxEvents):]
}

// Write prints the path of the request and what happened around it.
func (l *RequestTrace) Write(w io.Writer) error {
	var b strings.Builder
	steps, events := l.Steps(), l.Events()
	fmt.Fprintf(&b, "request %s: %d lines\n", l.ID, len(steps))
	for _, s := range steps {
		s.write(&b)
	}
	if len(events) > 0 {
		fmt.Fprintf(&b, "\naround it, at the same processes:\n")
	}
	for _, e := range events {
		e.write(&b)
	}
	if l.Unstructured > 0 {
		fmt.Fprintf(&b, "\n%d lines are not structured and were passed over\n", l.Unstructured)
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
