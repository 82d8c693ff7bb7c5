package emulator

import (
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"shaletrestle/internal/errkind"
)

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

var plottedQuantiles = []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 98, 99, 99.5, 99.9}

// plot draws latency by quantile, the outcomes of each second, memory and, if there are samples, the totals of tallies on both
// sides, as SVG and PNG.
func (r *report) plot(experiment *Experiment, samples []TallySample, memory []memorySample, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errkind.Wrap(errkind.InvalidSettings, err, "plots")
	}
	latency, err := r.latencyPlot(experiment)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "plots")
	}
	outcomes, err := r.outcomesPlot(experiment)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "plots")
	}
	if err := savePlot(latency, filepath.Join(dir, "latency")); err != nil {
		return err
	}
	if err := savePlot(outcomes, filepath.Join(dir, "outcomes")); err != nil {
		return err
	}
	resident, err := memoryPlot(experiment, memory)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "plots")
	}
	if err := savePlot(resident, filepath.Join(dir, "memory")); err != nil {
		return err
	}
	if len(samples) == 0 {
		return nil
	}
	tallies, err := talliesPlot(experiment, samples)
	if err != nil {
		return errkind.Wrap(errkind.Internal, err, "plots")
	}
	return savePlot(tallies, filepath.Join(dir, "tallies"))
}

// talliesPlot draws what both sides read, what was acknowledged, and what the side that lacks more lacks of it.
func talliesPlot(experiment *Experiment, samples []TallySample) (*plot.Plot, error) {
	drawn := newPlot(experiment.Name+": tallies", "s", "sum over all tallies")
	drawn.Legend.Left = true
	var cutOff, others, acknowledged, unmerged plotter.XYs
	for _, sample := range samples {
		cutOff = append(cutOff, plotter.XY{X: sample.AtS, Y: float64(sample.CutOff)})
		others = append(others, plotter.XY{X: sample.AtS, Y: float64(sample.Others)})
		acknowledged = append(acknowledged, plotter.XY{X: sample.AtS, Y: float64(sample.Acknowledged)})
		least := min(sample.CutOff, sample.Others, sample.Acknowledged)
		unmerged = append(unmerged, plotter.XY{X: sample.AtS, Y: float64(sample.Acknowledged - least)})
	}
	return drawn, plotutil.AddLines(drawn, "acknowledged", acknowledged, "other zones", others, "zone cut off", cutOff, "unmerged", unmerged)
}

// newPlot makes an empty plot with its legend at the top.
func newPlot(title, x, y string) *plot.Plot {
	empty := plot.New()
	empty.Title.Text = title
	empty.X.Label.Text = x
	empty.Y.Label.Text = y
	empty.Legend.Top = true
	return empty
}

// latencyPlot draws a line for each kind of request.
func (r *report) latencyPlot(experiment *Experiment) (*plot.Plot, error) {
	drawn := newPlot(experiment.Name+": latency", "percent of what was served", "ms")
	drawn.Legend.Left = true
	var lines []any // name and points in turn
	for _, kind := range experiment.Kinds {
		var points plotter.XYs
		for _, percent := range plottedQuantiles {
			points = append(points, plotter.XY{X: percent, Y: quantile(r.rows[kind.Name].latency, percent)})
		}
		lines = append(lines, kind.Name, points)
	}
	return drawn, plotutil.AddLinePoints(drawn, lines...)
}

// outcomesPlot draws a line for each outcome.
func (r *report) outcomesPlot(experiment *Experiment) (*plot.Plot, error) {
	drawn := newPlot(experiment.Name+": outcomes by second of sending", "s", "requests")
	counts, seconds := r.outcomesBySecond()
	var lines []any // name and points in turn
	for _, outcome := range []string{Served, Rejected, Failed} {
		var points plotter.XYs
		for second := range seconds {
			points = append(points, plotter.XY{X: float64(second), Y: float64(counts[outcome][second])})
		}
		lines = append(lines, outcome, points)
	}
	return drawn, plotutil.AddLinePoints(drawn, lines...)
}

// outcomesBySecond counts requests by outcome and second of sending, and gives the
// number of seconds.
func (r *report) outcomesBySecond() (counts map[string]map[int]int, seconds int) {
	counts = map[string]map[int]int{Served: {}, Rejected: {}, Failed: {}}
	last := 0
	for _, result := range r.results {
		second := int(result.AtMs / 1000)
		counts[result.Outcome][second]++
		last = max(last, second)
	}
	return counts, last + 1
}

// savePlot writes a plot in both formats.
func savePlot(drawn *plot.Plot, path string) error {
	for _, extension := range []string{".svg", ".png"} {
		if err := drawn.Save(plotWidth, plotHeight, path+extension); err != nil {
			return errkind.Wrap(errkind.Internal, err, "plots")
		}
	}
	return nil
}
