package cluster

import (
	"context"
	"testing"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"harehook.dev/harehook/raftlog"
)

// stoppedNodes is the number of nodes that the test stops. Each one has a chance of one in two to trigger the fault.
const stoppedNodes = 16

// A node is stopped while a message is queued. The message's sender requests the address from the loop, which has
// ended. Run must return, and not wait forever for the blocked sender, or the process would never exit.
func TestNodeStopsWithPendingMessage(t *testing.T) {
	results := make(chan error, stoppedNodes)
	for range stoppedNodes {
		go func() { results <- stopWithPendingMessage() }()
	}
	timeout := time.After(30 * time.Second)
	for k := range stoppedNodes {
		select {
		case err := <-results:
			if err != nil {
				t.Error(err)
			}
		case <-timeout:
			t.Fatalf("%d of %d nodes did not stop within 30 s", stoppedNodes-k, stoppedNodes)
		}
	}
}

// stopWithPendingMessage starts a node whose two peers are unreachable, and stops it while a message is queued. It
// returns the result of Run.
func stopWithPendingMessage() error {
	node, err := NewNode(1, discardStorage{}, &raftlog.SavedState{Identity: "disk"}, []uint64{1, 2, 3}, nil, NewState(plainText{}), zap.NewNop())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	result := make(chan error, 1)
	go func() { result <- node.Run(ctx) }()
	for started := false; !started; time.Sleep(tickInterval) {
		if err := node.runOnLoop(ctx, func() { started = node.peerQueues[2] != nil }); err != nil {
			return err
		}
	}
	release := make(chan struct{})
	node.requests <- func() { <-release }
	node.requests <- func() { // the last request of this loop iteration: the sender's request waits for the next one
		node.peerQueues[2] <- &raftpb.Message{To: proto.Uint64(2)}
		for len(node.requests) == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}
	close(release)
	return <-result
}
