package config

import (
	"harehook.dev/harehook/internal/kdl"
	"harehook.dev/harehook/planner"
)

const (
	maxFlowControlValue    = 1e9
	maxFlowControlMessages = 1e6
)

// readFlowControl reads the bounds of what a controller sends to its sidecars.
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

// widenFlowControl lets as many entries be in flight as the admission levels of many routes need: all sidecars may be of
// one subset, and levels that never fit would never be sent. The entries a second grow in proportion, so that what is in
// flight takes as long to be acknowledged.
func widenFlowControl(plannerConfig *planner.Config) {
	entriesPerSidecar := plannerConfig.MessageOverhead + 1 + float64(len(plannerConfig.Routes))
	levels := float64(plannerConfig.Proxies) * entriesPerSidecar
	if factor := inFlightLevelSets * levels / plannerConfig.MaxInFlightEntries; factor > 1 {
		plannerConfig.MaxInFlightEntries *= factor
		plannerConfig.EntriesPerSecond *= factor
	}
}
