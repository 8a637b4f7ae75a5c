package scaling

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/raftlog"
)

const (
	idleDuration         = 3 * time.Second  // for which an idle group is measured
	registrationDuration = time.Second      // after the group is ready, so that the last registrations are not measured
	electionTimeout      = 30 * time.Second // reached only in case of a fault
	shutdownTimeout      = 30 * time.Second // likewise
	leaderPollInterval   = 50 * time.Millisecond
)

// countingListener counts the bytes of all connections that it accepted, in both directions. Only one end of a
// connection is counted.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return countingConn{conn, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// loopbackGroup is a group of real nodes with real logs and connections, all in this process.
type loopbackGroup struct {
	nodes   []*cluster.Node
	disks   []*raftlog.Log
	servers []*grpc.Server
	bytes   atomic.Int64
	tasks   sync.WaitGroup
	cancel  context.CancelFunc
	folder  string
}

// newLoopbackGroup starts a group and waits until all members know a leader and the disks of all members.
func newLoopbackGroup(size int) (*loopbackGroup, error) {
	folder, err := os.MkdirTemp("", "harehook-group-")
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	group := &loopbackGroup{cancel: cancel, folder: folder}
	if err := group.startAll(ctx, size); err != nil {
		return nil, errors.Join(err, group.stopAndWait())
	}
	return group, nil
}

// startAll starts all nodes and waits until they know a leader and the disks of all members.
func (g *loopbackGroup) startAll(ctx context.Context, size int) error {
	var listeners []net.Listener
	var voters []uint64
	addresses := map[uint64]string{}
	for id := range uint64(size) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		listeners = append(listeners, listener)
		voters = append(voters, id+1)
		addresses[id+1] = listener.Addr().String()
	}
	for index, id := range voters {
		if err := g.start(ctx, id, listeners[index], voters, addresses); err != nil {
			return fmt.Errorf("member %d of %d: %w", id, size, err)
		}
	}
	return g.waitForLeader(ctx)
}

// start starts one node and its server.
func (g *loopbackGroup) start(ctx context.Context, id uint64, listener net.Listener, voters []uint64, addresses map[uint64]string) error {
	disk, saved, err := raftlog.Open(filepath.Join(g.folder, fmt.Sprint(id)))
	if err != nil {
		return err
	}
	g.disks = append(g.disks, disk)
	node, err := cluster.NewNode(id, disk, saved, voters, addresses, cluster.NewState(nil), zap.NewNop())
	if err != nil {
		return err
	}
	server := cluster.NewServer(nil)
	node.Register(server)
	g.nodes = append(g.nodes, node)
	g.servers = append(g.servers, server)
	g.tasks.Go(func() { server.Serve(countingListener{listener, &g.bytes}) })
	g.tasks.Go(func() { node.Run(ctx) })
	return nil
}

// waitForLeader waits until all members know a leader and the disks of all members.
func (g *loopbackGroup) waitForLeader(ctx context.Context) error {
	deadline := time.Now().Add(electionTimeout)
	for time.Now().Before(deadline) {
		ready, err := g.countReady(ctx)
		if err != nil {
			return err
		}
		if ready == len(g.nodes) {
			return nil
		}
		time.Sleep(leaderPollInterval)
	}
	return fmt.Errorf("not all %d members knew a leader and the disks of all members within %s", len(g.nodes), electionTimeout)
}

// countReady counts the members that know a leader and the disks of all members.
func (g *loopbackGroup) countReady(ctx context.Context) (ready int, err error) {
	for _, node := range g.nodes {
		report, err := node.Status(ctx)
		if err != nil {
			return 0, err
		}
		if report.Status.Leader != 0 && len(report.Identities) == len(g.nodes) {
			ready++
		}
	}
	return ready, nil
}

// stopAndWait stops all nodes. It returns an error if a node does not stop in time; the logs then stay open.
func (g *loopbackGroup) stopAndWait() error {
	g.cancel()
	for _, server := range g.servers {
		server.Stop()
	}
	stopped := make(chan struct{})
	go func() {
		g.tasks.Wait()
		close(stopped)
	}()
	select {
	case <-stopped:
	case <-time.After(shutdownTimeout):
		return fmt.Errorf("a member did not stop within %s", shutdownTimeout)
	}
	for _, disk := range g.disks {
		disk.Close()
	}
	return os.RemoveAll(g.folder)
}

// loopbackSample measures an idle group. Values are per second, summed over all members.
func loopbackSample(size int, _ Effort) (Sample, error) {
	sample := newSample(size)
	group, err := newLoopbackGroup(size)
	if err != nil {
		return sample, err
	}
	time.Sleep(registrationDuration)
	var cost meter
	cost.start()
	bytesBefore := group.bytes.Load()
	startTime := time.Now()
	time.Sleep(idleDuration)
	seconds := time.Since(startTime).Seconds()
	cost.stop()
	cost.recordPerOperation(&sample, 1)
	for _, quantity := range []Quantity{CPU, Allocated, Allocations} {
		sample.Values[quantity] /= seconds
	}
	sample.Values[Wire] = float64(group.bytes.Load()-bytesBefore) / seconds
	return sample, group.stopAndWait()
}
