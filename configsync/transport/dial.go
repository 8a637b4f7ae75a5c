package transport

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"

	"harehook.dev/harehook/configsync"
)

const (
	// bufferBytes is the size of a connection's read buffer and of its write buffer. It is small because hundreds of
	// followers may run in one process, and most messages are small.
	bufferBytes = 4 << 10
	// windowBytes is the flow control window of a stream and of its connection: the minimum that gRPC accepts.
	windowBytes = 64 << 10
	// connectTimeout is the timeout of a TCP connection attempt.
	connectTimeout = 2 * time.Second
)

// Traffic counts the bytes that a client's connections receive and send, including all framing above TCP.
type Traffic struct {
	In, Out atomic.Uint64
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c countedConn) Read(into []byte) (int, error) {
	n, err := c.Conn.Read(into)
	c.traffic.In.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(from []byte) (int, error) {
	n, err := c.Conn.Write(from)
	c.traffic.Out.Add(uint64(n))
	return n, err
}

// dialOptions returns the dial options of a client's connections.
func dialOptions(secure credentials.TransportCredentials, traffic *Traffic) []grpc.DialOption {
	if secure == nil {
		secure = insecure.NewCredentials()
	}
	dialer := net.Dialer{Timeout: connectTimeout}
	return []grpc.DialOption{
		grpc.WithTransportCredentials(secure),
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, err
			}
			return countedConn{conn, traffic}, nil
		}),
		grpc.WithReadBufferSize(bufferBytes),
		grpc.WithWriteBufferSize(bufferBytes),
		grpc.WithInitialWindowSize(windowBytes),
		grpc.WithInitialConnWindowSize(windowBytes),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(configsync.MaxMessage)),
	}
}
