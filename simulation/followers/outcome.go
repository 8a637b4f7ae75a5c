package followers

import (
	"fmt"
	"time"
)

// ViolationKind describes the violation of a checked property.
type ViolationKind string

// The kinds of violation, one for each checked property.
const (
	BrokenContents    ViolationKind = "records of a follower differ from those of the log at its revision"
	BrokenConsistency ViolationKind = "followers accepted one revision of one scope with different contents"
	BrokenOrder       ViolationKind = "a follower accepted an older revision after a newer one"
	BrokenAcceptOnce  ViolationKind = "a follower accepted one revision twice"
	BrokenConvergence ViolationKind = "a follower with a live lease is behind the claimed converged revision"
	BrokenRecovery    ViolationKind = "not all followers were in step after the fault-free time"
	BrokenCost        ViolationKind = "a message is larger than the changes in the scope require"
	BrokenDelay       ViolationKind = "a follower in step received a change late"
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
	Progress            int           // messages without records: progress to a revision, and heartbeats
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
