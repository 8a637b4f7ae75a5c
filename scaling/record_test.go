package scaling

import "testing"

// A change of one tenant must not cost more in the operators' full state than in a tenth of it. The test guards against
// work per change that grows with the number of records. It compares counts and bytes, not times.
func TestRecordChangeAtOperatorsSize(t *testing.T) {
	const most = 1.2
	tenth, err := recordChangeSample(OperatorsTenants/10, Brief)
	if err != nil {
		t.Fatal(err)
	}
	full, err := recordChangeSample(OperatorsTenants, Brief)
	if err != nil {
		t.Fatal(err)
	}
	for _, q := range []Quantity{Wire, Stored, Allocations, Allocated} {
		if underRace && q.isMemory() {
			continue
		}
		t.Logf("%s: %.4g at a tenth of the size, %.4g at the full size", q, tenth.Values[q], full.Values[q])
		if !(full.Values[q] <= most*tenth.Values[q]) {
			t.Errorf("%s: got %.4g at the full size, want at most %.4g, %.1f times that at a tenth", q, full.Values[q], most*tenth.Values[q], most)
		}
	}
}
