package config

import (
	"strings"

	"harehook.dev/harehook/internal/kdl"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/xds"
)

const (
	maxRouteMilliseconds    = 600000 // of limit-ms and slo-ms
	minPriorityWeight       = 0.001
	maxPriorityWeight       = 1e6
	defaultObjectiveSeconds = 1.0
)

// routeReaders holds the functions that read a child node of a route, by KDL key of the child.
type routeReaders map[string]func(n *kdl.Node, route *xds.Route)

// readControllerRoute reads a route of the configuration of a controller.
func (r *reader) readControllerRoute(n *kdl.Node, c *Controller) {
	settings := planner.Route{LatencyObjective: defaultObjectiveSeconds, PriorityWeight: 1}
	route := r.readRoute(n, c.Routes, routeReaders{
		"slo-ms": func(n *kdl.Node, _ *xds.Route) {
			settings.LatencyObjective = r.onlyMilliseconds(n, 1, maxRouteMilliseconds).Seconds()
		},
		"importance": func(n *kdl.Node, _ *xds.Route) {
			settings.PriorityWeight = r.onlyNumber(n, minPriorityWeight, maxPriorityWeight)
		},
		"home-only": func(n *kdl.Node, _ *xds.Route) { settings.LocalZoneOnly = r.readFlag(n) },
	})
	if route.TimeLimit > 0 && route.TimeLimit.Seconds() < settings.LatencyObjective {
		r.faults.Add(n.Line, "limit-ms of route %q must be at least its slo-ms, %.6g, got %.6g", route.Name,
			settings.LatencyObjective*1000, milliseconds(route.TimeLimit))
	}
	c.Routes = append(c.Routes, route)
	c.Deployment.Routes = append(c.Deployment.Routes, route.Name)
	c.Deployment.Planner.Routes = append(c.Deployment.Planner.Routes, settings)
}

// readRoute reads a route. preceding holds the routes before it in the document, extra the readers of the settings
// that only one kind of configuration has. Routes beyond xds.MaxRoutes are not read; only the first of them adds a
// fault.
func (r *reader) readRoute(n *kdl.Node, preceding []xds.Route, extra routeReaders) xds.Route {
	route := xds.Route{Name: r.onlyString(n)}
	if len(preceding) >= xds.MaxRoutes {
		if len(preceding) == xds.MaxRoutes { // only the first excess route is a fault
			r.faults.Add(n.Line, "route %q exceeds the limit: a sidecar accepts at most %d routes", route.Name, xds.MaxRoutes)
		}
		return route
	}
	single := nodeReaders{
		"prefix":   func(n *kdl.Node) { route.Prefix = r.onlyString(n) },
		"limit-ms": func(n *kdl.Node) { route.TimeLimit = r.onlyMilliseconds(n, 1, maxRouteMilliseconds) },
		"mutating": func(n *kdl.Node) { route.Mutating = r.readFlag(n) },
	}
	for name, readChild := range extra {
		single[name] = func(n *kdl.Node) { readChild(n, &route) }
	}
	r.readChildren(n, single, nil)
	r.checkRoute(n, route, preceding)
	return route
}

// checkRoute adds a fault for each required setting that a route does not have, for a duplicate name, and for a prefix
// that begins with the prefix of an earlier route, which makes the route unreachable.
func (r *reader) checkRoute(n *kdl.Node, route xds.Route, preceding []xds.Route) {
	if !strings.HasPrefix(route.Prefix, "/") {
		r.faults.Add(n.Line, "prefix of route %q must begin with \"/\", got %q", route.Name, route.Prefix)
	}
	if route.TimeLimit == 0 {
		r.faults.Add(n.Line, "route %q has no time limit (limit-ms)", route.Name)
	}
	for _, earlier := range preceding {
		if earlier.Name == route.Name {
			r.faults.Add(n.Line, "duplicate route %q", route.Name)
		} else if earlier.Prefix != "" && strings.HasPrefix(route.Prefix, earlier.Prefix) {
			r.faults.Add(n.Line, "route %q is unreachable: route %q before it matches all of %q", route.Name, earlier.Name, route.Prefix)
		}
	}
}
