package cluster

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"go.uber.org/zap"
	"google.golang.org/grpc"

	"harehook.dev/harehook/raftlog"
	"harehook.dev/harehook/records"
)

const (
	tickInterval        = 50 * time.Millisecond
	electionTicks       = 10 // half a second to one without a leader
	heartbeatTicks      = 2
	compactAfterEntries = 1000        // entries
	requestQueueSize    = 256         // requests that wait for the node's goroutine; more wait where they are made
	setupInterval       = time.Second // between two proposals of a member for itself that were not agreed yet
)

// DefaultTiming are the timings of nodes.
var DefaultTiming = Timing{ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, CompactAfterEntries: compactAfterEntries}

// Storage is what a node keeps its promises in.
type Storage interface {
	Save(raftlog.Batch) error
	Close() error
}

// Node drives a member: its clock, its disk and its connections. Exported fields are set before Run.
type Node struct {
	TLSConfig func() *tls.Config // what other members are dialled with; nil: plain
	// CheckProposal says why records that an operator's proposal leads to can't be used here: routes, services and overrides,
	// ordered by key. Such a proposal is not made. Nil: nothing is asked.
	CheckProposal func(proposed []*records.Record) error
	// OnCommit is called on the node's goroutine with each change of the records once Records has it, and with Reset
	// when a snapshot took the place of all. It must not wait. Nil: no one is told.
	OnCommit func(records.Change)
	Log      *zap.Logger
	Changed  chan struct{} // poked when another version is in force

	member          *Member
	storage         Storage
	addresses       map[uint64]string // as configured; what was agreed counts more
	requests        chan func()
	stopped         chan struct{}
	proposalWaiters map[string][]chan Result // by proposal: one may be made again while it still waits
	readWaiters     map[uint64]chan Version
	peerQueues      map[uint64]chan *raftpb.Message // what waits for each

	loggedLeader  uint64    // that was logged last
	loggedVersion uint64    // that was logged last
	lastSetup     time.Time // of the last proposal of this member for itself
}

// NewNode makes a node of what its disk has. Voters are those that begin the group; a member that is added later has
// none.
func NewNode(id uint64, disk Storage, saved *raftlog.SavedState, voters []uint64, addresses map[uint64]string, state *State, log *zap.Logger) (*Node, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, err
	}
	member, first, err := Start(id, saved, voters, state, DefaultTiming, binary.LittleEndian.Uint64(seed[:]))
	if err != nil {
		return nil, err
	}
	if err := disk.Save(first); err != nil {
		return nil, err
	}
	return &Node{
		member: member, storage: disk, addresses: addresses, Log: log, Changed: make(chan struct{}, 1),
		requests: make(chan func(), requestQueueSize), stopped: make(chan struct{}),
		proposalWaiters: map[string][]chan Result{}, readWaiters: map[uint64]chan Version{}, peerQueues: map[uint64]chan *raftpb.Message{},
	}, nil
}

// Register serves other members and operators on a gRPC server.
func (n *Node) Register(s *grpc.Server) { s.RegisterService(&service, n) }

// Records is where the agreed records are read. It stays the same one while the node lives.
func (n *Node) Records() records.Source { return n.member.State.Store() }

// Run drives the member until ctx ends or its disk fails: what can't be kept must not be promised.
func (n *Node) Run(ctx context.Context) error {
	n.member.State.OnCommit = n.OnCommit
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	ctx, cancel := context.WithCancel(ctx)
	var sending sync.WaitGroup
	defer sending.Wait()
	defer close(n.stopped) // before the wait: who carries a message may wait for an answer of this loop
	defer cancel()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			n.member.Tick()
		case do := <-n.requests:
			do()
		}
		for range len(n.requests) {
			(<-n.requests)()
		}
		if n.member.DiskReplaced {
			err := &raftlog.UnusableError{Reason: fmt.Sprintf("the group knows member %d by another disk: remove it and add this one under a new number", n.member.ID)}
			n.Log.Error("this member stops", zap.Error(err))
			return err
		}
		out, done, reads, err := n.member.Advance(n.storage.Save)
		if err != nil {
			n.Log.Error("this member stops: what it promises can't be kept", zap.Error(err))
			return err
		}
		for _, message := range out {
			n.enqueue(ctx, &sending, message)
		}
		n.notifyWaiters(done, reads)
		n.proposeSetup()
		n.logChanges()
	}
}

// notifyWaiters tells results to who proposed and versions to who reads.
func (n *Node) notifyWaiters(done []AppliedCommand, reads []ReadState) {
	for _, d := range done {
		key := proposalKey(d.Command)
		for _, answer := range n.proposalWaiters[key] {
			select {
			case answer <- d.Result:
			default: // it has one that it has not read, and may never
			}
		}
		delete(n.proposalWaiters, key)
	}
	for _, r := range reads {
		if answer := n.readWaiters[r.ID]; answer != nil {
			delete(n.readWaiters, r.ID)
			answer <- n.member.State.Latest()
		}
	}
}

// proposeSetup proposes what a member has the group know by itself: its disk, and as the leader of a group that began with
// whole texts, that revisions of records count from now on.
func (n *Node) proposeSetup() {
	if n.member.Leader() == 0 || time.Since(n.lastSetup) < setupInterval {
		return
	}
	switch {
	case !n.member.Registered():
		n.lastSetup = time.Now()
		n.member.Propose(n.member.RegisterCommand())
	case n.member.State.WholeTexts && n.member.IsLeader():
		n.lastSetup = time.Now()
		n.member.Propose(n.member.FormatCommand())
	}
}

// logChanges logs another leader or version, and pokes who waits for a version.
func (n *Node) logChanges() {
	if now := n.member.Leader(); now != n.loggedLeader {
		n.loggedLeader = now
		n.Log.Info("leader", zap.Uint64("member", now), zap.Uint64("term", n.member.Status().Term))
	}
	v := n.member.State.Latest()
	if v.Number == n.loggedVersion {
		return
	}
	n.loggedVersion = v.Number
	n.Log.Info("version in force", zap.Uint64("number", v.Number), zap.String("by", v.By), zap.String("why", v.Why))
	select {
	case n.Changed <- struct{}{}:
	default:
	}
}
