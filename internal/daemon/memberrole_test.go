package daemon

import (
	"path/filepath"
	"testing"

	"go.uber.org/zap"

	"harehook.dev/harehook/config"
)

// The node of a member must notify the service for followers of commits. Without this, followers would receive a change
// only when they next send a message themselves.
func TestMemberNotifiesFollowersOfCommits(t *testing.T) {
	address := freeAddress(t)
	group := &config.Group{ID: 1, Listen: address, DataFolder: filepath.Join(t.TempDir(), "data"), Addresses: map[uint64]string{1: address}, Voters: []uint64{1}}
	m, err := newMemberRole(group, &watcher{}, nil, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		m.listener.Close()
		m.raftLog.Close()
	})
	if m.node.OnCommit == nil {
		t.Error("OnCommit of the node: got nil, want the service for followers")
	}
	for _, service := range []string{"envoy.service.discovery.v3.AggregatedDiscoveryService", "harehook.follow.v1.Followers"} {
		if _, served := m.server.GetServiceInfo()[service]; !served {
			t.Errorf("services of the member's server: got no %s, want it registered", service)
		}
	}
}
