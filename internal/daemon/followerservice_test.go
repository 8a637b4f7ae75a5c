package daemon

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/cluster"
	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/configsync/transport"
	"harehook.dev/harehook/records"
)

// fakeGroup is a member of a group that has agreed on nothing. The test sets its leader; 0 is none.
type fakeGroup struct{ leader atomic.Uint64 }

func (g *fakeGroup) Records() records.Source { return noRecords{} }

func (g *fakeGroup) Status(context.Context) (report cluster.StatusReport, err error) {
	report.Status.Leader = g.leader.Load()
	return report, nil
}

// noRecords is a source without records.
type noRecords struct{}

func (noRecords) Revision() uint64                          { return 0 }
func (noRecords) InScope(records.Scope) records.View        { return records.View{} }
func (noRecords) Since(uint64, records.Scope) records.Delta { return records.Delta{Available: true} }

// A member that has known no leader for the duration of a lease must not extend leases, because its records may be
// outdated. It extends leases again once it knows a leader.
func TestMemberWithoutLeaderExtendsNoLease(t *testing.T) {
	t.Parallel()
	limits := configsync.DefaultLimits
	group := &fakeGroup{}
	group.leader.Store(1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	followers := newFollowerService(group, listener.Addr().String(), limits, zap.NewNop())
	server := cluster.NewServer(nil)
	followers.service.Register(server)
	client, err := transport.NewClient(transport.Config{Name: "c", Members: []string{listener.Addr().String()}, Lease: limits.Lease})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 3)
	for _, run := range []func(){func() { server.Serve(listener) }, func() { followers.run(ctx) }, func() { client.Run(ctx) }} {
		go func() { run(); done <- struct{}{} }()
	}
	t.Cleanup(func() {
		cancel()
		server.Stop()
		for range 3 {
			<-done
		}
	})
	waitForStale := func(condition string, stale bool) {
		t.Helper()
		for deadline := time.Now().Add(3 * testTimeout); client.Status().Stale != stale; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%s: got stale %t, want %t", condition, !stale, stale)
			}
		}
	}
	waitForStale("with a leader", false)
	group.leader.Store(0)
	waitForStale("without a leader", true)
	group.leader.Store(2)
	waitForStale("with another leader", false)
}
