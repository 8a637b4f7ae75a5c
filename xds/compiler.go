package xds

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	clusterv3 "github.com/envoyproxy/go-control-plane/envoy/config/cluster/v3"
	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	endpointv3 "github.com/envoyproxy/go-control-plane/envoy/config/endpoint/v3"
	listenerv3 "github.com/envoyproxy/go-control-plane/envoy/config/listener/v3"
	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	routerv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/http/router/v3"
	hcmv3 "github.com/envoyproxy/go-control-plane/envoy/extensions/filters/network/http_connection_manager/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"
	"google.golang.org/protobuf/types/known/structpb"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/planner"
)

// Names that conductors and sidecars share.
const (
	ListenerName    = "calls"
	RoutesName      = "calls"
	MetadataKey     = "harehook" // of a route's metadata: its name, and whether it is mutating
	AgreedKey       = "agreed"   // there: the version of the agreed configuration that the routes are of
	ThrottledHeader = "x-harehook-throttled"
	// RouteMetric is the prefix of the load metrics that count a route's calls, CallSeconds the metric of a node that
	// sums the time of good tries.
	RouteMetric      = "route:"
	LatencySumMetric = "seconds"
	// RetryIfNotSent are the conditions of a further try that prove that the first never ran.
	RetryIfNotSent = "connect-failure,refused-stream"

	// MaxRoutes is how many routes a table has at most. Configurations with more are refused, as sidecars refuse such
	// tables. Throttled, 1,024 routes are a table of under 1 MB; sidecars take messages of 8 MB.
	MaxRoutes = 1024
	// EntriesPerRoute is how many entries a table has for a route at most: one for the part that is let in and one that
	// turns the rest away.
	EntriesPerRoute = 2

	clusterPrefix          = "pool-"
	totalWeight            = 100000  // a table's weights sum to that: integers, a line is told to a thousandth of a hundredth
	fractionDenominator    = 1000000 // levels are told in millionths
	rejectedStatus         = 503
	previousHostsPredicate = "envoy.retry_host_predicates.previous_hosts"
)

// Route is a kind of call as other installations configure it.
type Route struct {
	Name        string
	Prefix      string // of the path
	Mutating    bool
	TimeLimit   time.Duration
	MaxAdmitted float64 // part of its calls that is let in at most, by operators; 0 counts as all
}

// Compiler holds what the module ordered, as tables, and turns it into resources.
type Compiler struct {
	routes         []Route
	agreedVersion  uint64 // the version of the configuration that the routes are of, 0: none was agreed
	connectTimeout time.Duration
	addresses      map[string]Address
	nodesByAddress map[Address]string
	zones          map[string]string
	tables         map[int]*routingTable
	admission      map[string]admissionLevel // by route, of all tables
	snapshots      map[int]*Snapshot
}

type routingTable struct {
	weights   map[string]float64
	admission map[string]admissionLevel
}

type admissionLevel struct {
	fraction float64
	retry    planner.RetryPolicy
}

// NewCompiler makes one for some routes.
func NewCompiler(routes []Route, connect time.Duration) *Compiler {
	return &Compiler{routes: routes, connectTimeout: connect, addresses: map[string]Address{}, nodesByAddress: map[Address]string{},
		zones:  map[string]string{},
		tables: map[int]*routingTable{}, admission: map[string]admissionLevel{}, snapshots: map[int]*Snapshot{}}
}

// SetAgreedRoutes has the routes of an agreed version count; all tables may change by it.
func (c *Compiler) SetAgreedRoutes(version uint64, routes []Route) {
	c.routes, c.agreedVersion = routes, version
}

// SetAddress says where a node takes calls; tables change with the next Take.
func (c *Compiler) SetAddress(node, zone string, address Address) {
	if was, known := c.addresses[node]; known && c.nodesByAddress[was] == node {
		delete(c.nodesByAddress, was)
	}
	c.addresses[node], c.zones[node], c.nodesByAddress[address] = address, zone, node
}

// NodeAt finds the node at an address.
func (c *Compiler) NodeAt(address Address) (node string, ok bool) {
	node, ok = c.nodesByAddress[address]
	return node, ok
}

// ApplyCommands takes orders in; it gives the tables that may have changed.
func (c *Compiler) ApplyCommands(batch []controller.Command) (touched map[int]bool) {
	touched = map[int]bool{}
	for _, o := range batch {
		switch o.Kind {
		case controller.SetWeight:
			t := c.table(o.Table)
			if t.weights[o.Node] = o.Value; o.Value <= 0 {
				delete(t.weights, o.Node)
			}
			touched[o.Table] = true
		case controller.SetAdmission:
			into := c.admission
			if o.Table != planner.AllTables {
				into = c.table(o.Table).admission
				touched[o.Table] = true
			} else {
				for t := range c.tables {
					touched[t] = true
				}
			}
			into[o.Route] = admissionLevel{o.Value, o.Retry}
		case controller.BindProxy:
			c.table(o.Table)
		}
	}
	return touched
}

func (c *Compiler) table(number int) *routingTable {
	t := c.tables[number]
	if t == nil {
		t = &routingTable{weights: map[string]float64{}, admission: map[string]admissionLevel{}}
		c.tables[number] = t
	}
	return t
}

// Snapshot makes what sidecars on a table are to hold: the same as the last one if that has not changed.
func (c *Compiler) Snapshot(number int) (*Snapshot, error) {
	t, cluster := c.table(number), fmt.Sprint(clusterPrefix, number)
	var sets [NumResourceTypes]ResourceSet
	for kind, make := range []func(*routingTable, string) (proto.Message, string, []string){
		c.clusterResource, c.endpointsResource, c.listenerResource, c.routesResource} {
		m, name, uses := make(t, cluster)
		r, err := NewResource(ResourceType(kind), name, m, uses...)
		if err != nil {
			return nil, err
		}
		sets[kind] = ResourceSet{name: r}
	}
	c.snapshots[number] = c.snapshots[number].next(sets)
	return c.snapshots[number], nil
}

func adsConfigSource() *corev3.ConfigSource {
	return &corev3.ConfigSource{ResourceApiVersion: corev3.ApiVersion_V3,
		ConfigSourceSpecifier: &corev3.ConfigSource_Ads{Ads: &corev3.AggregatedConfigSource{}}}
}

func (c *Compiler) clusterResource(_ *routingTable, name string) (proto.Message, string, []string) {
	return &clusterv3.Cluster{Name: name, ConnectTimeout: durationpb.New(c.connectTimeout),
		ClusterDiscoveryType: &clusterv3.Cluster_Type{Type: clusterv3.Cluster_EDS},
		EdsClusterConfig:     &clusterv3.Cluster_EdsClusterConfig{EdsConfig: adsConfigSource()},
		LrsServer:            &corev3.ConfigSource{ConfigSourceSpecifier: &corev3.ConfigSource_Self{Self: &corev3.SelfConfigSource{}}},
	}, name, nil
}

// endpointsResource are a table's lines by zone, with whole weights beside each other.
func (c *Compiler) endpointsResource(t *routingTable, name string) (proto.Message, string, []string) {
	whole, byZone := 0.0, map[string][]string{}
	for node, weight := range t.weights {
		if _, placed := c.addresses[node]; placed {
			whole += weight
			byZone[c.zones[node]] = append(byZone[c.zones[node]], node)
		}
	}
	out := &endpointv3.ClusterLoadAssignment{ClusterName: name}
	for _, zone := range slices.Sorted(maps.Keys(byZone)) {
		nodes, sum := byZone[zone], uint32(0)
		slices.Sort(nodes)
		var lines []*endpointv3.LbEndpoint
		for _, node := range nodes {
			weight := max(1, uint32(math.Round(t.weights[node]/whole*totalWeight)))
			sum += weight
			lines = append(lines, &endpointv3.LbEndpoint{
				HostIdentifier: &endpointv3.LbEndpoint_Endpoint{Endpoint: &endpointv3.Endpoint{
					Hostname: node, Address: c.addresses[node].Message()}},
				HealthStatus:        corev3.HealthStatus_HEALTHY,
				LoadBalancingWeight: wrapperspb.UInt32(weight)})
		}
		out.Endpoints = append(out.Endpoints, &endpointv3.LocalityLbEndpoints{Locality: &corev3.Locality{Zone: zone},
			LbEndpoints: lines, LoadBalancingWeight: wrapperspb.UInt32(sum)})
	}
	return out, name, nil
}

func (c *Compiler) listenerResource(*routingTable, string) (proto.Message, string, []string) {
	router, _ := anypb.New(&routerv3.Router{})
	manager, _ := anypb.New(&hcmv3.HttpConnectionManager{StatPrefix: ListenerName,
		RouteSpecifier: &hcmv3.HttpConnectionManager_Rds{Rds: &hcmv3.Rds{ConfigSource: adsConfigSource(), RouteConfigName: RoutesName}},
		HttpFilters: []*hcmv3.HttpFilter{{Name: "envoy.filters.http.router",
			ConfigType: &hcmv3.HttpFilter_TypedConfig{TypedConfig: router}}}})
	return &listenerv3.Listener{Name: ListenerName, ApiListener: &listenerv3.ApiListener{ApiListener: manager}},
		ListenerName, nil
}

// routesResource has, for each route, one entry for the part that is let in and, if that is not all, one that turns the
// rest away at once.
func (c *Compiler) routesResource(t *routingTable, cluster string) (proto.Message, string, []string) {
	host := &routev3.VirtualHost{Name: "all", Domains: []string{"*"}}
	for _, route := range c.routes {
		lv := c.admissionLevel(t, route.Name)
		if route.MaxAdmitted > 0 {
			lv.fraction = min(lv.fraction, route.MaxAdmitted)
		}
		fields := map[string]any{"route": route.Name, "mutating": route.Mutating}
		if c.agreedVersion > 0 {
			fields[AgreedKey] = float64(c.agreedVersion)
		}
		about, _ := structpb.NewStruct(fields)
		metadata := &corev3.Metadata{FilterMetadata: map[string]*structpb.Struct{MetadataKey: about}}
		match := func() *routev3.RouteMatch {
			return &routev3.RouteMatch{PathSpecifier: &routev3.RouteMatch_Prefix{Prefix: route.Prefix}}
		}
		if lv.fraction > 0 {
			entry := &routev3.Route{Name: route.Name, Match: match(), Metadata: metadata,
				Action: &routev3.Route_Route{Route: &routev3.RouteAction{
					ClusterSpecifier: &routev3.RouteAction_Cluster{Cluster: cluster},
					Timeout:          durationpb.New(route.TimeLimit), RetryPolicy: retryPolicy(lv.retry)}}}
			if lv.fraction < 1 {
				entry.Match.RuntimeFraction = &corev3.RuntimeFractionalPercent{DefaultValue: &typev3.FractionalPercent{
					Numerator: uint32(math.Round(lv.fraction * fractionDenominator)), Denominator: typev3.FractionalPercent_MILLION}}
			}
			host.Routes = append(host.Routes, entry)
		}
		if lv.fraction < 1 {
			host.Routes = append(host.Routes, &routev3.Route{Name: route.Name, Match: match(), Metadata: metadata,
				ResponseHeadersToAdd: []*corev3.HeaderValueOption{{Header: &corev3.HeaderValue{Key: ThrottledHeader, Value: route.Name}}},
				Action:               &routev3.Route_DirectResponse{DirectResponse: &routev3.DirectResponseAction{Status: rejectedStatus}}})
		}
	}
	return &routev3.RouteConfiguration{Name: RoutesName, VirtualHosts: []*routev3.VirtualHost{host}}, RoutesName,
		[]string{cluster}
}

// admissionLevel is what a table's own and the common level leave: the lower part, and the table's tries where both are set.
func (c *Compiler) admissionLevel(t *routingTable, route string) admissionLevel {
	all, common := c.admission[route]
	own, set := t.admission[route]
	switch {
	case common && set:
		return admissionLevel{min(all.fraction, own.fraction), own.retry}
	case common:
		return all
	case set:
		return own
	}
	return admissionLevel{fraction: 1, retry: planner.NoRetry}
}

// retryPolicy are the further tries. Only those after proof that the first never ran exist: they are safe on every
// route, and a mutating one can get no other by construction.
func retryPolicy(tries planner.RetryPolicy) *routev3.RetryPolicy {
	if tries != planner.RetryIfNotSent {
		return nil
	}
	return &routev3.RetryPolicy{RetryOn: RetryIfNotSent, NumRetries: wrapperspb.UInt32(1),
		RetryHostPredicate: []*routev3.RetryPolicy_RetryHostPredicate{{Name: previousHostsPredicate}}}
}
