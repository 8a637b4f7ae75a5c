package scaling

import (
	"encoding/json"
	"fmt"
	"math"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/config"
	"harehook.dev/harehook/records"
)

const (
	servicesPerScope   = 6    // services that a controller's sidecars call
	initialShare       = 2e-4 // share of each tenant in its service's capacity, so that the sum is less than 1
	changeShare        = 1e-4 // minimum share of a changed tenant, with as many digits as any other
	shareSteps         = 9000 // distinct shares of changed tenants, each with the same number of digits
	shareStep          = 1e-8
	changeStride       = 7919   // a prime: tenants changed in sequence are far apart in every order
	changesPerSnapshot = 100    // changes between two snapshots
	minServices        = 10     // of a small state, so that a scope of six is only a part of it
	historyChanges     = 20     // changes over which the history's bytes are averaged
	doubleTenants      = 280000 // twice the operators' size
)

// recordState is a group's state with records, in the operators' proportions of services, routes and tenants.
type recordState struct {
	replicated                *cluster.State
	services, routes, tenants int
	index                     uint64
	changes                   int
}

// newRecordState returns a state with the given number of tenants and a proportional number of routes and services,
// written by transactions.
func newRecordState(tenants int) (*recordState, error) {
	fraction := float64(tenants) / OperatorsTenants
	state := &recordState{
		replicated: cluster.NewState(config.TextFormat{}),
		services:   max(minServices, int(math.Round(fraction*OperatorsServices))),
		routes:     max(1, int(math.Round(fraction*OperatorsRoutes))),
		tenants:    tenants,
	}
	var writes []records.Write
	for n := range state.services {
		writes = append(writes, newWrite(records.KindService, serviceName(n), records.ServiceSpec{Zones: []string{fmt.Sprint("zone-", n%OperatorsZones)}}))
	}
	for n := range state.routes {
		writes = append(writes, newWrite(records.KindRoute, fmt.Sprintf("route-%04d", n), records.RouteSpec{
			Service:     serviceName(n % state.services),
			Prefix:      fmt.Sprintf("/route-%04d", n),
			TimeLimitMS: 2000,
		}))
	}
	for n := range tenants {
		writes = append(writes, state.writeTenant(n, initialShare))
	}
	for len(writes) > 0 {
		n := min(len(writes), records.MaxTransactionWrites)
		if _, err := state.write(writes[:n]); err != nil {
			return nil, err
		}
		writes = writes[n:]
	}
	return state, nil
}

func serviceName(n int) string { return fmt.Sprintf("service-%03d", n) }

func newWrite(kind records.Kind, name string, spec any) records.Write {
	body, err := json.Marshal(spec)
	if err != nil {
		panic(err) // specs are plain structs of strings and finite numbers
	}
	return records.Write{Key: records.Key{Kind: kind, Name: name}, Body: body, AnyRevision: true}
}

func (r *recordState) writeTenant(n int, share float64) records.Write {
	return newWrite(records.KindTenant, fmt.Sprintf("tenant-%06d", n), records.TenantSpec{
		Service: serviceName(n % r.services),
		Share:   share,
	})
}

// write proposes and applies a transaction, and returns the size of its log entry in bytes.
func (r *recordState) write(writes []records.Write) (entryBytes int, err error) {
	r.index++
	data, err := json.Marshal(cluster.Command{
		Kind:   cluster.CommandRecords,
		Client: operatorClient,
		Seq:    r.index,
		Writes: writes,
		By:     operatorClient,
		Why:    "one share changes",
	})
	if err != nil {
		return 0, err
	}
	return len(data), applyAccepted(r.replicated, r.index, data)
}

// change sets another share for one tenant, and returns the size of the log entry in bytes.
func (r *recordState) change() (entryBytes int, err error) {
	r.changes++
	return r.write([]records.Write{r.writeTenant(r.changes*changeStride%r.tenants, changeShare+float64(r.changes%shareSteps)*shareStep)})
}

// scope returns a controller's scope.
func (r *recordState) scope() records.Scope {
	scope := records.Scope{Zones: []string{"zone-0"}}
	for n := range servicesPerScope {
		scope.Services = append(scope.Services, serviceName(n))
	}
	return scope.Normalized()
}

// recordChangeSample measures one changed tenant at a member. Stored is the bytes that the change adds to the encoded
// history.
func recordChangeSample(tenants int, effort Effort) (Sample, error) {
	return measureRecordChanges(tenants, effort, func(state *recordState) (int, error) { return state.change() })
}

// measureRecordChanges measures a change of a state.
func measureRecordChanges(tenants int, effort Effort, change func(*recordState) (entryBytes int, err error)) (Sample, error) {
	sample := newSample(tenants)
	state, err := newRecordState(tenants)
	if err != nil {
		return sample, err
	}
	if sample.Values[Stored], err = historyBytes(state, change); err != nil {
		return sample, err
	}
	return sample, repeat(&sample, effort, func() error {
		entryBytes, err := change(state)
		sample.Values[Wire] = float64(entryBytes)
		return err
	})
}

// historyBytes returns the bytes per change in the history of the records, after earlier history is dropped.
func historyBytes(state *recordState, change func(*recordState) (int, error)) (float64, error) {
	state.replicated.Store().DropHistory()
	var before int
	for n := range historyChanges + 1 {
		if n == 1 { // the baseline follows the first change, which sets the size of the later ones
			before = len(state.replicated.Store().Snapshot())
		}
		if _, err := change(state); err != nil {
			return 0, err
		}
	}
	return float64(len(state.replicated.Store().Snapshot())-before) / historyChanges, nil
}

// recordMemorySample measures the memory and the snapshot of a state. Values are per record.
func recordMemorySample(tenants int, _ Effort) (Sample, error) {
	sample := newSample(tenants)
	heap, state, err := measureHeap(func() (*recordState, error) {
		state, err := newRecordState(tenants)
		if err == nil {
			state.replicated.Store().DropHistory()
		}
		return state, err
	})
	if err != nil {
		return sample, err
	}
	snapshot, err := state.replicated.Snapshot()
	if err != nil {
		return sample, err
	}
	count := float64(state.services + state.routes + state.tenants)
	sample.Values[Heap] = heap / count
	sample.Values[Stored] = float64(len(snapshot)) / count
	return sample, nil
}

// recordSnapshotSample measures a snapshot 100 changes after the previous one. The snapshot blocks the member.
func recordSnapshotSample(tenants int, effort Effort) (Sample, error) {
	sample := newSample(tenants)
	state, err := newRecordState(tenants)
	if err != nil {
		return sample, err
	}
	state.replicated.Store().DropHistory()
	var cost meter
	snapshots := 0
	for ; snapshots == 0 || !effort.isEnough(&cost, snapshots-1, fullMinOperations); snapshots++ {
		// The first snapshot sorts all records and is not counted.
		for range changesPerSnapshot {
			if _, err := state.change(); err != nil {
				return sample, err
			}
		}
		if snapshots == 1 {
			cost = meter{}
		}
		cost.start()
		snapshot, err := state.replicated.Snapshot()
		cost.stop()
		if err != nil {
			return sample, err
		}
		sample.Values[Stored] = float64(len(snapshot))
	}
	cost.recordPerOperation(&sample, snapshots-1)
	return sample, nil
}

// recordRestoreSample measures the restore of a state from a snapshot. The restore blocks the member.
func recordRestoreSample(tenants int, effort Effort) (Sample, error) {
	sample := newSample(tenants)
	state, err := newRecordState(tenants)
	if err != nil {
		return sample, err
	}
	state.replicated.Store().DropHistory()
	snapshot, err := state.replicated.Snapshot()
	if err != nil {
		return sample, err
	}
	sample.Values[Stored] = float64(len(snapshot))
	return sample, repeat(&sample, effort, func() error { return state.replicated.Restore(snapshot) })
}

// recordReadSample measures a read of a scope of six services after a change, either of all records or of the changed
// ones.
func recordReadSample(tenants int, effort Effort, read func(store *records.Store, scope records.Scope) error) (Sample, error) {
	sample := newSample(tenants)
	state, err := newRecordState(tenants)
	if err != nil {
		return sample, err
	}
	if _, err := state.write([]records.Write{state.writeTenant(0, changeShare)}); err != nil { // a tenant of the first service, which is in the scope
		return sample, err
	}
	scope := state.scope()
	return sample, repeat(&sample, effort, func() error { return read(state.replicated.Store(), scope) })
}

func readAll(store *records.Store, scope records.Scope) error {
	if found := store.InScope(scope).Records; len(found) < servicesPerScope {
		return fmt.Errorf("read %d records in the scope, want at least %d", len(found), servicesPerScope)
	}
	return nil
}

func readChange(store *records.Store, scope records.Scope) error {
	if delta := store.Since(store.Revision()-1, scope); !delta.Available || len(delta.Updates) != 1 {
		return fmt.Errorf("read %d updates (history available: %v), want 1 from the history", len(delta.Updates), delta.Available)
	}
	return nil
}

func recordSlopes() []Slope {
	sizes := []int{OperatorsTenants / 10, 44000, OperatorsTenants, doubleTenants}
	const size = "tenants, with 570 services and 3,400 routes for each 140,000"
	return []Slope{
		{
			Name:      "record-change",
			Operation: "one changed tenant, as records; wire: log entry, stored: its part of the history, cpu and allocations: propose, validate and apply",
			Size:      size,
			Method:    Isolated,
			Sizes:     sizes,
			Run:       recordChangeSample,
		},
		{
			Name:      "record-memory",
			Operation: "one record in a member's state; heap: in memory, stored: in a snapshot",
			Size:      size,
			Method:    Isolated,
			Sizes:     sizes,
			Run:       recordMemorySample,
		},
		{
			Name:      "record-snapshot",
			Operation: "one snapshot of the state, 100 changes after the previous one",
			Size:      size,
			Method:    Isolated,
			Sizes:     sizes,
			Run:       recordSnapshotSample,
		},
		{
			Name:      "record-restore",
			Operation: "one restore of the state from a snapshot",
			Size:      size,
			Method:    Isolated,
			Sizes:     sizes,
			Run:       recordRestoreSample,
		},
		{
			Name:      "record-scope",
			Operation: "one full read of a scope of six services",
			Size:      size,
			Method:    Isolated,
			Sizes:     sizes,
			Run:       func(size int, effort Effort) (Sample, error) { return recordReadSample(size, effort, readAll) },
		},
		{
			Name:      "record-since",
			Operation: "one read of the latest change in a scope of six services",
			Size:      size,
			Method:    Isolated,
			Sizes:     sizes,
			Run:       func(size int, effort Effort) (Sample, error) { return recordReadSample(size, effort, readChange) },
		},
	}
}
