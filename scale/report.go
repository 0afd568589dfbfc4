// Package scale measures how the costs of the program grow with the size of a
// deployment. It measures each quantity at three sizes or more on one host and fits
// a line. The costs of control messages come from reducers that it steps directly,
// those of sessions and forwarded requests from links over the loopback interface.
package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"text/tabwriter"
)

// Point is one measurement.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// Series is a quantity that was measured at several sizes, with its least-squares
// line.
type Series struct {
	Part      string  `json:"part"`
	Name      string  `json:"name"`
	SizeUnit  string  `json:"size"` // unit of X, such as "daemon"
	Unit      string  `json:"unit"` // unit of Y
	Points    []Point `json:"points"`
	Intercept float64 `json:"base"`  // of the line, in Unit
	Slope     float64 `json:"slope"` // of the line, in Unit per SizeUnit
}

// Report contains the measurements of one run.
type Report struct {
	Seed      uint64   `json:"seed"`
	GoVersion string   `json:"go"`
	Cores     int      `json:"cores"` // cores that the process may use concurrently
	Series    []Series `json:"series"`
}

func newReport(seed uint64) *Report {
	return &Report{Seed: seed, GoVersion: runtime.Version(), Cores: runtime.GOMAXPROCS(0)}
}

// add appends a point to a series, which it creates if there is none, and fits the
// line again.
func (r *Report) add(part, name, sizeUnit, unit string, x, y float64) {
	for i := range r.Series {
		if s := &r.Series[i]; s.Part == part && s.Name == name {
			s.Points = append(s.Points, Point{X: x, Y: y})
			s.Intercept, s.Slope = fitLine(s.Points)
			return
		}
	}
	s := Series{Part: part, Name: name, SizeUnit: sizeUnit, Unit: unit, Points: []Point{{X: x, Y: y}}}
	s.Intercept, s.Slope = fitLine(s.Points)
	r.Series = append(r.Series, s)
}

// fitLine returns the least-squares line. If all points have the same X, the line
// is constant.
func fitLine(points []Point) (intercept, slope float64) {
	n := float64(len(points))
	if n == 0 {
		return 0, 0
	}
	var meanX, meanY float64
	for _, p := range points {
		meanX += p.X / n
		meanY += p.Y / n
	}
	var sumXX, sumXY float64
	for _, p := range points {
		sumXX += (p.X - meanX) * (p.X - meanX)
		sumXY += (p.X - meanX) * (p.Y - meanY)
	}
	if sumXX == 0 {
		return meanY, 0
	}
	slope = sumXY / sumXX
	return meanY - slope*meanX, slope
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	if err := enc.Encode(r); err != nil {
		return fmt.Errorf("write the report: %w", err)
	}
	return nil
}

// WriteTable writes the report as a text table.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "seed %d, %s, %d cores\n", r.Seed, r.GoVersion, r.Cores)
	_, _ = fmt.Fprintln(t, "part\tquantity\tunit\tmeasured\tbase\tslope")
	for _, s := range r.Series {
		measured := ""
		for _, p := range s.Points {
			measured += fmt.Sprintf("%.6g:%.4g ", p.X, p.Y)
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.4g\t%.4g/%s\n", s.Part, s.Name, s.Unit, measured, s.Intercept, s.Slope, s.SizeUnit)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write the report: %w", err)
	}
	return nil
}
