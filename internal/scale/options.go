package scale

import (
	"fmt"
	"slices"
)

// Limits of the options.
const (
	maxCount           = 1 << 21 // largest number of backends or tenants
	maxIngresses       = 1 << 14
	maxChangeRate      = 1000 // changes per second
	maxRequestRate     = 1e5  // requests per second of one ingress
	maxMinutes         = 10
	quickMinutes       = 3
	quickRealIngresses = 2
)

// Names of the sweeps on the command line.
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

// Options select what a run measures. The tags define the command line; the variable ${sweeps} in them
// stands for the result of SweepNames.
type Options struct {
	Sweeps           []string  `help:"Sweeps to run: ${enum}." name:"sweep" enum:"${sweeps}" default:"${sweeps}" json:"sweep"`
	Seed             uint64    `help:"Seed of the random numbers." default:"1" json:"seed"`
	ReportPath       string    `help:"File for the report." name:"json" default:"scale.json" json:"json"`
	TimeLimitMinutes float64   `help:"Time limit; points without time left are skipped." name:"minutes" default:"9" json:"minutes"`
	BackendCounts    []int     `help:"Numbers of backends." name:"backends" default:"200,1000,5000,20000,60000,200000" json:"backends"`
	IngressCounts    []int     `help:"Numbers of live ingresses." name:"ingresses" default:"10,30,100,200,300,500,800" json:"ingresses"`
	TenantCounts     []int     `help:"Tenants per ingress." name:"tenants" default:"100,300,1000,3000,10000,30000" json:"tenants"`
	ChangeRates      []float64 `help:"Endpoint changes per second." name:"changes" default:"1,10,50" json:"changes"`
	FleetSize        int       `help:"Size of the fleet of an ingress measured alone." name:"fleet" default:"6400" json:"fleet"`
	RequestRate      float64   `help:"Requests per second of one ingress." name:"rate" default:"328" json:"rate"`
	LiveRequestRate  float64   `help:"Requests per second of a live ingress." name:"live-rate" default:"100" json:"live_rate"`
	RealIngresses    int       `help:"Real ingresses to compare with hollow ones." name:"real" default:"3" json:"real"`
	IngressBinary    string    `help:"Built ingress; if not set, the run builds one." name:"binary" type:"existingfile" optional:"" json:"binary"`
	Quick            bool      `help:"Small sizes and short points for a trial run of about a minute." json:"quick"`
}

// OptionError reports an option that is out of range.
type OptionError struct {
	Flag    string // name without dashes
	Allowed string // allowed values in words
}

func (optionErr *OptionError) Error() string {
	return "--" + optionErr.Flag + ": out of range: " + optionErr.Allowed + " are expected"
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

// validate returns an *OptionError for the first option that is out of range.
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
	// The comparisons are written so that NaN is out of range.
	if len(o.ChangeRates) == 0 || !(slices.Min(o.ChangeRates) > 0) || !(slices.Max(o.ChangeRates) <= maxChangeRate) {
		return &OptionError{"changes", fmt.Sprintf("rates above 0 and up to %d a second", maxChangeRate)}
	}
	for _, option := range []struct {
		flag string
		rate float64
	}{{"rate", o.RequestRate}, {"live-rate", o.LiveRequestRate}} {
		if !(option.rate > 0 && option.rate <= maxRequestRate) {
			return &OptionError{option.flag, fmt.Sprintf("rates above 0 and up to %.0f a second", maxRequestRate)}
		}
	}
	if !(o.TimeLimitMinutes > 0 && o.TimeLimitMinutes < maxMinutes) {
		return &OptionError{"minutes", fmt.Sprintf("values above 0 and below %d", maxMinutes)}
	}
	return nil
}
