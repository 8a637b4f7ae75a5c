package daemon

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/config"
	"harehook.dev/harehook/configsync"
	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/records"
)

// nodeRecorder records the nodes that a watcher puts into effect.
type nodeRecorder struct {
	mutex sync.Mutex
	nodes []config.Node
}

func (r *nodeRecorder) set(nodes []config.Node) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.nodes = nodes
}

// ready returns the names of the nodes in effect that are ready.
func (r *nodeRecorder) ready() (names []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, node := range r.nodes {
		if node.State == planner.Ready {
			names = append(names, node.Node)
		}
	}
	return names
}

// startFollowerRole starts a follower of the member at an address, with the nodes n-1 and n-2 in its list.
func startFollowerRole(t *testing.T, member string, firstRevisionTimeout time.Duration) (*followerRole, *nodeRecorder) {
	t.Helper()
	recorder := &nodeRecorder{}
	settings := &config.Controller{
		Name:     "c",
		Listen:   "127.0.0.1:0",
		Follower: &config.Follower{Members: []string{member}, Lease: configsync.DefaultLimits.Lease, Scope: records.Scope{All: true}},
	}
	w := &watcher{
		settings:          settings,
		log:               zap.NewNop(),
		pendingOverrides:  make(chan struct{}, 1),
		setEffectiveNodes: recorder.set,
		listedNodes: []config.Node{
			{Endpoint: controller.Endpoint{Node: "n-1", State: planner.Ready}},
			{Endpoint: controller.Endpoint{Node: "n-2", State: planner.Ready}},
		},
	}
	f, err := newFollowerRole(settings, w, nil, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	f.firstRevisionTimeout = firstRevisionTimeout
	select {
	case <-f.ready():
		t.Fatal("got a follower that is ready before it runs, want one that waits for a revision")
	default:
	}
	ctx, stop := context.WithCancel(context.Background())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		f.run(ctx)
	}()
	t.Cleanup(func() { stop(); <-stopped })
	return f, recorder
}

// A follower restarts while an agreed override drains a node. A sidecar that reconnects before the follower has heard a
// member would get the list of the follower's file, in which the node is ready, and send requests to it again. The
// follower must not be ready until the override is in effect.
func TestFollowerIsReadyWhenAgreedOverridesAreInEffect(t *testing.T) {
	m := newTestMember(t, nil)
	m.set(overrideRecord("n-1", records.StateDraining))
	f, recorder := startFollowerRole(t, m.address, testTimeout)
	select {
	case <-f.ready():
	case <-time.After(testTimeout):
		t.Fatalf("got a follower that is not ready after %s, want one that is ready", testTimeout)
	}
	if ready := recorder.ready(); len(ready) != 1 || ready[0] != "n-2" {
		t.Errorf("ready nodes when sidecars are served: got %v, want n-2", ready)
	}
}

// All members are lost and a follower restarts. If it waited for a revision without a limit, its sidecars would have no
// controller. It must be ready after the time limit.
func TestFollowerIsReadyWithoutMembersAfterTimeout(t *testing.T) {
	f, _ := startFollowerRole(t, freeAddress(t), 50*time.Millisecond)
	select {
	case <-f.ready():
	case <-time.After(testTimeout):
		t.Errorf("got a follower that is not ready after %s, want one that is ready", testTimeout)
	}
}

// A connection arrives before the controller is ready, and the controller is stopped. The connection must not be
// accepted before, and a waiting Accept must return when the listener is closed: otherwise the program would not end.
func TestGatedListenerAcceptsWhenReady(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ready := make(chan struct{})
	listener := newGatedListener(inner, ready)
	conn, err := net.Dial("tcp", inner.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	accepted := make(chan error)
	accept := func() {
		conn, err := listener.Accept()
		if err == nil {
			conn.Close()
		}
		accepted <- err
	}
	go accept()
	select {
	case err := <-accepted:
		t.Errorf("before the controller is ready: got a connection (error %v), want none", err)
	case <-time.After(50 * time.Millisecond):
	}
	close(ready)
	if err := <-accepted; err != nil {
		t.Errorf("once the controller is ready: got error %v, want a connection", err)
	}
	waiting := newGatedListener(inner, make(chan struct{}))
	go func() {
		_, err := waiting.Accept()
		accepted <- err
	}()
	waiting.Close()
	if err := <-accepted; !errors.Is(err, net.ErrClosed) {
		t.Errorf("after Close: got error %v, want net.ErrClosed", err)
	}
}
