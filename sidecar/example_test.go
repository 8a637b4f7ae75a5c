package sidecar_test

import (
	"fmt"
	"net/http"
	"time"

	"harehook.dev/harehook/sidecar"
	"harehook.dev/harehook/xds"
)

// A request is routed by its path to a cluster, and a node of the cluster is selected by weight.
func ExampleRoutingTable() {
	address := xds.Address{Host: "192.0.2.1", Port: 8080}
	table := &sidecar.RoutingTable{
		Routes: []sidecar.RouteEntry{
			{Name: "quote", Prefix: "/quote", Fraction: 1, Cluster: "pool-0", TimeLimit: time.Second},
			{Name: "report", Prefix: "/report", Fraction: 1, Status: http.StatusServiceUnavailable},
		},
		Clusters: map[string][]sidecar.WeightedNode{"pool-0": {{Node: "node-1", Address: address, Weight: 1}}},
	}
	random := sidecar.Random{Seed: 1}
	for _, path := range []string{"/quote/7", "/report", "/other"} {
		entry := table.Route(path, random.Next)
		switch {
		case entry == nil:
			fmt.Println(path, "has no route")
		case entry.Status != 0:
			fmt.Println(path, "is answered with", entry.Status)
		default:
			node, _ := table.Pick(entry.Cluster, nil, random.Next)
			fmt.Println(path, "goes to", node.Node)
		}
	}
	// Output:
	// /quote/7 goes to node-1
	// /report is answered with 503
	// /other has no route
}

// A sidecar without accepted resources subscribes to all clusters and its listener. It subscribes to the endpoints and
// routes that these refer to once it has accepted them.
func ExampleResourceCache_BeginDelta() {
	cache := &sidecar.ResourceCache{ID: "till-1", Zone: "north", Delta: true}
	for _, request := range cache.BeginDelta() {
		t, _ := xds.ParseTypeURL(request.GetTypeUrl())
		fmt.Println(t, request.GetResourceNamesSubscribe())
	}
	// Output:
	// cluster []
	// listener [calls]
}
