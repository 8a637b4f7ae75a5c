package followers

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"

	"harehook.dev/harehook/records"
)

// The records that transactions are drawn from.
const (
	serviceCount  = 6
	zoneCount     = 3
	routeCount    = 20
	tenantCount   = 40
	overrideCount = 8
	maxWrites     = 4
)

// entry is one agreed transaction.
type entry struct {
	revision    uint64
	transaction records.Transaction
}

// agreedLog is the group's log, and the states that it leads to as a naive model computes them: a copy of all records
// at each revision.
type agreedLog struct {
	rng     *rand.Rand
	leader  *records.Store // refuses what the group refuses
	entries []entry
	states  map[uint64]map[records.Key]*records.Record
	last    uint64
}

func newAgreedLog(random *rand.Rand) *agreedLog {
	log := &agreedLog{rng: random, leader: records.NewStore(), states: map[uint64]map[records.Key]*records.Record{0: {}}}
	log.commit(log.firstTransaction())
	return log
}

// firstTransaction creates all that others change.
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

// propose commits a random transaction if the group would take it.
func (l *agreedLog) propose() bool {
	var drawn records.Transaction
	seen := map[records.Key]bool{}
	for range 1 + l.rng.IntN(maxWrites) {
		write := l.drawWrite()
		if !seen[write.Key] {
			seen[write.Key] = true
			drawn.Writes = append(drawn.Writes, write)
		}
	}
	return l.commit(drawn)
}

func (l *agreedLog) drawWrite() (write records.Write) {
	switch l.rng.IntN(4) {
	case 0:
		return l.drawServiceWrite(l.rng.IntN(serviceCount)) // stays: others refer to it
	case 1:
		write = l.drawRouteWrite(l.rng.IntN(routeCount))
	case 2:
		write = l.drawTenantWrite(l.rng.IntN(tenantCount))
	default:
		write = l.drawOverrideWrite(l.rng.IntN(overrideCount))
	}
	if l.rng.IntN(4) == 0 {
		write.Body = nil // removes it
	}
	return write
}

func (l *agreedLog) drawServiceWrite(n int) records.Write {
	spec := records.ServiceSpec{Zones: []string{l.drawZone(), l.drawZone()}}
	return newWrite(records.KindService, fmt.Sprintf("s%d", n), spec)
}

func (l *agreedLog) drawRouteWrite(n int) records.Write {
	service := l.drawService()
	if l.rng.IntN(10) == 0 {
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

func newWrite(kind records.Kind, name string, spec any) records.Write {
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err) // specs are plain structs
	}
	return records.Write{Key: records.Key{Kind: kind, Name: name}, Body: body, AnyRevision: true}
}

// commit adds a transaction to the log, some places after the last one, and works out the state after it.
func (l *agreedLog) commit(transaction records.Transaction) bool {
	revision := l.last + 1 + uint64(l.rng.IntN(3))
	if _, err := l.leader.Apply(revision, transaction); err != nil {
		return false
	}
	l.record(revision, transaction)
	return true
}

// record computes the state after a transaction, without the store.
func (l *agreedLog) record(revision uint64, transaction records.Transaction) {
	state := maps.Clone(l.states[l.last])
	for _, write := range transaction.Writes {
		if len(write.Body) == 0 {
			delete(state, write.Key)
			continue
		}
		record, err := records.Parse(write.Key, write.Body)
		if err != nil {
			panic(err) // the store has taken it
		}
		record.Revision = revision
		if before := state[write.Key]; before == nil || !before.SameContent(record) {
			state[write.Key] = record
		}
	}
	l.entries = append(l.entries, entry{revision, transaction})
	l.states[revision], l.last = state, revision
}

// scopeAt is what a scope holds at a revision, by the model.
func (l *agreedLog) scopeAt(revision uint64, scope records.Scope) map[records.Key]*records.Record {
	received := map[records.Key]*records.Record{}
	for key, record := range l.states[revision] {
		if scope.Contains(record) {
			received[key] = record
		}
	}
	return received
}

// changedRecords are the records that a scope holds differently at two revisions: as they are later, or were before they
// were removed.
func changedRecords(before, after map[records.Key]*records.Record) (found []*records.Record) {
	for key, record := range after {
		if before[key] != record {
			found = append(found, record)
		}
	}
	for key, record := range before {
		if after[key] == nil {
			found = append(found, record)
		}
	}
	return found
}
