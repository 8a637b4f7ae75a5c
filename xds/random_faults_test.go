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

// world is a server and sidecars with a network between them that delays, cuts and forgets, without sockets.
type world struct {
	t       *testing.T
	chance  *rand.Rand
	now     float64
	server  *xds.Server
	holders []*holder
	streams map[uint64]*stream
	ids     uint64
	marks   int
	drained map[string]int // node: the mark after which no one may hold it
	pushes  int
	faults  []string
	joined  map[int]bool // and not bound yet
	on      map[int]bool // bound
}

type holder struct {
	*sidecar.ResourceCache
	number  int
	stream  *stream
	sent    map[string]bool // kind, name and version that a server sent to it
	refused map[string]bool
	planted bool // routes by what it refuses: the checker must see it
}

// stream is one connection; what is on its way arrives in order.
type stream struct {
	id     uint64
	holder *holder
	up     []proto.Message
	down   []proto.Message
	dead   bool
}

func newWorld(t *testing.T, seed uint64, sidecars int) *world {
	w := &world{t: t, chance: rand.New(rand.NewPCG(seed, 3)), streams: map[uint64]*stream{}, drained: map[string]int{}}
	w.restart()
	for k := range sidecars {
		h := &holder{number: k, sent: map[string]bool{}, refused: map[string]bool{}}
		h.ResourceCache = &sidecar.ResourceCache{ID: fmt.Sprint("till-", k), Zone: "north", Delta: k%2 == 0}
		// Each sidecar turns down some contents, always the same ones.
		h.ExtraCheck = func(kind xds.ResourceType, name string, body *anypb.Any) error {
			sum := fnv.New32a()
			sum.Write(body.GetValue())
			fmt.Fprint(sum, h.number)
			if sum.Sum32()%16 == 0 {
				return errors.New("not to my liking")
			}
			return nil
		}
		h.OnReject = func(r sidecar.RejectedResource) { h.refused[key(r.Type, r.Name, r.Version)] = true }
		w.holders = append(w.holders, h)
	}
	return w
}

func key(kind xds.ResourceType, name, version string) string {
	return fmt.Sprint(kind, " ", name, " ", version)
}

// restart is a conductor that dies and comes back: it knows nothing of the sidecars or of marks.
func (w *world) restart() {
	for _, s := range w.streams {
		s.dead = true
	}
	clear(w.streams)
	w.joined, w.on = map[int]bool{}, map[int]bool{}
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
	w.marks++
	w.carry(batch)
}

func (w *world) carry(batch []controller.Command) {
	w.pushes++
	if err := w.server.ApplyCommands(w.now, append(batch, controller.Command{Kind: controller.RequestAck, Nonce: w.marks})); err != nil {
		w.t.Fatal(err)
	}
}

func (w *world) Send(id uint64, r *discoveryv3.DiscoveryResponse) {
	if s := w.streams[id]; s != nil {
		s.down = append(s.down, r)
		kind, _ := xds.ParseTypeURL(r.GetTypeUrl())
		for _, body := range r.GetResources() {
			m, _ := body.UnmarshalNew()
			name := nameOf(m)
			one, err := xds.NewResource(kind, name, m)
			if err != nil {
				w.t.Fatal(err)
			}
			s.holder.sent[key(kind, name, one.Version)] = true
		}
	}
}

func nameOf(m proto.Message) string {
	if named, ok := m.(interface{ GetName() string }); ok {
		return named.GetName()
	}
	return m.(interface{ GetClusterName() string }).GetClusterName()
}

func (w *world) SendDelta(id uint64, r *discoveryv3.DeltaDiscoveryResponse) {
	if s := w.streams[id]; s != nil {
		s.down = append(s.down, r)
		kind, _ := xds.ParseTypeURL(r.GetTypeUrl())
		for _, one := range r.GetResources() {
			s.holder.sent[key(kind, one.GetName(), one.GetVersion())] = true
		}
	}
}

func (w *world) CloseStream(id uint64, why string) {
	if s := w.streams[id]; s != nil {
		s.dead = true
		delete(w.streams, id)
	}
}

func (w *world) Joined(proxy int, zone string) {
	w.joined[proxy] = true
}
func (w *world) Left(proxy int) {
	delete(w.joined, proxy)
	delete(w.on, proxy)
}

// Acknowledged checks that a sidecar that confirmed a mark routes to no node that was taken away up to it.
func (w *world) Acknowledged(proxy, mark int) {
	for _, h := range w.holders {
		if n, known := w.server.Number(h.ID); !known || n != proxy {
			continue
		}
		for cluster, lines := range h.Table().Clusters {
			for _, l := range lines {
				if at, gone := w.drained[cluster+" "+l.Node]; gone && at <= mark && w.uses(h, cluster) {
					w.fault("%s confirmed %d and has %s in %s, gone since %d", h.ID, mark, l.Node, cluster, at)
				}
			}
		}
	}
}

func (w *world) uses(h *holder, cluster string) bool {
	for _, r := range h.Table().Routes {
		if r.Cluster == cluster {
			return true
		}
	}
	return false
}

func (w *world) Rejected(string, xds.ResourceType, string) {}

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%.2f: ", w.now)+fmt.Sprintf(format, args...))
}

// dial begins a stream; the one before may still be under way.
func (w *world) dial(h *holder) {
	w.ids++
	s := &stream{id: w.ids, holder: h}
	h.stream = s
	if h.Delta {
		for _, r := range h.BeginDelta() {
			s.up = append(s.up, r)
		}
	} else {
		for _, r := range h.BeginStateOfTheWorld() {
			s.up = append(s.up, r)
		}
	}
	w.streams[s.id] = s
}

// arrive brings one message of a stream to its end.
func (w *world) arrive(s *stream, up bool) {
	if s.dead {
		return
	}
	if up && len(s.up) > 0 {
		m := s.up[0]
		s.up = s.up[1:]
		err := error(nil)
		switch r := m.(type) {
		case *discoveryv3.DiscoveryRequest:
			if r.GetNode() != nil && w.new(s.id) {
				err = w.server.Open(w.now, s.id, false, r.GetNode().GetId(), "north")
			}
			if err == nil {
				err = w.server.HandleStateOfTheWorld(w.now, s.id, r)
			}
		case *discoveryv3.DeltaDiscoveryRequest:
			if r.GetNode() != nil && w.new(s.id) {
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
	if !up && len(s.down) > 0 && s.holder.stream == s {
		m := s.down[0]
		s.down = s.down[1:]
		h := s.holder
		switch r := m.(type) {
		case *discoveryv3.DiscoveryResponse:
			out, err := h.HandleStateOfTheWorld(r)
			if err != nil {
				w.t.Fatal(err)
			}
			for _, answer := range out {
				if h.planted {
					answer.ErrorDetail = nil
				}
				s.up = append(s.up, answer)
			}
		case *discoveryv3.DeltaDiscoveryResponse:
			out, err := h.HandleDelta(r)
			if err != nil {
				w.t.Fatal(err)
			}
			for _, answer := range out {
				if h.planted {
					answer.ErrorDetail = nil
				}
				s.up = append(s.up, answer)
			}
		}
	}
}

func (w *world) new(id uint64) bool { return !w.server.Connected(id) }

// bind puts those that joined on a table, as the module does.
func (w *world) bind() {
	var batch []controller.Command
	for proxy := range len(w.holders) {
		if w.joined[proxy] {
			delete(w.joined, proxy)
			w.on[proxy] = true
			batch = append(batch, controller.Command{Kind: controller.BindProxy, Proxy: proxy, Table: proxy % 2})
		}
	}
	if len(batch) > 0 {
		w.marks++
		w.carry(batch)
	}
}

// push changes something.
func (w *world) push() {
	w.marks++
	table, node := w.chance.IntN(2), w.chance.IntN(8)
	name, cluster := fmt.Sprint("s-", node), fmt.Sprint("pool-", table)
	switch w.chance.IntN(6) {
	case 0: // the first two stay, one a table: no one is left without a node
		if node > 1 {
			w.drained[cluster+" "+name] = w.marks
			w.carry([]controller.Command{{Kind: controller.SetWeight, Table: table, Node: name}})
			return
		}
		fallthrough
	case 1, 2:
		delete(w.drained, cluster+" "+name)
		w.carry([]controller.Command{{Kind: controller.SetWeight, Table: table, Node: name, Value: 0.1 + w.chance.Float64()}})
	case 3, 4:
		w.carry([]controller.Command{{Kind: controller.SetAdmission, Table: planner.AllTables, Route: "issue",
			Value: w.chance.Float64(), Retry: planner.RetryPolicy(w.chance.IntN(2))}})
	case 5: // a sidecar moves to the other table
		if proxy := w.chance.IntN(len(w.holders)); w.bound(proxy) {
			w.carry([]controller.Command{{Kind: controller.BindProxy, Proxy: proxy, Table: table}})
		}
	}
}

func (w *world) bound(proxy int) bool { return w.on[proxy] }

// check is the rule: no sidecar routes by a version that it refused or that was never sent to it, and none has a
// route to a cluster that it does not hold.
func (w *world) check(h *holder) {
	table := h.Table()
	for kind, versions := range table.Versions {
		for name, version := range versions {
			k := key(xds.ResourceType(kind), name, version)
			if h.refused[k] {
				w.fault("%s routes by %s, which it refused", h.ID, k)
			}
			if !h.sent[k] {
				w.fault("%s routes by %s, which was never sent", h.ID, k)
			}
		}
	}
	for _, r := range table.Routes {
		if _, held := table.Clusters[r.Cluster]; r.Cluster != "" && !held {
			w.fault("%s has a route to %s, which it does not hold", h.ID, r.Cluster)
		}
	}
}

// play lets things happen and checks after each.
func (w *world) play(pushes int) {
	for w.pushes < pushes && len(w.faults) == 0 {
		w.now += 0.01
		h := w.holders[w.chance.IntN(len(w.holders))]
		switch w.chance.IntN(40) {
		case 0, 1, 2, 3, 4, 5:
			w.push()
		case 6: // the stream breaks; the server hears of it now or when the next one begins
			if s := h.stream; s != nil && !s.dead && w.chance.IntN(2) == 0 {
				w.server.Close(w.now, s.id)
				s.dead = true
			}
			w.dial(h)
		case 7: // the sidecar restarts, with what it held or, its disk lost, with nothing
			if w.chance.IntN(4) == 0 {
				h.Clear()
			}
			w.dial(h)
		case 8:
			if w.chance.IntN(40) == 0 {
				w.restart()
			}
		case 9:
			if s := h.stream; s != nil && w.chance.IntN(20) == 0 { // an answer that no one waits for
				nonce := fmt.Sprint(w.chance.IntN(50), "-", w.chance.IntN(4), "-", w.chance.IntN(50))
				kind := xds.ResourceType(w.chance.IntN(int(xds.NumResourceTypes)))
				if h.Delta {
					s.up = append(s.up, &discoveryv3.DeltaDiscoveryRequest{TypeUrl: kind.TypeURL(), ResponseNonce: nonce})
				}
			}
		default:
			if h.stream == nil || h.stream.dead {
				w.dial(h)
			}
			w.arrive(h.stream, w.chance.IntN(2) == 0)
		}
		w.bind()
		w.check(h)
	}
}

// settle lets all faults end; it gives the steps until every sidecar holds what it is to hold but for what it refused.
func (w *world) settle() (steps int) {
	for ; steps < 200; steps++ {
		moved := false
		for _, h := range w.holders {
			if h.stream == nil || h.stream.dead {
				w.dial(h)
			}
			s := h.stream
			moved = moved || len(s.up)+len(s.down) > 0
			w.arrive(s, true)
			w.arrive(s, false)
			w.check(h)
		}
		w.bind()
		if !moved {
			return steps
		}
	}
	return steps
}

// Over at least ten thousand pushes with restarts on both sides, cuts, delays and refusals no sidecar ever routes by a
// version that it refused or was never sent, and once faults end all converge.
func TestNeverByARefusedVersion(t *testing.T) {
	total := 0
	for seed := range uint64(12) {
		w := newWorld(t, seed, 8)
		w.play(1000)
		steps := w.settle()
		total += w.pushes
		if steps >= 60 {
			w.fault("not settled after %d steps", steps)
		}
		for _, c := range w.server.Sidecars(w.now) {
			for _, s := range c.Resources {
				if s.Accepted != s.Target && s.Rejection == nil && s.Type != xds.Routes && s.Type != xds.Listeners && s.Target != "" && !w.blocked(c) {
					w.fault("%s holds %s of %s %s, not %s", c.ID, s.Accepted, s.Type, s.Name, s.Target)
				}
			}
		}
		for _, f := range w.faults {
			t.Fatalf("seed %d: %s", seed, f)
		}
	}
	if total < 10000 {
		t.Errorf("%d pushes only", total)
	}
}

// blocked tells whether a sidecar refused something that others wait for.
func (w *world) blocked(c xds.SidecarStatus) bool {
	for _, s := range c.Resources {
		if s.Rejection != nil {
			return true
		}
	}
	return false
}

// The checker sees a sidecar that says that it accepts what it refused, or that takes over what it refuses.
func TestCheckerSeesPlanted(t *testing.T) {
	w := newWorld(t, 1, 4)
	for _, h := range w.holders {
		refuse := h.ExtraCheck
		h.ExtraCheck = func(kind xds.ResourceType, name string, body *anypb.Any) error {
			if err := refuse(kind, name, body); err != nil && kind == xds.Endpoints {
				m, _ := body.UnmarshalNew()
				r, _ := xds.NewResource(kind, name, m)
				h.refused[key(kind, name, r.Version)] = true // refused, and taken over all the same
			}
			return nil
		}
	}
	w.play(1000)
	if len(w.faults) == 0 {
		t.Error("sidecars that route by what they refused were not seen")
	}
	w = newWorld(t, 1, 4)
	for _, h := range w.holders {
		h.planted = true
	}
	w.play(3000)
	if len(w.faults) == 0 {
		t.Error("a refusal told as an acceptance was not seen")
	}
}
