package wire

import (
	"encoding/json"
	"fmt"
	"time"

	"lemontack/policy"
)

// facts mirrors the settings object; keys that are not here are skipped.
type facts struct {
	Me           int         `json:"me"`
	Replicas     int         `json:"replicasOfMe"`
	MyZone       string      `json:"myZone"`
	RegistryMode string      `json:"registryMode"`
	Classes      []classFact `json:"classes"`
	Contracts    []planFact  `json:"contracts"`
	FamilyInfo   struct {
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

type classFact struct {
	Name        string  `json:"name"`
	Value       float64 `json:"value"`
	ObjectiveUs float64 `json:"objectiveUs"`
	DeadlineUs  float64 `json:"deadlineUs"`
	LateShare   float64 `json:"lateShare"`
	Effect      string  `json:"effect"`
	Group       string  `json:"group"`
	WindowUs    float64 `json:"windowUs"`
}

type planFact struct {
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

// Connections are the settings that matter only to a program with real connections to servers.
type Connections struct {
	Idle           time.Duration // a server closes a connection that has been idle for so long
	ConnectTimeout time.Duration // one that is not up by then has failed
	MaxOpen        int           // requests open at once; further ones are turned away unseen
}

// mostUs is the longest time that settings may name: decades.
const mostUs = 1e15

// check says what cannot be meant, so that a start ends with it and not later in some odd behaviour.
func (f *facts) check() error {
	type figure struct {
		name string
		v    float64
		most float64
	}
	figures := []figure{{"familyInfo.counterTimeoutUs", f.FamilyInfo.CounterTimeoutUs, mostUs},
		{"familyInfo.maxUnits", f.FamilyInfo.MaxUnits, mostUs}, {"permissions.connIdleUs", f.Permissions.ConnIdleUs, mostUs},
		{"permissions.connectTimeoutUs", f.Permissions.ConnectTimeoutUs, mostUs},
		{"permissions.maxRetryAfterUs", f.Permissions.MaxRetryAfterUs, mostUs},
		{"permissions.maxAttempts", float64(f.Permissions.MaxAttempts), mostUs},
		{"permissions.maxOpen", float64(f.Permissions.MaxOpen), mostUs}, {"invariants.coldFrom", f.Invariants.ColdFrom, 1},
		{"invariants.warmAfterUs", f.Invariants.WarmAfterUs, mostUs}, {"invariants.fallUs", f.Invariants.FallUs, mostUs},
		{"invariants.fallMultiple", f.Invariants.FallMultiple, mostUs},
		{"invariants.drainGraceUs", f.Invariants.DrainGraceUs, mostUs}}
	seen := map[string]bool{}
	for _, c := range f.Classes {
		if c.Name == "" || seen[c.Name] {
			return fmt.Errorf("settings: class %q has no name of its own", c.Name)
		}
		seen[c.Name] = true
		figures = append(figures, figure{c.Name + ".value", c.Value, mostUs}, figure{c.Name + ".lateShare", c.LateShare, 1},
			figure{c.Name + ".objectiveUs", c.ObjectiveUs, mostUs}, figure{c.Name + ".deadlineUs", c.DeadlineUs, mostUs},
			figure{c.Name + ".windowUs", c.WindowUs, mostUs})
	}
	for _, x := range figures {
		if !(x.v >= 0 && x.v <= x.most) {
			return fmt.Errorf("settings: %s is %v, want 0 to %v", x.name, x.v, x.most)
		}
	}
	return nil
}

func us(v float64) time.Duration { return time.Duration(v) * time.Microsecond }

// ParseSettings reads the settings object; keys that it does not know are skipped.
func ParseSettings(text []byte) (*policy.Settings, Connections, error) {
	var f facts
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, Connections{}, fmt.Errorf("settings: %w", err)
	}
	if err := f.check(); err != nil {
		return nil, Connections{}, err
	}
	s := &policy.Settings{Index: f.Me, GatewayCount: f.Replicas, Zone: f.MyZone,
		MaxUnits: f.FamilyInfo.MaxUnits, SharedCounter: f.FamilyInfo.SharedCounter,
		CounterTimeout: us(f.FamilyInfo.CounterTimeoutUs), MaxAttempts: f.Permissions.MaxAttempts,
		MayCancel: f.Permissions.MayCancel, MayCheckHealth: f.Permissions.Probing,
		Hedging: f.Permissions.ParallelTries, PollEndpoints: f.RegistryMode == "subscribe",
		CrossZonePrice: f.Prices.CrossZone, HandshakePrice: f.Prices.Handshake,
		ConnectionIdleTimeout: us(f.Permissions.ConnIdleUs), SlowStartMinWeight: f.Invariants.ColdFrom,
		SlowStartWindow: us(f.Invariants.WarmAfterUs), SlowStartBudgetMultiple: f.Invariants.FallMultiple,
		SlowStartBudgetSpan: us(f.Invariants.FallUs), DrainGracePeriod: us(f.Invariants.DrainGraceUs)}
	if f.Permissions.RetryAfter {
		s.MaxRetryAfter = us(f.Permissions.MaxRetryAfterUs)
	}
	for _, c := range f.Classes {
		s.Classes = append(s.Classes, policy.Class{Name: c.Name, PriorityWeight: c.Value, LatencyObjective: us(c.ObjectiveUs),
			Deadline: us(c.DeadlineUs), LateWeight: c.LateShare, Idempotency: effect(c.Effect), DeduplicationScope: group(c.Group),
			DeduplicationWindow: us(c.WindowUs)})
	}
	for _, c := range f.Contracts {
		s.Plans = append(s.Plans, policy.Plan{Name: c.Name, Price: c.Price, Rate: c.Refill, Burst: c.Burst,
			MaxConcurrency: c.Concurrency, OverQuotaWeight: c.ExcessWorth, OverQuotaCost: c.ExcessCost, CeilingRate: c.HardRate,
			CeilingBurst: c.CapDepth, CeilingTolerance: c.Tolerance, SettledByReply: f.FamilyInfo.CostAfter})
	}
	return s, Connections{Idle: us(f.Permissions.ConnIdleUs),
		ConnectTimeout: us(f.Permissions.ConnectTimeoutUs), MaxOpen: f.Permissions.MaxOpen}, nil
}

func effect(s string) policy.Idempotency {
	switch s {
	case "read_like":
		return policy.Idempotent
	case "idempotency_key":
		return policy.IdempotencyKey
	}
	return policy.NonIdempotent
}

func group(s string) policy.DeduplicationScope {
	switch s {
	case "all":
		return policy.ScopeAll
	case "zone":
		return policy.ScopeZone
	}
	return policy.ScopeCell
}
