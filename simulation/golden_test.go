package simulation

import (
	"os"
	"testing"

	"harehook.dev/harehook/internal/goldentest"
)

// TestGoldenExperiment reads an experiment that sets each figure and compares the result with that of commit 3968cf4.
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
