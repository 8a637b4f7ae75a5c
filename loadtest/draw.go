package loadtest

import (
	"fmt"
	"math"
	"sort"

	"harehook.dev/harehook/records"
)

const (
	tenantTailExponent     = 0.8  // exponent of the power law by which the number of tenants falls with the rank of a service
	serviceMaxZones        = 6    // maximum number of zones per service
	allocatedQuotaFraction = 0.9  // fraction of a service's capacity allocated to all its tenants together
	quotaStep              = 1e-6 // shares are integral multiples of this step
	overriddenNodeFraction = 0.01 // fraction of the nodes that have an override initially
	minTimeLimitMS         = 50   // of a route
	timeLimitRangeMS       = 5000 // of a route, above minTimeLimitMS
	mutatingOneIn          = 3    // one route in three is mutating
)

func (c *Configuration) drawServices() error {
	for index := range c.plan.Services {
		name := fmt.Sprintf("service-%03d", index)
		c.services = append(c.services, name)
		key := records.Key{Kind: records.KindService, Name: name}
		if err := c.setBody(key, records.ServiceSpec{Zones: c.drawZones()}); err != nil {
			return err
		}
	}
	return nil
}

// drawZones chooses the zones of a service.
func (c *Configuration) drawZones() (zones []string) {
	count := 1 + c.rng.IntN(min(serviceMaxZones, len(c.zones)))
	for _, zone := range c.rng.Perm(len(c.zones))[:count] {
		zones = append(zones, c.zones[zone])
	}
	return zones
}

func (c *Configuration) drawRoutes() error {
	for index := range c.plan.Routes {
		name := fmt.Sprintf("route-%04d", index)
		c.routes = append(c.routes, name)
		key := records.Key{Kind: records.KindRoute, Name: name}
		c.serviceOf[key] = c.services[index%len(c.services)]
		if err := c.setBody(key, c.drawRoute(key)); err != nil {
			return err
		}
	}
	return nil
}

// drawRoute generates a spec for a route; the prefix is always the same.
func (c *Configuration) drawRoute(key records.Key) records.RouteSpec {
	return records.RouteSpec{
		Service:     c.serviceOf[key],
		Prefix:      c.prefix(key),
		TimeLimitMS: float64(minTimeLimitMS + c.rng.IntN(timeLimitRangeMS)),
		Mutating:    c.rng.IntN(mutatingOneIn) == 0,
		MaxAdmitted: float64(1+c.rng.IntN(1000)) / 1000,
	}
}

// prefix returns the prefix of a route, which is unique because it contains the name of the route.
func (c *Configuration) prefix(route records.Key) string {
	return "/" + c.serviceOf[route] + "/" + route.Name
}

// drawTenants distributes the tenants over the services: a few services have many tenants, most have few.
func (c *Configuration) drawTenants() error {
	tenantCounts := map[string]int{}
	cumulative := cumulativeWeights(len(c.services))
	sum := cumulative[len(cumulative)-1]
	for index := range c.plan.Tenants {
		rank := sort.SearchFloat64s(cumulative, c.rng.Float64()*sum)
		service := c.services[rank]
		name := fmt.Sprintf("tenant-%06d", index)
		c.tenants = append(c.tenants, name)
		c.serviceOf[records.Key{Kind: records.KindTenant, Name: name}] = service
		tenantCounts[service]++
	}
	for service, tenants := range tenantCounts {
		c.tenantShare[service] = allocatedQuotaFraction / float64(tenants)
	}
	for _, name := range c.tenants {
		key := records.Key{Kind: records.KindTenant, Name: name}
		if err := c.setBody(key, c.drawTenant(key)); err != nil {
			return err
		}
	}
	return nil
}

// cumulativeWeights returns the cumulative weights by which tenants are distributed over services.
func cumulativeWeights(services int) []float64 {
	cumulative := make([]float64, services)
	sum := 0.0
	for rank := range services {
		sum += math.Pow(float64(rank+1), -tenantTailExponent)
		cumulative[rank] = sum
	}
	return cumulative
}

// drawTenant generates a spec for a tenant. The shares of a service always sum to less than its capacity.
func (c *Configuration) drawTenant(key records.Key) records.TenantSpec {
	service := c.serviceOf[key]
	share := c.tenantShare[service] * (0.2 + 0.8*c.rng.Float64())
	steps := max(1, math.Floor(share/quotaStep))
	return records.TenantSpec{Service: service, Share: steps * quotaStep}
}

func (c *Configuration) drawOverrides() error {
	for range int(overriddenNodeFraction * float64(c.plan.Nodes)) {
		if err := c.setBody(c.drawOverrideKey(), c.drawOverride()); err != nil {
			return err
		}
	}
	return nil
}

// drawOverrideKey chooses the node of an override.
func (c *Configuration) drawOverrideKey() records.Key {
	return records.Key{Kind: records.KindOverride, Name: fmt.Sprintf("node-%05d", c.rng.IntN(c.plan.Nodes))}
}

// drawOverride generates the spec of an override.
func (c *Configuration) drawOverride() records.OverrideSpec {
	spec := records.OverrideSpec{State: records.StateDraining}
	spec.Service = c.services[c.rng.IntN(len(c.services))]
	spec.Zone = c.zones[c.rng.IntN(len(c.zones))]
	if c.rng.IntN(2) == 0 {
		spec.State = records.StateGone
	}
	return spec
}
