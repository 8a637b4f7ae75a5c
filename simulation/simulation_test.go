package simulation

import (
	"fmt"
	"slices"
	"testing"

	"harehook.dev/harehook/cluster"
)

// testSetup returns the setup of a run with all kinds of fault.
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

// Over many seeds, members crash, are cut off, stall, have slow disks and are replaced. No run may have a violation.
// After the last fault, the group must agree on a change, and all sidecars must hold it, within a limit.
func TestGroupRecoversFromFaultsWithoutViolation(t *testing.T) {
	const seeds, maxSettledTicks = 60, 500
	agreed := 0
	for seed := range uint64(seeds) {
		setup := testSetup(seed, 3+2*int(seed%2))
		outcome := Play(setup)
		for _, violation := range outcome.Violations {
			t.Errorf("seed %d: got violation %s, want none; faults after shrinking: %v", seed, violation, Shrink(setup))
		}
		if outcome.Settled < 0 || outcome.Settled > maxSettledTicks {
			t.Errorf("seed %d: got Settled %d, want from 0 to %d ticks", seed, outcome.Settled, maxSettledTicks)
		}
		agreed += outcome.Agreed
		if t.Failed() {
			return
		}
	}
	t.Logf("versions agreed on: %d", agreed)
}

// A failed run is replayed from its seed for debugging, which works only if equal seeds give identical runs.
func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	for seed := range uint64(5) {
		first := Play(testSetup(seed, 5))
		second := Play(testSetup(seed, 5))
		if first.Fingerprint != second.Fingerprint || fmt.Sprint(first) != fmt.Sprint(second) {
			t.Errorf("seed %d: got different outcomes %+v and %+v, want equal ones", seed, first, second)
		}
	}
}

func TestDifferentSeedsGiveDifferentRuns(t *testing.T) {
	first := Play(testSetup(1, 5))
	second := Play(testSetup(2, 5))
	if first.Fingerprint == second.Fingerprint {
		t.Errorf("seeds 1 and 2: got fingerprint %x for both, want different ones", first.Fingerprint)
	}
}

// Each planted fault breaks the program on purpose. The checker for that fault must detect it within a number of seeds.
func TestCheckersDetectPlantedFaults(t *testing.T) {
	const seeds = 60
	for _, test := range []struct {
		planted   Planted
		wantKinds []ViolationKind
	}{
		{VoteNotSynced, []ViolationKind{NoPanic}}, // the raft library panics when committed entries are missing from a log
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
				if !slices.Contains(test.wantKinds, first.Kind) {
					t.Errorf("seed %d: got violation of %q, want one of %v: %s", seed, first.Kind, test.wantKinds, first)
				}
				t.Logf("seed %d: %s", seed, first)
				return
			}
			t.Errorf("planted fault %q: got no violation in %d seeds, want one", test.planted, seeds)
		})
	}
}

// A failed run has dozens of faults, most of which do not contribute to the failure. Shrink must return fewer faults
// with which the run still fails.
func TestShrinkReturnsFewerFaultsThatStillFail(t *testing.T) {
	setup := testSetup(1, 3)
	setup.Planted = VoteNotSynced
	for len(Play(setup).Violations) == 0 {
		setup.Seed++
	}
	drawn := Draw(setup)
	shrunk := Shrink(setup)
	setup.Faults = shrunk
	violations := Play(setup).Violations
	if len(violations) == 0 || len(shrunk) >= len(drawn) {
		t.Errorf("seed %d: got %d of %d faults, violations %v, want fewer faults and a violation",
			setup.Seed, len(shrunk), len(drawn), violations)
	}
	t.Logf("%d faults shrunk to %d", len(drawn), len(shrunk))
}

func BenchmarkPlay(b *testing.B) {
	for seed := uint64(0); b.Loop(); seed++ {
		Play(testSetup(seed%20, 5))
	}
}
