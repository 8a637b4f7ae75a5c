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
	deliverTimeout   = 2 * time.Second // for one message, and for a connection attempt
	maxCallBytes     = 64 << 20        // size of one gRPC message; a snapshot is sent in one
	keepaliveTime    = 5 * time.Second // time without traffic until a server pings; twice that for a client
	keepaliveTimeout = 2 * time.Second // for the response to a ping

	senderIdentityKey   = "harehook-identity" // metadata: identity of the sender's disk
	receiverIdentityKey = "harehook-known"    // metadata: identity of the receiver's disk in the sender's state
)

// dialBackoff configures the delays between connection attempts. They are short because a member that is down may be
// back within a second.
var dialBackoff = backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.3, MaxDelay: time.Second}

// Dial creates a client connection to a member; it connects at the first call. TLSConfig provides the certificates;
// nil: without TLS.
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

// NewServer creates a gRPC server for members and operators. TLSConfig nil: without TLS.
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

// deliver sends a Raft message, with the sender's disk identity and the one that is registered for the receiver in the
// sender's state.
func deliver(ctx context.Context, conn *grpc.ClientConn, senderIdentity, receiverIdentity string, message *raftpb.Message) error {
	body, err := proto.Marshal(message)
	if err != nil {
		return nil // the message is dropped without reporting the receiver as unreachable
	}
	ctx, cancel := context.WithTimeout(ctx, deliverTimeout)
	defer cancel()
	ctx = metadata.AppendToOutgoingContext(ctx, senderIdentityKey, senderIdentity, receiverIdentityKey, receiverIdentity)
	return conn.Invoke(ctx, methodPrefix+"Deliver", wrapperspb.Bytes(body), &wrapperspb.BytesValue{})
}

// handleDeliver handles a Raft message from another member.
func (n *Node) handleDeliver(ctx context.Context, body []byte) ([]byte, error) {
	message := &raftpb.Message{}
	if err := proto.Unmarshal(body, message); err != nil || message.GetTo() != n.member.ID || message.GetFrom() == 0 {
		return nil, status.Error(codes.InvalidArgument, "not a Raft message for this member")
	}
	received, _ := metadata.FromIncomingContext(ctx)
	senderIdentity := firstValue(received, senderIdentityKey)
	receiverIdentity := firstValue(received, receiverIdentityKey)
	return nil, n.runOnLoop(ctx, func() { n.member.Step(senderIdentity, receiverIdentity, message) })
}

// firstValue returns the first value of a key, or the empty string if there is none.
func firstValue(received metadata.MD, key string) string {
	values := received.Get(key)
	if len(values) == 0 {
		return ""
	}
	return values[0]
}
