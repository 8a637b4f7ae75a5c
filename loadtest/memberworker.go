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

// memberHooks holds the faults that a test plants in a member.
type memberHooks struct {
	source func(records.Source) records.Source // wraps the records that the member's followers receive
}

// countsInterval is the interval at which a member reports its message counts.
const countsInterval = 500 * time.Millisecond

// memberWorker is a worker that runs a member of the group. It has the same parts as in harehook-xds, without a data
// plane.
type memberWorker struct {
	node    *cluster.Node
	service *transport.Service
	out     *lineWriter
}

// runMember runs a member until ctx is canceled.
func runMember(ctx context.Context, setup *memberSetup, planted memberHooks, out *lineWriter) error {
	disk, saved, err := raftlog.Open(setup.Folder)
	if err != nil {
		return fmt.Errorf("open the log of member %d: %w", setup.ID, err)
	}
	defer disk.Close()
	state := cluster.NewState(nil)
	node, err := cluster.NewNode(setup.ID, disk, saved, setup.voters(), setup.Addresses, state, zap.NewNop())
	if err != nil {
		return fmt.Errorf("create the node of member %d: %w", setup.ID, err)
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

// voters returns the IDs of all members. All of them are voters from the start.
func (s *memberSetup) voters() (ids []uint64) {
	for id := range uint64(len(s.Addresses)) {
		ids = append(ids, id+1)
	}
	return ids
}

// run serves until ctx is canceled or the node stops.
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

// reportCounts reports the message counts, periodically until ctx is canceled.
func (m *memberWorker) reportCounts(ctx context.Context) {
	for sleep(ctx, countsInterval) == nil {
		counts := m.service.Counts()
		if m.out.write(workerReport{Counts: &counts}) != nil {
			return
		}
	}
}

// hasLeader reports whether the member knows a leader.
func (m *memberWorker) hasLeader(ctx context.Context) bool {
	report, err := m.node.Status(ctx)
	return err == nil && report.Status.Leader != 0
}
