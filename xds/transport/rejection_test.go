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

// runStream runs one stream until it ends or ctx is done. A cancelled stream may still be read when the next one
// starts.
func (p *rejectingSidecar) runStream(ctx context.Context, conn *grpc.ClientConn) {
	client := discoveryv3.NewAggregatedDiscoveryServiceClient(conn)
	if p.Delta {
		if s, err := client.DeltaAggregatedResources(ctx); err == nil {
			exchange(p, s, p.BeginDelta, p.HandleDelta)
		}
	} else if s, err := client.StreamAggregatedResources(ctx); err == nil {
		exchange(p, s, p.BeginStateOfTheWorld, p.HandleStateOfTheWorld)
	}
}

func exchange[Request, Response any](p *rejectingSidecar, s sidecar.Transport[Request, Response], begin func() []Request, handle func(Response) ([]Request, error)) {
	p.stateMutex.Lock()
	first := begin()
	p.stateMutex.Unlock()
	sidecar.Exchange(s, first, nil, func(r Response) ([]Request, error) {
		p.stateMutex.Lock()
		defer p.stateMutex.Unlock()
		requests, err := handle(r)
		p.checkRouting()
		return requests, err
	}, func() {})
}

// Tables change, sidecars reject some resources, and streams are cancelled at random times. No sidecar may route by a
// version that it has rejected. When no more streams are cancelled, all sidecars must converge, except for the
// resources that they rejected.
func TestRejectionsAndCancelledStreams(t *testing.T) {
	const sidecars, pushes = 40, 300
	server, address := startServer(t, sidecars)
	random := rand.New(rand.NewPCG(4, 2))
	clients := make([]*rejectingSidecar, sidecars)
	cancels := make([]context.CancelFunc, sidecars)
	var streams sync.WaitGroup
	startStream := func(k int) {
		ctx, cancel := context.WithCancel(context.Background())
		cancels[k] = cancel
		conn := dial(t, address)
		streams.Go(func() { clients[k].runStream(ctx, conn); conn.Close() })
	}
	for k := range clients {
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
		clients[k] = p
		startStream(k)
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
			cancels[k]()
			startStream(k)
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
		var bindCommands []controller.Command
		defer func() {
			if len(bindCommands) > 0 {
				// The planner also binds sidecars that join.
				server.Enqueue(append(bindCommands, controller.Command{Kind: controller.RequestAck, Nonce: pushes + 10}))
			}
		}()
		server.call(func() {
			for _, s := range server.Streams.Sidecars(server.now()) {
				if s.Connected && !s.Bound {
					bindCommands = append(bindCommands, controller.Command{Kind: controller.BindProxy, Proxy: s.Number})
				}
				accepted, rejected := s.Bound && len(s.Resources) > 0, false
				for _, resource := range s.Resources {
					accepted = accepted && resource.Accepted == resource.Target
					rejected = rejected || resource.Rejection != nil
				}
				if accepted || rejected {
					n++
				}
			}
		})
		return n == sidecars
	})
	for _, cancel := range cancels {
		cancel()
	}
	streams.Wait()
	responses, rejections := 0, 0
	for _, p := range clients {
		responses, rejections = responses+p.responses, rejections+len(p.rejected)
		for _, violation := range p.violations {
			t.Error(violation)
		}
	}
	if responses < 300 || rejections < 30 {
		t.Errorf("got %d responses and %d rejections, want at least 300 and 30", responses, rejections)
	}
	t.Logf("%d responses, %d rejections", responses, rejections)
}
