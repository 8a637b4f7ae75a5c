package loadtest

import (
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"harehook.dev/harehook/records"
)

// These tests break the program on purpose: the checks of a run have to see it.

// checkBroken checks that a report has a broken bound whose line has a text.
func checkBroken(t *testing.T, report *Report, text string) {
	t.Helper()
	if !slices.ContainsFunc(report.Broken, func(line string) bool { return strings.Contains(line, text) }) {
		t.Errorf("no bound with %q broke: %q", text, report.Broken)
	}
}

// forgetfulSource keeps no history, so that a member sends full scopes.
type forgetfulSource struct{ records.Source }

func (forgetfulSource) Since(uint64, records.Scope) records.Delta { return records.Delta{} }

// A member sends full scopes in place of what changed: the fleet works, at a cost that grows with its configuration.
func TestFullScopeAtEachChangeBreaksTheOverheadBound(t *testing.T) {
	t.Parallel()
	plant := memberHooks{source: func(s records.Source) records.Source { return forgetfulSource{s} }}
	report := playInProcess(t, smallPlan(), hooks{member: plant})
	checkBroken(t, report, "bytes to an interested conductor beside the record")
	if report.Measured.Messages.FullScopeInStep == 0 || report.Measured.Messages.FullScopeAgain == 0 {
		t.Error("no full scope was counted as sent in place of a change")
	}
}

// losingSource leaves the updates of one answer in some out.
type losingSource struct {
	records.Source
	answers *atomic.Int64
}

const loseOneIn = 20

func (l losingSource) Since(revision uint64, scope records.Scope) records.Delta {
	delta := l.Source.Since(revision, scope)
	if len(delta.Updates) > 0 && l.answers.Add(1)%loseOneIn == 0 {
		delta.Updates = nil
	}
	return delta
}

// A member forgets a change now and then: the revision goes on, the contents are old.
func TestLostChangeIsAViolation(t *testing.T) {
	t.Parallel()
	answers := &atomic.Int64{}
	plant := memberHooks{source: func(s records.Source) records.Source { return losingSource{s, answers} }}
	checkBroken(t, playInProcess(t, smallPlan(), hooks{member: plant}), "has other contents than agreed")
}

// plantedController is the controller whose events are changed as they would be if it went wrong.
const plantedController = 3

// plantEvents changes the events of the planted controller; they are counted from 1.
func plantEvents(change func(accepted int, e *event)) hooks {
	accepted := 0 // only the planted controller's goroutine counts
	return hooks{controller: controllerHooks{event: func(e *event) {
		if e.Controller == plantedController && e.Kind == eventAccepted {
			accepted++
			change(accepted, e)
		}
	}}}
}

// A controller goes back to what it accepted first.
func TestOlderRevisionIsAViolation(t *testing.T) {
	t.Parallel()
	var first event
	report := playInProcess(t, smallPlan(), plantEvents(func(accepted int, e *event) {
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

// A controller holds records that are none of its business. The real follower rejects such records, so one that does not
// is planted.
func TestRecordsOutsideTheScopeAreAViolation(t *testing.T) {
	t.Parallel()
	report := playInProcess(t, smallPlan(), plantEvents(func(accepted int, e *event) {
		if accepted == 4 {
			e.Outside = 2
		}
	}))
	checkBroken(t, report, "records to uninterested conductors: 2")
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
		t.Errorf("%d records outside the scope, want 2", count)
	}
}

// A controller holds other contents than its revision has.
func TestOtherContentsAreAViolation(t *testing.T) {
	t.Parallel()
	report := playInProcess(t, smallPlan(), plantEvents(func(accepted int, e *event) {
		if accepted == 4 {
			e.Digest++
		}
	}))
	checkBroken(t, report, "has other contents than agreed")
}

// One controller accepts all changes 8 s late.
func TestLateControllerBreaksTheConvergenceBound(t *testing.T) {
	t.Parallel()
	plan := smallPlan()
	plan.Bounds.ConvergenceS = DefaultBounds().ConvergenceS
	report := playInProcess(t, plan, plantEvents(func(accepted int, e *event) {
		if accepted > 1 {
			e.At += (8 * time.Second).Nanoseconds()
		}
	}))
	checkBroken(t, report, "in force at the worst")
}

func TestEachBoundNamesWhatBreaksIt(t *testing.T) {
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
		t.Errorf("at the bounds: %q", m.BrokenBounds(bounds))
	}
	for name, over := range map[string]func(m *Measured){
		"in force at the worst":         func(m *Measured) { m.Convergence.WorstMS++ },
		"beside the record":             func(m *Measured) { m.Messages.RecordOverhead.Worst++ },
		"nine in ten in step":           func(m *Measured) { m.Restarted.P90MS++ },
		"all restarted, all in step":    func(m *Measured) { m.Restarted.WorstMS++ },
		"processor time":                func(m *Measured) { m.Controller.BusiestCPU += 0.0001 },
		"memory":                        func(m *Measured) { m.Controller.WorstMB++ },
		"bytes of the conductor":        func(m *Measured) { m.Controller.BusiestKBS++ },
		"records to uninterested":       func(m *Measured) { m.Messages.UninterestedRecords++ },
		"never: conductor-0001: a word": func(m *Measured) { m.Violations = []Violation{{"conductor-0001", "a word"}} },
	} {
		t.Run(name, func(t *testing.T) {
			m := within()
			over(&m)
			if lines := m.BrokenBounds(bounds); len(lines) != 1 || !strings.Contains(lines[0], name) {
				t.Errorf("%q", lines)
			}
		})
	}
}

func TestABoundOfZeroIsNotChecked(t *testing.T) {
	t.Parallel()
	m := Measured{Convergence: DurationSummary{WorstMS: 7001}}
	if lines := m.BrokenBounds(Bounds{}); len(lines) != 0 {
		t.Errorf("%q", lines)
	}
}
