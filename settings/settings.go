package settings

import (
	"encoding/json"
	"fmt"

	"harehook.dev/harehook/planner"
)

// NanosecondsPerSecond is the ratio of the planner's unit of time (seconds) to that of the settings (nanoseconds).
const NanosecondsPerSecond = 1e9

// Deployment holds the decoded settings: the planner's configuration, and the names for the planner's numbers. The
// index of a name is its number.
type Deployment struct {
	Planner       planner.Config
	Zones         []string
	MachineTypes  []string
	Routes        []string
	ReportValues  []string // names of a load report's values
	EventInterval float64  // s; minimum time between two iterations of the controller's event loop
}

// Decode decodes the settings from JSON. It ignores unknown keys; an absent limit means no limit. It returns a wrapped
// error of encoding/json if text is not valid JSON or a value has the wrong type, and a wrapped *ValueError if no
// controller can work with a value.
func Decode(text []byte) (Deployment, error) {
	raw := newRawSettings()
	if err := json.Unmarshal(text, &raw); err != nil {
		return Deployment{}, fmt.Errorf("settings: %w", err)
	}
	if err := raw.validate(); err != nil {
		return Deployment{}, fmt.Errorf("settings: %w", err)
	}
	return raw.deployment(), nil
}

// Seconds converts the settings' nanoseconds to the planner's seconds.
func Seconds[N uint64 | float64](nanoseconds N) float64 {
	return float64(nanoseconds) / NanosecondsPerSecond
}
