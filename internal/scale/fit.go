package scale

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

const (
	minFitPoints                = 3    // any two points lie on a line
	maxRelativeDeviation        = 0.2  // largest deviation of a point that is not an outlier, as a share of its value
	maxSquaredRelativeDeviation = 1e12 // limit that keeps the mean finite for values near 0
	slopeTableFactor            = 1000 // size units for which the tables show a slope
)

// Fit is a line fitted to the points of a figure by least squares.
type Fit struct {
	Sweep            string   `json:"sweep"`
	Role             string   `json:"role"`
	Figure           string   `json:"figure"`
	Unit             string   `json:"unit"`
	SizeUnit         string   `json:"against"`
	Points           int      `json:"points"`
	Slope            float64  `json:"slope"`
	Intercept        float64  `json:"intercept"`
	R2               float64  `json:"r2"`
	Residual         float64  `json:"residual"`               // root mean square of the deviations, in the figure's unit
	RelativeResidual float64  `json:"relative_residual"`      // root mean square of the deviations as shares of the values
	Outliers         []string `json:"does_not_fit,omitempty"` // points beyond maxRelativeDeviation of the line
}

// fitLine fits y against x. It returns false if there are too few points or no line exists.
func fitLine(x, y []float64) (Fit, bool) {
	if len(x) < minFitPoints {
		return Fit{}, false
	}
	fit := Fit{Points: len(x)}
	fit.Intercept, fit.Slope = stat.LinearRegression(x, y, nil, false)
	fit.R2 = stat.RSquared(x, y, nil, fit.Intercept, fit.Slope)
	if math.IsNaN(fit.R2) || math.IsInf(fit.R2, 0) { // all values are equal
		fit.R2 = 1
	}
	squares, relativeSquares := 0.0, 0.0
	for i := range x {
		predicted := fit.Intercept + fit.Slope*x[i]
		deviation, relativeDeviation := y[i]-predicted, 0.0
		if deviation != 0 {
			relativeDeviation = deviation / max(math.Abs(y[i]), math.SmallestNonzeroFloat64)
		}
		squares += deviation * deviation
		relativeSquares += min(relativeDeviation*relativeDeviation, maxSquaredRelativeDeviation)
		if math.Abs(relativeDeviation) > maxRelativeDeviation {
			fit.Outliers = append(fit.Outliers,
				fmt.Sprintf("%s: %.4g, the line predicts %.4g", formatNumber(x[i]), y[i], predicted))
		}
	}
	fit.Residual = math.Sqrt(squares / float64(len(x)))
	fit.RelativeResidual = math.Sqrt(relativeSquares / float64(len(x)))
	ok := !math.IsNaN(fit.Slope) && !math.IsNaN(fit.Intercept) && !math.IsInf(fit.Slope, 0)
	return fit, ok
}

// series holds the values of a figure with the sizes of their points.
type series struct{ sizes, values []float64 }

// fitFigures returns a line for each figure that a sweep has at enough points, in the order of their first points.
func fitFigures(points []*Point) []Fit {
	type figureKey struct{ sweep, role, name, unit, sizeUnit string }
	var keys []figureKey
	seriesOf := map[figureKey]*series{}
	for _, p := range points {
		for _, figure := range p.Figures {
			if p.SizeUnit == "" || figure.ExcludedFromFit {
				continue
			}
			key := figureKey{p.Sweep, figure.Role, figure.Name, figure.Unit, p.SizeUnit}
			s := seriesOf[key]
			if s == nil {
				s = &series{}
				seriesOf[key] = s
				keys = append(keys, key)
			}
			s.sizes = append(s.sizes, p.Size)
			s.values = append(s.values, figure.Value)
		}
	}
	var list []Fit
	for _, key := range keys {
		s := seriesOf[key]
		if fit, ok := fitLine(s.sizes, s.values); ok {
			fit.Sweep, fit.Role, fit.Figure, fit.Unit, fit.SizeUnit = key.sweep, key.role, key.name, key.unit, key.sizeUnit
			list = append(list, fit)
		}
	}
	return list
}
