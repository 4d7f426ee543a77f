package rig

import "lemontack/internal/standin"

// Object is a JSON object.
type Object = map[string]any

// Settings returns the settings of one ingress: those of the example in the users' page of the wire, for a fleet of the given
// size.
func Settings(index, fleet int) Object {
	return Object{
		"callers": Object{"marksRetry": true},
		"classes": []Object{
			{"name": "unit-status", "value": 1.0, "objectiveUs": 250000, "deadlineUs": 1000000, "lateShare": 0.2,
				"effect": "read_like", "group": "all", "windowUs": 5000000, "streaming": false},
			{"name": "book-callout", "value": 2.0, "objectiveUs": 750000, "deadlineUs": 2500000, "lateShare": 0.2,
				"effect": "non_idempotent", "group": "all", "windowUs": 5000000, "streaming": false},
		},
		"contracts": []Object{
			contract("basic", 0.88, 1.8, 8, 0, 1.2), contract("standard", 1.3, 9.4, 52, 0.3, 0),
			contract("full-cover", 1.6, 40, 84, 0, 1.2),
		},
		"family": "gate",
		"familyInfo": Object{"costAfter": true, "counterPrice": 0.005, "counterTimeoutUs": 80000, "maxUnits": 4, "meterUs": 0,
			"peerIntake": 0.0, "sharedCounter": true},
		"flavors": []string{"std-2c"},
		"invariants": Object{"answerSlackUs": 8000, "askWithinUs": 10000000, "coldFrom": 0.21, "drainGraceUs": 1000000,
			"fallMultiple": 4.0, "fallUs": 3000000, "warmAfterUs": 18000000},
		"layers": []string{"unit-service"}, "me": index, "myZone": "pdx-1",
		"objectiveMix": Object{"whole": 0.55, "worstClass": 0.0, "worstTenant": 0.25, "worstWindow": 0.2},
		"periodUs":     2000,
		"permissions": Object{"connIdleUs": 15000000, "connectTimeoutUs": 250000, "cpuUsPerRequest": 0.0, "cpuUsPerS": 663449,
			"maxAttempts": 5, "maxOpen": 26537, "maxRetryAfterUs": 2000000, "maxStreams": 100, "mayCancel": true,
			"mayTell": false, "parallelTries": true, "probing": false, "retryAfter": true},
		"prices": Object{"connection": 0.0, "crossZone": 0.0, "handshake": 0.0, "lateFail": 0.08, "moves": 0.0, "origin": 0.0,
			"peer": 0.0, "probe": 0.0, "registryMode": 0.0, "waste": 0.03},
		"registryMode": "automatic", "replicasOfMe": fleet,
		"report": Object{"columns": []string{"util", "latency_ms", "queue"}, "how": "piggyback"},
		"tier":   0, "weightSource": "rough", "zones": []string{"pdx-1"},
	}
}

func contract(name string, price, refill, burst, excessWorth, excessCost float64) Object {
	return Object{"name": name, "price": price, "refill": refill, "burst": burst, "excessWorth": excessWorth,
		"excessCost": excessCost, "capDepth": 0.0, "concurrency": 0, "hardRate": 0.0, "tolerance": 0.0}
}

// Config returns the configuration file of one ingress.
func Config(name, listen, discovery, counter string, memoryMB, sockets int, known []standin.Target, settings Object) Object {
	return Object{
		"name": name, "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits":   Object{"cores": 1.0, "memory_mb": memoryMB, "sockets": sockets},
		"counter":  counter,
		"known":    Object{"rev": 1, "all": true, "targets": known},
		"settings": settings,
	}
}
