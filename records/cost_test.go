package records

import (
	"fmt"
	"runtime"
	"testing"
)

// The expected numbers of records; tests fill a store with up to twice as many.
const (
	expectedServices = 570
	expectedRoutes   = 3400
	expectedTenants  = 140000
)

// filledStore returns a store with a multiple of the expected numbers of services, routes and tenants: size 1 is the
// expected size, 0.1 a tenth of it.
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

// changeCost is the mean cost of one change.
type changeCost struct {
	allocations, bytes float64 // of memory, for applying the change and reading it in a scope
	history            float64 // bytes that the change counts toward the bound of the history
}

// measureChangeCost measures the mean cost of a change of one tenant on a store of the given size. The function
// afterChange, which may be nil, is called after each change.
func measureChangeCost(t testing.TB, size float64, afterChange func(*Store)) changeCost {
	t.Helper()
	s := filledStore(t, size)
	const changes = 1000
	services, tenants := int(expectedServices*size), int(expectedTenants*size)
	scope := Scope{Services: []string{serviceName(1), serviceName(2)}, Zones: []string{"zone-01"}}
	transactions := make([]Transaction, changes)
	for i := range transactions {
		transactions[i].Writes = []Write{tenantWrite(i*7919%tenants, services, 0.002+float64(i)*1e-6)}
	}
	s.DropHistory()
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for _, transaction := range transactions {
		last := s.Revision()
		if _, err := s.Apply(last+1, transaction); err != nil {
			t.Fatal(err)
		}
		s.Since(last, scope)
		if afterChange != nil {
			afterChange(s)
		}
	}
	runtime.ReadMemStats(&after)
	return changeCost{
		allocations: float64(after.Mallocs-before.Mallocs) / changes, bytes: float64(after.TotalAlloc-before.TotalAlloc) / changes,
		history: float64(s.history.bytes) / changes,
	}
}

// maxGrowth bounds the ratio between the costs of a change at ten times the size and at the size.
const maxGrowth = 1.2

// describeGrowth describes the first cost that grows by more than maxGrowth, or returns an empty string if none does.
func describeGrowth(small, large changeCost) string {
	switch {
	case large.allocations > maxGrowth*small.allocations:
		return fmt.Sprintf("allocations per change: got %.1f, want at most %.1f", large.allocations, maxGrowth*small.allocations)
	case large.bytes > maxGrowth*small.bytes:
		return fmt.Sprintf("allocated bytes per change: got %.0f, want at most %.0f", large.bytes, maxGrowth*small.bytes)
	case large.history > maxGrowth*small.history:
		return fmt.Sprintf("history bytes per change: got %.0f, want at most %.0f", large.history, maxGrowth*small.history)
	}
	return ""
}

// TestChangeCostDoesNotGrowWithTheStore guards against changes whose cost depends on the size of the store. It compares
// the cost of a change at a tenth of the expected size with the cost at the full size, in allocations and bytes, not in
// time.
func TestChangeCostDoesNotGrowWithTheStore(t *testing.T) {
	small, large := measureChangeCost(t, 0.1, nil), measureChangeCost(t, 1, nil)
	t.Logf("a tenth of the expected size: %+v; the expected size: %+v", small, large)
	if growth := describeGrowth(small, large); growth != "" {
		t.Error(growth)
	}
}

// TestPlantedGrowthOfChangeCostIsCaught verifies that the bound detects the faults it guards against: an index that is
// copied at each change, and a history that grows with the state.
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
			growth := describeGrowth(measureChangeCost(t, 0.1, planted), measureChangeCost(t, 1, planted))
			if growth == "" {
				t.Error("the planted fault was not detected")
			}
			t.Log(growth)
		})
	}
}

// TestTwiceTheExpectedSizeFits verifies that a store with twice the expected number of records stays within the bounds
// on memory and on messages, and that its snapshot can be restored.
func TestTwiceTheExpectedSizeFits(t *testing.T) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := filledStore(t, 2)
	s.DropHistory()
	runtime.GC()
	runtime.ReadMemStats(&after)
	records := s.Count(KindRoute) + s.Count(KindService) + s.Count(KindTenant)
	size, limit := s.Size()
	perRecord := float64(after.HeapAlloc-before.HeapAlloc) / float64(records)
	snapshot := s.Snapshot()
	t.Logf("%d records: size %d of at most %d bytes, %.0f bytes of memory per record, snapshot of %d bytes", records, size, limit, perRecord, len(snapshot))
	if s.Count(KindRoute) != 2*expectedRoutes || s.Count(KindTenant) != 2*expectedTenants {
		t.Errorf("got %d routes and %d tenants, want %d and %d", s.Count(KindRoute), s.Count(KindTenant), 2*expectedRoutes, 2*expectedTenants)
	}
	if perRecord > maxMemoryPerRecord {
		t.Errorf("memory per record: got %.0f bytes, want at most %d", perRecord, maxMemoryPerRecord)
	}
	const largestMessage = 64 << 20 // between members
	if len(snapshot)+maxHistoryBytes > largestMessage/2 {
		t.Errorf("snapshot with a full history: got %d bytes, want at most %d, half of a message", len(snapshot)+maxHistoryBytes, largestMessage/2)
	}
	if err := s.Restore(snapshot); err != nil {
		t.Error(err)
	}
}

// maxMemoryPerRecord bounds the mean memory of a record with its index entries, in bytes.
const maxMemoryPerRecord = 350
