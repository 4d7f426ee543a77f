package scale

import (
	"fmt"
	"slices"
)

// Bounds of the options.
const (
	maxSize            = 1 << 21 // of backends and tenants
	maxIngresses       = 1 << 14
	maxChangeRate      = 1000 // changes a second
	maxRequestRate     = 1e5  // requests a second of one ingress
	maxMinutes         = 10
	quickMinutes       = 3
	quickRealIngresses = 2
)

// Names of the sweeps, as options give them.
const (
	backendsSweep  = "backends"
	ingressesSweep = "ingresses"
	tenantsSweep   = "tenants"
	changesSweep   = "changes"
	zoneSweep      = "zone"
	compareSweep   = "compare"
)

// Sweeps returns the names of all sweeps, in the order in which they run.
func Sweeps() []string {
	return []string{backendsSweep, ingressesSweep, tenantsSweep, changesSweep, zoneSweep, compareSweep}
}

// Options are what a run is to measure. The tags are for the command line, where the variable sweeps stands for Sweeps.
type Options struct {
	Sweep     []string  `help:"Sweeps to run, of ${enum}." enum:"${sweeps}" default:"${sweeps}" json:"sweep"`
	Seed      uint64    `help:"Seed of all that is drawn." default:"1" json:"seed"`
	JSON      string    `help:"File for all figures." name:"json" default:"scale.json" json:"json"`
	Minutes   float64   `help:"Bound of the run; what is left then is skipped." default:"9" json:"minutes"`
	Backends  []int     `help:"Numbers of backends." default:"200,1000,5000,20000,60000,200000" json:"backends"`
	Ingresses []int     `help:"Numbers of live ingresses." default:"10,30,100,200,300,500,800" json:"ingresses"`
	Tenants   []int     `help:"Tenants of one ingress." default:"100,300,1000,3000,10000,30000" json:"tenants"`
	Changes   []float64 `help:"Changes a second." default:"1,10,50" json:"changes"`
	Fleet     int       `help:"Ingresses of the fleet where one is measured alone." default:"6400" json:"fleet"`
	Rate      float64   `help:"Requests a second of one ingress." default:"328" json:"rate"`
	LiveRate  float64   `help:"The same where many are live at once." default:"100" json:"live_rate"`
	Real      int       `help:"Real processes to compare with hollow ones." default:"3" json:"real"`
	Binary    string    `help:"A built ingress; else the run builds one." type:"existingfile" optional:"" json:"binary"`
	Quick     bool      `help:"Small sizes and short points, to try the run: about a minute." json:"quick"`
}

// OptionError says that an option is out of its bounds.
type OptionError struct {
	Flag   string // without dashes
	Wanted string // values
}

func (e *OptionError) Error() string { return "--" + e.Flag + ": " + e.Wanted + " are wanted" }

// withQuickSizes returns the options of a quick run.
func (o Options) withQuickSizes() Options {
	o.Backends = []int{200, 1000, 5000}
	o.Ingresses = []int{5, 10, 20}
	o.Tenants = []int{100, 300, 1000}
	o.Changes = []float64{1, 10, 50}
	o.Real = min(o.Real, quickRealIngresses)
	o.Minutes = min(o.Minutes, quickMinutes)
	return o
}

// validate returns an *OptionError for the first option that is out of its bounds.
func (o Options) validate() error {
	for _, s := range []struct {
		flag  string
		sizes []int
		max   int
	}{
		{"backends", o.Backends, maxSize},
		{"ingresses", o.Ingresses, maxIngresses},
		{"tenants", o.Tenants, maxSize},
		{"fleet", []int{o.Fleet}, maxIngresses},
		{"real", []int{o.Real}, maxIngresses},
	} {
		if len(s.sizes) == 0 || slices.Min(s.sizes) < 1 || slices.Max(s.sizes) > s.max {
			return &OptionError{s.flag, fmt.Sprintf("sizes from 1 to %d", s.max)}
		}
	}
	// The conditions are written so that NaN does not meet them.
	if len(o.Changes) == 0 || !(slices.Min(o.Changes) > 0) || !(slices.Max(o.Changes) <= maxChangeRate) {
		return &OptionError{"changes", fmt.Sprintf("over 0 and up to %d a second", maxChangeRate)}
	}
	for _, r := range []struct {
		flag string
		rate float64
	}{{"rate", o.Rate}, {"live-rate", o.LiveRate}} {
		if !(r.rate > 0 && r.rate <= maxRequestRate) {
			return &OptionError{r.flag, fmt.Sprintf("over 0 and up to %.0f a second", maxRequestRate)}
		}
	}
	if !(o.Minutes > 0 && o.Minutes < maxMinutes) {
		return &OptionError{"minutes", fmt.Sprintf("over 0 and under %d", maxMinutes)}
	}
	return nil
}
