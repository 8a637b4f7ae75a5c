package sidecar

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"strings"

	routev3 "github.com/envoyproxy/go-control-plane/envoy/config/route/v3"
	typev3 "github.com/envoyproxy/go-control-plane/envoy/type/v3"
	"google.golang.org/protobuf/types/known/structpb"

	"harehook.dev/harehook/xds"
)

const (
	maxEntries      = xds.EntriesPerRoute * xds.MaxRoutes // per routing table
	maxRouteRetries = 3
	minStatus       = http.StatusOK
	maxStatus       = 599
)

var errNoRoutes = errors.New("route configuration has no routes")

// parseRoutes returns the entries of a route configuration. It rejects retry policies that could run a request of a
// mutating route twice.
func (c *ResourceCache) parseRoutes(config *routev3.RouteConfiguration) (entries []RouteEntry, err error) {
	routes := map[string]bool{}
	for _, host := range config.GetVirtualHosts() {
		for _, route := range host.GetRoutes() {
			// The two entries of a throttled route have the same key, so they count as one route.
			routes[route.GetName()+"\x00"+route.GetMatch().GetPrefix()] = true
			if len(routes) > xds.MaxRoutes {
				return nil, fmt.Errorf("more than %d routes", xds.MaxRoutes)
			}
			if len(entries) >= maxEntries {
				return nil, fmt.Errorf("more than %d entries", maxEntries)
			}
			entry, err := c.parseRoute(route)
			if err != nil {
				return nil, err
			}
			entries = append(entries, entry)
		}
	}
	if len(entries) == 0 {
		return nil, errNoRoutes
	}
	return entries, nil
}

// parseRoute returns the entry of a route.
func (c *ResourceCache) parseRoute(route *routev3.Route) (entry RouteEntry, err error) {
	metadata := route.GetMetadata().GetFilterMetadata()[xds.MetadataKey].GetFields()
	entry = RouteEntry{
		Name:            route.GetName(),
		Prefix:          route.GetMatch().GetPrefix(),
		Mutating:        isMutating(metadata) || c.MutatingRoutes[route.GetName()],
		RoutingRevision: uint64(metadata[xds.RoutingRevisionKey].GetNumberValue()),
	}
	if !strings.HasPrefix(entry.Prefix, "/") {
		return entry, fmt.Errorf("path prefix of route %q must start with \"/\", got %q", entry.Name, entry.Prefix)
	}
	entry.Fraction = parseFraction(route.GetMatch())
	if !(entry.Fraction <= 1) { // also rejects NaN
		return entry, fmt.Errorf("fraction of route %q must be at most 1, got %g", entry.Name, entry.Fraction)
	}
	switch action := route.GetAction().(type) {
	case *routev3.Route_DirectResponse:
		return entry, entry.setDirectResponse(action.DirectResponse)
	case *routev3.Route_Route:
		return entry, entry.setForward(action.Route)
	}
	return entry, fmt.Errorf("action of route %q is not supported", entry.Name)
}

// isMutating reports whether a route's metadata marks it as mutating. A route without this metadata is treated as
// mutating, because a retry that runs a request twice does more harm than a missing retry.
func isMutating(metadata map[string]*structpb.Value) bool {
	value := metadata[xds.MutatingKey]
	return value == nil || value.GetBoolValue()
}

// parseFraction returns the fraction of matching requests that an entry applies to; the default is 1.
func parseFraction(match *routev3.RouteMatch) float64 {
	fraction := match.GetRuntimeFraction().GetDefaultValue()
	if fraction == nil {
		return 1
	}
	denominator := 0.0 // for an unknown enum value: the quotient is then infinite or NaN, which is rejected
	switch fraction.GetDenominator() {
	case typev3.FractionalPercent_HUNDRED:
		denominator = 100
	case typev3.FractionalPercent_TEN_THOUSAND:
		denominator = 10000
	case typev3.FractionalPercent_MILLION:
		denominator = 1000000
	}
	return float64(fraction.GetNumerator()) / denominator
}

// setDirectResponse sets the status with which the proxy itself answers the requests of an entry.
func (e *RouteEntry) setDirectResponse(response *routev3.DirectResponseAction) error {
	e.Status = int(response.GetStatus())
	if e.Status < minStatus || e.Status > maxStatus {
		return fmt.Errorf("status of route %q must be from %d to %d, got %d", e.Name, minStatus, maxStatus, e.Status)
	}
	return nil
}

// setForward sets the cluster, the time limit and the retries of an entry that forwards requests.
func (e *RouteEntry) setForward(action *routev3.RouteAction) error {
	e.Cluster = action.GetCluster()
	e.TimeLimit = action.GetTimeout().AsDuration()
	if e.Cluster == "" {
		return fmt.Errorf("route %q has no cluster", e.Name)
	}
	return e.setRetries(action.GetRetryPolicy())
}

// setRetries sets the retries of an entry. It rejects a retry condition under which a node may already have run the
// request.
func (e *RouteEntry) setRetries(policy *routev3.RetryPolicy) error {
	if policy.GetRetryOn() == "" {
		return nil
	}
	e.MaxRetries = 1
	if policy.GetNumRetries() != nil {
		e.MaxRetries = int(policy.GetNumRetries().GetValue())
	}
	if e.MaxRetries > maxRouteRetries {
		return fmt.Errorf("retries of route %q must be at most %d, got %d", e.Name, maxRouteRetries, e.MaxRetries)
	}
	safeConditions := strings.Split(xds.RetryIfNotSent, ",")
	for _, condition := range strings.Split(policy.GetRetryOn(), ",") {
		condition = strings.TrimSpace(condition)
		if slices.Contains(safeConditions, condition) {
			continue
		}
		if e.Mutating {
			return fmt.Errorf("route %q is mutating and must not be retried on %q: an earlier attempt may have run", e.Name, condition)
		}
		return fmt.Errorf("retry condition of route %q is not supported: %q", e.Name, condition)
	}
	return nil
}
