package sidecar

import (
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"

	"harehook.dev/harehook/xds"
)

// WeightedNode is a node that a cluster sends to.
type WeightedNode struct {
	Node, Zone string
	Address    xds.Address
	Weight     float64
}

// RouteEntry is a route, or the part of it that is turned away.
type RouteEntry struct {
	Name, Prefix  string
	Fraction      float64 // that this entry takes of the calls that come to it
	Status        int     // answered at once with that, 0: sent on
	Cluster       string
	TimeLimit     time.Duration
	MaxRetries    int // further ones, each only after proof that none before ran
	Mutating      bool
	AgreedVersion uint64 // the version of the agreed configuration that it is of, 0: not told
}

// RoutingTable is what accepted versions say of calls. It is never changed once it is made.
type RoutingTable struct {
	Routes   []RouteEntry
	Clusters map[string][]WeightedNode
	Versions [xds.NumResourceTypes]map[string]string
}

// Table gives what is accepted now.
func (h *ResourceCache) Table() *RoutingTable {
	if h.table != nil {
		return h.table
	}
	t := &RoutingTable{Clusters: map[string][]WeightedNode{}}
	for kind := range xds.NumResourceTypes {
		t.Versions[kind] = h.versions(kind)
	}
	for name, held := range h.accepted[xds.Endpoints] {
		if m, err := unmarshal(held.Body, &endpointv3.ClusterLoadAssignment{}); err == nil {
			t.Clusters[name], _ = parseEndpoints(m)
		}
	}
	for _, held := range h.accepted[xds.Routes] {
		if m, err := unmarshal(held.Body, &routev3.RouteConfiguration{}); err == nil {
			entries, _ := h.parseRoutes(m)
			t.Routes = append(t.Routes, entries...)
		}
	}
	h.table = t
	return t
}

// Random draws numbers from 0 to 1 from a seed.
type Random struct {
	Seed  uint64
	draws uint64
}

// Next draws one.
func (c *Random) Next() float64 {
	c.draws++
	h := fnv.New64a()
	fmt.Fprint(h, c.Seed, " ", c.draws)
	// Counters that follow each other differ in the hash's lower bits only: without mixing, all draws of a while are
	// about the same, and one node got all calls.
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return float64((x^x>>31)>>11) / (1 << 53)
}

// Route finds the entry that a path's call falls to; nil if there is none.
func (t *RoutingTable) Route(path string, chance func() float64) *RouteEntry {
	for k := range t.Routes {
		e := &t.Routes[k]
		if strings.HasPrefix(path, e.Prefix) && (e.Fraction >= 1 || chance() < e.Fraction) {
			return e
		}
	}
	return nil
}

// Pick draws a line of a cluster by weight, leaving out those tried before; false if none is left.
func (t *RoutingTable) Pick(cluster string, tried []xds.Address, chance func() float64) (WeightedNode, bool) {
	lines, whole := t.Clusters[cluster], 0.0
	open := func(l WeightedNode) bool {
		for _, a := range tried {
			if a == l.Address {
				return false
			}
		}
		return true
	}
	last := -1
	for k, l := range lines {
		if open(l) {
			whole += l.Weight
			last = k
		}
	}
	if last < 0 {
		return WeightedNode{}, false
	}
	at := chance() * whole
	for _, l := range lines {
		if open(l) {
			if at -= l.Weight; at < 0 {
				return l, true
			}
		}
	}
	return lines[last], true
}
