package sidecar

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"harehook.dev/harehook/internal/connprobe"
	"harehook.dev/harehook/xds"
)

// Timeouts of the data plane. HTTP/1.1 names none; these keep sockets from staying for good.
const (
	requestHeadTimeout  = 10 * time.Second // for a request's head once its first byte came
	clientIdleTimeout   = 60 * time.Second // for the next request on a kept connection
	bodyTimeout         = 30 * time.Second // for each part of a body that is copied
	defaultTimeLimit    = 15 * time.Second // where the route states no time limit
	maxIdlePerNode      = 8                // kept connections to one node
	upstreamIdleTimeout = 5 * time.Second  // that a connection to a node is kept without use: nodes may end it any time
)

// Proxy takes HTTP/1.1 calls on a listener and sends them on by the table of the moment.
type Proxy struct {
	Listener       net.Listener
	Table          func() *RoutingTable
	ConnectTimeout time.Duration
	MaxConnections int // connections at once
	Seed           uint64
	Log            *zap.Logger
	Load           *LoadRecorder

	poolMutex sync.Mutex
	random    Random
	idle      map[xds.Address][]*upstream
	sweptAt   time.Time // when connections that are kept too long were closed last
}

type upstream struct {
	net.Conn
	reader   *bufio.Reader
	lastUsed time.Time
}

// LoadRecorder counts what was met since it was last taken.
type LoadRecorder struct {
	mutex     sync.Mutex
	nodes     map[NodeKey]*NodeLoad
	routes    map[string]int
	startedAt time.Time

	Completed, Throttled, Failed, Retried atomic.Uint64 // calls over all time, and further tries
}

// NodeKey names a node within a cluster.
type NodeKey struct {
	Cluster, Zone string
	Address       xds.Address
}

// NodeLoad is what tries met at a node.
type NodeLoad struct {
	Completed, Failed int
	LatencySum        time.Duration // of those that were not lost
}

// NewLoadRecorder begins one.
func NewLoadRecorder(now time.Time) *LoadRecorder {
	return &LoadRecorder{nodes: map[NodeKey]*NodeLoad{}, routes: map[string]int{}, startedAt: now}
}

func (r *LoadRecorder) addAttempt(key NodeKey, lost bool, spent time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	sum := r.nodes[key]
	if sum == nil {
		sum = &NodeLoad{}
		r.nodes[key] = sum
	}
	if sum.Completed++; lost {
		sum.Failed++
	} else {
		sum.LatencySum += spent
	}
}

func (r *LoadRecorder) addRequest(route string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.routes[route]++
}

// Take gives what was met since the last time.
func (r *LoadRecorder) Take(now time.Time) (nodes map[NodeKey]*NodeLoad, routes map[string]int, span time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	nodes, routes, span = r.nodes, r.routes, now.Sub(r.startedAt)
	r.nodes, r.routes, r.startedAt = map[NodeKey]*NodeLoad{}, map[string]int{}, now
	return nodes, routes, span
}

// Run takes calls until ctx ends; then those under way are cut.
func (p *Proxy) Run(ctx context.Context) {
	p.idle = map[xds.Address][]*upstream{}
	p.random.Seed = p.Seed
	stop := context.AfterFunc(ctx, func() { p.Listener.Close() })
	defer stop()
	var calls sync.WaitGroup
	slots := make(chan struct{}, max(p.MaxConnections, 1))
	for {
		conn, err := p.Listener.Accept()
		if err != nil {
			if ctx.Err() != nil {
				break
			}
			p.Log.Warn("accept", zap.Error(err))
			time.Sleep(10 * time.Millisecond) // descriptors may be short: others end meanwhile
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			conn.Close() // no slot: the client is told at once
			continue
		}
		calls.Go(func() {
			defer func() { <-slots }()
			p.serveConnection(ctx, conn)
		})
	}
	calls.Wait()
	p.poolMutex.Lock()
	defer p.poolMutex.Unlock()
	for _, conns := range p.idle {
		for _, c := range conns {
			c.Close()
		}
	}
}

func (p *Proxy) randomFraction() float64 {
	p.poolMutex.Lock()
	defer p.poolMutex.Unlock()
	return p.random.Next()
}

// serveConnection answers a client's calls, one after the other.
func (p *Proxy) serveConnection(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	// A deadline set here would be lost where the wait for the next request sets its own in that instant.
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	r := bufio.NewReader(conn)
	for ctx.Err() == nil {
		conn.SetReadDeadline(time.Now().Add(clientIdleTimeout))
		if _, err := r.Peek(1); err != nil {
			return
		}
		conn.SetReadDeadline(time.Now().Add(requestHeadTimeout))
		call, err := http.ReadRequest(r)
		if err != nil {
			conn.SetWriteDeadline(time.Now().Add(bodyTimeout))
			io.WriteString(conn, "HTTP/1.1 400 Bad Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			return
		}
		conn.SetReadDeadline(time.Now().Add(bodyTimeout))
		if !p.handleRequest(ctx, conn, call) || call.Close {
			return
		}
		// What was sent on has been read to its end and closed.
		if _, err := io.Copy(io.Discard, call.Body); err != nil && !errors.Is(err, http.ErrBodyReadAfterClose) {
			return
		}
	}
}

// handleRequest routes one call and writes its answer. It tells whether the connection may be used on.
func (p *Proxy) handleRequest(ctx context.Context, conn net.Conn, call *http.Request) bool {
	table := p.Table()
	entry := table.Route(call.URL.Path, p.randomFraction)
	answer := func(status int, head, why string) bool {
		conn.SetWriteDeadline(time.Now().Add(bodyTimeout))
		_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%sContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", status,
			http.StatusText(status), head, len(why), why)
		return err == nil
	}
	switch {
	case call.Method == http.MethodConnect || call.Header.Get("Upgrade") != "":
		return answer(http.StatusNotImplemented, "", "not carried here\n")
	case entry == nil:
		p.Load.Failed.Add(1)
		return answer(http.StatusNotFound, "", "no route\n")
	case entry.Status != 0:
		p.Load.Throttled.Add(1)
		p.Load.addRequest(entry.Name)
		return answer(entry.Status, xds.ThrottledHeader+": "+entry.Name+"\r\n", "throttled\n")
	}
	limit := entry.TimeLimit
	if limit <= 0 {
		limit = defaultTimeLimit
	}
	deadline, tried := time.Now().Add(limit), []xds.Address(nil)
	removeHopHeaders(call.Header)
	for {
		line, ok := table.Pick(entry.Cluster, tried, p.randomFraction)
		if !ok {
			break
		}
		key, began := NodeKey{entry.Cluster, line.Zone, line.Address}, time.Now()
		up, err := p.connect(ctx, line.Address, deadline)
		if err != nil {
			// Nothing was sent: this try never ran, so another one is safe on every route.
			p.Load.addAttempt(key, true, 0)
			if tried = append(tried, line.Address); len(tried) <= entry.MaxRetries && time.Now().Before(deadline) {
				p.Load.Retried.Add(1)
				continue
			}
			break
		}
		stop := context.AfterFunc(ctx, func() { up.Close() })
		lost, open := p.forward(conn, call, up, line.Address, deadline)
		stop()
		p.Load.addAttempt(key, lost, time.Since(began))
		p.Load.addRequest(entry.Name)
		if lost {
			p.Load.Failed.Add(1)
		} else {
			p.Load.Completed.Add(1)
		}
		return open
	}
	p.Load.Failed.Add(1)
	p.Load.addRequest(entry.Name)
	return answer(http.StatusServiceUnavailable, "", "no node took the call\n")
}

// removeHopHeaders takes off what is meant for one connection only.
func removeHopHeaders(h http.Header) {
	for _, name := range strings.Split(h.Get("Connection"), ",") {
		h.Del(strings.TrimSpace(name))
	}
	for _, name := range []string{"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authorization", "Te", "Trailer"} {
		h.Del(name)
	}
}

// forward sends a call over a connection and brings the answer back. From its first byte on the call may have run, so
// it is never sent again, whatever comes.
func (p *Proxy) forward(conn net.Conn, call *http.Request, up *upstream, address xds.Address, deadline time.Time) (lost, open bool) {
	up.SetDeadline(deadline)
	fail := func(status string, err error) (bool, bool) {
		up.Close()
		p.Log.Warn("no answer", zap.String("node", address.Host), zap.Uint32("port", address.Port), zap.Error(err))
		conn.SetWriteDeadline(time.Now().Add(bodyTimeout))
		fmt.Fprintf(conn, "HTTP/1.1 %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", status)
		return true, false
	}
	call.URL.Scheme, call.URL.Host = "", ""
	// Whether the client's connection ends is between the two of us. Told to the node it ended a connection that was
	// kept here, and the next call was lost on it.
	closes := call.Close
	call.Close = false
	defer func() { call.Close = closes }()
	if err := call.Write(up); err != nil {
		return fail("502 Bad Gateway", err)
	}
	answer, err := http.ReadResponse(up.reader, call)
	for err == nil && answer.StatusCode >= 100 && answer.StatusCode < 200 {
		answer, err = http.ReadResponse(up.reader, call) // said meanwhile: the answer follows
	}
	if err != nil {
		var timeout net.Error
		if errors.As(err, &timeout) && timeout.Timeout() {
			return fail("504 Gateway Timeout", err)
		}
		return fail("502 Bad Gateway", err)
	}
	defer answer.Body.Close()
	keep := !answer.Close
	removeHopHeaders(answer.Header)
	answer.Close = closes
	conn.SetWriteDeadline(time.Now().Add(max(bodyTimeout, time.Until(deadline))))
	if err := answer.Write(conn); err != nil {
		up.Close()
		return true, false
	}
	if keep {
		p.release(address, up)
	} else {
		up.Close()
	}
	return answer.StatusCode >= http.StatusInternalServerError, true
}

// connect gives a connection to a node: a kept one that has been quiet, or a new one.
func (p *Proxy) connect(ctx context.Context, address xds.Address, deadline time.Time) (*upstream, error) {
	p.poolMutex.Lock()
	conns := p.idle[address]
	for len(conns) > 0 {
		up := conns[len(conns)-1]
		conns = conns[:len(conns)-1]
		if time.Since(up.lastUsed) < upstreamIdleTimeout && up.reader.Buffered() == 0 && connprobe.IsIdle(up.Conn) {
			p.idle[address] = conns
			p.poolMutex.Unlock()
			return up, nil
		}
		up.Close()
	}
	delete(p.idle, address)
	p.poolMutex.Unlock()
	dialer := net.Dialer{Timeout: min(p.ConnectTimeout, time.Until(deadline))}
	conn, err := dialer.DialContext(ctx, "tcp", net.JoinHostPort(address.Host, fmt.Sprint(address.Port)))
	if err != nil {
		return nil, err
	}
	return &upstream{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

func (p *Proxy) release(address xds.Address, up *upstream) {
	p.poolMutex.Lock()
	defer p.poolMutex.Unlock()
	if len(p.idle[address]) >= maxIdlePerNode {
		up.Close()
		return
	}
	up.lastUsed = time.Now()
	p.idle[address] = append(p.idle[address], up)
	if up.lastUsed.Sub(p.sweptAt) < upstreamIdleTimeout {
		return
	}
	p.sweptAt = up.lastUsed // nodes that are gone would keep theirs for good
	for address, conns := range p.idle {
		fresh := conns[:0]
		for _, c := range conns {
			if up.lastUsed.Sub(c.lastUsed) < upstreamIdleTimeout {
				fresh = append(fresh, c)
			} else {
				c.Close()
			}
		}
		if p.idle[address] = fresh; len(fresh) == 0 {
			delete(p.idle, address)
		}
	}
}
