package followers

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// Connections are lost, members crash and lag, followers restart in crowds, over some seeds. No run may have a violation,
// and all followers have to be in step before the time without faults ends. The runs have to have tried each thing that is
// checked: a check that never had a case shows nothing. The command harehook-testbed plays more seeds.
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
	for _, tried := range []struct {
		name  string
		times int
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
		if tried.times < seeds {
			t.Errorf("%s: %d in %d seeds: too few to show anything", tried.name, tried.times, seeds)
		}
	}
}

// A run is played again by its seed: that is how a failure is searched. Equal seeds have to give equal runs, also where
// many are played at once.
func TestOneSeedIsOneRun(t *testing.T) {
	const seeds = 3
	together := PlayAll(DefaultSetup(0), 0, seeds)
	for seed := range uint64(seeds) {
		alone := Play(DefaultSetup(seed))
		if diff := cmp.Diff(alone, together[seed]); diff != "" {
			t.Errorf("seed %d (-alone +among others):\n%s", seed, diff)
		}
	}
	if together[0].Fingerprint == together[1].Fingerprint {
		t.Errorf("two seeds have the fingerprint %x", together[0].Fingerprint)
	}
}

// The program is broken on purpose. The checker that is there for the fault has to see it within some seeds.
func TestCheckersSeePlantedFaults(t *testing.T) {
	for planted, want := range map[Planted]ViolationKind{
		PlantedFullScope:      BrokenCost,
		PlantedOutOfScope:     BrokenCost,
		PlantedMissingChange:  BrokenContents,
		PlantedContents:       BrokenTwice,
		PlantedOlderRevision:  BrokenOrder,
		PlantedLeases:         BrokenConvergence,
		PlantedLongLease:      BrokenConvergence,
		PlantedSettledTooSoon: BrokenConvergence,
		PlantedNeverAgain:     BrokenRecovery,
		PlantedSlowChanges:    BrokenDelay,
	} {
		t.Run(string(planted), func(t *testing.T) {
			const seeds = 40
			for seed := range uint64(seeds) {
				setup := DefaultSetup(seed)
				setup.Planted = planted
				if planted == PlantedNeverAgain {
					setup.Active = 20 * time.Second // it shows at the end
				}
				for _, violation := range Play(setup).Violations {
					if violation.Kind == want {
						t.Logf("seed %d: %s", seed, violation)
						return
					}
				}
			}
			t.Errorf("not seen as %q in %d seeds", want, seeds)
		})
	}
}
