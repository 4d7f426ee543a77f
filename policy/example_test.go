package policy_test

import (
	"fmt"
	"time"

	"lemontack/policy"
)

func Example() {
	gateway, err := policy.New(policy.Settings{
		Me: 0, Gateways: 2, MaxAttempts: 3, MaxRetryAfter: time.Second, SecondCopies: true, MayCancel: true,
		Counter: true, CounterTimeout: 50 * time.Millisecond,
		Classes: []policy.Class{{Name: "read", Worth: 1, Aim: 500 * time.Millisecond, Deadline: 2 * time.Second,
			Effect: policy.Safe}},
		Plans: []policy.Plan{{Name: "basic", Price: 1, Rate: 5, Burst: 10, ExcessCost: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour
	gateway.Handle(now, policy.FleetChanged{Whole: true,
		Servers: []policy.Server{{ID: "10.0.0.1:80", State: policy.Running}}}, nil)
	for _, a := range gateway.Handle(now, policy.Arrival{Request: policy.Request{ID: 1, Class: "read", Plan: "basic",
		Customer: "c1", Units: 1, Spread: 2, GiveUpAt: now + 2*time.Second}}, nil) {
		fmt.Printf("%T %+v\n", a, a)
	}
	// Output: policy.Send {ID:1 Server:10.0.0.1:80 StopAt:0s}
}
