package scaling

import "testing"

// A change costs the same in a tenth of the operators' state as in the whole. Counts and bytes are compared, not times.
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
		t.Logf("%s: %.4g at a tenth, %.4g at the whole", q, tenth.Values[q], full.Values[q])
		if !(full.Values[q] <= most*tenth.Values[q]) {
			t.Errorf("%s grows from %.4g to %.4g", q, tenth.Values[q], full.Values[q])
		}
	}
}
