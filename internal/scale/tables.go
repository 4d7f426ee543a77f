package scale

import (
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
)

// tableWriter writes lines of cells separated by tabs, and aligns the cells. Flush returns the first error.
type tableWriter struct{ *tabwriter.Writer }

func (w tableWriter) line(format string, args ...any) { fmt.Fprintf(w, format+"\n", args...) }

// Write writes the report as text tables.
func (report *Report) Write(out io.Writer) error {
	w := tableWriter{tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)}
	w.line("scale run: seed %d, %s, %d cores, %s, load before the run %s, %s", report.Seed, report.Machine.GoVersion,
		report.Machine.Cores, formatMegabytes(float64(report.Machine.MemoryBytes)), report.Machine.LoadAverages, report.Status)
	for _, note := range report.Notes {
		w.line("- %s", note)
	}
	for start := 0; start < len(report.Points); {
		end := start
		for end < len(report.Points) && report.Points[end].Sweep == report.Points[start].Sweep {
			end++
		}
		w.writeSweep(report.Points[start:end])
		start = end
	}
	if len(report.Fits) > 0 {
		w.writeFits(report.Fits)
	}
	w.line("\nUSED: at most %s and %d processes, %.0f s of CPU time in this process, %.0f s in all",
		formatMegabytes(float64(report.Usage.PeakMemoryBytes)), report.Usage.PeakProcesses, report.Usage.CPUSeconds,
		report.Usage.WallSeconds)
	if err := w.Flush(); err != nil {
		return fmt.Errorf("writing the tables: %w", err)
	}
	return nil
}

// writeSweep writes the table of one sweep: a row for each figure, a column for each point.
func (w tableWriter) writeSweep(points []*Point) {
	w.line("\n%s", strings.ToUpper(points[0].Sweep))
	var measured []*Point
	for _, p := range points {
		if p.SkipReason == "" {
			measured = append(measured, p)
		}
	}
	w.writeFigures(measured)
	for _, p := range points {
		if p.SkipReason != "" {
			w.line("%s: skipped, %s", p.Label, p.SkipReason)
		}
		for _, note := range p.Notes {
			w.line("%s: %s", p.Label, note)
		}
	}
}

func (w tableWriter) writeFigures(points []*Point) {
	type row struct{ role, name, unit string }
	var rows []row
	header := []string{"role", "figure", "unit"}
	for _, p := range points {
		header = append(header, p.Label)
		for _, f := range p.Figures {
			if r := (row{f.Role, f.Name, f.Unit}); !slices.Contains(rows, r) {
				rows = append(rows, r)
			}
		}
	}
	if len(rows) > 0 {
		w.line("%s", strings.Join(header, "\t"))
	}
	for _, r := range rows {
		cells := []string{r.role, r.name, r.unit}
		for _, p := range points {
			cell := "-"
			if f, ok := p.findFigure(r.role, r.name); ok {
				cell = formatNumber(f.Value)
			}
			cells = append(cells, cell)
		}
		w.line("%s", strings.Join(cells, "\t"))
	}
}

func (w tableWriter) writeFits(fits []Fit) {
	w.line("\nFITS of lines by least squares; outliers are more than %.0f%% off the line", 100*maxRelativeDeviation)
	w.line("sweep\trole\tfigure\tunit\tslope per %s\tintercept\tR2\tresidual\trelative\toutliers", formatNumber(slopeTableFactor))
	for _, f := range fits {
		outliers := "-"
		if len(f.Outliers) > 0 {
			outliers = fmt.Sprintf("%d of %d do not fit a line", len(f.Outliers), f.Points)
		}
		w.line("%s\t%s\t%s\t%s\t%s\t%s\t%.3f\t%s\t%.0f%%\t%s", f.Sweep, f.Role, f.Figure, f.Unit,
			formatNumber(slopeTableFactor*f.Slope), formatNumber(f.Intercept), f.R2, formatNumber(f.Residual),
			100*f.RelativeResidual, outliers)
	}
}

// formatNumber formats a number with commas between thousands if it is large, and otherwise as an integer or with three
// significant digits.
func formatNumber(v float64) string {
	if v < 0 {
		return "-" + formatNumber(-v)
	}
	if v >= 999.5 {
		s := strconv.FormatFloat(v, 'f', 0, 64)
		for i := len(s) - 3; i > 0; i -= 3 {
			s = s[:i] + "," + s[i:]
		}
		return s
	}
	if v == float64(int(v)) {
		return strconv.Itoa(int(v))
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}
