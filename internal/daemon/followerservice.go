package daemon

import (
	"context"

	"go.uber.org/zap"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/configsync/transport"
	"harehook.dev/harehook/records"
)

// followedGroup is what serving followers needs of this controller's member of the group.
type followedGroup interface {
	Records() records.Source
	Status(ctx context.Context) (cluster.StatusReport, error)
}

// followerService is the part of a member that serves the controllers that follow the group.
type followerService struct {
	service *transport.Service
	guard   transport.LeaderGuard
}

// newFollowerService prepares the service. The caller registers it on the member's server and has the member's node notify it
// of commits.
func newFollowerService(group followedGroup, address string, limits configsync.Limits, log *zap.Logger) *followerService {
	service := transport.NewService(address, group.Records(), limits, log)
	hasLeader := func(ctx context.Context) bool {
		report, err := group.Status(ctx)
		return err == nil && report.Status.Leader != 0
	}
	guard := transport.LeaderGuard{Service: service, HasLeader: hasLeader, Lease: limits.Lease, Log: log}
	return &followerService{service: service, guard: guard}
}

// run pauses the service while the member knows no leader, until ctx ends.
func (f *followerService) run(ctx context.Context) { f.guard.Run(ctx) }
