package cluster

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
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
	compactAfterEntries = 1000
	requestQueueSize    = 256 // requests that wait for the loop; more wait where they are made
)

// DefaultTiming are the timings of nodes.
var DefaultTiming = Timing{ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, CompactAfterEntries: compactAfterEntries}

// Storage is where a node saves what its member promises. Save returns once the batch survives a crash. *raftlog.Log is
// the one in service.
type Storage interface {
	Save(raftlog.Batch) error
	Close() error
}

// Node drives a member: its clock, its storage and its connections. Exported fields are set before Run.
//
// The member is touched on the goroutine of Run alone, its loop: other goroutines have the loop run a function
// (runOnLoop). ID and Identity of the member never change, and its State says what may be used from any goroutine.
type Node struct {
	TLSConfig func() *tls.Config // what other members are dialled with; nil: without TLS
	// CheckProposal says why the records that an operator's proposal leads to can't be used here: routes, services and
	// overrides, ordered by key. Such a proposal is rejected. It is called on any goroutine. Nil: nothing is checked.
	CheckProposal func(proposed []*records.Record) error
	// OnCommit is called on the loop with each change of the records once Records has it, and with Reset when a snapshot
	// replaced all of them. It must not block. Nil: no one is notified. The daemon has followers sent updates by it.
	OnCommit func(records.Change)
	Log      *zap.Logger
	// Changed has a value when another version took effect since it was last received from. The daemon puts the agreed
	// routes and overrides into effect at this controller by it.
	Changed chan struct{}

	storage   Storage
	addresses map[uint64]string // as configured, by member; State.Addresses takes precedence
	requests  chan func()       // to run on the loop
	stopped   chan struct{}     // closed when the loop has ended

	// Of the loop alone.
	member          *Member
	proposalWaiters map[string][]chan Result // by proposalKey; a proposal may be made again while it still waits
	readWaiters     map[uint64]chan Version  // by ReadState.ID
	peerQueues      map[uint64]chan *raftpb.Message
	loggedLeader    uint64
	loggedVersion   uint64
	lastSetup       time.Time // of the last proposal of this member for itself

	senders sync.WaitGroup // the goroutines of the peer queues; Run waits for them
}

// NewNode makes a node of what its disk has, and saves what a new disk begins with. Voters are those that begin the
// group; a member that is added later has none. The error is a *raftlog.UnusableError if the snapshot cannot be read, or
// the storage's.
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
		Log:             log,
		Changed:         make(chan struct{}, 1),
		storage:         disk,
		addresses:       addresses,
		requests:        make(chan func(), requestQueueSize),
		stopped:         make(chan struct{}),
		member:          member,
		proposalWaiters: map[string][]chan Result{},
		readWaiters:     map[uint64]chan Version{},
		peerQueues:      map[uint64]chan *raftpb.Message{},
	}, nil
}

// Register serves other members and operators on a gRPC server.
func (n *Node) Register(s *grpc.Server) { s.RegisterService(&service, n) }

// Records is where the agreed records are read. It stays the same one while the node lives.
func (n *Node) Records() records.Source { return n.member.State.Store() }

// Run drives the member until ctx ends, and then returns nil. It returns a *DiskReplacedError if the group knows another
// disk under this member's number, and the storage's error if a batch could not be saved: what is not persisted must not
// be promised. It is called once, and has ended all its goroutines when it returns; the storage stays open.
func (n *Node) Run(ctx context.Context) error {
	n.member.State.OnCommit = n.OnCommit
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	ctx, cancel := context.WithCancel(ctx)
	defer n.senders.Wait()
	defer close(n.stopped) // before the wait: a sender may wait for an answer of this loop
	defer cancel()
	for n.waitForWork(ctx, ticker.C) {
		if err := n.advance(ctx); err != nil {
			return err
		}
	}
	return nil
}

// waitForWork waits for a tick or a request, and hands the member all that has come. It returns false once ctx has
// ended.
func (n *Node) waitForWork(ctx context.Context, ticks <-chan time.Time) (running bool) {
	select {
	case <-ctx.Done():
		return false
	case <-ticks:
		n.member.Tick()
	case request := <-n.requests:
		request()
	}
	for range len(n.requests) {
		request := <-n.requests
		request()
	}
	return true
}

// advance has the member act, and passes on what it gives.
func (n *Node) advance(ctx context.Context) error {
	if n.member.DiskReplaced {
		err := &DiskReplacedError{Member: n.member.ID}
		n.Log.Error("this member stops", zap.Error(err))
		return err
	}
	messages, applied, reads, err := n.member.Advance(n.storage.Save)
	if err != nil {
		n.Log.Error("this member stops: what it promises can't be kept", zap.Error(err))
		return err
	}
	for _, message := range messages {
		n.enqueue(ctx, message)
	}
	n.notifyProposers(applied)
	n.notifyReaders(reads)
	n.proposeSetup()
	n.logLeader()
	n.announceVersion()
	return nil
}

// logLeader logs a new leader.
func (n *Node) logLeader() {
	leader := n.member.Leader()
	if leader == n.loggedLeader {
		return
	}
	n.loggedLeader = leader
	n.Log.Info("leader changed", zap.Uint64("member", leader), zap.Uint64("term", n.member.Status().Term))
}

// announceVersion logs a new version and notifies who receives from Changed.
func (n *Node) announceVersion() {
	version := n.member.State.Latest()
	if version.Number == n.loggedVersion {
		return
	}
	n.loggedVersion = version.Number
	n.Log.Info("version in effect", zap.Uint64("number", version.Number), zap.String("by", version.By), zap.String("why", version.Why))
	select {
	case n.Changed <- struct{}{}:
	default:
	}
}
