package config

import (
	"strings"

	"harehook.dev/harehook/internal/kdl"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/xds"
)

const (
	maxRouteMilliseconds    = 600000 // of a route's times
	minPriorityWeight       = 0.001
	maxPriorityWeight       = 1e6
	defaultObjectiveSeconds = 1.0
)

// routeReaders are functions that read a child node of a route, by the child's name.
type routeReaders map[string]func(n *kdl.Node, route *xds.Route)

// readControllerRoute reads a route of a controller's configuration.
func (r *reader) readControllerRoute(n *kdl.Node, c *Controller) {
	settings := planner.Route{LatencyObjective: defaultObjectiveSeconds, PriorityWeight: 1}
	route := r.readRoute(n, c.Routes, routeReaders{
		"slo-ms": func(n *kdl.Node, _ *xds.Route) {
			settings.LatencyObjective = r.onlyMilliseconds(n, 1, maxRouteMilliseconds).Seconds()
		},
		"importance": func(n *kdl.Node, _ *xds.Route) {
			settings.PriorityWeight = r.onlyNumber(n, minPriorityWeight, maxPriorityWeight)
		},
		"home-only": func(n *kdl.Node, _ *xds.Route) { settings.LocalZoneOnly = r.flag(n) },
	})
	if route.TimeLimit > 0 && route.TimeLimit.Seconds() < settings.LatencyObjective {
		r.faults.Add(n.Line, "route %q has a time limit under its SLO time", route.Name)
	}
	c.Routes = append(c.Routes, route)
	c.Deployment.Routes = append(c.Deployment.Routes, route.Name)
	c.Deployment.Planner.Routes = append(c.Deployment.Planner.Routes, settings)
}

// readRoute reads a route that follows others. The extra readers are for what not every configuration's routes have.
// A route too many is a fault and not read.
func (r *reader) readRoute(n *kdl.Node, before []xds.Route, extra routeReaders) xds.Route {
	route := xds.Route{Name: r.onlyString(n)}
	if len(before) >= xds.MaxRoutes {
		if len(before) == xds.MaxRoutes { // one fault is enough
			r.faults.Add(n.Line, "route %q is one too many: a sidecar takes %d at most", route.Name, xds.MaxRoutes)
		}
		return route
	}
	once := nodeReaders{
		"prefix":   func(n *kdl.Node) { route.Prefix = r.onlyString(n) },
		"limit-ms": func(n *kdl.Node) { route.TimeLimit = r.onlyMilliseconds(n, 1, maxRouteMilliseconds) },
		"mutating": func(n *kdl.Node) { route.Mutating = r.flag(n) },
	}
	for name, readChild := range extra {
		once[name] = func(n *kdl.Node) { readChild(n, &route) }
	}
	r.readChildren(n, once, nil)
	r.checkRoute(n, route, before)
	return route
}

// checkRoute adds a fault for what a route lacks, and for a name or prefix that an earlier route has: a prefix that an
// earlier one covers is never reached.
func (r *reader) checkRoute(n *kdl.Node, route xds.Route, before []xds.Route) {
	if !strings.HasPrefix(route.Prefix, "/") {
		r.faults.Add(n.Line, "route %q has no prefix of a path, such as \"/quote\"", route.Name)
	}
	if route.TimeLimit == 0 {
		r.faults.Add(n.Line, "route %q has no time limit (limit-ms)", route.Name)
	}
	for _, earlier := range before {
		if earlier.Name == route.Name {
			r.faults.Add(n.Line, "route %q is there twice", route.Name)
		} else if earlier.Prefix != "" && strings.HasPrefix(route.Prefix, earlier.Prefix) {
			r.faults.Add(n.Line, "route %q is never reached: %q takes all of %q before it", route.Name, earlier.Name, route.Prefix)
		}
	}
}
