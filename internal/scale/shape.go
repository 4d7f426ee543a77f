package scale

import (
	"fmt"
	"math/rand/v2"
	"time"

	"lemontack/internal/wire"
	"lemontack/policy"
)

const (
	zoneCount = 9 // number of zones, to which backends and ingresses are assigned in turn

	maxRequestUnits = 2   // largest number of units of a request; all numbers from 1 are equally likely
	meanUnits       = 1.5 // mean number of units of a request
	lookupShare     = 0.7 // share of the requests that are lookups; the others are orders

	quotaMargin      = 2.0 // rate of a plan, in multiples of the demand of one of its tenants
	minPlanRate      = 0.1 // units per second
	burstSeconds     = 20  // burst of a plan, in seconds of its rate
	minBurstRequests = 3   // smallest burst without hasSmallBurst, in requests of maxRequestUnits for each ingress
)

// Classes of requests.
const (
	lookupClass    = "lookup"
	lookupDeadline = time.Second
	orderClass     = "order"
	orderDeadline  = 2 * time.Second
)

// Slow start of backends.
const (
	slowStartMinWeight      = 0.2 // speed at the start, as a share of the full speed
	slowStartWindow         = 10 * time.Second
	slowStartBudgetMultiple = 2.0 // limit of the attempts at a cold backend, in multiples of its throughput
	slowStartBudgetPeriod   = time.Second
)

const connectTimeout = 250 * time.Millisecond // time limit for connections to backends

type tenantPlan struct {
	name        string
	share       float64 // share of the tenants
	gatewaySpan int     // ingresses that receive the requests of one tenant; limited by the size of the fleet
	// hasSmallBurst limits the burst to one request of maxRequestUnits at each ingress, which requires a central token bucket.
	hasSmallBurst bool
}

var plans = [...]tenantPlan{
	{name: "solo", share: 0.3, gatewaySpan: 1},
	{name: "team", share: 0.5, gatewaySpan: 4},
	{name: "wide", share: 0.2, gatewaySpan: 32, hasSmallBurst: true},
}

// fleetShape describes a fleet. The settings of hollow and of real ingresses follow from it alone.
type fleetShape struct {
	Ingresses         int
	TenantsPerIngress int     // approximate number
	RequestRate       float64 // requests per second of one ingress, for which the quotas are sized
	PollsEndpoints    bool    // whether ingresses poll the endpoint list; otherwise it is pushed
}

func zoneName(index int) string { return fmt.Sprint("z", index%zoneCount) }

// policySettings returns the settings that the policy of one ingress receives.
func (shape fleetShape) policySettings(index int) (policy.Settings, error) {
	text, err := shape.settingsJSON(index)
	if err != nil {
		return policy.Settings{}, err
	}
	settings, _, err := wire.ParseSettings(text)
	if err != nil {
		return policy.Settings{}, err
	}
	return *settings, nil
}

// planSettings returns the plans, with quotas that cover the demand of their tenants.
func (shape fleetShape) planSettings() []planSettings {
	var list []planSettings
	for i, plan := range plans {
		span := shape.gatewaySpan(plan)
		tenants := shape.tenantsPerFirstGateway(plan) * span // tenants of the plan at one ingress
		demand := shape.RequestRate * plan.share * meanUnits * float64(span) / float64(max(1, tenants))
		rate := max(minPlanRate, quotaMargin*demand)
		burst := max(burstSeconds*rate, minBurstRequests*float64(span)*maxRequestUnits)
		if plan.hasSmallBurst {
			burst = float64(span) * maxRequestUnits
		}
		list = append(list, planSettings{Name: plan.name, Price: float64(i + 1), Refill: rate, Burst: burst})
	}
	return list
}

func (shape fleetShape) gatewaySpan(plan tenantPlan) int {
	return min(plan.gatewaySpan, shape.Ingresses)
}

// tenantsPerFirstGateway returns the number of tenants of a plan that have the same first gateway.
func (shape fleetShape) tenantsPerFirstGateway(plan tenantPlan) int {
	return max(1, int(float64(shape.TenantsPerIngress)*plan.share/float64(shape.gatewaySpan(plan))+0.5))
}

// tenant is a customer with the ingresses that receive its requests: gatewaySpan of them, starting at firstGateway.
type tenant struct {
	id, plan                  string
	gatewaySpan, firstGateway int
}

// tenantsOf returns the tenants of one ingress. Ingresses that share a tenant return the same entry for it.
func (shape fleetShape) tenantsOf(index int) []tenant {
	var list []tenant
	for planIndex, plan := range plans {
		span := shape.gatewaySpan(plan)
		for offset := range span {
			first := (index - offset + shape.Ingresses) % shape.Ingresses
			for number := range shape.tenantsPerFirstGateway(plan) {
				id := fmt.Sprintf("%016x", planIndex<<30|first<<16|number)
				list = append(list, tenant{id, plan.name, span, first})
			}
		}
	}
	return list
}

// drawRequest draws a request of one of the tenants. All tenants send requests at the same rate.
func drawRequest(rng *rand.Rand, tenants []tenant, now time.Duration) policy.Request {
	selected := tenants[rng.IntN(len(tenants))]
	request := policy.Request{
		Class:        orderClass,
		Plan:         selected.plan,
		Customer:     selected.id,
		GatewaySpan:  selected.gatewaySpan,
		FirstGateway: selected.firstGateway,
		Units:        float64(1 + rng.IntN(maxRequestUnits)),
		Deadline:     now + orderDeadline,
	}
	if rng.Float64() < lookupShare {
		request.Class, request.Deadline = lookupClass, now+lookupDeadline
	}
	return request
}
