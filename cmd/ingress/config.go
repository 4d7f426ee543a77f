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

// Reasons for which a configuration file is rejected before its values are looked at.
var (
	errNotObject    = errors.New("the configuration is not a JSON object")
	errTruncated    = errors.New("unexpected end of JSON input")
	errTrailingData = errors.New("unexpected data after the configuration")
	errMissingKey   = errors.New("listen, discovery and settings are required")
)

// limits are the resources that the configuration grants the process.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int64   `json:"memory_mb"` // in MiB; 0: not limited
	Sockets  int     `json:"sockets"`   // open file descriptors
}

// configFile is the configuration file without its list of known endpoints ("known"), which may be too long to be held in
// memory and is therefore decoded as a stream.
type configFile struct {
	Listen    string
	Discovery string
	Counter   string
	Seed      string // hexadecimal
	Limits    limits
	Settings  json.RawMessage
}

// read decodes the file from its beginning. decodeKnown decodes the list of known endpoints.
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
	if start, err := decoder.Token(); err != nil || start != json.Delim('{') {
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

// decodeValue decodes the value of one key, whose case does not matter; the values of unknown keys are skipped.
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

// loadConfig reads the configuration file and validates all of it, so that a file it returns without an error can be run.
func loadConfig(path string, log *slog.Logger) (ingress.Config, limits, error) {
	cfg, granted, err := parseConfig(path, log)
	if err != nil {
		return ingress.Config{}, limits{}, fmt.Errorf("configuration %s: %w", path, err)
	}
	return cfg, granted, nil
}

func parseConfig(path string, log *slog.Logger) (cfg ingress.Config, granted limits, err error) {
	file, err := os.Open(path)
	if err != nil {
		return cfg, granted, err
	}
	defer file.Close()
	var f configFile
	if err := f.read(file, discovery.SkipKnownList); err != nil {
		return cfg, granted, err
	}
	if f.Listen == "" || f.Discovery == "" || len(f.Settings) == 0 {
		return cfg, granted, errMissingKey
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return cfg, granted, fmt.Errorf("seed: %w", err)
	}
	settings, conns, err := wire.ParseSettings(f.Settings)
	if err != nil {
		return cfg, granted, err
	}
	cfg = ingress.Config{Listen: f.Listen, Discovery: f.Discovery, Counter: f.Counter, Seed: seed,
		Sockets: f.Limits.Sockets, Memory: int(f.Limits.MemoryMB << 20), Settings: *settings, Connections: conns}
	// Which known endpoints are kept depends on the settings, and these may stand behind the list: hence the second pass.
	if err := new(configFile).read(file, func(in *json.Decoder) (err error) {
		cfg.KnownEndpoints, cfg.Subset, err = discovery.DecodeKnownList(in, *settings, log)
		return err
	}); err != nil {
		return cfg, granted, err
	}
	// New validates the rest. A gateway that is never run holds no resources.
	if _, err := ingress.New(cfg, log); err != nil {
		return cfg, granted, err
	}
	return cfg, f.Limits, nil
}
