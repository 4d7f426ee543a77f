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
	zones        = 9
	meanUnits    = 1.5 // one or two units each, as likely
	maxUnits     = 2
	quotaMargin  = 2.0 // a plan's rate, in the demand of one of its tenants
	burstSeconds = 20  // of the rate, that a store holds
	lookupShare  = 0.7 // of the requests; the others are orders
	coldShare    = 0.2
	warmAfter    = 10 * time.Second
	fallMultiple = 2.0
	fallSpan     = time.Second
	connectLimit = 250 * time.Millisecond
)

// plans are the shares of the tenants, and through how many ingresses one of them comes.
var plans = [...]struct {
	name   string
	share  float64
	spread int
	sparse bool // the burst holds one large request for each ingress
}{{"solo", 0.3, 1, false}, {"team", 0.5, 4, false}, {"wide", 0.2, 32, true}}

// Shape is the fleet as one ingress sees it; the settings of hollow and real ingresses follow from it alone.
type Shape struct {
	Ingresses int
	Tenants   int     // of one ingress, about
	Rate      float64 // requests a second of one ingress, for which the quotas are sized
	Asked     bool    // the list has to be asked for, else it is pushed
}

func zoneName(i int) string { return fmt.Sprint("z", i%zones) }

type object = map[string]any

// settings is the settings object of one ingress, as a configuration holds it.
func (s Shape) settings(me int) ([]byte, error) {
	mode := "automatic"
	if s.Asked {
		mode = "subscribe"
	}
	us := func(d time.Duration) int64 { return d.Microseconds() }
	text, err := json.Marshal(object{"me": me, "replicasOfMe": s.Ingresses, "myZone": zoneName(me), "registryMode": mode,
		"classes": []object{
			{"name": "lookup", "value": 1, "objectiveUs": us(200 * time.Millisecond), "deadlineUs": us(time.Second),
				"lateShare": 0.3, "effect": "read_like"},
			{"name": "order", "value": 3, "objectiveUs": us(400 * time.Millisecond), "deadlineUs": us(2 * time.Second),
				"lateShare": 0.3, "effect": "non_idempotent"}},
		"contracts":  s.contracts(),
		"familyInfo": object{"counterTimeoutUs": us(100 * time.Millisecond), "maxUnits": maxUnits, "sharedCounter": true},
		"permissions": object{"connIdleUs": us(15 * time.Second), "connectTimeoutUs": us(connectLimit), "maxOpen": 20000,
			"maxAttempts": 3, "maxRetryAfterUs": us(time.Second), "mayCancel": true, "parallelTries": true,
			"retryAfter": true},
		"prices": object{"crossZone": 0, "handshake": 0.02},
		"invariants": object{"coldFrom": coldShare, "warmAfterUs": us(warmAfter), "fallMultiple": fallMultiple,
			"fallUs": us(fallSpan), "drainGraceUs": us(time.Second)}})
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	return text, nil
}

func (s Shape) parsed(me int) (policy.Settings, error) {
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

// contracts are the plans with quotas that hold what their tenants ask for.
func (s Shape) contracts() []object {
	var list []object
	for i, p := range plans {
		spread := min(p.spread, s.Ingresses)
		perTenant := s.Rate * p.share * meanUnits * float64(spread) / float64(max(1, s.perFirst(i)*spread))
		rate := max(0.1, quotaMargin*perTenant)
		burst := max(burstSeconds*rate, 3*float64(spread)*maxUnits)
		if p.sparse {
			burst = float64(spread) * maxUnits
		}
		list = append(list, object{"name": p.name, "price": float64(i + 1), "refill": rate, "burst": burst})
	}
	return list
}

// perFirst is how many tenants of a plan have their set begin at the same ingress.
func (s Shape) perFirst(plan int) int {
	spread := min(plans[plan].spread, s.Ingresses)
	return max(1, int(float64(s.Tenants)*plans[plan].share/float64(spread)+0.5))
}

// tenant is a customer with its set of ingresses.
type tenant struct {
	id, plan      string
	spread, first int
}

// tenantsOf lists the tenants that come through one ingress; all ingresses agree on who shares whom.
func (s Shape) tenantsOf(me int) []tenant {
	var list []tenant
	for i, p := range plans {
		spread := min(p.spread, s.Ingresses)
		for back := range spread {
			first := (me - back + s.Ingresses) % s.Ingresses
			for k := range s.perFirst(i) {
				id := fmt.Sprintf("%016x", i<<30|first<<16|k)
				list = append(list, tenant{id, p.name, spread, first})
			}
		}
	}
	return list
}

// draw is a request of one of the tenants; plans have the share of the requests that they have of the tenants.
func draw(rng *rand.Rand, tenants []tenant, now time.Duration) policy.Request {
	t := tenants[rng.IntN(len(tenants))]
	r := policy.Request{Class: "order", Plan: t.plan, Customer: t.id, GatewaySpan: t.spread, FirstGateway: t.first,
		Units: float64(1 + rng.IntN(maxUnits)), Deadline: now + 2*time.Second}
	if rng.Float64() < lookupShare {
		r.Class, r.Deadline = "lookup", now+time.Second
	}
	return r
}
