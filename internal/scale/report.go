package scale

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const reportFormat = "hitchspring-scale/1"

// Report is all that a run has to tell.
type Report struct {
	Format  string        `json:"format"`
	Date    time.Time     `json:"date"`
	Seed    uint64        `json:"seed"`
	Commit  string        `json:"commit,omitempty"`
	Flags   Options       `json:"flags"`
	Machine Machine       `json:"machine"`
	Ended   string        `json:"ended"` // whole, or why not
	Notes   []string      `json:"notes"`
	Points  []*Point      `json:"points"`
	Fits    []Fit         `json:"fits"`
	Used    ResourceUsage `json:"used"`
}

// reportNotes are what the figures stand for, for all runs.
func reportNotes() []string {
	return []string{
		"sweeps of backends and tenants: one ingress at a time on a driven clock, with no socket but for the list",
		"other sweeps: hollow ingresses in real time, with the real clients of discovery and the counter",
		"discovery and the counter are stand-ins in processes of their own: their processor time is the stand-ins'",
		"where lists are pushed, discovery's stand-in is also the agent of every ingress",
		"attempts go to modelled backends, but for the real ingresses: those have sockets on both sides",
	}
}

// Point is one size of a sweep.
type Point struct {
	Sweep   string   `json:"sweep"`
	Label   string   `json:"label"`
	Against string   `json:"against,omitempty"` // what its size is; empty: not for a fit
	Size    float64  `json:"size"`
	Seconds float64  `json:"seconds"`
	Skipped string   `json:"skipped,omitempty"` // why it has no figures
	Notes   []string `json:"notes,omitempty"`
	Figures []Figure `json:"figures,omitempty"`
}

// Figure is one measured value.
type Figure struct {
	Role        string       `json:"role"`
	Name        string       `json:"name"`
	Unit        string       `json:"unit"`
	Value       float64      `json:"value"`
	Samples     uint64       `json:"samples,omitempty"`
	Percentiles *Percentiles `json:"percentiles,omitempty"`
	NoFit       bool         `json:"-"` // it tells of the run, not of a cost
}

// Percentiles are a histogram's, in the figure's unit.
type Percentiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99.9"`
	Max  float64 `json:"max"`
	Mean float64 `json:"mean"`
}

// Roles.
const (
	roleIngress   = "ingress"
	roleDiscovery = "discovery"
	roleCounter   = "counter"
	roleRun       = "run"
)

// Figures that more than one sweep has.
const figureCounterCalls = "counter calls for a request"

func (p *Point) add(role, name, unit string, value float64, samples uint64) {
	p.Figures = append(p.Figures, Figure{Role: role, Name: name, Unit: unit, Value: value, Samples: samples})
}

// addUnfitted adds a figure that no line is sought for.
func (p *Point) addUnfitted(role, name, unit string, value float64) {
	p.Figures = append(p.Figures, Figure{Role: role, Name: name, Unit: unit, Value: value, NoFit: true})
}

// excludeFromFit keeps a figure out of the slopes.
func (p *Point) excludeFromFit(name string) {
	for i := range p.Figures {
		p.Figures[i].NoFit = p.Figures[i].NoFit || p.Figures[i].Name == name
	}
}

func (p *Point) addNote(form string, args ...any) {
	p.Notes = append(p.Notes, fmt.Sprintf(form, args...))
}

// addHistogram adds a histogram of ns with one of its quantiles as the value, in a unit of so many ns.
func (p *Point) addHistogram(role, name, unit string, per time.Duration, h *hdrhistogram.Histogram, quantile float64) {
	if h.TotalCount() == 0 {
		return
	}
	q := func(v float64) float64 { return float64(h.ValueAtQuantile(v)) / float64(per) }
	p.Figures = append(p.Figures, Figure{Role: role, Name: name, Unit: unit, Value: q(quantile),
		Samples: uint64(h.TotalCount()), Percentiles: &Percentiles{q(50), q(90), q(99), q(99.9),
			float64(h.Max()) / float64(per), h.Mean() / float64(per)}})
}

func (p *Point) find(role, name string) (Figure, bool) {
	i := slices.IndexFunc(p.Figures, func(f Figure) bool { return f.Role == role && f.Name == name })
	if i < 0 {
		return Figure{}, false
	}
	return p.Figures[i], true
}

// formatNumber writes a figure for people: thousands apart where it is large, three digits where it is not.
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

// Write prints the tables.
func (r *Report) Write(w io.Writer) error {
	out := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	line := func(form string, args ...any) { fmt.Fprintf(out, form+"\n", args...) } // Flush tells of errors
	line("scale run: seed %d, %s, %d cores, %s, load before it %s, %s", r.Seed, r.Machine.Go, r.Machine.Cores,
		formatMegabytes(float64(r.Machine.Memory)), r.Machine.Load, r.Ended)
	for _, n := range r.Notes {
		line("- %s", n)
	}
	for from := 0; from < len(r.Points); {
		to := from
		for to < len(r.Points) && r.Points[to].Sweep == r.Points[from].Sweep {
			to++
		}
		writeSweep(line, r.Points[from:to])
		from = to
	}
	if len(r.Fits) > 0 {
		line("\nSLOPES by least squares; off: points over %.0f%% from the line", 100*maxDeviation)
		line("sweep\trole\tfigure\tunit\tslope per 1,000\tat 0\tR2\tresidual\trelative\toff")
	}
	for _, f := range r.Fits {
		off := "-"
		if len(f.Off) > 0 {
			off = fmt.Sprintf("%d of %d do not fit a line", len(f.Off), f.Points)
		}
		line("%s\t%s\t%s\t%s\t%s\t%s\t%.3f\t%s\t%.0f%%\t%s", f.Sweep, f.Role, f.Figure, f.Unit, formatNumber(1000*f.Slope),
			formatNumber(f.Intercept), f.R2, formatNumber(f.Residual), 100*f.Relative, off)
	}
	line("\nUSED: %s at the most, %d processes, %.0f s of processor time in this one, %.0f s",
		formatMegabytes(float64(r.Used.PeakMemory)), r.Used.PeakProcesses, r.Used.CPUSeconds, r.Used.WallSeconds)
	if err := out.Flush(); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return nil
}

// writeSweep prints one table: a row for each figure, a column for each point.
func writeSweep(line func(string, ...any), points []*Point) {
	line("\n%s", strings.ToUpper(points[0].Sweep))
	type row struct{ role, name, unit string }
	var rows []row
	head := "role\tfigure\tunit"
	for _, p := range points {
		if p.Skipped != "" {
			continue
		}
		head += "\t" + p.Label
		for _, f := range p.Figures {
			if k := (row{f.Role, f.Name, f.Unit}); !slices.Contains(rows, k) {
				rows = append(rows, k)
			}
		}
	}
	if len(rows) > 0 {
		line("%s", head)
	}
	for _, k := range rows {
		cells := k.role + "\t" + k.name + "\t" + k.unit
		for _, p := range points {
			if p.Skipped != "" {
				continue
			}
			cell := "-"
			if f, ok := p.find(k.role, k.name); ok {
				cell = formatNumber(f.Value)
			}
			cells += "\t" + cell
		}
		line("%s", cells)
	}
	for _, p := range points {
		if p.Skipped != "" {
			line("%s: skipped, %s", p.Label, p.Skipped)
		}
		for _, n := range p.Notes {
			line("%s: %s", p.Label, n)
		}
	}
}

// Save writes the file whole or not at all.
func (r *Report) Save(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.WriteFile(path+".part", append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	if err := os.Rename(path+".part", path); err != nil {
		return fmt.Errorf("report: %w", err)
	}
	return nil
}
