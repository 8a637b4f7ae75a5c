package followers

import (
	"fmt"
	"time"
)

// ViolationKind describes the violation of a checked property.
type ViolationKind string

// The kinds of violation, one for each checked property.
const (
	BrokenContents    ViolationKind = "held records differ from the log's at that revision"
	BrokenConsistency ViolationKind = "one revision of one scope was accepted with two contents"
	BrokenOrder       ViolationKind = "an older revision after a newer one"
	BrokenAcceptOnce  ViolationKind = "one revision was accepted anew"
	BrokenConvergence ViolationKind = "a revision is told to be in force that a live follower lacks"
	BrokenRecovery    ViolationKind = "not in step after the calm"
	BrokenCost        ViolationKind = "a message is larger than what changed in the scope allows"
	BrokenDelay       ViolationKind = "a follower in step got a change late"
)

// Violation describes the violation of a property in a run.
type Violation struct {
	Kind   ViolationKind
	At     time.Duration // since the run began
	Detail string
}

// String returns the time of the violation, its kind and its detail.
func (v Violation) String() string { return fmt.Sprintf("at %v: %s: %s", v.At, v.Kind, v.Detail) }

// Outcome holds the results of a run.
type Outcome struct {
	Violations  []Violation // the run ends at maxViolations
	Fingerprint uint64      // digest of all accepted revisions; equal for identical runs

	Commits, Faults     int
	Accepted, Rejected  int           // revisions, at followers
	FullScopes, Changes int           // messages with records
	Progress            int           // messages with a revision but no records
	Claims              int           // checks at which the converged revision was known
	Stale               int           // followers without a live lease at claims
	InStepChecked       int           // changes to followers in step whose delay was checked
	InStepBesideCrowd   int           // those of InStepChecked committed while a crowd waited for full scopes
	Settled             time.Duration // from the start of the fault-free time until all followers were in step
	LiveAtClaims        int           // followers with a live lease whose revisions were compared with a claim
}

// Add returns the sum of two outcomes, with the longer of both Settled times. The fingerprint of the sum is that of o
// and has no meaning.
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
