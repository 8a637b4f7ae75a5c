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
	random  *rand.Rand
	leader  *records.Store // refuses what the group refuses
	entries []entry
	states  map[uint64]map[records.Key]*records.Record
	last    uint64
}

func newAgreedLog(random *rand.Rand) *agreedLog {
	log := &agreedLog{random: random, leader: records.NewStore(), states: map[uint64]map[records.Key]*records.Record{0: {}}}
	log.commit(log.firstTransaction())
	return log
}

// firstTransaction creates all that others change.
func (l *agreedLog) firstTransaction() (first records.Transaction) {
	for n := range serviceCount {
		first.Writes = append(first.Writes, l.writeService(n))
	}
	for n := range routeCount {
		first.Writes = append(first.Writes, l.writeRoute(n))
	}
	for n := range tenantCount {
		first.Writes = append(first.Writes, l.writeTenant(n))
	}
	return first
}

// propose commits a random transaction if the group would take it.
func (l *agreedLog) propose() bool {
	var drawn records.Transaction
	seen := map[records.Key]bool{}
	for range 1 + l.random.IntN(maxWrites) {
		write := l.drawWrite()
		if !seen[write.Key] {
			seen[write.Key] = true
			drawn.Writes = append(drawn.Writes, write)
		}
	}
	return l.commit(drawn)
}

func (l *agreedLog) drawWrite() (write records.Write) {
	switch l.random.IntN(4) {
	case 0:
		return l.writeService(l.random.IntN(serviceCount)) // stays: others refer to it
	case 1:
		write = l.writeRoute(l.random.IntN(routeCount))
	case 2:
		write = l.writeTenant(l.random.IntN(tenantCount))
	default:
		write = l.writeOverride(l.random.IntN(overrideCount))
	}
	if l.random.IntN(4) == 0 {
		write.Body = nil // removes it
	}
	return write
}

func (l *agreedLog) writeService(n int) records.Write {
	spec := records.ServiceSpec{Zones: []string{l.zone(), l.zone()}}
	return newWrite(records.KindService, fmt.Sprintf("s%d", n), spec)
}

func (l *agreedLog) writeRoute(n int) records.Write {
	service := l.service()
	if l.random.IntN(10) == 0 {
		service = ""
	}
	spec := records.RouteSpec{Service: service, Prefix: fmt.Sprintf("/r%d", n), TimeLimitMS: float64(1 + l.random.IntN(5000))}
	return newWrite(records.KindRoute, fmt.Sprintf("r%d", n), spec)
}

func (l *agreedLog) writeTenant(n int) records.Write {
	spec := records.TenantSpec{Service: l.service(), Share: float64(1+l.random.IntN(9)) / 1000}
	return newWrite(records.KindTenant, fmt.Sprintf("t%d", n), spec)
}

func (l *agreedLog) writeOverride(n int) records.Write {
	spec := records.OverrideSpec{Service: l.service(), Zone: l.zone(), State: records.StateDraining}
	return newWrite(records.KindOverride, fmt.Sprintf("o%d", n), spec)
}

func (l *agreedLog) service() string { return fmt.Sprintf("s%d", l.random.IntN(serviceCount)) }
func (l *agreedLog) zone() string    { return fmt.Sprintf("z%d", l.random.IntN(zoneCount)) }

func newWrite(kind records.Kind, name string, spec any) records.Write {
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err) // specs are plain structs
	}
	return records.Write{Key: records.Key{Kind: kind, Name: name}, Body: body, AnyRevision: true}
}

// commit adds a transaction to the log, some places after the last one, and works out the state after it.
func (l *agreedLog) commit(transaction records.Transaction) bool {
	revision := l.last + 1 + uint64(l.random.IntN(3))
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
