// Package standin plays the parties that a conductor talks to, by the platform's page: the relay with its
// proxies, discovery, and a zone's collector. The tests and the example use it; what it gets it keeps, and
// it fails as it is told to.
package fakeplatform

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// observable lets others wait for what a stand-in has seen.
type observable struct {
	sync.Mutex
	changes chan struct{}
}

// notifyChanged wakes those who wait; the lock is held.
func (b *observable) notifyChanged() {
	close(b.changes)
	b.changes = make(chan struct{})
}

// Await waits until ok holds, which is asked under the lock whenever something has changed.
func (b *observable) Await(ctx context.Context, ok func() bool) error {
	for {
		b.Lock()
		done, moved := ok(), b.changes
		b.Unlock()
		if done {
			return nil
		}
		select {
		case <-moved:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

const slowByteInterval = time.Millisecond // between the bytes of one who never ends

// writeEndless writes a beginning and then a byte now and then until the other side has gone.
func writeEndless(conn net.Conn, begun string) {
	for _, err := fmt.Fprint(conn, begun); err == nil; time.Sleep(slowByteInterval) {
		_, err = fmt.Fprint(conn, "0")
	}
}

// server accepts connections and closes them all at its end.
type server struct {
	serve     func(net.Conn)
	openMutex sync.Mutex
	listener  net.Listener
	open      map[net.Conn]struct{}
	serving   sync.WaitGroup
}

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
	s.serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.openMutex.Lock()
			s.open[conn] = struct{}{}
			s.openMutex.Unlock()
			s.serving.Go(func() {
				defer func() {
					conn.Close()
					s.openMutex.Lock()
					delete(s.open, conn)
					s.openMutex.Unlock()
				}()
				s.serve(conn)
			})
		}
	})
	return nil
}

// Move listens at another address and no longer at this one, where connections stay open.
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

// Address is where it listens.
func (s *server) Address() string { return s.currentListener().Addr().String() }

// Break breaks all connections.
func (s *server) Break() {
	s.openMutex.Lock()
	defer s.openMutex.Unlock()
	for conn := range s.open {
		conn.Close()
	}
}

// Close ends it.
func (s *server) Close() {
	s.currentListener().Close()
	s.Break()
	s.serving.Wait()
}
