package ingress

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"time"

	"lemontack/internal/discovery"
	"lemontack/internal/subset"
	"lemontack/internal/wire"
	"lemontack/policy"
)

const (
	minSockets      = 128
	reservedSockets = 32 // descriptors for the counter, discovery, the listener and the runtime

	defaultMemory = 256 << 20 // bytes
	memoryDivisor = 8         // one part of the memory each for open commands, commands coming in, unread answers, replies coming in

	defaultConnectTimeout  = 250 * time.Millisecond
	defaultMaxOpenRequests = 20000
	defaultIdleTimeout     = 15 * time.Second
	defaultCounterTimeout  = 100 * time.Millisecond
)

// Errors of a configuration that cannot work.
var (
	ErrTooFewSockets    = errors.New("sockets are too few")
	ErrNoCounterAddress = errors.New("the settings name a shared counter, the configuration has no address of it")
)

// Config is the configuration of an ingress.
type Config struct {
	Listen, Discovery, Counter string // addresses
	Seed                       uint64
	Sockets                    int // descriptors that it may hold
	Memory                     int // bytes that it may use; 0: a default
	KnownEndpoints             discovery.EndpointList
	Subset                     *subset.Subset // that KnownEndpoints was decoded with; nil: the widest
	Settings                   policy.Settings
	Connections                wire.Connections
}

// validate reports why the configuration cannot work.
func (cfg *Config) validate() error {
	if cfg.Sockets < minSockets {
		return fmt.Errorf("%d %w: %d at least", cfg.Sockets, ErrTooFewSockets, minSockets)
	}
	if cfg.Settings.SharedCounter && cfg.Counter == "" {
		return ErrNoCounterAddress
	}
	return cmp.Or(checkAddress("listen", cfg.Listen), checkAddress("discovery", cfg.Discovery),
		checkAddress("counter", cfg.Counter))
}

// checkAddress reports why an address that is given cannot be one.
func checkAddress(key, address string) error {
	if address == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("%s is not an address: %w", key, err)
	}
	return nil
}

// setDefaults fills in what the configuration leaves open.
func (cfg *Config) setDefaults() {
	if cfg.Connections.ConnectTimeout <= 0 {
		cfg.Connections.ConnectTimeout = defaultConnectTimeout
	}
	if cfg.Connections.MaxOpen <= 0 {
		cfg.Connections.MaxOpen = defaultMaxOpenRequests
	}
	if cfg.Connections.Idle <= 0 {
		cfg.Connections.Idle = defaultIdleTimeout
	}
	if cfg.Settings.SharedCounter && cfg.Settings.CounterTimeout <= 0 {
		cfg.Settings.CounterTimeout = defaultCounterTimeout
	}
	if cfg.Memory <= 0 {
		cfg.Memory = defaultMemory
	}
}

// memoryShare is the memory, in bytes, for one of the uses that share it.
func (cfg *Config) memoryShare() int { return cfg.Memory / memoryDivisor }

// maxUpstreamConnections is the share of the descriptors that may be connections to endpoints.
func (cfg *Config) maxUpstreamConnections() int { return cfg.Sockets * 3 / 8 }

// maxClientConnections is what is left of the descriptors.
func (cfg *Config) maxClientConnections() int {
	return cfg.Sockets - cfg.maxUpstreamConnections() - reservedSockets
}
