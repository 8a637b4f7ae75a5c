package followers

import (
	"fmt"
	"time"
)

// ViolationKind is a property that was broken.
type ViolationKind string

// The properties that are checked.
const (
	BrokenContents    ViolationKind = "held records differ from the log's at that revision"
	BrokenTwice       ViolationKind = "one revision of one scope was accepted with two contents"
	BrokenOrder       ViolationKind = "an older revision after a newer one"
	BrokenAgain       ViolationKind = "one revision was accepted anew"
	BrokenConvergence ViolationKind = "a revision is told to be in force that a live follower lacks"
	BrokenRecovery    ViolationKind = "not in step after the calm"
	BrokenCost        ViolationKind = "a message is larger than what changed in the scope allows"
	BrokenDelay       ViolationKind = "a follower in step got a change late"
)

// Violation is a property that a run broke.
type Violation struct {
	Kind   ViolationKind
	At     time.Duration // since the run began
	Detail string
}

// String says when the property broke and what was seen.
func (v Violation) String() string { return fmt.Sprintf("at %v: %s: %s", v.At, v.Kind, v.Detail) }

// Outcome is what a run showed.
type Outcome struct {
	Violations  []Violation // the run ends at maxViolations
	Fingerprint uint64      // of all that was accepted: equal for equal runs

	Commits, Faults     int
	Accepted, Rejected  int           // revisions, by followers
	FullScopes, Changes int           // messages with records
	Progress            int           // messages that tell of a revision only
	Claims              int           // times that the converged revision was known, and checked
	Stale               int           // times that a follower was seen without a lease
	InStepChecked       int           // changes to followers in step whose delay was checked
	InStepBesideCrowd   int           // of them while a crowd waited for full scopes
	Settled             time.Duration // without faults until all were in step
	LiveAtClaims        int           // followers with a live lease that a claim was compared with
}

// Add sums what two runs showed; of Settled it is the longer one. The sum has no fingerprint of its own.
func (o Outcome) Add(other Outcome) Outcome {
	o.Violations = append(o.Violations, other.Violations...)
	o.Commits += other.Commits
	o.Faults += other.Faults
	o.Accepted += other.Accepted
	o.Rejected += other.Rejected
	o.FullScopes += other.FullScopes
	o.Changes += other.Changes
	o.Progress += other.Progress
	o.Claims += other.Claims
	o.LiveAtClaims += other.LiveAtClaims
	o.Stale += other.Stale
	o.InStepChecked += other.InStepChecked
	o.InStepBesideCrowd += other.InStepBesideCrowd
	o.Settled = max(o.Settled, other.Settled)
	return o
}
