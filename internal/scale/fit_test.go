package scale

import (
	"math"
	"testing"
)

func TestFitLineFindsTheLineAndNamesOutliers(t *testing.T) {
	for _, c := range []struct {
		name             string
		x, y             []float64
		slope, intercept float64
		exact            bool
		outliers         int
		noFit            bool
	}{
		{"a line", []float64{1, 2, 3, 4}, []float64{5, 7, 9, 11}, 2, 3, true, 0, false},
		{"a constant", []float64{1, 2, 3}, []float64{4, 4, 4}, 0, 4, true, 0, false},
		{"all zero", []float64{1, 2, 3}, []float64{0, 0, 0}, 0, 0, true, 0, false},
		{"a square", []float64{0, 1, 2, 3}, []float64{0, 1, 4, 9}, 3, -1, false, 3, false},
		{"two points", []float64{1, 2}, []float64{1, 2}, 0, 0, false, 0, true},
		{"one size only", []float64{2, 2, 2}, []float64{1, 2, 3}, 0, 0, false, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			fit, ok := fitLine(c.x, c.y)
			if ok == c.noFit {
				t.Fatalf("got a fit: %v, want %v", ok, !c.noFit)
			}
			if !ok {
				return
			}
			if math.Abs(fit.Slope-c.slope) > 1e-9 || math.Abs(fit.Intercept-c.intercept) > 1e-9 {
				t.Errorf("got %v x + %v, want %v x + %v", fit.Slope, fit.Intercept, c.slope, c.intercept)
			}
			if exact := fit.Residual < 1e-9 && fit.R2 > 1-1e-9; exact != c.exact {
				t.Errorf("got residual %v, R2 %v; want an exact fit: %v", fit.Residual, fit.R2, c.exact)
			}
			if len(fit.Outliers) != c.outliers {
				t.Errorf("got outliers %q, want %d", fit.Outliers, c.outliers)
			}
		})
	}
}

func TestFitFiguresUsesOnlyCostsOfPointsWithASizeUnit(t *testing.T) {
	var points []*Point
	for i, sizeUnit := range []string{"backends", "backends", "backends", ""} {
		p := &Point{Sweep: "s", SizeUnit: sizeUnit, Size: float64(i)}
		p.addFigure(roleIngress, "cost", "µs", 10+2*float64(i), 1)
		p.addFigureWithoutFit(roleRun, "played", "", float64(i))
		points = append(points, p)
	}
	points[3].Figures[0].Value = 1e6 // as for a point that was cut short
	list := fitFigures(points)
	if len(list) != 1 || list[0].Points != 3 || math.Abs(list[0].Slope-2) > 1e-9 || list[0].SizeUnit != "backends" {
		t.Errorf("got fits %+v, want one of slope 2 through 3 points", list)
	}
}
