// Package followers simulates followers of a group on a virtual clock. The state machines of package configsync and the
// records of package records are the real ones; the network, the group's log and the faults are drawn from a seed. One
// seed is one run, byte for byte. Checkers report each property that a run violates.
package followers

import (
	"fmt"
	"time"

	"harehook.dev/harehook/configsync"
)

// Setup is what a run is played with.
type Setup struct {
	Seed        uint64
	Members     int
	Followers   int
	Active      time.Duration // with commits and faults
	FaultFree   time.Duration // without, at the end: all have to be in step before it ends
	CommitEvery time.Duration // on average
	FaultEvery  time.Duration // on average
	Planted     Planted
}

// DefaultSetup is a run of moderate size.
func DefaultSetup(seed uint64) Setup {
	return Setup{Seed: seed, Members: 3, Followers: 14, Active: 90 * time.Second, FaultFree: 30 * time.Second,
		CommitEvery: 700 * time.Millisecond, FaultEvery: 2500 * time.Millisecond}
}

// Planted is a fault in the program itself, by which a checker is shown to see.
type Planted string

// The faults that can be planted.
const (
	PlantedNone           Planted = ""
	PlantedFullScope      Planted = "whole scope at each change"
	PlantedMissingChange  Planted = "lost change"
	PlantedOlderRevision  Planted = "follower goes back to an older revision"
	PlantedLeases         Planted = "in force ignores leases"
	PlantedContents       Planted = "a member has other contents"
	PlantedNeverAgain     Planted = "what was refused is not offered again"
	PlantedSlowChanges    Planted = "changes wait behind the crowd"
	PlantedOutOfScope     Planted = "records out of scope are sent"
	PlantedLongLease      Planted = "a follower's lease runs from the answer"
	PlantedSettledTooSoon Planted = "a member that restarted is settled at once"
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

// Violation is a property broken at a time of a run.
type Violation struct {
	Kind   ViolationKind
	At     time.Duration
	Detail string
}

// String tells of the violation.
func (v Violation) String() string { return fmt.Sprintf("at %v: %s: %s", v.At, v.Kind, v.Detail) }

// Outcome is what a run showed.
type Outcome struct {
	Violations  []Violation
	Fingerprint uint64 // of all that was accepted: equal for equal runs

	Commits, Faults     int
	Accepted, Rejected  int
	FullScopes, Changes int // messages
	Progress            int
	Claims              int           // times that the revision in force was known, and checked
	Stale               int           // times that a follower was seen without a lease
	InStepChecked       int           // changes to followers in step whose delay was checked
	InStepBesideCrowd   int           // of them while a crowd waited for whole scopes
	Settled             time.Duration // of calm until all were in step
	LiveAtClaims        int           // followers with a live lease that a claim was compared with
}

// Add joins what two runs showed.
func (o Outcome) Add(other Outcome) Outcome {
	o.Violations = append(o.Violations, other.Violations...)
	o.Commits, o.Faults = o.Commits+other.Commits, o.Faults+other.Faults
	o.Accepted, o.Rejected = o.Accepted+other.Accepted, o.Rejected+other.Rejected
	o.FullScopes, o.Changes, o.Progress = o.FullScopes+other.FullScopes, o.Changes+other.Changes, o.Progress+other.Progress
	o.Claims, o.LiveAtClaims, o.Stale = o.Claims+other.Claims, o.LiveAtClaims+other.LiveAtClaims, o.Stale+other.Stale
	o.InStepChecked += other.InStepChecked
	o.InStepBesideCrowd += other.InStepBesideCrowd
	o.Settled = max(o.Settled, other.Settled)
	return o
}

// limits are those of the members: a small allowance, so that crowds do wait for it.
func limits(planted Planted) configsync.Limits {
	chosen := configsync.Limits{Lease: 3 * time.Second, MaxStreams: 200, FullScopeBytesPerSecond: 5 << 10, FullScopeBurstBytes: 5 << 10, RejectedBackoff: 4 * time.Second}
	if planted == PlantedNeverAgain {
		chosen.RejectedBackoff = time.Hour
	}
	return chosen
}

// The figures of the simulated network and of the checks.
const (
	minDelay = time.Millisecond
	maxDelay = 60 * time.Millisecond
	// maxReplication is the longest that an entry takes to a member that does not lag.
	maxReplication = 150 * time.Millisecond
	// connectTimeout is when a follower gives up on a member that does not answer.
	connectTimeout = time.Second
	// maxInStepDelay bounds a change to a follower in step: replication, an answer under way, the offer.
	maxInStepDelay = 500 * time.Millisecond
	// maxProgressBytes bounds a message that tells of a revision only.
	maxProgressBytes = 128
	// maxRecordOverhead bounds the bytes of a changed record beside its name and body.
	maxRecordOverhead = 1 << 10
)
