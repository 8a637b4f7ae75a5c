package scaling

import (
	"math"
	"testing"
)

func TestFitsOfKnownGrowth(t *testing.T) {
	var samples []Sample
	for _, size := range []int{10, 30, 100, 300} {
		s := newSample(size)
		s.Values[Wire] = 7 + 3*float64(size)
		s.Values[Heap] = 2 * float64(size) * float64(size)
		samples = append(samples, s)
	}
	line, known := FitOf(samples, Wire)
	if !known || math.Abs(line.PerUnit-3) > 1e-9 || math.Abs(line.Base-7) > 1e-6 || math.Abs(line.R2-1) > 1e-9 {
		t.Errorf("a line of 7 and 3 for each: %+v", line)
	}
	square, known := FitOf(samples, Heap)
	if !known || math.Abs(square.Exponent-2) > 1e-9 || math.Abs(square.Tail-2) > 1e-9 {
		t.Errorf("a square: %+v", square)
	}
	if at := square.At(samples[3], 600); math.Abs(at-2*600*600) > 1 {
		t.Errorf("carried on to 600: %v", at)
	}
	if _, known := FitOf(samples, CPU); known {
		t.Error("a fit of what was not measured")
	}
}
