package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// reportFormat identifies the format of the report file. Reports in older formats have another name; no code reads them.
const reportFormat = "lemontack-scale/1"

// Report holds the results of a run. Its JSON keys must not change: scripts read them.
type Report struct {
	Format  string        `json:"format"`
	Date    time.Time     `json:"date"`
	Seed    uint64        `json:"seed"`
	Commit  string        `json:"commit,omitempty"`
	Options Options       `json:"flags"`
	Machine Machine       `json:"machine"`
	Status  string        `json:"ended"` // "whole", or "partial: " and the reason
	Notes   []string      `json:"notes"`
	Points  []*Point      `json:"points"`
	Fits    []Fit         `json:"fits"`
	Usage   ResourceUsage `json:"used"`
}

// reportNotes explain the figures of every run.
func reportNotes() []string {
	return []string{
		"sweeps of backends and tenants: one ingress at a time on a simulated clock; only the fetch of a list uses sockets",
		"other sweeps: hollow ingresses in real time, with the real clients of discovery and of the counter",
		"discovery and the counter are stand-ins in processes of their own: their CPU time is that of the stand-ins",
		"where lists are pushed, the stand-in of discovery also serves as the agent of each ingress",
		"attempts go to modelled backends; only the real ingresses have sockets to clients and to backends",
	}
}

// Point is the measurement at one size of a sweep.
type Point struct {
	Sweep      string   `json:"sweep"`
	Label      string   `json:"label"`
	SizeUnit   string   `json:"against,omitempty"` // unit of Size; empty excludes the point from fits
	Size       float64  `json:"size"`
	Seconds    float64  `json:"seconds"`           // duration of the measurement
	SkipReason string   `json:"skipped,omitempty"` // why the point was skipped or failed; empty if it was measured
	Notes      []string `json:"notes,omitempty"`
	Figures    []Figure `json:"figures,omitempty"`
}

// Figure is a value of a Point for a role, for example the CPU time of the ingress for one request. Percentiles is nil
// unless the value was taken from a histogram.
type Figure struct {
	Role            string       `json:"role"`
	Name            string       `json:"name"`
	Unit            string       `json:"unit"`
	Value           float64      `json:"value"`
	Samples         uint64       `json:"samples,omitempty"`
	Percentiles     *Percentiles `json:"percentiles,omitempty"`
	ExcludedFromFit bool         `json:"-"` // whether no line is fitted, for example if the figure is not a cost
}

// Percentiles are the percentiles of a histogram, in the unit of its figure.
type Percentiles struct {
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p99.9"`
	Max  float64 `json:"max"`
	Mean float64 `json:"mean"`
}

// Roles are the subjects of figures: programs, or the run itself. Those of the stand-ins are also values of SCALE_ROLE.
const (
	roleIngress   = "ingress"
	roleDiscovery = "discovery"
	roleCounter   = "counter"
	roleBackends  = "backends"
	roleRun       = "run"
)

// Names of figures that several sweeps have.
const (
	figureCounterCalls = "counter calls for a request"
	figureAttempts     = "attempts for a request"
	figureAddedLatency = "added, no socket (p99)"
)

// addFigure adds a cost, to which a line may be fitted.
func (p *Point) addFigure(role, name, unit string, value float64, samples uint64) {
	p.Figures = append(p.Figures, Figure{Role: role, Name: name, Unit: unit, Value: value, Samples: samples})
}

// addFigureWithoutFit adds a figure to which no line is fitted.
func (p *Point) addFigureWithoutFit(role, name, unit string, value float64) {
	p.Figures = append(p.Figures, Figure{Role: role, Name: name, Unit: unit, Value: value, ExcludedFromFit: true})
}

// excludeFromFit excludes the figures of the given name from fits. Figures that are added later are not affected.
func (p *Point) excludeFromFit(name string) {
	for i := range p.Figures {
		p.Figures[i].ExcludedFromFit = p.Figures[i].ExcludedFromFit || p.Figures[i].Name == name
	}
}

func (p *Point) addNote(format string, args ...any) {
	p.Notes = append(p.Notes, fmt.Sprintf(format, args...))
}

// addHistogram adds a histogram of times in ns, with one of its quantiles (0 to 100) as the value of the figure.
// unitDuration is the length of the named unit. An empty histogram adds no figure.
func (p *Point) addHistogram(role, name, unit string, unitDuration time.Duration, histogram *hdrhistogram.Histogram,
	quantile float64) {
	if histogram.TotalCount() == 0 {
		return
	}
	valueAt := func(quantile float64) float64 {
		return float64(histogram.ValueAtQuantile(quantile)) / float64(unitDuration)
	}
	p.Figures = append(p.Figures, Figure{
		Role:    role,
		Name:    name,
		Unit:    unit,
		Value:   valueAt(quantile),
		Samples: uint64(histogram.TotalCount()),
		Percentiles: &Percentiles{
			P50:  valueAt(50),
			P90:  valueAt(90),
			P99:  valueAt(99),
			P999: valueAt(99.9),
			Max:  float64(histogram.Max()) / float64(unitDuration),
			Mean: histogram.Mean() / float64(unitDuration),
		},
	})
}

func (p *Point) findFigure(role, name string) (Figure, bool) {
	i := slices.IndexFunc(p.Figures, func(figure Figure) bool { return figure.Role == role && figure.Name == name })
	if i < 0 {
		return Figure{}, false
	}
	return p.Figures[i], true
}

// quantileMS returns a quantile (0 to 100) of a histogram of times in ns, in milliseconds.
func quantileMS(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile)) / float64(time.Millisecond)
}

func toKB(bytes float64) float64 { return bytes / (1 << 10) }
func toMB(bytes float64) float64 { return bytes / (1 << 20) }

// Save writes the report to a file. The file is replaced only after the whole report has been written.
func (report *Report) Save(path string) error {
	text, err := json.MarshalIndent(report, "", " ")
	if err != nil {
		return fmt.Errorf("encoding the report: %w", err)
	}
	if err := os.WriteFile(path+".part", append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	if err := os.Rename(path+".part", path); err != nil {
		return fmt.Errorf("writing the report: %w", err)
	}
	return nil
}
