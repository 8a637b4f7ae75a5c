package loadtest

import (
	"fmt"
	"math/rand/v2"
	"slices"

	"harehook.dev/harehook/records"
)

// loadBatch is the number of records per transaction of the initial load.
const loadBatch = records.MaxTransactionWrites

// Configuration generates the configuration of a group and the changes to it from a seed.
type Configuration struct {
	plan     Plan
	rng      *rand.Rand
	services []string // names, like the next three fields
	zones    []string
	routes   []string
	tenants  []string

	serviceOf   map[records.Key]string // of routes and tenants
	tenantShare map[string]float64     // maximum share of each initial tenant, by service
	bodies      map[records.Key][]byte // most recently written
	revision    map[records.Key]uint64 // most recently agreed
}

// Streams of the random number generators, which all use the seed of the plan.
const (
	configurationStream = 1
	scopeStream         = 2
	faultStream         = 3
)

// Generate generates a configuration from the seed of a plan. It returns an error if package records rejects a
// generated record.
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

// setBody stores the canonical form of a record.
func (c *Configuration) setBody(key records.Key, spec any) error {
	record, err := records.New(key, spec)
	if err != nil {
		return err
	}
	c.bodies[key] = record.Body
	return nil
}

// LoadTransactions returns the transactions that write the full configuration. A record comes after the records that it
// refers to.
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

// compareForLoad orders services first, since other records refer to them, then by key.
func compareForLoad(a, b records.Key) int {
	if a.Kind != b.Kind && (a.Kind == records.KindService || b.Kind == records.KindService) {
		return loadRank(a.Kind) - loadRank(b.Kind)
	}
	return a.Compare(b)
}

func loadRank(kind records.Kind) int {
	if kind == records.KindService {
		return 0
	}
	return int(kind) + 1
}

// RecordAgreed stores the records of an agreed transaction and its revision.
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
