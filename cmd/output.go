package cmd

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// Output formats.
const (
	outputTable = "table"
	outputJSON  = "json"
)

// printResponse prints a response as indented JSON, or as the table that writeTable
// writes.
func (c *client) printResponse(resp response, writeTable func(t *table)) {
	if c.output == outputJSON {
		var b bytes.Buffer
		if json.Indent(&b, resp.body, "", "  ") == nil {
			_, _ = c.env.stdout.Write(b.Bytes())
		}
		return
	}
	t := &table{w: tabwriter.NewWriter(c.env.stdout, 0, 8, 2, ' ', 0)}
	writeTable(t)
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

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// orDash returns s, or a dash for an empty cell.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
