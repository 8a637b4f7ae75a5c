package sidecar

import (
	"slices"
	"strings"
	"time"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"

	"harehook.dev/harehook/xds"
)

// WeightedNode is a node of a cluster with its weight.
type WeightedNode struct {
	Node, Zone string
	Address    xds.Address
	Weight     float64 // relative to the cluster's other nodes
}

// RouteEntry is an entry of a routing table. A route has up to two entries: one that forwards the admitted fraction of
// its requests, followed by one that rejects the remaining ones.
type RouteEntry struct {
	Name, Prefix    string
	Fraction        float64 // fraction of the matching requests to which this entry applies
	Status          int     // status of the proxy's own response; 0: the request is forwarded
	Cluster         string
	TimeLimit       time.Duration // 0: the proxy's default applies
	MaxRetries      int           // a retry requires that no earlier attempt can have run
	Mutating        bool
	RoutingRevision uint64 // revision of the agreed configuration; 0: unknown
}

// RoutingTable holds the routes and clusters of the accepted resources. It is immutable.
type RoutingTable struct {
	Routes   []RouteEntry                            // in order: the first that matches a request applies
	Clusters map[string][]WeightedNode               // by name
	Versions [xds.NumResourceTypes]map[string]string // accepted versions by resource name
}

// Table returns the routing table of the accepted resources.
func (c *ResourceCache) Table() *RoutingTable {
	if c.table != nil {
		return c.table
	}
	table := &RoutingTable{Clusters: map[string][]WeightedNode{}}
	for t := range xds.NumResourceTypes {
		table.Versions[t] = c.versions(t)
	}
	// Accepted resources are already validated, so errors cannot occur.
	for name, resource := range c.accepted[xds.Endpoints] {
		if assignment, err := unmarshal(resource.Body, &endpointv3.ClusterLoadAssignment{}); err == nil {
			table.Clusters[name], _ = parseEndpoints(assignment)
		}
	}
	for _, resource := range c.accepted[xds.Routes] {
		if config, err := unmarshal(resource.Body, &routev3.RouteConfiguration{}); err == nil {
			entries, _ := c.parseRoutes(config)
			table.Routes = append(table.Routes, entries...)
		}
	}
	c.table = table
	return table
}

// Route returns the entry for a request with a path, or nil if none matches. The function random returns numbers from 0
// to 1; it is called for each matching entry with a fraction below 1.
func (t *RoutingTable) Route(path string, random func() float64) *RouteEntry {
	for index := range t.Routes {
		entry := &t.Routes[index]
		if strings.HasPrefix(path, entry.Prefix) && (entry.Fraction >= 1 || random() < entry.Fraction) {
			return entry
		}
	}
	return nil
}

// Pick selects a random node of a cluster by weight and skips nodes at tried addresses; ok is false if no node remains.
// The function random returns a number from 0 to 1.
func (t *RoutingTable) Pick(cluster string, tried []xds.Address, random func() float64) (node WeightedNode, ok bool) {
	nodes := t.Clusters[cluster]
	weightSum := 0.0
	last := -1
	for index, candidate := range nodes {
		if !slices.Contains(tried, candidate.Address) {
			weightSum += candidate.Weight
			last = index
		}
	}
	if last < 0 {
		return WeightedNode{}, false
	}
	remaining := random() * weightSum
	for _, candidate := range nodes {
		if slices.Contains(tried, candidate.Address) {
			continue
		}
		remaining -= candidate.Weight
		if remaining < 0 {
			return candidate, true
		}
	}
	return nodes[last], true // reached through rounding errors only
}
