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
	loopbackSpan       = 3 * time.Second  // that an idle group is watched for
	loopbackCalm       = time.Second      // after the election, until all disks are registered
	electionTimeout    = 30 * time.Second // only a fault takes that long
	shutdownTimeout    = 30 * time.Second // likewise
	leaderPollInterval = 50 * time.Millisecond
)

// countingListener counts the bytes of all connections that it took, both ways. Each connection has one such end.
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
	parts   sync.WaitGroup
	stop    context.CancelFunc
	folder  string
}

func newLoopbackGroup(size int) (*loopbackGroup, error) {
	folder, err := os.MkdirTemp("", "harehook-group-")
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	g := &loopbackGroup{stop: stop, folder: folder}
	var listeners []net.Listener
	var voters []uint64
	addresses := map[uint64]string{}
	for id := range uint64(size) {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Join(err, g.end())
		}
		listeners, voters = append(listeners, listener), append(voters, id+1)
		addresses[id+1] = listener.Addr().String()
	}
	for k, id := range voters {
		if err := g.start(ctx, id, listeners[k], voters, addresses); err != nil {
			return nil, errors.Join(err, g.end())
		}
	}
	if err := g.elected(ctx); err != nil {
		return nil, errors.Join(err, g.end())
	}
	return g, nil
}

// start begins one node.
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
	g.nodes, g.servers = append(g.nodes, node), append(g.servers, server)
	g.parts.Go(func() { server.Serve(countingListener{listener, &g.bytes}) })
	g.parts.Go(func() { node.Run(ctx) })
	return nil
}

// elected waits until all members know a leader.
func (g *loopbackGroup) elected(ctx context.Context) error {
	for begun := time.Now(); time.Since(begun) < electionTimeout; time.Sleep(leaderPollInterval) {
		known := 0
		for _, node := range g.nodes {
			report, err := node.Status(ctx)
			if err != nil {
				return err
			}
			if report.Status.Leader != 0 && len(report.Identities) == len(g.nodes) {
				known++
			}
		}
		if known == len(g.nodes) {
			return nil
		}
	}
	return errors.New("no leader was elected")
}

// end stops all nodes. That one does not end is an error: it is left behind with its log open.
func (g *loopbackGroup) end() error {
	g.stop()
	for _, server := range g.servers {
		server.Stop()
	}
	stopped := make(chan struct{})
	go func() { g.parts.Wait(); close(stopped) }()
	select {
	case <-stopped:
	case <-time.After(shutdownTimeout):
		return fmt.Errorf("a member did not end within %s", shutdownTimeout)
	}
	for _, disk := range g.disks {
		disk.Close()
	}
	return os.RemoveAll(g.folder)
}

// loopbackSample watches an idle group. Values are for each second, of all members.
func loopbackSample(size int, _ Effort) (Sample, error) {
	s := newSample(size)
	g, err := newLoopbackGroup(size)
	if err != nil {
		return s, err
	}
	time.Sleep(loopbackCalm)
	var m meter
	m.start()
	before, begun := g.bytes.Load(), time.Now()
	time.Sleep(loopbackSpan)
	span := time.Since(begun).Seconds()
	m.stop()
	m.into(&s, 1)
	for _, q := range []Quantity{CPU, Allocated, Allocations} {
		s.Values[q] /= span
	}
	s.Values[Wire] = float64(g.bytes.Load()-before) / span
	return s, g.end()
}
