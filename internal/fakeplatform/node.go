package fakeplatform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// NodeServer is a node that answers HTTP/1.1 calls with its name and counts them by path.
type NodeServer struct {
	Name string
	// FailStatus, if set, says how a call fails: a status that is answered in its place, or a negative figure, at which the
	// connection ends without an answer though the call ran.
	FailStatus atomic.Int32

	listener    net.Listener
	connsMutex  sync.Mutex
	callsByPath map[string]int
	bodyBytes   int64
	closed      bool
	conns       map[net.Conn]struct{}
	serving     sync.WaitGroup
}

// NewNodeServer starts one; an address with the port 0 gets a free one.
func NewNodeServer(name, address string) (*NodeServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	n := &NodeServer{Name: name, listener: l, callsByPath: map[string]int{}, conns: map[net.Conn]struct{}{}}
	go n.accept()
	return n, nil
}

// Address is where it listens.
func (n *NodeServer) Address() string { return n.listener.Addr().String() }

// Calls is how many calls ran on a path.
func (n *NodeServer) Calls(path string) int {
	n.connsMutex.Lock()
	defer n.connsMutex.Unlock()
	return n.callsByPath[path]
}

// BodyBytes is how many bytes of bodies came.
func (n *NodeServer) BodyBytes() int64 {
	n.connsMutex.Lock()
	defer n.connsMutex.Unlock()
	return n.bodyBytes
}

// Close ends it and all its connections: once it has returned they are gone.
func (n *NodeServer) Close() {
	n.listener.Close()
	n.connsMutex.Lock()
	for conn := range n.conns {
		conn.Close()
	}
	n.closed = true
	n.connsMutex.Unlock()
	n.serving.Wait()
}

func (n *NodeServer) accept() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.connsMutex.Lock()
		if n.closed {
			conn.Close()
		} else {
			n.conns[conn] = struct{}{}
			n.serving.Go(func() { n.serve(conn) })
		}
		n.connsMutex.Unlock()
	}
}

func (n *NodeServer) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		n.connsMutex.Lock()
		delete(n.conns, conn)
		n.connsMutex.Unlock()
	}()
	r := bufio.NewReader(conn)
	for {
		conn.SetDeadline(time.Now().Add(time.Minute))
		call, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		size, err := io.Copy(io.Discard, call.Body)
		if err != nil {
			return
		}
		n.connsMutex.Lock()
		n.callsByPath[call.URL.Path]++
		n.bodyBytes += size
		n.connsMutex.Unlock()
		status := http.StatusOK
		if fail := n.FailStatus.Load(); fail < 0 {
			return
		} else if fail > 0 {
			status = int(fail)
		}
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(n.Name), n.Name); err != nil || call.Close {
			return
		}
	}
}
