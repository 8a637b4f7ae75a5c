package simulation

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
)

// smallExperiment has twelve runs: three seeds at each of four points.
const smallExperiment = `experiment "small" { seeds 3; ticks 600; calm 100; election 10 20; members 3 5; }`

// mustReadExperiment reads an experiment from a text that must be valid.
func mustReadExperiment(t *testing.T, text string) *Experiment {
	t.Helper()
	experiment, err := ReadExperiment(text)
	if err != nil {
		t.Fatal(err)
	}
	return experiment
}

// An experiment writes a table, a Parquet file and charts. Its runs execute on all cores in parallel, which must not
// affect the rows: those read back from the file must equal those of a second execution.
func TestExperimentRunsAreReproducible(t *testing.T) {
	const runs = 12
	experiment := mustReadExperiment(t, smallExperiment)
	folder := t.TempDir()
	var table strings.Builder
	rows, err := experiment.Write(folder, &table)
	if err != nil {
		t.Fatal(err)
	}
	if len(rows) != runs {
		t.Errorf("got %d rows, want %d", len(rows), runs)
	}
	if want := "runs 12, with a violation 0"; !strings.Contains(table.String(), want) {
		t.Errorf("got table:\n%s\nwant it to contain %q", table.String(), want)
	}
	stored, err := Load(filepath.Join(folder, "small.parquet"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(experiment.Run(), stored, cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("stored rows differ from those of a second execution (-second +stored):\n%s", diff)
	}
	for _, metric := range []string{"commit", "held"} {
		const minBytes = 1000
		chart, err := os.Stat(filepath.Join(folder, "small-"+metric+".png"))
		if err != nil || chart.Size() < minBytes {
			t.Errorf("chart of %s: got %v, error %v, want a file of at least %d bytes", metric, chart, err, minBytes)
		}
	}
}

func TestReadExperimentReportsMistakesWithLine(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"unknown figure", "experiment \"x\" {\n speed 3\n}", "line 2: unknown figure \"speed\""},
		{"no number", "experiment \"x\" {\n loss \"much\"\n}", "line 2: \"loss\" must be a number"},
		{"no value", "experiment \"x\" {\n members\n}", "line 2: \"members\" has no value"},
		{"no ticks with faults", "experiment \"x\" { calm 9; ticks 9; }", "calm less than ticks"},
		{"another document", "trial \"x\"", "must be a single node \"experiment\""},
		{"three sweeps", "experiment \"x\" { delay 1 2; loss 0 1; members 3 5; }", "at most 2 figures can be swept, got 3"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := ReadExperiment(test.text)
			if err == nil || !strings.Contains(err.Error(), test.want) {
				t.Errorf("ReadExperiment(%q): got error %v, want one that contains %q", test.text, err, test.want)
			}
		})
	}
}

func TestSpreadUsesNearestRank(t *testing.T) {
	got := newSpread([]int64{50, 10, 40, 20, 30})
	want := Spread{Count: 5, Percentile: Percentiles{P10: 10, P50: 30, P90: 50}, Max: 50}
	if got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if empty := newSpread(nil); empty != (Spread{}) {
		t.Errorf("no values: got %+v, want the zero Spread", empty)
	}
}
