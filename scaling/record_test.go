package scaling

import "testing"

// A change of one tenant must not cost more in the operators' full state than in a tenth of it. The test guards against
// work per change that grows with the number of records. It compares counts and bytes, not times.
func TestRecordChangeAtOperatorsSize(t *testing.T) {
	const maxRatio = 1.2
	tenth, err := recordChangeSample(OperatorsTenants/10, Brief)
	if err != nil {
		t.Fatal(err)
	}
	full, err := recordChangeSample(OperatorsTenants, Brief)
	if err != nil {
		t.Fatal(err)
	}
	for _, quantity := range []Quantity{Wire, Stored, Allocations, Allocated} {
		if underRace && quantity.isMemory() {
			continue
		}
		t.Logf("%s: %.4g at a tenth of the size, %.4g at the full size", quantity, tenth.Values[quantity], full.Values[quantity])
		if !(full.Values[quantity] <= maxRatio*tenth.Values[quantity]) {
			t.Errorf("%s: got %.4g at the full size, want at most %.4g, %.1f times that at a tenth", quantity, full.Values[quantity], maxRatio*tenth.Values[quantity], maxRatio)
		}
	}
}
