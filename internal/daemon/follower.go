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

// follower is this conductor's part where it follows a group without being a member.
type follower struct {
	client  *transport.Client
	watcher *watcher
	log     *zap.Logger

	checked  *config.Agreed // what the records that were checked last come to, for accepted
	revision atomic.Uint64  // of what is in use
}

// newFollower prepares the follower; run drives it.
func newFollower(told *config.Controller, w *watcher, held *certs.Store, log *zap.Logger) (*follower, error) {
	f := &follower{watcher: w, log: log.Named("follow")}
	config := transport.Config{
		Name: told.Name, Scope: told.Follower.Scope, Members: told.Follower.Members, Lease: told.Follower.Lease, Seed: followSeed(told),
		Validate: f.check, Accepted: f.accepted, StaleChanged: f.stale, Log: f.log,
	}
	if held != nil {
		config.Credentials = credentials.NewTLS(held.ClientConfig("conductor"))
	}
	var err error
	f.client, err = transport.NewClient(config)
	return f, err
}

// followSeed differs between conductors also where their files state the same seed, so that they don't ask the same
// member at the same time.
func followSeed(told *config.Controller) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(told.Name + " " + told.Listen))
	return hash.Sum64() ^ told.Seed
}

func (f *follower) run(ctx context.Context) {
	f.log.Info("follows a group", zap.Strings("members", f.watcher.told.Follower.Members))
	f.client.Run(ctx)
}

// check says why records can't be used here. It runs on the client's goroutine, as accepted does.
func (f *follower) check(revision uint64, held map[records.Key]*records.Record) error {
	agreed, err := config.AgreedFromFollower(held)
	if err == nil {
		err = f.watcher.usable(agreed)
	}
	if err != nil {
		f.log.Error("revision refused, what was in use stays", zap.Uint64("revision", revision), zap.Error(err))
		return err
	}
	f.checked = agreed
	return nil
}

// accepted has an accepted revision count. Sidecars are told only where routes or overrides differ: most revisions
// touch nothing that this conductor needs.
func (f *follower) accepted(revision uint64, _ map[records.Key]*records.Record) {
	f.revision.Store(revision)
	if f.checked == nil || !f.watcher.publish(f.client.RoutingRevision(), f.checked) {
		return
	}
	f.log.Info("revision in use", zap.Uint64("revision", revision), zap.Int("routes", len(f.checked.Routes)),
		zap.Int("overrides", len(f.checked.Overrides)))
}

// stale says that the lease has run out, or that there is one again.
func (f *follower) stale(yes bool) {
	if yes {
		f.log.Warn("stale: no member was heard for a lease's time, what was accepted last stays in use",
			zap.Uint64("revision", f.revision.Load()))
		return
	}
	f.log.Info("not stale: a member is followed")
}

// usable says why agreed records can't be used with what this conductor knows.
func (w *watcher) usable(agreed *config.Agreed) error {
	w.lock.Lock()
	defer w.lock.Unlock()
	return w.told.ValidateUpdate(agreed, w.agreed, w.listed)
}
