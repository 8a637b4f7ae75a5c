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
	electionTicks       = 10 // an election timeout of 0.5 s to 1 s
	heartbeatTicks      = 2
	compactAfterEntries = 1000
	requestQueueSize    = 256 // requests queued for the loop; further callers block
)

// DefaultTiming is the Timing that nodes use.
var DefaultTiming = Timing{ElectionTicks: electionTicks, HeartbeatTicks: heartbeatTicks, CompactAfterEntries: compactAfterEntries}

// Storage persists the log of a node's member. Save returns once the batch is durable, so that it survives a crash.
// *raftlog.Log is the implementation used in production.
type Storage interface {
	Save(raftlog.Batch) error
	Close() error
}

// Node runs a member with its clock, its storage and its connections. Exported fields must be set before Run.
//
// The member is only accessed on the goroutine of Run, the loop; other goroutines run functions on the loop by
// runOnLoop. As exceptions, the member's ID and Identity never change, and the comment of State lists the methods that
// any goroutine may call.
type Node struct {
	TLSConfig func() *tls.Config // for connections to other members; nil: without TLS
	// CheckProposal returns an error if this controller cannot use the records that would result from an operator's
	// proposal: routes, services and overrides, ordered by key. Such a proposal is rejected. It may be called on any
	// goroutine. Nil: nothing is checked.
	CheckProposal func(proposed []*records.Record) error
	// OnCommit is called on the loop with each change of the records after Records contains it, and with Reset after a
	// snapshot replaced all of them. It must not block. Nil: no one is notified. The daemon uses it to send updates to
	// followers.
	OnCommit func(records.Change)
	Log      *zap.Logger
	// Changed receives a value when another version takes effect; it holds at most one. The daemon then puts the agreed
	// routes and overrides into effect at this controller.
	Changed chan struct{}

	storage   Storage
	addresses map[uint64]string // configured addresses, by member; State.Addresses takes precedence
	requests  chan func()       // functions to run on the loop
	stopped   chan struct{}     // closed when the loop has ended

	// Accessed only on the loop.
	member          *Member
	proposalWaiters map[string][]chan Result // by proposalKey; a repeated proposal adds a waiter to a pending one
	readWaiters     map[uint64]chan Version  // by ReadState.ID
	peerQueues      map[uint64]chan *raftpb.Message
	loggedLeader    uint64
	loggedVersion   uint64
	lastSetup       time.Time // time of the last proposal by proposeSetup

	senders sync.WaitGroup // the goroutines of the peer queues; Run waits for them
}

// NewNode creates a node from its saved state, and saves the first batch of a new disk. Voters are the initial members
// of the group; they are empty for a member that is added later. The error is a *raftlog.UnusableError if the snapshot
// cannot be read, or that of the storage.
func NewNode(id uint64, disk Storage, saved *raftlog.SavedState, voters []uint64, addresses map[uint64]string, state *State, log *zap.Logger) (*Node, error) {
	var seed [8]byte
	if _, err := rand.Read(seed[:]); err != nil {
		return nil, err
	}
	member, bootstrap, err := Start(id, saved, voters, state, DefaultTiming, binary.LittleEndian.Uint64(seed[:]))
	if err != nil {
		return nil, err
	}
	if err := disk.Save(bootstrap); err != nil {
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

// Register registers the service for other members and operators on a gRPC server.
func (n *Node) Register(s *grpc.Server) { s.RegisterService(&service, n) }

// Records returns the agreed records. The returned source stays valid and up to date for the lifetime of the node.
func (n *Node) Records() records.Source { return n.member.State.Store() }

// Run runs the member until ctx is done, and then returns nil. It returns a *DiskReplacedError if the group has
// registered another disk for this member's number, and the storage's error if a batch could not be saved, because the
// member must not acknowledge data that is not persisted. Run must be called only once. All its goroutines have ended
// when it returns; the storage stays open.
func (n *Node) Run(ctx context.Context) error {
	n.member.State.OnCommit = n.OnCommit
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	ctx, cancel := context.WithCancel(ctx)
	defer n.senders.Wait()
	defer close(n.stopped) // before waiting for the senders: one may be waiting for this loop
	defer cancel()
	for n.waitForWork(ctx, ticker.C) {
		if err := n.advance(ctx); err != nil {
			return err
		}
	}
	return nil
}

// waitForWork waits for a tick or a request, and processes it and all queued requests. It returns false once ctx is
// done.
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

// advance advances the member, and sends its messages and notifies the waiting callers.
func (n *Node) advance(ctx context.Context) error {
	if n.member.DiskReplaced {
		err := &DiskReplacedError{Member: n.member.ID}
		n.Log.Error("stopping because another disk is registered for this member", zap.Error(err))
		return err
	}
	messages, applied, reads, err := n.member.Advance(n.storage.Save)
	if err != nil {
		n.Log.Error("stopping because the log could not be saved or applied", zap.Error(err))
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

// logLeader logs a change of the leader.
func (n *Node) logLeader() {
	leader := n.member.Leader()
	if leader == n.loggedLeader {
		return
	}
	n.loggedLeader = leader
	n.Log.Info("leader changed", zap.Uint64("member", leader), zap.Uint64("term", n.member.Status().Term))
}

// announceVersion logs a new version and notifies the receiver of Changed.
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
