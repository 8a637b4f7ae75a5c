package daemon

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/cluster"
	machine "harehook.dev/harehook/configsync"
	"harehook.dev/harehook/configsync/transport"
	"harehook.dev/harehook/records"
)

const (
	leaderEvery   = 500 * time.Millisecond // between two looks for a leader
	leaderTimeout = time.Second            // for the member's answer
)

// errNoLeader is why followers are sent to another member.
var errNoLeader = errors.New("this member knows no leader and may be out of date: ask another one")

// agreeingGroup is what followers' service needs of this conductor's member of the group.
type agreeingGroup interface {
	Records() records.Source
	Status(ctx context.Context) (cluster.StatusReport, error)
}

// followers is the part of a member that serves conductors that follow the group.
type followers struct {
	service *transport.Service
	group   agreeingGroup
	lease   time.Duration
	log     *zap.Logger
}

// newFollowers makes it; the member's server registers the service, and its node tells the service of commits.
func newFollowers(group agreeingGroup, address string, limits machine.Limits, log *zap.Logger) *followers {
	return &followers{
		service: transport.NewService(address, group.Records(), limits, log),
		group:   group, lease: limits.Lease, log: log,
	}
}

// run looks for a leader until ctx ends. A member that knew none for a lease's time may be cut off from the others: it
// must not extend leases, so that its followers go to members that are not, or know that they are stale.
func (f *followers) run(ctx context.Context) {
	tick := time.NewTicker(leaderEvery)
	defer tick.Stop()
	led, paused := time.Now(), false
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if f.hasLeader(ctx) {
			led = time.Now()
		}
		leaderless := time.Since(led) >= f.lease
		if leaderless == paused {
			continue
		}
		if paused = leaderless; paused {
			f.log.Warn("followers are sent away: no leader is known")
			f.service.SetUnavailable(errNoLeader)
		} else {
			f.log.Info("followers are served again")
			f.service.SetUnavailable(nil)
		}
	}
}

func (f *followers) hasLeader(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, leaderTimeout)
	defer cancel()
	report, err := f.group.Status(ctx)
	return err == nil && report.Status.Leader != 0
}
