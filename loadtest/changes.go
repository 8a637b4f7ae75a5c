package loadtest

import (
	"encoding/json"

	"harehook.dev/harehook/records"
)

// Changes by kind, in percent.
const (
	routeChanges   = 50
	tenantChanges  = 30
	serviceChanges = 5 // the rest are overrides
)

// NextChange draws a change of one record that gives it other contents. The error is of a record that package records
// rejects.
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

// encodeBody is the body of a record in its canonical form; nil where there is no spec, which removes the record.
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

// drawChange draws a record and its new spec; nil removes it.
func (c *Configuration) drawChange() (records.Key, any) {
	percent := c.rng.IntN(100)
	switch {
	case percent < routeChanges:
		key := records.Key{Kind: records.KindRoute, Name: c.routes[c.rng.IntN(len(c.routes))]}
		return key, c.drawRoute(key)
	case percent < routeChanges+tenantChanges && len(c.tenants) > 0:
		key := records.Key{Kind: records.KindTenant, Name: c.tenants[c.rng.IntN(len(c.tenants))]}
		return key, c.drawTenant(key)
	case percent < routeChanges+tenantChanges+serviceChanges:
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
