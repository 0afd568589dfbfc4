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
var pageHTML string

var pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"number": formatRate, "left": Line.budgetLeftText, "alert": Line.alertText, "spent": Line.contributorsText,
}).Parse(pageHTML))

const (
	plotWidth       = 8 * vg.Inch
	plotHeight      = 2.5 * vg.Inch
	minutesPerPoint = 30 // minutes that one point of a plot averages
)

// pageRow is the data of one objective for the HTML template.
type pageRow struct {
	Line
	Plot template.HTML
}

// WriteHTML writes the report as a self-contained HTML page.
func (s *Summary) WriteHTML(w io.Writer, services []pollenlatch.Service) error {
	d := s.Document(services)
	data := struct {
		Document
		Missing []string
		Windows []Window
		Rows    []pageRow
	}{Document: d, Missing: d.missingDaemons(), Windows: Windows[:]}
	for _, l := range d.Lines {
		svg, err := s.plot(l)
		if err != nil {
			return fmt.Errorf("plotting %s %s %s: %w", l.Service, l.Class, l.Kind, err)
		}
		data.Rows = append(data.Rows, pageRow{l, svg})
	}
	if err := pageTemplate.Execute(w, data); err != nil {
		return fmt.Errorf("writing the burn report: %w", err)
	}
	return nil
}

// plot draws the burn rate of an objective over 3 days as SVG. Periods without
// events are gaps in the line.
func (s *Summary) plot(l Line) (template.HTML, error) {
	p := plot.New()
	p.X.Label.Text = "hours before the report"
	p.Y.Label.Text = "burn rate"
	p.Y.Min = 0
	p.Add(plotter.NewGrid())
	for _, segment := range s.plotSegments(l) {
		line, points, err := plotter.NewLinePoints(segment)
		if err != nil {
			return "", err
		}
		points.Radius = vg.Points(1)
		p.Add(line, points)
	}
	p.X.Min, p.X.Max = -RetentionMinutes/60, 0
	p.Y.Max = max(p.Y.Max, 2*slowBurnThreshold)
	svgWriter, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if _, err := svgWriter.WriteTo(&b); err != nil {
		return "", err
	}
	svg := b.Bytes()
	if i := bytes.Index(svg, []byte("<svg")); i > 0 { // strip the XML header
		svg = svg[i:]
	}
	// Safe to embed unescaped: its text is only numbers and constants, no input
	// from callers.
	return template.HTML(svg), nil
}

// plotSegments returns the burn rates over time, as one line for each period
// between gaps.
func (s *Summary) plotSegments(l Line) []plotter.XYs {
	minutes := s.byClass[serviceClass{l.Service, l.Class}]
	if minutes == nil {
		return nil
	}
	var segments []plotter.XYs
	inSegment := false
	for from := 0; from < RetentionMinutes; from += minutesPerPoint {
		var sum tally
		for _, t := range minutes[from : from+minutesPerPoint] {
			sum.add(t)
		}
		total, bad := sum.events(l.Kind)
		rate := burnRate(total, bad, l.Objective)
		if rate == nil {
			inSegment = false
			continue
		}
		if !inSegment {
			segments = append(segments, nil)
			inSegment = true
		}
		last := &segments[len(segments)-1]
		*last = append(*last, plotter.XY{X: -float64(from+minutesPerPoint/2) / 60, Y: *rate})
	}
	return segments
}
