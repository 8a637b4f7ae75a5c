package followers

import (
	"time"

	"harehook.dev/harehook/configsync"
)

// Setup is what a run is played with.
type Setup struct {
	Seed        uint64
	Members     int
	Followers   int
	Active      time.Duration // with commits and faults
	FaultFree   time.Duration // without either, at the end: all have to be in step before it ends
	CommitEvery time.Duration // on average
	FaultEvery  time.Duration // on average
	Planted     Planted
}

// DefaultSetup is a run of moderate size.
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

// limits are those of the members: a small allowance for full scopes, so that crowds do wait for it.
func limits(planted Planted) configsync.Limits {
	limits := configsync.Limits{
		Lease:                   3 * time.Second,
		MaxStreams:              200,
		FullScopeBytesPerSecond: 5 << 10,
		FullScopeBurstBytes:     5 << 10,
		RejectedBackoff:         4 * time.Second,
	}
	if planted == PlantedNeverAgain {
		limits.RejectedBackoff = time.Hour
	}
	return limits
}

// The simulated network.
const (
	minDelay = time.Millisecond
	maxDelay = 60 * time.Millisecond
	// maxReplication is the longest that an entry takes to a member that does not lag.
	maxReplication = 150 * time.Millisecond
	// maxStartDelay is the longest that a process takes from its start to its first connection.
	maxStartDelay = 500 * time.Millisecond
	// connectTimeout is when a follower gives up on a member that does not answer.
	connectTimeout = time.Second
)
