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

// fitLine fits a line by least squares and gives the slope's standard error.
func fitLine(x, y []float64) Fit {
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	fit := Fit{
		Slope:     slope,
		Error:     slopeError(x, y, intercept, slope),
		Intercept: intercept,
		R2:        stat.RSquared(x, y, nil, intercept, slope),
	}
	if math.IsNaN(fit.R2) || math.IsInf(fit.R2, 0) {
		fit.R2 = 0 // all values are equal: there is nothing to explain
	}
	return fit
}

// slopeError is the standard error of a slope; 0 if there are too few points.
func slopeError(x, y []float64, intercept, slope float64) float64 {
	mean := stat.Mean(x, nil)
	var residuals, spread float64 // sums of squares
	for i := range x {
		residual := y[i] - intercept - slope*x[i]
		residuals += residual * residual
		spread += (x[i] - mean) * (x[i] - mean)
	}
	degrees := float64(len(x)) - 2
	if degrees <= 0 || spread <= 0 {
		return 0
	}
	return math.Sqrt(residuals / degrees / spread)
}
