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
	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/internal/certs"
	"harehook.dev/harehook/raftlog"
	"harehook.dev/harehook/records"
)

// memberRole is the role of a controller that is a member of a group.
type memberRole struct {
	immediatelyReady
	node            *cluster.Node
	agreed          *records.Store
	followerService *followerService
	raftLog         *raftlog.Log
	server          *grpc.Server
	listener        net.Listener
	watcher         *watcher
}

// newMemberRole opens the Raft log, creates the member and listens at its address. If the log cannot be used, the error
// is that of raftlog.Open.
func newMemberRole(group *config.Group, w *watcher, certificates *certs.Reloader, log *zap.Logger) (*memberRole, error) {
	raftLog, saved, err := raftlog.Open(group.DataFolder)
	if err != nil {
		return nil, err
	}
	state := cluster.NewState(config.TextFormat{})
	node, err := cluster.NewNode(group.ID, raftLog, saved, group.Voters, group.Addresses, state, log.Named("group"))
	if err != nil {
		raftLog.Close()
		return nil, err
	}
	node.CheckProposal = w.checkProposal
	var serverTLS *tls.Config
	if certificates != nil {
		serverTLS = certificates.ServerConfig()
		node.TLSConfig = func() *tls.Config { return certificates.ClientConfig(controllerName) }
	}
	listener, err := net.Listen("tcp", group.Listen)
	if err != nil {
		raftLog.Close()
		return nil, err
	}
	m := &memberRole{node: node, agreed: state.Store(), raftLog: raftLog, server: cluster.NewServer(serverTLS), listener: listener, watcher: w}
	node.Register(m.server)
	m.followerService = newFollowerService(node, strconv.FormatUint(group.ID, 10), configsync.DefaultLimits, log.Named("followers"))
	m.followerService.service.Register(m.server)
	node.OnCommit = m.followerService.service.Committed
	log.Info("starting as a member of a group", zap.Uint64("id", group.ID), zap.Stringer("listen", listener.Addr()), zap.String("disk", saved.Identity))
	return m, nil
}

// run serves the group until ctx is canceled and puts agreed configuration into effect at this controller. It returns
// the error of the node, such as a disk failure.
func (m *memberRole) run(ctx context.Context) error {
	var parts sync.WaitGroup
	parts.Go(func() { m.server.Serve(m.listener) })
	stopServer := context.AfterFunc(ctx, m.server.Stop)
	defer stopServer()
	guardContext, stopGuard := context.WithCancel(ctx)
	defer stopGuard()
	parts.Go(func() { m.followerService.run(guardContext) })
	nodeStopped := make(chan error, 1)
	parts.Go(func() { nodeStopped <- m.node.Run(ctx) })
	appliedRevision := uint64(0) // revision as of which routes and overrides are in effect at this controller
	for {
		select {
		case err := <-nodeStopped:
			stopGuard()
			m.server.Stop()
			parts.Wait()
			m.raftLog.Close()
			return err
		case <-m.node.Changed:
			appliedRevision = m.apply(appliedRevision)
		}
	}
}

// apply puts routes and overrides into effect if they have changed since appliedRevision. It returns the revision
// as of which they are in effect. Changes to other kinds of records do not affect this controller's routing tables.
func (m *memberRole) apply(appliedRevision uint64) uint64 {
	if m.agreed.LastChange(records.KindRoute, records.KindOverride) <= appliedRevision {
		return appliedRevision
	}
	view := m.agreed.OfKinds(records.KindRoute, records.KindOverride)
	m.watcher.applyAgreed(view)
	return view.Revision
}
