package sidecar

import (
	"context"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/protobuf/types/known/durationpb"

	"harehook.dev/harehook/xds"
)

// defaultReportInterval is the interval of load reports if the controller does not set one.
const defaultReportInterval = time.Second

// sendLoadReports sends load reports until its stream ends or ctx is done. It logs no errors, as a controller need not
// support load reports.
func (c *Client) sendLoadReports(ctx context.Context, client loadv3.LoadReportingServiceClient) {
	if c.Load == nil {
		return
	}
	stream, err := client.StreamLoadStats(ctx)
	if err != nil {
		return
	}
	if err := stream.Send(&loadv3.LoadStatsRequest{Node: c.Cache.node()}); err != nil {
		return
	}
	response, err := stream.Recv()
	if err != nil {
		return
	}
	interval := response.GetLoadReportingInterval().AsDuration()
	if interval <= 0 {
		interval = defaultReportInterval
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		report := c.Load.Take(time.Now())
		if err := stream.Send(&loadv3.LoadStatsRequest{ClusterStats: clusterStats(report)}); err != nil {
			return
		}
	}
}

// statsBuilder builds the cluster and locality messages of a load report.
type statsBuilder struct {
	interval   time.Duration
	stats      []*endpointv3.ClusterStats
	clusters   map[string]*endpointv3.ClusterStats
	localities map[localityKey]*endpointv3.UpstreamLocalityStats
}

type localityKey struct{ cluster, zone string }

// clusterStats encodes a load report. Nodes are grouped by cluster and zone; the request counts of routes are metrics
// of a separate cluster named [xds.ListenerName].
func clusterStats(report LoadReport) []*endpointv3.ClusterStats {
	builder := statsBuilder{
		interval:   report.Interval,
		clusters:   map[string]*endpointv3.ClusterStats{},
		localities: map[localityKey]*endpointv3.UpstreamLocalityStats{},
	}
	for key, load := range report.Nodes {
		builder.addNode(key, load)
	}
	if len(report.Routes) > 0 {
		builder.addRoutes(report.Routes)
	}
	return builder.stats
}

func (b *statsBuilder) cluster(name string) *endpointv3.ClusterStats {
	cluster := b.clusters[name]
	if cluster == nil {
		cluster = &endpointv3.ClusterStats{ClusterName: name, LoadReportInterval: durationpb.New(b.interval)}
		b.clusters[name] = cluster
		b.stats = append(b.stats, cluster)
	}
	return cluster
}

func (b *statsBuilder) locality(key localityKey) *endpointv3.UpstreamLocalityStats {
	locality := b.localities[key]
	if locality == nil {
		locality = &endpointv3.UpstreamLocalityStats{Locality: &corev3.Locality{Zone: key.zone}}
		b.localities[key] = locality
		cluster := b.cluster(key.cluster)
		cluster.UpstreamLocalityStats = append(cluster.UpstreamLocalityStats, locality)
	}
	return locality
}

func (b *statsBuilder) addNode(key NodeKey, load *NodeLoad) {
	locality := b.locality(localityKey{cluster: key.Cluster, zone: key.Zone})
	successful := uint64(load.Attempts - load.Failed)
	failed := uint64(load.Failed)
	locality.TotalSuccessfulRequests += successful
	locality.TotalErrorRequests += failed
	locality.UpstreamEndpointStats = append(locality.UpstreamEndpointStats, &endpointv3.UpstreamEndpointStats{
		Address:                 key.Address.Message(),
		TotalSuccessfulRequests: successful,
		TotalErrorRequests:      failed,
		TotalIssuedRequests:     uint64(load.Attempts),
		LoadMetricStats: []*endpointv3.EndpointLoadMetricStats{{
			MetricName:                    xds.LatencySumMetric,
			NumRequestsFinishedWithMetric: successful,
			TotalMetricValue:              load.LatencySum.Seconds(),
		}},
	})
}

func (b *statsBuilder) addRoutes(routes map[string]int) {
	locality := &endpointv3.UpstreamLocalityStats{}
	for name, requests := range routes {
		locality.LoadMetricStats = append(locality.LoadMetricStats, &endpointv3.EndpointLoadMetricStats{
			MetricName:                    xds.RouteMetric + name,
			NumRequestsFinishedWithMetric: uint64(requests),
		})
	}
	cluster := b.cluster(xds.ListenerName)
	cluster.UpstreamLocalityStats = append(cluster.UpstreamLocalityStats, locality)
}
