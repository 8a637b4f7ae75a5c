package transport

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
)

const (
	leaderPollInterval = 500 * time.Millisecond
	leaderPollTimeout  = time.Second
)

// ErrNoLeader is the reason with which a paused service ends its streams, so that followers try another member.
var ErrNoLeader = errors.New("member has no leader and may be out of date; try another member")

// LeaderGuard pauses a member's service when the member has had no leader for the lease duration, and resumes it when a
// leader is known again. Such a member may be partitioned from the others: it must not extend leases, so that its
// followers move to connected members or detect that they are stale.
type LeaderGuard struct {
	Service   *Service
	HasLeader func(ctx context.Context) bool // called every half second with a timeout of one second
	Lease     time.Duration
	Log       *zap.Logger
}

// Run polls HasLeader until ctx is done.
func (g *LeaderGuard) Run(ctx context.Context) {
	ticker := time.NewTicker(leaderPollInterval)
	defer ticker.Stop()
	leaderSeen := time.Now()
	paused := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		if g.poll(ctx) {
			leaderSeen = time.Now()
		}
		leaderless := time.Since(leaderSeen) >= g.Lease
		if leaderless != paused {
			paused = leaderless
			g.setPaused(paused)
		}
	}
}

func (g *LeaderGuard) poll(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, leaderPollTimeout)
	defer cancel()
	return g.HasLeader(ctx)
}

func (g *LeaderGuard) setPaused(paused bool) {
	if paused {
		g.Log.Warn("follower service paused: no leader")
		g.Service.SetUnavailable(ErrNoLeader)
		return
	}
	g.Log.Info("follower service resumed")
	g.Service.SetUnavailable(nil)
}
