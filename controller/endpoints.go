package controller

import (
	"fmt"

	"go.uber.org/zap"

	"harehook.dev/harehook/planner"
)

// Endpoint is a node in the endpoint list.
type Endpoint struct {
	Node, Zone, MachineType string
	State                   planner.EndpointState
	Weight                  float64 // capacity relative to other nodes; 0 or less counts as 1
	StartTime               float64 // s; Unix time of the machines' clocks; 0 if the node started long ago
}

// ReplaceEndpoints reports the full endpoint list. Nodes that are not in it are removed.
func (c *Controller) ReplaceEndpoints(endpoints []Endpoint) {
	c.post(func(l *eventLoop) { l.replaceEndpoints(endpoints) })
}

// UpdateEndpoints reports endpoints that are new or have changed.
func (c *Controller) UpdateEndpoints(endpoints []Endpoint) {
	c.post(func(l *eventLoop) { l.applyEndpoints(endpoints, l.planner.UpdateEndpoints) })
}

// EndpointWatchFailed reports that polling discovery failed.
func (c *Controller) EndpointWatchFailed() {
	c.post(func(l *eventLoop) { l.planner.EndpointWatchFailed(l.now) })
}

func (l *eventLoop) replaceEndpoints(endpoints []Endpoint) {
	listed := make(map[string]bool, len(endpoints))
	for _, endpoint := range endpoints {
		listed[endpoint.Node] = true
	}
	l.nodes.markUnlistedRemoved(listed, l.now)
	l.applyEndpoints(endpoints, l.planner.ReplaceEndpoints)
	l.setReady()
}

// applyEndpoints passes endpoints to the planner by calling apply, a method of the planner.
func (l *eventLoop) applyEndpoints(endpoints []Endpoint, apply func(now float64, endpoints []planner.Endpoint)) {
	apply(l.now, l.numberEndpoints(endpoints))
	l.nodes.releaseRemoved(l.now, l.planner.ReleaseEndpoint)
	if len(l.nodes.nodes) > 0 {
		l.setReady()
	}
}

// numberEndpoints converts endpoints to the planner's numbers. It skips endpoints with an unknown zone or machine type.
func (l *eventLoop) numberEndpoints(endpoints []Endpoint) []planner.Endpoint {
	wallOffset := l.clock.wallOffset()
	numbered := make([]planner.Endpoint, 0, len(endpoints))
	var assigned []string // logged because the planner identifies nodes only by number
	for _, endpoint := range endpoints {
		zone, zoneKnown := l.names.zones[endpoint.Zone]
		machineType, machineTypeKnown := l.names.machineTypes[endpoint.MachineType]
		if !zoneKnown || !machineTypeKnown {
			l.unknown.Zones.Add(1)
			l.log.Warn("endpoint ignored: unknown zone or machine type", zap.String("node", endpoint.Node),
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
		l.log.Info("node numbers assigned", zap.Strings("numbers", assigned))
	}
	return numbered
}

// updateStart records the listed start time of a node's incarnation. The argument wallOffset is the number of seconds
// by which the machines' clocks are ahead of the controller's clock.
//
// The machines' clocks may have been set since the controller started, so a start time is converted with the offset at
// the time when it is first listed. If it were converted again with each list, it would move with the clocks, and a
// node that finished its slow start long ago would be mistaken for a new incarnation.
func (n *node) updateStart(reported, wallOffset float64) {
	if reported == n.reportedStart {
		return
	}
	n.reportedStart = reported
	n.localStart = max(0, reported-wallOffset)
}
