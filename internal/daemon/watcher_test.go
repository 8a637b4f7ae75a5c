package daemon

import (
	"testing"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/config"
	"harehook.dev/harehook/controller"
	"harehook.dev/harehook/planner"
	"harehook.dev/harehook/settings"
	"harehook.dev/harehook/xds/transport"
)

// A list is received from the service while an older list is being applied. The newer list must be applied last.
// Otherwise the controller would keep the older list until the next change.
func TestListsAreAppliedInOrder(t *testing.T) {
	applying, release := make(chan struct{}), make(chan struct{})
	var applied [][]config.Node
	first := true
	w := &watcher{settings: &config.Controller{Deployment: settings.Deployment{MachineTypes: []string{"any"}}}, log: zap.NewNop(),
		listedNodes: []config.Node{{Endpoint: controller.Endpoint{Node: "old"}}}}
	w.setEffectiveNodes = func(nodes []config.Node) {
		if first {
			first = false
			close(applying)
			<-release
		}
		applied = append(applied, nodes)
	}
	older, newer := make(chan struct{}), make(chan struct{})
	go func() { defer close(older); w.applyNodes() }()
	<-applying
	go func() {
		defer close(newer)
		w.applyReceivedList("2", []transport.Endpoint{{Node: transport.Node{Name: "new"}, State: planner.Ready}})
	}()
	select {
	case <-newer: // applied before the older one
	case <-time.After(200 * time.Millisecond):
	}
	close(release)
	<-older
	<-newer
	if last := applied[len(applied)-1]; len(last) != 1 || last[0].Node != "new" {
		t.Errorf("last applied list: got %v, want the single node new", last)
	}
}
