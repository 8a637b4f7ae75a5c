package sidecar

import (
	"slices"
	"strings"
	"time"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"

	"harehook.dev/harehook/xds"
)

// WeightedNode is a node of a cluster.
type WeightedNode struct {
	Node, Zone string
	Address    xds.Address
	Weight     float64 // relative to the cluster's other nodes
}

// RouteEntry is a route, or the fraction of it that is rejected.
type RouteEntry struct {
	Name, Prefix    string
	Fraction        float64 // that this entry takes of the requests that reach it
	Status          int     // answered at once with that, 0: forwarded
	Cluster         string
	TimeLimit       time.Duration // 0: none is stated
	MaxRetries      int           // each only after proof that no attempt before ran
	Mutating        bool
	RoutingRevision uint64 // of the agreed configuration, 0: not told
}

// RoutingTable is what accepted resources say of requests. It does not change once it is made.
type RoutingTable struct {
	Routes   []RouteEntry              // the first that matches a request counts
	Clusters map[string][]WeightedNode // by name
	Versions [xds.NumResourceTypes]map[string]string
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
	// The resources were validated when they were accepted, so there are no errors.
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

// Route returns the entry for a request with a path, nil if there is none. Random returns numbers from 0 to 1; it is called
// for entries that take a fraction.
func (t *RoutingTable) Route(path string, random func() float64) *RouteEntry {
	for index := range t.Routes {
		entry := &t.Routes[index]
		if strings.HasPrefix(path, entry.Prefix) && (entry.Fraction >= 1 || random() < entry.Fraction) {
			return entry
		}
	}
	return nil
}

// Pick draws a node of a cluster by weight, except those at tried addresses; ok is false if none is left. Random returns a
// number from 0 to 1.
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
	return nodes[last], true // the sum was rounded
}
