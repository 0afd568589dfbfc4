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

// Document is the burn report, as it is written in all formats.
type Document struct {
	At      time.Time      `json:"at"`
	Daemons []DaemonStatus `json:"daemons"`
	Lines   []Line         `json:"lines"`
}

// Document returns the report on the objectives of the services.
func (s *Summary) Document(services []pollenlatch.Service) Document {
	return Document{At: time.Unix(s.now*60, 0).UTC(), Daemons: s.Daemons(), Lines: s.Lines(services)}
}

// missingDaemons returns the names of the missing daemons.
func (d Document) missingDaemons() []string {
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

// WriteTable writes the report as a text table.
func (d Document) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	header := []string{"service", "class", "objective", "left"}
	for _, win := range Windows {
		header = append(header, win.Name)
	}
	_, _ = fmt.Fprintln(t, strings.Join(append(header, "alert", "spent by"), "\t"))
	for _, l := range d.Lines {
		cells := []string{l.Service, l.Class.String(), fmt.Sprintf("%s %s", l.Kind, l.ObjectiveText()), l.budgetLeftText()}
		for _, r := range l.Rates {
			cells = append(cells, formatRate(r.Burn))
		}
		_, _ = fmt.Fprintln(t, strings.Join(append(cells, l.alertText(), l.contributorsText()), "\t"))
	}
	if err := t.Flush(); err != nil { // includes errors of the writes above
		return fmt.Errorf("writing the burn report: %w", err)
	}
	if names := d.missingDaemons(); len(names) > 0 {
		if _, err := fmt.Fprintf(w, "missing: %d of %d daemons do not report: %s\n", len(names), len(d.Daemons), strings.Join(names, ", ")); err != nil {
			return fmt.Errorf("writing the burn report: %w", err)
		}
	}
	return nil
}

const noData = "no data"

func formatPercent(v *float64) string {
	if v == nil {
		return noData
	}
	return fmt.Sprintf("%.4g%%", *v*100)
}

func formatRate(v *float64) string {
	if v == nil {
		return noData
	}
	return fmt.Sprintf("%.2f", *v)
}

// budgetLeftText returns the share of the budget that is left. With missing
// daemons the share is an upper bound.
func (l Line) budgetLeftText() string {
	if l.Partial && l.BudgetLeft != nil {
		return "at most " + formatPercent(l.BudgetLeft)
	}
	return formatPercent(l.BudgetLeft)
}

func (l Line) alertText() string {
	switch {
	case l.Fast && l.Slow:
		return "fast, slow"
	case l.Fast:
		return "fast"
	case l.Slow:
		return "slow"
	case l.Partial:
		return "unknown" // missing daemons may have bad events
	default:
		return "-"
	}
}

func (l Line) contributorsText() string {
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
func (l Line) ObjectiveText() string { return formatPercent(&l.Objective) }
