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

// NodeServer is a node that responds to HTTP/1.1 calls with its name and counts the calls by path.
type NodeServer struct {
	*server
	Name string
	// FailStatus, if not 0, makes calls fail. A positive value is the status of the response, in place of 200. If the
	// value is negative, the call is counted, but the connection is closed without a response.
	FailStatus atomic.Int32

	callsMutex  sync.Mutex // guards callsByPath and bodyBytes
	callsByPath map[string]int
	bodyBytes   int64
}

// NewNodeServer starts a node. If the port in address is 0, a free port is used.
func NewNodeServer(name, address string) (*NodeServer, error) {
	n := &NodeServer{Name: name, callsByPath: map[string]int{}}
	var err error
	n.server, err = listen(address, n.serve)
	if err != nil {
		return nil, err
	}
	return n, nil
}

// Calls returns the number of calls to a path.
func (n *NodeServer) Calls(path string) int {
	n.callsMutex.Lock()
	defer n.callsMutex.Unlock()
	return n.callsByPath[path]
}

// BodyBytes returns the total size of the received request bodies in bytes.
func (n *NodeServer) BodyBytes() int64 {
	n.callsMutex.Lock()
	defer n.callsMutex.Unlock()
	return n.bodyBytes
}

func (n *NodeServer) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for {
		conn.SetDeadline(time.Now().Add(time.Minute))
		call, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		size, err := io.Copy(io.Discard, call.Body)
		if err != nil {
			return
		}
		n.countCall(call.URL.Path, size)
		if !n.respond(conn) || call.Close {
			return
		}
	}
}

func (n *NodeServer) countCall(path string, bodyBytes int64) {
	n.callsMutex.Lock()
	defer n.callsMutex.Unlock()
	n.callsByPath[path]++
	n.bodyBytes += bodyBytes
}

// respond writes the response to a call. It returns false if the connection must be closed.
func (n *NodeServer) respond(conn net.Conn) bool {
	status := http.StatusOK
	if fail := int(n.FailStatus.Load()); fail < 0 {
		return false
	} else if fail > 0 {
		status = fail
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status),
		len(n.Name), n.Name)
	return err == nil
}
