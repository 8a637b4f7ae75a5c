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

// shutdownRounds is how many nodes the test ends: whether one meets the fault is left to chance, one in two.
const shutdownRounds = 16

// A node is ended while a message waits to be sent: its sender has the loop look up the address, and the loop is over.
// The sender waited for good, and Run with it, so that the process did not end. Run has to return.
func TestNodeStopsWhileAMessageWaits(t *testing.T) {
	ended := make(chan error, shutdownRounds)
	for range shutdownRounds {
		go func() { ended <- stopWhileAMessageWaits() }()
	}
	limit := time.After(30 * time.Second)
	for k := range shutdownRounds {
		select {
		case err := <-ended:
			if err != nil {
				t.Error(err)
			}
		case <-limit:
			t.Fatalf("%d of %d nodes do not end", shutdownRounds-k, shutdownRounds)
		}
	}
}

// stopWhileAMessageWaits starts a node whose two fellow members are away, and ends it while a message waits to be sent.
func stopWhileAMessageWaits() error {
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
	hold := make(chan struct{})
	node.requests <- func() { <-hold }
	node.requests <- func() { // the last one of this iteration of the loop: what it causes waits for the next
		node.peerQueues[2] <- &raftpb.Message{To: proto.Uint64(2)}
		for len(node.requests) == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}
	close(hold)
	return <-result
}
