package records

import (
	"fmt"
	"runtime"
	"testing"
)

// The sizes that operators expect, and how many times a full store is expected to hold them.
const (
	expectedServices = 570
	expectedRoutes   = 3400
	expectedTenants  = 140000
)

// filledStore makes a store of a part of the expected size: size 1 is the whole, 0.1 a tenth of services, routes and
// tenants.
func filledStore(t testing.TB, size float64) *Store {
	t.Helper()
	s := NewStore()
	services, routes, tenants := int(expectedServices*size), int(expectedRoutes*size), int(expectedTenants*size)
	var writes []Write
	add := func(w Write) {
		if writes = append(writes, w); len(writes) == MaxTransactionWrites {
			apply(t, s, writes...)
			writes = nil
		}
	}
	for i := range services {
		add(write(KindService, serviceName(i), ServiceSpec{Zones: []string{fmt.Sprintf("zone-%02d", i%42), fmt.Sprintf("zone-%02d", (i+7)%42)}}))
	}
	for i := range routes {
		add(write(KindRoute, fmt.Sprintf("route-%04d", i), RouteSpec{Service: serviceName(i % services), Prefix: fmt.Sprintf("/route-%04d", i), TimeLimitMS: 2000}))
	}
	for i := range tenants {
		add(tenantWrite(i, services, 0.001))
	}
	if len(writes) > 0 {
		apply(t, s, writes...)
	}
	return s
}

func serviceName(i int) string { return fmt.Sprintf("service-%03d", i) }

func tenantWrite(i, services int, share float64) Write {
	return write(KindTenant, fmt.Sprintf("tenant-%06d", i), TenantSpec{Service: serviceName(i % services), Share: share})
}

// changeCost is what one change takes.
type changeCost struct {
	allocations, bytes float64 // of memory, for the change and for telling it to a scope
	history            float64 // bytes that it adds to the history as encoded
}

// costOfChange measures the mean of many changes of one tenant each, on a store of a size. After each change more is
// done, nil for nothing.
func costOfChange(t testing.TB, size float64, more func(*Store)) changeCost {
	t.Helper()
	s := filledStore(t, size)
	const changes = 1000
	services, tenants := int(expectedServices*size), int(expectedTenants*size)
	scope := Scope{Services: []string{serviceName(1), serviceName(2)}, Zones: []string{"zone-01"}}
	transactions := make([]Transaction, changes)
	for i := range transactions {
		transactions[i].Writes = []Write{tenantWrite(i*7919%tenants, services, 0.002+float64(i)*1e-6)}
	}
	s.Forget()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for _, transaction := range transactions {
		last := s.Revision()
		if _, err := s.Apply(last+1, transaction); err != nil {
			t.Fatal(err)
		}
		s.Since(last, scope)
		if more != nil {
			more(s)
		}
	}
	runtime.ReadMemStats(&after)
	return changeCost{
		allocations: float64(after.Mallocs-before.Mallocs) / changes, bytes: float64(after.TotalAlloc-before.TotalAlloc) / changes,
		history: float64(s.history.bytes) / changes,
	}
}

// maxGrowth is the bound on what a change costs more at ten times the size.
const maxGrowth = 1.2

// growthFault says which part of a change's cost grows over the bound, empty if none.
func growthFault(small, large changeCost) string {
	switch {
	case large.allocations > maxGrowth*small.allocations:
		return fmt.Sprintf("allocations: %.1f and %.1f", small.allocations, large.allocations)
	case large.bytes > maxGrowth*small.bytes:
		return fmt.Sprintf("bytes: %.0f and %.0f", small.bytes, large.bytes)
	case large.history > maxGrowth*small.history:
		return fmt.Sprintf("bytes of history: %.0f and %.0f", small.history, large.history)
	}
	return ""
}

// TestChangeCostDoesNotGrowWithTheStore compares one change at a tenth of the expected size and at the whole. Counts
// and bytes are compared, not times.
func TestChangeCostDoesNotGrowWithTheStore(t *testing.T) {
	small, large := costOfChange(t, 0.1, nil), costOfChange(t, 1, nil)
	t.Logf("a tenth: %+v; the whole: %+v", small, large)
	if fault := growthFault(small, large); fault != "" {
		t.Error(fault)
	}
}

// TestPlantedGrowthOfChangeCostIsCaught plants what the bound is there for: a copy of a whole index, and the whole
// state in the history, at each change.
func TestPlantedGrowthOfChangeCostIsCaught(t *testing.T) {
	cases := map[string]func(*Store){
		"index copied": func(s *Store) {
			copied := make(map[string]serviceUsage, len(s.index.usageByService))
			for service, usage := range s.index.usageByService {
				copied[service] = usage
			}
			s.index.usageByService = copied
		},
		"state in the history": func(s *Store) { s.history.bytes += s.index.bytes / 1000 },
	}
	for name, planted := range cases {
		t.Run(name, func(t *testing.T) {
			fault := growthFault(costOfChange(t, 0.1, planted), costOfChange(t, 1, planted))
			if fault == "" {
				t.Error("not caught")
			}
			t.Log(fault)
		})
	}
}

// TestTwiceTheExpectedSizeFits fills a store with twice the expected size, restores its snapshot and states what that
// takes.
func TestTwiceTheExpectedSizeFits(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := filledStore(t, 2)
	s.Forget()
	runtime.GC()
	runtime.ReadMemStats(&after)
	records := s.Count(KindRoute) + s.Count(KindService) + s.Count(KindTenant)
	size, limit := s.Size()
	perRecord := float64(after.HeapAlloc-before.HeapAlloc) / float64(records)
	snapshot := s.Snapshot()
	t.Logf("%d records: %d bytes of %d counted, %.0f bytes of memory each, snapshot of %d bytes", records, size, limit, perRecord, len(snapshot))
	if s.Count(KindRoute) != 2*expectedRoutes || s.Count(KindTenant) != 2*expectedTenants {
		t.Error("not all records are held")
	}
	if perRecord > maxMemoryPerRecord {
		t.Errorf("%.0f bytes of memory a record, %d at most", perRecord, maxMemoryPerRecord)
	}
	const largestMessage = 64 << 20 // between members
	if len(snapshot)+maxHistoryBytes > largestMessage/2 {
		t.Errorf("a snapshot of %d bytes with a full history takes over half of a message", len(snapshot))
	}
	if err := s.Restore(snapshot); err != nil {
		t.Error(err)
	}
}

// maxMemoryPerRecord bounds the memory of a record of the expected kinds with its entries in the indexes.
const maxMemoryPerRecord = 350
