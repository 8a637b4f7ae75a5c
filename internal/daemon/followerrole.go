package daemon

import (
	"context"
	"hash/fnv"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/credentials"

	"harehook.dev/harehook/config"
	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/configsync/transport"
	"harehook.dev/harehook/internal/certs"
	"harehook.dev/harehook/records"
)

// followerRole is the role of a controller that follows a group without being a member.
//
// After its start it serves no sidecar until it has accepted a revision. Otherwise a sidecar that reconnects would get
// the configuration of the follower's file, without the agreed overrides, and use nodes again that the group has agreed
// to drain. If no revision arrives in time, the follower serves the configuration of its file.
type followerRole struct {
	client  *transport.Client
	watcher *watcher
	log     *zap.Logger

	firstRevisionTimeout time.Duration // for which sidecars wait for the first revision
	serving              chan struct{} // closed when sidecars may be served
	startServing         sync.Once

	candidate *config.Agreed // decoded by the last check; apply puts it into effect
	revision  atomic.Uint64  // the last accepted revision
}

// newFollowerRole creates the role of a follower. Call run to follow the group.
func newFollowerRole(settings *config.Controller, w *watcher, certificates *certs.Reloader, log *zap.Logger) (*followerRole, error) {
	f := &followerRole{
		watcher:              w,
		log:                  log.Named("follow"),
		firstRevisionTimeout: configsync.DefaultLimits.Lease, // without an answer for this time a follower is stale
		serving:              make(chan struct{}),
	}
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
	timer := time.AfterFunc(f.firstRevisionTimeout, f.serveWithoutRevision)
	defer timer.Stop()
	f.client.Run(ctx)
	return nil
}

// ready returns a channel that is closed when sidecars may be served.
func (f *followerRole) ready() <-chan struct{} { return f.serving }

// serveWithoutRevision starts to serve sidecars unless that has started.
func (f *followerRole) serveWithoutRevision() {
	f.startServing.Do(func() {
		f.log.Warn("no revision received since the start, serving sidecars with the configuration of the file")
		close(f.serving)
	})
}

// serveFirstRevision starts to serve sidecars unless that has started. It waits until the agreed overrides are in
// effect.
func (f *followerRole) serveFirstRevision() {
	f.startServing.Do(func() {
		f.watcher.applyNodes()
		close(f.serving)
	})
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
	defer f.serveFirstRevision()
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
