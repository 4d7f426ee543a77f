package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"lemontack/policy"
)

// ConnectionSettings holds the settings that apply only to a program with real connections.
type ConnectionSettings struct {
	IdleTimeout     time.Duration // time after which a backend closes an idle connection
	ConnectTimeout  time.Duration // time after which establishing a connection has failed
	MaxOpenRequests int           // limit of concurrent requests; further requests are rejected before package policy decides
}

// settingsObject is the JSON form of the settings. Unknown keys are skipped. Times are in microseconds.
type settingsObject struct {
	GatewayIndex int              `json:"me"`
	GatewayCount int              `json:"replicasOfMe"`
	Zone         string           `json:"myZone"`
	RegistryMode string           `json:"registryMode"`
	Classes      []classObject    `json:"classes"`
	Plans        []contractObject `json:"contracts"`

	FamilyInfo struct {
		CostAfter        bool    `json:"costAfter"`
		CounterTimeoutUs float64 `json:"counterTimeoutUs"`
		MaxUnits         float64 `json:"maxUnits"`
		SharedCounter    bool    `json:"sharedCounter"`
	} `json:"familyInfo"`

	Permissions struct {
		ConnIdleUs       float64 `json:"connIdleUs"`
		ConnectTimeoutUs float64 `json:"connectTimeoutUs"`
		MaxOpen          int     `json:"maxOpen"`
		MaxAttempts      int     `json:"maxAttempts"`
		MaxRetryAfterUs  float64 `json:"maxRetryAfterUs"`
		MayCancel        bool    `json:"mayCancel"`
		Probing          bool    `json:"probing"`
		ParallelTries    bool    `json:"parallelTries"`
		RetryAfter       bool    `json:"retryAfter"`
	} `json:"permissions"`

	Prices struct {
		CrossZone float64 `json:"crossZone"`
		Handshake float64 `json:"handshake"`
	} `json:"prices"`

	Invariants struct {
		ColdFrom     float64 `json:"coldFrom"`
		WarmAfterUs  float64 `json:"warmAfterUs"`
		FallMultiple float64 `json:"fallMultiple"`
		FallUs       float64 `json:"fallUs"`
		DrainGraceUs float64 `json:"drainGraceUs"`
	} `json:"invariants"`
}

// classObject is the JSON form of a class of requests.
type classObject struct {
	Name        string  `json:"name"`
	Value       float64 `json:"value"`
	ObjectiveUs float64 `json:"objectiveUs"`
	DeadlineUs  float64 `json:"deadlineUs"`
	LateShare   float64 `json:"lateShare"`
	Effect      string  `json:"effect"`
	Group       string  `json:"group"`
	WindowUs    float64 `json:"windowUs"`
}

// contractObject is the JSON form of a customer's plan.
type contractObject struct {
	Name        string  `json:"name"`
	Price       float64 `json:"price"`
	Refill      float64 `json:"refill"`
	Burst       float64 `json:"burst"`
	Concurrency int     `json:"concurrency"`
	ExcessWorth float64 `json:"excessWorth"`
	ExcessCost  float64 `json:"excessCost"`
	HardRate    float64 `json:"hardRate"`
	CapDepth    float64 `json:"capDepth"`
	Tolerance   float64 `json:"tolerance"`
}

// ParseSettings parses and validates the settings object. Unknown keys are skipped. If the object is well-formed but a value is
// invalid, the error wraps a *RangeError or a *ClassNameError.
func ParseSettings(text []byte) (*policy.Settings, ConnectionSettings, error) {
	var object settingsObject
	if err := json.Unmarshal(text, &object); err != nil {
		return nil, ConnectionSettings{}, fmt.Errorf("settings: %w", err)
	}
	if err := object.validate(); err != nil {
		return nil, ConnectionSettings{}, fmt.Errorf("settings: %w", err)
	}
	return object.settings(), object.connections(), nil
}

func (o *settingsObject) connections() ConnectionSettings {
	return ConnectionSettings{
		IdleTimeout:     microseconds(o.Permissions.ConnIdleUs),
		ConnectTimeout:  microseconds(o.Permissions.ConnectTimeoutUs),
		MaxOpenRequests: o.Permissions.MaxOpen,
	}
}

func (o *settingsObject) settings() *policy.Settings {
	settings := &policy.Settings{
		GatewayIndex:            o.GatewayIndex,
		GatewayCount:            o.GatewayCount,
		Zone:                    o.Zone,
		PollEndpoints:           o.RegistryMode == "subscribe",
		MaxUnits:                o.FamilyInfo.MaxUnits,
		HasSharedCounter:        o.FamilyInfo.SharedCounter,
		CounterTimeout:          microseconds(o.FamilyInfo.CounterTimeoutUs),
		MaxAttempts:             o.Permissions.MaxAttempts,
		MayCancel:               o.Permissions.MayCancel,
		MayCheckHealth:          o.Permissions.Probing,
		HedgingEnabled:          o.Permissions.ParallelTries,
		ConnectionIdleTimeout:   microseconds(o.Permissions.ConnIdleUs),
		CrossZonePrice:          o.Prices.CrossZone,
		HandshakePrice:          o.Prices.Handshake,
		SlowStartMinWeight:      o.Invariants.ColdFrom,
		SlowStartWindow:         microseconds(o.Invariants.WarmAfterUs),
		SlowStartBudgetMultiple: o.Invariants.FallMultiple,
		SlowStartBudgetPeriod:   microseconds(o.Invariants.FallUs),
		DrainGracePeriod:        microseconds(o.Invariants.DrainGraceUs),
	}
	if o.Permissions.RetryAfter {
		settings.MaxRetryAfter = microseconds(o.Permissions.MaxRetryAfterUs)
	}
	for _, class := range o.Classes {
		settings.Classes = append(settings.Classes, class.class())
	}
	for _, contract := range o.Plans {
		settings.Plans = append(settings.Plans, contract.plan(o.FamilyInfo.CostAfter))
	}
	return settings
}

func (class classObject) class() policy.Class {
	return policy.Class{
		Name:                class.Name,
		PriorityWeight:      class.Value,
		LatencyObjective:    microseconds(class.ObjectiveUs),
		Deadline:            microseconds(class.DeadlineUs),
		LateWeight:          class.LateShare,
		Idempotency:         idempotency(class.Effect),
		DeduplicationScope:  deduplicationScope(class.Group),
		DeduplicationWindow: microseconds(class.WindowUs),
	}
}

func (contract contractObject) plan(settledByAnswer bool) policy.Plan {
	return policy.Plan{
		Name:             contract.Name,
		Price:            contract.Price,
		Rate:             contract.Refill,
		Burst:            contract.Burst,
		MaxConcurrency:   contract.Concurrency,
		OverQuotaWeight:  contract.ExcessWorth,
		OverQuotaCost:    contract.ExcessCost,
		CeilingRate:      contract.HardRate,
		CeilingBurst:     contract.CapDepth,
		CeilingTolerance: contract.Tolerance,
		SettledByAnswer:  settledByAnswer,
	}
}

// microseconds converts a number of microseconds to a duration. Fractions of a microsecond are discarded.
func microseconds(v float64) time.Duration { return time.Duration(v) * time.Microsecond }

func idempotency(effect string) policy.Idempotency {
	switch effect {
	case "read_like":
		return policy.Idempotent
	case "idempotency_key":
		return policy.IdempotencyKey
	}
	return policy.NonIdempotent
}

func deduplicationScope(group string) policy.DeduplicationScope {
	switch group {
	case "all":
		return policy.ScopeAll
	case "zone":
		return policy.ScopeZone
	}
	return policy.ScopeCell
}
