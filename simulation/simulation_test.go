package simulation

import (
	"fmt"
	"slices"
	"testing"

	"harehook.dev/harehook/cluster"
)

// testSetup is a run with all kinds of fault.
func testSetup(seed uint64, members int) Setup {
	return Setup{
		Seed:           seed,
		Members:        members,
		Ticks:          3000,
		FaultFreeTicks: 600,
		Timing:         cluster.Timing{ElectionTicks: 20, HeartbeatTicks: 4, CompactAfterEntries: 30},
		MinDelay:       0,
		MaxDelay:       6,
		Loss:           0.03,
		Duplication:    0.03,
		MaxSyncDelay:   1,
		FaultEvery:     60,
		ProposeEvery:   30,
		Sidecars:       6,
	}
}

// Members crash, are cut off, stall, have slow disks and are replaced, over many seeds. No run may have a violation, and
// once faults end, a change has to be agreed and held by all sidecars within a bound.
func TestGroupRecoversFromFaultsWithoutViolation(t *testing.T) {
	const seeds, maxSettledTicks = 60, 500
	agreed := 0
	for seed := range uint64(seeds) {
		setup := testSetup(seed, 3+2*int(seed%2))
		outcome := Play(setup)
		for _, violation := range outcome.Violations {
			t.Errorf("seed %d: %s; least faults: %v", seed, violation, Shrink(setup))
		}
		if outcome.Settled < 0 || outcome.Settled > maxSettledTicks {
			t.Errorf("seed %d: settled after %d ticks", seed, outcome.Settled)
		}
		agreed += outcome.Agreed
		if t.Failed() {
			return
		}
	}
	t.Logf("%d versions agreed", agreed)
}

// A run is played again by its seed: that is how a failure is searched. Equal seeds have to give equal runs.
func TestOneSeedIsOneRun(t *testing.T) {
	for seed := range uint64(5) {
		first := Play(testSetup(seed, 5))
		second := Play(testSetup(seed, 5))
		if first.Fingerprint != second.Fingerprint || fmt.Sprint(first) != fmt.Sprint(second) {
			t.Errorf("seed %d: %x and %x", seed, first.Fingerprint, second.Fingerprint)
		}
	}
}

func TestAnotherSeedIsAnotherRun(t *testing.T) {
	first := Play(testSetup(1, 5))
	second := Play(testSetup(2, 5))
	if first.Fingerprint == second.Fingerprint {
		t.Errorf("both have the fingerprint %x", first.Fingerprint)
	}
}

// The program is broken on purpose. A checker that is there for the fault has to see it within some seeds.
func TestCheckersSeePlantedFaults(t *testing.T) {
	const seeds = 60
	for _, test := range []struct {
		planted Planted
		seenAs  []ViolationKind
	}{
		{VoteNotSynced, []ViolationKind{NoPanic}}, // the raft library panics at a log that has lost what was committed
		{BeforeCommit, []ViolationKind{SameVersions, AgreedVersions}},
		{StaleRead, []ViolationKind{Linearizable}},
	} {
		t.Run(string(test.planted), func(t *testing.T) {
			for seed := range uint64(seeds) {
				setup := testSetup(seed, 3)
				setup.Planted = test.planted
				violations := Play(setup).Violations
				if len(violations) == 0 {
					continue
				}
				first := violations[0]
				if !slices.Contains(test.seenAs, first.Kind) {
					t.Errorf("seed %d: seen as %q, want one of %v: %s", seed, first.Kind, test.seenAs, first)
				}
				t.Logf("seed %d: %s", seed, first)
				return
			}
			t.Errorf("not seen in %d seeds", seeds)
		})
	}
}

// A run that fails has dozens of faults, most of which have no part in the failure. Shrink has to leave fewer, with which
// the run still fails.
func TestShrinkLeavesFewerFaultsThatStillFail(t *testing.T) {
	setup := testSetup(1, 3)
	setup.Planted = VoteNotSynced
	for len(Play(setup).Violations) == 0 {
		setup.Seed++
	}
	drawn := Draw(setup)
	least := Shrink(setup)
	setup.Faults = least
	violations := Play(setup).Violations
	if len(violations) == 0 || len(least) >= len(drawn) {
		t.Errorf("%d faults of %d, violations %v", len(least), len(drawn), violations)
	}
	t.Logf("%d faults shrunk to %d", len(drawn), len(least))
}

func BenchmarkPlay(b *testing.B) {
	for seed := uint64(0); b.Loop(); seed++ {
		Play(testSetup(seed%20, 5))
	}
}
