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

// faultyNetwork is a server and sidecars with a network between them that delays, cuts and forgets, without sockets.
type faultyNetwork struct {
	t            *testing.T
	random       *rand.Rand
	now          float64
	server       *xds.Server
	sidecars     []*simulatedSidecar
	streams      map[uint64]*stream
	lastStreamID uint64
	lastNonce    int
	removedAt    map[string]int // by cluster and node: the nonce after which no sidecar may have it
	changes      int
	violations   []string
	joined       map[int]bool // and not bound yet
	bound        map[int]bool
}

type simulatedSidecar struct {
	*sidecar.ResourceCache
	number           int
	stream           *stream
	sent             map[string]bool // type, name and version that a server sent to it
	rejected         map[string]bool
	routesByRejected bool // routes by what it rejects: the checker has to see it
}

// stream is one connection; messages in flight arrive in order.
type stream struct {
	id        uint64
	sidecar   *simulatedSidecar
	requests  []proto.Message
	responses []proto.Message
	closed    bool
}

func newFaultyNetwork(t *testing.T, seed uint64, sidecars int) *faultyNetwork {
	w := &faultyNetwork{t: t, random: rand.New(rand.NewPCG(seed, 3)), streams: map[uint64]*stream{}, removedAt: map[string]int{}}
	w.restart()
	for k := range sidecars {
		h := &simulatedSidecar{number: k, sent: map[string]bool{}, rejected: map[string]bool{}}
		h.ResourceCache = &sidecar.ResourceCache{ID: fmt.Sprint("till-", k), Zone: "north", Delta: k%2 == 0}
		// Each sidecar rejects some contents, always the same ones.
		h.ExtraCheck = func(_ xds.ResourceType, _ string, body *anypb.Any) error {
			sum := fnv.New32a()
			sum.Write(body.GetValue())
			fmt.Fprint(sum, h.number)
			if sum.Sum32()%16 == 0 {
				return errors.New("not to my liking")
			}
			return nil
		}
		h.OnReject = func(r sidecar.RejectedResource) { h.rejected[versionKey(r.Type, r.Name, r.Version)] = true }
		w.sidecars = append(w.sidecars, h)
	}
	return w
}

func versionKey(kind xds.ResourceType, name, version string) string {
	return fmt.Sprint(kind, " ", name, " ", version)
}

// restart is a controller that dies and comes back: it knows neither sidecars nor nonces.
func (w *faultyNetwork) restart() {
	for _, s := range w.streams {
		s.closed = true
	}
	clear(w.streams)
	w.joined, w.bound = map[int]bool{}, map[int]bool{}
	compiler := xds.NewCompiler([]xds.Route{{Name: "quote", Prefix: "/quote", TimeLimit: time.Second},
		{Name: "issue", Prefix: "/issue", Mutating: true, TimeLimit: time.Second}}, time.Second)
	for n := range 8 {
		compiler.SetAddress(fmt.Sprint("s-", n), "north", xds.Address{Host: "127.0.0.1", Port: uint32(9000 + n)})
	}
	w.server = xds.NewServer(compiler, w, 100)
	var batch []controller.Command
	for _, route := range []string{"quote", "issue"} {
		batch = append(batch, controller.Command{Kind: controller.SetAdmission, Table: planner.AllTables, Route: route, Value: 1,
			Retry: planner.RetryIfNotSent})
	}
	for table := range 2 {
		batch = append(batch, controller.Command{Kind: controller.SetWeight, Table: table, Node: fmt.Sprint("s-", table), Value: 1})
	}
	w.lastNonce++
	w.applyCommands(batch)
}

func (w *faultyNetwork) applyCommands(batch []controller.Command) {
	w.changes++
	if err := w.server.ApplyCommands(w.now, append(batch, controller.Command{Kind: controller.RequestAck, Nonce: w.lastNonce})); err != nil {
		w.t.Fatal(err)
	}
}

func (w *faultyNetwork) Send(id uint64, r *discoveryv3.DiscoveryResponse) {
	if s := w.streams[id]; s != nil {
		s.responses = append(s.responses, r)
		kind, _ := xds.ParseTypeURL(r.GetTypeUrl())
		for _, body := range r.GetResources() {
			m, _ := body.UnmarshalNew()
			name := nameOf(m)
			one, err := xds.NewResource(kind, name, m)
			if err != nil {
				w.t.Fatal(err)
			}
			s.sidecar.sent[versionKey(kind, name, one.Version)] = true
		}
	}
}

func nameOf(m proto.Message) string {
	if named, ok := m.(interface{ GetName() string }); ok {
		return named.GetName()
	}
	return m.(interface{ GetClusterName() string }).GetClusterName()
}

func (w *faultyNetwork) SendDelta(id uint64, r *discoveryv3.DeltaDiscoveryResponse) {
	if s := w.streams[id]; s != nil {
		s.responses = append(s.responses, r)
		kind, _ := xds.ParseTypeURL(r.GetTypeUrl())
		for _, one := range r.GetResources() {
			s.sidecar.sent[versionKey(kind, one.GetName(), one.GetVersion())] = true
		}
	}
}

func (w *faultyNetwork) CloseStream(id uint64, _ string) {
	if s := w.streams[id]; s != nil {
		s.closed = true
		delete(w.streams, id)
	}
}

func (w *faultyNetwork) Joined(proxy int, _ string) {
	w.joined[proxy] = true
}

func (w *faultyNetwork) Left(proxy int) {
	delete(w.joined, proxy)
	delete(w.bound, proxy)
}

// Acknowledged checks that a sidecar that acknowledged a nonce routes to no node that was removed up to it.
func (w *faultyNetwork) Acknowledged(proxy, mark int) {
	for _, h := range w.sidecars {
		if n, known := w.server.Number(h.ID); !known || n != proxy {
			continue
		}
		for cluster, lines := range h.Table().Clusters {
			for _, l := range lines {
				if at, gone := w.removedAt[cluster+" "+l.Node]; gone && at <= mark && w.routesUse(h, cluster) {
					w.addViolation("%s confirmed %d and has %s in %s, gone since %d", h.ID, mark, l.Node, cluster, at)
				}
			}
		}
	}
}

func (w *faultyNetwork) routesUse(h *simulatedSidecar, cluster string) bool {
	for _, r := range h.Table().Routes {
		if r.Cluster == cluster {
			return true
		}
	}
	return false
}

func (w *faultyNetwork) Rejected(string, xds.ResourceType, string) {}

func (w *faultyNetwork) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%.2f: ", w.now)+fmt.Sprintf(format, args...))
}

// dial begins a stream; messages of the one before may still be in flight.
func (w *faultyNetwork) dial(h *simulatedSidecar) {
	w.lastStreamID++
	s := &stream{id: w.lastStreamID, sidecar: h}
	h.stream = s
	if h.Delta {
		for _, r := range h.BeginDelta() {
			s.requests = append(s.requests, r)
		}
	} else {
		for _, r := range h.BeginStateOfTheWorld() {
			s.requests = append(s.requests, r)
		}
	}
	w.streams[s.id] = s
}

// deliver delivers one message of a stream.
func (w *faultyNetwork) deliver(s *stream, up bool) {
	if s.closed {
		return
	}
	if up && len(s.requests) > 0 {
		m := s.requests[0]
		s.requests = s.requests[1:]
		err := error(nil)
		switch r := m.(type) {
		case *discoveryv3.DiscoveryRequest:
			if r.GetNode() != nil && w.unopened(s.id) {
				err = w.server.Open(w.now, s.id, false, r.GetNode().GetId(), "north")
			}
			if err == nil {
				err = w.server.HandleStateOfTheWorld(w.now, s.id, r)
			}
		case *discoveryv3.DeltaDiscoveryRequest:
			if r.GetNode() != nil && w.unopened(s.id) {
				err = w.server.Open(w.now, s.id, true, r.GetNode().GetId(), "north")
			}
			if err == nil {
				err = w.server.HandleDelta(w.now, s.id, r)
			}
		}
		if err != nil {
			w.t.Fatal(err)
		}
	}
	if !up && len(s.responses) > 0 && s.sidecar.stream == s {
		m := s.responses[0]
		s.responses = s.responses[1:]
		h := s.sidecar
		switch r := m.(type) {
		case *discoveryv3.DiscoveryResponse:
			out, err := h.HandleStateOfTheWorld(r)
			if err != nil {
				w.t.Fatal(err)
			}
			for _, answer := range out {
				if h.routesByRejected {
					answer.ErrorDetail = nil
				}
				s.requests = append(s.requests, answer)
			}
		case *discoveryv3.DeltaDiscoveryResponse:
			out, err := h.HandleDelta(r)
			if err != nil {
				w.t.Fatal(err)
			}
			for _, answer := range out {
				if h.routesByRejected {
					answer.ErrorDetail = nil
				}
				s.requests = append(s.requests, answer)
			}
		}
	}
}

func (w *faultyNetwork) unopened(id uint64) bool { return !w.server.Connected(id) }

// bindJoined binds those that joined to a table, as the planner does.
func (w *faultyNetwork) bindJoined() {
	var batch []controller.Command
	for proxy := range len(w.sidecars) {
		if w.joined[proxy] {
			delete(w.joined, proxy)
			w.bound[proxy] = true
			batch = append(batch, controller.Command{Kind: controller.BindProxy, Proxy: proxy, Table: proxy % 2})
		}
	}
	if len(batch) > 0 {
		w.lastNonce++
		w.applyCommands(batch)
	}
}

// changeTables changes a weight, an admission level or a binding.
func (w *faultyNetwork) changeTables() {
	w.lastNonce++
	table, node := w.random.IntN(2), w.random.IntN(8)
	name, cluster := fmt.Sprint("s-", node), fmt.Sprint("pool-", table)
	switch w.random.IntN(6) {
	case 0: // the first two stay, one a table: no sidecar is left without a node
		if node > 1 {
			w.removedAt[cluster+" "+name] = w.lastNonce
			w.applyCommands([]controller.Command{{Kind: controller.SetWeight, Table: table, Node: name}})
			return
		}
		fallthrough
	case 1, 2:
		delete(w.removedAt, cluster+" "+name)
		w.applyCommands([]controller.Command{{Kind: controller.SetWeight, Table: table, Node: name, Value: 0.1 + w.random.Float64()}})
	case 3, 4:
		w.applyCommands([]controller.Command{{Kind: controller.SetAdmission, Table: planner.AllTables, Route: "issue",
			Value: w.random.Float64(), Retry: planner.RetryPolicy(w.random.IntN(2))}})
	case 5: // a sidecar moves to the other table
		if proxy := w.random.IntN(len(w.sidecars)); w.bound[proxy] {
			w.applyCommands([]controller.Command{{Kind: controller.BindProxy, Proxy: proxy, Table: table}})
		}
	}
}

// checkRouting checks the rule: no sidecar routes by a version that it rejected or that was never sent to it, and none has a
// route to a cluster that it has not accepted.
func (w *faultyNetwork) checkRouting(h *simulatedSidecar) {
	table := h.Table()
	for kind, versions := range table.Versions {
		for name, version := range versions {
			k := versionKey(xds.ResourceType(kind), name, version)
			if h.rejected[k] {
				w.addViolation("%s routes by %s, which it refused", h.ID, k)
			}
			if !h.sent[k] {
				w.addViolation("%s routes by %s, which was never sent", h.ID, k)
			}
		}
	}
	for _, r := range table.Routes {
		if _, held := table.Clusters[r.Cluster]; r.Cluster != "" && !held {
			w.addViolation("%s has a route to %s, which it does not hold", h.ID, r.Cluster)
		}
	}
}

// play lets random events happen and checks the rule after each.
func (w *faultyNetwork) play(pushes int) {
	for w.changes < pushes && len(w.violations) == 0 {
		w.now += 0.01
		h := w.sidecars[w.random.IntN(len(w.sidecars))]
		switch w.random.IntN(40) {
		case 0, 1, 2, 3, 4, 5:
			w.changeTables()
		case 6: // the stream breaks; the server notices now or when the next one begins
			if s := h.stream; s != nil && !s.closed && w.random.IntN(2) == 0 {
				w.server.Close(w.now, s.id)
				s.closed = true
			}
			w.dial(h)
		case 7: // the sidecar restarts, with what it had accepted or, its disk lost, with nothing
			if w.random.IntN(4) == 0 {
				h.Clear()
			}
			w.dial(h)
		case 8:
			if w.random.IntN(40) == 0 {
				w.restart()
			}
		case 9:
			if s := h.stream; s != nil && w.random.IntN(20) == 0 { // an answer to no pending response
				nonce := fmt.Sprint(w.random.IntN(50), "-", w.random.IntN(4), "-", w.random.IntN(50))
				kind := xds.ResourceType(w.random.IntN(int(xds.NumResourceTypes)))
				if h.Delta {
					s.requests = append(s.requests, &discoveryv3.DeltaDiscoveryRequest{TypeUrl: kind.TypeURL(), ResponseNonce: nonce})
				}
			}
		default:
			if h.stream == nil || h.stream.closed {
				w.dial(h)
			}
			w.deliver(h.stream, w.random.IntN(2) == 0)
		}
		w.bindJoined()
		w.checkRouting(h)
	}
}

// settle lets all faults end; it returns the steps until every sidecar has its target but for what it rejected.
func (w *faultyNetwork) settle() (steps int) {
	for ; steps < 200; steps++ {
		moved := false
		for _, h := range w.sidecars {
			if h.stream == nil || h.stream.closed {
				w.dial(h)
			}
			s := h.stream
			moved = moved || len(s.requests)+len(s.responses) > 0
			w.deliver(s, true)
			w.deliver(s, false)
			w.checkRouting(h)
		}
		w.bindJoined()
		if !moved {
			return steps
		}
	}
	return steps
}

// blocked tells whether a sidecar rejected something that other resources wait for.
func (w *faultyNetwork) blocked(c xds.SidecarStatus) bool {
	for _, s := range c.Resources {
		if s.Rejection != nil {
			return true
		}
	}
	return false
}
