package scale

import (
	"errors"
	"math"
	"strings"
	"testing"
)

// validOptions returns options of a small run.
func validOptions() Options {
	return Options{Sweep: []string{"backends"}, Seed: 1, Minutes: 9, Backends: []int{20}, Ingresses: []int{2},
		Tenants: []int{10}, Changes: []float64{1}, Fleet: 6400, Rate: 328, LiveRate: 100, Real: 3}
}

func TestValidateNamesTheOptionThatIsOutOfBounds(t *testing.T) {
	for flag, change := range map[string]func(*Options){
		"backends":  func(o *Options) { o.Backends = []int{0} },
		"ingresses": func(o *Options) { o.Ingresses = nil },
		"fleet":     func(o *Options) { o.Fleet = 0 },
		"changes":   func(o *Options) { o.Changes = []float64{math.NaN()} },
		"rate":      func(o *Options) { o.Rate = math.Inf(1) },
		"live-rate": func(o *Options) { o.LiveRate = 0 },
		"minutes":   func(o *Options) { o.Minutes = 10 },
	} {
		t.Run(flag, func(t *testing.T) {
			o := validOptions()
			change(&o)
			err := o.validate()
			var optionErr *OptionError
			if !errors.As(err, &optionErr) || optionErr.Flag != flag {
				t.Fatalf("error %v, want one of option %s", err, flag)
			}
			if !strings.Contains(err.Error(), "--"+flag) || strings.Contains(err.Error(), "\n") {
				t.Errorf("error %q, want one line with --%s", err, flag)
			}
		})
	}
}

func TestValidateAcceptsOptionsWithinBounds(t *testing.T) {
	if err := validOptions().validate(); err != nil {
		t.Error(err)
	}
}
