package cmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// Forms of output.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// show prints an answer as it came, or as the table that f writes.
func (c *client) show(a answer, f func(t *table)) {
	if c.output == outputJSON {
		var b bytes.Buffer
		if json.Indent(&b, a.body, "", "  ") == nil {
			_, _ = c.env.stdout.Write(b.Bytes())
		}
		return
	}
	t := &table{w: tabwriter.NewWriter(c.env.stdout, 0, 8, 2, ' ', 0)}
	f(t)
	_ = t.w.Flush()
}

// table writes aligned columns.
type table struct{ w *tabwriter.Writer }

func (t *table) row(cells ...any) {
	text := make([]string, len(cells))
	for i, c := range cells {
		text[i] = fmt.Sprint(c)
	}
	_, _ = fmt.Fprintln(t.w, strings.Join(text, "\t"))
}

func (t *table) line(format string, args ...any) { _, _ = fmt.Fprintf(t.w, format+"\n", args...) }

func yes(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// dash stands for an empty cell.
func dash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
