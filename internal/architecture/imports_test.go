package architecture

import (
	"os/exec"
	"slices"
	"strings"
	"testing"
)

const module = "lemontack/"

// allowedImports are the packages of this module that each package may import, other than in its tests.
var allowedImports = map[string][]string{
	// Programs.
	"cmd/faultsoak":  {"internal/soak"},
	"cmd/ingress":    {"internal/discovery", "internal/ingress", "internal/wire"},
	"cmd/scalerun":   {"internal/scale"},
	"cmd/simadapter": {"internal/wire"},

	// Decisions: no package here imports anything that does I/O.
	"policy": {"policy/balancer", "policy/latency", "policy/limiter", "policy/model", "policy/queue",
		"policy/quota"},
	"policy/balancer": {"policy/latency", "policy/limiter", "policy/model"},
	"policy/latency":  {},
	"policy/limiter":  {"policy/latency", "policy/model"},
	"policy/model":    {},
	"policy/queue":    {},
	"policy/quota":    {"policy/model"},

	// The ingress: its parts know nothing of the event loop, nor of each other.
	"internal/ingress": {"internal/counterclient", "internal/discovery", "internal/listener", "internal/minheap",
		"internal/resp", "internal/stall", "internal/subset", "internal/telemetry", "internal/upstream",
		"internal/wire", "policy"},
	"internal/counterclient": {"internal/mailbox", "policy"},
	"internal/discovery":     {"internal/mailbox", "internal/subset", "policy"},
	"internal/listener": {"internal/resp", "internal/sockets", "internal/stall", "internal/telemetry",
		"policy"},
	"internal/upstream": {"internal/resp", "internal/sockets", "policy"},
	"internal/wire":     {"policy"},

	// Small parts that stand alone.
	"internal/loopback":  {},
	"internal/mailbox":   {},
	"internal/minheap":   {},
	"internal/resp":      {},
	"internal/sockets":   {},
	"internal/stall":     {},
	"internal/subset":    {},
	"internal/telemetry": {},

	// Test tools: none of them is part of the ingress.
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

// forbiddenInPolicy are packages of the standard library that would give the decisions a clock, chance or I/O of their own;
// math/rand/v2 is allowed, since the source comes from outside.
var forbiddenInPolicy = []string{"context", "crypto/rand", "io", "log", "log/slog", "math/rand", "net", "net/http", "os",
	"sync", "sync/atomic", "syscall"}

// listImports returns the imports of each package of the module, without those of tests.
func listImports(t *testing.T) map[string][]string {
	t.Helper()
	const format = `{{.ImportPath}} {{join .Imports " "}}`
	out, err := exec.CommandContext(t.Context(), "go", "list", "-f", format, module+"...").Output()
	if err != nil {
		t.Fatalf("go list: %v", err)
	}
	imports := map[string][]string{}
	for line := range strings.Lines(string(out)) {
		words := strings.Fields(line)
		imports[strings.TrimPrefix(words[0], module)] = words[1:]
	}
	return imports
}

func TestPackagesImportOnlyWhatTheArchitectureAllows(t *testing.T) {
	for name, imports := range listImports(t) {
		allowed, listed := allowedImports[name]
		if !listed {
			t.Errorf("package %s is not in the table", name)
			continue
		}
		for _, imported := range imports {
			own, isOwn := strings.CutPrefix(imported, module)
			if isOwn && !slices.Contains(allowed, own) {
				t.Errorf("package %s imports %s", name, own)
			}
		}
	}
}

func TestDecisionsHaveNoClockChanceOrInputOfTheirOwn(t *testing.T) {
	for name, imports := range listImports(t) {
		if name != "policy" && !strings.HasPrefix(name, "policy/") {
			continue
		}
		for _, imported := range imports {
			if slices.Contains(forbiddenInPolicy, imported) {
				t.Errorf("package %s imports %s", name, imported)
			}
		}
	}
}
