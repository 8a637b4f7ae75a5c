package cluster

import (
	"context"
	"crypto/tls"
	"time"

	"go.etcd.io/raft/v3/raftpb"
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
	deliverTimeout   = 2 * time.Second // of one message, and of a dial
	maxCallBytes     = 64 << 20        // of a message: a snapshot is one
	keepaliveTime    = 5 * time.Second // without traffic until a server pings; a client waits twice as long
	keepaliveTimeout = 2 * time.Second // for the answer to a ping

	identityKey      = "harehook-identity" // metadata: the disk of the sender
	knownIdentityKey = "harehook-known"    // metadata: the disk that the sender knows the receiver by
)

// dialBackoff are the delays before a member that is gone is dialled again: it may be back within a second.
var dialBackoff = backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.3, MaxDelay: time.Second}

// Dial prepares a connection to a member, which is made at the first call. TLSConfig gives the certificates; nil:
// without TLS.
func Dial(address string, tlsConfig func() *tls.Config) (*grpc.ClientConn, error) {
	transport := insecure.NewCredentials()
	if tlsConfig != nil {
		transport = credentials.NewTLS(tlsConfig())
	}
	return grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(transport),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 2 * keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: deliverTimeout, Backoff: dialBackoff}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxCallBytes), grpc.MaxCallSendMsgSize(maxCallBytes)))
}

// NewServer makes a gRPC server for members and operators. TLSConfig nil: without TLS.
func NewServer(tlsConfig *tls.Config) *grpc.Server {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(maxCallBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveTime, PermitWithoutStream: true}),
	}
	if tlsConfig != nil {
		options = append(options, grpc.Creds(credentials.NewTLS(tlsConfig)))
	}
	return grpc.NewServer(options...)
}

// deliver sends a message of Raft's, with the sender's disk and the one that it knows the receiver by.
func deliver(ctx context.Context, conn *grpc.ClientConn, identity, known string, message *raftpb.Message) error {
	body, err := proto.Marshal(message)
	if err != nil {
		return nil // nobody can use it, and the receiver is not at fault
	}
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	ctx = metadata.AppendToOutgoingContext(ctx, identityKey, identity, knownIdentityKey, known)
	return conn.Invoke(ctx, methodPrefix+"Deliver", wrapperspb.Bytes(body), &wrapperspb.BytesValue{})
}

// handleDeliver takes a message of another member.
func (n *Node) handleDeliver(ctx context.Context, body []byte) ([]byte, error) {
	message := &raftpb.Message{}
	if err := proto.Unmarshal(body, message); err != nil || message.GetTo() != n.member.ID || message.GetFrom() == 0 {
		return nil, status.Error(codes.InvalidArgument, "not a message for this member")
	}
	received, _ := metadata.FromIncomingContext(ctx)
	identity := firstValue(received, identityKey)
	known := firstValue(received, knownIdentityKey)
	return nil, n.runOnLoop(ctx, func() { n.member.Step(identity, known, message) })
}

// firstValue is the first value of a key, empty if there is none.
func firstValue(received metadata.MD, key string) string {
	values := received.Get(key)
	if len(values) == 0 {
		return ""
	}
	return values[0]
}
