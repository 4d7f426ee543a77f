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
	reservedSockets = 32 // file descriptors for the counter, discovery, the listener and the runtime

	defaultMemory = 256 << 20 // bytes
	// memoryDivisor divides the memory; the quotient is the limit for each of four uses: commands of open requests, commands
	// being read, answers that clients have not read, and replies being read. Together they use up to half of the memory.
	memoryDivisor = 8
	// customerMemoryDivisor divides the memory; the quotient is the limit for the state of customers.
	customerMemoryDivisor = 4

	defaultConnectTimeout  = 250 * time.Millisecond
	defaultMaxOpenRequests = 20000
	defaultIdleTimeout     = 15 * time.Second
	defaultCounterTimeout  = 100 * time.Millisecond
)

// Errors of an invalid configuration.
var (
	ErrTooFewSockets    = errors.New("sockets are too few")
	ErrNoCounterAddress = errors.New("the settings name a shared counter, but the configuration has no address of it")
)

// Config is the configuration of an ingress.
type Config struct {
	Listen, Discovery, Counter string // host:port addresses
	Seed                       uint64
	Sockets                    int // maximum of open file descriptors
	Memory                     int // memory for buffers, in bytes; zero selects the default
	KnownList                  discovery.EndpointList
	Subset                     *subset.Subset // subset with which KnownList was decoded; nil selects the widest subset
	Settings                   policy.Settings
	Connections                wire.ConnectionSettings
}

// validate returns an error if the configuration is invalid.
func (cfg *Config) validate() error {
	if cfg.Sockets < minSockets {
		return fmt.Errorf("%d %w: %d at least", cfg.Sockets, ErrTooFewSockets, minSockets)
	}
	if cfg.Settings.HasSharedCounter && cfg.Counter == "" {
		return ErrNoCounterAddress
	}
	return cmp.Or(checkAddress("listen", cfg.Listen), checkAddress("discovery", cfg.Discovery),
		checkAddress("counter", cfg.Counter))
}

// checkAddress returns an error if an address is neither empty nor of the form host:port.
func checkAddress(key, address string) error {
	if address == "" {
		return nil
	}
	if _, _, err := net.SplitHostPort(address); err != nil {
		return fmt.Errorf("%s is not an address: %w", key, err)
	}
	return nil
}

// setDefaults replaces values that are not set by their defaults.
func (cfg *Config) setDefaults() {
	if cfg.Connections.ConnectTimeout <= 0 {
		cfg.Connections.ConnectTimeout = defaultConnectTimeout
	}
	if cfg.Connections.MaxOpenRequests <= 0 {
		cfg.Connections.MaxOpenRequests = defaultMaxOpenRequests
	}
	if cfg.Connections.IdleTimeout <= 0 {
		cfg.Connections.IdleTimeout = defaultIdleTimeout
	}
	if cfg.Settings.HasSharedCounter && cfg.Settings.CounterTimeout <= 0 {
		cfg.Settings.CounterTimeout = defaultCounterTimeout
	}
	if cfg.Memory <= 0 {
		cfg.Memory = defaultMemory
	}
	cfg.Settings.CustomerMemory = cfg.Memory / customerMemoryDivisor
}

// memoryShare returns the limit, in bytes, for each of the four uses of memory; see memoryDivisor.
func (cfg *Config) memoryShare() int { return cfg.Memory / memoryDivisor }

// maxUpstreamConnections returns the maximum of open connections to endpoints.
func (cfg *Config) maxUpstreamConnections() int { return cfg.Sockets * 3 / 8 }

// maxClientConnections returns the maximum of client connections: the file descriptors that are not reserved for other uses.
func (cfg *Config) maxClientConnections() int {
	return cfg.Sockets - cfg.maxUpstreamConnections() - reservedSockets
}
