package policy_test

import (
	"fmt"
	"time"

	"lemontack/policy"
)

func Example() {
	gateway, err := policy.New(policy.Settings{
		GatewayIndex: 0, GatewayCount: 2, MaxAttempts: 3, MaxRetryAfter: time.Second, HedgingEnabled: true, MayCancel: true,
		HasSharedCounter: true, CounterTimeout: 50 * time.Millisecond,
		Classes: []policy.Class{{Name: "read", PriorityWeight: 1, LatencyObjective: 500 * time.Millisecond, Deadline: 2 * time.Second,
			Idempotency: policy.Idempotent}},
		Plans: []policy.Plan{{Name: "basic", Price: 1, Rate: 5, Burst: 10, OverQuotaCost: 1}},
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := time.Hour
	gateway.Handle(now, policy.EndpointsChanged{IsSnapshot: true,
		Endpoints: []policy.Endpoint{{ID: "10.0.0.1:80", State: policy.Serving}}}, nil)
	for _, a := range gateway.Handle(now, policy.Arrival{Request: policy.Request{ID: 1, Class: "read", Plan: "basic",
		Customer: "c1", Units: 1, GatewaySpan: 2, Deadline: now + 2*time.Second}}, nil) {
		fmt.Printf("%T %+v\n", a, a)
	}
	// Output: policy.Send {ID:1 Endpoint:10.0.0.1:80 AttemptDeadline:0s}
}
