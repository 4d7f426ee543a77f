package scale

import (
	"errors"
	"strings"
	"testing"
)

func TestCheckResourcesNamesTheLimitThatIsExceeded(t *testing.T) {
	large := Machine{Cores: 8, MemoryBytes: 16 << 30}
	for _, c := range []struct {
		name    string
		change  func(*Options)
		machine Machine
		want    string // expected substring; empty means no error
	}{
		{"within", func(*Options) {}, large, ""},
		{"300 processes", func(o *Options) { o.RealIngresses = 297 }, Machine{MemoryBytes: 1 << 40}, ""},
		{"301 processes", func(o *Options) { o.RealIngresses = 298 }, Machine{MemoryBytes: 1 << 40}, "301 processes"},
		{"backends", func(o *Options) { o.BackendCounts = []int{200, 1 << 21} }, Machine{MemoryBytes: 4 << 30}, "half of the"},
		{"ingresses", func(o *Options) { o.IngressCounts = []int{10, 16000} }, large, "half of the machine's"},
		{"descriptors", func(o *Options) { o.IngressCounts = []int{500} },
			Machine{MemoryBytes: 1 << 40, MaxDescriptors: 1024}, "1024"},
		{"a small machine", func(*Options) {}, Machine{MemoryBytes: 256 << 20}, "half of the machine's memory is 128 MB"},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := validOptions()
			c.change(&o)
			err := checkResources(o, c.machine)
			if c.want == "" {
				if err != nil {
					t.Errorf("got error %v, want none", err)
				}
				return
			}
			var resourceErr *ResourceError
			if !errors.As(err, &resourceErr) || !strings.Contains(err.Error(), c.want) {
				t.Errorf("got error %v, want a ResourceError with %q", err, c.want)
			}
		})
	}
}

func TestResourceMonitorStopsARunOverTheLimit(t *testing.T) {
	monitor, stopped := newResourceMonitor(), make(chan error, 1)
	monitor.run(t.Context(), 1, func(err error) { stopped <- err })
	if err := <-stopped; !errors.Is(err, errMemoryLimit) || !strings.Contains(err.Error(), "half of the machine's memory") {
		t.Errorf("got error %v, want errMemoryLimit", err)
	}
	if monitor.peakMemory == 0 || monitor.peakProcesses != 1 {
		t.Errorf("got a peak of %d bytes and %d processes, want some bytes and 1 process", monitor.peakMemory,
			monitor.peakProcesses)
	}
}
