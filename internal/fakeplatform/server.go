package fakeplatform

import (
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// server accepts connections and serves each in its own goroutine. Close closes all connections.
type server struct {
	serve      func(net.Conn)
	goroutines sync.WaitGroup // that accept or serve connections

	stateMutex sync.Mutex // guards listener, openConns and closed
	listener   net.Listener
	openConns  map[net.Conn]struct{}
	closed     bool
}

// listen starts a server. If the port in address is 0, a free port is used.
func listen(address string, serve func(net.Conn)) (*server, error) {
	s := &server{serve: serve, openConns: map[net.Conn]struct{}{}}
	return s, s.listen(address)
}

func (s *server) listen(address string) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s.stateMutex.Lock()
	defer s.stateMutex.Unlock()
	s.listener = listener
	s.goroutines.Go(func() { s.acceptLoop(listener) })
	return nil
}

func (s *server) acceptLoop(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		if !s.add(conn) {
			shutDown(conn)
			return
		}
		s.goroutines.Go(func() {
			defer s.remove(conn)
			s.serve(conn)
		})
	}
}

// add registers a connection. It returns false if the server is closed.
func (s *server) add(conn net.Conn) bool {
	s.stateMutex.Lock()
	defer s.stateMutex.Unlock()
	if s.closed {
		return false
	}
	s.openConns[conn] = struct{}{}
	return true
}

func (s *server) remove(conn net.Conn) {
	shutDown(conn)
	s.stateMutex.Lock()
	defer s.stateMutex.Unlock()
	delete(s.openConns, conn)
}

// Move makes the server listen on another address instead of the current one. Open connections stay open.
func (s *server) Move(address string) error {
	oldListener := s.currentListener()
	if err := s.listen(address); err != nil {
		return err
	}
	return oldListener.Close()
}

func (s *server) currentListener() net.Listener {
	s.stateMutex.Lock()
	defer s.stateMutex.Unlock()
	return s.listener
}

// Address returns the address on which the server listens, as host:port.
func (s *server) Address() string { return s.currentListener().Addr().String() }

// Break closes all connections.
func (s *server) Break() {
	s.stateMutex.Lock()
	defer s.stateMutex.Unlock()
	for conn := range s.openConns {
		shutDown(conn)
	}
}

// shutDown shuts a connection or listener down and closes it. Close alone has no effect for the peer while another copy
// of the descriptor is open, and a process that another test starts has one until its exec: the peer could still connect
// or send a request, and would then get "connection reset by peer". Errors are ignored: the connection may have ended.
func shutDown(c io.Closer) {
	if descriptor, ok := c.(syscall.Conn); ok {
		if raw, err := descriptor.SyscallConn(); err == nil {
			_ = raw.Control(func(fd uintptr) { _ = syscall.Shutdown(int(fd), syscall.SHUT_RDWR) })
		}
	}
	_ = c.Close()
}

// Close stops the server and closes its connections. It returns when all its goroutines have ended.
func (s *server) Close() {
	shutDown(s.currentListener())
	s.stateMutex.Lock()
	s.closed = true
	s.stateMutex.Unlock()
	s.Break()
	s.goroutines.Wait()
}

const slowByteInterval = time.Millisecond

// writeEndless writes prefix, and then one byte per slowByteInterval until the peer closes the connection.
func writeEndless(conn net.Conn, prefix string) {
	_, err := fmt.Fprint(conn, prefix)
	for err == nil {
		time.Sleep(slowByteInterval)
		_, err = fmt.Fprint(conn, "0")
	}
}
