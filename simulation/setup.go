package simulation

import "harehook.dev/harehook/cluster"

// Setup holds the parameters of a run. Times are in ticks.
type Setup struct {
	Seed              uint64
	Members           int // number of members; their ids start at 1
	Ticks             int // length of the run
	FaultFreeTicks    int // at the end of the run, in which the group must recover
	Timing            cluster.Timing
	MinDelay          int     // of a message, in addition to the one tick that each message takes
	MaxDelay          int     // of a message, in addition to the one tick that each message takes
	Loss, Duplication float64 // fractions of messages that are lost, and that are delivered twice
	MaxSyncDelay      int     // maximum duration of a save, which blocks the member; 0: none, also with SlowIO
	Faults            []Fault // in order of time; nil: drawn from the seed, see Draw
	FaultEvery        int     // mean ticks between two drawn faults; 0: no faults
	ProposeEvery      int     // ticks between two proposals of the operator; 0: no operator
	Sidecars          int
	Planted           Planted
}

// Planted is a planted fault: a deliberate bug in the program, which a checker must detect. Its text is the value
// of the flag --planted of harehook-testbed.
type Planted string

// The faults that can be planted.
const (
	// VoteNotSynced lets a save return before the batch is synced: a crash then loses a vote or an entry that the member
	// has already acknowledged.
	VoteNotSynced Planted = "vote not synced"
	// BeforeCommit lets a leader publish its proposals to sidecars before the group has agreed on them.
	BeforeCommit Planted = "published before commit"
	// StaleRead lets a member serve a linearizable read from its local state, without asking the leader.
	StaleRead Planted = "stale read told as fresh"
)
