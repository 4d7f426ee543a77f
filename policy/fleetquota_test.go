package policy

import (
	"fmt"
	"testing"
	"time"
)

// What a fleet sends on beyond the quotas costs at most a twentieth of the worth inside them more than under a policy that
// sees the true state late, whatever going beyond costs; and what it serves inside is no less than the share that is named,
// which is short of the late-seeing policy's where the counter bears only two calls a request.
func TestFleetHoldsQuotasAtEveryCost(t *testing.T) {
	counter := counterCase{callsPerRequest: 2, delay: 2 * ms}
	slow := counterCase{callsPerRequest: 2, delay: 12 * ms, loss: 0.01}
	for _, c := range []struct {
		fleetCase
		served float64 // of what the late-seeing policy serves inside
	}{
		{fleetCase{gateways: 4, cost: 1.2, counter: counter}, 0.9},
		{fleetCase{gateways: 30, cost: 0.5, counter: counter}, 0.9},
		{fleetCase{gateways: 30, cost: 4, counter: slow}, 0.9},
		{fleetCase{gateways: 30, cost: 1.2, limits: limitOpen, counter: counter}, 0.75},
		{fleetCase{gateways: 30, cost: 4, limits: limitBoth, counter: counter}, 0.7},
		{fleetCase{gateways: 150, cost: 1.2, counter: counter, length: 8 * time.Second}, 0.9},
		{fleetCase{gateways: 150, cost: 4, counter: counter, length: 8 * time.Second}, 0.9},
		{fleetCase{gateways: 30, cost: 1.2, counter: counter, restartAt: 7 * time.Second, restarted: 0.7}, 0.9},
		{fleetCase{gateways: 30, cost: 1.2, counter: counterCase{callsPerRequest: 2, delay: 2 * ms, silentFrom: 5 * time.Second,
			silentFor: 4 * time.Second, forgets: true}}, 0.7},
		{fleetCase{gateways: 100, cost: 2, counter: counterCase{absent: true}, length: 8 * time.Second}, 0.4},
		{fleetCase{gateways: 300, cost: 2, limits: limitOpen, counter: counter, length: 8 * time.Second}, 0.75},
	} {
		t.Run(fmt.Sprint(c.gateways, " gateways, cost ", c.cost, ", limits ", c.limits, ", counter ", !c.counter.absent), func(t *testing.T) {
			ours, late := newFleetDay(t, c.fleetCase, 1).play()
			t.Logf("served %.2f (late-seeing %.2f), price %.3f (%.3f), %d calls for %d tries", ours.served(), late.served(),
				ours.price(), late.price(), ours.calls, ours.tries)
			if most := late.price() + 0.05; ours.price() > most {
				t.Errorf("beyond the quotas costs %.3f, the bound is %.3f", ours.price(), most)
			}
			if least := c.served * late.served(); ours.served() < least {
				t.Errorf("served inside %.3f, the bound is %.3f", ours.served(), least)
			}
		})
	}
}
