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
	configurationVariable = "GW_CONFIG" // environment variable with the path of the configuration file

	defaultMemoryMB = 192
	defaultSockets  = 1024
	bytesPerMB      = 1e6

	// heapMemoryShare is the fraction of the memory limit above which the garbage collector runs more often. The
	// remainder is reserved for memory outside the heap.
	heapMemoryShare = 0.7
)

// Errors for an incomplete configuration.
var (
	errNoConfiguration    = errors.New(configurationVariable + " is not set: it must be the path of the configuration file")
	errNoListenAddress    = errors.New("listen address is missing: set listen or GW_LISTEN")
	errNoDiscoveryAddress = errors.New("discovery address is missing: set discovery or GW_DISCOVERY")
	errNoRelayAddress     = errors.New("relay address is missing: set store.address")
	errNoSettings         = errors.New("settings are missing: set settings")
	errNoSeed             = errors.New("seed is missing: set seed")
)

// configuration is the content of the configuration file that the platform writes for a controller.
type configuration struct {
	Name      string   `json:"name"`
	Listen    string   `json:"listen"`    // host:port at which collectors connect
	Discovery string   `json:"discovery"` // host:port
	Seed      string   `json:"seed"`      // seed of random numbers, hexadecimal
	Limits    limits   `json:"limits"`
	Relay     struct { // the platform calls the relay the store
		Address string `json:"address"` // host:port
	} `json:"store"`
	Known    json.RawMessage `json:"known"` // last known endpoint list, encoded as in discovery responses; optional
	Settings json.RawMessage `json:"settings"`

	deployment settings.Deployment // decoded from Settings
}

// limits holds the resource limits of the process. 0 selects the default.
type limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // open file descriptors
}

// loadConfiguration reads and validates a configuration file. Environment variables supply a name and addresses that
// the file does not set. The returned error is one of the errors above, or comes from reading the file, from
// encoding/json, from net.SplitHostPort or from settings.Decode.
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
	c.applyEnvironment()
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	c.deployment, err = settings.Decode(c.Settings)
	if err != nil {
		return nil, err
	}
	c.applyDefaults()
	return c, nil
}

// applyEnvironment sets empty fields from the platform's environment variables.
func (c *configuration) applyEnvironment() {
	setIfEmpty(&c.Name, "GW_NAME")
	setIfEmpty(&c.Listen, "GW_LISTEN")
	setIfEmpty(&c.Discovery, "GW_DISCOVERY")
}

func setIfEmpty(value *string, variable string) {
	if *value == "" {
		*value = os.Getenv(variable)
	}
}

// validate returns an error if an address or the settings are missing, or if an address has no port. The syntax of the
// listen address is checked later, by listening.
func (c *configuration) validate() error {
	switch {
	case c.Listen == "":
		return errNoListenAddress
	case c.Discovery == "":
		return errNoDiscoveryAddress
	case c.Relay.Address == "":
		return errNoRelayAddress
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

// applyLimits applies the core and memory limits to the Go runtime.
func (c *configuration) applyLimits() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(c.Limits.Cores))))
	debug.SetMemoryLimit(int64(heapMemoryShare * c.Limits.MemoryMB * bytesPerMB))
}

// parseSeed parses a hexadecimal seed. Any other text is hashed to a seed. An empty text returns errNoSeed.
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
