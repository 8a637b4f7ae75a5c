package cluster

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"harehook.dev/harehook/records"
)

// The expected size of a configuration.
const (
	expectedServices = 570
	expectedTenants  = 140000
)

// filledState creates a state with a fraction of the expected size, and returns the next log index.
func filledState(t testing.TB, size float64) (s *State, index uint64) {
	t.Helper()
	s = NewState(nil)
	services, tenants := int(expectedServices*size), int(expectedTenants*size)
	var writes []records.Write
	flush := func() {
		index++
		mustApply(t, s, index, recordsCommand(fmt.Sprint("fill-", index), writes...))
		writes = nil
	}
	for i := range services + tenants {
		if i < services {
			writes = append(writes, recordWrite(records.KindService, fmt.Sprint("service-", i), 0, records.ServiceSpec{}))
		} else {
			writes = append(writes, tenantWrite(i-services, services, 0, 0.001))
		}
		if len(writes) == records.MaxTransactionWrites || i == services+tenants-1 {
			flush()
		}
	}
	return s, index + 1
}

func tenantWrite(i, services int, expect uint64, share float64) records.Write {
	return recordWrite(records.KindTenant, fmt.Sprintf("tenant-%06d", i), expect, records.TenantSpec{Service: fmt.Sprint("service-", i%services), Share: share})
}

func mustApply(t testing.TB, s *State, index uint64, c Command) (entryBytes int) {
	t.Helper()
	data, err := json.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	if _, r := s.Apply(index, 1, data); r.Rejected != "" {
		t.Fatal(r.Rejected)
	}
	return len(data)
}

// entryCost is the mean cost of one change and its log entry.
type entryCost struct{ allocations, bytes, logBytes float64 }

// measureEntryCost measures the mean cost over many changes of one tenant. It calls afterChange after each change
// unless that is nil.
func measureEntryCost(t testing.TB, size float64, afterChange func(*State)) (cost entryCost) {
	t.Helper()
	s, index := filledState(t, size)
	s.Store().DropHistory()
	const changes = 1000
	services, tenants := int(expectedServices*size), int(expectedTenants*size)
	entries := make([][]byte, changes)
	for i := range entries {
		write := tenantWrite(i*7919%tenants, services, 0, 0.002+float64(i)*1e-6)
		write.AnyRevision = true
		data, err := json.Marshal(recordsCommand(fmt.Sprintf("operator-%07d", i), write))
		if err != nil {
			t.Fatal(err)
		}
		entries[i] = data
		cost.logBytes += float64(len(data)) / changes
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i, data := range entries {
		if _, r := s.Apply(index+uint64(i), 1, data); r.Rejected != "" {
			t.Fatal(r.Rejected)
		}
		if afterChange != nil {
			afterChange(s)
		}
	}
	runtime.ReadMemStats(&after)
	cost.allocations = float64(after.Mallocs-before.Mallocs) / changes
	cost.bytes = float64(after.TotalAlloc-before.TotalAlloc) / changes
	return cost
}

// growthFault describes a growth of the cost beyond the bound; empty if there is none.
func (small entryCost) growthFault(large entryCost) string {
	const maxGrowth = 1.2
	if large.allocations > maxGrowth*small.allocations || large.bytes > maxGrowth*small.bytes || large.logBytes > maxGrowth*small.logBytes {
		return fmt.Sprintf("cost of an entry: got %+v with the larger state, want at most %g times %+v as with the smaller one", large, maxGrowth, small)
	}
	return ""
}

// TestEntryCostDoesNotGrowWithTheState compares the cost of one change between a tenth of the expected size and the
// full size: the size of the log entry, and the number and size of the allocations when it is applied. It does not
// compare times. A planted fault, a scan of all tenants at each change, must be detected.
func TestEntryCostDoesNotGrowWithTheState(t *testing.T) {
	small, large := measureEntryCost(t, 0.1, nil), measureEntryCost(t, 1, nil)
	t.Logf("a tenth of the size: %+v; full size: %+v", small, large)
	if fault := small.growthFault(large); fault != "" {
		t.Error(fault)
	}
	planted := func(s *State) { s.Store().OfKinds(records.KindTenant) } // planted fault: scans all tenants at each change
	smallPlanted, largePlanted := measureEntryCost(t, 0.01, planted), measureEntryCost(t, 0.1, planted)
	if smallPlanted.growthFault(largePlanted) == "" {
		t.Errorf("a planted scan of all tenants is not detected: got %+v at 0.01 of the size, %+v at 0.1", smallPlanted, largePlanted)
	}
}
