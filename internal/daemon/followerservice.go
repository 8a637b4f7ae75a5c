package daemon

import (
	"context"

	"go.uber.org/zap"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/configsync/transport"
	"harehook.dev/harehook/records"
)

// followedGroup contains the methods of the group's member ([cluster.Node]) that the service for followers needs.
type followedGroup interface {
	Records() records.Source
	Status(ctx context.Context) (cluster.StatusReport, error)
}

// followerService is the service by which a member serves the controllers that follow the group.
type followerService struct {
	service *transport.Service
	guard   transport.LeaderGuard
}

// newFollowerService creates the service. The caller must register it with the member's gRPC server and make the
// member's node notify it of commits.
func newFollowerService(group followedGroup, address string, limits configsync.Limits, log *zap.Logger) *followerService {
	service := transport.NewService(address, group.Records(), limits, log)
	hasLeader := func(ctx context.Context) bool {
		report, err := group.Status(ctx)
		return err == nil && report.Status.Leader != 0
	}
	guard := transport.LeaderGuard{Service: service, HasLeader: hasLeader, Lease: limits.Lease, Log: log}
	return &followerService{service: service, guard: guard}
}

// run pauses the service when the member has known no leader for the duration of a lease, and resumes it when a leader
// is known. It returns when ctx is canceled.
func (f *followerService) run(ctx context.Context) { f.guard.Run(ctx) }
