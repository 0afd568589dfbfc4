package burn

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"pollenlatch"
)

// Document is the whole report.
type Document struct {
	At      time.Time      `json:"at"`
	Daemons []DaemonStatus `json:"daemons"`
	Lines   []Line         `json:"lines"`
}

// Document returns the report on the objectives of the services.
func (s *Summary) Document(services []pollenlatch.Service) Document {
	return Document{At: time.Unix(s.now*60, 0).UTC(), Daemons: s.Daemons(), Lines: s.Lines(services)}
}

// missing returns the names of the daemons that do not report.
func (d Document) missing() []string {
	var names []string
	for _, m := range d.Daemons {
		if m.Missing {
			names = append(names, m.Name)
		}
	}
	return names
}

// WriteJSON writes the report as JSON.
func (d Document) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(d); err != nil {
		return fmt.Errorf("writing the burn report: %w", err)
	}
	return nil
}

// WriteTable writes the report as a table of text.
func (d Document) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	head := []string{"service", "class", "objective", "left"}
	for _, x := range Windows {
		head = append(head, x.Name)
	}
	_, _ = fmt.Fprintln(t, strings.Join(append(head, "alert", "spent by"), "\t"))
	for _, l := range d.Lines {
		cells := []string{l.Service, l.Class.String(), fmt.Sprintf("%s %s", l.Kind, l.ObjectiveText()), l.left()}
		for _, r := range l.Rates {
			cells = append(cells, number(r.Burn))
		}
		_, _ = fmt.Fprintln(t, strings.Join(append(cells, l.alert(), l.spentBy()), "\t"))
	}
	if err := t.Flush(); err != nil { // also the errors of the lines above
		return fmt.Errorf("writing the burn report: %w", err)
	}
	if m := d.missing(); len(m) > 0 {
		if _, err := fmt.Fprintf(w, "missing: %d of %d daemons do not report: %s\n", len(m), len(d.Daemons), strings.Join(m, ", ")); err != nil {
			return fmt.Errorf("writing the burn report: %w", err)
		}
	}
	return nil
}

const noData = "no data"

func percent(v *float64) string {
	if v == nil {
		return noData
	}
	return fmt.Sprintf("%.4g%%", *v*100)
}

func number(v *float64) string {
	if v == nil {
		return noData
	}
	return fmt.Sprintf("%.2f", *v)
}

// left returns the share of the budget that is left. With missing daemons it
// is only an upper bound.
func (l Line) left() string {
	if l.Partial && l.BudgetLeft != nil {
		return "at most " + percent(l.BudgetLeft)
	}
	return percent(l.BudgetLeft)
}

func (l Line) alert() string {
	switch {
	case l.Fast && l.Slow:
		return "fast, slow"
	case l.Fast:
		return "fast"
	case l.Slow:
		return "slow"
	case l.Partial:
		return "unknown" // missing daemons are not good ones
	default:
		return "-"
	}
}

func (l Line) spentBy() string {
	var parts []string
	for _, s := range l.Contributors {
		parts = append(parts, fmt.Sprintf("%.0f%% %s %s %s", s.Share*100, s.Endpoint, s.DC, s.Outcome))
	}
	if len(parts) == 0 {
		return "-"
	}
	return strings.Join(parts, "; ")
}

// ObjectiveText returns the objective as a percentage.
func (l Line) ObjectiveText() string { return percent(&l.Objective) }
