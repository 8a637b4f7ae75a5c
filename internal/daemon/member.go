package daemon

import (
	"context"
	"crypto/tls"
	"net"
	"strconv"
	"sync"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/config"
	machine "harehook.dev/harehook/configsync"
	"harehook.dev/harehook/internal/certs"
	"harehook.dev/harehook/raftlog"
	"harehook.dev/harehook/records"
)

// member is this conductor's part in a group that agrees on configuration.
type member struct {
	node     *cluster.Node
	agreed   *records.Store
	follow   *followers
	disk     *raftlog.Log
	server   *grpc.Server
	listener net.Listener
}

// join opens the log and prepares the member. A log that can't be gone on with ends the start.
func join(group *config.Group, w *watcher, held *certs.Store, log *zap.Logger) (*member, error) {
	disk, saved, err := raftlog.Open(group.DataFolder)
	if err != nil {
		return nil, err
	}
	state := cluster.NewState(config.TextFormat{})
	node, err := cluster.NewNode(group.ID, disk, saved, group.Voters, group.Addresses, state, log.Named("group"))
	if err != nil {
		disk.Close()
		return nil, err
	}
	node.CheckProposal = w.fits
	var secure *tls.Config
	if held != nil {
		secure = held.ServerConfig()
		node.TLSConfig = func() *tls.Config { return held.ClientConfig("conductor") }
	}
	listener, err := net.Listen("tcp", group.Listen)
	if err != nil {
		disk.Close()
		return nil, err
	}
	m := &member{node: node, agreed: state.Store(), disk: disk, server: cluster.NewServer(secure), listener: listener}
	node.Register(m.server)
	m.follow = newFollowers(node, strconv.FormatUint(group.ID, 10), machine.DefaultLimits, log.Named("followers"))
	m.follow.service.Register(m.server)
	node.OnCommit = m.follow.service.Committed
	log.Info("member of a group", zap.Uint64("id", group.ID), zap.Stringer("listen", listener.Addr()), zap.String("disk", saved.Identity))
	return m, nil
}

// run serves the group until ctx ends, and has each version that is in force count.
func (m *member) run(ctx context.Context, w *watcher) error {
	var parts sync.WaitGroup
	parts.Go(func() { m.server.Serve(m.listener) })
	stop := context.AfterFunc(ctx, m.server.Stop)
	defer stop()
	following, leave := context.WithCancel(ctx)
	defer leave()
	parts.Go(func() { m.follow.run(following) })
	ended := make(chan error, 1)
	parts.Go(func() { ended <- m.node.Run(ctx) })
	taken := uint64(0) // the revision as of which the watcher has routes and overrides
	for {
		select {
		case err := <-ended:
			leave()
			m.server.Stop()
			parts.Wait()
			m.disk.Close()
			return err
		case <-m.node.Changed:
			if m.agreed.LastChange(records.KindRoute, records.KindOverride) <= taken {
				continue // other records changed, which this conductor's own tables do not show
			}
			agreed := m.agreed.OfKinds(records.KindRoute, records.KindOverride)
			taken = agreed.Revision
			w.take(agreed)
		}
	}
}
