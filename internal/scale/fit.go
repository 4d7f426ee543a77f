package scale

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

const maxDeviation = 0.2 // share of its value by which a point may lie off the line

// Fit is a line through a figure's points, by least squares.
type Fit struct {
	Sweep     string   `json:"sweep"`
	Role      string   `json:"role"`
	Figure    string   `json:"figure"`
	Unit      string   `json:"unit"`
	Against   string   `json:"against"`
	Points    int      `json:"points"`
	Slope     float64  `json:"slope"`
	Intercept float64  `json:"intercept"`
	R2        float64  `json:"r2"`
	Residual  float64  `json:"residual"`          // root of the mean square, in the figure's unit
	Relative  float64  `json:"relative_residual"` // the same of each point's share of its value
	Off       []string `json:"does_not_fit,omitempty"`
}

const minFitPoints = 3 // through two there always is a line

// fitLine fits y against x, and names the points that lie off by more than their share.
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
	squares, shares := 0.0, 0.0
	for i := range x {
		line := f.Intercept + f.Slope*x[i]
		off := y[i] - line
		share := 0.0
		if off != 0 {
			share = off / max(math.Abs(y[i]), math.SmallestNonzeroFloat64)
		}
		squares += off * off
		shares += min(share*share, 1e12)
		if math.Abs(share) > maxDeviation {
			f.Off = append(f.Off, fmt.Sprintf("%s: %.4g, the line says %.4g", formatNumber(x[i]), y[i], line))
		}
	}
	f.Residual, f.Relative = math.Sqrt(squares/float64(len(x))), math.Sqrt(shares/float64(len(x)))
	ok := !math.IsNaN(f.Slope) && !math.IsNaN(f.Intercept) && !math.IsInf(f.Slope, 0)
	return f, ok
}

// fits puts a line through each figure that a sweep has at three points or more.
func fits(points []*Point) []Fit {
	type key struct{ sweep, role, name, unit, against string }
	var order []key
	xs, ys := map[key][]float64{}, map[key][]float64{}
	for _, p := range points {
		for _, f := range p.Figures {
			if p.Against == "" || f.NoFit {
				continue
			}
			k := key{p.Sweep, f.Role, f.Name, f.Unit, p.Against}
			if xs[k] == nil {
				order = append(order, k)
			}
			xs[k], ys[k] = append(xs[k], p.Size), append(ys[k], f.Value)
		}
	}
	var list []Fit
	for _, k := range order {
		if f, ok := fitLine(xs[k], ys[k]); ok {
			f.Sweep, f.Role, f.Figure, f.Unit, f.Against = k.sweep, k.role, k.name, k.unit, k.against
			list = append(list, f)
		}
	}
	return list
}
