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

// board lets others wait for what a stand-in has seen.
type board struct {
	sync.Mutex
	moved chan struct{}
}

// changed wakes those who wait; the lock is held.
func (b *board) changed() {
	close(b.moved)
	b.moved = make(chan struct{})
}

// Await waits until ok holds, which is asked under the lock whenever something has changed.
func (b *board) Await(ctx context.Context, ok func() bool) error {
	for {
		b.Lock()
		done, moved := ok(), b.moved
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

const dripEvery = time.Millisecond // between the bytes of one who never ends

// drip writes a beginning and then a byte now and then until the other side has gone.
func drip(conn net.Conn, begun string) {
	for _, err := fmt.Fprint(conn, begun); err == nil; time.Sleep(dripEvery) {
		_, err = fmt.Fprint(conn, "0")
	}
}

// server accepts connections and closes them all at its end.
type server struct {
	serve    func(net.Conn)
	lock     sync.Mutex
	listener net.Listener
	open     map[net.Conn]struct{}
	serving  sync.WaitGroup
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
	s.lock.Lock()
	defer s.lock.Unlock()
	s.listener = listener
	s.serving.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.lock.Lock()
			s.open[conn] = struct{}{}
			s.lock.Unlock()
			s.serving.Go(func() {
				defer func() {
					conn.Close()
					s.lock.Lock()
					delete(s.open, conn)
					s.lock.Unlock()
				}()
				s.serve(conn)
			})
		}
	})
	return nil
}

// Move listens at another address and no longer at this one, where connections stay open.
func (s *server) Move(address string) error {
	old := s.where()
	if err := s.listen(address); err != nil {
		return err
	}
	return old.Close()
}

func (s *server) where() net.Listener {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.listener
}

// Address is where it listens.
func (s *server) Address() string { return s.where().Addr().String() }

// Break breaks all connections.
func (s *server) Break() {
	s.lock.Lock()
	defer s.lock.Unlock()
	for conn := range s.open {
		conn.Close()
	}
}

// Close ends it.
func (s *server) Close() {
	s.where().Close()
	s.Break()
	s.serving.Wait()
}
