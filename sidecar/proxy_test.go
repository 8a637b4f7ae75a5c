package sidecar

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/internal/fakeplatform"
	"harehook.dev/harehook/xds"
)

// startProxy starts a proxy whose only forwarding route, /q, leads to a cluster of the given nodes.
func startProxy(t *testing.T, retries int, nodes ...*fakeplatform.NodeServer) (address string, p *Proxy) {
	table := &RoutingTable{Routes: []RouteEntry{{Name: "q", Prefix: "/q", Fraction: 1, Cluster: "c", TimeLimit: 2 * time.Second, MaxRetries: retries, Mutating: true},
		{Name: "shut", Prefix: "/shut", Fraction: 1, Status: 503}}, Clusters: map[string][]WeightedNode{}}
	for _, node := range nodes {
		host, port, _ := net.SplitHostPort(node.Address())
		portNumber, _ := strconv.Atoi(port)
		table.Clusters["c"] = append(table.Clusters["c"], WeightedNode{Node: node.Name, Weight: 1, Address: xds.Address{Host: host, Port: uint32(portNumber)}})
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p = &Proxy{Listener: listener, Table: func() *RoutingTable { return table }, ConnectTimeout: time.Second, MaxConnections: 64, Seed: 1, Log: zap.NewNop(), Load: NewLoadRecorder(time.Now())}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { p.Run(ctx) })
	t.Cleanup(func() { stop(); running.Wait() })
	return listener.Addr().String(), p
}

func startNode(t *testing.T, name string) *fakeplatform.NodeServer {
	node, err := fakeplatform.NewNodeServer(name, "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	return node
}

// exchange writes text to a new connection and returns all that is read until the connection is closed.
func exchange(t *testing.T, address, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	io.WriteString(conn, text)
	got, _ := io.ReadAll(conn)
	return string(got)
}

func requestText(path, headers string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: x\r\n" + headers + "\r\n"
}

// The header "Connection: close" of a client was forwarded to the node. The node then closed a connection that the
// proxy had pooled, and the next request on it was lost. Clients that close their connections must not cause lost
// requests.
func TestConnectionCloseIsNotForwarded(t *testing.T) {
	address, p := startProxy(t, 0, startNode(t, "a"))
	for index := range 200 {
		if got := exchange(t, address, requestText("/q", "Connection: close\r\nContent-Length: 2\r\n")+"hi"); !strings.HasPrefix(got, "HTTP/1.1 200") {
			t.Fatalf("request %d: got %q, want status 200", index, got)
		}
	}
	if completed := p.Load.Completed.Load(); completed != 200 {
		t.Errorf("completed requests: got %d, want 200", completed)
	}
}

// The proxy must handle several requests on one connection, bodies with a length and chunked ones, and requests that it
// answers itself.
func TestProxyForwardsRequests(t *testing.T) {
	a := startNode(t, "a")
	address, p := startProxy(t, 0, a)
	got := exchange(t, address, requestText("/q/1", "Content-Length: 5\r\n")+"12345"+
		requestText("/q/2", "Transfer-Encoding: chunked\r\n")+"3\r\nabc\r\n0\r\n\r\n"+
		requestText("/shut", "Content-Length: 1\r\n")+"x"+requestText("/none", "Content-Length: 0\r\n")+
		requestText("/q/3", "Connection: keep-alive, X-Hop\r\nX-Hop: 1\r\nContent-Length: 0\r\n")+
		requestText("/q", "Upgrade: websocket\r\nConnection: upgrade\r\nContent-Length: 0\r\n")+requestText("/q/4", "Connection: close\r\n"))
	var statuses []string
	reader := bufio.NewReader(strings.NewReader(got))
	for {
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		io.Copy(io.Discard, response.Body)
		statuses = append(statuses, fmt.Sprint(response.StatusCode, response.Header.Get(xds.RejectedHeader)))
	}
	if want := "[200 200 503shut 404 200 501 200]"; fmt.Sprint(statuses) != want {
		t.Errorf("statuses: got %v, want %s; responses:\n%s", statuses, want, got)
	}
	if a.BodyBytes() != 8 || a.Calls("/q/4") != 1 {
		t.Errorf("node: got %d body bytes and %d requests to /q/4, want 8 and 1", a.BodyBytes(), a.Calls("/q/4"))
	}
	if got := exchange(t, address, "what\r\n\r\n"); !strings.HasPrefix(got, "HTTP/1.1 400") {
		t.Errorf("malformed request: got %q, want status 400", got)
	}
	report := p.Load.Take(time.Now())
	attempts := 0
	for _, node := range report.Nodes {
		attempts += node.Attempts
	}
	if attempts != 4 || report.Routes["q"] != 4 || report.Routes["shut"] != 1 {
		t.Errorf("load report: got %d attempts and routes %v, want 4 attempts, 4 requests of q, 1 of shut", attempts, report.Routes)
	}
}

// A node that accepts a connection but does not respond within the route's time limit may have run the request. The
// client must get a 504 at the end of the limit, and the request must not be sent to another node although the route
// has retries.
func TestNoRetryOnceConnected(t *testing.T) {
	address, p := startProxy(t, 3)
	table := p.Table()
	for _, name := range []string{"a", "b"} {
		unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { unresponsive.Close() }) // connections stay in the accept queue; nothing is read from them
		host, port, _ := net.SplitHostPort(unresponsive.Addr().String())
		portNumber, _ := strconv.Atoi(port)
		table.Clusters["c"] = append(table.Clusters["c"], WeightedNode{Node: name, Weight: 1, Address: xds.Address{Host: host, Port: uint32(portNumber)}})
	}
	startTime := time.Now()
	if got := exchange(t, address, requestText("/q", "Connection: close\r\nContent-Length: 0\r\n")); !strings.HasPrefix(got, "HTTP/1.1 504") {
		t.Errorf("unresponsive node: got %q, want status 504", got)
	}
	if limit := table.Routes[0].TimeLimit; time.Since(startTime) < limit {
		t.Errorf("response after %s, want after the time limit of %s", time.Since(startTime), limit)
	}
	if p.Load.Retried.Load() != 0 || p.Load.Failed.Load() != 1 {
		t.Errorf("got %d retries and %d failed requests, want 0 and 1", p.Load.Retried.Load(), p.Load.Failed.Load())
	}
}

// A request must be retried if a node refuses the connection and the route allows a retry. It must not be retried if a
// node accepts it and sends no response, because the node may have run it.
func TestRetriesOnlyIfNotSent(t *testing.T) {
	stopped, silent, healthy := startNode(t, "gone"), startNode(t, "silent"), startNode(t, "good")
	stopped.Close()
	silent.FailStatus.Store(-1)
	address, p := startProxy(t, 1, stopped, healthy)
	for range 30 {
		if got := exchange(t, address, requestText("/q", "Connection: close\r\nContent-Length: 0\r\n")); !strings.HasPrefix(got, "HTTP/1.1 200") {
			t.Fatalf("one node is down: got %q, want status 200", got)
		}
	}
	if healthy.Calls("/q") != 30 || p.Load.Retried.Load() == 0 {
		t.Errorf("got %d requests and %d retries, want 30 requests and at least 1 retry", healthy.Calls("/q"), p.Load.Retried.Load())
	}
	address, _ = startProxy(t, 1, silent, silent)
	for range 10 {
		if got := exchange(t, address, requestText("/q", "Connection: close\r\nContent-Length: 0\r\n")); !strings.HasPrefix(got, "HTTP/1.1 502") {
			t.Errorf("node without a response: got %q, want status 502", got)
		}
	}
	if silent.Calls("/q") != 10 {
		t.Errorf("requests at the node without a response: got %d, want 10", silent.Calls("/q"))
	}
	address, _ = startProxy(t, 0, stopped)
	if got := exchange(t, address, requestText("/q", "Connection: close\r\nContent-Length: 0\r\n")); !strings.HasPrefix(got, "HTTP/1.1 503") {
		t.Errorf("no node is up: got %q, want status 503", got)
	}
}
