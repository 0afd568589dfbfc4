package trial

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Names of the files that Report writes.
const (
	tableFile = "trial.md"
	plotFile  = "trial.svg"
)

const filePerm = 0o644

// Report runs all simulations on the seeds from 1 to seeds and writes trial.md and
// trial.svg to a folder. It takes about 50 s per seed on 3 cores.
func Report(dir string, seeds int) error {
	rows := Run(seeds)
	var b bytes.Buffer
	fmt.Fprintf(&b, "# Trials of the planner\n\nWritten by `trial.Report` with seeds 1 to %d; each figure is the mean over the seeds.\n", seeds)
	b.WriteString(methodText)
	writeVerdicts(&b, rows)
	b.WriteString("\n## Tables\n")
	if err := WriteTables(&b, rows); err != nil {
		return err
	}
	b.WriteString("\n## Failure detectors\n\n" + detectorsText)
	if err := WriteDetectors(&b, CompareDetectors(seeds)); err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(dir, tableFile), b.Bytes(), filePerm); err != nil {
		return fmt.Errorf("writing the tables of the trial: %w", err)
	}
	if err := writePlot(filepath.Join(dir, plotFile), rows); err != nil {
		return fmt.Errorf("writing the plot of the trial: %w", err)
	}
	return nil
}

// methodText describes in trial.md how the figures are measured.
const methodText = `
The simulation has one service divided by key, 512 ranges, 20,000 keys (large: 8,192 and 200,000) with
Zipf rates (exponent 0.99), 100 ms between plans, load reports once a second
with 5% noise (16 ranges and 8 keys each). A lost endpoint's shards may be
assigned 600 ms after the loss and are served 25 ms later; a planned move makes
requests for its keys wait 30 ms. A trace is measured after 60 s of steady
load, but for the cold start. The endpoint that an event hits depends on the
seed. Load and range ratios are means over time (one sample a second) over the
endpoints that serve. Keys moved and load moved are in multiples of the
service's keys and load. Hashing methods get every membership change at once
and move without a bound.

"No worse" is against the best of the four baselines in that measure alone;
"under half" (in the measure that the deployment weighs most) is the goal.

The plot leaves out points beyond its axes: modulo's restarts and flaps, and the
large deployment, where the hottest key alone has more than 7 times the mean
load.

![load max/mean against load moved](trial.svg)

## Verdicts

| deployment | trace | imbalance | keys moved | load moved | unavailable |
|---|---|---|---|---|---|
`

// detectorsText describes in trial.md how the failure detectors are compared.
const detectorsText = `Heartbeats every 100 ms over a connection that keeps their order, 24 h a seed.
One-way delays are the deployments'; jitter (mean 0.3 ms and 1 ms, ten times
that for a tenth of the time), 1 in 10,000 heartbeats sent again after 200 ms,
and 20 pauses of the sender an hour (median 60 ms, log-normal) are assumed. An
accrual detector suspects when the share of the last 1,000 intervals that were
shorter than the time since the last heartbeat, divided by a margin, reaches
the level. Each is followed by the fixed timeout with the same mean time to
suspect.

`

// writeVerdicts writes a row of the table of verdicts for each trace.
func writeVerdicts(b *bytes.Buffer, rows []Row) {
	for _, r := range rows {
		fmt.Fprintf(b, "| %s | %s |", r.Deployment.Name, r.Trace)
		for _, v := range r.verdicts() {
			fmt.Fprintf(b, " %s |", v)
		}
		b.WriteString("\n")
	}
}

// writePlot plots max/mean load against moved load, with one point for each method
// and trace. It leaves out points beyond the axes.
func writePlot(path string, rows []Row) error {
	p := plot.New()
	p.Title.Text = "Each point is one trace; lower left is better"
	p.X.Label.Text = "load moved (multiples of the service's load, up to 2.5)"
	p.Y.Label.Text = "load max/mean"
	p.Add(plotter.NewGrid())
	p.Legend.Top = true
	p.Y.Min, p.Y.Max = minPlotLoad, maxPlotLoad
	var ticks plot.ConstantTicks
	for i := range plotTicks + 1 {
		v := minPlotLoad + float64(i)*(maxPlotLoad-minPlotLoad)/plotTicks
		ticks = append(ticks, plot.Tick{Value: v, Label: fmt.Sprintf("%.1f", v)})
	}
	p.Y.Tick.Marker = ticks
	var points []any
	for i, m := range Methods() {
		var xy plotter.XYs
		for _, r := range rows {
			if x := r.Results[i]; x.LoadMoved <= maxPlotLoadMoved && x.MaxLoadRatio <= maxPlotLoad {
				xy = append(xy, plotter.XY{X: x.LoadMoved, Y: x.MaxLoadRatio})
			}
		}
		points = append(points, m.Name, xy)
	}
	if err := plotutil.AddScatters(p, points...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

// Limits of the plot's axes, and its size.
const (
	maxPlotLoadMoved = 2.5
	minPlotLoad      = 1.0
	maxPlotLoad      = 1.8
	plotTicks        = 8
	plotWidth        = 8 * vg.Inch
	plotHeight       = 5 * vg.Inch
)
