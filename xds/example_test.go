package xds_test

import (
	"fmt"
	"time"

	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/xds"
)

// This example compiles commands of a planner into the snapshot of a routing table.
func ExampleCompiler() {
	routes := []xds.Route{{Name: "quote", Prefix: "/quote", TimeLimit: time.Second}}
	compiler := xds.NewCompiler(routes, 250*time.Millisecond)
	compiler.SetAddress("node-1", "north", xds.Address{Host: "192.0.2.1", Port: 8080})
	compiler.ApplyCommands([]controller.Command{
		{Kind: controller.SetWeight, Table: 0, Node: "node-1", Value: 1},
		{Kind: controller.SetAdmission, Table: planner.AllTables, Route: "quote", Value: 0.5},
	})
	snapshot, err := compiler.Snapshot(0)
	if err != nil {
		fmt.Println(err)
		return
	}
	for t := range xds.NumResourceTypes {
		for name, resource := range snapshot.Sets[t] {
			fmt.Println(t, name, "refers to", resource.Clusters)
		}
	}
	again, _ := compiler.Snapshot(0)
	fmt.Println("unchanged:", again == snapshot)
	// Output:
	// cluster pool-0 refers to []
	// endpoints pool-0 refers to []
	// listener calls refers to []
	// routes calls refers to [pool-0]
	// unchanged: true
}
