package fakeplatform

import (
	"fmt"
	"net"
	"sync"
	"time"
)

// server accepts connections and serves each in its own goroutine. Close closes all connections.
type server struct {
	serve   func(net.Conn)
	serving sync.WaitGroup // goroutines that accept or serve

	openMutex sync.Mutex // guards listener, open and closed
	listener  net.Listener
	open      map[net.Conn]struct{}
	closed    bool
}

// listen starts a server. If the port in address is 0, a free port is used.
func listen(address string, serve func(net.Conn)) (*server, error) {
	s := &server{serve: serve, open: map[net.Conn]struct{}{}}
	return s, s.listen(address)
}

func (s *server) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.openMutex.Lock()
	defer s.openMutex.Unlock()
	s.listener = listener
	s.serving.Go(func() { s.acceptLoop(listener) })
	return nil
}

func (s *server) acceptLoop(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if !s.add(conn) {
			conn.Close()
			return
		}
		s.serving.Go(func() {
			defer s.remove(conn)
			s.serve(conn)
		})
	}
}

// add registers a connection. It returns false if the server is closed.
func (s *server) add(conn net.Conn) bool {
	s.openMutex.Lock()
	defer s.openMutex.Unlock()
	if s.closed {
		return false
	}
	s.open[conn] = struct{}{}
	return true
}

func (s *server) remove(conn net.Conn) {
	conn.Close()
	s.openMutex.Lock()
	defer s.openMutex.Unlock()
	delete(s.open, conn)
}

// Move makes the server listen on another address instead of the current one. Open connections stay open.
func (s *server) Move(address string) error {
	old := s.currentListener()
	if err := s.listen(address); err != nil {
		return err
	}
	return old.Close()
}

func (s *server) currentListener() net.Listener {
	s.openMutex.Lock()
	defer s.openMutex.Unlock()
	return s.listener
}

// Address returns the address on which the server listens, as host:port.
func (s *server) Address() string { return s.currentListener().Addr().String() }

// Break closes all connections.
func (s *server) Break() {
	s.openMutex.Lock()
	defer s.openMutex.Unlock()
	for conn := range s.open {
		conn.Close()
	}
}

// Close stops the server and closes its connections. It returns when all its goroutines have ended.
func (s *server) Close() {
	s.currentListener().Close()
	s.openMutex.Lock()
	s.closed = true
	s.openMutex.Unlock()
	s.Break()
	s.serving.Wait()
}

const slowByteInterval = time.Millisecond

// writeEndless writes beginning, and then one byte per slowByteInterval until the peer closes the connection.
func writeEndless(conn net.Conn, beginning string) {
	_, err := fmt.Fprint(conn, beginning)
	for err == nil {
		time.Sleep(slowByteInterval)
		_, err = fmt.Fprint(conn, "0")
	}
}
