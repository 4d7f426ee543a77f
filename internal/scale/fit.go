package scale

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

const (
	minFitPoints                = 3    // there is a line through any two
	maxRelativeDeviation        = 0.2  // of a point from its line, as a share of its value
	maxSquaredRelativeDeviation = 1e12 // of a deviation, so that values of almost 0 do not make the mean infinite
	slopeTableFactor            = 1000 // the tables show slopes per so many
)

// Fit is a line through the points of a figure, by least squares.
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
	RelativeResidual float64  `json:"relative_residual"`      // the same for deviations as shares of the values
	Outliers         []string `json:"does_not_fit,omitempty"` // points that lie off the line by more than maxDeviation
}

// fitLine fits y against x. It returns false where there are too few points or no line.
func fitLine(x, y []float64) (Fit, bool) {
	if len(x) < minFitPoints {
		return Fit{}, false
	}
	f := Fit{Points: len(x)}
	f.Intercept, f.Slope = stat.LinearRegression(x, y, nil, false)
	f.R2 = stat.RSquared(x, y, nil, f.Intercept, f.Slope)
	if math.IsNaN(f.R2) || math.IsInf(f.R2, 0) { // all values are the same
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
			f.Outliers = append(f.Outliers, fmt.Sprintf("%s: %.4g, the line says %.4g", formatNumber(x[i]), y[i], predicted))
		}
	}
	f.Residual = math.Sqrt(squares / float64(len(x)))
	f.RelativeResidual = math.Sqrt(relativeSquares / float64(len(x)))
	ok := !math.IsNaN(f.Slope) && !math.IsNaN(f.Intercept) && !math.IsInf(f.Slope, 0)
	return f, ok
}

// series is the values of a figure by the size of the points.
type series struct{ sizes, values []float64 }

// fitFigures returns a line for each figure that a sweep has at enough points, in the order in which the figures come first.
func fitFigures(points []*Point) []Fit {
	type figureKey struct{ sweep, role, name, unit, sizeUnit string }
	var keys []figureKey
	seriesOf := map[figureKey]*series{}
	for _, p := range points {
		for _, f := range p.Figures {
			if p.SizeUnit == "" || f.ExcludedFromFit {
				continue
			}
			k := figureKey{p.Sweep, f.Role, f.Name, f.Unit, p.SizeUnit}
			s := seriesOf[k]
			if s == nil {
				s = &series{}
				seriesOf[k] = s
				keys = append(keys, k)
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
