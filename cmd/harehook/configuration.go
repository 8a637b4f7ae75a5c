package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"strconv"

	"harehook.dev/harehook/settings"
)

const (
	configurationVariable = "GW_CONFIG" // the file's path

	defaultMemoryMB = 192
	defaultSockets  = 1024
	bytesPerMB      = 1e6

	// heapMemoryShare is the part of the memory limit at which garbage is collected more often: the rest is not the
	// heap's.
	heapMemoryShare = 0.7
)

// What a configuration lacks.
var (
	errNoConfiguration = errors.New(configurationVariable + " names no configuration")
	errNoListen        = errors.New("no address to listen on")
	errNoDiscovery     = errors.New("no address of discovery")
	errNoRelay         = errors.New("no address of the relay")
	errNoSettings      = errors.New("no settings")
	errNoSeed          = errors.New("no seed")
)

// configuration is what the platform configures at the start of a controller.
type configuration struct {
	Name      string   `json:"name"`
	Listen    string   `json:"listen"`    // host:port, for collectors
	Discovery string   `json:"discovery"` // host:port
	Seed      string   `json:"seed"`      // of random numbers, hexadecimal
	Limits    limits   `json:"limits"`
	Relay     struct { // the platform's word for it is store
		Address string `json:"address"` // of the relay, host:port
	} `json:"store"`
	Known    json.RawMessage `json:"known"` // endpoint list as last known, in discovery's form; may be absent
	Settings json.RawMessage `json:"settings"`

	deployment settings.Deployment // decoded from Settings
}

// limits is what the process may use. 0 stands for a default.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // descriptors
}

// loadConfiguration reads and checks a configuration file. Variables of the platform stand in for what it lacks. The
// errors are those above, of the file, of encoding/json and of settings.Decode.
func loadConfiguration(path string) (*configuration, error) {
	if path == "" {
		return nil, errNoConfiguration
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := &configuration{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c.applyVariables()
	if err := c.check(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c.deployment, err = settings.Decode(c.Settings)
	if err != nil {
		return nil, err
	}
	c.applyDefaults()
	return c, nil
}

func (c *configuration) applyVariables() {
	setIfEmpty(&c.Name, "GW_NAME")
	setIfEmpty(&c.Listen, "GW_LISTEN")
	setIfEmpty(&c.Discovery, "GW_DISCOVERY")
}

func setIfEmpty(value *string, variable string) {
	if *value == "" {
		*value = os.Getenv(variable)
	}
}

// check reports whether all addresses and the settings are there. The address to listen on is checked by listening.
func (c *configuration) check() error {
	switch {
	case c.Listen == "":
		return errNoListen
	case c.Discovery == "":
		return errNoDiscovery
	case c.Relay.Address == "":
		return errNoRelay
	case len(c.Settings) == 0:
		return errNoSettings
	}
	for _, address := range []string{c.Discovery, c.Relay.Address} {
		if _, _, err := net.SplitHostPort(address); err != nil {
			return err
		}
	}
	return nil
}

func (c *configuration) applyDefaults() {
	if c.Limits.MemoryMB <= 0 {
		c.Limits.MemoryMB = defaultMemoryMB
	}
	if c.Limits.Sockets <= 0 {
		c.Limits.Sockets = defaultSockets
	}
}

// applyLimits has the runtime keep to the limits of cores and memory.
func (c *configuration) applyLimits() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	debug.SetMemoryLimit(int64(heapMemoryShare * c.Limits.MemoryMB * bytesPerMB))
}

// parseSeed reads a hexadecimal seed; another text counts by its hash. The error is errNoSeed.
func parseSeed(text string) (uint64, error) {
	if text == "" {
		return 0, errNoSeed
	}
	if seed, err := strconv.ParseUint(text, 16, 64); err == nil {
		return seed, nil
	}
	hash := fnv.New64a()
	hash.Write([]byte(text))
	return hash.Sum64(), nil
}
