package loadtest

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/configsync/transport"
	"harehook.dev/harehook/raftlog"
	"harehook.dev/harehook/records"
)

// memberHooks are where tests plant faults.
type memberHooks struct {
	source func(records.Source) records.Source // wraps what the member's followers receive
}

// countsInterval is how often a member reports what it has sent.
const countsInterval = 500 * time.Millisecond

// memberWorker is the worker that is a member of the group, as harehook-xds has it but without a data plane.
type memberWorker struct {
	node    *cluster.Node
	service *transport.Service
	out     *lineWriter
}

// runMember serves as a member until ctx ends.
func runMember(ctx context.Context, setup *memberSetup, planted memberHooks, out *lineWriter) error {
	disk, saved, err := raftlog.Open(setup.Folder)
	if err != nil {
		return fmt.Errorf("log of member %d: %w", setup.ID, err)
	}
	defer disk.Close()
	state := cluster.NewState(nil)
	node, err := cluster.NewNode(setup.ID, disk, saved, setup.voters(), setup.Addresses, state, zap.NewNop())
	if err != nil {
		return fmt.Errorf("node of member %d: %w", setup.ID, err)
	}
	source := node.Records()
	if planted.source != nil {
		source = planted.source(source)
	}
	address := setup.Addresses[setup.ID]
	service := transport.NewService(address, source, configsync.DefaultLimits, zap.NewNop())
	node.OnCommit = service.Committed
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	m := &memberWorker{node: node, service: service, out: out}
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
	guard := transport.LeaderGuard{
		Service:   m.service,
		HasLeader: m.hasLeader,
		Lease:     configsync.DefaultLimits.Lease,
		Log:       zap.NewNop(),
	}
	nodeEnded := make(chan error, 1)
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer server.Stop()
	defer stop()
	tasks.Go(func() { server.Serve(listener) })
	tasks.Go(func() { nodeEnded <- m.node.Run(ctx) })
	tasks.Go(func() { m.reportCounts(ctx) })
	tasks.Go(func() { guard.Run(ctx) })
	if err := m.out.write(workerReport{Ready: true}); err != nil {
		return err
	}
	return <-nodeEnded
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

// hasLeader tells whether the member knows a leader.
func (m *memberWorker) hasLeader(ctx context.Context) bool {
	report, err := m.node.Status(ctx)
	return err == nil && report.Status.Leader != 0
}
