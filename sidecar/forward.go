package sidecar

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/xds"
)

// hopHeaders are the hop-by-hop headers, which are not forwarded. The headers that Connection names are hop-by-hop as
// well.
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Te", "Trailer"}

// handleRequest routes a request and writes its response. It reports whether the client's connection can be reused.
func (p *Proxy) handleRequest(ctx context.Context, client net.Conn, request *http.Request) (reusable bool) {
	table := p.Table()
	entry := table.Route(request.URL.Path, p.randomFraction)
	switch {
	case request.Method == http.MethodConnect || request.Header.Get("Upgrade") != "":
		return respond(client, http.StatusNotImplemented, "", "not carried here\n")
	case entry == nil:
		p.Load.Failed.Add(1)
		return respond(client, http.StatusNotFound, "", "no route\n")
	case entry.Status != 0:
		p.Load.Rejected.Add(1)
		p.Load.addRequest(entry.Name)
		return respond(client, entry.Status, xds.RejectedHeader+": "+entry.Name+"\r\n", "throttled\n")
	}
	return p.forwardRequest(ctx, client, request, table, entry)
}

// respond writes a response that the proxy itself generates, and reports whether the write succeeded.
func respond(client net.Conn, status int, header, body string) bool {
	client.SetWriteDeadline(time.Now().Add(bodyTimeout))
	_, err := fmt.Fprintf(client, "HTTP/1.1 %d %s\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), header, len(body), body)
	return err == nil
}

// attempt is a connection to the node that a request is forwarded to.
type attempt struct {
	upstream  *upstream
	key       NodeKey
	startTime time.Time
}

// forwardRequest forwards a request to a node of an entry's cluster and writes its response. It reports whether the
// client's connection can be reused.
func (p *Proxy) forwardRequest(ctx context.Context, client net.Conn, request *http.Request, table *RoutingTable, entry *RouteEntry) (reusable bool) {
	timeLimit := entry.TimeLimit
	if timeLimit <= 0 {
		timeLimit = defaultTimeLimit
	}
	deadline := time.Now().Add(timeLimit)
	removeHopHeaders(request.Header)
	target := p.connectWithRetries(ctx, table, entry, deadline)
	if target == nil {
		p.Load.Failed.Add(1)
		p.Load.addRequest(entry.Name)
		return respond(client, http.StatusServiceUnavailable, "", "no node took the call\n")
	}
	stop := context.AfterFunc(ctx, func() { target.upstream.Close() })
	failed, reusable := p.forward(client, request, target, deadline)
	stop()
	p.Load.addAttempt(target.key, failed, time.Since(target.startTime))
	p.Load.addRequest(entry.Name)
	if failed {
		p.Load.Failed.Add(1)
	} else {
		p.Load.Completed.Add(1)
	}
	return reusable
}

// connectWithRetries returns a connection to a node of an entry's cluster, or nil if no attempt succeeds. While no
// connection is established no node has run the request, so a retry is safe on every route. Requests are retried
// nowhere else.
func (p *Proxy) connectWithRetries(ctx context.Context, table *RoutingTable, entry *RouteEntry, deadline time.Time) *attempt {
	var tried []xds.Address
	for {
		node, ok := table.Pick(entry.Cluster, tried, p.randomFraction)
		if !ok {
			return nil
		}
		key := NodeKey{Cluster: entry.Cluster, Zone: node.Zone, Address: node.Address}
		startTime := time.Now()
		conn, err := p.upstreams.connect(ctx, node.Address, deadline)
		if err == nil {
			return &attempt{upstream: conn, key: key, startTime: startTime}
		}
		p.Load.addAttempt(key, true, 0)
		tried = append(tried, node.Address)
		if len(tried) > entry.MaxRetries || !time.Now().Before(deadline) {
			return nil
		}
		p.Load.Retried.Add(1)
	}
}

// forward sends a request to a node and copies the response to the client. The node may run the request as soon as its
// first byte is sent, so the request is never retried. It reports whether the attempt failed and whether the client's
// connection can be reused.
func (p *Proxy) forward(client net.Conn, request *http.Request, target *attempt, deadline time.Time) (failed, reusable bool) {
	target.upstream.SetDeadline(deadline)
	if err := writeRequest(target.upstream, request); err != nil {
		p.failForward(client, target, http.StatusBadGateway, err)
		return true, false
	}
	response, err := readResponse(target.upstream, request)
	if err != nil {
		p.failForward(client, target, gatewayStatus(err), err)
		return true, false
	}
	defer closeBody(response)
	upstreamReusable := !response.Close
	removeHopHeaders(response.Header)
	response.Close = request.Close
	client.SetWriteDeadline(time.Now().Add(max(bodyTimeout, time.Until(deadline))))
	if err := response.Write(client); err != nil {
		target.upstream.Close()
		return true, false
	}
	if upstreamReusable {
		p.upstreams.release(target.upstream)
	} else {
		target.upstream.Close()
	}
	return response.StatusCode >= http.StatusInternalServerError, true
}

// writeRequest sends a request to a node.
func writeRequest(node *upstream, request *http.Request) error {
	request.URL.Scheme = ""
	request.URL.Host = ""
	// "Connection: close" applies to the client's connection only. It must not reach the node, whose connection is
	// pooled and would be closed.
	clientCloses := request.Close
	request.Close = false
	defer func() { request.Close = clientCloses }()
	return request.Write(node)
}

// readResponse reads a node's final response and skips interim (1xx) responses.
func readResponse(node *upstream, request *http.Request) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(node.reader, request)
		if err != nil {
			return nil, err
		}
		interim := response.StatusCode >= http.StatusContinue && response.StatusCode < http.StatusOK
		if !interim {
			return response, nil
		}
	}
}

// gatewayStatus returns the status for the client if reading the node's response fails with err.
func gatewayStatus(err error) int {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// failForward closes the connection to a node that sent no response, and sends an error response to the client. Errors
// of that write are ignored, as the client may have disconnected as well.
func (p *Proxy) failForward(client net.Conn, target *attempt, status int, err error) {
	target.upstream.Close()
	p.Log.Warn("no response from node", zap.String("node", target.key.Address.Host),
		zap.Uint32("port", target.key.Address.Port), zap.Error(err))
	client.SetWriteDeadline(time.Now().Add(bodyTimeout))
	fmt.Fprintf(client, "HTTP/1.1 %d %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}

// closeBody closes a response's body. Its error is ignored: copying the body already returned it.
func closeBody(response *http.Response) { _ = response.Body.Close() }

// removeHopHeaders removes the hop-by-hop headers.
func removeHopHeaders(header http.Header) {
	for _, name := range strings.Split(header.Get("Connection"), ",") {
		header.Del(strings.TrimSpace(name))
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}
