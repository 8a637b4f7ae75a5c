package cluster

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/raftlog"
)

// discardStorage is a Storage that discards all batches.
type discardStorage struct{}

func (discardStorage) Save(raftlog.Batch) error { return nil }
func (discardStorage) Close() error             { return nil }

// startNode runs a group of one until the test ends. The channel receives the result of Run.
func startNode(t *testing.T, saved *raftlog.SavedState, state *State, prepare func(*Node)) (*Node, <-chan error) {
	t.Helper()
	n, err := NewNode(1, discardStorage{}, saved, []uint64{1}, nil, state, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	prepare(n)
	ctx, cancel := context.WithCancel(context.Background())
	result := make(chan error, 1)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		result <- n.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Error("Run did not return within 10 s of its cancellation")
		}
	})
	return n, result
}

// runningNode starts a group of one and does not wait until it leads.
func runningNode(t *testing.T) (*Node, <-chan error) {
	t.Helper()
	return startNode(t, &raftlog.SavedState{Identity: "disk"}, NewState(plainText{}), func(*Node) {})
}

// newLeader starts a group of one and waits until it leads.
func newLeader(t *testing.T) *Node {
	t.Helper()
	return newLeaderWith(t, func(*Node) {})
}

// newLeaderWith is like newLeader, and calls prepare before the node runs.
func newLeaderWith(t *testing.T, prepare func(*Node)) *Node {
	t.Helper()
	return newLeaderFrom(t, &raftlog.SavedState{Identity: "disk"}, NewState(plainText{}), prepare)
}

// newLeaderFrom is like newLeaderWith, and starts from a saved state.
func newLeaderFrom(t *testing.T, saved *raftlog.SavedState, state *State, prepare func(*Node)) *Node {
	t.Helper()
	n, _ := startNode(t, saved, state, prepare)
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(tickInterval) {
		if report, err := n.Status(t.Context()); err == nil && report.Status.Leader == 1 {
			return n
		}
		if time.Now().After(deadline) {
			t.Fatal("the node does not lead after 20 s")
		}
	}
}

// An operator's tool repeats a proposal while the first call is still pending. Both calls must receive the result when
// the command is applied, without waiting for a retry.
func TestRepeatedProposalReturnsResultToBothCallers(t *testing.T) {
	n := newLeader(t)
	release := make(chan struct{})
	n.requests <- func() { <-release } // both proposals are queued before the next iteration of the loop
	var callers sync.WaitGroup
	for range 2 {
		callers.Go(func() {
			start := time.Now()
			if r, err := n.Propose(t.Context(), putCommand("operator", 1, 0, "text")); err != nil || r.Rejected != "" {
				t.Errorf("got %v, %v, want no rejection and no error", r, err)
			}
			if elapsed := time.Since(start); elapsed > retryInterval {
				t.Errorf("Propose returned after %v, want at most %v", elapsed, retryInterval)
			}
		})
	}
	for len(n.requests) < 2 {
		time.Sleep(time.Millisecond)
	}
	close(release)
	callers.Wait()
}

// A caller of Propose whose deadline has passed does not receive the result in its channel, and the same proposal is
// applied again. Sending another result must not block the loop, or the member would stop responding forever.
func TestUnreadResultDoesNotBlockTheLoop(t *testing.T) {
	n := newLeader(t)
	unread := make(chan Result, 1)
	unread <- Result{}
	release := make(chan struct{})
	n.requests <- func() { <-release }
	returned := make(chan error, 1)
	go func() {
		_, err := n.Propose(context.Background(), putCommand("operator", 1, 0, "text"))
		returned <- err
	}()
	for len(n.requests) < 1 {
		time.Sleep(time.Millisecond)
	}
	// This runs in the same iteration as the proposal, so that both wait for the same result.
	n.requests <- func() { n.addWaiter(&pendingProposal{key: "operator 1", result: unread}) }
	close(release)
	select {
	case err := <-returned:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		<-unread // unblocks the node, so that the test can end
		t.Error("Propose did not return within 5 s")
	}
}
