package simulation

import (
	"fmt"

	"harehook.dev/harehook/cluster"
)

// checks holds what the checkers have observed so far at all members and sidecars.
type checks struct {
	leaderOfTerm  map[uint64]uint64 // member id by term
	entryAt       map[uint64]string // command and result by index
	textOfVersion map[uint64]string // by version number, of each version that a sidecar received
}

func newChecks() checks {
	return checks{
		leaderOfTerm:  map[uint64]uint64{},
		entryAt:       map[uint64]string{},
		textOfVersion: map[uint64]string{},
	}
}

// addViolation records a violation. The run ends with the current tick.
func (w *world) addViolation(kind ViolationKind, format string, args ...any) {
	violation := Violation{Kind: kind, Tick: w.now, Detail: fmt.Sprintf(format, args...)}
	w.outcome.Violations = append(w.outcome.Violations, violation)
}

// checkEntry checks that all members apply the same command with the same result at an index.
func (w *world) checkEntry(m *member, applied cluster.AppliedCommand) {
	entry := fmt.Sprint(applied.Command, applied.Result)
	if first, known := w.checks.entryAt[applied.Index]; known && first != entry {
		w.addViolation(SameEntries, "entry %d is applied as %s at member %d, but as %s elsewhere",
			applied.Index, entry, m.id, first)
	}
	w.checks.entryAt[applied.Index] = entry
}

// checkOneLeaderPerTerm checks that no term has two leaders.
func (w *world) checkOneLeaderPerTerm(m *member) {
	if !m.IsLeader() {
		return
	}
	term := m.Status().Term
	if other, known := w.checks.leaderOfTerm[term]; known && other != m.id {
		w.addViolation(OneLeader, "members %d and %d are both leaders in term %d", other, m.id, term)
	}
	w.checks.leaderOfTerm[term] = m.id
}

// checkPublished checks that a published version has the same text at each member.
func (w *world) checkPublished(m *member, version cluster.Version) {
	if first, known := w.checks.textOfVersion[version.Number]; known && first != version.Text {
		w.addViolation(SameVersions, "version %d has text %q at member %d, but %q elsewhere",
			version.Number, version.Text, m.id, first)
	}
	w.checks.textOfVersion[version.Number] = version.Text
}

// checkSidecars checks that sidecars hold only versions that the group has agreed on.
func (w *world) checkSidecars() {
	for _, version := range w.sidecars {
		if version > 0 && !w.measurements.isAgreed(version) {
			w.addViolation(AgreedVersions, "a sidecar holds version %d, which the group never agreed on", version)
			return
		}
	}
}
