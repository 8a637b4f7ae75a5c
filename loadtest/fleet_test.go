package loadtest

import (
	"context"
	"testing"
	"time"
)

// smallPlan returns a plan that takes a few seconds, with only those bounds that do not depend on the machine.
func smallPlan() Plan {
	plan := OperatorsPlan()
	plan.Controllers = 20
	plan.Nodes = 100
	plan.Services = 12
	plan.Routes = 60
	plan.Tenants = 500
	plan.Regions = 2
	plan.Zones = 4
	plan.Members = 1
	plan.Changes = 20
	plan.Seconds = 2
	plan.Bounds = Bounds{OverheadBytes: DefaultBounds().OverheadBytes}
	return plan
}

// runInProcess executes a plan with workers that are goroutines of this process.
func runInProcess(t *testing.T, plan Plan, planted hooks) *Report {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Minute)
	defer cancel()
	report, err := Play(ctx, plan, Options{Progress: testLog{t}, planted: planted})
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// testLog writes progress lines to the log of a test.
type testLog struct{ t *testing.T }

func (l testLog) Write(line []byte) (int, error) {
	l.t.Log(string(line))
	return len(line), nil
}

// changesDuringFaults returns the number of pairs of a controller and a change that a fault affected.
func changesDuringFaults(m Measured) (count int64) {
	for fault, times := range m.Followers {
		if fault != "none" {
			count += times.Count
		}
	}
	return count
}

// Controllers reject single changes, so that changes do not share a message, and members send a rejected change again
// after a backoff: an idle machine had 273 messages for 266 pairs of an interested controller and a change. The bound
// on the number of messages must allow for that, and everything else must be as without faults.
func TestRejectedChangesAreSentAgain(t *testing.T) {
	t.Parallel()
	plan := smallPlan()
	plan.Members = 3
	plan.Seconds = 8
	plan.Changes = 4
	plan.Faults = []Fault{FaultRejecting}
	report := runInProcess(t, plan, hooks{})
	checkRun(t, report, int64(plan.Controllers))
}

// checkRun checks that a report has no broken bounds and that its counts are consistent with the plan.
func checkRun(t *testing.T, report *Report, minFullScopes int64) {
	t.Helper()
	for _, line := range report.Broken {
		t.Error(line)
	}
	plan, m := report.Plan, report.Measured
	if want := int(float64(plan.Seconds) * plan.Changes); m.Changes != want {
		t.Errorf("got %d changes, want %d", m.Changes, want)
	}
	var counted int64
	for _, times := range m.Followers {
		counted += times.Count
	}
	if want := int64(m.Changes * plan.Controllers); counted != want {
		t.Errorf("got %d durations of followers, want %d: one for each controller and change", counted, want)
	}
	// On a slow machine a controller may switch to another member before it has accepted its scope.
	if m.Messages.FullScope.Count < minFullScopes || m.Messages.FullScopeAgain != 0 {
		t.Errorf("got %d full scopes, %d of them to controllers that already had records; want at least %d, and 0 such ones",
			m.Messages.FullScope.Count, m.Messages.FullScopeAgain, minFullScopes)
	}
	// A message contains one change or more, so there is at most one for each interested controller and change. A
	// change may be sent once more to a controller that a fault affected in that time: after a backoff if the
	// controller rejected the change, and on the next stream if the stream broke.
	maxMessages := int64(m.Messages.InterestedPerChange*float64(m.Changes)+0.5) + changesDuringFaults(m)
	if m.Messages.Change.Count == 0 || m.Messages.Change.Count > maxMessages {
		t.Errorf("got %d messages with changes, want 1 to %d", m.Messages.Change.Count, maxMessages)
	}
	if m.Messages.Progress.Worst > maxProgressBytes {
		t.Errorf("got a progress message of %d bytes, want at most %d", m.Messages.Progress.Worst, maxProgressBytes)
	}
}

// maxProgressBytes is the maximum size of a message that contains only a revision.
const maxProgressBytes = 100

// Without faults all changes reach all controllers, and messages contain only changed records.
func TestSmallFleetKeepsAllBounds(t *testing.T) {
	t.Parallel()
	plan := smallPlan()
	checkRun(t, runInProcess(t, plan, hooks{}), int64(plan.Controllers))
}

// Connections are closed, members are killed, changes are rejected, a region is disconnected and all controllers are
// restarted. All changes must still reach all controllers, each fault must affect some controller, and no controller
// may receive an unnecessary full scope.
func TestSmallFleetKeepsAllBoundsThroughFaults(t *testing.T) {
	t.Parallel()
	plan := smallPlan()
	plan.Members = 3
	plan.Seconds = 8
	plan.Faults = AllFaults
	report := runInProcess(t, plan, hooks{})
	restarted := int64(plan.Controllers - 1) // all but the measured controller
	checkRun(t, report, int64(plan.Controllers)+restarted)
	if report.Measured.Restarted.Count != restarted {
		t.Errorf("got %d controllers in step after their restart, want %d", report.Measured.Restarted.Count, restarted)
	}
	affected := report.Measured.Affected
	for _, fault := range AllFaults {
		if affected[fault] == 0 {
			t.Errorf("got 0 controllers affected by %s, want at least 1", fault)
		}
	}
	if affected[FaultAllRestarted] != int(restarted) {
		t.Errorf("got %d restarted controllers, want %d", affected[FaultAllRestarted], restarted)
	}
}

// The size of a message with a change must not grow with the fleet or with the configuration.
func TestBytesOfAChangeDoNotGrowWithTheFleet(t *testing.T) {
	t.Parallel()
	small, large := smallPlan(), smallPlan()
	large.Controllers *= 4
	large.Tenants *= 10
	large.Routes *= 4
	smallReport := runInProcess(t, small, hooks{})
	largeReport := runInProcess(t, large, hooks{})
	checkRun(t, smallReport, int64(small.Controllers))
	checkRun(t, largeReport, int64(large.Controllers))
	if before, after := smallReport.Measured.Messages.RecordOverhead, largeReport.Measured.Messages.RecordOverhead; after.Worst > before.Worst+revisionDigitBytes {
		t.Errorf("got a maximum overhead per record of %d bytes in the large fleet, want at most %d more than the %d in the small one",
			after.Worst, revisionDigitBytes, before.Worst)
	}
	if before, after := smallReport.Measured.Messages.Progress, largeReport.Measured.Messages.Progress; after.Worst > before.Worst+revisionDigitBytes {
		t.Errorf("got a progress message of %d bytes in the large fleet, want at most %d more than the %d in the small one",
			after.Worst, revisionDigitBytes, before.Worst)
	}
}

// revisionDigitBytes is the allowed growth of a message due to revisions and nonces with more digits.
const revisionDigitBytes = 8
