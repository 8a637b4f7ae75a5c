package main

import (
	"testing"

	"harehook.dev/harehook/internal/goldentest"
)

// TestGoldenJSON compares the JSON that harehookctl prints with the output of commit 3968cf4. The packages of members
// and followers compare the JSON of their own reports.
func TestGoldenJSON(t *testing.T) {
	goldentest.CompareJSON(t, "output.json", &sidecarOutput{}, &tableOutput{}, &savedHistory{})
}
