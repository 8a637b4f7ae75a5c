package loadtest

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	stopTimeout = 5 * time.Second  // for a worker to exit after its input was closed
	killTimeout = 30 * time.Second // for a worker to exit after it was killed
)

// worker is the run's handle to a worker.
type worker struct {
	role     string
	pid      int // 0 if the worker is a goroutine of this process
	commands *lineWriter
	input    io.Closer // closing it stops the worker
	output   io.Reader
	kill     func()        // stops the worker immediately, without cleanup
	exited   chan struct{} // closed when the worker has exited
}

// killAndWait kills the worker and waits until it has exited.
func (w *worker) killAndWait() error {
	w.kill()
	defer w.input.Close()
	select {
	case <-w.exited:
		return nil
	case <-time.After(killTimeout):
		return fmt.Errorf("worker with the role %q did not exit within %s after it was killed", w.role, killTimeout)
	}
}

// stop closes the worker's input, and kills the worker if it does not exit within stopTimeout.
func (w *worker) stop() error {
	w.input.Close()
	select {
	case <-w.exited:
		return nil
	case <-time.After(stopTimeout):
		return w.killAndWait()
	}
}

// readReports calls handle for each report until the worker's output ends.
func (w *worker) readReports(handle func(*workerReport)) {
	decoder := json.NewDecoder(bufio.NewReader(w.output))
	for {
		var report workerReport
		if decoder.Decode(&report) != nil {
			return
		}
		handle(&report)
	}
}

// workerSet holds all workers of a run.
type workerSet struct {
	workersMutex sync.Mutex
	workers      map[*worker]struct{}
	readers      sync.WaitGroup // goroutines that read reports
}

// add adds a worker and calls handle for each of its reports.
func (s *workerSet) add(w *worker, handle func(*workerReport)) {
	s.workersMutex.Lock()
	defer s.workersMutex.Unlock()
	if s.workers == nil {
		s.workers = map[*worker]struct{}{}
	}
	s.workers[w] = struct{}{}
	s.readers.Go(func() { w.readReports(handle) })
}

// kill removes one worker from the set, kills it and waits until it has exited.
func (s *workerSet) kill(w *worker) error {
	s.workersMutex.Lock()
	delete(s.workers, w)
	s.workersMutex.Unlock()
	return w.killAndWait()
}

// stopAll stops all workers and waits until all their reports are handled. If a worker does not exit, stopAll returns
// an error without waiting for reports.
func (s *workerSet) stopAll() error {
	s.workersMutex.Lock()
	workers := s.workers
	s.workers = nil
	s.workersMutex.Unlock()
	results := make(chan error, len(workers))
	for w := range workers {
		go func() { results <- w.stop() }()
	}
	var failures []error
	for range workers {
		failures = append(failures, <-results)
	}
	if err := errors.Join(failures...); err != nil {
		return err
	}
	s.readers.Wait()
	return nil
}
