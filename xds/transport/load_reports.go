package transport

import (
	"errors"
	"io"
	"math"
	"strings"

	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	loadv3 "github.com/envoyproxy/go-control-plane/envoy/service/load_stats/v3"
	"google.golang.org/protobuf/types/known/durationpb"

	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/xds"
)

const (
	maxReportEndpoints = 4096    // in one report
	maxReportSeconds   = 600.0   // interval that one report covers
	maxReportCount     = 1 << 30 // upper limit of a count in a report; valid counts are lower
)

// errTooManyEndpoints is returned for a load report with more than maxReportEndpoints endpoints. The report is rejected
// as a whole.
var errTooManyEndpoints = errors.New("load report has too many endpoints")

// loadReport is the parsed load report of a sidecar: its attempts by endpoint, and the requests it received by route.
type loadReport struct {
	endpoints     []endpointLoad
	demand        []routeDemand
	endpointCount int    // including omitted ones
	malformed     uint64 // number of omitted entries
}

// endpointLoad describes the attempts at one endpoint. The node of the report is set when it is delivered, from the
// address.
type endpointLoad struct {
	address xds.Address
	report  controller.LoadReport
}

// routeDemand is the number of requests of one route in an interval.
type routeDemand struct {
	route    string
	requests int
	interval float64 // seconds
}

// loadService implements the load reporting service.
type loadService struct {
	loadv3.UnimplementedLoadReportingServiceServer
	server *Server
}

// StreamLoadStats receives load reports until the sidecar ends the stream.
func (l loadService) StreamLoadStats(grpcStream loadv3.LoadReportingService_StreamLoadStatsServer) error {
	r, err := grpcStream.Recv()
	if err != nil {
		return err
	}
	id, _ := xds.ParseNode(r.GetNode())
	err = grpcStream.Send(&loadv3.LoadStatsResponse{
		SendAllClusters:           true,
		LoadReportingInterval:     durationpb.New(l.server.ReportInterval),
		ReportEndpointGranularity: true,
	})
	if err != nil {
		return err
	}
	for {
		l.server.handleLoadReport(id, r)
		r, err = grpcStream.Recv()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// handleLoadReport parses the load report of a sidecar and delivers it to the controller.
func (s *Server) handleLoadReport(id string, r *loadv3.LoadStatsRequest) {
	report, err := parseLoadReport(r)
	s.MalformedRequests.Add(report.malformed)
	if err != nil {
		s.MalformedRequests.Add(1)
		return
	}
	s.post(func() { s.deliverLoadReport(id, report) })
}

// deliverLoadReport adds a load report to the controller. It must run on the hub.
func (s *Server) deliverLoadReport(id string, report loadReport) {
	proxy, known := s.Streams.Number(id)
	if !known {
		s.UnknownReports.Add(1)
		return
	}
	for _, demand := range report.demand {
		s.Controller.AddDemandReport(proxy, demand.route, demand.requests, demand.interval)
	}
	for _, endpoint := range report.endpoints {
		node, found := s.Streams.Compiler.NodeAt(endpoint.address)
		if !found {
			s.UnknownReports.Add(1)
			continue
		}
		endpoint.report.Node = node
		s.Controller.AddLoadReport(endpoint.report)
	}
}

// parseLoadReport parses a load report. Entries with impossible values are omitted. The error is errTooManyEndpoints.
func parseLoadReport(r *loadv3.LoadStatsRequest) (report loadReport, err error) {
	for _, cluster := range r.GetClusterStats() {
		interval := cluster.GetLoadReportInterval().AsDuration().Seconds()
		if !(interval > 0) || interval > maxReportSeconds {
			report.malformed++
			continue
		}
		for _, locality := range cluster.GetUpstreamLocalityStats() {
			if err := report.addLocality(locality, interval); err != nil {
				return report, err
			}
		}
	}
	return report, nil
}

// addLocality adds the endpoint stats and the route metrics of a locality.
func (report *loadReport) addLocality(locality *endpointv3.UpstreamLocalityStats, interval float64) error {
	for _, stats := range locality.GetUpstreamEndpointStats() {
		report.endpointCount++
		if report.endpointCount > maxReportEndpoints {
			return errTooManyEndpoints
		}
		load := parseEndpointLoad(stats, interval)
		if !isPlausible(load.report) {
			report.malformed++
			continue
		}
		report.endpoints = append(report.endpoints, load)
	}
	for _, metric := range locality.GetLoadMetricStats() {
		route, isRoute := strings.CutPrefix(metric.GetMetricName(), xds.RouteMetric)
		if !isRoute {
			continue
		}
		requests := boundedCount(metric.GetNumRequestsFinishedWithMetric())
		report.demand = append(report.demand, routeDemand{route: route, requests: requests, interval: interval})
	}
	return nil
}

func parseEndpointLoad(stats *endpointv3.UpstreamEndpointStats, interval float64) endpointLoad {
	load := endpointLoad{address: xds.AddressOf(stats.GetAddress()), report: controller.LoadReport{
		Completed: boundedCount(stats.GetTotalIssuedRequests()),
		Failed:    boundedCount(stats.GetTotalErrorRequests()),
		Interval:  interval,
	}}
	for _, metric := range stats.GetLoadMetricStats() {
		attempts := metric.GetNumRequestsFinishedWithMetric()
		if metric.GetMetricName() == xds.LatencySumMetric && attempts > 0 {
			load.report.MeanLatency = metric.GetTotalMetricValue() / float64(attempts)
		}
	}
	return load
}

// isPlausible reports whether the values of a report are possible. A latency that is NaN or infinite is not.
func isPlausible(report controller.LoadReport) bool {
	if report.Completed < report.Failed || report.Completed == 0 || report.Completed == maxReportCount {
		return false
	}
	return report.MeanLatency >= 0 && !math.IsInf(report.MeanLatency, 0)
}

func boundedCount(count uint64) int { return int(min(count, maxReportCount)) }
