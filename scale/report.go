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
	Part   string  `json:"part"`
	Name   string  `json:"name"`
	Size   string  `json:"size"` // what X counts
	Unit   string  `json:"unit"` // of Y
	Points []Point `json:"points"`
	Base   float64 `json:"base"`  // of the line, at X 0
	Slope  float64 `json:"slope"` // of the line, in Unit for each Size
}

// Report is what one run measured.
type Report struct {
	Seed   uint64   `json:"seed"`
	Go     string   `json:"go"`
	Cores  int      `json:"cores"` // that the process may use at once
	Series []Series `json:"series"`
}

func newReport(seed uint64) *Report {
	return &Report{Seed: seed, Go: runtime.Version(), Cores: runtime.GOMAXPROCS(0)}
}

// add appends a point to a series, which it makes if need be.
func (r *Report) add(part, name, size, unit string, x, y float64) {
	for i := range r.Series {
		if s := &r.Series[i]; s.Part == part && s.Name == name {
			s.Points = append(s.Points, Point{X: x, Y: y})
			s.Base, s.Slope = line(s.Points)
			return
		}
	}
	s := Series{Part: part, Name: name, Size: size, Unit: unit, Points: []Point{{X: x, Y: y}}}
	s.Base, s.Slope = line(s.Points)
	r.Series = append(r.Series, s)
}

// line returns the line of least squares. Points of one size give a constant.
func line(points []Point) (base, slope float64) {
	n := float64(len(points))
	if n == 0 {
		return 0, 0
	}
	var x, y float64
	for _, p := range points {
		x += p.X / n
		y += p.Y / n
	}
	var xx, xy float64
	for _, p := range points {
		xx += (p.X - x) * (p.X - x)
		xy += (p.X - x) * (p.Y - y)
	}
	if xx == 0 {
		return y, 0
	}
	slope = xy / xx
	return y - slope*x, slope
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
	_, _ = fmt.Fprintf(t, "seed %d, %s, %d cores\n", r.Seed, r.Go, r.Cores)
	_, _ = fmt.Fprintln(t, "part\tquantity\tunit\tmeasured\tbase\tslope")
	for _, s := range r.Series {
		text := ""
		for _, p := range s.Points {
			text += fmt.Sprintf("%.6g:%.4g ", p.X, p.Y)
		}
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%.4g\t%.4g/%s\n", s.Part, s.Name, s.Unit, text, s.Base, s.Slope, s.Size)
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write the report: %w", err)
	}
	return nil
}
