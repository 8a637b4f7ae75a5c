package controller

import (
	"maps"
	"slices"

	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/settings"
)

// releaseDelay is for how many seconds after its removal a node keeps its number: load reports, and an endpoint list
// that swings, still name it for a while.
const releaseDelay = 60

// settingsNames has the names that the settings define. The planner's number of each is its place there.
type settingsNames struct {
	zones        map[string]int
	machineTypes map[string]int
	routes       map[string]int
	routeNames   []string // by number
	reportValues []string // values of a load report, in the planner's order
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

// orderReportValues appends the values of a load report in the planner's order. It appends none if one is missing: the
// planner knows a value by its place alone.
func (n *settingsNames) orderReportValues(into []float64, values map[string]float64) []float64 {
	start := len(into)
	for _, name := range n.reportValues {
		value, reported := values[name]
		if !reported {
			return into[:start]
		}
		into = append(into, value)
	}
	return into
}

// nodeRegistry assigns numbers to nodes. Numbers are used again: a site that releases for weeks would else have as many
// as it ever had nodes, and the planner's work would grow with them.
type nodeRegistry struct {
	numbers   map[string]uint32  // by name
	nodes     []node             // by number
	free      []uint32           // numbers to use again
	removedAt map[uint32]float64 // s; Unix time, by the number of a node that was removed
}

// node is what the controller remembers of a node.
type node struct {
	name          string
	reportedStart float64 // s; Unix time of the start by the machines' clocks, as listed
	localStart    float64 // s; the same by our clock
}

func newNodeRegistry() nodeRegistry {
	return nodeRegistry{numbers: map[string]uint32{}, removedAt: map[uint32]float64{}}
}

// number is the number of a node that has one.
func (r *nodeRegistry) number(name string) (number uint32, known bool) {
	number, known = r.numbers[name]
	return number, known
}

// numberOrAssign is the number of a node, which gets one if it has none; assigned reports whether it did.
func (r *nodeRegistry) numberOrAssign(name string) (number uint32, assigned bool) {
	if number, known := r.numbers[name]; known {
		return number, false
	}
	number = r.takeNumber()
	r.nodes[number] = node{name: name}
	r.numbers[name] = number
	return number, true
}

func (r *nodeRegistry) takeNumber() uint32 {
	last := len(r.free) - 1
	if last >= 0 {
		number := r.free[last]
		r.free = r.free[:last]
		return number
	}
	r.nodes = append(r.nodes, node{})
	return uint32(len(r.nodes) - 1)
}

// update notes what the endpoint list says of a node; wallOffset as for updateStart.
func (r *nodeRegistry) update(number uint32, endpoint Endpoint, now, wallOffset float64) *node {
	if endpoint.State == planner.Removed {
		r.setRemoved(number, now)
	} else {
		delete(r.removedAt, number)
	}
	updated := &r.nodes[number]
	updated.updateStart(endpoint.StartTime, wallOffset)
	return updated
}

// setRemoved notes that a node is no longer in the endpoint list. Only the first time counts.
func (r *nodeRegistry) setRemoved(number uint32, now float64) {
	if _, already := r.removedAt[number]; !already {
		r.removedAt[number] = now
	}
}

// setOthersRemoved notes that no other nodes are in the endpoint list than those that are named.
func (r *nodeRegistry) setOthersRemoved(listed map[string]bool, now float64) {
	for name, number := range r.numbers {
		if !listed[name] {
			r.setRemoved(number, now)
		}
	}
}

// releaseRemoved takes back the numbers of nodes that were removed long ago, if the planner can release them.
func (r *nodeRegistry) releaseRemoved(now float64, release func(number uint32) bool) {
	for _, number := range slices.Sorted(maps.Keys(r.removedAt)) {
		if now > r.removedAt[number]+releaseDelay && release(number) {
			delete(r.numbers, r.nodes[number].name)
			delete(r.removedAt, number)
			r.free = append(r.free, number)
		}
	}
}
