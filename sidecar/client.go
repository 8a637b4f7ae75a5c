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
	// A controller that fell silent is left after keepaliveTime and keepaliveTimeout.
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 2 * time.Second
	// The backoff before the next controller doubles with each failure; the delay is 0.5 to 1.5 times as long.
	initialBackoff   = 200 * time.Millisecond
	maxBackoff       = 5 * time.Second
	minDelayFactor   = 0.5
	maxResponseBytes = 8 << 20
)

// Client has a stream to one of some controllers, which fills a resource cache, and sends load reports by another one.
type Client struct {
	Cache       *ResourceCache
	Controllers []string                         // addresses
	Store       *Store                           // nil: accepted resources are not persisted
	Load        *LoadRecorder                    // nil: no load reports
	Credentials credentials.TransportCredentials // nil: plain text
	Log         *zap.Logger

	// Connected is set while a stream is open on which the first requests were sent. Before Run, while a controller is
	// dialed and during a backoff it is not.
	Connected atomic.Bool
	// Streams counts the streams that were begun since the start.
	Streams atomic.Uint64

	table atomic.Pointer[RoutingTable]
}

// Table returns the routing table in use, an empty one before Run. It may be called by any goroutine and does not wait.
func (c *Client) Table() *RoutingTable {
	if table := c.table.Load(); table != nil {
		return table
	}
	return &RoutingTable{}
}

// Run loads the stored resources and runs streams until ctx ends. Controllers are tried in turn, each sidecar begins at
// another one.
func (c *Client) Run(ctx context.Context) {
	c.loadStored()
	seed := c.seed()
	random := Random{Seed: seed}
	backoff := initialBackoff
	next := int(seed % uint64(len(c.Controllers)))
	for ctx.Err() == nil {
		began := time.Now()
		err := c.runStream(ctx, c.Controllers[next])
		c.Connected.Store(false)
		if ctx.Err() != nil {
			return
		}
		c.Log.Warn("stream ended", zap.String("conductor", c.Controllers[next]), zap.Error(err))
		if time.Since(began) > maxBackoff {
			backoff = initialBackoff
		}
		delay := time.Duration((minDelayFactor + random.Next()) * float64(backoff))
		select {
		case <-ctx.Done():
		case <-time.After(delay):
		}
		backoff = min(2*backoff, maxBackoff)
		next = (next + 1) % len(c.Controllers)
	}
}

// loadStored makes the stored resources the routing table. Stored ones that can't be used are reported and left out.
func (c *Client) loadStored() {
	if c.Store != nil {
		if err := c.Store.Load(c.Cache); err != nil {
			c.Log.Error("stored resources are not used", zap.Error(err))
		}
	}
	c.table.Store(c.Cache.Table())
}

// seed returns a hash of the sidecar's id, by which sidecars differ in the order of controllers and in their backoff.
func (c *Client) seed() uint64 {
	sum := fnv.New64a()
	fmt.Fprint(sum, c.Cache.ID)
	return sum.Sum64()
}

// runStream runs a stream to one controller until it ends, and returns the reason. The load reports end with it.
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
	begun := func() {
		c.Streams.Add(1)
		c.Connected.Store(true)
		c.Log.Info("stream begun", zap.String("conductor", address))
		reports.Go(func() { c.sendLoadReports(ctx, loadv3.NewLoadReportingServiceClient(conn)) })
	}
	client := discoveryv3.NewAggregatedDiscoveryServiceClient(conn)
	if c.Cache.Delta {
		stream, err := client.DeltaAggregatedResources(ctx)
		if err != nil {
			return err
		}
		return Exchange(stream, c.Cache.BeginDelta(), begun, c.Cache.HandleDelta, c.publishAccepted)
	}
	stream, err := client.StreamAggregatedResources(ctx)
	if err != nil {
		return err
	}
	return Exchange(stream, c.Cache.BeginStateOfTheWorld(), begun, c.Cache.HandleStateOfTheWorld, c.publishAccepted)
}

func (c *Client) dial(address string) (*grpc.ClientConn, error) {
	secure := c.Credentials
	if secure == nil {
		secure = insecure.NewCredentials()
	}
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(secure),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: dialTimeout}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxResponseBytes)))
}

// publishAccepted routes by the accepted resources and persists them. It is called before each answer, also a NACK, after
// which some resources may be accepted: what a sidecar has acknowledged it has after a crash as well.
func (c *Client) publishAccepted() {
	c.table.Store(c.Cache.Table())
	if c.Store == nil {
		return
	}
	if err := c.Store.Save(c.Cache); err != nil {
		// A full disk must not stop requests: only a restart would miss what is not persisted.
		c.Log.Error("what is held could not be kept", zap.Error(err))
	}
}

// Describe summarizes the routing table in use, for a log line.
func (c *Client) Describe() string {
	table := c.Table()
	nodes := 0
	for _, cluster := range table.Clusters {
		nodes += len(cluster)
	}
	return fmt.Sprintf("%d routes, %d clusters, %d nodes", len(table.Routes), len(table.Clusters), nodes)
}
