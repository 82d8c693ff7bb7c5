package emulator

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Fit is a straight line through the points of a series.
type Fit struct {
	Slope     float64 `json:"slope"`
	Error     float64 `json:"slope_standard_error"`
	Intercept float64 `json:"intercept"`
	R2        float64 `json:"r2"`
}

// fit fits a line by least squares and tells the slope's standard error.
func fit(x, y []float64) Fit {
	a, b := stat.LinearRegression(x, y, nil, false)
	mean, n := stat.Mean(x, nil), float64(len(x))
	var rest, spread float64
	for i := range x {
		d := y[i] - a - b*x[i]
		rest += d * d
		spread += (x[i] - mean) * (x[i] - mean)
	}
	f := Fit{Slope: b, Intercept: a, R2: stat.RSquared(x, y, nil, a, b)}
	if n > 2 && spread > 0 {
		f.Error = math.Sqrt(rest / (n - 2) / spread)
	}
	if math.IsNaN(f.R2) || math.IsInf(f.R2, 0) {
		f.R2 = 0 // all values alike: nothing is there to explain
	}
	return f
}
