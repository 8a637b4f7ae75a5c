package loadtest

import (
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"harehook.dev/harehook/records"
)

// These tests plant faults in the program, which the checks of a run must detect.

// checkBroken checks that a report has a broken bound whose line contains a text.
func checkBroken(t *testing.T, report *Report, text string) {
	t.Helper()
	if !slices.ContainsFunc(report.Broken, func(line string) bool { return strings.Contains(line, text) }) {
		t.Errorf("got broken bounds %q, want one with %q", report.Broken, text)
	}
}

// noDeltaSource never returns a delta, so that a member sends full scopes.
type noDeltaSource struct{ records.Source }

func (noDeltaSource) Since(uint64, records.Scope) records.Delta { return records.Delta{} }

// A member sends full scopes instead of changes. All controllers stay correct, but the cost of a change grows with the
// size of the configuration.
func TestFullScopeAtEachChangeBreaksTheOverheadBound(t *testing.T) {
	t.Parallel()
	plant := memberHooks{source: func(s records.Source) records.Source { return noDeltaSource{s} }}
	report := runInProcess(t, smallPlan(), hooks{member: plant})
	checkBroken(t, report, "maximum overhead per record in a message to an interested controller")
	if report.Measured.Messages.FullScopeInStep == 0 || report.Measured.Messages.FullScopeAgain == 0 {
		t.Errorf("got %d full scopes to controllers in step and %d repeated ones, want more than 0 of both",
			report.Measured.Messages.FullScopeInStep, report.Measured.Messages.FullScopeAgain)
	}
}

// lossySource drops the updates of one delta in loseOneIn.
type lossySource struct {
	records.Source
	answers *atomic.Int64
}

const loseOneIn = 20

func (l lossySource) Since(revision uint64, scope records.Scope) records.Delta {
	delta := l.Source.Since(revision, scope)
	if len(delta.Updates) > 0 && l.answers.Add(1)%loseOneIn == 0 {
		delta.Updates = nil
	}
	return delta
}

// A member occasionally loses a change: it sends the new revision without the updates.
func TestLostChangeIsAViolation(t *testing.T) {
	t.Parallel()
	answers := &atomic.Int64{}
	plant := memberHooks{source: func(s records.Source) records.Source { return lossySource{s, answers} }}
	checkBroken(t, runInProcess(t, smallPlan(), hooks{member: plant}), "has contents that differ from the agreed ones")
}

// plantedController is the index of the controller whose events are altered to simulate a defect.
const plantedController = 3

// plantEvents returns hooks that call change for each accepted event of the planted controller, numbered from 1.
func plantEvents(change func(accepted int, e *event)) hooks {
	accepted := 0 // only accessed by the planted controller's goroutine
	return hooks{controller: controllerHooks{event: func(e *event) {
		if e.Controller == plantedController && e.Kind == eventAccepted {
			accepted++
			change(accepted, e)
		}
	}}}
}

// A controller goes back to the revision that it accepted first.
func TestOlderRevisionIsAViolation(t *testing.T) {
	t.Parallel()
	var first event
	report := runInProcess(t, smallPlan(), plantEvents(func(accepted int, e *event) {
		switch accepted {
		case 1:
			first = *e
		case 6:
			e.Revision = first.Revision
			e.Digest = first.Digest
		}
	}))
	checkBroken(t, report, "it went back to revision")
}

// A controller holds records outside its scope. The real follower rejects such records, so the test plants a controller
// that reports them.
func TestRecordsOutsideTheScopeAreAViolation(t *testing.T) {
	t.Parallel()
	report := runInProcess(t, smallPlan(), plantEvents(func(accepted int, e *event) {
		if accepted == 4 {
			e.Outside = 2
		}
	}))
	checkBroken(t, report, "records outside the scope of a controller: 2")
	checkBroken(t, report, "2 records outside its scope")
}

func TestRecordsOutsideAScopeAreCounted(t *testing.T) {
	t.Parallel()
	received := map[records.Key]*records.Record{}
	for _, service := range []string{"a", "b", "c"} {
		key := records.Key{Kind: records.KindService, Name: service}
		record, err := records.New(key, records.ServiceSpec{})
		if err != nil {
			t.Fatal(err)
		}
		received[key] = record
	}
	if count := countOutside(records.Scope{Services: []string{"b"}}, received); count != 2 {
		t.Errorf("got %d records outside the scope, want 2", count)
	}
}

// A controller has contents that differ from those agreed for its revision.
func TestOtherContentsAreAViolation(t *testing.T) {
	t.Parallel()
	report := runInProcess(t, smallPlan(), plantEvents(func(accepted int, e *event) {
		if accepted == 4 {
			e.Digest++
		}
	}))
	checkBroken(t, report, "has contents that differ from the agreed ones")
}

// One controller accepts all changes 8 s late.
func TestLateControllerBreaksTheConvergenceBound(t *testing.T) {
	t.Parallel()
	plan := smallPlan()
	plan.Bounds.ConvergenceS = DefaultBounds().ConvergenceS
	report := runInProcess(t, plan, plantEvents(func(accepted int, e *event) {
		if accepted > 1 {
			e.At += (8 * time.Second).Nanoseconds()
		}
	}))
	checkBroken(t, report, "maximum convergence time")
}

func TestEachBrokenBoundIsReported(t *testing.T) {
	t.Parallel()
	bounds := DefaultBounds()
	within := func() Measured {
		return Measured{
			Convergence: DurationSummary{WorstMS: 7000},
			Messages:    Messages{RecordOverhead: SizeSummary{Worst: 1024}},
			Restarted:   &DurationSummary{P90MS: 10000, WorstMS: 30000},
			Controller:  &ControllerUsage{ProcessUsage: ProcessUsage{BusiestCPU: 0.011, WorstMB: 128}, BusiestKBS: 16},
		}
	}
	if m := within(); len(m.BrokenBounds(bounds)) != 0 {
		t.Errorf("got broken bounds %q for measurements equal to the bounds, want none", m.BrokenBounds(bounds))
	}
	for name, over := range map[string]func(m *Measured){
		"maximum convergence time":                     func(m *Measured) { m.Convergence.WorstMS++ },
		"maximum overhead per record":                  func(m *Measured) { m.Messages.RecordOverhead.Worst++ },
		"90% of the restarted controllers are in step": func(m *Measured) { m.Restarted.P90MS++ },
		"until all restarted controllers are in step":  func(m *Measured) { m.Restarted.WorstMS++ },
		"CPU time":                          func(m *Measured) { m.Controller.BusiestCPU += 0.0001 },
		"memory":                            func(m *Measured) { m.Controller.WorstMB++ },
		"traffic of the controller":         func(m *Measured) { m.Controller.BusiestKBS++ },
		"records outside the scope":         func(m *Measured) { m.Messages.UninterestedRecords++ },
		"violation: conductor-0001: a word": func(m *Measured) { m.Violations = []Violation{{"conductor-0001", "a word"}} },
	} {
		t.Run(name, func(t *testing.T) {
			m := within()
			over(&m)
			if lines := m.BrokenBounds(bounds); len(lines) != 1 || !strings.Contains(lines[0], name) {
				t.Errorf("got lines %q, want one with %q", lines, name)
			}
		})
	}
}

func TestBoundOfZeroIsNotChecked(t *testing.T) {
	t.Parallel()
	m := Measured{Convergence: DurationSummary{WorstMS: 7001}}
	if lines := m.BrokenBounds(Bounds{}); len(lines) != 0 {
		t.Errorf("got lines %q, want none", lines)
	}
}
