package followers

import (
	"time"

	"harehook.dev/harehook/configsync"
)

// Setup holds the parameters of a run.
type Setup struct {
	Seed        uint64
	Members     int
	Followers   int
	Active      time.Duration // time with commits and faults
	FaultFree   time.Duration // time at the end without commits and new faults, in which all followers must come in step
	CommitEvery time.Duration // mean time between two commits
	FaultEvery  time.Duration // mean time between two faults
	Planted     Planted
}

// DefaultSetup returns the setup of a run of moderate size.
func DefaultSetup(seed uint64) Setup {
	return Setup{
		Seed:        seed,
		Members:     3,
		Followers:   14,
		Active:      90 * time.Second,
		FaultFree:   30 * time.Second,
		CommitEvery: 700 * time.Millisecond,
		FaultEvery:  2500 * time.Millisecond,
	}
}

// limits returns the limits of the members. The rate of full scopes is so low that the followers of a crowd must wait.
func limits(planted Planted) configsync.Limits {
	limits := configsync.Limits{
		Lease:                   3 * time.Second,
		MaxStreams:              200,
		FullScopeBytesPerSecond: 5 << 10,
		FullScopeBurstBytes:     5 << 10,
		RejectedBackoff:         4 * time.Second,
	}
	if planted == PlantedNoRedelivery {
		limits.RejectedBackoff = time.Hour
	}
	return limits
}

// The delays of the simulated network and processes.
const (
	minDelay = time.Millisecond
	maxDelay = 60 * time.Millisecond
	// maxReplicationDelay bounds the time that an entry takes to reach a member that does not lag.
	maxReplicationDelay = 150 * time.Millisecond
	// maxStartDelay bounds the time from the start of a process to its first connection.
	maxStartDelay = 500 * time.Millisecond
	// connectTimeout is the time after which a follower gives up on a member that does not respond.
	connectTimeout = time.Second
)
