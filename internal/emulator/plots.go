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

var quantiles = []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 98, 99, 99.5, 99.9}

// plot draws latency by quantile and what ended in each second, as SVG and PNG.
func (r *report) plot(x *Experiment, dir string) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return errkind.Wrap(errkind.BadEnv, err, "plots")
	}
	lat, over := plot.New(), plot.New()
	lat.Title.Text, lat.X.Label.Text, lat.Y.Label.Text = x.Name+": latency", "percent of what was served", "ms"
	over.Title.Text, over.X.Label.Text, over.Y.Label.Text = x.Name+": outcomes by second of sending", "s", "requests"
	lat.Legend.Top, lat.Legend.Left, over.Legend.Top = true, true, true
	var args, outs []any
	for _, k := range x.Kinds {
		var xy plotter.XYs
		for _, q := range quantiles {
			xy = append(xy, plotter.XY{X: q, Y: float64(r.rows[k.Name].hist.ValueAtQuantile(q)) / 1000})
		}
		args = append(args, k.Name, xy)
	}
	by := map[string]map[int]int{Served: {}, Refused: {}, Failed: {}}
	last := 0
	for _, a := range r.all {
		s := int(a.AtMs / 1000)
		by[a.Outcome][s]++
		last = max(last, s)
	}
	for _, o := range []string{Served, Refused, Failed} {
		var xy plotter.XYs
		for s := range last + 1 {
			xy = append(xy, plotter.XY{X: float64(s), Y: float64(by[o][s])})
		}
		outs = append(outs, o, xy)
	}
	if err := plotutil.AddLinePoints(lat, args...); err != nil {
		return errkind.Wrap(errkind.Internal, err, "plots")
	}
	if err := plotutil.AddLinePoints(over, outs...); err != nil {
		return errkind.Wrap(errkind.Internal, err, "plots")
	}
	for name, p := range map[string]*plot.Plot{"latency": lat, "outcomes": over} {
		for _, form := range []string{".svg", ".png"} {
			if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, filepath.Join(dir, name+form)); err != nil {
				return errkind.Wrap(errkind.Internal, err, "plots")
			}
		}
	}
	return nil
}
