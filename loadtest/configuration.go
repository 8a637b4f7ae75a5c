package loadtest

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sort"

	"harehook.dev/harehook/records"
)

const (
	tenantTail      = 0.8  // exponent by which a service's part of the tenants falls with its rank
	serviceMaxZones = 6    // zones that a service runs in at most
	allottedQuota   = 0.9  // part of a service's capacity that its tenants are given together
	quotaStep       = 1e-6 // shares are whole multiples of it
	overriddenNodes = 0.01 // part of the nodes that are overridden at the beginning
)

// Configuration is what a group agrees on, drawn from a seed, and the changes that are made to it.
type Configuration struct {
	plan        Plan
	rng         *rand.Rand
	services    []string
	zones       []string
	routes      []string // names
	tenants     []string
	serviceOf   map[records.Key]string // of routes and tenants
	tenantShare map[string]float64     // of each tenant of a service at the beginning
	bodies      map[records.Key][]byte // as last written
	revision    map[records.Key]uint64 // as last agreed
}

// Generate draws a configuration.
func Generate(plan Plan) (*Configuration, error) {
	c := &Configuration{
		plan: plan, rng: rand.New(rand.NewPCG(plan.Seed, 1)),
		serviceOf: map[records.Key]string{}, tenantShare: map[string]float64{},
		bodies: map[records.Key][]byte{}, revision: map[records.Key]uint64{},
	}
	for zone := range plan.Zones {
		c.zones = append(c.zones, fmt.Sprintf("region-%02d-zone-%02d", zone%plan.Regions, zone))
	}
	steps := []func() error{c.drawServices, c.drawRoutes, c.drawTenants, c.drawOverrides}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// setBody notes the body of a record in its canonical form.
func (c *Configuration) setBody(key records.Key, spec any) error {
	record, err := records.New(key, spec)
	if err != nil {
		return err
	}
	c.bodies[key] = record.Body
	return nil
}

func (c *Configuration) drawServices() error {
	for at := range c.plan.Services {
		name := fmt.Sprintf("service-%03d", at)
		c.services = append(c.services, name)
		if err := c.setBody(records.Key{Kind: records.KindService, Name: name}, records.ServiceSpec{Zones: c.drawZones()}); err != nil {
			return err
		}
	}
	return nil
}

func (c *Configuration) drawZones() (zones []string) {
	count := 1 + c.rng.IntN(min(serviceMaxZones, len(c.zones)))
	for _, at := range c.rng.Perm(len(c.zones))[:count] {
		zones = append(zones, c.zones[at])
	}
	return zones
}

func (c *Configuration) drawRoutes() error {
	for at := range c.plan.Routes {
		name := fmt.Sprintf("route-%04d", at)
		c.routes = append(c.routes, name)
		key := records.Key{Kind: records.KindRoute, Name: name}
		c.serviceOf[key] = c.services[at%len(c.services)]
		if err := c.setBody(key, c.drawRoute(key)); err != nil {
			return err
		}
	}
	return nil
}

// drawRoute draws the content of a route; its prefix stays the same.
func (c *Configuration) drawRoute(key records.Key) records.RouteSpec {
	return records.RouteSpec{
		Service: c.serviceOf[key], Prefix: c.prefix(key),
		TimeLimitMS: float64(50 + c.rng.IntN(5000)), Mutating: c.rng.IntN(3) == 0,
		MaxAdmitted: float64(1+c.rng.IntN(1000)) / 1000,
	}
}

// drawTenants gives each service its part of the tenants: a few have many, most have few.
func (c *Configuration) drawTenants() error {
	weights := make([]float64, len(c.services)) // cumulated
	sum := 0.0
	for rank := range c.services {
		sum += math.Pow(float64(rank+1), -tenantTail)
		weights[rank] = sum
	}
	count := map[string]int{}
	for at := range c.plan.Tenants {
		rank := sort.SearchFloat64s(weights, c.rng.Float64()*sum)
		name := fmt.Sprintf("tenant-%06d", at)
		c.tenants = append(c.tenants, name)
		c.serviceOf[records.Key{Kind: records.KindTenant, Name: name}] = c.services[rank]
		count[c.services[rank]]++
	}
	for service, tenants := range count {
		c.tenantShare[service] = allottedQuota / float64(tenants)
	}
	for _, name := range c.tenants {
		key := records.Key{Kind: records.KindTenant, Name: name}
		if err := c.setBody(key, c.drawTenant(key)); err != nil {
			return err
		}
	}
	return nil
}

// drawTenant draws the content of a tenant. However often that is done, the shares of a service sum to under its capacity.
func (c *Configuration) drawTenant(key records.Key) records.TenantSpec {
	service := c.serviceOf[key]
	share := c.tenantShare[service] * (0.2 + 0.8*c.rng.Float64())
	steps := max(1, math.Floor(share/quotaStep))
	return records.TenantSpec{Service: service, Share: steps * quotaStep}
}

func (c *Configuration) drawOverrides() error {
	for range int(overriddenNodes * float64(c.plan.Nodes)) {
		if err := c.setBody(c.drawOverrideKey(), c.drawOverride()); err != nil {
			return err
		}
	}
	return nil
}

func (c *Configuration) drawOverrideKey() records.Key {
	return records.Key{Kind: records.KindOverride, Name: fmt.Sprintf("node-%05d", c.rng.IntN(c.plan.Nodes))}
}

func (c *Configuration) drawOverride() records.OverrideSpec {
	spec := records.OverrideSpec{State: records.StateDraining}
	spec.Service = c.services[c.rng.IntN(len(c.services))]
	spec.Zone = c.zones[c.rng.IntN(len(c.zones))]
	if c.rng.IntN(2) == 0 {
		spec.State = records.StateGone
	}
	return spec
}

// LoadTransactions gives the transactions that write the whole configuration; records come after those that they refer to.
func (c *Configuration) LoadTransactions() (transactions []records.Transaction) {
	keys := make([]records.Key, 0, len(c.bodies))
	for key := range c.bodies {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b records.Key) int {
		if a.Kind != b.Kind && (a.Kind == records.KindService || b.Kind == records.KindService) {
			return rankToLoad(a.Kind) - rankToLoad(b.Kind)
		}
		return a.Compare(b)
	})
	for batch := range slices.Chunk(keys, loadBatch) {
		var transaction records.Transaction
		for _, key := range batch {
			transaction.Writes = append(transaction.Writes, records.Write{Key: key, Body: c.bodies[key]})
		}
		transactions = append(transactions, transaction)
	}
	return transactions
}

// loadBatch is the number of records that are written by one transaction as the group is loaded.
const loadBatch = records.MaxTransactionWrites

func rankToLoad(kind records.Kind) int {
	if kind == records.KindService {
		return 0
	}
	return int(kind) + 1
}

// RecordAgreed notes the revision that set the records of a transaction.
func (c *Configuration) RecordAgreed(transaction records.Transaction, revision uint64) {
	for _, write := range transaction.Writes {
		if len(write.Body) == 0 {
			delete(c.bodies, write.Key)
			delete(c.revision, write.Key)
			continue
		}
		c.bodies[write.Key] = write.Body
		c.revision[write.Key] = revision
	}
}

// Parts of the changes by kind, of a hundred.
const (
	routeChanges   = 50
	tenantChanges  = 30
	serviceChanges = 5 // the rest are overrides
)

// NextChange draws a change of one record, whose content will differ.
func (c *Configuration) NextChange() (records.Transaction, error) {
	for {
		key, spec := c.drawChange()
		var body json.RawMessage
		if spec != nil {
			record, err := records.New(key, spec)
			if err != nil {
				return records.Transaction{}, err
			}
			body = record.Body
		}
		if string(body) == string(c.bodies[key]) {
			continue
		}
		return records.Transaction{Writes: []records.Write{{Key: key, Body: body, ExpectedRevision: c.revision[key]}}}, nil
	}
}

// drawChange gives a record and its new content; nil removes it.
func (c *Configuration) drawChange() (records.Key, any) {
	kind := c.rng.IntN(100)
	switch {
	case kind < routeChanges:
		key := records.Key{Kind: records.KindRoute, Name: c.routes[c.rng.IntN(len(c.routes))]}
		return key, c.drawRoute(key)
	case kind < routeChanges+tenantChanges && len(c.tenants) > 0:
		key := records.Key{Kind: records.KindTenant, Name: c.tenants[c.rng.IntN(len(c.tenants))]}
		return key, c.drawTenant(key)
	case kind < routeChanges+tenantChanges+serviceChanges:
		key := records.Key{Kind: records.KindService, Name: c.services[c.rng.IntN(len(c.services))]}
		return key, records.ServiceSpec{Zones: c.drawZones()}
	}
	key := c.drawOverrideKey()
	if _, received := c.bodies[key]; received && c.rng.IntN(2) == 0 {
		return key, nil
	}
	return key, c.drawOverride()
}

// Controller is one that follows the group.
type Controller struct {
	Name   string        `json:"name"`
	Region int           `json:"region"`
	Scope  records.Scope `json:"scope"`
}

// Controllers spreads the controllers over the zones and draws the services that each needs.
func (c *Configuration) Controllers() (controllers []Controller) {
	random := rand.New(rand.NewPCG(c.plan.Seed, 2))
	for at := range c.plan.Controllers {
		zone := at % len(c.zones)
		scope := records.Scope{Zones: []string{c.zones[zone]}}
		for _, service := range random.Perm(len(c.services))[:min(scopeServices, len(c.services))] {
			scope.Services = append(scope.Services, c.services[service])
		}
		controllers = append(controllers, Controller{Name: fmt.Sprintf("conductor-%04d", at), Region: zone % c.plan.Regions, Scope: scope.Normalized()})
	}
	return controllers
}

func (c *Configuration) prefix(route records.Key) string {
	return "/" + c.serviceOf[route] + "/" + route.Name
}
