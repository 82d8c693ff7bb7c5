package emulator

import (
	"context"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"

	"shaletrestle/coord/wait"
	"shaletrestle/internal/metrics"
)

const (
	memorySampleInterval = 100 * time.Millisecond
	bytesPerMiB          = 1 << 20
)

// memorySample is the memory of this process, with the daemons and all stand-ins in it, and what was served so far.
type memorySample struct {
	atS         float64
	residentMiB float64
	served      int
}

// sampleMemory takes samples until the context ends.
func sampleMemory(ctx context.Context, report *report) []memorySample {
	var samples []memorySample
	begun := time.Now()
	wait.Every(ctx, memorySampleInterval, func() bool {
		resident, ok := metrics.ResidentBytes()
		_, served := report.progress()
		if ok {
			samples = append(samples, memorySample{atS: time.Since(begun).Seconds(), residentMiB: resident / bytesPerMiB, served: served})
		}
		return true
	})
	return samples
}

// memoryPlot draws resident memory beside what was served in the second before.
func memoryPlot(experiment *Experiment, samples []memorySample) (*plot.Plot, error) {
	const samplesPerSecond = int(time.Second / memorySampleInterval)
	drawn := newPlot(experiment.Name+": memory of this process, and what it serves", "s", "MiB; requests a second")
	var resident, served plotter.XYs
	for i, sample := range samples {
		resident = append(resident, plotter.XY{X: sample.atS, Y: sample.residentMiB})
		if i >= samplesPerSecond {
			served = append(served, plotter.XY{X: sample.atS, Y: float64(sample.served - samples[i-samplesPerSecond].served)})
		}
	}
	if len(served) == 0 {
		return drawn, plotutil.AddLines(drawn, "resident MiB", resident)
	}
	return drawn, plotutil.AddLines(drawn, "resident MiB", resident, "served a second", served)
}
