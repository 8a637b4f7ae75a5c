package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
)

var (
	errNoZone  = errors.New("settings.zones must contain at least 1 zone, got 0")
	errNoRoute = errors.New("settings.categories must contain at least 1 route, got 0")
)

// config holds the part of the controller's configuration that the toy needs.
type config struct {
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Store     struct {
		Address string `json:"address"` // of the relay
	} `json:"store"`
	Settings struct {
		Zones  []string `json:"zones"`
		Routes []struct {
			Name string `json:"name"`
		} `json:"categories"`
	} `json:"settings"`
}

// readConfig reads the controller's configuration from a file.
func readConfig(path string) (*config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c := &config{}
	if err := json.Unmarshal(text, c); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(c.Settings.Zones) == 0 {
		return nil, fmt.Errorf("%s: %w", path, errNoZone)
	}
	if len(c.Settings.Routes) == 0 {
		return nil, fmt.Errorf("%s: %w", path, errNoRoute)
	}
	return c, nil
}
