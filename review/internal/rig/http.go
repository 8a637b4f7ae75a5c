package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// Node is a stand-in for a node: an HTTP/1.1 server that answers each request with its name, and records it.
type Node struct {
	Name     string
	Listener net.Listener
	// Respond, if not nil, writes the response in place of the usual one, and reports whether the connection stays open.
	Respond func(conn net.Conn, request *http.Request) (open bool)

	mutex    sync.Mutex // guards the fields below
	requests []string
	conns    map[net.Conn]struct{}
	stopped  bool
}

// StartNode starts a node at an address.
func (r *Rig) StartNode(name, address string) *Node {
	listener, err := net.Listen("tcp", address)
	r.Check(err)
	n := &Node{Name: name, Listener: listener, conns: map[net.Conn]struct{}{}}
	go n.accept()
	return n
}

// Address returns the address at which the node listens.
func (n *Node) Address() string { return n.Listener.Addr().String() }

func (n *Node) accept() {
	for {
		conn, err := n.Listener.Accept()
		if err != nil {
			return
		}
		go n.serve(conn)
	}
}

func (n *Node) serve(conn net.Conn) {
	defer conn.Close()
	if !n.opened(conn) {
		return
	}
	defer n.closed(conn)
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		n.mutex.Lock()
		n.requests = append(n.requests, request.URL.Path)
		n.mutex.Unlock()
		if !n.answer(conn, request) || request.Close {
			return
		}
	}
}

func (n *Node) opened(conn net.Conn) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.stopped {
		n.conns[conn] = struct{}{}
	}
	return !n.stopped
}

func (n *Node) closed(conn net.Conn) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.conns, conn)
}

func (n *Node) answer(conn net.Conn, request *http.Request) (open bool) {
	if n.Respond != nil {
		return n.Respond(conn, request)
	}
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(n.Name), n.Name)
	return err == nil
}

// Requests returns the paths of the requests that the node has run.
func (n *Node) Requests() []string {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return append([]string(nil), n.requests...)
}

// Answer is what a client got for a request.
type Answer struct {
	Status int // 0: none
	Body   string
	Err    error // why the answer is missing or incomplete
	Took   time.Duration
}

// Call makes a request on a new connection and waits at most the time limit for all of its answer.
func Call(address, method, path, body string, limit time.Duration) (answer Answer) {
	start := time.Now()
	defer func() { answer.Took = time.Since(start) }()
	conn, err := net.DialTimeout("tcp", address, limit)
	if err != nil {
		return Answer{Err: err}
	}
	defer conn.Close()
	conn.SetDeadline(start.Add(limit))
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: calls\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body); err != nil {
		return Answer{Err: err}
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return Answer{Err: err}
	}
	text, err := io.ReadAll(response.Body)
	return Answer{Status: response.StatusCode, Body: string(text), Err: err}
}

// Stop ends the node as a killed process ends: its connections break and new ones are refused.
func (n *Node) Stop() {
	n.Listener.Close()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.stopped = true
	for conn := range n.conns {
		conn.Close()
	}
}
