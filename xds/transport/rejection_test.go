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

// rejectingSidecar is a sidecar that rejects some contents and whose routing is checked after each response.
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
				p.violations = append(p.violations, fmt.Sprintf("%s routes by %s of %s, which it rejected", p.ID, version, name))
			}
		}
	}
}

// runStreams runs one stream after the other until ctx ends. One that was cut may still be read when the next one begins.
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

// Tables change, sidecars reject some contents, and streams are cut at any time: no sidecar must route by a version that it
// rejected, and once the cuts end all have to converge but for what they rejected.
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
					return errors.New("rejected by this test")
				}
				return nil
			},
			OnReject: func(r sidecar.RejectedResource) { p.rejected[fmt.Sprint(r.Type, r.Name, r.Version)] = true }}
		all[k] = p
		begin(k)
	}
	waitFor(t, "all joined", func() bool { return knownSidecars(server) == sidecars })
	publishTable(server, sidecars, 20)
	for n := range pushes {
		server.Enqueue([]controller.Command{{Kind: controller.SetWeight, Node: fmt.Sprint("node-", random.IntN(20)), Value: random.Float64()},
			{Kind: controller.RequestAck, Nonce: n + 2}})
		server.call(func() {})
		time.Sleep(4 * time.Millisecond) // only a delay: streams bring the newest state
		if k := random.IntN(sidecars); n%3 == 0 {
			stops[k]()
			begin(k)
		}
		if n%10 == 0 {
			bindAll(server, sidecars, n+2)
		}
	}
	waitFor(t, "all are back", func() bool { return connectedSidecars(server) == sidecars })
	bindAll(server, sidecars, pushes+10)
	waitFor(t, "all converge but for what they reject", func() bool {
		n := 0
		var joins []controller.Command // a stream that was cut may count for a while: its successor then joins after that
		defer func() {
			if len(joins) > 0 {
				server.Enqueue(append(joins, controller.Command{Kind: controller.RequestAck, Nonce: pushes + 10})) // as the planner binds those that join
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
		t.Errorf("%d responses and %d rejections only", got, refused)
	}
	t.Logf("%d responses, %d rejections", got, refused)
}
