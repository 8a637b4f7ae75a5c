package main

import (
	"testing"

	"harehook.dev/harehook/internal/goldentest"
)

// TestGoldenJSON compares the JSON that harehookctl prints with that of commit 3968cf4. What members and followers tell
// is compared in their packages.
func TestGoldenJSON(t *testing.T) {
	goldentest.CompareJSON(t, "output.json", &sidecarOutput{}, &tableOutput{}, &savedHistory{})
}
