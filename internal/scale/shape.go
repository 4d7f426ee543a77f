// Package scale measures what an ingress costs by the size of its fleet: hundreds of hollow ingresses in one process
// (the real decision module, the real discovery and counter code, drawn arrivals and answers), beside a few real ones
// that are compared with them.
package scale

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"lemontack/internal/wire"
	"lemontack/policy"
)

const (
	zones              = 9
	meanUnits          = 1.5 // one or two units each, as likely
	maxRequestUnits    = 2
	quotaMargin        = 2.0 // a plan's rate, in the demand of one of its tenants
	burstDuration      = 20  // of the rate, that a store holds
	lookupFraction     = 0.7 // of the requests; the others are orders
	slowStartMinWeight = 0.2
	slowStartWindow    = 10 * time.Second
	slowStartMultiple  = 2.0
	slowStartSpan      = time.Second
	connectTimeout     = 250 * time.Millisecond
)

// plans are the shares of the tenants, and through how many ingresses one of them comes.
var plans = [...]struct {
	name   string
	share  float64
	spread int
	sparse bool // the burst holds one large request for each ingress
}{{"solo", 0.3, 1, false}, {"team", 0.5, 4, false}, {"wide", 0.2, 32, true}}

// FleetShape is the fleet as one ingress sees it; the settings of hollow and real ingresses follow from it alone.
type FleetShape struct {
	Ingresses int
	Tenants   int     // of one ingress, about
	Rate      float64 // requests a second of one ingress, for which the quotas are sized
	Polled    bool    // the list has to be asked for, else it is pushed
}

func zoneName(i int) string { return fmt.Sprint("z", i%zones) }

type object = map[string]any

// settings is the settings object of one ingress, as a configuration holds it.
func (s FleetShape) settings(me int) ([]byte, error) {
	mode := "automatic"
	if s.Polled {
		mode = "subscribe"
	}
	us := func(d time.Duration) int64 { return d.Microseconds() }
	text, err := json.Marshal(object{"me": me, "replicasOfMe": s.Ingresses, "myZone": zoneName(me), "registryMode": mode,
		"classes": []object{
			{"name": "lookup", "value": 1, "objectiveUs": us(200 * time.Millisecond), "deadlineUs": us(time.Second),
				"lateShare": 0.3, "effect": "read_like"},
			{"name": "order", "value": 3, "objectiveUs": us(400 * time.Millisecond), "deadlineUs": us(2 * time.Second),
				"lateShare": 0.3, "effect": "non_idempotent"}},
		"contracts":  s.planSettings(),
		"familyInfo": object{"counterTimeoutUs": us(100 * time.Millisecond), "maxUnits": maxRequestUnits, "sharedCounter": true},
		"permissions": object{"connIdleUs": us(15 * time.Second), "connectTimeoutUs": us(connectTimeout), "maxOpen": 20000,
			"maxAttempts": 3, "maxRetryAfterUs": us(time.Second), "mayCancel": true, "parallelTries": true,
			"retryAfter": true},
		"prices": object{"crossZone": 0, "handshake": 0.02},
		"invariants": object{"coldFrom": slowStartMinWeight, "warmAfterUs": us(slowStartWindow), "fallMultiple": slowStartMultiple,
			"fallUs": us(slowStartSpan), "drainGraceUs": us(time.Second)}})
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return text, nil
}

func (s FleetShape) policySettings(me int) (policy.Settings, error) {
	text, err := s.settings(me)
	if err != nil {
		return policy.Settings{}, err
	}
	set, _, err := wire.ParseSettings(text)
	if err != nil {
		return policy.Settings{}, err
	}
	return *set, nil
}

// planSettings are the plans with quotas that hold what their tenants ask for.
func (s FleetShape) planSettings() []object {
	var list []object
	for i, p := range plans {
		spread := min(p.spread, s.Ingresses)
		perTenant := s.Rate * p.share * meanUnits * float64(spread) / float64(max(1, s.tenantsPerFirst(i)*spread))
		rate := max(0.1, quotaMargin*perTenant)
		burst := max(burstDuration*rate, 3*float64(spread)*maxRequestUnits)
		if p.sparse {
			burst = float64(spread) * maxRequestUnits
		}
		list = append(list, object{"name": p.name, "price": float64(i + 1), "refill": rate, "burst": burst})
	}
	return list
}

// tenantsPerFirst is how many tenants of a plan have their set begin at the same ingress.
func (s FleetShape) tenantsPerFirst(plan int) int {
	spread := min(plans[plan].spread, s.Ingresses)
	return max(1, int(float64(s.Tenants)*plans[plan].share/float64(spread)+0.5))
}

// tenant is a customer with its set of ingresses.
type tenant struct {
	id, plan                  string
	gatewaySpan, firstGateway int
}

// tenantsOf lists the tenants that come through one ingress; all ingresses agree on who shares whom.
func (s FleetShape) tenantsOf(me int) []tenant {
	var list []tenant
	for i, p := range plans {
		spread := min(p.spread, s.Ingresses)
		for back := range spread {
			first := (me - back + s.Ingresses) % s.Ingresses
			for k := range s.tenantsPerFirst(i) {
				id := fmt.Sprintf("%016x", i<<30|first<<16|k)
				list = append(list, tenant{id, p.name, spread, first})
			}
		}
	}
	return list
}

// drawRequest is a request of one of the tenants; plans have the share of the requests that they have of the tenants.
func drawRequest(rng *rand.Rand, tenants []tenant, now time.Duration) policy.Request {
	t := tenants[rng.IntN(len(tenants))]
	r := policy.Request{Class: "order", Plan: t.plan, Customer: t.id, GatewaySpan: t.gatewaySpan, FirstGateway: t.firstGateway,
		Units: float64(1 + rng.IntN(maxRequestUnits)), Deadline: now + 2*time.Second}
	if rng.Float64() < lookupFraction {
		r.Class, r.Deadline = "lookup", now+time.Second
	}
	return r
}
