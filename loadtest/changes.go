package loadtest

import (
	"encoding/json"

	"harehook.dev/harehook/records"
)

// Percentage of changes by kind of record.
const (
	routeChangePercent   = 50
	tenantChangePercent  = 30
	serviceChangePercent = 5 // the remaining changes are overrides
)

// NextChange generates a change of one record, whose contents differ from the present ones. It returns an error if
// package records rejects the record.
func (c *Configuration) NextChange() (records.Transaction, error) {
	for {
		key, spec := c.drawChange()
		body, err := encodeBody(key, spec)
		if err != nil {
			return records.Transaction{}, err
		}
		if string(body) == string(c.bodies[key]) {
			continue
		}
		write := records.Write{Key: key, Body: body, ExpectedRevision: c.revision[key]}
		return records.Transaction{Writes: []records.Write{write}}, nil
	}
}

// encodeBody returns the canonical body of a record. A nil spec yields a nil body, which removes the record.
func encodeBody(key records.Key, spec any) (json.RawMessage, error) {
	if spec == nil {
		return nil, nil
	}
	record, err := records.New(key, spec)
	if err != nil {
		return nil, err
	}
	return record.Body, nil
}

// drawChange chooses a record and generates its new spec; a nil spec removes the record.
func (c *Configuration) drawChange() (records.Key, any) {
	percent := c.rng.IntN(100)
	switch {
	case percent < routeChangePercent:
		key := records.Key{Kind: records.KindRoute, Name: c.routes[c.rng.IntN(len(c.routes))]}
		return key, c.drawRoute(key)
	case percent < routeChangePercent+tenantChangePercent && len(c.tenants) > 0:
		key := records.Key{Kind: records.KindTenant, Name: c.tenants[c.rng.IntN(len(c.tenants))]}
		return key, c.drawTenant(key)
	case percent < routeChangePercent+tenantChangePercent+serviceChangePercent:
		key := records.Key{Kind: records.KindService, Name: c.services[c.rng.IntN(len(c.services))]}
		return key, records.ServiceSpec{Zones: c.drawZones()}
	}
	key := c.drawOverrideKey()
	_, exists := c.bodies[key]
	if exists && c.rng.IntN(2) == 0 {
		return key, nil
	}
	return key, c.drawOverride()
}
