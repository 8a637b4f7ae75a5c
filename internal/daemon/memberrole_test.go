package daemon

import (
	"path/filepath"
	"testing"

	"go.uber.org/zap"

	"harehook.dev/harehook/config"
)

// A member's node tells the followers' service of commits: without that they would hear of them only as they are heard
// themselves.
func TestMemberNotifiesFollowersOfCommits(t *testing.T) {
	address := freeAddress(t)
	group := &config.Group{ID: 1, Listen: address, DataFolder: filepath.Join(t.TempDir(), "data"), Addresses: map[uint64]string{1: address}, Voters: []uint64{1}}
	m, err := newMemberRole(group, &watcher{}, nil, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		m.listener.Close()
		m.disk.Close()
	})
	if m.node.OnCommit == nil {
		t.Error("the node tells nobody of commits")
	}
	for _, service := range []string{"envoy.service.discovery.v3.AggregatedDiscoveryService", "harehook.follow.v1.Followers"} {
		if _, served := m.server.GetServiceInfo()[service]; !served {
			t.Errorf("%s is not served", service)
		}
	}
}
