// Package scale measures how the costs of the program grow with the size of a
// deployment: slopes from at least three sizes, on one machine. Control costs
// come from reducers that are driven directly, costs of bytes on the wire from
// sessions on loopback.
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

// Series is one quantity at several sizes, with the line of least squares
// through them.
type Series struct {
	Part      string  `json:"part"`
	Name      string  `json:"name"`
	SizeUnit  string  `json:"size"` // what X counts
	Unit      string  `json:"unit"` // of Y
	Points    []Point `json:"points"`
	Intercept float64 `json:"base"`  // of the line, at X 0
	Slope     float64 `json:"slope"` // of the line, in Unit for each Size
}

// Report is what one run measured.
type Report struct {
	Seed      uint64   `json:"seed"`
	GoVersion string   `json:"go"`
	Cores     int      `json:"cores"` // that the process may use at once
	Series    []Series `json:"series"`
}

func newReport(seed uint64) *Report {
	return &Report{Seed: seed, GoVersion: runtime.Version(), Cores: runtime.GOMAXPROCS(0)}
}

// add appends a point to a series, which it makes if need be.
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

// fitLine returns the line of least squares. Points of one size give a constant.
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

// WriteTable writes the report as a table.
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
