package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"
	"time"
)

// This file detects any change of the decisions: several gateways receive seeded random events of every type, and a hash of
// all their actions, in order, is compared with a constant. A refactoring keeps the hashes; a commit that changes them explains
// the change of behaviour. The hashes are valid on amd64, and on other architectures if the compiler fuses no multiplication
// with an addition; README tells the flags for arm64.

// goldenHashes holds the hash of each scenario, over all seeds.
var goldenHashes = map[string]string{
	"leases":                          "723373da3334cb991807f677810bc544ac12eb07d0ca67384c77fddacd21076f",
	"hedging off":                     "9c93cc49bf5673629a6f5fd5e8abaef9fe037bf696f9acdaadaeb09242f9075d",
	"central buckets":                 "deccead10b9798fc7cd94bba9ec3faeccbe1363de97f736bced24a250aa20b5b",
	"central buckets without counter": "62378cff3f8db048beeb322c092306ab29307751467ccd9c66820a970d359223",
	"counter slow and failing":        "c40aaf0cbbdd5d0ffa5fdd7fe5c46c44aecf2ff7809a71db70efed9b6bed7fac",
	"overload":                        "3e7fab31f071a40d7c98be45727ed6cbfc266c2d466af3b77ca687b55543d7fd",
	"slow start":                      "7291a13d6c5de04ed21c3f99b9fb1d61cef46602e3dd6924fb8a5451b3bcd9c2",
	"long list":                       "61542607c782a2bae0e96c7a451099f42f61d035c002f2edb319c1ecc88dc6bb",
	"asked list":                      "df645a2b5c753abb733f846f04e53e42642118d892cd2668edb947ea5a108df3",
}

const (
	goldenSeeds     = 3
	goldenLength    = 20 * time.Second
	goldenGateways  = 4
	goldenEndpoints = 24
)

// goldenScenario is a variant of the settings and the simulated environment.
type goldenScenario struct {
	name                string
	adjustSettings      func(*Settings)
	endpointCount       int
	counterDelay        time.Duration // time from a call to its reply
	counterFaultShare   float64       // share of the calls that do not succeed
	endpointFaultShare  float64       // share of the attempts with a random outcome
	meanChangeInterval  time.Duration // mean time between two endpoint list events of one gateway
	meanRequestInterval time.Duration // mean time between two requests of one gateway
}

func goldenScenarios() []goldenScenario {
	base := goldenScenario{endpointCount: goldenEndpoints, counterDelay: 4 * ms, counterFaultShare: 0.02,
		endpointFaultShare: 0.05, meanChangeInterval: 800 * ms, meanRequestInterval: 9 * ms}
	with := func(name string, change func(*goldenScenario)) goldenScenario {
		scenario := base
		scenario.name, scenario.adjustSettings = name, func(*Settings) {}
		change(&scenario)
		return scenario
	}
	return []goldenScenario{
		with("leases", func(*goldenScenario) {}),
		with("hedging off", func(scenario *goldenScenario) {
			scenario.adjustSettings = func(settings *Settings) { settings.HedgingEnabled, settings.MayCancel = false, false }
		}),
		with("central buckets", func(scenario *goldenScenario) {
			scenario.adjustSettings = func(settings *Settings) { settings.GatewayCount = 60 }
		}),
		with("central buckets without counter", func(scenario *goldenScenario) {
			scenario.adjustSettings = func(settings *Settings) { settings.GatewayCount, settings.HasSharedCounter = 60, false }
		}),
		with("counter slow and failing", func(scenario *goldenScenario) {
			scenario.adjustSettings = func(settings *Settings) { settings.GatewayCount = 60 }
			scenario.counterDelay, scenario.counterFaultShare = 30*ms, 0.4
		}),
		with("overload", func(scenario *goldenScenario) {
			scenario.meanRequestInterval, scenario.endpointFaultShare, scenario.endpointCount = 2*ms, 0.3, 6
		}),
		with("slow start", func(scenario *goldenScenario) {
			scenario.adjustSettings = func(settings *Settings) { settings.HandshakePrice, settings.CrossZonePrice = 0.2, 0.1 }
			scenario.meanChangeInterval = 150 * ms
		}),
		with("long list", func(scenario *goldenScenario) { scenario.endpointCount = 600 }),
		with("asked list", func(scenario *goldenScenario) {
			scenario.adjustSettings = func(settings *Settings) { settings.PollEndpoints, settings.MayCheckHealth = true, true }
			scenario.counterFaultShare, scenario.endpointFaultShare = 0.2, 0.2
		}),
	}
}

func goldenSettings() Settings {
	return Settings{GatewayCount: goldenGateways, Zone: "z0", MaxUnits: 4, MaxAttempts: 3, MaxRetryAfter: 2 * time.Second,
		MayCancel: true, HedgingEnabled: true, HasSharedCounter: true, CounterTimeout: 40 * ms,
		ConnectionIdleTimeout: 5 * time.Second, SlowStartMinWeight: 0.2, SlowStartWindow: 4 * time.Second,
		SlowStartBudgetMultiple: 2, SlowStartBudgetPeriod: time.Second, DrainGracePeriod: time.Second,
		Classes: []Class{
			{Name: "read", PriorityWeight: 1, LatencyObjective: 200 * ms, Deadline: 900 * ms, LateWeight: 0.4,
				Idempotency: Idempotent},
			{Name: "book", PriorityWeight: 4, LatencyObjective: 300 * ms, Deadline: 1200 * ms, LateWeight: 0,
				Idempotency: IdempotencyKey, DeduplicationScope: ScopeZone,
				DeduplicationWindow: 800 * ms},
			{Name: "key", PriorityWeight: 2, LatencyObjective: 250 * ms, Deadline: time.Second, LateWeight: 0.1,
				Idempotency: IdempotencyKey, DeduplicationScope: ScopeAll,
				DeduplicationWindow: 2 * time.Second},
			{Name: "pay", PriorityWeight: 9, LatencyObjective: 400 * ms, Deadline: 1500 * ms, LateWeight: 0.2,
				Idempotency: NonIdempotent}},
		Plans: []Plan{
			{Name: "rate", Price: 1, Rate: 40, Burst: 30, OverQuotaWeight: 0.2, OverQuotaCost: 0.5},
			{Name: "paid", Price: 3, Rate: 25, Burst: 60, OverQuotaWeight: 0.5, OverQuotaCost: 0.1, SettledByAnswer: true},
			{Name: "open", Price: 2, MaxConcurrency: 3, OverQuotaCost: 1.5},
			{Name: "both", Price: 2, Rate: 30, Burst: 40, MaxConcurrency: 2, OverQuotaWeight: 0.1, OverQuotaCost: 0.8},
			{Name: "ceiling", Price: 1, Rate: 20, Burst: 25, OverQuotaWeight: 0.6, OverQuotaCost: 0.2, CeilingRate: 30,
				CeilingBurst: 45, CeilingTolerance: 0.1},
			{Name: "none", Price: 0.5}}}
}

func TestDecisionsAreUnchanged(t *testing.T) {
	for _, scenario := range goldenScenarios() {
		t.Run(scenario.name, func(t *testing.T) {
			actionHash, actionCounts := sha256.New(), map[string]int{}
			for seed := range uint64(goldenSeeds) {
				newGoldenRun(t, scenario, seed, actionHash, actionCounts).simulate()
			}
			t.Log("actions:", actionCounts)
			if got := hex.EncodeToString(actionHash.Sum(nil)); got != goldenHashes[scenario.name] {
				t.Errorf("got hash %s of all actions, want %s", got, goldenHashes[scenario.name])
			}
		})
	}
}

// A customer that a request, a call or a permit still seems to refer to would be kept for good. Whatever the events, all customers
// are forgotten once no more requests arrive, and so are all requests.
func TestNothingIsKeptOnceNoMoreRequestsArrive(t *testing.T) {
	const (
		// A customer asks for about 300 units in goldenLength, and with 60 gateways a gateway's share of a ceiling refills by half a
		// unit a second. So an exceeded ceiling is owed for 10 min at most, the longest of all.
		length = 12 * time.Minute
		seed   = 3
	)
	for _, scenario := range goldenScenarios() {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			run := newGoldenRun(t, scenario, seed, sha256.New(), map[string]int{})
			run.simulate()
			run.hasEnded = true
			for _, g := range run.gateways {
				if g.quota.CustomerCount() == 0 {
					t.Fatal("got no customer while requests arrive, want some")
				}
			}
			run.playUntil(run.now + length)
			for i, g := range run.gateways {
				if customers, requests := g.quota.CustomerCount(), len(g.requestsByID); customers > 0 || requests > 0 {
					t.Errorf("gateway %d: got %d customers and %d requests at the end, want none", i, customers, requests)
				}
			}
		})
	}
}
