package transport

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/settings"
	"harehook.dev/harehook/sidecar"
	"harehook.dev/harehook/xds"
)

// startServer starts a server on loopback. Its controller makes no decisions of its own.
func startServer(tb testing.TB, maxSidecars int) (server *Server, address string) {
	compiler := xds.NewCompiler([]xds.Route{{Name: "quote", Prefix: "/quote", TimeLimit: time.Second}}, time.Second)
	server = NewServer(compiler, maxSidecars, zap.NewNop())
	server.Controller = controller.New(settings.Deployment{Planner: planner.Config{Zones: 1, MachineTypes: 1, Proxies: maxSidecars, Sharded: true, Routes: []planner.Route{{}}},
		Zones: []string{"north"}, MachineTypes: []string{"node"}, Routes: []string{"quote"}, EventInterval: 0.004}, nil, server, zap.NewNop())
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	var tasks sync.WaitGroup
	tasks.Go(func() { server.Controller.Run(ctx) })
	tasks.Go(func() { server.Run(ctx, listener) })
	tb.Cleanup(func() { stop(); tasks.Wait() })
	return server, listener.Addr().String()
}

// sidecarClients runs sidecars without proxies, each on its own stream, and counts the responses and their bytes.
type sidecarClients struct {
	responses, bytes atomic.Int64
}

func (c *sidecarClients) runStream(ctx context.Context, conn *grpc.ClientConn, cache *sidecar.ResourceCache) error {
	client := discoveryv3.NewAggregatedDiscoveryServiceClient(conn)
	countResponse := func(size int) {
		c.bytes.Add(int64(size))
		c.responses.Add(1)
	}
	if cache.Delta {
		s, err := client.DeltaAggregatedResources(ctx)
		if err != nil {
			return err
		}
		return sidecar.Exchange(s, cache.BeginDelta(), nil, func(r *discoveryv3.DeltaDiscoveryResponse) ([]*discoveryv3.DeltaDiscoveryRequest, error) {
			defer countResponse(proto.Size(r))
			return cache.HandleDelta(r)
		}, func() {})
	}
	s, err := client.StreamAggregatedResources(ctx)
	if err != nil {
		return err
	}
	return sidecar.Exchange(s, cache.BeginStateOfTheWorld(), nil, func(r *discoveryv3.DiscoveryResponse) ([]*discoveryv3.DiscoveryRequest, error) {
		defer countResponse(proto.Size(r))
		return cache.HandleStateOfTheWorld(r)
	}, func() {})
}

// BenchmarkPush measures the time over loopback from a change of a weight in a table of 200 nodes until all bound
// sidecars have accepted it, and the bytes and memory per sidecar.
func BenchmarkPush(b *testing.B) {
	const nodes = 200
	for _, sidecars := range []int{100, 1000, 4000} {
		for _, delta := range []bool{false, true} {
			b.Run(fmt.Sprintf("sidecars=%d/delta=%t", sidecars, delta), func(b *testing.B) {
				var before, after runtime.MemStats
				server, address := startServer(b, sidecars)
				ctx, stop := context.WithCancel(context.Background())
				defer stop()
				runtime.GC()
				runtime.ReadMemStats(&before)
				clients := &sidecarClients{}
				var conn *grpc.ClientConn
				for k := range sidecars {
					if k%maxStreamsPerConnection == 0 {
						var err error
						if conn, err = grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials())); err != nil {
							b.Fatal(err)
						}
						defer conn.Close()
					}
					clientConn := conn
					go clients.runStream(ctx, clientConn, &sidecar.ResourceCache{ID: fmt.Sprint("till-", k), Zone: "north", Delta: delta})
				}
				batch := []controller.Command{{Kind: controller.SetAdmission, Table: planner.AllTables, Route: "quote", Value: 1}}
				for n := range nodes {
					name := fmt.Sprint("node-", n)
					server.AddAddresses([]Node{{Name: name, Zone: "north", Address: xds.Address{Host: "10.0.0.1", Port: uint32(1000 + n)}}})
					batch = append(batch, controller.Command{Kind: controller.SetWeight, Node: name, Value: 1})
				}
				acceptedSidecars := func() (n int) {
					server.call(func() {
						for _, s := range server.Streams.Sidecars(server.now()) {
							if s.Connected && s.Bound && s.Unacknowledged == 0 {
								n++
							}
						}
					})
					return n
				}
				for knownSidecars(server) < sidecars {
					time.Sleep(10 * time.Millisecond)
				}
				for proxy := range sidecars {
					batch = append(batch, controller.Command{Kind: controller.BindProxy, Proxy: proxy})
				}
				server.Enqueue(append(batch, controller.Command{Kind: controller.RequestAck, Nonce: 1}))
				for acceptedSidecars() < sidecars {
					time.Sleep(10 * time.Millisecond)
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				clients.bytes.Store(0)
				pushes := 0
				b.ReportAllocs()
				for b.Loop() {
					pushes++
					want := clients.responses.Load() + int64(sidecars)
					server.Enqueue([]controller.Command{{Kind: controller.SetWeight, Node: "node-7", Value: 1 + float64(pushes%2)},
						{Kind: controller.RequestAck, Nonce: 1 + pushes%60000}})
					for clients.responses.Load() < want {
						time.Sleep(100 * time.Microsecond)
					}
				}
				b.ReportMetric(float64(clients.bytes.Load())/float64(pushes)/float64(sidecars), "wire-B/sidecar")
				// Both ends run in this process: the memory of a stream is that of the controller and the sidecar
				// together.
				b.ReportMetric(float64(after.HeapAlloc-min(before.HeapAlloc, after.HeapAlloc))/float64(sidecars)/1024, "KiB/stream")
			})
		}
	}
}
