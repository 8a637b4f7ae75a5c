package scaling

import (
	"math"
	"testing"
)

func TestFitsOfKnownGrowth(t *testing.T) {
	var samples []Sample
	for _, size := range []int{10, 30, 100, 300} {
		sample := newSample(size)
		sample.Values[Wire] = 7 + 3*float64(size)
		sample.Values[Heap] = 2 * float64(size) * float64(size)
		samples = append(samples, sample)
	}
	line, known := FitOf(samples, Wire)
	if !known || math.Abs(line.PerUnit-3) > 1e-9 || math.Abs(line.Base-7) > 1e-6 || math.Abs(line.R2-1) > 1e-9 {
		t.Errorf("fit of 7 + 3*size: got %+v (known: %v), want base 7, 3 per unit, R2 1", line, known)
	}
	square, known := FitOf(samples, Heap)
	if !known || math.Abs(square.Exponent-2) > 1e-9 || math.Abs(square.Tail-2) > 1e-9 {
		t.Errorf("fit of 2*size^2: got %+v (known: %v), want exponent and tail 2", square, known)
	}
	if extrapolated := square.At(samples[3], 600); math.Abs(extrapolated-2*600*600) > 1 {
		t.Errorf("2*size^2 extrapolated to 600: got %v, want %v", extrapolated, 2*600*600)
	}
	if _, known := FitOf(samples, CPU); known {
		t.Error("fit of CPU, which was not measured: got a fit, want none")
	}
}
