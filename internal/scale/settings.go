package scale

import (
	"encoding/json"
	"fmt"
	"time"
)

// microseconds is a duration in the unit of the settings object.
type microseconds int64

func toMicroseconds(d time.Duration) microseconds { return microseconds(d.Microseconds()) }

// ingressSettings is the part of the settings object that the scale run sets; wire.ParseSettings reads it.
type ingressSettings struct {
	Index        int                `json:"me"`
	GatewayCount int                `json:"replicasOfMe"`
	Zone         string             `json:"myZone"`
	RegistryMode string             `json:"registryMode"`
	Classes      []classSettings    `json:"classes"`
	Plans        []planSettings     `json:"contracts"`
	Family       familySettings     `json:"familyInfo"`
	Permissions  permissionSettings `json:"permissions"`
	Prices       priceSettings      `json:"prices"`
	Invariants   invariantSettings  `json:"invariants"`
}

type classSettings struct {
	Name             string       `json:"name"`
	PriorityWeight   float64      `json:"value"`
	LatencyObjective microseconds `json:"objectiveUs"`
	Deadline         microseconds `json:"deadlineUs"`
	LateWeight       float64      `json:"lateShare"`
	Idempotency      string       `json:"effect"`
}

type planSettings struct {
	Name   string  `json:"name"`
	Price  float64 `json:"price"`
	Refill float64 `json:"refill"` // units per second
	Burst  float64 `json:"burst"`  // units
}

type familySettings struct {
	CounterTimeout microseconds `json:"counterTimeoutUs"`
	MaxUnits       int          `json:"maxUnits"`
	SharedCounter  bool         `json:"sharedCounter"`
}

type permissionSettings struct {
	ConnectionIdleTimeout microseconds `json:"connIdleUs"`
	ConnectTimeout        microseconds `json:"connectTimeoutUs"`
	MaxOpen               int          `json:"maxOpen"` // concurrent requests
	MaxAttempts           int          `json:"maxAttempts"`
	MaxRetryAfter         microseconds `json:"maxRetryAfterUs"`
	MayCancel             bool         `json:"mayCancel"`
	Hedging               bool         `json:"parallelTries"`
	RetryAfter            bool         `json:"retryAfter"`
}

type priceSettings struct {
	CrossZone float64 `json:"crossZone"`
	Handshake float64 `json:"handshake"`
}

type invariantSettings struct {
	SlowStartMinWeight      float64      `json:"coldFrom"`
	SlowStartWindow         microseconds `json:"warmAfterUs"`
	SlowStartBudgetMultiple float64      `json:"fallMultiple"`
	SlowStartBudgetPeriod   microseconds `json:"fallUs"`
	DrainGracePeriod        microseconds `json:"drainGraceUs"`
}

// settingsJSON returns the settings object of one ingress.
func (shape fleetShape) settingsJSON(index int) ([]byte, error) {
	registryMode := "automatic"
	if shape.PollsEndpoints {
		registryMode = "subscribe"
	}
	text, err := json.Marshal(ingressSettings{
		Index:        index,
		GatewayCount: shape.Ingresses,
		Zone:         zoneName(index),
		RegistryMode: registryMode,
		Classes: []classSettings{
			{
				Name:             lookupClass,
				PriorityWeight:   1,
				LatencyObjective: toMicroseconds(200 * time.Millisecond),
				Deadline:         toMicroseconds(lookupDeadline),
				LateWeight:       0.3,
				Idempotency:      "read_like",
			}, {
				Name:             orderClass,
				PriorityWeight:   3,
				LatencyObjective: toMicroseconds(400 * time.Millisecond),
				Deadline:         toMicroseconds(orderDeadline),
				LateWeight:       0.3,
				Idempotency:      "non_idempotent",
			},
		},
		Plans: shape.planSettings(),
		Family: familySettings{
			CounterTimeout: toMicroseconds(100 * time.Millisecond),
			MaxUnits:       maxRequestUnits,
			SharedCounter:  true,
		},
		Permissions: permissionSettings{
			ConnectionIdleTimeout: toMicroseconds(15 * time.Second),
			ConnectTimeout:        toMicroseconds(connectTimeout),
			MaxOpen:               20_000,
			MaxAttempts:           3,
			MaxRetryAfter:         toMicroseconds(time.Second),
			MayCancel:             true,
			Hedging:               true,
			RetryAfter:            true,
		},
		Prices: priceSettings{CrossZone: 0, Handshake: 0.02},
		Invariants: invariantSettings{
			SlowStartMinWeight:      slowStartMinWeight,
			SlowStartWindow:         toMicroseconds(slowStartWindow),
			SlowStartBudgetMultiple: slowStartBudgetMultiple,
			SlowStartBudgetPeriod:   toMicroseconds(slowStartBudgetPeriod),
			DrainGracePeriod:        toMicroseconds(time.Second),
		},
	})
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return text, nil
}
