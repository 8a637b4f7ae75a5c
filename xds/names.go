package xds

// Names that controllers and sidecars share on the wire.
const (
	// ListenerName is the name of the only listener, and the cluster name in load reports whose metrics are routes.
	ListenerName = "calls"
	// RoutesName is the name of the only route configuration.
	RoutesName = "calls"
	// MetadataKey is the key in a route's filter metadata that holds the route's name and whether it is mutating.
	MetadataKey = "harehook"
	// MutatingKey is the metadata field that indicates whether the route is mutating.
	MutatingKey = "mutating"
	// RoutingRevisionKey is the metadata field with the routing revision: the revision of the agreed configuration at
	// which a route last changed.
	RoutingRevisionKey = "agreed"
	// RejectedHeader is the response header that marks a rejected request; its value is the route's name.
	RejectedHeader = "x-harehook-throttled"
	// RouteMetric is the prefix of the load metrics that count a route's requests.
	RouteMetric = "route:"
	// LatencySumMetric is the load metric with the sum of the latencies of an endpoint's successful attempts, in
	// seconds.
	LatencySumMetric = "seconds"
	// RetryIfNotSent lists the retry conditions which prove that the first attempt never ran.
	RetryIfNotSent = "connect-failure,refused-stream"

	clusterPrefix          = "pool-" // followed by the routing table's number
	routeNameKey           = "route"
	previousHostsPredicate = "envoy.retry_host_predicates.previous_hosts"
	routerFilter           = "envoy.filters.http.router"
)

const (
	// MaxRoutes is the maximum number of routes of a routing table. Configurations with more are rejected because
	// sidecars reject such tables. With 1,024 throttled routes, a route configuration is less than 1 MB; sidecars
	// accept messages of up to 8 MB.
	MaxRoutes = 1024
	// EntriesPerRoute is the maximum number of entries of a route: one for the admitted fraction, and one that rejects
	// the remaining requests.
	EntriesPerRoute = 2
)
