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
	w.line("\nUSED: at most %s and %d processes, %.0f s of CPU time in this process, %.0f s of wall time",
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
	type figureRow struct{ role, name, unit string }
	var rows []figureRow
	header := []string{"role", "figure", "unit"}
	for _, p := range points {
		header = append(header, p.Label)
		for _, figure := range p.Figures {
			if row := (figureRow{figure.Role, figure.Name, figure.Unit}); !slices.Contains(rows, row) {
				rows = append(rows, row)
			}
		}
	}
	if len(rows) > 0 {
		w.line("%s", strings.Join(header, "\t"))
	}
	for _, row := range rows {
		cells := []string{row.role, row.name, row.unit}
		for _, p := range points {
			cell := "-"
			if figure, ok := p.findFigure(row.role, row.name); ok {
				cell = formatNumber(figure.Value)
			}
			cells = append(cells, cell)
		}
		w.line("%s", strings.Join(cells, "\t"))
	}
}

func (w tableWriter) writeFits(fits []Fit) {
	w.line("\nFITS of lines by least squares; outliers are more than %.0f%% off the line", 100*maxRelativeDeviation)
	w.line("sweep\trole\tfigure\tunit\tslope per %s\tintercept\tR2\tresidual\trelative\toutliers", formatNumber(slopeTableFactor))
	for _, fit := range fits {
		outliers := "-"
		if len(fit.Outliers) > 0 {
			outliers = fmt.Sprintf("%d of %d do not fit a line", len(fit.Outliers), fit.Points)
		}
		w.line("%s\t%s\t%s\t%s\t%s\t%s\t%.3f\t%s\t%.0f%%\t%s", fit.Sweep, fit.Role, fit.Figure, fit.Unit,
			formatNumber(slopeTableFactor*fit.Slope), formatNumber(fit.Intercept), fit.R2, formatNumber(fit.Residual),
			100*fit.RelativeResidual, outliers)
	}
}

// formatNumber formats a number with commas between thousands if it is large, and otherwise as an integer or with three
// significant digits.
func formatNumber(v float64) string {
	if v < 0 {
		return "-" + formatNumber(-v)
	}
	if v >= 999.5 {
		digits := strconv.FormatFloat(v, 'f', 0, 64)
		for i := len(digits) - 3; i > 0; i -= 3 {
			digits = digits[:i] + "," + digits[i:]
		}
		return digits
	}
	if v == float64(int(v)) {
		return strconv.Itoa(int(v))
	}
	return strconv.FormatFloat(v, 'g', 3, 64)
}
