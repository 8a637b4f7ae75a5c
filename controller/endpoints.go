package controller

import (
	"fmt"

	"go.uber.org/zap"

	"harehook.dev/harehook/planner"
)

// Endpoint is a node of the endpoint list.
type Endpoint struct {
	Node, Zone, MachineType string
	State                   planner.EndpointState
	Weight                  float64
	StartTime               float64 // s; Unix time by the machines' clocks, 0: long past
}

// ReplaceEndpoints brings the full endpoint list: nodes that it lacks are removed.
func (c *Controller) ReplaceEndpoints(endpoints []Endpoint) {
	c.post(func(l *eventLoop) { l.replaceEndpoints(endpoints) })
}

// UpdateEndpoints brings the endpoints that are new or have changed.
func (c *Controller) UpdateEndpoints(endpoints []Endpoint) {
	c.post(func(l *eventLoop) { l.applyEndpoints(endpoints, l.planner.UpdateEndpoints) })
}

// EndpointWatchFailed says that discovery could not be polled.
func (c *Controller) EndpointWatchFailed() {
	c.post(func(l *eventLoop) { l.planner.EndpointWatchFailed(l.now) })
}

func (l *eventLoop) replaceEndpoints(endpoints []Endpoint) {
	listed := make(map[string]bool, len(endpoints))
	for _, endpoint := range endpoints {
		listed[endpoint.Node] = true
	}
	l.nodes.setOthersRemoved(listed, l.now)
	l.applyEndpoints(endpoints, l.planner.ReplaceEndpoints)
	l.setReady()
}

// applyEndpoints hands endpoints to the planner, by one of its methods.
func (l *eventLoop) applyEndpoints(endpoints []Endpoint, apply func(now float64, endpoints []planner.Endpoint)) {
	apply(l.now, l.numberEndpoints(endpoints))
	l.nodes.releaseRemoved(l.now, l.planner.ReleaseEndpoint)
	if len(l.nodes.nodes) > 0 {
		l.setReady()
	}
}

// numberEndpoints puts endpoints into the planner's numbers, but for those of unknown zones and machine types.
func (l *eventLoop) numberEndpoints(endpoints []Endpoint) []planner.Endpoint {
	wallOffset := l.clock.wallOffset()
	numbered := make([]planner.Endpoint, 0, len(endpoints))
	var assigned []string // the planner's log messages name nodes by number
	for _, endpoint := range endpoints {
		zone, zoneKnown := l.names.zones[endpoint.Zone]
		machineType, machineTypeKnown := l.names.machineTypes[endpoint.MachineType]
		if !zoneKnown || !machineTypeKnown {
			l.unknown.Zones.Add(1)
			l.log.Warn("endpoint of an unknown zone or machine type", zap.String("node", endpoint.Node),
				zap.String("zone", endpoint.Zone), zap.String("type", endpoint.MachineType))
			continue
		}
		number, isNew := l.nodes.numberOrAssign(endpoint.Node)
		if isNew {
			assigned = append(assigned, fmt.Sprintf("%d=%s", number, endpoint.Node))
		}
		updated := l.nodes.update(number, endpoint, l.now, wallOffset)
		numbered = append(numbered, planner.Endpoint{Node: number, MachineType: machineType, Zone: zone,
			Weight: endpoint.Weight, State: endpoint.State, StartTime: updated.localStart})
	}
	if len(assigned) > 0 {
		l.log.Info("nodes numbered", zap.Strings("numbers", assigned))
	}
	return numbered
}

// updateStart takes over the start time of a node's incarnation as listed, when the machines' clocks are wallOffset
// seconds ahead of ours.
//
// Machines' clocks may have been set since our start, so a node's age counts from what they show when its start is
// first listed. Converted anew with each list, the start would move with the clocks, and a node that has long been warm
// would pass for a new incarnation.
func (n *node) updateStart(reported, wallOffset float64) {
	if reported == n.reportedStart {
		return
	}
	n.reportedStart = reported
	n.localStart = max(0, reported-wallOffset)
}
