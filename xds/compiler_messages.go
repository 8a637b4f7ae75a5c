package xds

import (
	"maps"
	"math"
	"net/http"
	"slices"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	routerv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/router/v3"
	hcmv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"harehook.dev/harehook/planner"
)

const (
	// totalWeight is the sum to which the weights of an endpoint list are scaled, as they are integers on the wire.
	totalWeight = 100000
	// fractionDenominator is the denominator of admitted fractions: they are encoded in millionths.
	fractionDenominator = 1000000
	rejectedStatus      = http.StatusServiceUnavailable
	maxRetries          = 1
)

// adsConfigSource returns the config source of resources that are delivered on the same aggregated stream.
func adsConfigSource() *corev3.ConfigSource {
	return &corev3.ConfigSource{
		ResourceApiVersion:    corev3.ApiVersion_V3,
		ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}},
	}
}

func (c *Compiler) clusterMessage(name string) *clusterv3.Cluster {
	return &clusterv3.Cluster{
		Name:                 name,
		ConnectTimeout:       durationpb.New(c.connectTimeout),
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig:     &clusterv3.Cluster_EdsClusterConfig{EdsConfig: adsConfigSource()},
		LrsServer: &corev3.ConfigSource{
			ConfigSourceSpecifier: &corev3.ConfigSource_Self{Self: &corev3.SelfConfigSource{}},
		},
	}
}

// endpointsMessage returns a table's nodes, grouped by zone. Nodes without a known address are omitted.
func (c *Compiler) endpointsMessage(table *routingTable, cluster string) *endpointv3.ClusterLoadAssignment {
	weightSum := 0.0
	nodesByZone := map[string][]string{}
	for node, weight := range table.weights {
		if _, known := c.addresses[node]; !known {
			continue
		}
		weightSum += weight
		zone := c.zones[node]
		nodesByZone[zone] = append(nodesByZone[zone], node)
	}
	assignment := &endpointv3.ClusterLoadAssignment{ClusterName: cluster}
	for _, zone := range slices.Sorted(maps.Keys(nodesByZone)) {
		nodes := nodesByZone[zone]
		slices.Sort(nodes)
		locality := &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: zone}}
		localityWeight := uint32(0)
		for _, node := range nodes {
			weight := max(1, uint32(math.Round(table.weights[node]/weightSum*totalWeight)))
			localityWeight += weight
			locality.LbEndpoints = append(locality.LbEndpoints, c.endpointMessage(node, weight))
		}
		locality.LoadBalancingWeight = wrapperspb.UInt32(localityWeight)
		assignment.Endpoints = append(assignment.Endpoints, locality)
	}
	return assignment
}

func (c *Compiler) endpointMessage(node string, weight uint32) *endpointv3.LbEndpoint {
	endpoint := &endpointv3.Endpoint{Hostname: node, Address: c.addresses[node].Message()}
	return &endpointv3.LbEndpoint{
		HostIdentifier:      &endpointv3.LbEndpoint_Endpoint{Endpoint: endpoint},
		HealthStatus:        corev3.HealthStatus_HEALTHY,
		LoadBalancingWeight: wrapperspb.UInt32(weight),
	}
}

func listenerMessage() *listenerv3.Listener {
	router, _ := anypb.New(&routerv3.Router{}) // encoding an empty message cannot fail
	manager, _ := anypb.New(&hcmv3.HttpConnectionManager{
		StatPrefix: ListenerName,
		RouteSpecifier: &hcmv3.HttpConnectionManager_Rds{
			Rds: &hcmv3.Rds{ConfigSource: adsConfigSource(), RouteConfigName: RoutesName},
		},
		HttpFilters: []*hcmv3.HttpFilter{{
			Name:       routerFilter,
			ConfigType: &hcmv3.HttpFilter_TypedConfig{TypedConfig: router},
		}},
	})
	return &listenerv3.Listener{Name: ListenerName, ApiListener: &listenerv3.ApiListener{ApiListener: manager}}
}

// routesMessage returns the route configuration. Each route has an entry for the admitted fraction, followed by one
// that immediately rejects the remaining requests if the fraction is less than 1.
func (c *Compiler) routesMessage(table *routingTable, cluster string) *routev3.RouteConfiguration {
	host := &routev3.VirtualHost{Name: "all", Domains: []string{"*"}}
	for _, route := range c.routes {
		level := c.admissionLevel(table, route.Name)
		if route.MaxAdmitted > 0 {
			level.fraction = min(level.fraction, route.MaxAdmitted)
		}
		metadata := c.routeMetadata(route)
		if level.fraction > 0 {
			host.Routes = append(host.Routes, admittedEntry(route, level, cluster, metadata))
		}
		if level.fraction < 1 {
			host.Routes = append(host.Routes, rejectedEntry(route, metadata))
		}
	}
	return &routev3.RouteConfiguration{Name: RoutesName, VirtualHosts: []*routev3.VirtualHost{host}}
}

func (c *Compiler) routeMetadata(route Route) *corev3.Metadata {
	fields := map[string]any{routeNameKey: route.Name, MutatingKey: route.Mutating}
	if c.routingRevision > 0 {
		fields[RoutingRevisionKey] = float64(c.routingRevision)
	}
	values, _ := structpb.NewStruct(fields) // fails only for unsupported value types
	return &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{MetadataKey: values}}
}

func prefixMatch(route Route) *routev3.RouteMatch {
	return &routev3.RouteMatch{PathSpecifier: &routev3.RouteMatch_Prefix{Prefix: route.Prefix}}
}

func admittedEntry(route Route, level admissionLevel, cluster string, metadata *corev3.Metadata) *routev3.Route {
	match := prefixMatch(route)
	if level.fraction < 1 {
		match.RuntimeFraction = &corev3.RuntimeFractionalPercent{DefaultValue: &typev3.FractionalPercent{
			Numerator:   uint32(math.Round(level.fraction * fractionDenominator)),
			Denominator: typev3.FractionalPercent_MILLION,
		}}
	}
	action := &routev3.RouteAction{
		ClusterSpecifier: &routev3.RouteAction_Cluster{Cluster: cluster},
		Timeout:          durationpb.New(route.TimeLimit),
		RetryPolicy:      retryPolicy(level.retry),
	}
	return &routev3.Route{
		Name:     route.Name,
		Match:    match,
		Metadata: metadata,
		Action:   &routev3.Route_Route{Route: action},
	}
}

func rejectedEntry(route Route, metadata *corev3.Metadata) *routev3.Route {
	header := &corev3.HeaderValue{Key: RejectedHeader, Value: route.Name}
	return &routev3.Route{
		Name:                 route.Name,
		Match:                prefixMatch(route),
		Metadata:             metadata,
		ResponseHeadersToAdd: []*corev3.HeaderValueOption{{Header: header}},
		Action: &routev3.Route_DirectResponse{
			DirectResponse: &routev3.DirectResponseAction{Status: rejectedStatus},
		},
	}
}

// retryPolicy returns a policy that retries only after proof that the first attempt never ran, or nil. Such a retry is
// safe on every route, and a mutating route cannot get any other policy by construction.
func retryPolicy(policy planner.RetryPolicy) *routev3.RetryPolicy {
	if policy != planner.RetryIfNotSent {
		return nil
	}
	return &routev3.RetryPolicy{
		RetryOn:            RetryIfNotSent,
		NumRetries:         wrapperspb.UInt32(maxRetries),
		RetryHostPredicate: []*routev3.RetryPolicy_RetryHostPredicate{{Name: previousHostsPredicate}},
	}
}
