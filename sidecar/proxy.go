package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
)

// HTTP/1.1 defines no timeouts; without these, sockets could stay open forever.
const (
	requestHeadTimeout = 10 * time.Second // from the first byte of the request
	clientIdleTimeout  = 60 * time.Second // until the next request on a connection
	bodyTimeout        = 30 * time.Second // for reading a request body; minimum for writing a response
	defaultTimeLimit   = 15 * time.Second // of a route without one
	acceptRetryDelay   = 10 * time.Millisecond
)

const badRequest = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Proxy accepts HTTP/1.1 requests on a listener and forwards them by a routing table.
type Proxy struct {
	Listener       net.Listener
	Table          func() *RoutingTable // returns the table in use; called for each request, must be safe for concurrent use
	ConnectTimeout time.Duration        // for connections to nodes
	MaxConnections int                  // concurrent client connections
	Seed           uint64               // of the random choice of entries and nodes
	Log            *zap.Logger
	Load           *LoadRecorder

	upstreams *upstreamPool

	randomMutex sync.Mutex
	random      Random
}

// Run serves requests until ctx is done; requests in flight are then aborted.
func (p *Proxy) Run(ctx context.Context) {
	p.upstreams = newUpstreamPool(p.ConnectTimeout)
	p.random.Seed = p.Seed
	stop := context.AfterFunc(ctx, func() { p.Listener.Close() })
	defer stop()
	var connections sync.WaitGroup
	slots := make(chan struct{}, max(p.MaxConnections, 1))
	for {
		conn, err := p.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			p.Log.Warn("failed to accept connection", zap.Error(err))
			time.Sleep(acceptRetryDelay) // descriptors may have run out; other connections close in the meantime
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			conn.Close() // the limit is reached: closing lets the client fail immediately
			continue
		}
		connections.Go(func() {
			defer func() { <-slots }()
			p.serveConnection(ctx, conn)
		})
	}
	connections.Wait()
	p.upstreams.close()
}

// randomFraction returns a random number from 0 to 1.
func (p *Proxy) randomFraction() float64 {
	p.randomMutex.Lock()
	defer p.randomMutex.Unlock()
	return p.random.Next()
}

// serveConnection serves the requests of a client connection in sequence.
func (p *Proxy) serveConnection(ctx context.Context, client net.Conn) {
	defer client.Close()
	// The connection is closed when ctx is done. A deadline is not enough: the loop below sets its own, which may
	// replace it and delay the shutdown by up to clientIdleTimeout.
	stop := context.AfterFunc(ctx, func() { client.Close() })
	defer stop()
	reader := bufio.NewReader(client)
	for ctx.Err() == nil {
		client.SetReadDeadline(time.Now().Add(clientIdleTimeout))
		if _, err := reader.Peek(1); err != nil {
			return
		}
		client.SetReadDeadline(time.Now().Add(requestHeadTimeout))
		request, err := http.ReadRequest(reader)
		if err != nil {
			client.SetWriteDeadline(time.Now().Add(bodyTimeout))
			fmt.Fprint(client, badRequest)
			return
		}
		client.SetReadDeadline(time.Now().Add(bodyTimeout))
		if !p.handleRequest(ctx, client, request) || request.Close {
			return
		}
		// The body of a forwarded request is already read to its end and closed.
		if _, err := io.Copy(io.Discard, request.Body); err != nil && !errors.Is(err, http.ErrBodyReadAfterClose) {
			return
		}
	}
}
