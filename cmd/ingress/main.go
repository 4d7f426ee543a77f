// Command ingress is the ingress: clients on one side, backends on the other, the decision module between.
package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"
	"syscall"

	"lemontack/internal/discovery"
	"lemontack/internal/ingress"
	"lemontack/internal/wire"
)

// levelVariable names the environment variable that sets the least level of the log: debug, info (the default), warn or error.
const levelVariable = "ROUTER_LOG_LEVEL"

// newLog returns the log of the process on standard error.
func newLog(level string) *slog.Logger {
	var least slog.Level
	err := least.UnmarshalText([]byte(cmp.Or(level, "info")))
	if err != nil {
		least = slog.LevelInfo
	}
	log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: least}))
	if err != nil {
		log.Warn("the level of the log is not known; info is used", "variable", levelVariable, "err", err)
	}
	return log
}

func main() {
	log := newLog(os.Getenv(levelVariable))
	if err := run(log); err != nil {
		fmt.Fprintln(os.Stderr, "ingress:", err)
		os.Exit(1)
	}
}

// configFile is the form of the configuration, but for the list of known backends, which may be long: it is read as a stream.
type configFile struct {
	Listen    string
	Discovery string
	Counter   string
	Seed      string
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int64   `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	}
	Settings json.RawMessage
}

// field is where the value of a key goes; nil: it is not known.
func (f *configFile) field(key string) any {
	switch strings.ToLower(key) {
	case "listen":
		return &f.Listen
	case "discovery":
		return &f.Discovery
	case "counter":
		return &f.Counter
	case "seed":
		return &f.Seed
	case "limits":
		return &f.Limits
	case "settings":
		return &f.Settings
	}
	return nil
}

// read reads the file from its beginning; known reads the list of known backends.
func (f *configFile) read(file io.ReadSeeker, known func(*json.Decoder) error) error {
	if _, err := file.Seek(0, io.SeekStart); err != nil {
		return err
	}
	in := json.NewDecoder(file)
	err := f.decode(in, known)
	if err == nil && in.More() {
		return errors.New("something stands behind the configuration")
	}
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.New("unexpected end of JSON input")
	}
	return err
}

func (f *configFile) decode(in *json.Decoder, known func(*json.Decoder) error) error {
	if begin, err := in.Token(); err != nil || begin != json.Delim('{') {
		return cmp.Or(err, errors.New("an object is wanted"))
	}
	for in.More() {
		token, err := in.Token()
		if err != nil {
			return err
		}
		key, _ := token.(string)
		to := f.field(key)
		switch {
		case strings.EqualFold(key, "known"):
			err = known(in)
		case to == nil:
			err = in.Decode(new(json.RawMessage))
		default:
			err = in.Decode(to)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", key, err)
		}
	}
	_, err := in.Token()
	return err
}

// load reads the configuration file and checks it whole.
func load(path string, log *slog.Logger) (ingress.Config, *configFile, error) {
	var f configFile
	fail := func(err error) (ingress.Config, *configFile, error) {
		return ingress.Config{}, nil, fmt.Errorf("configuration %s: %w", path, err)
	}
	file, err := os.Open(path)
	if err != nil {
		return fail(err)
	}
	defer file.Close()
	if err := f.read(file, discovery.SkipKnown); err != nil {
		return fail(err)
	}
	if f.Listen == "" || f.Discovery == "" || len(f.Settings) == 0 {
		return fail(errors.New("listen, discovery and settings are wanted"))
	}
	seed, err := strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return fail(fmt.Errorf("seed: %w", err))
	}
	settings, conns, err := wire.ParseSettings(f.Settings)
	if err != nil {
		return fail(err)
	}
	cfg := ingress.Config{Listen: f.Listen, Discovery: f.Discovery, Counter: f.Counter, Seed: seed,
		Sockets: f.Limits.Sockets, Memory: int(f.Limits.MemoryMB << 20), Settings: *settings, Connections: conns}
	// What is kept of the list depends on the settings, wherever they stand in the file.
	if err := new(configFile).read(file, func(in *json.Decoder) (err error) {
		cfg.Known, cfg.Subset, err = discovery.DecodeKnown(in, *settings, log)
		return err
	}); err != nil {
		return fail(err)
	}
	if _, err := ingress.New(cfg, log); err != nil { // one that is not run holds nothing
		return fail(err)
	}
	return cfg, &f, nil
}

func run(log *slog.Logger) error {
	// From the start on, so that a SIGHUP never meets the default, which ends the process.
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	path := os.Getenv("ROUTER_CONFIG")
	if path == "" {
		return errors.New("ROUTER_CONFIG names no configuration file")
	}
	cfg, f, err := load(path, log)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(f.Limits.Cores)))
	if f.Limits.MemoryMB > 0 {
		debug.SetMemoryLimit(f.Limits.MemoryMB << 20 / 4 * 3)
	}
	gw, err := ingress.New(cfg, log)
	if err != nil {
		return fmt.Errorf("configuration %s: %w", path, err)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ended := make(chan error, 1)
	go func() { ended <- gw.Run(ctx) }()
	for {
		select {
		case err := <-ended:
			return err
		case <-hup: // also during a shutdown, where it must do no harm
			reload(path, gw, log)
		}
	}
}

// reload moves the ingress to the addresses that the file names now; a bad file changes nothing.
func reload(path string, gw *ingress.Gateway, log *slog.Logger) {
	cfg, _, err := load(path, log)
	if err != nil {
		log.Error("the old configuration is kept", "err", err)
		return
	}
	log.Info("new configuration", "discovery", cfg.Discovery, "counter", cfg.Counter)
	gw.Move(cfg.Discovery, cfg.Counter)
}
