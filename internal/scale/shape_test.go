package scale

import "testing"

func TestIngressesAgreeOnTheTenantsThatTheyShare(t *testing.T) {
	shape := fleetShape{Ingresses: 7, TenantsPerIngress: 50, RequestRate: 100}
	ingressesOf := map[string]int{} // by tenant
	tenants := map[string]tenant{}
	for index := range shape.Ingresses {
		for _, shared := range shape.tenantsOf(index) {
			if offset := (index - shared.firstGateway + shape.Ingresses) % shape.Ingresses; offset >= shared.gatewaySpan {
				t.Fatalf("got tenant %+v at ingress %d, want it at its own ingresses only", shared, index)
			}
			if other, ok := tenants[shared.id]; ok && other != shared {
				t.Fatalf("got tenant %+v at one ingress and %+v at another, want the same", shared, other)
			}
			tenants[shared.id] = shared
			ingressesOf[shared.id]++
		}
	}
	for id, n := range ingressesOf {
		if n != tenants[id].gatewaySpan {
			t.Errorf("tenant %s: got %d ingresses, want %d", id, n, tenants[id].gatewaySpan)
		}
	}
}

func TestPolicySettingsFollowTheShape(t *testing.T) {
	shape := fleetShape{Ingresses: 7, TenantsPerIngress: 50, RequestRate: 100}
	settings, err := shape.policySettings(3)
	if err != nil || settings.GatewayIndex != 3 || settings.GatewayCount != 7 || len(settings.Plans) != len(plans) ||
		!settings.HasSharedCounter || settings.PollEndpoints {
		t.Errorf("got settings %+v, error %v; want those of ingress 3 of the shape", settings, err)
	}
	shape.PollsEndpoints = true
	if settings, err = shape.policySettings(0); err != nil || !settings.PollEndpoints {
		t.Errorf("got settings %+v, error %v; want polled endpoints", settings, err)
	}
}
