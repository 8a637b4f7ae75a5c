package records

import "slices"

// index holds the records by key and by service and zone, and the data that the rules need.
//
// Each record is in byKind and in byServiceZone, and each route in routesByPrefix. Each route, tenant and override that
// names a service is counted in usageByService. bytes is the sum of encodedSize over all records.
type index struct {
	byKind         map[Kind]map[string]*Record // by kind and name
	byServiceZone  map[serviceZone]map[*Record]struct{}
	routesByPrefix map[string][]*Record // a prefix has several routes only while a transaction is checked
	usageByService map[string]serviceUsage
	bytes          int
}

// serviceZone is the key by which the records of a scope are found. An empty name stands for all services or all zones.
type serviceZone struct {
	service, zone string
}

// serviceUsage summarizes the records that refer to a service.
type serviceUsage struct {
	referenceCount int   // number of routes, tenants and overrides that name the service
	shareSum       int64 // sum of its tenants' shares, in units of 1/shareUnit
}

func newIndex() index {
	return index{
		byKind:         map[Kind]map[string]*Record{KindRoute: {}, KindService: {}, KindTenant: {}, KindOverride: {}},
		byServiceZone:  map[serviceZone]map[*Record]struct{}{},
		routesByPrefix: map[string][]*Record{},
		usageByService: map[string]serviceUsage{},
	}
}

// get returns the record with a key, or nil if there is none.
func (x *index) get(key Key) *Record { return x.byKind[key.Kind][key.Name] }

// ofKinds returns all records of the given kinds, in no particular order.
func (x *index) ofKinds(kinds []Kind) []*Record {
	count := 0
	for _, kind := range kinds {
		count += len(x.byKind[kind])
	}
	records := make([]*Record, 0, count)
	for _, kind := range kinds {
		for _, record := range x.byKind[kind] {
			records = append(records, record)
		}
	}
	return records
}

// inScope returns all records of a normalized scope, in no particular order.
func (x *index) inScope(scope Scope) []*Record {
	var records []*Record
	for _, service := range withEmptyName(scope.Services) {
		for _, zone := range withEmptyName(scope.Zones) {
			for record := range x.byServiceZone[serviceZone{service, zone}] {
				records = append(records, record)
			}
		}
	}
	return records
}

func (x *index) insert(record *Record) {
	x.byKind[record.Kind][record.Name] = record
	x.bytes += encodedSize(record)
	location := serviceZone{record.Service, record.Zone}
	if x.byServiceZone[location] == nil {
		x.byServiceZone[location] = map[*Record]struct{}{}
	}
	x.byServiceZone[location][record] = struct{}{}
	if record.Kind == KindRoute {
		prefix := routePrefix(record)
		x.routesByPrefix[prefix] = append(x.routesByPrefix[prefix], record)
	}
	x.countReference(record, 1)
}

func (x *index) remove(record *Record) {
	if x.byKind[record.Kind][record.Name] == record {
		delete(x.byKind[record.Kind], record.Name)
	}
	x.bytes -= encodedSize(record)
	location := serviceZone{record.Service, record.Zone}
	delete(x.byServiceZone[location], record)
	if len(x.byServiceZone[location]) == 0 {
		delete(x.byServiceZone, location)
	}
	if record.Kind == KindRoute {
		x.removePrefix(record)
	}
	x.countReference(record, -1)
}

func (x *index) removePrefix(route *Record) {
	prefix := routePrefix(route)
	remaining := slices.DeleteFunc(x.routesByPrefix[prefix], func(other *Record) bool { return other == route })
	if len(remaining) == 0 {
		delete(x.routesByPrefix, prefix)
		return
	}
	x.routesByPrefix[prefix] = remaining
}

// countReference adds a record to the usage of its service (sign 1), or subtracts it (sign -1).
func (x *index) countReference(record *Record, sign int) {
	if record.Service == "" || record.Kind == KindService {
		return
	}
	usage := x.usageByService[record.Service]
	usage.referenceCount += sign
	usage.shareSum += int64(sign) * record.share
	if usage == (serviceUsage{}) {
		delete(x.usageByService, record.Service)
		return
	}
	x.usageByService[record.Service] = usage
}

// routePrefix returns the prefix of a route. Its body decodes without an error, because records are parsed before they
// are stored.
func routePrefix(record *Record) string {
	spec, err := record.Route()
	if err != nil {
		return ""
	}
	return spec.Prefix
}
