package cluster

import (
	"context"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/raftlog"
)

// discardStorage is a log that a test lets a node keep its promises in.
type discardStorage struct{}

func (discardStorage) Save(raftlog.Batch) error { return nil }
func (discardStorage) Close() error             { return nil }

// newLeader starts a group of one and waits until it leads.
func newLeader(t *testing.T) *Node { return newLeaderWith(t, func(*Node) {}) }

// newLeaderWith is alone with a node that is prepared before it runs.
func newLeaderWith(t *testing.T, prepare func(*Node)) *Node {
	return newLeaderFrom(t, &raftlog.SavedState{Identity: "disk"}, NewState(plainText{}), prepare)
}

// newLeaderFrom is started on what a disk has saved.
func newLeaderFrom(t *testing.T, saved *raftlog.SavedState, state *State, prepare func(*Node)) *Node {
	n, err := NewNode(1, discardStorage{}, saved, []uint64{1}, nil, state, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	prepare(n)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); n.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		select {
		case <-ended:
		case <-time.After(10 * time.Second):
			t.Error("the node does not end")
		}
	})
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(tickInterval) {
		if r, err := n.Status(t.Context()); err == nil && r.Status.Leader == 1 {
			return n
		}
		if time.Now().After(until) {
			t.Fatal("no leader")
		}
	}
}

// A proposal that is made again while it still waits is answered to both who made it, in one go.
func TestRepeatedProposalAnswersBothCallers(t *testing.T) {
	n := newLeader(t)
	hold := make(chan struct{})
	n.requests <- func() { <-hold } // both come in before the next turn
	var both sync.WaitGroup
	for range 2 {
		both.Go(func() {
			began := time.Now()
			if r, err := n.Propose(t.Context(), put("operator", 1, 0, "text")); err != nil || r.Rejected != "" {
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

// One who has an answer and does not read it, as its time is up, holds no one else up when the same proposal is carried
// out again.
func TestUnreadAnswerDoesNotBlockTheNode(t *testing.T) {
	n := newLeader(t)
	full, hold := make(chan Result, 1), make(chan struct{})
	full <- Result{}
	n.requests <- func() { <-hold }
	answered := make(chan error, 1)
	go func() {
		_, err := n.Propose(context.Background(), put("operator", 1, 0, "text"))
		answered <- err
	}()
	for len(n.requests) < 1 {
		time.Sleep(time.Millisecond)
	}
	n.requests <- func() { n.addWaiter(&pendingProposal{key: "operator 1", result: full}) } // told of in the same turn as the proposal
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
