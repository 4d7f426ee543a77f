package scale

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

const (
	minFitPoints                = 3    // any two points lie on a line
	maxRelativeDeviation        = 0.2  // deviation of a point from its line, as a share of the point's value
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
	f := Fit{Points: len(x)}
	f.Intercept, f.Slope = stat.LinearRegression(x, y, nil, false)
	f.R2 = stat.RSquared(x, y, nil, f.Intercept, f.Slope)
	if math.IsNaN(f.R2) || math.IsInf(f.R2, 0) { // all values are equal
		f.R2 = 1
	}
	squares, relativeSquares := 0.0, 0.0
	for i := range x {
		predicted := f.Intercept + f.Slope*x[i]
		deviation, relativeDeviation := y[i]-predicted, 0.0
		if deviation != 0 {
			relativeDeviation = deviation / max(math.Abs(y[i]), math.SmallestNonzeroFloat64)
		}
		squares += deviation * deviation
		relativeSquares += min(relativeDeviation*relativeDeviation, maxSquaredRelativeDeviation)
		if math.Abs(relativeDeviation) > maxRelativeDeviation {
			f.Outliers = append(f.Outliers, fmt.Sprintf("%s: %.4g, the line predicts %.4g", formatNumber(x[i]), y[i], predicted))
		}
	}
	f.Residual = math.Sqrt(squares / float64(len(x)))
	f.RelativeResidual = math.Sqrt(relativeSquares / float64(len(x)))
	ok := !math.IsNaN(f.Slope) && !math.IsNaN(f.Intercept) && !math.IsInf(f.Slope, 0)
	return f, ok
}

// series holds the values of a figure with the sizes of their points.
type series struct{ sizes, values []float64 }

// fitFigures returns a line for each figure that a sweep has at enough points, in the order of their first points.
func fitFigures(points []*Point) []Fit {
	type figureKey struct{ sweep, role, name, unit, sizeUnit string }
	var keys []figureKey
	seriesOf := map[figureKey]*series{}
	for _, p := range points {
		for _, f := range p.Figures {
			if p.SizeUnit == "" || f.ExcludedFromFit {
				continue
			}
			key := figureKey{p.Sweep, f.Role, f.Name, f.Unit, p.SizeUnit}
			s := seriesOf[key]
			if s == nil {
				s = &series{}
				seriesOf[key] = s
				keys = append(keys, key)
			}
			s.sizes = append(s.sizes, p.Size)
			s.values = append(s.values, f.Value)
		}
	}
	var list []Fit
	for _, k := range keys {
		s := seriesOf[k]
		if f, ok := fitLine(s.sizes, s.values); ok {
			f.Sweep, f.Role, f.Figure, f.Unit, f.SizeUnit = k.sweep, k.role, k.name, k.unit, k.sizeUnit
			list = append(list, f)
		}
	}
	return list
}
