package xds

// Names on the wire that controllers and sidecars share.
const (
	// ListenerName is the only listener, and the cluster of load reports whose metrics are routes.
	ListenerName = "calls"
	// RoutesName is the only route configuration.
	RoutesName = "calls"
	// MetadataKey is the key in a route's filter metadata under which its name and whether it is mutating are told.
	MetadataKey = "harehook"
	// MutatingKey is the field there that tells whether the route is mutating.
	MutatingKey = "mutating"
	// RoutingRevisionKey is the field there with the routing revision: that of the agreed configuration at which a route
	// last changed.
	RoutingRevisionKey = "agreed"
	// RejectedHeader is the header of a response to a rejected request; its value is the route's name.
	RejectedHeader = "x-harehook-throttled"
	// RouteMetric is the prefix of the load metrics that count a route's requests.
	RouteMetric = "route:"
	// LatencySumMetric is the load metric of an endpoint that sums the seconds of its successful attempts.
	LatencySumMetric = "seconds"
	// RetryIfNotSent are the retry conditions that prove that the first attempt never ran.
	RetryIfNotSent = "connect-failure,refused-stream"

	clusterPrefix          = "pool-" // followed by the routing table's number
	metadataRoute          = "route"
	previousHostsPredicate = "envoy.retry_host_predicates.previous_hosts"
	routerFilter           = "envoy.filters.http.router"
)

const (
	// MaxRoutes is the maximum number of routes of a routing table. Configurations with more are rejected, as sidecars
	// reject such tables. Throttled, 1,024 routes are a route configuration of under 1 MB; sidecars take messages of 8 MB.
	MaxRoutes = 1024
	// EntriesPerRoute is the maximum number of entries of a route: one for the admitted fraction, one that rejects the rest.
	EntriesPerRoute = 2
)
