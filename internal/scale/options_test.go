package scale

import (
	"errors"
	"math"
	"strings"
	"testing"
)

// validOptions returns options of a small run.
func validOptions() Options {
	return Options{Sweeps: []string{"backends"}, Seed: 1, TimeLimitMinutes: 9, BackendCounts: []int{20},
		IngressCounts: []int{2}, TenantCounts: []int{10}, ChangeRates: []float64{1}, FleetSize: 6400, RequestRate: 328,
		LiveRequestRate: 100, RealIngresses: 3}
}

func TestValidateNamesTheOptionThatIsOutOfRange(t *testing.T) {
	for flag, change := range map[string]func(*Options){
		"backends":  func(o *Options) { o.BackendCounts = []int{0} },
		"ingresses": func(o *Options) { o.IngressCounts = nil },
		"fleet":     func(o *Options) { o.FleetSize = 0 },
		"changes":   func(o *Options) { o.ChangeRates = []float64{math.NaN()} },
		"rate":      func(o *Options) { o.RequestRate = math.Inf(1) },
		"live-rate": func(o *Options) { o.LiveRequestRate = 0 },
		"minutes":   func(o *Options) { o.TimeLimitMinutes = 10 },
	} {
		t.Run(flag, func(t *testing.T) {
			o := validOptions()
			change(&o)
			err := o.validate()
			var optionErr *OptionError
			if !errors.As(err, &optionErr) || optionErr.Flag != flag {
				t.Fatalf("got error %v, want an OptionError of option %s", err, flag)
			}
			if !strings.Contains(err.Error(), "--"+flag) || strings.Contains(err.Error(), "\n") {
				t.Errorf("got error %q, want one line with --%s", err, flag)
			}
		})
	}
}

func TestValidateAcceptsOptionsInRange(t *testing.T) {
	if err := validOptions().validate(); err != nil {
		t.Error(err)
	}
}
