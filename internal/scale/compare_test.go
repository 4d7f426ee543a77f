package scale

import "testing"

// comparedPoints returns a real and a hollow point with one figure that has a ratio, and others without a ratio.
func comparedPoints() (realPoint, hollowPoint *Point) {
	realPoint, hollowPoint = &Point{}, &Point{}
	realPoint.addFigure(roleIngress, figureRequestCost, "µs", 200, 1)
	realPoint.addFigure(roleIngress, figureIdleCost, "ms", 0, 1)
	realPoint.addFigure(roleIngress, "only real", "", 3, 1)
	hollowPoint.addFigure(roleIngress, figureRequestCost, "µs", 50, 1)
	hollowPoint.addFigure(roleIngress, figureIdleCost, "ms", 5, 1)
	return realPoint, hollowPoint
}

func TestRatiosAreOfFiguresThatBothPointsHave(t *testing.T) {
	var p Point
	addRatios(&p, new(Point), new(Point))
	if p.SkipReason != "" || len(p.Figures) > 0 {
		t.Errorf("got %+v, want no ratios of points without figures", p)
	}
	realPoint, hollowPoint := comparedPoints()
	if addRatios(&p, realPoint, hollowPoint); p.SkipReason != "" || len(p.Figures) != 1 || p.Figures[0].Value != 0.25 {
		t.Errorf("got %+v, want one ratio of 0.25", p)
	}
}

func TestRatiosAreSkippedIfAPointWasNotMeasured(t *testing.T) {
	var p Point
	realPoint, hollowPoint := comparedPoints()
	realPoint.SkipReason = "failed"
	if addRatios(&p, realPoint, hollowPoint); p.SkipReason == "" || len(p.Figures) > 0 {
		t.Errorf("got %+v, want a reason to skip and no ratio to a point that was not measured", p)
	}
}
