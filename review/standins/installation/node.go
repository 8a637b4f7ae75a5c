package installation

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"harehook.dev/harehook/review/standins/trial"
)

// Node is a stand-in for a node: an HTTP/1.1 server on plain TCP. Each request takes Work. The length of an answer's
// body is not stated. On a connection that stays open the body is sent in chunks. Once the node is told to finish, it
// answers what it has and what still comes, says "Connection: close", and the end of the body is the end of the
// connection (RFC 9112, section 6.3, rule 8).
type Node struct {
	Name string
	Work time.Duration

	listener  net.Listener
	record    *trial.Record
	finishing atomic.Bool
	runs      atomic.Int64
	open      sync.WaitGroup
}

// NewNode starts a node on a free port.
func NewNode(name string, work time.Duration, record *trial.Record) (*Node, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &Node{Name: name, Work: work, listener: listener, record: record}
	go n.accept()
	return n, nil
}

// Address returns the node's address.
func (n *Node) Address() string { return n.listener.Addr().String() }

// Runs returns the number of requests that the node has run.
func (n *Node) Runs() int64 { return n.runs.Load() }

// Finish has the node finish what it has.
func (n *Node) Finish() { n.finishing.Store(true) }

// Close ends the node: it accepts no further connections.
func (n *Node) Close() { n.listener.Close() }

func (n *Node) accept() {
	for {
		conn, err := n.listener.Accept()
		if err != nil {
			return
		}
		n.open.Go(func() { n.serve(conn) })
	}
}

// serve answers the requests of a connection.
func (n *Node) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		n.record.Add("%s runs %s", n.Name, request.URL.Path)
		n.runs.Add(1)
		time.Sleep(n.Work)
		body := n.Name + " ran " + request.URL.Path
		if n.finishing.Load() {
			_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n%s", body)
			n.record.Add("%s has answered %s and closes the connection (error: %v)", n.Name, request.URL.Path, err)
			return
		}
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			len(body), body)
		n.record.Add("%s has answered %s (error: %v)", n.Name, request.URL.Path, err)
		if err != nil {
			return
		}
	}
}
