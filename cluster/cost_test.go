package cluster

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"harehook.dev/harehook/records"
)

// The sizes that operators expect.
const (
	expectedServices = 570
	expectedTenants  = 140000
)

// filledState makes a state of a part of the expected size, and gives its next index.
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

// entryCost is what the entry of one change takes.
type entryCost struct{ allocations, bytes, logBytes float64 }

// costOfEntry measures the mean over many changes of one tenant. After each one more is done, nil for nothing.
func costOfEntry(t testing.TB, size float64, more func(*State)) (cost entryCost) {
	t.Helper()
	s, index := filledState(t, size)
	s.Store().Forget()
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
		if more != nil {
			more(s)
		}
	}
	runtime.ReadMemStats(&after)
	cost.allocations = float64(after.Mallocs-before.Mallocs) / changes
	cost.bytes = float64(after.TotalAlloc-before.TotalAlloc) / changes
	return cost
}

func (small entryCost) growthFault(large entryCost) string {
	const most = 1.2
	if large.allocations > most*small.allocations || large.bytes > most*small.bytes || large.logBytes > most*small.logBytes {
		return fmt.Sprintf("%+v at a tenth, %+v at the whole", small, large)
	}
	return ""
}

// TestEntryCostDoesNotGrowWithTheState compares the entry of one change, its application and the memory that takes at a
// tenth of the expected size and at the whole: counts and bytes, not times.
func TestEntryCostDoesNotGrowWithTheState(t *testing.T) {
	small, large := costOfEntry(t, 0.1, nil), costOfEntry(t, 1, nil)
	t.Logf("a tenth: %+v; the whole: %+v", small, large)
	if fault := small.growthFault(large); fault != "" {
		t.Error(fault)
	}
	planted := func(s *State) { s.Store().OfKinds(records.KindTenant) } // as one who looks at all records at each change
	smallPlanted, largePlanted := costOfEntry(t, 0.01, planted), costOfEntry(t, 0.1, planted)
	if smallPlanted.growthFault(largePlanted) == "" {
		t.Errorf("a planted look at all is not caught: %+v and %+v", smallPlanted, largePlanted)
	}
}
