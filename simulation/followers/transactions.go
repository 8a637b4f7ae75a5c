package followers

import (
	"encoding/json"
	"fmt"

	"harehook.dev/harehook/records"
)

// The number of records of each kind that transactions write.
const (
	serviceCount  = 6
	zoneCount     = 3
	routeCount    = 20
	tenantCount   = 40
	overrideCount = 8
)

// The parameters of random transactions.
const (
	maxWrites       = 4  // in a transaction
	recordKindCount = 4  // services, routes, tenants, overrides
	removeEvery     = 4  // one write in removeEvery removes its record
	anyServiceEvery = 10 // one route in anyServiceEvery applies to any service
)

// firstTransaction returns the transaction that creates the services, routes and tenants.
func (l *agreedLog) firstTransaction() (first records.Transaction) {
	for n := range serviceCount {
		first.Writes = append(first.Writes, l.drawServiceWrite(n))
	}
	for n := range routeCount {
		first.Writes = append(first.Writes, l.drawRouteWrite(n))
	}
	for n := range tenantCount {
		first.Writes = append(first.Writes, l.drawTenantWrite(n))
	}
	return first
}

// propose commits a random transaction. It reports false if the group rejects the transaction.
func (l *agreedLog) propose() (committed bool) {
	var transaction records.Transaction
	seen := map[records.Key]bool{}
	for range 1 + l.rng.IntN(maxWrites) {
		write := l.drawWrite()
		if !seen[write.Key] {
			seen[write.Key] = true
			transaction.Writes = append(transaction.Writes, write)
		}
	}
	return l.commit(transaction)
}

// drawWrite returns a random write, which sets or removes a record of any kind. Services are not removed, because other
// records refer to them.
func (l *agreedLog) drawWrite() (write records.Write) {
	switch l.rng.IntN(recordKindCount) {
	case 0:
		return l.drawServiceWrite(l.rng.IntN(serviceCount))
	case 1:
		write = l.drawRouteWrite(l.rng.IntN(routeCount))
	case 2:
		write = l.drawTenantWrite(l.rng.IntN(tenantCount))
	default:
		write = l.drawOverrideWrite(l.rng.IntN(overrideCount))
	}
	if l.rng.IntN(removeEvery) == 0 {
		write.Body = nil
	}
	return write
}

func (l *agreedLog) drawServiceWrite(n int) records.Write {
	spec := records.ServiceSpec{Zones: []string{l.drawZone(), l.drawZone()}}
	return newWrite(records.KindService, fmt.Sprintf("s%d", n), spec)
}

func (l *agreedLog) drawRouteWrite(n int) records.Write {
	service := l.drawService()
	if l.rng.IntN(anyServiceEvery) == 0 {
		service = ""
	}
	spec := records.RouteSpec{Service: service, Prefix: fmt.Sprintf("/r%d", n), TimeLimitMS: float64(1 + l.rng.IntN(5000))}
	return newWrite(records.KindRoute, fmt.Sprintf("r%d", n), spec)
}

func (l *agreedLog) drawTenantWrite(n int) records.Write {
	spec := records.TenantSpec{Service: l.drawService(), Share: float64(1+l.rng.IntN(9)) / 1000}
	return newWrite(records.KindTenant, fmt.Sprintf("t%d", n), spec)
}

func (l *agreedLog) drawOverrideWrite(n int) records.Write {
	spec := records.OverrideSpec{Service: l.drawService(), Zone: l.drawZone(), State: records.StateDraining}
	return newWrite(records.KindOverride, fmt.Sprintf("o%d", n), spec)
}

func (l *agreedLog) drawService() string { return fmt.Sprintf("s%d", l.rng.IntN(serviceCount)) }
func (l *agreedLog) drawZone() string    { return fmt.Sprintf("z%d", l.rng.IntN(zoneCount)) }

// newWrite returns a write that applies at any revision of its record.
func newWrite(kind records.Kind, name string, spec any) records.Write {
	body, err := json.Marshal(spec)
	if err != nil {
		panic(fmt.Sprintf("cannot encode the spec of %s %s: %v", kind, name, err)) // specs are plain structs
	}
	return records.Write{Key: records.Key{Kind: kind, Name: name}, Body: body, AnyRevision: true}
}
