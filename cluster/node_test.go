package cluster

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/raftlog"
)

// discardStorage is a log that saves nothing.
type discardStorage struct{}

func (discardStorage) Save(raftlog.Batch) error { return nil }
func (discardStorage) Close() error             { return nil }

// startNode runs a group of one until the test ends, and gives what Run returns.
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
			t.Error("the node does not end")
		}
	})
	return n, result
}

// runningNode is a node without a format of its own, whether it leads or not.
func runningNode(t *testing.T) (*Node, <-chan error) {
	t.Helper()
	return startNode(t, &raftlog.SavedState{Identity: "disk"}, NewState(plainText{}), func(*Node) {})
}

// newLeader starts a group of one and waits until it leads.
func newLeader(t *testing.T) *Node {
	t.Helper()
	return newLeaderWith(t, func(*Node) {})
}

// newLeaderWith is newLeader with a node that is prepared before it runs.
func newLeaderWith(t *testing.T, prepare func(*Node)) *Node {
	t.Helper()
	return newLeaderFrom(t, &raftlog.SavedState{Identity: "disk"}, NewState(plainText{}), prepare)
}

// newLeaderFrom is newLeaderWith on what a disk has saved.
func newLeaderFrom(t *testing.T, saved *raftlog.SavedState, state *State, prepare func(*Node)) *Node {
	t.Helper()
	n, _ := startNode(t, saved, state, prepare)
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(tickInterval) {
		if report, err := n.Status(t.Context()); err == nil && report.Status.Leader == 1 {
			return n
		}
		if time.Now().After(deadline) {
			t.Fatal("no leader")
		}
	}
}

// An operator's tool repeats a proposal while the first call still waits. Both calls have to get the result when the
// command is applied, without waiting for a retry.
func TestRepeatedProposalAnswersBothCallers(t *testing.T) {
	n := newLeader(t)
	hold := make(chan struct{})
	n.requests <- func() { <-hold } // both come in before the next iteration of the loop
	var both sync.WaitGroup
	for range 2 {
		both.Go(func() {
			began := time.Now()
			if r, err := n.Propose(t.Context(), putCommand("operator", 1, 0, "text")); err != nil || r.Rejected != "" {
				t.Errorf("%v, %v", r, err)
			}
			if took := time.Since(began); took > retryInterval {
				t.Errorf("answered after %v", took)
			}
		})
	}
	for len(n.requests) < 2 {
		time.Sleep(time.Millisecond)
	}
	close(hold)
	both.Wait()
}

// A caller of Propose has a result that it does not receive, as its time is up, and the same proposal is applied again.
// The loop would block for good on sending it another result, and the member would fall silent. It must go on.
func TestUnreadAnswerDoesNotBlockTheNode(t *testing.T) {
	n := newLeader(t)
	full := make(chan Result, 1)
	full <- Result{}
	hold := make(chan struct{})
	n.requests <- func() { <-hold }
	answered := make(chan error, 1)
	go func() {
		_, err := n.Propose(context.Background(), putCommand("operator", 1, 0, "text"))
		answered <- err
	}()
	for len(n.requests) < 1 {
		time.Sleep(time.Millisecond)
	}
	// In the same iteration as the proposal, so that both wait for the same result.
	n.requests <- func() { n.addWaiter(&pendingProposal{key: "operator 1", result: full}) }
	close(hold)
	select {
	case err := <-answered:
		if err != nil {
			t.Error(err)
		}
	case <-time.After(5 * time.Second):
		<-full // lets the node go on, so that the test ends
		t.Error("the node does not answer")
	}
}
