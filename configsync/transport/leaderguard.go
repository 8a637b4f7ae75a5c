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

// ErrNoLeader is why a paused service sends its followers to another member.
var ErrNoLeader = errors.New("this member knows no leader and may be out of date: ask another one")

// LeaderGuard pauses a member's service once the member has known no leader for a lease's time, and resumes it when it
// knows one again. Such a member may be cut off from the others: it must not extend leases, so that its followers go to
// members that are not, or know that they are stale.
type LeaderGuard struct {
	Service   *Service
	HasLeader func(ctx context.Context) bool // is asked every half second, with a timeout of one second
	Lease     time.Duration
	Log       *zap.Logger
}

// Run polls until ctx ends.
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
		g.Log.Warn("followers are sent to other members: no leader is known")
		g.Service.SetUnavailable(ErrNoLeader)
		return
	}
	g.Log.Info("followers are served again")
	g.Service.SetUnavailable(nil)
}
