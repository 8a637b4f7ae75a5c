package controller_test

import (
	"context"
	"fmt"
	"sync"

	"go.uber.org/zap"

	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/settings"
)

// bindings is a CommandSink that forwards the commands that bind a proxy.
type bindings chan controller.Command

// Enqueue implements controller.CommandSink.
func (b bindings) Enqueue(batch []controller.Command) {
	for _, command := range batch {
		if command.Kind == controller.BindProxy {
			b <- command
		}
	}
}

// A node and a proxy are reported to a controller, which binds the proxy to a routing table.
func Example() {
	deployment, err := settings.Decode([]byte(`{"zones":["north"],"machine-types":["small"],
		"categories":[{"name":"quote","promise-ns":1000000000,"gain":1}]}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	sink := make(bindings, 8) // there is only one binding, so Enqueue does not block
	c := controller.New(deployment, nil, sink, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { c.Run(ctx) })

	c.ReplaceEndpoints([]controller.Endpoint{
		{Node: "s-1", Zone: "north", MachineType: "small", State: planner.Ready},
	})
	<-c.Ready()
	c.ProxyJoined(0, "north", 100)
	command := <-sink
	fmt.Printf("%v: proxy %d, table %d\n", command.Kind, command.Proxy, command.Table)

	cancel()
	running.Wait()
	// Output: bind proxy: proxy 0, table 0
}
