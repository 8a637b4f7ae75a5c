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
	plan     Plan
	random   *rand.Rand
	services []string
	zones    []string
	routes   []string // names
	tenants  []string
	service  map[records.Key]string // of routes and tenants
	share    map[string]float64     // of each tenant of a service at the beginning
	bodies   map[records.Key][]byte // as last written
	revision map[records.Key]uint64 // as last agreed
}

// Generate draws a configuration.
func Generate(plan Plan) (*Configuration, error) {
	c := &Configuration{
		plan: plan, random: rand.New(rand.NewPCG(plan.Seed, 1)),
		service: map[records.Key]string{}, share: map[string]float64{},
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

// set notes the body of a record in its canonical form.
func (c *Configuration) set(key records.Key, spec any) error {
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
		if err := c.set(records.Key{Kind: records.KindService, Name: name}, records.ServiceSpec{Zones: c.someZones()}); err != nil {
			return err
		}
	}
	return nil
}

func (c *Configuration) someZones() (zones []string) {
	count := 1 + c.random.IntN(min(serviceMaxZones, len(c.zones)))
	for _, at := range c.random.Perm(len(c.zones))[:count] {
		zones = append(zones, c.zones[at])
	}
	return zones
}

func (c *Configuration) drawRoutes() error {
	for at := range c.plan.Routes {
		name := fmt.Sprintf("route-%04d", at)
		c.routes = append(c.routes, name)
		key := records.Key{Kind: records.KindRoute, Name: name}
		c.service[key] = c.services[at%len(c.services)]
		if err := c.set(key, c.route(key)); err != nil {
			return err
		}
	}
	return nil
}

// route draws the content of a route; its prefix stays the same.
func (c *Configuration) route(key records.Key) records.RouteSpec {
	return records.RouteSpec{
		Service: c.service[key], Prefix: c.prefix(key),
		TimeLimitMS: float64(50 + c.random.IntN(5000)), Mutating: c.random.IntN(3) == 0,
		MaxAdmitted: float64(1+c.random.IntN(1000)) / 1000,
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
		rank := sort.SearchFloat64s(weights, c.random.Float64()*sum)
		name := fmt.Sprintf("tenant-%06d", at)
		c.tenants = append(c.tenants, name)
		c.service[records.Key{Kind: records.KindTenant, Name: name}] = c.services[rank]
		count[c.services[rank]]++
	}
	for service, tenants := range count {
		c.share[service] = allottedQuota / float64(tenants)
	}
	for _, name := range c.tenants {
		key := records.Key{Kind: records.KindTenant, Name: name}
		if err := c.set(key, c.tenant(key)); err != nil {
			return err
		}
	}
	return nil
}

// tenant draws the content of a tenant. However often that is done, the shares of a service sum to under its capacity.
func (c *Configuration) tenant(key records.Key) records.TenantSpec {
	service := c.service[key]
	share := c.share[service] * (0.2 + 0.8*c.random.Float64())
	steps := max(1, math.Floor(share/quotaStep))
	return records.TenantSpec{Service: service, Share: steps * quotaStep}
}

func (c *Configuration) drawOverrides() error {
	for range int(overriddenNodes * float64(c.plan.Nodes)) {
		if err := c.set(c.override(), c.overrideSpec()); err != nil {
			return err
		}
	}
	return nil
}

func (c *Configuration) override() records.Key {
	return records.Key{Kind: records.KindOverride, Name: fmt.Sprintf("node-%05d", c.random.IntN(c.plan.Nodes))}
}

func (c *Configuration) overrideSpec() records.OverrideSpec {
	spec := records.OverrideSpec{State: records.StateDraining}
	spec.Service = c.services[c.random.IntN(len(c.services))]
	spec.Zone = c.zones[c.random.IntN(len(c.zones))]
	if c.random.IntN(2) == 0 {
		spec.State = records.StateGone
	}
	return spec
}

// Load gives the transactions that write the whole configuration; records come after those that they refer to.
func (c *Configuration) Load() (transactions []records.Transaction) {
	keys := make([]records.Key, 0, len(c.bodies))
	for key := range c.bodies {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b records.Key) int {
		if a.Kind != b.Kind && (a.Kind == records.KindService || b.Kind == records.KindService) {
			return loadRank(a.Kind) - loadRank(b.Kind)
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

func loadRank(kind records.Kind) int {
	if kind == records.KindService {
		return 0
	}
	return int(kind) + 1
}

// Agreed notes the revision that set the records of a transaction.
func (c *Configuration) Agreed(transaction records.Transaction, revision uint64) {
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

// Next draws a change of one record, whose content will differ.
func (c *Configuration) Next() (records.Transaction, error) {
	for {
		key, spec := c.draw()
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

// draw gives a record and its new content; nil removes it.
func (c *Configuration) draw() (records.Key, any) {
	kind := c.random.IntN(100)
	switch {
	case kind < routeChanges:
		key := records.Key{Kind: records.KindRoute, Name: c.routes[c.random.IntN(len(c.routes))]}
		return key, c.route(key)
	case kind < routeChanges+tenantChanges && len(c.tenants) > 0:
		key := records.Key{Kind: records.KindTenant, Name: c.tenants[c.random.IntN(len(c.tenants))]}
		return key, c.tenant(key)
	case kind < routeChanges+tenantChanges+serviceChanges:
		key := records.Key{Kind: records.KindService, Name: c.services[c.random.IntN(len(c.services))]}
		return key, records.ServiceSpec{Zones: c.someZones()}
	}
	key := c.override()
	if _, received := c.bodies[key]; received && c.random.IntN(2) == 0 {
		return key, nil
	}
	return key, c.overrideSpec()
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
	return "/" + c.service[route] + "/" + route.Name
}
