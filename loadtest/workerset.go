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
	stopTimeout = 5 * time.Second  // that a worker may take to end by itself
	killTimeout = 30 * time.Second // that one may take to be gone once it is killed
)

// worker is a worker as the run sees it.
type worker struct {
	role     string
	pid      int // 0: a goroutine of this process
	commands *lineWriter
	input    io.Closer // whose end ends the worker
	output   io.Reader
	kill     func()        // at once, without cleaning up
	ended    chan struct{} // closed once it has ended
}

// killAndWait ends a worker at once.
func (w *worker) killAndWait() error {
	w.kill()
	defer w.input.Close()
	select {
	case <-w.ended:
		return nil
	case <-time.After(killTimeout):
		return fmt.Errorf("a worker (%s) has not ended %s after it was killed", w.role, killTimeout)
	}
}

// stop has a worker end by itself, and kills it if it does not.
func (w *worker) stop() error {
	w.input.Close()
	select {
	case <-w.ended:
		return nil
	case <-time.After(stopTimeout):
		return w.killAndWait()
	}
}

// readReports calls handle for each report until the worker ends.
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

// workerSet is all workers of a run.
type workerSet struct {
	workersMutex sync.Mutex
	workers      map[*worker]struct{}
	readers      sync.WaitGroup // of reports
}

// add has the reports of a worker handled until it ends.
func (s *workerSet) add(w *worker, handle func(*workerReport)) {
	s.workersMutex.Lock()
	defer s.workersMutex.Unlock()
	if s.workers == nil {
		s.workers = map[*worker]struct{}{}
	}
	s.workers[w] = struct{}{}
	s.readers.Go(func() { w.readReports(handle) })
}

// kill ends one worker at once.
func (s *workerSet) kill(w *worker) error {
	s.workersMutex.Lock()
	delete(s.workers, w)
	s.workersMutex.Unlock()
	return w.killAndWait()
}

// endAll ends all workers and waits until all their reports are handled. A worker that does not end is an error; its
// reports are not waited for.
func (s *workerSet) endAll() error {
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
