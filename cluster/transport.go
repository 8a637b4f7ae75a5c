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
	deliverTimeout  = 2 * time.Second
	maxDeliverBytes = 64 << 20 // of a message: snapshots come whole
	peerQueue       = 256      // messages that wait for one member; more are lost, as raft allows
	pingAfter       = 5 * time.Second
	pingTimeout     = 2 * time.Second
	identityKey     = "harehook-identity" // of the sender's disk
	knownKey        = "harehook-known"    // the disk that the sender knows the receiver by
)

// redial are the pauses before a member that is gone is dialled again: it may be back within a second.
var redial = backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.3, MaxDelay: time.Second}

// send puts a message into its member's queue; what does not fit is lost.
func (n *Node) send(ctx context.Context, sending *sync.WaitGroup, m *raftpb.Message) {
	to := m.GetTo()
	queue := n.peers[to]
	if queue == nil {
		queue = make(chan *raftpb.Message, peerQueue)
		n.peers[to] = queue
		sending.Go(func() { n.carry(ctx, to, queue) })
	}
	select {
	case queue <- m:
	default:
		n.member.ReportUnreachable(to)
	}
}

// carry sends what waits for a member until ctx ends. Its address may change.
func (n *Node) carry(ctx context.Context, to uint64, queue <-chan *raftpb.Message) {
	link := &link{node: n, to: to}
	defer link.close()
	for {
		var message *raftpb.Message
		select {
		case <-ctx.Done():
			return
		case message = <-queue:
		}
		address, known := "", ""
		if n.ask(ctx, func() { address, known = n.address(to), n.member.State.Identities[to] }) != nil {
			return
		}
		if !link.dial(address) {
			continue
		}
		if err := link.deliver(ctx, known, message); err != nil && ctx.Err() == nil {
			select {
			case n.inbox <- func() { n.member.ReportUnreachable(to) }:
			case <-ctx.Done():
			case <-n.done:
			}
		}
	}
}

// link is the connection to a member.
type link struct {
	node    *Node
	to      uint64
	address string // that conn goes to
	conn    *grpc.ClientConn
}

func (l *link) close() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// dial has the connection go to an address and tells whether there is one.
func (l *link) dial(address string) bool {
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

// deliver sends a message, with this disk's identity and the one that the receiver is known by.
func (l *link) deliver(ctx context.Context, known string, message *raftpb.Message) error {
	data, err := proto.Marshal(message)
	if err != nil {
		return nil // it is of no use to anyone
	}
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	ctx = metadata.AppendToOutgoingContext(ctx, identityKey, l.node.member.Identity, knownKey, known)
	return l.conn.Invoke(ctx, path+"Deliver", wrapperspb.Bytes(data), &wrapperspb.BytesValue{})
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
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfter * 2, Timeout: pingTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: deliverTimeout, Backoff: redial}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxDeliverBytes), grpc.MaxCallSendMsgSize(maxDeliverBytes)))
}

// NewServer makes a gRPC server for members and operators.
func NewServer(secure *tls.Config) *grpc.Server {
	options := []grpc.ServerOption{grpc.MaxRecvMsgSize(maxDeliverBytes), grpc.KeepaliveParams(keepalive.ServerParameters{Time: pingAfter, Timeout: pingTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: pingAfter, PermitWithoutStream: true})}
	if secure != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(secure)))
	}
	return grpc.NewServer(options...)
}

// deliver takes a message of another member.
func (n *Node) deliver(ctx context.Context, body []byte) ([]byte, error) {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(body, m); err != nil || m.GetTo() != n.member.ID || m.GetFrom() == 0 {
		return nil, status.Error(codes.InvalidArgument, "not a message for this member")
	}
	told, _ := metadata.FromIncomingContext(ctx)
	first := func(key string) string { return append(told.Get(key), "")[0] }
	return nil, n.ask(ctx, func() { n.member.Step(first(identityKey), first(knownKey), m) })
}
