package loadtest

import (
	"context"
	"testing"
	"time"
)

// smallPlan is played in a few seconds. Its bounds are those that don't depend on the machine.
func smallPlan() Plan {
	plan := OperatorsPlan()
	plan.Controllers, plan.Nodes, plan.Services, plan.Routes, plan.Tenants = 20, 100, 12, 60, 500
	plan.Regions, plan.Zones, plan.Members = 2, 4, 1
	plan.Changes, plan.Seconds = 20, 2
	plan.Bounds = Bounds{OverheadBytes: DefaultBounds().OverheadBytes}
	return plan
}

// playInProcess carries out a plan in this process.
func playInProcess(t *testing.T, plan Plan, planted hooks) *Report {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	report, err := Play(ctx, plan, Options{Progress: testLog{t}, planted: planted})
	if err != nil {
		t.Fatal(err)
	}
	return report
}

type testLog struct{ t *testing.T }

func (l testLog) Write(line []byte) (int, error) {
	l.t.Log(string(line))
	return len(line), nil
}

// checkInOrder holds a report to have all bounds kept and the counts that follow from its plan.
func checkInOrder(t *testing.T, report *Report, wholeScopes int64) {
	t.Helper()
	for _, line := range report.Broken {
		t.Error(line)
	}
	plan, m := report.Plan, report.Measured
	if want := int(float64(plan.Seconds) * plan.Changes); m.Changes != want {
		t.Errorf("%d changes, want %d", m.Changes, want)
	}
	var counted int64
	for _, times := range m.Followers {
		counted += times.Count
	}
	if want := int64(m.Changes * plan.Controllers); counted != want {
		t.Errorf("%d times of conductors for changes, want %d", counted, want)
	}
	// On a slow machine a controller may give a member up, and ask another one, before it has accepted its scope.
	if m.Messages.FullScope.Count < wholeScopes || m.Messages.FullScopeAgain != 0 {
		t.Errorf("%d whole scopes, %d of them to conductors that held something; want %d or more, none of them so",
			m.Messages.FullScope.Count, m.Messages.FullScopeAgain, wholeScopes)
	}
	// A message tells one change or more, so there are as many as interested controllers at the most.
	if most := int64(m.Messages.InterestedPerChange*float64(m.Changes) + 0.5); m.Messages.Change.Count == 0 || m.Messages.Change.Count > most {
		t.Errorf("%d messages with changes, want 1 to %d", m.Messages.Change.Count, most)
	}
	if m.Messages.Progress.Worst > progressBytes {
		t.Errorf("a message of progress has %d bytes, %d at most", m.Messages.Progress.Worst, progressBytes)
	}
}

// progressBytes is the most that a message with a revision alone takes.
const progressBytes = 100

func TestSmallFleet(t *testing.T) {
	t.Parallel()
	plan := smallPlan()
	checkInOrder(t, playInProcess(t, plan, hooks{}), int64(plan.Controllers))
}

func TestSmallFleetThroughFaults(t *testing.T) {
	t.Parallel()
	plan := smallPlan()
	plan.Members, plan.Seconds = 3, 8
	plan.Faults = AllFaults
	report := playInProcess(t, plan, hooks{})
	restarted := int64(plan.Controllers - 1) // all but the one with a process of its own
	checkInOrder(t, report, int64(plan.Controllers)+restarted)
	if report.Measured.Restarted.Count != restarted {
		t.Errorf("%d conductors were in step after their restart, want %d", report.Measured.Restarted.Count, restarted)
	}
	concerned := report.Measured.Affected
	for _, fault := range AllFaults {
		if concerned[fault] == 0 {
			t.Errorf("%s concerned nobody", fault)
		}
	}
	if concerned[FaultAllRestarted] != int(restarted) {
		t.Errorf("%d conductors were restarted, want %d", concerned[FaultAllRestarted], restarted)
	}
}

// What a change costs on the wire does not grow with the fleet or with what it agrees on.
func TestBytesOfAChangeDoNotGrow(t *testing.T) {
	t.Parallel()
	small, large := smallPlan(), smallPlan()
	large.Controllers, large.Tenants, large.Routes = 4*small.Controllers, 10*small.Tenants, 4*small.Routes
	few, many := playInProcess(t, small, hooks{}), playInProcess(t, large, hooks{})
	checkInOrder(t, few, int64(small.Controllers))
	checkInOrder(t, many, int64(large.Controllers))
	if before, after := few.Measured.Messages.RecordOverhead, many.Measured.Messages.RecordOverhead; after.Worst > before.Worst+revisionDigits {
		t.Errorf("beside a record: %d bytes in the small fleet, %d in the large one", before.Worst, after.Worst)
	}
	if before, after := few.Measured.Messages.Progress, many.Measured.Messages.Progress; after.Worst > before.Worst+revisionDigits {
		t.Errorf("progress: %d bytes in the small fleet, %d in the large one", before.Worst, after.Worst)
	}
}

// revisionDigits is by how much a message may grow because it names revisions and nonces with more digits.
const revisionDigits = 8
