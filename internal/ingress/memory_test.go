package ingress

import "testing"

// The state of customers has a share of the memory that is configured, since it would otherwise grow until the process is killed.
func TestStateOfCustomersHasAShareOfTheMemory(t *testing.T) {
	for memory, want := range map[int]int{0: defaultMemory / 4, 32 << 20: 8 << 20} {
		cfg := testConfig("", endpointsAt("127.0.0.1:1"))
		cfg.Memory = memory
		if g := idleGateway(t, cfg); g.cfg.Settings.CustomerMemory != want {
			t.Errorf("memory %d: got %d bytes for customers, want %d", memory, g.cfg.Settings.CustomerMemory, want)
		}
	}
}
