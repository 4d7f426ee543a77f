package scale

import (
	"bytes"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

// sampleReport returns a report with four points of a sweep whose costs do not fit a line, and a skipped point.
func sampleReport() *Report {
	report := &Report{Format: reportFormat, Seed: 3, Status: "whole"}
	for i := range 4 {
		p := &Point{Sweep: "backends", Label: formatNumber(float64(1000 * i)), SizeUnit: "backends", Size: float64(i)}
		p.addFigure(roleIngress, "cost", "µs", float64(i*i), 9)
		histogram := newHistogram()
		recordTime(histogram, time.Millisecond)
		p.addHistogram(roleIngress, "wait", "ms", time.Millisecond, histogram, 50)
		report.Points = append(report.Points, p)
	}
	report.Points[1].addNote("list not taken")
	report.Points = append(report.Points, &Point{Sweep: "zone", Label: "lost", SkipReason: "no time left for this point"})
	report.Fits = fitFigures(report.Points)
	return report
}

func TestTablesNameSkippedPointsNotesAndOutliers(t *testing.T) {
	var text bytes.Buffer
	if err := sampleReport().Write(&text); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"seed 3", "3,000", "1,000: list not taken", "lost: skipped, no time",
		"3 of 4 do not fit a line"} {
		if !strings.Contains(text.String(), want) {
			t.Errorf("got tables without %q:\n%s", want, text.String())
		}
	}
}

func TestSavedReportCanBeReadBack(t *testing.T) {
	path := filepath.Join(t.TempDir(), "scale.json")
	if err := sampleReport().Save(path); err != nil {
		t.Fatal(err)
	}
	file, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var got Report
	if err := json.Unmarshal(file, &got); err != nil || got.Format != reportFormat || len(got.Points) != 5 {
		t.Errorf("got error %v, report %+v; want the saved report with 5 points", err, got)
	}
	if p := got.Points[0].Figures[1].Percentiles; p == nil || math.Abs(p.P99-1) > 0.02 {
		t.Errorf("got percentiles %+v, want 1 ms", p)
	}
}

func TestFormatNumberRoundsAndGroupsDigits(t *testing.T) {
	for v, want := range map[float64]string{0: "0", 7: "7", 0.1234: "0.123", 999.6: "1,000", 999.4: "999", 1000: "1,000",
		200000: "200,000", -1234567: "-1,234,567"} {
		if got := formatNumber(v); got != want {
			t.Errorf("%v: got %q, want %q", v, got, want)
		}
	}
}
