package simulation

import "harehook.dev/harehook/cluster"

// Setup is what a run is played with. Times are in ticks.
type Setup struct {
	Seed              uint64
	Members           int
	Ticks             int
	FaultFreeTicks    int // at the end, without faults: all has to be well again
	Timing            cluster.Timing
	MinDelay          int
	MaxDelay          int
	Loss, Duplication float64
	MaxSyncDelay      int     // that a save takes at most: a member does nothing meanwhile
	Faults            []Fault // in order of time; nil: drawn from the seed
	FaultEvery        int     // ticks between two drawn faults on average, 0: none
	ProposeEvery      int
	Sidecars          int
	Planted           Planted
}

// Planted is a fault in the program itself, by which a checker is shown to see.
type Planted string

// The faults that can be planted.
const (
	VoteNotSynced Planted = "vote not synced"          // a save returns before the disk has it
	BeforeCommit  Planted = "published before commit"  // what a leader proposes is told to sidecars at once
	StaleRead     Planted = "stale read told as fresh" // a member answers reads by what it has
)

// Outcome is what a run showed.
type Outcome struct {
	Violations  []string
	Fingerprint uint64 // of all that happened: equal for equal runs

	Agreed, Rejected, Unknown int
	Commit                    []int // ticks from a proposal to its answer
	Gap                       []int // ticks from the loss of a leader to the next agreed version
	Converged                 []int // ticks from a version's commit until all sidecars hold it
	Settled                   int   // ticks of calm until a version was agreed and held by all; -1: never
	Entries                   int   // of the longest log at the end
}
