package parallel

import (
	"slices"
	"testing"
)

func TestMapReturnsResultsInInputOrder(t *testing.T) {
	var inputs, want []int
	for n := range 1000 {
		inputs = append(inputs, n)
		want = append(want, n*n)
	}
	got := Map(inputs, func(n int) int { return n * n })
	if !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestMapWithoutInputs(t *testing.T) {
	got := Map(nil, func(n int) int { return n })
	if len(got) != 0 {
		t.Errorf("got %v, want no results", got)
	}
}
