package config

import (
	"harehook.dev/harehook/internal/kdl"
	"harehook.dev/harehook/planner"
)

const (
	maxFlowControlValue    = 1e9
	maxFlowControlMessages = 1e6
)

// readFlowControl reads the limits on the entries and messages that a controller sends to its sidecars.
func (r *reader) readFlowControl(n *kdl.Node, c *Controller) {
	plannerConfig := &c.Deployment.Planner
	c.flowControlStated = n.Properties["queue"].Line > 0 || n.Properties["lines-per-s"].Line > 0
	r.checkShape(n, 0, "lines-per-s", "queue", "head", "messages", "over-s")
	for _, property := range []struct {
		name  string
		value *float64
	}{
		{"lines-per-s", &plannerConfig.EntriesPerSecond},
		{"queue", &plannerConfig.MaxInFlightEntries},
		{"head", &plannerConfig.MessageOverhead},
		{"over-s", &plannerConfig.MessageWindow},
	} {
		if v, present := n.Properties[property.name]; present {
			*property.value = r.numberValue(n, v, 0, maxFlowControlValue)
		}
	}
	if v, present := n.Properties["messages"]; present {
		plannerConfig.MaxMessages = int(r.numberValue(n, v, 0, maxFlowControlMessages))
	}
}

// widenFlowControl raises the limit on entries in flight to the number that the admission levels of all routes need.
// All sidecars can be in one subset, and levels that exceed the limit would never be sent. The entries a second grow in
// proportion, so that the entries in flight take the same time to be acknowledged.
func widenFlowControl(plannerConfig *planner.Config) {
	entriesPerSidecar := plannerConfig.MessageOverhead + 1 + float64(len(plannerConfig.Routes))
	levels := float64(plannerConfig.Proxies) * entriesPerSidecar
	if factor := inFlightLevelSets * levels / plannerConfig.MaxInFlightEntries; factor > 1 {
		plannerConfig.MaxInFlightEntries *= factor
		plannerConfig.EntriesPerSecond *= factor
	}
}
