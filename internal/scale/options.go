package scale

import (
	"fmt"
	"slices"
)

// Bounds of the options.
const (
	maxCount           = 1 << 21 // of backends and tenants
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

// SweepNames returns the names of all sweeps, in the order in which they run.
func SweepNames() []string {
	return []string{backendsSweep, ingressesSweep, tenantsSweep, changesSweep, zoneSweep, compareSweep}
}

// Options are what a run is to measure. The tags are for the command line, where the variable sweeps stands for SweepNames.
type Options struct {
	Sweeps           []string  `help:"Sweeps to run, of ${enum}." name:"sweep" enum:"${sweeps}" default:"${sweeps}" json:"sweep"`
	Seed             uint64    `help:"Seed of all that is drawn." default:"1" json:"seed"`
	ReportPath       string    `help:"File for all figures." name:"json" default:"scale.json" json:"json"`
	TimeLimitMinutes float64   `help:"Bound of the run; what is left then is skipped." name:"minutes" default:"9" json:"minutes"`
	BackendCounts    []int     `help:"Numbers of backends." name:"backends" default:"200,1000,5000,20000,60000,200000" json:"backends"`
	IngressCounts    []int     `help:"Numbers of live ingresses." name:"ingresses" default:"10,30,100,200,300,500,800" json:"ingresses"`
	TenantCounts     []int     `help:"Tenants of one ingress." name:"tenants" default:"100,300,1000,3000,10000,30000" json:"tenants"`
	ChangeRates      []float64 `help:"Changes a second." name:"changes" default:"1,10,50" json:"changes"`
	FleetSize        int       `help:"Ingresses of the fleet where one is measured alone." name:"fleet" default:"6400" json:"fleet"`
	RequestRate      float64   `help:"Requests a second of one ingress." name:"rate" default:"328" json:"rate"`
	LiveRequestRate  float64   `help:"The same where many are live at once." name:"live-rate" default:"100" json:"live_rate"`
	RealIngresses    int       `help:"Real processes to compare with hollow ones." name:"real" default:"3" json:"real"`
	IngressBinary    string    `help:"A built ingress; else the run builds one." name:"binary" type:"existingfile" optional:"" json:"binary"`
	Quick            bool      `help:"Small sizes and short points, to try the run: about a minute." json:"quick"`
}

// OptionError says that an option is out of its bounds.
type OptionError struct {
	Flag    string // without dashes
	Allowed string // values
}

func (optionErr *OptionError) Error() string {
	return "--" + optionErr.Flag + ": " + optionErr.Allowed + " are wanted"
}

// withQuickSizes returns the options of a quick run.
func (o Options) withQuickSizes() Options {
	o.BackendCounts = []int{200, 1000, 5000}
	o.IngressCounts = []int{5, 10, 20}
	o.TenantCounts = []int{100, 300, 1000}
	o.ChangeRates = []float64{1, 10, 50}
	o.RealIngresses = min(o.RealIngresses, quickRealIngresses)
	o.TimeLimitMinutes = min(o.TimeLimitMinutes, quickMinutes)
	return o
}

// validate returns an *OptionError for the first option that is out of its bounds.
func (o Options) validate() error {
	for _, option := range []struct {
		flag  string
		sizes []int
		max   int
	}{
		{"backends", o.BackendCounts, maxCount},
		{"ingresses", o.IngressCounts, maxIngresses},
		{"tenants", o.TenantCounts, maxCount},
		{"fleet", []int{o.FleetSize}, maxIngresses},
		{"real", []int{o.RealIngresses}, maxIngresses},
	} {
		if len(option.sizes) == 0 || slices.Min(option.sizes) < 1 || slices.Max(option.sizes) > option.max {
			return &OptionError{option.flag, fmt.Sprintf("sizes from 1 to %d", option.max)}
		}
	}
	// The conditions are written so that NaN does not meet them.
	if len(o.ChangeRates) == 0 || !(slices.Min(o.ChangeRates) > 0) || !(slices.Max(o.ChangeRates) <= maxChangeRate) {
		return &OptionError{"changes", fmt.Sprintf("over 0 and up to %d a second", maxChangeRate)}
	}
	for _, option := range []struct {
		flag string
		rate float64
	}{{"rate", o.RequestRate}, {"live-rate", o.LiveRequestRate}} {
		if !(option.rate > 0 && option.rate <= maxRequestRate) {
			return &OptionError{option.flag, fmt.Sprintf("over 0 and up to %.0f a second", maxRequestRate)}
		}
	}
	if !(o.TimeLimitMinutes > 0 && o.TimeLimitMinutes < maxMinutes) {
		return &OptionError{"minutes", fmt.Sprintf("over 0 and under %d", maxMinutes)}
	}
	return nil
}
