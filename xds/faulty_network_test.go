package xds_test

import (
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/sidecar"
	"harehook.dev/harehook/xds"
)

// faultyNetwork simulates a server, sidecars, and a network between them that delays messages and breaks streams,
// without sockets. Servers and sidecars can restart and lose their state.
type faultyNetwork struct {
	t            *testing.T
	random       *rand.Rand
	now          float64
	server       *xds.Server
	sidecars     []*simulatedSidecar
	streams      map[uint64]*stream
	lastStreamID uint64
	lastNonce    int
	removedAt    map[string]int // by cluster and node: the nonce with which the node was removed
	changes      int
	violations   []string
	joined       map[int]bool // sidecars that are not bound to a table yet, by number
	bound        map[int]bool
}

type simulatedSidecar struct {
	*sidecar.ResourceCache
	number               int
	stream               *stream
	sent                 map[string]bool // version keys of the resources that a server sent
	rejected             map[string]bool
	acknowledgesRejected bool // planted fault: answers invalid responses with an ACK
}

// stream is one stream with its messages in flight, which arrive in order.
type stream struct {
	id        uint64
	sidecar   *simulatedSidecar
	requests  []proto.Message
	responses []proto.Message
	closed    bool
}

func newFaultyNetwork(t *testing.T, seed uint64, sidecars int) *faultyNetwork {
	network := &faultyNetwork{t: t, random: rand.New(rand.NewPCG(seed, 3)), streams: map[uint64]*stream{}, removedAt: map[string]int{}}
	network.restart()
	for k := range sidecars {
		client := &simulatedSidecar{number: k, sent: map[string]bool{}, rejected: map[string]bool{}}
		client.ResourceCache = &sidecar.ResourceCache{ID: fmt.Sprint("sidecar-", k), Zone: "north", Delta: k%2 == 0}
		// Each sidecar rejects 1 in 16 contents, always the same ones.
		client.ExtraCheck = func(_ xds.ResourceType, _ string, body *anypb.Any) error {
			sum := fnv.New32a()
			sum.Write(body.GetValue())
			fmt.Fprint(sum, client.number)
			if sum.Sum32()%16 == 0 {
				return errors.New("rejected by this test")
			}
			return nil
		}
		client.OnReject = func(r sidecar.RejectedResource) { client.rejected[versionKey(r.Type, r.Name, r.Version)] = true }
		network.sidecars = append(network.sidecars, client)
	}
	return network
}

func versionKey(resourceType xds.ResourceType, name, version string) string {
	return fmt.Sprint(resourceType, " ", name, " ", version)
}

// restart replaces the server with a new one that has no sidecars and no pending nonces.
func (network *faultyNetwork) restart() {
	for _, s := range network.streams {
		s.closed = true
	}
	clear(network.streams)
	network.joined, network.bound = map[int]bool{}, map[int]bool{}
	compiler := xds.NewCompiler([]xds.Route{{Name: "quote", Prefix: "/quote", TimeLimit: time.Second},
		{Name: "issue", Prefix: "/issue", Mutating: true, TimeLimit: time.Second}}, time.Second)
	for n := range 8 {
		compiler.SetAddress(fmt.Sprint("s-", n), "north", xds.Address{Host: "127.0.0.1", Port: uint32(9000 + n)})
	}
	network.server = xds.NewServer(compiler, network, 100)
	var batch []controller.Command
	for _, route := range []string{"quote", "issue"} {
		batch = append(batch, controller.Command{Kind: controller.SetAdmission, Table: planner.AllTables, Route: route, Value: 1,
			Retry: planner.RetryIfNotSent})
	}
	for table := range 2 {
		batch = append(batch, controller.Command{Kind: controller.SetWeight, Table: table, Node: fmt.Sprint("s-", table), Value: 1})
	}
	network.lastNonce++
	network.applyCommands(batch)
}

func (network *faultyNetwork) applyCommands(batch []controller.Command) {
	network.changes++
	if err := network.server.ApplyCommands(network.now, append(batch, controller.Command{Kind: controller.RequestAck, Nonce: network.lastNonce})); err != nil {
		network.t.Fatal(err)
	}
}

func (network *faultyNetwork) Send(id uint64, r *discoveryv3.DiscoveryResponse) {
	if s := network.streams[id]; s != nil {
		s.responses = append(s.responses, r)
		resourceType, _ := xds.ParseTypeURL(r.GetTypeUrl())
		for _, body := range r.GetResources() {
			message, _ := body.UnmarshalNew()
			name := nameOf(message)
			resource, err := xds.NewResource(resourceType, name, message)
			if err != nil {
				network.t.Fatal(err)
			}
			s.sidecar.sent[versionKey(resourceType, name, resource.Version)] = true
		}
	}
}

func nameOf(message proto.Message) string {
	if named, ok := message.(interface{ GetName() string }); ok {
		return named.GetName()
	}
	return message.(interface{ GetClusterName() string }).GetClusterName()
}

func (network *faultyNetwork) SendDelta(id uint64, r *discoveryv3.DeltaDiscoveryResponse) {
	if s := network.streams[id]; s != nil {
		s.responses = append(s.responses, r)
		resourceType, _ := xds.ParseTypeURL(r.GetTypeUrl())
		for _, resource := range r.GetResources() {
			s.sidecar.sent[versionKey(resourceType, resource.GetName(), resource.GetVersion())] = true
		}
	}
}

func (network *faultyNetwork) CloseStream(id uint64, _ string) {
	if s := network.streams[id]; s != nil {
		s.closed = true
		delete(network.streams, id)
	}
}

func (network *faultyNetwork) Joined(proxy int, _ string) {
	network.joined[proxy] = true
}

func (network *faultyNetwork) Left(proxy int) {
	delete(network.joined, proxy)
	delete(network.bound, proxy)
}

// Acknowledged checks that a sidecar does not route to a node that was removed at or before the acknowledged nonce.
func (network *faultyNetwork) Acknowledged(proxy, nonce int) {
	for _, client := range network.sidecars {
		if n, known := network.server.Number(client.ID); !known || n != proxy {
			continue
		}
		for cluster, nodes := range client.Table().Clusters {
			for _, endpoint := range nodes {
				if removalNonce, removed := network.removedAt[cluster+" "+endpoint.Node]; removed && removalNonce <= nonce && network.routesUse(client, cluster) {
					network.addViolation("%s acknowledged nonce %d, but routes to %s in %s, which was removed at nonce %d", client.ID, nonce, endpoint.Node, cluster, removalNonce)
				}
			}
		}
	}
}

func (network *faultyNetwork) routesUse(client *simulatedSidecar, cluster string) bool {
	for _, r := range client.Table().Routes {
		if r.Cluster == cluster {
			return true
		}
	}
	return false
}

func (network *faultyNetwork) Rejected(string, xds.ResourceType, string) {}

func (network *faultyNetwork) addViolation(format string, args ...any) {
	network.violations = append(network.violations, fmt.Sprintf("%.2f: ", network.now)+fmt.Sprintf(format, args...))
}

// dial opens a stream for a sidecar. Messages of its previous stream may still be in flight.
func (network *faultyNetwork) dial(client *simulatedSidecar) {
	network.lastStreamID++
	s := &stream{id: network.lastStreamID, sidecar: client}
	client.stream = s
	if client.Delta {
		for _, r := range client.BeginDelta() {
			s.requests = append(s.requests, r)
		}
	} else {
		for _, r := range client.BeginStateOfTheWorld() {
			s.requests = append(s.requests, r)
		}
	}
	network.streams[s.id] = s
}

// deliver delivers the next message of a stream, to the server if toServer is set and otherwise to the sidecar.
func (network *faultyNetwork) deliver(s *stream, toServer bool) {
	if s.closed {
		return
	}
	if toServer && len(s.requests) > 0 {
		message := s.requests[0]
		s.requests = s.requests[1:]
		err := error(nil)
		switch r := message.(type) {
		case *discoveryv3.DiscoveryRequest:
			if r.GetNode() != nil && network.notOpened(s.id) {
				err = network.server.Open(network.now, s.id, false, r.GetNode().GetId(), "north")
			}
			if err == nil {
				err = network.server.HandleStateOfTheWorld(network.now, s.id, r)
			}
		case *discoveryv3.DeltaDiscoveryRequest:
			if r.GetNode() != nil && network.notOpened(s.id) {
				err = network.server.Open(network.now, s.id, true, r.GetNode().GetId(), "north")
			}
			if err == nil {
				err = network.server.HandleDelta(network.now, s.id, r)
			}
		}
		if err != nil {
			network.t.Fatal(err)
		}
	}
	if !toServer && len(s.responses) > 0 && s.sidecar.stream == s {
		message := s.responses[0]
		s.responses = s.responses[1:]
		client := s.sidecar
		switch r := message.(type) {
		case *discoveryv3.DiscoveryResponse:
			answers, err := client.HandleStateOfTheWorld(r)
			if err != nil {
				network.t.Fatal(err)
			}
			for _, answer := range answers {
				if client.acknowledgesRejected {
					answer.ErrorDetail = nil
				}
				s.requests = append(s.requests, answer)
			}
		case *discoveryv3.DeltaDiscoveryResponse:
			answers, err := client.HandleDelta(r)
			if err != nil {
				network.t.Fatal(err)
			}
			for _, answer := range answers {
				if client.acknowledgesRejected {
					answer.ErrorDetail = nil
				}
				s.requests = append(s.requests, answer)
			}
		}
	}
}

func (network *faultyNetwork) notOpened(id uint64) bool { return !network.server.Connected(id) }

// bindJoined binds the sidecars that joined to a table, as the planner does.
func (network *faultyNetwork) bindJoined() {
	var batch []controller.Command
	for proxy := range len(network.sidecars) {
		if network.joined[proxy] {
			delete(network.joined, proxy)
			network.bound[proxy] = true
			batch = append(batch, controller.Command{Kind: controller.BindProxy, Proxy: proxy, Table: proxy % 2})
		}
	}
	if len(batch) > 0 {
		network.lastNonce++
		network.applyCommands(batch)
	}
}

// changeTables changes a weight, an admission level or a binding.
func (network *faultyNetwork) changeTables() {
	network.lastNonce++
	table, node := network.random.IntN(2), network.random.IntN(8)
	name, cluster := fmt.Sprint("s-", node), fmt.Sprint("pool-", table)
	switch network.random.IntN(6) {
	case 0: // nodes 0 and 1 stay, one for each table, so that no sidecar is left without a node
		if node > 1 {
			network.removedAt[cluster+" "+name] = network.lastNonce
			network.applyCommands([]controller.Command{{Kind: controller.SetWeight, Table: table, Node: name}})
			return
		}
		fallthrough
	case 1, 2:
		delete(network.removedAt, cluster+" "+name)
		network.applyCommands([]controller.Command{{Kind: controller.SetWeight, Table: table, Node: name, Value: 0.1 + network.random.Float64()}})
	case 3, 4:
		network.applyCommands([]controller.Command{{Kind: controller.SetAdmission, Table: planner.AllTables, Route: "issue",
			Value: network.random.Float64(), Retry: planner.RetryPolicy(network.random.IntN(2))}})
	case 5: // bind a sidecar to a table, possibly the other one
		if proxy := network.random.IntN(len(network.sidecars)); network.bound[proxy] {
			network.applyCommands([]controller.Command{{Kind: controller.BindProxy, Proxy: proxy, Table: table}})
		}
	}
}

// checkRouting checks that a sidecar does not route by a version that it rejected or that was never sent to it, and has
// no route to a cluster that it has not accepted.
func (network *faultyNetwork) checkRouting(client *simulatedSidecar) {
	table := client.Table()
	for resourceType, versions := range table.Versions {
		for name, version := range versions {
			key := versionKey(xds.ResourceType(resourceType), name, version)
			if client.rejected[key] {
				network.addViolation("%s routes by %s, which it rejected", client.ID, key)
			}
			if !client.sent[key] {
				network.addViolation("%s routes by %s, which was never sent", client.ID, key)
			}
		}
	}
	for _, r := range table.Routes {
		if _, hasCluster := table.Clusters[r.Cluster]; r.Cluster != "" && !hasCluster {
			network.addViolation("%s has a route to %s, which it has not accepted", client.ID, r.Cluster)
		}
	}
}

// run applies random events and checks the routing of a sidecar after each, until the given number of changes or the
// first violation.
func (network *faultyNetwork) run(maxChanges int) {
	for network.changes < maxChanges && len(network.violations) == 0 {
		network.now += 0.01
		client := network.sidecars[network.random.IntN(len(network.sidecars))]
		switch network.random.IntN(40) {
		case 0, 1, 2, 3, 4, 5:
			network.changeTables()
		case 6: // the stream breaks; the server detects it now or when the next one opens
			if s := client.stream; s != nil && !s.closed && network.random.IntN(2) == 0 {
				network.server.Close(network.now, s.id)
				s.closed = true
			}
			network.dial(client)
		case 7: // the sidecar restarts with its accepted resources, or with none because its disk was lost
			if network.random.IntN(4) == 0 {
				client.Clear()
			}
			network.dial(client)
		case 8:
			if network.random.IntN(40) == 0 {
				network.restart()
			}
		case 9:
			if s := client.stream; s != nil && network.random.IntN(20) == 0 { // an unmatched answer
				nonce := fmt.Sprint(network.random.IntN(50), "-", network.random.IntN(4), "-", network.random.IntN(50))
				resourceType := xds.ResourceType(network.random.IntN(int(xds.NumResourceTypes)))
				if client.Delta {
					s.requests = append(s.requests, &discoveryv3.DeltaDiscoveryRequest{TypeUrl: resourceType.TypeURL(), ResponseNonce: nonce})
				}
			}
		default:
			if client.stream == nil || client.stream.closed {
				network.dial(client)
			}
			network.deliver(client.stream, network.random.IntN(2) == 0)
		}
		network.bindJoined()
		network.checkRouting(client)
	}
}

// deliverAll delivers all messages without faults and returns the number of steps until no message is in flight, at
// most 200.
func (network *faultyNetwork) deliverAll() (steps int) {
	for ; steps < 200; steps++ {
		moved := false
		for _, client := range network.sidecars {
			if client.stream == nil || client.stream.closed {
				network.dial(client)
			}
			s := client.stream
			moved = moved || len(s.requests)+len(s.responses) > 0
			network.deliver(s, true)
			network.deliver(s, false)
			network.checkRouting(client)
		}
		network.bindJoined()
		if !moved {
			return steps
		}
	}
	return steps
}

// hasRejection reports whether a sidecar has rejected a resource, for which its other resources may wait.
func (network *faultyNetwork) hasRejection(c xds.SidecarStatus) bool {
	for _, s := range c.Resources {
		if s.Rejection != nil {
			return true
		}
	}
	return false
}
