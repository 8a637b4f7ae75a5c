package sidecar

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	discoveryv3 "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

const (
	dialTimeout = 3 * time.Second
	// The connection to an unresponsive controller is closed after keepaliveTime plus keepaliveTimeout.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	// The backoff before the next controller doubles with each failure; the delay is 0.5 to 1.5 times the backoff.
	initialBackoff   = 200 * time.Millisecond
	maxBackoff       = 5 * time.Second
	minDelayFactor   = 0.5
	maxResponseBytes = 8 << 20
)

// Client keeps an xDS stream open to one of several controllers, updates a resource cache from it, and sends load
// reports over a second stream of the same connection.
type Client struct {
	Cache       *ResourceCache
	Controllers []string                         // addresses
	Store       *Store                           // nil: accepted resources are not persisted
	Load        *LoadRecorder                    // nil: no load reports
	Credentials credentials.TransportCredentials // nil: plain text
	Log         *zap.Logger

	// Connected is true while a stream is open and its first requests have been sent. It is false before Run, while the
	// client dials a controller and during a backoff.
	Connected atomic.Bool
	// Streams counts the streams opened since the start.
	Streams atomic.Uint64

	table atomic.Pointer[RoutingTable]
}

// Table returns the routing table in use, which is empty before Run. It is safe for concurrent use and does not block.
func (c *Client) Table() *RoutingTable {
	if table := c.table.Load(); table != nil {
		return table
	}
	return &RoutingTable{}
}

// Run loads the stored resources and runs streams until ctx is done. It tries the controllers in turn; the first one
// depends on the sidecar's ID, so that sidecars spread over the controllers.
func (c *Client) Run(ctx context.Context) {
	c.loadStored()
	seed := c.seed()
	random := Random{Seed: seed}
	backoff := initialBackoff
	index := int(seed % uint64(len(c.Controllers)))
	for ctx.Err() == nil {
		startTime := time.Now()
		err := c.runStream(ctx, c.Controllers[index])
		c.Connected.Store(false)
		if ctx.Err() != nil {
			return
		}
		c.Log.Warn("stream ended", zap.String("conductor", c.Controllers[index]), zap.Error(err))
		if time.Since(startTime) > maxBackoff {
			backoff = initialBackoff
		}
		delay := time.Duration((minDelayFactor + random.Next()) * float64(backoff))
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		backoff = min(2*backoff, maxBackoff)
		index = (index + 1) % len(c.Controllers)
	}
}

// loadStored builds the routing table from the stored resources. If they cannot be used, it logs the error and starts
// empty.
func (c *Client) loadStored() {
	if c.Store != nil {
		if err := c.Store.Load(c.Cache); err != nil {
			c.Log.Error("failed to load stored resources, starting without them", zap.Error(err))
		}
	}
	c.table.Store(c.Cache.Table())
}

// seed returns a hash of the sidecar's ID. It varies the first controller and the backoff between sidecars.
func (c *Client) seed() uint64 {
	sum := fnv.New64a()
	fmt.Fprint(sum, c.Cache.ID)
	return sum.Sum64()
}

// runStream runs a stream to one controller until it ends, and returns the reason. Load reports stop with the stream.
func (c *Client) runStream(ctx context.Context, address string) error {
	conn, err := c.dial(address)
	if err != nil {
		return err
	}
	defer conn.Close()
	ctx, stop := context.WithCancel(ctx)
	var reports sync.WaitGroup
	defer reports.Wait()
	defer stop()
	onOpen := func() {
		c.Streams.Add(1)
		c.Connected.Store(true)
		c.Log.Info("stream opened", zap.String("conductor", address))
		reports.Go(func() { c.sendLoadReports(ctx, loadv3.NewLoadReportingServiceClient(conn)) })
	}
	client := discoveryv3.NewAggregatedDiscoveryServiceClient(conn)
	if c.Cache.Delta {
		stream, err := client.DeltaAggregatedResources(ctx)
		if err != nil {
			return err
		}
		return Exchange(stream, c.Cache.BeginDelta(), onOpen, c.Cache.HandleDelta, c.publishAccepted)
	}
	stream, err := client.StreamAggregatedResources(ctx)
	if err != nil {
		return err
	}
	return Exchange(stream, c.Cache.BeginStateOfTheWorld(), onOpen, c.Cache.HandleStateOfTheWorld, c.publishAccepted)
}

func (c *Client) dial(address string) (*grpc.ClientConn, error) {
	transportCredentials := c.Credentials
	if transportCredentials == nil {
		transportCredentials = insecure.NewCredentials()
	}
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(transportCredentials),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: dialTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseBytes)))
}

// publishAccepted publishes a routing table of the accepted resources and persists them. It is called before each ACK
// and each NACK, so that a sidecar still has every acknowledged resource after a crash. A NACK leaves the accepted
// resources as they were.
func (c *Client) publishAccepted() {
	c.table.Store(c.Cache.Table())
	if c.Store == nil {
		return
	}
	if err := c.Store.Save(c.Cache); err != nil {
		// A full disk must not stop request forwarding: resources that are not persisted are missing only after a
		// restart.
		c.Log.Error("failed to store accepted resources, a restart may load earlier ones", zap.Error(err))
	}
}

// Describe returns a summary of the routing table in use, for log messages.
func (c *Client) Describe() string {
	table := c.Table()
	nodes := 0
	for _, cluster := range table.Clusters {
		nodes += len(cluster)
	}
	return fmt.Sprintf("%d routes, %d clusters, %d nodes", len(table.Routes), len(table.Clusters), nodes)
}
