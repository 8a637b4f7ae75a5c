package cluster

import (
	"context"
	"crypto/tls"
	"sync"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"
)

const (
	deliverTimeout   = 2 * time.Second
	maxCallBytes     = 64 << 20 // of a message: snapshots come whole
	peerQueueSize    = 256      // messages that wait for one member; more are lost, as raft allows
	keepaliveTime    = 5 * time.Second
	keepaliveTimeout = 2 * time.Second
	identityKey      = "harehook-identity" // of the sender's disk
	knownIdentityKey = "harehook-known"    // the disk that the sender knows the receiver by
)

// dialBackoff are the pauses before a member that is gone is dialled again: it may be back within a second.
var dialBackoff = backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.3, MaxDelay: time.Second}

// enqueue puts a message into its member's queue; what does not fit is lost.
func (n *Node) enqueue(ctx context.Context, sending *sync.WaitGroup, m *raftpb.Message) {
	to := m.GetTo()
	queue := n.peerQueues[to]
	if queue == nil {
		queue = make(chan *raftpb.Message, peerQueueSize)
		n.peerQueues[to] = queue
		sending.Go(func() { n.runPeer(ctx, to, queue) })
	}
	select {
	case queue <- m:
	default:
		n.member.ReportUnreachable(to)
	}
}

// runPeer sends what waits for a member until ctx ends. Its address may change.
func (n *Node) runPeer(ctx context.Context, to uint64, queue <-chan *raftpb.Message) {
	link := &peer{node: n, to: to}
	defer link.close()
	for {
		var message *raftpb.Message
		select {
		case <-ctx.Done():
			return
		case message = <-queue:
		}
		address, known := "", ""
		if n.runOnLoop(ctx, func() { address, known = n.address(to), n.member.State.Identities[to] }) != nil {
			return
		}
		if !link.dial(address) {
			continue
		}
		if err := link.send(ctx, known, message); err != nil && ctx.Err() == nil {
			select {
			case n.requests <- func() { n.member.ReportUnreachable(to) }:
			case <-ctx.Done():
			case <-n.stopped:
			}
		}
	}
}

// peer is the connection to a member.
type peer struct {
	node    *Node
	to      uint64
	address string // that conn goes to
	conn    *grpc.ClientConn
}

func (l *peer) close() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// dial has the connection go to an address and tells whether there is one.
func (l *peer) dial(address string) bool {
	if address != l.address {
		l.close()
		l.address = address
	}
	if l.conn == nil && address != "" {
		conn, err := Dial(address, l.node.TLSConfig)
		if err != nil {
			l.node.Log.Error("member's address", zap.Uint64("member", l.to), zap.Error(err))
			l.address = ""
			return false
		}
		l.conn = conn
	}
	return l.conn != nil
}

// send sends a message, with this disk's identity and the one that the receiver is known by.
func (l *peer) send(ctx context.Context, known string, message *raftpb.Message) error {
	data, err := proto.Marshal(message)
	if err != nil {
		return nil // it is of no use to anyone
	}
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	ctx = metadata.AppendToOutgoingContext(ctx, identityKey, l.node.member.Identity, knownIdentityKey, known)
	return l.conn.Invoke(ctx, methodPrefix+"Deliver", wrapperspb.Bytes(data), &wrapperspb.BytesValue{})
}

func (n *Node) address(id uint64) string {
	if a := n.member.State.Addresses[id]; a != "" {
		return a
	}
	return n.addresses[id]
}

// Dial prepares a connection to a member.
func Dial(address string, secure func() *tls.Config) (*grpc.ClientConn, error) {
	how := insecure.NewCredentials()
	if secure != nil {
		how = credentials.NewTLS(secure())
	}
	return grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(how),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime * 2, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: deliverTimeout, Backoff: dialBackoff}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxCallBytes), grpc.MaxCallSendMsgSize(maxCallBytes)))
}

// NewServer makes a gRPC server for members and operators.
func NewServer(secure *tls.Config) *grpc.Server {
	options := []grpc.ServerOption{grpc.MaxRecvMsgSize(maxCallBytes), grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime, PermitWithoutStream: true})}
	if secure != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(secure)))
	}
	return grpc.NewServer(options...)
}

// handleDeliver takes a message of another member.
func (n *Node) handleDeliver(ctx context.Context, body []byte) ([]byte, error) {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(body, m); err != nil || m.GetTo() != n.member.ID || m.GetFrom() == 0 {
		return nil, status.Error(codes.InvalidArgument, "not a message for this member")
	}
	told, _ := metadata.FromIncomingContext(ctx)
	first := func(key string) string { return append(told.Get(key), "")[0] }
	return nil, n.runOnLoop(ctx, func() { n.member.Step(first(identityKey), first(knownIdentityKey), m) })
}
