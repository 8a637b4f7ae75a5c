package loadtest

import (
	"os"
	"testing"

	"harehook.dev/harehook/internal/goldentest"
)

// TestGoldenJSON compares the JSON that harehook-testbed fleet prints with that of commit 3968cf4.
func TestGoldenJSON(t *testing.T) {
	goldentest.CompareJSON(t, "report.json", &Sweep{})
}

// TestGoldenExperiment compares the plan of an experiment that sets each figure with that of commit 3968cf4.
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
