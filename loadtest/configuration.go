package loadtest

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"harehook.dev/harehook/records"
)

// loadBatch is the number of records that are written by one transaction as the group is loaded.
const loadBatch = records.MaxTransactionWrites

// Configuration is what a group agrees on, drawn from a seed, and the changes that are made to it.
type Configuration struct {
	plan     Plan
	rng      *rand.Rand
	services []string // names, as all below
	zones    []string
	routes   []string
	tenants  []string

	serviceOf   map[records.Key]string // of routes and tenants
	tenantShare map[string]float64     // of each tenant of a service at the beginning, by service
	bodies      map[records.Key][]byte // as last written
	revision    map[records.Key]uint64 // as last agreed
}

// The random numbers that are drawn from the seed, by their stream.
const (
	configurationStream = 1
	scopeStream         = 2
	faultStream         = 3
)

// Generate draws a configuration by the seed of a plan. The error is of a record that package records rejects.
func Generate(plan Plan) (*Configuration, error) {
	c := &Configuration{
		plan:        plan,
		rng:         rand.New(rand.NewPCG(plan.Seed, configurationStream)),
		serviceOf:   map[records.Key]string{},
		tenantShare: map[string]float64{},
		bodies:      map[records.Key][]byte{},
		revision:    map[records.Key]uint64{},
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

// LoadTransactions returns the transactions that write the full configuration; records come after those that they refer
// to.
func (c *Configuration) LoadTransactions() (transactions []records.Transaction) {
	keys := make([]records.Key, 0, len(c.bodies))
	for key := range c.bodies {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareForLoad)
	for batch := range slices.Chunk(keys, loadBatch) {
		var transaction records.Transaction
		for _, key := range batch {
			transaction.Writes = append(transaction.Writes, records.Write{Key: key, Body: c.bodies[key]})
		}
		transactions = append(transactions, transaction)
	}
	return transactions
}

// compareForLoad puts services first, since other records refer to them, and then orders by key.
func compareForLoad(a, b records.Key) int {
	if a.Kind != b.Kind && (a.Kind == records.KindService || b.Kind == records.KindService) {
		return rankToLoad(a.Kind) - rankToLoad(b.Kind)
	}
	return a.Compare(b)
}

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
