package loadtest

import (
	"context"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/configsync"
	front "harehook.dev/harehook/configsync/transport"
	"harehook.dev/harehook/raftlog"
	"harehook.dev/harehook/records"
)

// memberHooks are where tests plant faults.
type memberHooks struct {
	source func(records.Source) records.Source // stands between the member's records and its followers
}

// countsInterval is how often a member reports what it has sent.
const countsInterval = 500 * time.Millisecond

// memberWorker is the worker that is a member of the group, as harehook-xds has it but without a data plane.
type memberWorker struct {
	node    *cluster.Node
	service *front.Service
	out     *lineWriter
}

// runMember serves as a member until ctx ends.
func runMember(ctx context.Context, setup *memberSetup, planted memberHooks, out *lineWriter) error {
	disk, saved, err := raftlog.Open(setup.Folder)
	if err != nil {
		return err
	}
	defer disk.Close()
	state := cluster.NewState(nil)
	node, err := cluster.NewNode(setup.ID, disk, saved, setup.voters(), setup.Addresses, state, zap.NewNop())
	if err != nil {
		return err
	}
	source := node.Records()
	if planted.source != nil {
		source = planted.source(source)
	}
	address := setup.Addresses[setup.ID]
	m := &memberWorker{node, front.NewService(address, source, configsync.DefaultLimits, zap.NewNop()), out}
	node.OnCommit = m.service.Committed
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return m.run(ctx, listener)
}

// voters are all members, who begin the group together.
func (s *memberSetup) voters() (ids []uint64) {
	for id := range uint64(len(s.Addresses)) {
		ids = append(ids, id+1)
	}
	return ids
}

// run serves until ctx ends or the node does.
func (m *memberWorker) run(ctx context.Context, listener net.Listener) error {
	ctx, stop := context.WithCancel(ctx)
	server := cluster.NewServer(nil)
	m.node.Register(server)
	m.service.Register(server)
	var parts sync.WaitGroup
	defer parts.Wait()
	defer server.Stop()
	defer stop()
	parts.Go(func() { server.Serve(listener) })
	stopped := make(chan error, 1)
	parts.Go(func() { stopped <- m.node.Run(ctx) })
	parts.Go(func() { m.reportCounts(ctx) })
	guard := front.LeaderGuard{Service: m.service, HasLeader: m.hasLeader, Lease: configsync.DefaultLimits.Lease, Log: zap.NewNop()}
	parts.Go(func() { guard.Run(ctx) })
	if err := m.out.write(workerReport{Ready: true}); err != nil {
		return err
	}
	return <-stopped
}

// reportCounts reports what was sent until ctx ends.
func (m *memberWorker) reportCounts(ctx context.Context) {
	for sleep(ctx, countsInterval) == nil {
		counts := m.service.Counts()
		if m.out.write(workerReport{Counts: &counts}) != nil {
			return
		}
	}
}

func (m *memberWorker) hasLeader(ctx context.Context) bool {
	report, err := m.node.Status(ctx)
	return err == nil && report.Status.Leader != 0
}
