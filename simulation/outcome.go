package simulation

import "fmt"

// Outcome is what a run showed. Times are in ticks.
type Outcome struct {
	Violations  []Violation // the run ends with the tick of the first one
	Fingerprint uint64      // of all that happened: equal for equal runs

	Agreed    int   // proposals that the group accepted
	Rejected  int   // proposals that the group rejected
	Unknown   int   // proposals that the operator gave up without an answer
	Commit    []int // from each proposal to its answer
	Gap       []int // from each loss of a leader to the next agreed version
	Converged []int // from a version's commit until all sidecars hold it
	Settled   int   // from the last fault until a version was agreed and held by all; -1: never
	Entries   int   // of the longest log at the end
}

// ViolationKind is a property that has to hold in each run.
type ViolationKind int

// The properties that are checked.
const (
	// NoPanic: neither the raft library nor the member panics. The library panics at what can't be, such as a commit
	// index behind the end of a log that has lost entries.
	NoPanic ViolationKind = iota
	// MembersStart: a member starts with what its disk has after a crash.
	MembersStart
	// SameEntries: all members apply the same command with the same result at an index.
	SameEntries
	// OneLeader: no term has two leaders.
	OneLeader
	// SameVersions: a version has the same text wherever a sidecar sees it.
	SameVersions
	// AgreedVersions: a sidecar holds only what the group has agreed on.
	AgreedVersions
	// Linearizable: some order of the operators' reads and proposals explains all answers.
	Linearizable
)

// String names the property.
func (k ViolationKind) String() string {
	switch k {
	case NoPanic:
		return "no panic"
	case MembersStart:
		return "members start"
	case SameEntries:
		return "same entries"
	case OneLeader:
		return "one leader a term"
	case SameVersions:
		return "same versions"
	case AgreedVersions:
		return "agreed versions only"
	case Linearizable:
		return "linearizable"
	default:
		return fmt.Sprintf("ViolationKind(%d)", int(k))
	}
}

// Violation is a property that a run broke.
type Violation struct {
	Kind   ViolationKind
	Tick   int
	Detail string
}

// String says when the property broke and what was seen.
func (v Violation) String() string { return fmt.Sprintf("tick %d: %s", v.Tick, v.Detail) }
