package settings

import (
	"encoding/json"
	"fmt"

	"harehook.dev/harehook/planner"
)

// NanosecondsPerSecond is the ratio of the planner's unit of time to the settings' unit.
const NanosecondsPerSecond = 1e9

// Deployment is what the settings say: the planner's configuration, and the names behind its numbers, each at the
// number's place.
type Deployment struct {
	Planner       planner.Config
	Zones         []string
	MachineTypes  []string
	Routes        []string
	ReportValues  []string // values of a load report
	EventInterval float64  // s; minimum time between two iterations of the controller's event loop
}

// Decode reads the settings' JSON. Keys that it does not know are passed over; a limit that is absent is none. Text that
// is not JSON, or has a value of another type, gives an error of encoding/json; a value by which no controller can work
// gives a *ValueError. Both are wrapped.
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

// Seconds turns the settings' nanoseconds into the planner's seconds.
func Seconds[N uint64 | float64](nanoseconds N) float64 {
	return float64(nanoseconds) / NanosecondsPerSecond
}
