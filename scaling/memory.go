package scaling

import "math"

// plannerHeapSample measures the memory of a settled planner. The value is its total heap; the fit yields the heap of
// one more node, proxy or route.
func plannerHeapSample(size, nodes, proxies, routes int) (Sample, error) {
	sample := newSample(size)
	heap, _, err := measureHeap(func() (*plannerFleet, error) {
		fleet := newPlannerFleet(nodes, proxies, routes)
		fleet.settle()
		return fleet, nil
	})
	sample.Values[Heap] = heap
	return sample, err
}

// serverHeapSample measures the memory of an xDS server, without that of its simulated sidecars.
func serverHeapSample(size, sidecars, nodes, routes int) (Sample, error) {
	sample := newSample(size)
	fleet, err := newPushFleet(sidecars, nodes, routes)
	if err != nil {
		return sample, err
	}
	fleet.caches = nil
	withServer := liveHeap()
	fleet.server = nil
	withoutServer := liveHeap()
	sample.Values[Heap] = math.Max(0, float64(withServer)-float64(withoutServer))
	return sample, nil
}

func memorySlopes() []Slope {
	return []Slope{
		{
			Name:      "memory-module-nodes",
			Operation: "the planner's memory, 110 proxies, 12 routes",
			Size:      "nodes",
			Method:    Isolated,
			Sizes:     []int{130, 400, 1300, 4000, OperatorsNodes},
			Run:       func(size int, _ Effort) (Sample, error) { return plannerHeapSample(size, size, typicalProxies, 12) },
		},
		{
			Name:      "memory-module-proxies",
			Operation: "the planner's memory, 800 nodes, 12 routes",
			Size:      "proxies",
			Method:    Isolated,
			Sizes:     []int{110, 300, 800, 2400},
			Run:       func(size int, _ Effort) (Sample, error) { return plannerHeapSample(size, stepNodes, size, 12) },
		},
		{
			Name:      "memory-module-routes",
			Operation: "the planner's memory, 800 nodes, 2,400 proxies",
			Size:      "routes",
			Method:    Isolated,
			Sizes:     []int{1, 4, 16, 64},
			Run:       func(size int, _ Effort) (Sample, error) { return plannerHeapSample(size, stepNodes, 2400, size) },
		},
		{
			Name:      "memory-xds-sidecars",
			Operation: "the xDS server's memory, pool of 200 nodes, 12 routes",
			Size:      "sidecars",
			Method:    Isolated,
			Sizes:     []int{30, 100, 300, 1000},
			Run:       func(size int, _ Effort) (Sample, error) { return serverHeapSample(size, size, poolNodes, 12) },
		},
		{
			Name:      "memory-xds-nodes",
			Operation: "the xDS server's memory, 10 sidecars on one pool, 12 routes",
			Size:      "nodes",
			Method:    Isolated,
			Sizes:     []int{100, 300, 1000, 4000},
			Run:       func(size int, _ Effort) (Sample, error) { return serverHeapSample(size, 10, size, 12) },
		},
		{
			Name:      "memory-xds-routes",
			Operation: "the xDS server's memory, 10 sidecars, pool of 10 nodes",
			Size:      "routes",
			Method:    Isolated,
			Sizes:     []int{10, 30, 100, 300, 1000},
			Run:       func(size int, _ Effort) (Sample, error) { return serverHeapSample(size, 10, 10, size) },
		},
	}
}
