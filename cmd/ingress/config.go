package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"strconv"
	"strings"

	"lemontack/internal/discovery"
	"lemontack/internal/ingress"
	"lemontack/internal/wire"
)

// Errors of a configuration file that is rejected before its values are validated.
var (
	errNotObject    = errors.New("not a JSON object")
	errTruncated    = errors.New("unexpected end of JSON input")
	errTrailingData = errors.New("unexpected data after the JSON object")
	errMissingKey   = errors.New("listen, discovery and settings are required")
)

// limits holds the resource limits of the process.
type limits struct {
	Cores     float64 `json:"cores"`     // CPU cores
	MemoryMiB int64   `json:"memory_mb"` // memory in MiB; zero means no limit
	Sockets   int     `json:"sockets"`   // number of open file descriptors
}

// configFile holds the configuration file without its endpoint list (key "known"), which is decoded as a stream since it may
// be too long to be held in memory.
type configFile struct {
	Listen    string
	Discovery string
	Counter   string
	Seed      string // hexadecimal
	Limits    limits
	Settings  json.RawMessage
}

// read decodes the file from its beginning. It calls decodeKnown to decode the endpoint list.
func (f *configFile) read(file io.ReadSeeker, decodeKnown func(*json.Decoder) error) error {
	if _, err := file.Seek(0, io.SeekStart); err != nil {
		return err
	}
	decoder := json.NewDecoder(file)
	err := f.decode(decoder, decodeKnown)
	if err == nil && decoder.More() {
		return errTrailingData
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errTruncated
	}
	return err
}

func (f *configFile) decode(decoder *json.Decoder, decodeKnown func(*json.Decoder) error) error {
	if token, err := decoder.Token(); err != nil || token != json.Delim('{') {
		return cmp.Or(err, errNotObject)
	}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return err
		}
		key, _ := token.(string)
		if err := f.decodeValue(decoder, key, decodeKnown); err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	_, err := decoder.Token()
	return err
}

// decodeValue decodes the value of one key. Keys are compared without regard to case, and values of unknown keys are skipped.
func (f *configFile) decodeValue(decoder *json.Decoder, key string, decodeKnown func(*json.Decoder) error) error {
	switch strings.ToLower(key) {
	case "listen":
		return decoder.Decode(&f.Listen)
	case "discovery":
		return decoder.Decode(&f.Discovery)
	case "counter":
		return decoder.Decode(&f.Counter)
	case "seed":
		return decoder.Decode(&f.Seed)
	case "limits":
		return decoder.Decode(&f.Limits)
	case "settings":
		return decoder.Decode(&f.Settings)
	case "known":
		return decodeKnown(decoder)
	}
	return decoder.Decode(new(json.RawMessage))
}

// loadConfig reads the configuration file and validates all of it, so that the ingress can run with every configuration that it
// returns without an error.
func loadConfig(path string, log *slog.Logger) (ingress.Config, limits, error) {
	cfg, processLimits, err := parseConfig(path, log)
	if err != nil {
		return ingress.Config{}, limits{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	return cfg, processLimits, nil
}

func parseConfig(path string, log *slog.Logger) (cfg ingress.Config, processLimits limits, err error) {
	file, err := os.Open(path)
	if err != nil {
		return cfg, processLimits, err
	}
	defer file.Close()
	var f configFile
	if err := f.read(file, discovery.SkipKnownList); err != nil {
		return cfg, processLimits, err
	}
	if f.Listen == "" || f.Discovery == "" || len(f.Settings) == 0 {
		return cfg, processLimits, errMissingKey
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return cfg, processLimits, fmt.Errorf("seed: %w", err)
	}
	settings, connections, err := wire.ParseSettings(f.Settings)
	if err != nil {
		return cfg, processLimits, err
	}
	cfg = ingress.Config{Listen: f.Listen, Discovery: f.Discovery, Counter: f.Counter, Seed: seed,
		Sockets: f.Limits.Sockets, Memory: int(f.Limits.MemoryMiB << 20), Settings: *settings, Connections: connections}
	// A second pass decodes the endpoint list, since the selection of endpoints depends on the settings, which may follow the
	// list in the file.
	if err := new(configFile).read(file, func(in *json.Decoder) (err error) {
		cfg.KnownList, cfg.Subset, err = discovery.DecodeKnownList(in, *settings, log)
		return err
	}); err != nil {
		return cfg, processLimits, err
	}
	// New validates the rest. A gateway holds no resources until it runs.
	if _, err := ingress.New(cfg, log); err != nil {
		return cfg, processLimits, err
	}
	return cfg, f.Limits, nil
}
