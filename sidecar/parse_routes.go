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
	maxEntries      = xds.EntriesPerRoute * xds.MaxRoutes // of one routing table
	maxRouteRetries = 3
	minStatus       = http.StatusOK
	maxStatus       = 599
)

var errNoRoutes = errors.New("it has no route")

// parseRoutes returns the entries of a route configuration. It rejects what would let a request of a mutating route run
// twice.
func (c *ResourceCache) parseRoutes(config *routev3.RouteConfiguration) (entries []RouteEntry, err error) {
	routes := map[string]bool{}
	for _, host := range config.GetVirtualHosts() {
		for _, route := range host.GetRoutes() {
			routes[route.GetName()+"\x00"+route.GetMatch().GetPrefix()] = true // a throttled route has two entries
			if len(routes) > xds.MaxRoutes {
				return nil, fmt.Errorf("over %d routes", xds.MaxRoutes)
			}
			if len(entries) >= maxEntries {
				return nil, fmt.Errorf("over %d entries", maxEntries)
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

// parseRoute returns one entry.
func (c *ResourceCache) parseRoute(route *routev3.Route) (entry RouteEntry, err error) {
	metadata := route.GetMetadata().GetFilterMetadata()[xds.MetadataKey].GetFields()
	entry = RouteEntry{
		Name:            route.GetName(),
		Prefix:          route.GetMatch().GetPrefix(),
		Mutating:        isMutating(metadata) || c.MutatingRoutes[route.GetName()],
		RoutingRevision: uint64(metadata[xds.RoutingRevisionKey].GetNumberValue()),
	}
	if !strings.HasPrefix(entry.Prefix, "/") {
		return entry, fmt.Errorf("route %q has no prefix of a path", entry.Name)
	}
	entry.Fraction = parseFraction(route.GetMatch())
	if !(entry.Fraction <= 1) { // also if it is no number
		return entry, fmt.Errorf("route %q lets in more than all", entry.Name)
	}
	switch action := route.GetAction().(type) {
	case *routev3.Route_DirectResponse:
		return entry, entry.setDirectResponse(action.DirectResponse)
	case *routev3.Route_Route:
		return entry, entry.setForward(action.Route)
	}
	return entry, fmt.Errorf("route %q does nothing that is known here", entry.Name)
}

// isMutating tells whether a route's metadata says so. A route whose metadata does not tell is taken for mutating: a retry
// that runs a request twice would be the larger harm.
func isMutating(metadata map[string]*structpb.Value) bool {
	value := metadata[xds.MutatingKey]
	return value == nil || value.GetBoolValue()
}

// parseFraction returns the fraction of requests that an entry takes, 1 if it states none.
func parseFraction(match *routev3.RouteMatch) float64 {
	fraction := match.GetRuntimeFraction().GetDefaultValue()
	if fraction == nil {
		return 1
	}
	denominator := 0.0 // of an unknown enumerator: the quotient is then no fraction
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

// setDirectResponse makes an entry one that answers by itself.
func (e *RouteEntry) setDirectResponse(response *routev3.DirectResponseAction) error {
	e.Status = int(response.GetStatus())
	if e.Status < minStatus || e.Status > maxStatus {
		return fmt.Errorf("route %q answers with the status %d", e.Name, e.Status)
	}
	return nil
}

// setForward makes an entry one that forwards requests.
func (e *RouteEntry) setForward(action *routev3.RouteAction) error {
	e.Cluster = action.GetCluster()
	e.TimeLimit = action.GetTimeout().AsDuration()
	if e.Cluster == "" {
		return fmt.Errorf("route %q sends to no cluster", e.Name)
	}
	return e.setRetries(action.GetRetryPolicy())
}

// setRetries sets the retries of an entry. A condition under which the first attempt may have run is rejected.
func (e *RouteEntry) setRetries(policy *routev3.RetryPolicy) error {
	if policy.GetRetryOn() == "" {
		return nil
	}
	e.MaxRetries = 1
	if policy.GetNumRetries() != nil {
		e.MaxRetries = int(policy.GetNumRetries().GetValue())
	}
	if e.MaxRetries > maxRouteRetries {
		return fmt.Errorf("route %q would be tried %d more times, %d at most", e.Name, e.MaxRetries, maxRouteRetries)
	}
	safeConditions := strings.Split(xds.RetryIfNotSent, ",")
	for _, condition := range strings.Split(policy.GetRetryOn(), ",") {
		condition = strings.TrimSpace(condition)
		if slices.Contains(safeConditions, condition) {
			continue
		}
		if e.Mutating {
			return fmt.Errorf("route %q is mutating and would be repeated on %q, after a try that may have run", e.Name, condition)
		}
		return fmt.Errorf("route %q would be repeated on %q, which is not known here", e.Name, condition)
	}
	return nil
}
