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

// HTTP/1.1 names no timeouts; these keep sockets from staying open for good.
const (
	requestHeadTimeout = 10 * time.Second // from its first byte on
	clientIdleTimeout  = 60 * time.Second // until a connection's next request
	bodyTimeout        = 30 * time.Second // of each read or write of a body
	defaultTimeLimit   = 15 * time.Second // of a route that states none
	acceptRetryDelay   = 10 * time.Millisecond
)

const badRequest = "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"

// Proxy takes HTTP/1.1 requests on a listener and forwards them by a routing table.
type Proxy struct {
	Listener       net.Listener
	Table          func() *RoutingTable // returns the table in use; called for each request, from any goroutine
	ConnectTimeout time.Duration        // to a node
	MaxConnections int                  // of clients, at once
	Seed           uint64               // of the draws of entries and nodes
	Log            *zap.Logger
	Load           *LoadRecorder

	upstreams *upstreamPool

	randomMutex sync.Mutex
	random      Random
}

// Run takes requests until ctx ends; those in flight are then cut off.
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
			p.Log.Warn("accept", zap.Error(err))
			time.Sleep(acceptRetryDelay) // descriptors may have run out: others are closed meanwhile
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			conn.Close() // there are as many as there may be: the client is told at once
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

// randomFraction returns a number from 0 to 1.
func (p *Proxy) randomFraction() float64 {
	p.randomMutex.Lock()
	defer p.randomMutex.Unlock()
	return p.random.Next()
}

// serveConnection answers a client's requests, one after the other.
func (p *Proxy) serveConnection(ctx context.Context, client net.Conn) {
	defer client.Close()
	// The end of ctx closes the connection. A deadline would not do: the wait for the next request sets its own and may
	// replace it, and the end would take as long as clientIdleTimeout.
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
		// The body of a request that was forwarded has been read to its end and closed.
		if _, err := io.Copy(io.Discard, request.Body); err != nil && !errors.Is(err, http.ErrBodyReadAfterClose) {
			return
		}
	}
}
