package architecture

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

const modulePrefix = "lemontack/" // prefix of the import paths of this module

// allowedImports maps each package of this module to the packages of this module that it may import outside its tests.
var allowedImports = map[string][]string{
	// Commands.
	"cmd/faultsoak":  {"internal/soak"},
	"cmd/ingress":    {"internal/discovery", "internal/ingress", "internal/wire"},
	"cmd/scalerun":   {"internal/scale"},
	"cmd/simadapter": {"internal/wire"},

	// Decisions. These packages import nothing that does I/O.
	"policy": {"policy/balancer", "policy/latency", "policy/limiter", "policy/model", "policy/queue",
		"policy/quota"},
	"policy/balancer": {"policy/latency", "policy/limiter", "policy/model", "policy/portable"},
	"policy/latency":  {},
	"policy/limiter":  {"policy/latency", "policy/model", "policy/portable"},
	"policy/model":    {},
	"policy/portable": {},
	"policy/queue":    {},
	"policy/quota":    {"policy/model", "policy/portable"},

	// The ingress. Its parts import neither the event loop nor each other.
	"internal/ingress": {"internal/counterclient", "internal/discovery", "internal/listener", "internal/minheap",
		"internal/resp", "internal/stall", "internal/subset", "internal/telemetry", "internal/upstream",
		"internal/wire", "policy"},
	"internal/counterclient": {"internal/mailbox", "internal/sockets", "policy"},
	"internal/discovery":     {"internal/mailbox", "internal/subset", "policy"},
	"internal/listener": {"internal/resp", "internal/sockets", "internal/stall", "internal/telemetry",
		"policy"},
	"internal/upstream": {"internal/resp", "internal/sockets", "policy"},
	"internal/wire":     {"policy"},

	// Small independent packages.
	"internal/loopback":  {},
	"internal/mailbox":   {},
	"internal/minheap":   {},
	"internal/resp":      {},
	"internal/sockets":   {},
	"internal/stall":     {},
	"internal/subset":    {},
	"internal/telemetry": {},

	// Test tools, which are not part of the ingress.
	"internal/architecture": {},
	"internal/faults":       {},
	"internal/scale": {"internal/counterclient", "internal/discovery", "internal/minheap", "internal/resp",
		"internal/standin", "internal/wire", "policy"},
	"internal/soak":           {"internal/faults", "internal/loopback", "internal/standin"},
	"internal/standin":        {"internal/minheap"},
	"internal/subsetcompare":  {"internal/subset"},
	"internal/tools/knownred": {},
	"internal/nettest":        {},
}

// forbiddenInPolicy lists packages of the standard library with which the policy packages could read the clock, draw random
// numbers from a global source or do I/O. The package math/rand/v2 is allowed, since the caller passes in the random source.
var forbiddenInPolicy = []string{"context", "crypto/rand", "io", "log", "log/slog", "math/rand", "net", "net/http", "os",
	"sync", "sync/atomic", "syscall"}

// listImports returns the imports of each package of this module, without the imports of tests.
func listImports(t *testing.T) map[string][]string {
	t.Helper()
	const format = `{{.ImportPath}} {{join .Imports " "}}`
	out, err := exec.CommandContext(t.Context(), "go", "list", "-f", format, modulePrefix+"...").Output()
	if err != nil {
		t.Fatalf("go list: %v", err)
	}
	imports := map[string][]string{}
	for line := range strings.Lines(string(out)) {
		words := strings.Fields(line)
		imports[strings.TrimPrefix(words[0], modulePrefix)] = words[1:]
	}
	return imports
}

func TestPackagesImportOnlyAllowedPackages(t *testing.T) {
	for name, imports := range listImports(t) {
		allowed, isListed := allowedImports[name]
		if !isListed {
			t.Errorf("package %s: got no entry in allowedImports, want one", name)
			continue
		}
		for _, imported := range imports {
			modulePackage, isInModule := strings.CutPrefix(imported, modulePrefix)
			if isInModule && !slices.Contains(allowed, modulePackage) {
				t.Errorf("package %s: got import of %s, want only %v", name, modulePackage, allowed)
			}
		}
	}
}

func TestPolicyPackagesDoNotImportClocksRandomnessOrIO(t *testing.T) {
	for name, imports := range listImports(t) {
		if name != "policy" && !strings.HasPrefix(name, "policy/") {
			continue
		}
		for _, imported := range imports {
			if slices.Contains(forbiddenInPolicy, imported) {
				t.Errorf("package %s: got import of %s, want none of %v", name, imported, forbiddenInPolicy)
			}
		}
	}
}
