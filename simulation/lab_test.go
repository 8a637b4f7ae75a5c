package simulation

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"harehook.dev/harehook/cluster"
)

func setup(seed uint64, members int) Setup {
	return Setup{Seed: seed, Members: members, Ticks: 3000, FaultFreeTicks: 600, Timing: cluster.Timing{ElectionTicks: 20, HeartbeatTicks: 4, CompactAfterEntries: 30},
		MinDelay: 0, MaxDelay: 6, Loss: 0.03, Duplication: 0.03, MaxSyncDelay: 1, FaultEvery: 60, ProposeEvery: 30, Sidecars: 6}
}

// Over many seeds of crashes, cuts, stalls, slow disks and changes of members nothing that must never be is seen, and
// once faults end a change is agreed and held by all within a stated time.
func TestSeeds(t *testing.T) {
	const seeds, settled = 60, 500
	agreed := 0
	for seed := range uint64(seeds) {
		set := setup(seed, 3+2*int(seed%2))
		out := Play(set)
		for _, v := range out.Violations {
			t.Errorf("seed %d: %s; least faults: %v", seed, v, Shrink(set))
		}
		if out.Settled < 0 || out.Settled > settled {
			t.Errorf("seed %d: settled after %d ticks", seed, out.Settled)
		}
		agreed += out.Agreed
		if t.Failed() {
			return
		}
	}
	t.Logf("%d versions agreed", agreed)
}

// The same seed is the same run.
func TestSame(t *testing.T) {
	for seed := range uint64(5) {
		if a, b := Play(setup(seed, 5)), Play(setup(seed, 5)); a.Fingerprint != b.Fingerprint || fmt.Sprint(a) != fmt.Sprint(b) {
			t.Errorf("seed %d: %x and %x", seed, a.Fingerprint, b.Fingerprint)
		}
	}
}

// Each checker sees a fault that is planted for it.
func TestPlanted(t *testing.T) {
	for _, planted := range []Planted{VoteNotSynced, BeforeCommit, StaleRead} {
		seen := ""
		for seed := uint64(0); seed < 60 && seen == ""; seed++ {
			set := setup(seed, 3)
			set.Planted = planted
			if v := Play(set).Violations; len(v) > 0 {
				seen = fmt.Sprint("seed ", seed, ": ", v[0])
			}
		}
		if seen == "" {
			t.Errorf("%s was not seen", planted)
		}
		t.Log(planted, seen)
	}
}

const small = `experiment "small" { seeds 3; ticks 600; calm 100; election 10 20; members 3 5; }`

// An experiment's rows are the same however many are played at once, and come back from the file.
func TestExperiment(t *testing.T) {
	e, err := ReadExperiment(small)
	if err != nil {
		t.Fatal(err)
	}
	folder := t.TempDir()
	var out strings.Builder
	rows, err := e.Write(folder, &out)
	if err != nil {
		t.Fatal(err)
	}
	if len(rows) != 12 || !strings.Contains(out.String(), "runs 12, with a violation 0") {
		t.Errorf("%d rows\n%s", len(rows), out.String())
	}
	back, err := Load(filepath.Join(folder, "small.parquet"))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(e.Run(), back, cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("-played again +kept:\n%s", diff)
	}
	for _, m := range []string{"commit", "held"} {
		if about, err := os.Stat(filepath.Join(folder, "small-"+m+".png")); err != nil || about.Size() < 1000 {
			t.Errorf("chart of %s: %v", m, err)
		}
	}
	for text, want := range map[string]string{
		"experiment \"x\" {\n speed 3\n}":                        "line 2: \"speed\" is no figure of a run",
		"experiment \"x\" {\n loss \"much\"\n}":                  "line 2: \"loss\" takes numbers",
		"experiment \"x\" {\n members\n}":                        "line 2: \"members\" has no value",
		"experiment \"x\" { calm 9; ticks 9; }":                  "calm is under ticks",
		"trial \"x\"":                                            "is one \"experiment\"",
		"experiment \"x\" { delay 1 2; loss 0 1; members 3 5; }": "two figures are swept at most",
	} {
		if _, err := ReadExperiment(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: %v, want %q", text, err, want)
		}
	}
}

// A run that fails is cut down to faults that it takes.
func TestShrink(t *testing.T) {
	set := setup(1, 3)
	set.Planted = VoteNotSynced
	for len(Play(set).Violations) == 0 {
		set.Seed++
	}
	all := Draw(set)
	least := Shrink(set)
	set.Faults = least
	if len(Play(set).Violations) == 0 || len(least) >= len(all) {
		t.Errorf("%d faults of %d, violations %v", len(least), len(all), Play(set).Violations)
	}
	t.Log(len(all), "to", len(least))
}

func BenchmarkPlay(b *testing.B) {
	for seed := uint64(0); b.Loop(); seed++ {
		Play(setup(seed%20, 5))
	}
}
