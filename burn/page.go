package burn

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"pollenlatch"
)

//go:embed page.html
var pageText string

var page = template.Must(template.New("burn").Funcs(template.FuncMap{
	"number": number, "left": Line.left, "alert": Line.alert, "spent": Line.spentBy,
}).Parse(pageText))

// Size of a plot, and the minutes of one of its points.
const (
	plotWidth   = 8 * vg.Inch
	plotHeight  = 2.5 * vg.Inch
	plotMinutes = 30
)

type pageLine struct {
	Line
	Plot template.HTML
}

// WriteHTML writes the report as one HTML page that needs no other file.
func (s *Summary) WriteHTML(w io.Writer, services []pollenlatch.Service) error {
	d := s.Document(services)
	data := struct {
		Document
		Missing []string
		Windows []Window
		Rows    []pageLine
	}{Document: d, Missing: d.missing(), Windows: Windows[:]}
	for _, l := range d.Lines {
		svg, err := s.plot(l)
		if err != nil {
			return fmt.Errorf("plotting %s %s %s: %w", l.Service, l.Class, l.Kind, err)
		}
		data.Rows = append(data.Rows, pageLine{l, svg})
	}
	if err := page.Execute(w, data); err != nil {
		return fmt.Errorf("writing the burn report: %w", err)
	}
	return nil
}

// plot draws the burn rate of an objective over 3 days as SVG. Times without
// events leave a gap.
func (s *Summary) plot(l Line) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "hours before the report"
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	for _, part := range s.parts(l) {
		line, points, err := plotter.NewLinePoints(part)
		if err != nil {
			return "", err
		}
		points.Radius = vg.Points(1)
		p.Add(line, points)
	}
	p.X.Min, p.X.Max = -RetentionMinutes/60, 0
	p.Y.Max = max(p.Y.Max, 2*slowBurn)
	to, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := to.WriteTo(&b); err != nil {
		return "", err
	}
	svg := b.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 { // without the XML header
		svg = svg[i:]
	}
	// The plot's text is made of numbers and constants, none from callers.
	return template.HTML(svg), nil
}

// parts returns the burn rates over time, as one line between two gaps.
func (s *Summary) parts(l Line) []plotter.XYs {
	minutes := s.byClass[serviceClass{l.Service, l.Class}]
	if minutes == nil {
		return nil
	}
	var parts []plotter.XYs
	open := false
	for from := 0; from < RetentionMinutes; from += plotMinutes {
		var sum tally
		for _, t := range minutes[from : from+plotMinutes] {
			sum.add(t)
		}
		n, bad := sum.events(l.Kind)
		b := burnRate(n, bad, l.Objective)
		if b == nil {
			open = false
			continue
		}
		if !open {
			parts = append(parts, nil)
			open = true
		}
		last := &parts[len(parts)-1]
		*last = append(*last, plotter.XY{X: -float64(from+plotMinutes/2) / 60, Y: *b})
	}
	return parts
}
