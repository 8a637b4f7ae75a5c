package controller

import (
	"maps"
	"slices"

	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/settings"
)

// releaseDelay is the time in seconds for which a removed node keeps its number: load reports, and an endpoint list
// that alternates between versions, may still name the node for a while.
const releaseDelay = 60

// settingsNames holds the names that the settings define. The planner's number of a name is its index in the settings.
type settingsNames struct {
	zones        map[string]int
	machineTypes map[string]int
	routes       map[string]int
	routeNames   []string // by number
	reportValues []string // names of a load report's values, in the planner's order
}

func newSettingsNames(deployment settings.Deployment) settingsNames {
	return settingsNames{
		zones:        indexByName(deployment.Zones),
		machineTypes: indexByName(deployment.MachineTypes),
		routes:       indexByName(deployment.Routes),
		routeNames:   deployment.Routes,
		reportValues: deployment.ReportValues,
	}
}

func indexByName(names []string) map[string]int {
	indexes := make(map[string]int, len(names))
	for index, name := range names {
		indexes[name] = index
	}
	return indexes
}

// appendReportValues appends the values of a load report in the planner's order. It appends none if one is missing,
// because the planner identifies a value only by its index.
func (n *settingsNames) appendReportValues(dst []float64, values map[string]float64) []float64 {
	start := len(dst)
	for _, name := range n.reportValues {
		value, reported := values[name]
		if !reported {
			return dst[:start]
		}
		dst = append(dst, value)
	}
	return dst
}

// nodeRegistry assigns numbers to nodes. Numbers are reused. Otherwise a site with regular releases would, after weeks,
// have a number for each node that ever existed, and the planner's work would grow with them.
type nodeRegistry struct {
	numbers   map[string]uint32  // by name
	nodes     []node             // by number
	free      []uint32           // numbers that can be reused
	removedAt map[uint32]float64 // s; Unix time of the removal, by node number
}

// node holds the controller's data about a node.
type node struct {
	name          string
	reportedStart float64 // s; start as listed, in Unix time of the machines' clocks
	localStart    float64 // s; start in Unix time of the controller's clock
}

func newNodeRegistry() nodeRegistry {
	return nodeRegistry{numbers: map[string]uint32{}, removedAt: map[uint32]float64{}}
}

// number returns the number of a node, if it has one.
func (r *nodeRegistry) number(name string) (number uint32, known bool) {
	number, known = r.numbers[name]
	return number, known
}

// numberOrAssign returns the number of a node, and assigns one if it has none. The result assigned reports whether it
// did so.
func (r *nodeRegistry) numberOrAssign(name string) (number uint32, assigned bool) {
	if number, known := r.numbers[name]; known {
		return number, false
	}
	number = r.allocateNumber()
	r.nodes[number] = node{name: name}
	r.numbers[name] = number
	return number, true
}

func (r *nodeRegistry) allocateNumber() uint32 {
	last := len(r.free) - 1
	if last >= 0 {
		number := r.free[last]
		r.free = r.free[:last]
		return number
	}
	r.nodes = append(r.nodes, node{})
	return uint32(len(r.nodes) - 1)
}

// update records the listed state and start time of a node. See updateStart for wallOffset.
func (r *nodeRegistry) update(number uint32, endpoint Endpoint, now, wallOffset float64) *node {
	if endpoint.State == planner.Removed {
		r.markRemoved(number, now)
	} else {
		delete(r.removedAt, number)
	}
	updated := &r.nodes[number]
	updated.updateStart(endpoint.StartTime, wallOffset)
	return updated
}

// markRemoved records that a node is no longer in the endpoint list. Later calls do not change the time of removal.
func (r *nodeRegistry) markRemoved(number uint32, now float64) {
	if _, already := r.removedAt[number]; !already {
		r.removedAt[number] = now
	}
}

// markUnlistedRemoved records that all nodes not in listed are no longer in the endpoint list.
func (r *nodeRegistry) markUnlistedRemoved(listed map[string]bool, now float64) {
	for name, number := range r.numbers {
		if !listed[name] {
			r.markRemoved(number, now)
		}
	}
}

// releaseRemoved frees the numbers of nodes whose removal is more than releaseDelay ago, if the planner can release
// them.
func (r *nodeRegistry) releaseRemoved(now float64, release func(number uint32) bool) {
	for _, number := range slices.Sorted(maps.Keys(r.removedAt)) {
		if now > r.removedAt[number]+releaseDelay && release(number) {
			delete(r.numbers, r.nodes[number].name)
			delete(r.removedAt, number)
			r.free = append(r.free, number)
		}
	}
}
