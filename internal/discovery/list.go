package discovery

import (
	"errors"
	"fmt"
	"math"
	"net"
	"time"

	"lemontack/policy"
)

// EndpointList is a snapshot of discovery's endpoint list, or a change with the changed entries only. Its JSON form is that of
// the discovery protocol.
type EndpointList struct {
	Revision   int64   `json:"rev"`
	IsSnapshot bool    `json:"all"` // whether this is the whole list; otherwise it is a change
	Entries    []Entry `json:"targets"`

	// GatewaysPerEndpoint estimates how many gateways share each of the cached endpoints; zero means all gateways.
	GatewaysPerEndpoint float64 `json:"-"`
}

// States of an entry. Any other state means that the endpoint is draining.
const (
	stateServing = "SERVING"
	stateDeleted = "DELETED" // occurs only in changes
)

// Entry is one endpoint of the list.
type Entry struct {
	UID      string  `json:"uid"`
	Address  string  `json:"endpoint"` // host and port
	Zone     string  `json:"az"`
	Model    string  `json:"model"`
	Group    int     `json:"pod_group"`
	State    string  `json:"state"`
	Capacity float64 `json:"capacity_hint"`
	BootMS   int64   `json:"boot_ms"` // Unix time in milliseconds; zero means unknown
}

// Errors of entries that cannot be used.
var (
	errNoUID              = errors.New("entry has no uid")
	errBootTimeOutOfRange = errors.New("boot time out of range")
)

// validate returns an error if the entry cannot be used. The entry of a removed endpoint needs no address.
func (e Entry) validate() error {
	if e.UID == "" {
		return errNoUID
	}
	if _, _, err := net.SplitHostPort(e.Address); err != nil && !e.isRemoved() {
		return fmt.Errorf("entry %s: %w", e.UID, err)
	}
	if e.BootMS < 0 || e.BootMS > math.MaxInt64/int64(time.Millisecond) {
		return fmt.Errorf("entry %s: %w: %d ms", e.UID, errBootTimeOutOfRange, e.BootMS)
	}
	return nil
}

func (e Entry) isRemoved() bool { return e.State == stateDeleted }

// PolicyEndpoint converts the entry to an endpoint of package policy.
func (e Entry) PolicyEndpoint() policy.Endpoint {
	endpoint := policy.Endpoint{
		ID:        policy.EndpointID(e.UID),
		Zone:      e.Zone,
		Kind:      e.Model,
		Cell:      e.Group,
		Capacity:  e.Capacity,
		StartedAt: time.Duration(e.BootMS) * time.Millisecond,
	}
	switch e.State {
	case stateServing:
		endpoint.State = policy.Serving
	case stateDeleted:
		endpoint.State = policy.Removed
	}
	return endpoint
}

// PolicyEvent converts the list to an event of package policy.
func (l EndpointList) PolicyEvent() policy.EndpointsChanged {
	event := policy.EndpointsChanged{
		IsSnapshot:          l.IsSnapshot,
		GatewaysPerEndpoint: l.GatewaysPerEndpoint,
		Endpoints:           make([]policy.Endpoint, len(l.Entries)),
	}
	for i, entry := range l.Entries {
		event.Endpoints[i] = entry.PolicyEndpoint()
	}
	return event
}
