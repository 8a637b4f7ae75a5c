package loadtest

import (
	"context"
	"errors"
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

// countsEvery is how often a member tells what it sent and looks for a leader.
const countsEvery = 500 * time.Millisecond

// errNoLeader is why followers are sent to another member.
var errNoLeader = errors.New("this member knows no leader: ask another one")

// member is the worker that is a member of the group, as harehookd has it but without a data plane.
type member struct {
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
	m := &member{node, front.NewService(address, source, configsync.DefaultLimits, zap.NewNop()), out}
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
func (m *member) run(ctx context.Context, listener net.Listener) error {
	ctx, stop := context.WithCancel(ctx)
	server := cluster.NewServer(nil)
	m.node.Register(server)
	m.service.Register(server)
	var parts sync.WaitGroup
	defer parts.Wait()
	defer server.Stop()
	defer stop()
	parts.Go(func() { server.Serve(listener) })
	ended := make(chan error, 1)
	parts.Go(func() { ended <- m.node.Run(ctx) })
	parts.Go(func() { m.watch(ctx) })
	if err := m.out.write(news{Ready: true}); err != nil {
		return err
	}
	return <-ended
}

// watch tells what was sent, and sends followers away once no leader was known for a lease's time, until ctx ends.
func (m *member) watch(ctx context.Context) {
	led := time.Now()
	for pause(ctx, countsEvery) == nil {
		counts := m.service.Counts()
		if m.out.write(news{Counts: &counts}) != nil {
			return
		}
		if report, err := m.node.Status(ctx); err == nil && report.Status.Leader != 0 {
			led = time.Now()
		}
		if time.Since(led) >= configsync.DefaultLimits.Lease {
			m.service.SetUnavailable(errNoLeader)
		} else {
			m.service.SetUnavailable(nil)
		}
	}
}
