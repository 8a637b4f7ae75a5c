package followers

import (
	"testing"
	"time"
)

// Over some seeds nothing that must never be is seen, and all are in step before the calm ends. The command plays more.
func TestSeeds(t *testing.T) {
	const seeds = 20
	var sum Outcome
	for seed := range uint64(seeds) {
		out := Play(DefaultSetup(seed))
		for _, violation := range out.Violations {
			t.Errorf("seed %d: %s", seed, violation)
		}
		if t.Failed() {
			return
		}
		sum = sum.Add(out)
	}
	t.Logf("%+v", sum)
	for name, seen := range map[string]int{"commits": sum.Commits, "faults": sum.Faults, "accepted": sum.Accepted, "refused": sum.Rejected,
		"whole scopes": sum.FullScopes, "changes": sum.Changes, "progress": sum.Progress, "claims": sum.Claims, "live at claims": sum.LiveAtClaims,
		"stale": sum.Stale, "in step": sum.InStepChecked, "in step beside a crowd": sum.InStepBesideCrowd} {
		if seen < seeds {
			t.Errorf("%s: %d in %d seeds: nothing was tried", name, seen, seeds)
		}
	}
}

// The same seed is the same run.
func TestSame(t *testing.T) {
	for seed := range uint64(3) {
		a, b := Play(DefaultSetup(seed)), Play(DefaultSetup(seed))
		if a.Fingerprint != b.Fingerprint || a.Accepted != b.Accepted {
			t.Errorf("seed %d: %x and %x", seed, a.Fingerprint, b.Fingerprint)
		}
	}
}

// Each checker sees a fault that is planted for it.
func TestPlanted(t *testing.T) {
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
