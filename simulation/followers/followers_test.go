package followers

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestFollowersRecoverFromFaultsWithoutViolation simulates runs with several seeds in which connections are lost,
// members crash and lag, and many followers restart at the same time. No run may have a violation, and all followers
// must be in step before the fault-free time ends. Each check must have been reached at least once a seed on average: a
// check without cases would detect nothing. The command harehook-testbed simulates more seeds.
func TestFollowersRecoverFromFaultsWithoutViolation(t *testing.T) {
	const seeds = 20
	var sum Outcome
	for seed := range uint64(seeds) {
		outcome := Play(DefaultSetup(seed))
		for _, violation := range outcome.Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		if t.Failed() {
			return
		}
		sum = sum.Add(outcome)
	}
	t.Logf("%+v", sum)
	for _, covered := range []struct {
		name  string
		count int
	}{
		{"commits", sum.Commits},
		{"faults", sum.Faults},
		{"accepted revisions", sum.Accepted},
		{"rejected revisions", sum.Rejected},
		{"full scopes", sum.FullScopes},
		{"changes", sum.Changes},
		{"progress", sum.Progress},
		{"claims", sum.Claims},
		{"live followers at claims", sum.LiveAtClaims},
		{"stale followers", sum.Stale},
		{"changes to followers in step", sum.InStepChecked},
		{"changes to followers in step beside a crowd", sum.InStepBesideCrowd},
	} {
		if covered.count < seeds {
			t.Errorf("%s: got %d in %d seeds, want at least %d", covered.name, covered.count, seeds, seeds)
		}
	}
}

// TestEqualSeedsGiveEqualRuns guards against runs that depend on more than their seed. A failed run is debugged by
// replaying its seed, so equal seeds must give equal runs, also if several runs are simulated in parallel.
func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	const seeds = 3
	parallel := PlayAll(DefaultSetup(0), 0, seeds)
	for seed := range uint64(seeds) {
		single := Play(DefaultSetup(seed))
		if diff := cmp.Diff(single, parallel[seed]); diff != "" {
			t.Errorf("seed %d: outcomes differ (-single +parallel):\n%s", seed, diff)
		}
	}
	if parallel[0].Fingerprint == parallel[1].Fingerprint {
		t.Errorf("seeds 0 and 1 both have the fingerprint %x, want different ones", parallel[0].Fingerprint)
	}
}

// TestCheckersDetectPlantedFaults guards against checkers that detect nothing. Each planted fault breaks the program on
// purpose, and the checker of the corresponding property must report a violation within a number of seeds.
func TestCheckersDetectPlantedFaults(t *testing.T) {
	for planted, want := range map[Planted]ViolationKind{
		PlantedFullScope:      BrokenCost,
		PlantedOutOfScope:     BrokenCost,
		PlantedMissingChange:  BrokenContents,
		PlantedContents:       BrokenConsistency,
		PlantedOlderRevision:  BrokenOrder,
		PlantedLeases:         BrokenConvergence,
		PlantedLongLease:      BrokenConvergence,
		PlantedSettledTooSoon: BrokenConvergence,
		PlantedNoRedelivery:   BrokenRecovery,
		PlantedSlowChanges:    BrokenDelay,
	} {
		t.Run(string(planted), func(t *testing.T) {
			const seeds = 40
			for seed := range uint64(seeds) {
				setup := DefaultSetup(seed)
				setup.Planted = planted
				if planted == PlantedNoRedelivery {
					setup.Active = 20 * time.Second // the violation appears only at the end of a run
				}
				for _, violation := range Play(setup).Violations {
					if violation.Kind == want {
						t.Logf("seed %d: %s", seed, violation)
						return
					}
				}
			}
			t.Errorf("planted fault %q: got no violation %q in %d seeds, want one", planted, want, seeds)
		})
	}
}
