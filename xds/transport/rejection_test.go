package transport

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/types/known/anypb"

	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/sidecar"
	"harehook.dev/harehook/xds"
)

// rejectingSidecar is a sidecar that rejects some resources. Its routing table is checked after each response.
type rejectingSidecar struct {
	*sidecar.ResourceCache
	stateMutex sync.Mutex
	rejected   map[string]bool
	violations []string
	responses  int
}

func (p *rejectingSidecar) checkRouting() {
	p.responses++
	for resourceType, versions := range p.Table().Versions {
		for name, version := range versions {
			if p.rejected[fmt.Sprint(xds.ResourceType(resourceType), name, version)] {
				p.violations = append(p.violations, fmt.Sprintf("%s: got rejected version %s of %s in the routing table", p.ID, version, name))
			}
		}
	}
}

// runStreams runs one stream until it ends or ctx is done. A cancelled stream may still be read when the next one
// starts.
func (p *rejectingSidecar) runStreams(ctx context.Context, conn *grpc.ClientConn) {
	client := discoveryv3.NewAggregatedDiscoveryServiceClient(conn)
	if p.Delta {
		if s, err := client.DeltaAggregatedResources(ctx); err == nil {
			exchange(p, s, p.BeginDelta, p.HandleDelta)
		}
	} else if s, err := client.StreamAggregatedResources(ctx); err == nil {
		exchange(p, s, p.BeginStateOfTheWorld, p.HandleStateOfTheWorld)
	}
}

func exchange[Request, Response any](p *rejectingSidecar, s sidecar.Transport[Request, Response], begin func() []Request, take func(Response) ([]Request, error)) {
	p.stateMutex.Lock()
	first := begin()
	p.stateMutex.Unlock()
	sidecar.Exchange(s, first, nil, func(r Response) ([]Request, error) {
		p.stateMutex.Lock()
		defer p.stateMutex.Unlock()
		out, err := take(r)
		p.checkRouting()
		return out, err
	}, func() {})
}

// Tables change, sidecars reject some resources, and streams are cancelled at random times. No sidecar may route by a
// version that it has rejected. When no more streams are cancelled, all sidecars must converge, except for the
// resources that they rejected.
func TestRejectionsAndCutsOverLoopback(t *testing.T) {
	const sidecars, pushes = 40, 300
	server, address := startServer(t, sidecars)
	random := rand.New(rand.NewPCG(4, 2))
	all := make([]*rejectingSidecar, sidecars)
	stops := make([]context.CancelFunc, sidecars)
	var streams sync.WaitGroup
	begin := func(k int) {
		ctx, stop := context.WithCancel(context.Background())
		stops[k] = stop
		conn := dial(t, address)
		streams.Go(func() { all[k].runStreams(ctx, conn); conn.Close() })
	}
	for k := range all {
		p := &rejectingSidecar{rejected: map[string]bool{}}
		p.ResourceCache = &sidecar.ResourceCache{ID: fmt.Sprint("till-", k), Zone: "north", Delta: k%2 == 0,
			ExtraCheck: func(_ xds.ResourceType, _ string, body *anypb.Any) error {
				sum := fnv.New32a()
				sum.Write(body.GetValue())
				fmt.Fprint(sum, k)
				if sum.Sum32()%8 == 0 {
					return errors.New("rejected by the test")
				}
				return nil
			},
			OnReject: func(r sidecar.RejectedResource) { p.rejected[fmt.Sprint(r.Type, r.Name, r.Version)] = true }}
		all[k] = p
		begin(k)
	}
	waitFor(t, "all sidecars are known", func() bool { return knownSidecars(server) == sidecars })
	publishTable(server, sidecars, 20)
	for n := range pushes {
		server.Enqueue([]controller.Command{{Kind: controller.SetWeight, Node: fmt.Sprint("node-", random.IntN(20)), Value: random.Float64()},
			{Kind: controller.RequestAck, Nonce: n + 2}})
		server.call(func() {})
		// The delay only paces the changes. Nothing depends on it, because a stream sends the newest state.
		time.Sleep(4 * time.Millisecond)
		if k := random.IntN(sidecars); n%3 == 0 {
			stops[k]()
			begin(k)
		}
		if n%10 == 0 {
			bindAll(server, sidecars, n+2)
		}
	}
	waitFor(t, "all sidecars are connected again", func() bool { return connectedSidecars(server) == sidecars })
	bindAll(server, sidecars, pushes+10)
	waitFor(t, "all sidecars converge except for rejected resources", func() bool {
		n := 0
		// A cancelled stream may count as connected for a while; the next stream of the sidecar then joins only
		// afterwards.
		var joins []controller.Command
		defer func() {
			if len(joins) > 0 {
				// The planner also binds sidecars that join.
				server.Enqueue(append(joins, controller.Command{Kind: controller.RequestAck, Nonce: pushes + 10}))
			}
		}()
		server.call(func() {
			for _, s := range server.Streams.Sidecars(server.now()) {
				if s.Connected && !s.Bound {
					joins = append(joins, controller.Command{Kind: controller.BindProxy, Proxy: s.Number})
				}
				accepted, rejects := s.Bound && len(s.Resources) > 0, false
				for _, st := range s.Resources {
					accepted = accepted && st.Accepted == st.Target
					rejects = rejects || st.Rejection != nil
				}
				if accepted || rejects {
					n++
				}
			}
		})
		return n == sidecars
	})
	for _, stop := range stops {
		stop()
	}
	streams.Wait()
	got, refused := 0, 0
	for _, p := range all {
		got, refused = got+p.responses, refused+len(p.rejected)
		for _, fault := range p.violations {
			t.Error(fault)
		}
	}
	if got < 300 || refused < 30 {
		t.Errorf("got %d responses and %d rejections, want at least 300 and 30", got, refused)
	}
	t.Logf("%d responses, %d rejections", got, refused)
}
