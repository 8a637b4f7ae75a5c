package simulation

import "harehook.dev/harehook/cluster"

// Setup is what a run is played with. Times are in ticks.
type Setup struct {
	Seed              uint64
	Members           int // with the ids from 1 on
	Ticks             int // length of the run
	FaultFreeTicks    int // at the end of the run: the group has to recover in them
	Timing            cluster.Timing
	MinDelay          int     // of a message, beside the one tick that each takes
	MaxDelay          int     // of a message, beside the one tick that each takes
	Loss, Duplication float64 // fractions of messages that are lost, and that arrive twice
	MaxSyncDelay      int     // that a save takes; a member does nothing meanwhile
	Faults            []Fault // in order of time; nil: Draw draws them from the seed
	FaultEvery        int     // mean ticks between two drawn faults; 0: none
	ProposeEvery      int     // ticks between two proposals of the operator; 0: no operator
	Sidecars          int
	Planted           Planted
}

// Planted is a fault in the program itself, by which a checker is shown to see. Its text is what the flag --planted of
// harehook-testbed takes.
type Planted string

// The faults that can be planted.
const (
	// VoteNotSynced has a save return before the disk has the batch: a crash then loses a vote or an entry that the
	// member has answered for.
	VoteNotSynced Planted = "vote not synced"
	// BeforeCommit has a leader publish to sidecars what it proposes, before the group has agreed.
	BeforeCommit Planted = "published before commit"
	// StaleRead has a member answer a linearizable read by what it holds, without asking the leader.
	StaleRead Planted = "stale read told as fresh"
)
