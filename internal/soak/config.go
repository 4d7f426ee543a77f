package soak

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"lemontack/internal/standin"
)

// Resource limits in the configuration of each ingress.
const (
	cpuCores       = 1
	memoryMB       = 192
	maxDescriptors = 512
)

// Settings that the checks and the load depend on.
const (
	maxTimeout          = 700 * time.Millisecond // longest timeout that a client may request
	deduplicationWindow = time.Second            // time within which a request with an idempotency key may be repeated
	planCount           = 3                      // plans of customers; their names are p0, p1 and so on
)

// ingressConfig is the configuration file of an ingress.
type ingressConfig struct {
	Name      string             `json:"name"`
	Listen    string             `json:"listen"`
	Discovery string             `json:"discovery"`
	Counter   string             `json:"counter"`
	Seed      string             `json:"seed"`
	Limits    configLimits       `json:"limits"`
	Known     configEndpointList `json:"known"`
	Settings  configSettings     `json:"settings"`
}

type configLimits struct {
	Cores    int `json:"cores"`
	MemoryMB int `json:"memory_mb"`
	Sockets  int `json:"sockets"`
}

// configEndpointList is the list of endpoints that an ingress starts with.
type configEndpointList struct {
	Revision  int64            `json:"rev"`
	Complete  bool             `json:"all"`
	Endpoints []standin.Target `json:"targets"`
}

// configSettings are the settings of the policy package. Times are in microseconds.
type configSettings struct {
	Index        int               `json:"me"`
	GatewayCount int               `json:"replicasOfMe"`
	RegistryMode string            `json:"registryMode"`
	Classes      []configClass     `json:"classes"`
	Plans        []configPlan      `json:"contracts"`
	Counter      configCounter     `json:"familyInfo"`
	Permissions  configPermissions `json:"permissions"`
	Invariants   configInvariants  `json:"invariants"`
}

type configClass struct {
	Name                string  `json:"name"`
	PriorityWeight      float64 `json:"value"`
	LatencyObjective    int64   `json:"objectiveUs"`
	Deadline            int64   `json:"deadlineUs"`
	Idempotency         string  `json:"effect"`
	DeduplicationScope  string  `json:"group"`
	DeduplicationWindow int64   `json:"windowUs"`
	LateWeight          float64 `json:"lateShare"`
}

type configPlan struct {
	Name            string  `json:"name"`
	Price           float64 `json:"price"`
	Refill          int     `json:"refill"`
	Burst           int     `json:"burst"`
	OverQuotaWeight float64 `json:"excessWorth"`
	OverQuotaCost   float64 `json:"excessCost"`
}

type configCounter struct {
	Shared   bool  `json:"sharedCounter"`
	Timeout  int64 `json:"counterTimeoutUs"`
	MaxUnits int   `json:"maxUnits"`
}

type configPermissions struct {
	ConnectionIdleTimeout int64 `json:"connIdleUs"`
	ConnectTimeout        int64 `json:"connectTimeoutUs"`
	MaxAttempts           int   `json:"maxAttempts"`
	MayCancel             bool  `json:"mayCancel"`
	Hedging               bool  `json:"parallelTries"`
	RetryAfter            bool  `json:"retryAfter"`
	MaxRetryAfter         int64 `json:"maxRetryAfterUs"`
}

type configInvariants struct {
	DrainGracePeriod        int64   `json:"drainGraceUs"`
	SlowStartMinWeight      float64 `json:"coldFrom"`
	SlowStartWindow         int64   `json:"warmAfterUs"`
	SlowStartBudgetMultiple int     `json:"fallMultiple"`
	SlowStartBudgetPeriod   int64   `json:"fallUs"`
}

// config returns the configuration of the process for its current address index and list of endpoints.
func (p *ingressProcess) config() ingressConfig {
	discovery, addrIndex := p.cluster.discovery[p.segment], p.reloads%addressCount
	return ingressConfig{
		Name:      fmt.Sprint("n", p.index),
		Listen:    p.listenAddr,
		Discovery: discovery.addrs[addrIndex],
		Counter:   p.cluster.counterAddrs[addrIndex],
		Seed:      fmt.Sprintf("%x", p.options.Seed+uint64(p.index)),
		Limits:    configLimits{Cores: cpuCores, MemoryMB: memoryMB, Sockets: maxDescriptors},
		Known:     configEndpointList{Complete: true, Endpoints: p.cluster.currentEndpoints(p.segment)},
		Settings:  newSettings(p.index, p.options.Processes),
	}
}

func newSettings(index, gatewayCount int) configSettings {
	s := configSettings{
		Index: index, GatewayCount: gatewayCount, RegistryMode: "automatic",
		Counter: configCounter{Shared: true, Timeout: (80 * time.Millisecond).Microseconds(), MaxUnits: 4},
		Permissions: configPermissions{
			ConnectionIdleTimeout: (15 * time.Second).Microseconds(), ConnectTimeout: (250 * time.Millisecond).Microseconds(),
			MaxAttempts: 4, MayCancel: true, Hedging: true,
			RetryAfter: true, MaxRetryAfter: (2 * time.Second).Microseconds(),
		},
		Invariants: configInvariants{
			DrainGracePeriod:   time.Second.Microseconds(),
			SlowStartMinWeight: 0.3, SlowStartWindow: (5 * time.Second).Microseconds(),
			SlowStartBudgetMultiple: 4, SlowStartBudgetPeriod: (3 * time.Second).Microseconds(),
		},
	}
	for _, c := range classes {
		s.Classes = append(s.Classes, configClass{
			Name: c.name, PriorityWeight: 1, LatencyObjective: (maxTimeout / 3).Microseconds(),
			Deadline: maxTimeout.Microseconds(), Idempotency: c.idempotency.configName(),
			DeduplicationScope: "all", DeduplicationWindow: deduplicationWindow.Microseconds(), LateWeight: 0.2,
		})
	}
	for i := range planCount {
		s.Plans = append(s.Plans, configPlan{Name: planName(i), Price: 1 + float64(i),
			Refill: 10 * (i + 1), Burst: 20 * (i + 1), OverQuotaWeight: 0.5, OverQuotaCost: 0.1})
	}
	return s
}

// writeConfig writes the current configuration to the configuration file of the process.
func (p *ingressProcess) writeConfig() error {
	text, err := json.Marshal(p.config())
	if err != nil {
		return fmt.Errorf("encode configuration: %w", err)
	}
	return replaceFile(p.configPath, text)
}

// replaceFile replaces a file atomically: a reader finds either the old content or the new content.
func replaceFile(path string, content []byte) error {
	tempPath := path + ".new"
	if err := os.WriteFile(tempPath, content, 0o600); err != nil {
		return err
	}
	return os.Rename(tempPath, path)
}
