package simulation

import "fmt"

// Outcome holds the results of a run. Times are in ticks.
type Outcome struct {
	Violations  []Violation // the run ends with the tick of the first one
	Fingerprint uint64      // digest of the trace; equal for identical runs

	Agreed    int   // proposals that the group accepted
	Rejected  int   // proposals that the group rejected
	Unknown   int   // proposals that the operator gave up without a response
	Commit    []int // from each accepted proposal to its response
	Gap       []int // from each loss of a leader to the next agreed version
	Converged []int // from a version's commit until all sidecars hold it
	Settled   int   // from the start of the fault-free ticks until all sidecars hold a version committed since; -1: never
	Entries   int   // number of log entries at the end, of the member that has the most
}

// ViolationKind names a property that must hold in each run.
type ViolationKind int

// The properties that are checked.
const (
	// NoPanic: neither the raft library nor the member panics. The library panics in impossible states, such as a commit
	// index beyond the end of a log that has lost entries.
	NoPanic ViolationKind = iota
	// MembersStart: a member starts from the state that its disk has after a crash.
	MembersStart
	// SameEntries: all members apply the same command with the same result at an index.
	SameEntries
	// OneLeader: no term has two leaders.
	OneLeader
	// SameVersions: a version has the same text at each member from which a sidecar receives it.
	SameVersions
	// AgreedVersions: a sidecar holds only versions that the group has agreed on.
	AgreedVersions
	// Linearizable: the history of the operators' reads and proposals is linearizable.
	Linearizable
)

// String returns the name of the property.
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

// Violation describes a property that a run violated.
type Violation struct {
	Kind   ViolationKind
	Tick   int
	Detail string
}

// String returns the tick of the violation and its detail.
func (v Violation) String() string { return fmt.Sprintf("tick %d: %s", v.Tick, v.Detail) }
