package daemon

import (
	"context"
	"hash/fnv"
	"sync/atomic"

	"go.uber.org/zap"
	"google.golang.org/grpc/credentials"

	"harehook.dev/harehook/config"
	"harehook.dev/harehook/configsync/transport"
	"harehook.dev/harehook/internal/certs"
	"harehook.dev/harehook/records"
)

// followerRole is the role of a controller that follows a group without being a member.
type followerRole struct {
	client  *transport.Client
	watcher *watcher
	log     *zap.Logger

	candidate *config.Agreed // decoded by the last check; apply puts it into effect
	revision  atomic.Uint64  // the last accepted revision
}

// newFollowerRole creates the role of a follower. Call run to follow the group.
func newFollowerRole(settings *config.Controller, w *watcher, certificates *certs.Reloader, log *zap.Logger) (*followerRole, error) {
	f := &followerRole{watcher: w, log: log.Named("follow")}
	clientConfig := transport.Config{
		Name:         settings.Name,
		Scope:        settings.Follower.Scope,
		Members:      settings.Follower.Members,
		Lease:        settings.Follower.Lease,
		Seed:         followSeed(settings),
		Validate:     f.check,
		Accepted:     f.apply,
		StaleChanged: f.logStale,
		Log:          f.log,
	}
	if certificates != nil {
		clientConfig.Credentials = credentials.NewTLS(certificates.ClientConfig(controllerName))
	}
	client, err := transport.NewClient(clientConfig)
	if err != nil {
		return nil, err
	}
	f.client = client
	return f, nil
}

// followSeed returns a seed that differs between controllers even if their configuration files contain the same seed,
// so that they do not poll the same member at the same time.
func followSeed(settings *config.Controller) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(settings.Name + " " + settings.Listen))
	return hash.Sum64() ^ settings.Seed
}

func (f *followerRole) run(ctx context.Context) error {
	f.log.Info("following a group", zap.Strings("members", f.watcher.settings.Follower.Members))
	f.client.Run(ctx)
	return nil
}

// check returns an error if this controller cannot use the received records. Like apply, it is called by the
// goroutine of client.Run.
func (f *followerRole) check(revision uint64, received map[records.Key]*records.Record) error {
	agreed, err := config.AgreedFromFollower(received)
	if err == nil {
		err = f.watcher.checkUpdate(agreed)
	}
	if err != nil {
		f.log.Error("revision rejected, keeping the previous one", zap.Uint64("revision", revision), zap.Error(err))
		return err
	}
	f.candidate = agreed
	return nil
}

// apply puts an accepted revision into effect. Sidecars are updated only if routes or overrides differ; most revisions
// change neither.
func (f *followerRole) apply(revision uint64, _ map[records.Key]*records.Record) {
	f.revision.Store(revision)
	if f.candidate == nil || !f.watcher.publish(f.client.RoutingRevision(), f.candidate) {
		return
	}
	f.log.Info("revision applied",
		zap.Uint64("revision", revision),
		zap.Int("routes", len(f.candidate.Routes)),
		zap.Int("overrides", len(f.candidate.Overrides)))
}

// logStale logs that the lease has expired, or that a member has granted one again.
func (f *followerRole) logStale(stale bool) {
	if stale {
		f.log.Warn("lease expired, keeping the last accepted revision",
			zap.Uint64("revision", f.revision.Load()))
		return
	}
	f.log.Info("lease granted again")
}
