package scaling

import (
	"fmt"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/sidecar"
	"harehook.dev/harehook/xds"
)

const (
	poolNodes    = 200 // nodes of the pool in slopes over sidecars
	poolSidecars = 100 // sidecars in slopes over the pool
	maxExchanges = 100 // limit on exchanges until all sidecars are in step, far above the dozen needed
)

// pendingResponse is a response that is not delivered to its sidecar yet.
type pendingResponse struct {
	stream   uint64
	response *discoveryv3.DeltaDiscoveryResponse
}

// pushFleet is an xDS server with sidecars that use the delta variant and hold all resources. Sidecars are numbered
// from 0, and their streams from 1 in the same order. It implements the server's callbacks.
type pushFleet struct {
	server  *xds.Server
	caches  []*sidecar.ResourceCache // by sidecar
	pending []pendingResponse
	nodes   int
	changes int
	failure error // of a sidecar that rejected a response or whose stream closed
}

// Send does nothing: no sidecar uses the state-of-the-world variant.
func (p *pushFleet) Send(uint64, *discoveryv3.DiscoveryResponse) {}

// SendDelta queues a response for delivery.
func (p *pushFleet) SendDelta(stream uint64, response *discoveryv3.DeltaDiscoveryResponse) {
	p.pending = append(p.pending, pendingResponse{stream: stream, response: response})
}

// CloseStream records a failure.
func (p *pushFleet) CloseStream(stream uint64, why string) {
	p.failure = fmt.Errorf("stream %d closed: %s", stream, why)
}

// Joined does nothing.
func (p *pushFleet) Joined(int, string) {}

// Left does nothing.
func (p *pushFleet) Left(int) {}

// Acknowledged does nothing.
func (p *pushFleet) Acknowledged(int, int) {}

// Rejected records a failure.
func (p *pushFleet) Rejected(id string, kind xds.ResourceType, why string) {
	p.failure = fmt.Errorf("%s rejected %s: %s", id, kind, why)
}

// streamOf returns the stream of a sidecar.
func streamOf(sidecar int) uint64 { return uint64(sidecar + 1) }

func nodeName(n int) string { return fmt.Sprintf("node-%05d", n) }

func nodeAddress(n int) xds.Address {
	return xds.Address{Host: fmt.Sprintf("10.%d.%d.%d", n>>16, n>>8&255, n&255), Port: 8080}
}

func pushRoutes(count int) (routes []xds.Route) {
	for index := range count {
		routes = append(routes, xds.Route{
			Name:      fmt.Sprintf("r%04d", index),
			Prefix:    fmt.Sprintf("/service-%03d/r%04d", index%OperatorsServices, index),
			TimeLimit: 2 * time.Second,
		})
	}
	return routes
}

// newPushFleet returns a server whose sidecars have all joined, are bound to one table of all nodes, and are in step.
func newPushFleet(sidecars, nodes, routes int) (*pushFleet, error) {
	fleet := &pushFleet{nodes: nodes}
	compiler := xds.NewCompiler(pushRoutes(routes), time.Second)
	fleet.server = xds.NewServer(compiler, fleet, sidecars)
	var commands []controller.Command
	for n := range nodes {
		compiler.SetAddress(nodeName(n), fmt.Sprint("zone-", n%OperatorsZones), nodeAddress(n))
		commands = append(commands, controller.Command{Kind: controller.SetWeight, Node: nodeName(n), Value: 1})
	}
	for index := range sidecars {
		if err := fleet.join(index); err != nil {
			return nil, fmt.Errorf("sidecar %d: %w", index, err)
		}
		commands = append(commands, controller.Command{Kind: controller.BindProxy, Proxy: index})
	}
	commands = append(commands, controller.Command{Kind: controller.RequestAck, Nonce: 1})
	if err := fleet.server.ApplyCommands(0, commands); err != nil {
		return nil, err
	}
	return fleet, fleet.settle(&pushCost{})
}

// join opens the stream of a sidecar.
func (p *pushFleet) join(index int) error {
	cache := &sidecar.ResourceCache{ID: fmt.Sprint("sidecar-", index), Zone: "zone-0", Delta: true}
	p.caches = append(p.caches, cache)
	if err := p.server.Open(0, streamOf(index), true, cache.ID, cache.Zone); err != nil {
		return err
	}
	return p.handleRequests(streamOf(index), cache.BeginDelta())
}

// handleRequests passes a sidecar's requests to the server.
func (p *pushFleet) handleRequests(stream uint64, requests []*discoveryv3.DeltaDiscoveryRequest) error {
	for _, request := range requests {
		if err := p.server.HandleDelta(0, stream, request); err != nil {
			return err
		}
	}
	return nil
}

// pushCost sums the cost of pushes: at the server, with the bytes of its encoded responses, and at the sidecars.
type pushCost struct {
	server, sidecars meter
	bytes, messages  int
}

// settle delivers responses and the sidecars' requests until no response is pending.
func (p *pushFleet) settle(cost *pushCost) error {
	for range maxExchanges {
		if p.failure != nil {
			return p.failure
		}
		if len(p.pending) == 0 {
			return nil
		}
		if err := p.exchange(cost); err != nil {
			return err
		}
	}
	return fmt.Errorf("responses are still pending after %d exchanges", maxExchanges)
}

// exchange delivers all pending responses, and passes the sidecars' requests back to the server.
func (p *pushFleet) exchange(cost *pushCost) error {
	arrived := p.pending
	p.pending = nil
	if err := cost.writeResponses(arrived); err != nil {
		return err
	}
	answers, err := p.handleResponses(cost, arrived)
	if err != nil {
		return err
	}
	cost.server.start()
	defer cost.server.stop()
	for index, pending := range arrived {
		if err := p.handleRequests(pending.stream, answers[index]); err != nil {
			return err
		}
	}
	return nil
}

// writeResponses encodes responses and adds the cost.
func (c *pushCost) writeResponses(responses []pendingResponse) error {
	c.server.start()
	defer c.server.stop()
	for _, pending := range responses {
		body, err := proto.Marshal(pending.response)
		if err != nil {
			return err
		}
		c.bytes += len(body)
		c.messages++
	}
	return nil
}

// handleResponses passes responses to the sidecars, adds the cost, and returns the requests for each response.
func (p *pushFleet) handleResponses(cost *pushCost, arrived []pendingResponse) ([][]*discoveryv3.DeltaDiscoveryRequest, error) {
	answers := make([][]*discoveryv3.DeltaDiscoveryRequest, len(arrived))
	cost.sidecars.start()
	defer cost.sidecars.stop()
	for index, pending := range arrived {
		requests, err := p.caches[pending.stream-1].HandleDelta(pending.response)
		if err != nil {
			return nil, err
		}
		answers[index] = requests
	}
	return answers, nil
}

// change sets one node's weight and delivers it until all sidecars have accepted it.
func (p *pushFleet) change(cost *pushCost) error {
	p.changes++
	commands := []controller.Command{
		{Kind: controller.SetWeight, Table: 0, Node: nodeName(p.nodes / 2), Value: 1 + float64(p.changes%2)},
		{Kind: controller.RequestAck, Nonce: 1 + p.changes%maxNonce},
	}
	cost.server.start()
	err := p.server.ApplyCommands(0, commands)
	cost.server.stop()
	if err != nil {
		return err
	}
	return p.settle(cost)
}

// pushSample measures pushes of one changed weight, at the server or at the sidecars. Values are per sidecar.
func pushSample(size, sidecars, nodes int, effort Effort, side func(*pushCost) *meter) (Sample, error) {
	sample := newSample(size)
	fleet, err := newPushFleet(sidecars, nodes, 12)
	if err != nil {
		return sample, err
	}
	var cost pushCost
	pushes := 0
	for !effort.isEnough(side(&cost), pushes, fullMinOperations) {
		if err := fleet.change(&cost); err != nil {
			return sample, err
		}
		pushes++
	}
	side(&cost).recordPerOperation(&sample, pushes*sidecars)
	sample.Values[Wire] = float64(cost.bytes) / float64(pushes*sidecars)
	sample.Values[Messages] = float64(cost.messages) / float64(pushes*sidecars)
	return sample, nil
}

func pushSlopes() []Slope {
	server := func(cost *pushCost) *meter { return &cost.server }
	client := func(cost *pushCost) *meter { return &cost.sidecars }
	return []Slope{
		{
			Name:      "push-sidecars",
			Operation: "one changed weight sent to one sidecar, server's side, pool of 200 nodes",
			Size:      "sidecars on the table",
			Method:    Isolated,
			Sizes:     []int{10, 30, 100, 300, 1000},
			Run: func(size int, effort Effort) (Sample, error) {
				return pushSample(size, size, poolNodes, effort, server)
			},
		},
		{
			Name:      "push-pool",
			Operation: "one changed weight sent to one sidecar, server's side, 100 sidecars",
			Size:      "nodes of the pool",
			Method:    Isolated,
			Sizes:     []int{10, 50, 200, 1000},
			Run: func(size int, effort Effort) (Sample, error) {
				return pushSample(size, poolSidecars, size, effort, server)
			},
		},
		{
			Name:      "push-accept",
			Operation: "one changed weight accepted by one sidecar, its side",
			Size:      "nodes of the pool",
			Method:    Isolated,
			Sizes:     []int{10, 50, 200, 1000},
			Run: func(size int, effort Effort) (Sample, error) {
				return pushSample(size, poolSidecars, size, effort, client)
			},
		},
	}
}
