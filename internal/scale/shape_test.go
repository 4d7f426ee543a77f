package scale

import "testing"

func TestIngressesAgreeOnTheTenantsThatTheyShare(t *testing.T) {
	shape := fleetShape{Ingresses: 7, Tenants: 50, Rate: 100}
	ingressesOf := map[string]int{} // by tenant
	tenants := map[string]tenant{}
	for index := range shape.Ingresses {
		for _, tn := range shape.tenantsOf(index) {
			if offset := (index - tn.firstGateway + shape.Ingresses) % shape.Ingresses; offset >= tn.gatewaySpan {
				t.Fatalf("tenant %+v at ingress %d, which is not one of its own", tn, index)
			}
			if other, ok := tenants[tn.id]; ok && other != tn {
				t.Fatalf("tenant %+v is %+v elsewhere", tn, other)
			}
			tenants[tn.id] = tn
			ingressesOf[tn.id]++
		}
	}
	for id, n := range ingressesOf {
		if n != tenants[id].gatewaySpan {
			t.Errorf("tenant %s comes through %d ingresses, want %d", id, n, tenants[id].gatewaySpan)
		}
	}
}

func TestPolicySettingsFollowTheShape(t *testing.T) {
	shape := fleetShape{Ingresses: 7, Tenants: 50, Rate: 100}
	settings, err := shape.policySettings(3)
	if err != nil || settings.GatewayIndex != 3 || settings.GatewayCount != 7 || len(settings.Plans) != len(plans) ||
		!settings.HasSharedCounter || settings.PollEndpoints {
		t.Errorf("settings %+v, %v", settings, err)
	}
	shape.Polled = true
	if settings, err = shape.policySettings(0); err != nil || !settings.PollEndpoints {
		t.Errorf("polled: settings %+v, %v", settings, err)
	}
}
