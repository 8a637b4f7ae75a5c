package simulation

import (
	"os"
	"testing"

	"harehook.dev/harehook/internal/goldentest"
)

// TestGoldenExperiment reads an experiment that sets each figure, and compares it with what commit 3968cf4 read.
func TestGoldenExperiment(t *testing.T) {
	text, err := os.ReadFile("testdata/experiment.kdl")
	if err != nil {
		t.Fatal(err)
	}
	experiment, err := ReadExperiment(string(text))
	if err != nil {
		t.Fatal(err)
	}
	goldentest.Compare(t, "experiment.txt", goldentest.Values(experiment))
}
